"""A courier without the platform: its file, routes, tenant limits, stored outcomes, and the process on real sockets."""

from __future__ import annotations

import asyncio
import hashlib
import json
import os
import signal
import subprocess
import sys
from collections import Counter
from pathlib import Path
from typing import Any

import aiohttp
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from loopback import LIMIT_S, ROOT, Call, Endpoint, Reply, run, started
from test_rehearsal import rehearse

from wheelstep.standalone import start
from wheelstep.standalone.ends import OutcomeStore, TerminalOutcome
from wheelstep.standalone.front import Policy, StandaloneClientApi
from wheelstep.standalone.model import FileError, RoutePart, destination_number, parse
from wheelstep.standalone.routes import RouteQuery, Routes, Tenants, _weighted
from wheelstep.standalone.told import OutcomeReporter

TOKEN, OTHER = "token-of-one", "token-of-two"
DIGEST, OTHER_DIGEST = (hashlib.sha256(token.encode()).hexdigest() for token in (TOKEN, OTHER))
FILE = f"""
listen = "127.0.0.1:0"
state = "state"
[class.pay]
effect = "unsafe"
[class.update]
effect = "keyed"
ordered = true
[class.note]
effect = "safe"
[destination.alpha]
endpoints = ["127.0.0.1:1"]
[destination.beta]
endpoints = []
[[route]]
class = "note"
path = "/copy/*"
to = "alpha"
mirror = "beta"
[[route]]
path = "/b/*"
to = "beta"
fallback = "alpha"
[[route]]
path = "/a/*"
to = "alpha"
[tenant.one]
tokens = ["{DIGEST}"]
[tenant.two]
tokens = ["{OTHER_DIGEST}"]
"""


@pytest.mark.parametrize(("old", "new", "expected"), [
    ('listen = "127.0.0.1:0"', 'listen = "here"', "listen: 'here' is not an address; expected host:port"),
    ('effect = "unsafe"', 'effect = "once"', "class.pay.effect: 'once'; expected"),
    ('effect = "unsafe"', 'effect = "unsafe"\naim = "40s"', "class.pay: aim is not between 0 and the deadline"),
    ('effect = "unsafe"', 'effect = "unsafe"\naim = 3', "class.pay.aim: 3 is no time"),
    ('"127.0.0.1:1"', '"127.0.0.1"', "endpoints[0]: '127.0.0.1' is not an address"),
    ('"127.0.0.1:1"', '"h:1", "h:1"', "endpoints[1]: 'h:1' is listed twice"),
    ('"127.0.0.1:1"]', '"h:1"]\ndrain = ["h:2"]', "drain[0]: 'h:2' is not one of the endpoints"),
    ('to = "beta"', 'to = "gamma"', "route[1].to: unknown destination 'gamma'; expected one of alpha, beta"),
    ('class = "note"', 'class = "nothing"', "route[0].class: unknown class 'nothing'"),
    ('class = "note"', 'class = "pay"', "route[0].mirror: class 'pay' is unsafe"),
    ('class = "note"\n', '', "route[0].mirror: class 'pay' is unsafe"),
    ('mirror = "beta"', 'mirror = "alpha"', "route[0].mirror: 'alpha' gets the message itself"),
    (OTHER_DIGEST, DIGEST, "tenant.two.tokens: one of them is also a token of 'one'; expected different tokens"),
    (OTHER_DIGEST, "secret", "tokens[0]: is not SHA-256 in hex"),
    ('state = "state"', 'state = "state"\ncolour = 1', "colour: unknown key"),
    ('state = "state"', 'state = "state"\nnotify = "there"', "notify: 'there' is not an address"),
    ("[tenant.two]", "open = true\n[tenant.two]\nopen = true", "tenant.two.open: 'one' already has this; expected"),
    (f'tokens = ["{DIGEST}"]', "rate_per_s = 2", "tenant.one: tokens is missing"),
    ('[class.pay]', '[class.Pay]', "class.Pay"), ('[[route]]', '[[route', "expected TOML")])
def test_an_invalid_file_is_reported_in_one_line(old: str, new: str, expected: str) -> None:
    """Guards against files with errors being accepted, and against errors that span lines or show tokens."""
    with pytest.raises(FileError) as found:
        parse(FILE.replace(old, new, 1), "x.toml")
    assert str(found.value).startswith("x.toml: ") and expected in str(found.value)
    assert "\n" not in str(found.value) and "secret" not in str(found.value)


def test_init_writes_a_valid_file_and_overwrites_nothing(tmp_path: Path) -> None:
    token = start.init(tmp_path / "new")
    path = tmp_path / "new" / "umberchute.toml"
    found = parse(path.read_text(), str(path))
    assert Tenants(found.tenants).by_token(token) == "first"
    assert (tmp_path / "new" / "first.token").stat().st_mode & 0o077 == 0
    with pytest.raises(FileError, match="already exists; expected a new name"):
        start.init(tmp_path / "new")
    shown = json.dumps(start.as_json(found))
    assert token not in shown and "unsafe" in shown


def test_differences_lists_each_value_that_a_reload_changes() -> None:
    old = start.as_json(parse(FILE, "a"))
    new = start.as_json(parse(FILE.replace('"127.0.0.1:1"', '"h:2"').replace("[class.note]", "[class.extra]\neffect = "
                                         '"safe"\n[class.note]\ndeadline = "9s"'), "b"))
    assert list(start.differences(old, new)) == [
        "class.note.deadline: 30000000 -> 9000000", "class.extra: new: " + str(new["class"]["extra"]),
        "destination.alpha.endpoints[0]: 127.0.0.1:1 -> h:2"]


def test_the_reference_page_contains_the_output_of_reference() -> None:
    assert start.reference() in (ROOT / "docs" / "operations" / "standalone.md").read_text()


NAMES = st.sampled_from(["a", "b", "c"])
PATTERNS = st.none() | st.sampled_from(["*", "/x/*", "/y", "k*", "k1"])
ROUTES = st.lists(st.builds(
    RoutePart.model_construct, tenant=st.none() | st.sampled_from(["one", "two"]),
    message_class=st.none() | st.sampled_from(["pay", "update"]), path=PATTERNS, key=PATTERNS,
    headers=st.dictionaries(st.sampled_from(["X-A", "x-b"]), st.sampled_from(["1", "*"]), max_size=2),
    to=st.dictionaries(NAMES, st.integers(1, 5), min_size=1, max_size=3), fallback=st.none() | NAMES,
    mirror=st.none() | NAMES), max_size=5)
QUERIES = st.builds(RouteQuery, st.sampled_from(["one", "two"]), st.sampled_from(["pay", "update", "note"]),
                  st.sampled_from(["/x/1", "/y", "/z"]), st.none() | st.sampled_from(["k1", "k2", "q"]),
                  st.dictionaries(st.sampled_from(["x-a", "x-b"]), st.sampled_from(["1", "2"]), max_size=2))


@given(ROUTES, QUERIES, st.sets(NAMES))
def test_the_first_matching_route_is_used_and_unsafe_messages_are_not_mirrored(
        parts: list[RoutePart], query: RouteQuery, open_names: set[str]) -> None:
    """Guards against a later route or a fallback without endpoints being used, and against unsafe copies."""
    found = parse(FILE, "x").model_copy(update={"routes": tuple(parts)})
    routes = Routes(found)
    target = routes.target(query, "m", open_names.__contains__)
    assert target == routes.target(query, "m", open_names.__contains__)
    matching = [part for part in parts if Routes(found.model_copy(update={"routes": (part,)})).target(
        query, "m", open_names.__contains__) is not None]
    assert (target is None) == (not matching)
    if target is not None:
        first = matching[0]
        assert target.destination in first.weights or target.destination == first.fallback
        if target.destination not in first.weights:
            assert target.destination in open_names
        assert target.mirror == (None if query.message_class == "pay" else first.mirror)


def test_weights_are_kept_and_a_new_destination_moves_no_other_keys() -> None:
    keys = [f"k{number}" for number in range(8_000)]
    before = {key: _weighted({"a": 1, "b": 3}, key) for key in keys}
    assert 0.22 < Counter(before.values())["a"] / len(keys) < 0.28
    after = {key: _weighted({"a": 1, "b": 3, "c": 4}, key) for key in keys}
    moved = [key for key in keys if before[key] != after[key]]
    assert {after[key] for key in moved} == {"c"} and 0.45 < len(moved) / len(keys) < 0.55


@settings(max_examples=60)
@given(st.lists(st.tuples(st.sampled_from(["one", "two"]), st.booleans(), st.floats(0, 0.4)), max_size=80))
def test_tenants_never_exceed_their_rate_or_held_share(steps: list[tuple[str, bool, float]]) -> None:
    """Guards against admission beyond a limit in some order of arrivals, ends and pauses."""
    parts = parse(FILE, "x").tenants
    parts = {"one": parts["one"].model_copy(update={"rate_per_s": 5.0, "burst": 3, "held_share": 0.3}),
             "two": parts["two"].model_copy(update={"rate_per_s": 100.0, "held_share": 0.5})}
    tenants, now, taken = Tenants(parts), 0.0, Counter[str]()
    for name, ends, pause in steps:
        now += pause
        if ends and tenants.held[name]:
            tenants.release(name)
        wait_s = tenants.admission_wait_s(name, name, 20, now)
        assert wait_s >= 0
        if not wait_s:
            tenants.hold(name)
            taken[name] += 1
        assert tenants.held["one"] <= 6 and tenants.held["two"] <= 10
        assert taken["one"] <= 3 + 5.0 * now + 1


def test_outcomes_survive_a_restart_and_a_torn_line(tmp_path: Path) -> None:
    """Guards against a line cut off by a crash being read as an outcome, or spoiling the line after it."""
    async def work() -> None:
        settled: list[str] = []
        store = OutcomeStore(tmp_path, 100, settled.extend)
        for number in range(250):
            store.add(f"m{number}", TerminalOutcome("delivered", number))
            if not number % 20:
                await asyncio.sleep(0)
        await asyncio.sleep(0)
        store.close()
        assert settled == [f"m{number}" for number in range(250)]
        assert (tmp_path / OutcomeStore.FILE).read_bytes().count(b"\n") <= 250
        with open(tmp_path / OutcomeStore.FILE, "ab") as file:
            file.write(b'{"message": "m250", "en')
        store = OutcomeStore(tmp_path, 100, settled.extend)
        assert store.get("m149") is None and store.get("m150") == TerminalOutcome("delivered", 150)
        assert store.get("m250") is None  # the journal still owes it and reports it again
        store.add("m250", TerminalOutcome("failed", 1, 7))
        await asyncio.sleep(0)
        store.close()
        store = OutcomeStore(tmp_path, 100, settled.extend)
        assert store.get("m250") == TerminalOutcome("failed", 1, 7)
        store.close()
    run(work())


def test_a_write_one_byte_short_after_a_torn_line_is_detected(tmp_path: Path) -> None:
    """A write after a torn line starts with an extra line break; uncounted, it hid that the last byte was missing."""
    class Short:
        def write(self, data: bytes) -> int:
            return real.write(data[:-1]) or 0

    async def work() -> None:
        settled: list[str] = []
        (tmp_path / OutcomeStore.FILE).write_bytes(b'{"mess')
        store = OutcomeStore(tmp_path, 100, settled.extend)
        whole, store._file = store._file, Short()  # type: ignore[assignment]
        store.add("m1", TerminalOutcome("failed", 5))
        store.flush()
        assert settled == []
        store._file = whole
        store.flush()
        assert settled == ["m1"]
        store.close()
        assert OutcomeStore(tmp_path, 100, settled.extend).get("m1") == TerminalOutcome("failed", 5)
    real = open(tmp_path / OutcomeStore.FILE, "ab", buffering=0)  # noqa: SIM115
    run(work())


def test_a_failed_compaction_loses_no_later_outcome(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The old file was closed before the rename: when that failed, every later write raised."""
    async def work() -> None:
        settled: list[str] = []
        store = OutcomeStore(tmp_path, 2, settled.extend)

        def full(self: Path, target: Path) -> Path:
            raise OSError(28, "No space left on device")
        with monkeypatch.context() as broken:
            broken.setattr(Path, "replace", full)
            for number in range(6):
                store.add(f"m{number}", TerminalOutcome("delivered", number))
                store.flush()
        store.add("m6", TerminalOutcome("failed", 6))
        store.flush()
        store.close()
        assert settled == [f"m{number}" for number in range(7)]
        assert OutcomeStore(tmp_path, 2, settled.extend).get("m6") == TerminalOutcome("failed", 6)
    run(work())


def test_outcomes_stay_owed_while_the_disk_is_full(tmp_path: Path) -> None:
    """Guards against outcomes confirmed before they are written whole: a full disk takes only part of the line."""
    class Full:
        room = 10

        def write(self, data: bytes) -> int:
            if self.room <= 0:
                raise OSError(28, "No space left on device")
            took, self.room = min(len(data), self.room), 0
            return real.write(data[:took]) or 0

        def close(self) -> None:
            real.close()

    async def work() -> None:
        settled: list[str] = []
        store = OutcomeStore(tmp_path, 100, settled.extend)
        store._file = Full()  # type: ignore[assignment]
        waiting = store.wait("m1", 60)
        store.add("m1", TerminalOutcome("refused", 5))
        await waiting  # the waiting client is answered although the write failed
        store.flush()
        assert settled == [] and store.get("m1") == TerminalOutcome("refused", 5)
        store._file = real
        store.add("m2", TerminalOutcome("delivered", 6))
        store.flush()
        assert settled == ["m1", "m2"]
        store.close()
        again = OutcomeStore(tmp_path, 100, settled.extend)
        assert again.get("m1") == TerminalOutcome("refused", 5) and again.get("m2") == TerminalOutcome("delivered", 6)
        again.close()
    real = open(tmp_path / OutcomeStore.FILE, "ab", buffering=0)  # noqa: SIM115
    run(work())


class StandaloneProcess:
    """A courier process with its own file, and two partner endpoints."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.log = folder, list[str]()
        self.alpha, self.beta = Endpoint(), Endpoint()
        self.text = FILE

    async def __aenter__(self) -> StandaloneProcess:
        self.text = self.text.replace("127.0.0.1:1", await self.alpha.start())
        await self.beta.start()
        await self.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def start(self) -> None:
        (self.folder / "umberchute.toml").write_text(self.text)
        environ = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "wheelstep.cli", "serve", "--config", str(self.folder / "umberchute.toml"), cwd=ROOT,
            env=environ, stderr=asyncio.subprocess.PIPE)
        started.append(self.process)
        self._reading = asyncio.create_task(self._read())
        await self.wait_log("serves on", sum("serves on" in line for line in self.log) + 1)
        line = next(line for line in reversed(self.log) if "serves on" in line)
        self.url = "http://" + line.partition("serves on ")[2].partition(",")[0]

    async def _read(self) -> None:
        assert self.process.stderr is not None
        while line := (await self.process.stderr.readline()).decode():
            self.log.append(line)

    async def wait_log(self, text: str, count: int = 1) -> None:
        async with asyncio.timeout(LIMIT_S):
            while sum(text in line for line in self.log) < count:
                assert self.process.returncode is None, self.log
                await asyncio.sleep(0.01)

    async def stop(self, how: int = signal.SIGTERM) -> None:
        self.process.send_signal(how)
        await asyncio.wait_for(self.process.wait(), LIMIT_S)

    async def reload(self, old: str, new: str) -> None:
        assert old in self.text
        self.text = self.text.replace(old, new)
        (self.folder / "new").write_text(self.text)
        (self.folder / "new").replace(self.folder / "umberchute.toml")
        self.process.send_signal(signal.SIGHUP)

    async def ask(self, method: str, path: str, token: str = TOKEN, **headers: str) -> tuple[int, Any]:
        given = {name.replace("_", "-"): value for name, value in headers.items()}
        if token:
            given["Authorization"] = f"Bearer {token}"
        async with aiohttp.ClientSession() as http, http.request(
                method, self.url + path, headers=given, data=b'"x"' if method == "POST" else None) as answer:
            text = await answer.text()
            is_json = answer.content_type == "application/json"
            return answer.status, json.loads(text) if is_json else dict(answer.headers)

    async def post(self, name: str, path: str, cls: str = "pay", token: str = TOKEN) -> int:
        return (await self.ask("POST", path, token, X_Request_Id=name, X_Class=cls))[0]


def test_a_message_is_delivered_and_its_outcome_survives_sigkill(tmp_path: Path) -> None:
    """Guards against a second call for a message that has ended, and against access to other tenants' messages."""
    async def scenario() -> None:
        async with StandaloneProcess(tmp_path) as s:
            assert await s.post("m1", "/a/1") == 202
            status, end = await s.ask("GET", "/messages/m1?wait=20")
            assert (status, end["message"], end["end"]) == (200, "m1", "delivered")
            assert (await s.alpha.wait(1))[0].headers["x-request-id"] == "one~m1"
            assert await s.post("m1", "/a/1") == 200 and len(s.alpha.calls) == 1  # no second call
            assert await s.post("m2", "/b/1", "update") == 202  # beta has no endpoint: the fallback gets it
            call = (await s.alpha.wait(2))[1]
            assert call.headers["idempotency-key"] == "one~m2"
            assert (await s.ask("GET", "/messages/m1", OTHER))[0] == 404  # another tenant's message
            assert (await s.ask("GET", "/messages/m1", "wrong"))[0] == 401
            assert (await s.ask("GET", "/messages/m1", ""))[0] == 401
            assert await s.post("m3", "/nowhere") == 404
            async with aiohttp.ClientSession() as http, http.post(s.url + "/a/1", headers=[
                    ("Authorization", f"Bearer {TOKEN}"), ("X-Request-Id", "m4"), ("X-Request-Id", "m5")]) as answer:
                assert answer.status == 400  # with two ids it is unclear which message would be owed an outcome
            assert await s.post("m4", "/a/1", "none") == 400 and await s.post("m~4", "/a/1") == 400
            assert not any(TOKEN in line for line in s.log)
            await s.stop(signal.SIGKILL)
            await s.start()
            assert (await s.ask("GET", "/messages/m1"))[1]["end"] == "delivered"
            assert await s.post("m1", "/a/1") == 200 and len(s.alpha.calls) == 2
            await s.stop()
            assert s.process.returncode == 0
    run(scenario())


def test_an_unsafe_message_in_flight_at_sigkill_fails_and_is_not_sent_again(tmp_path: Path) -> None:
    """Guards against a repeated unsafe call: after a crash it is unknown whether the interrupted one ran."""
    async def scenario() -> None:
        async with StandaloneProcess(tmp_path) as s:
            arrived = asyncio.Event()

            async def hang(call: Call) -> Reply | None:
                arrived.set()
                return None
            s.alpha.reply = hang
            assert await s.post("m1", "/a/1") == 202
            await asyncio.wait_for(arrived.wait(), LIMIT_S)
            assert (await s.ask("GET", "/messages/m1?wait=0.05"))[0] == 202
            await s.stop(signal.SIGKILL)
            await s.start()
            assert (await s.ask("GET", "/messages/m1?wait=20"))[1]["end"] == "failed"
            assert len(s.alpha.calls) == 1
    run(scenario())


def test_a_reload_applies_endpoints_and_tokens_and_an_invalid_file_changes_nothing(tmp_path: Path) -> None:
    """Guards against a reload that is applied in part, and against an invalid file replacing a valid one."""
    async def scenario() -> None:
        async with StandaloneProcess(tmp_path) as s:
            await s.reload("endpoints = []", f'endpoints = ["{s.beta.address}"]')
            await s.wait_log("read again")
            assert await s.post("m1", "/b/1") == 202
            await s.beta.wait(1)
            assert await s.post("m2", "/copy/1", "note") == 202
            assert sorted([(await s.beta.wait(2))[1].headers["x-request-id"],
                           (await s.alpha.wait(1))[0].headers["x-request-id"]]) == ["one~m2", "one~m2~mirror"]
            assert (await s.ask("GET", "/messages/m2?wait=20"))[1]["end"] == "delivered"
            text = s.text
            await s.reload('to = "beta"', 'to = "gamma"')
            await s.wait_log("route[1].to: unknown destination 'gamma'")
            assert await s.post("m3", "/b/1") == 202
            await s.beta.wait(3)
            s.text = text
            await s.reload(DIGEST, start.new_token()[1])  # revoked: its held messages are still delivered
            await s.wait_log("read again", 2)
            assert await s.post("m4", "/b/1") == 401 and await s.post("m5", "/b/1", token=OTHER) == 202
            await s.reload(f'endpoints = ["{s.beta.address}"]', f'endpoints = ["{s.beta.address}"]\ndrain = '
                          f'["{s.beta.address}"]')
            await s.wait_log("read again", 3)
            assert await s.post("m6", "/b/1", token=OTHER) == 202  # beta drains: the fallback gets it
            await s.alpha.wait(2)
            await s.stop()
    run(scenario())


def test_endpoint_files_are_applied_and_invalid_or_deleted_ones_change_nothing(tmp_path: Path) -> None:
    """Guards against a destination losing its endpoints when its file is damaged or deleted."""
    async def scenario() -> None:
        s = StandaloneProcess(tmp_path)
        s.text = s.text.replace('state = "state"', 'state = "state"\nendpoints_from = "there"')
        (tmp_path / "there").mkdir()

        def write(text: str) -> None:
            (tmp_path / "there" / ".new").write_text(text)
            (tmp_path / "there" / ".new").replace(tmp_path / "there" / "beta.toml")
        async with s:
            write(f'endpoints = ["{s.beta.address}"]')
            await s.wait_log("endpoints have changed")
            assert await s.post("m1", "/b/1") == 202
            await s.beta.wait(1)
            for text, expected in (("endpoints = [", "expected TOML"), ('endpoints = ["h"]', "'h' is not an address"),
                                   ('endpoints = []\nto = "h:1"', "to: unknown key")):
                write(text)
                await s.wait_log(expected)
            (tmp_path / "there" / "beta.toml").unlink()
            await s.wait_log("was deleted")
            assert await s.post("m2", "/b/1") == 202
            await s.beta.wait(2)
            write("endpoints = []")
            await s.wait_log("endpoints have changed", 2)
            assert await s.post("m3", "/b/1") == 202  # the fallback gets it
            await s.alpha.wait(1)
            assert len(s.beta.calls) == 2
            await s.stop()
    run(scenario())


def test_replacing_an_endpoint_during_an_unsafe_call_repeats_no_call(tmp_path: Path) -> None:
    """The call in flight must complete at the old endpoint; the next message goes to the new one."""
    async def scenario() -> None:
        async with StandaloneProcess(tmp_path) as s:
            released = asyncio.Event()

            async def slow(call: Call) -> Reply | None:
                await released.wait()
                return 200, {}, b""
            s.alpha.reply = slow
            assert await s.post("m1", "/a/1") == 202
            await s.alpha.wait(1)
            await s.reload(f'endpoints = ["{s.alpha.address}"]', f'endpoints = ["{s.beta.address}"]')
            await s.wait_log("read again")
            assert await s.post("m2", "/a/1") == 202
            assert (await s.beta.wait(1))[0].headers["x-request-id"] == "one~m2"
            released.set()
            for name in ("m1", "m2"):
                assert (await s.ask("GET", f"/messages/{name}?wait=20"))[1]["end"] == "delivered"
            assert len(s.alpha.calls) == len(s.beta.calls) == 1
            await s.stop()
    run(scenario())


def test_a_tenant_over_its_share_gets_retry_after_and_others_are_served(tmp_path: Path) -> None:
    """Guards against a tenant with a slow partner using up all room for held messages."""
    async def scenario() -> None:
        s = StandaloneProcess(tmp_path)
        s.text = s.text.replace("[tenant.two]", "held_share = 0.3\n[tenant.two]").replace(
            "[class.pay]", "[limits]\nheld = 10\n[class.pay]")
        async with s:
            released = asyncio.Event()

            async def slow(call: Call) -> Reply | None:
                await released.wait()
                return 200, {}, b""
            s.alpha.reply = slow
            for number in range(3):
                assert await s.post(f"m{number}", "/a/1") == 202
            status, headers = await s.ask("POST", "/a/1", X_Request_Id="m3", X_Class="pay")
            assert status == 429 and headers["Retry-After"] == "1"
            assert await s.post("m3", "/a/1", token=OTHER) == 202
            released.set()
            for number in range(3):
                assert (await s.ask("GET", f"/messages/m{number}?wait=20"))[1]["end"] == "delivered"
            assert await s.post("m3", "/a/1") == 202
            await s.stop()
    run(scenario())


@pytest.mark.parametrize("scenario", ["twice-restart", "drains-leaves"])
def test_rehearsals_on_the_standalone_front_have_no_findings(scenario: str) -> None:
    """Other scenarios are run by command: `umberchute rehearse run NAME --front standalone`."""
    code, report = rehearse("run", scenario, "--front", "standalone")
    assert (code, report["findings"]) == (0, [])


def test_an_outcome_is_owed_until_the_file_and_the_notified_party_have_it(tmp_path: Path) -> None:
    """Guards against an outcome confirmed to the journal before both recipients have it."""
    class Core:
        over: list[str] = []

        def answered(self, names: list[str]) -> None:
            self.over += names

    class Notices:
        owed: list[str] = []

        def enqueue(self, message: str, outcome: str, retry_ms: int) -> None:
            self.owed.append(message)

    async def work() -> None:
        core, notices = Core(), Notices()
        reporter = OutcomeReporter(StandaloneClientApi(Policy.of(parse(FILE, "x")), core), core)  # type: ignore[arg-type]
        reporter.outcomes, reporter.notices = OutcomeStore(tmp_path, 100, reporter.confirm), notices  # type: ignore[assignment]
        reporter.enqueue("one~a", "given_up", 0)
        reporter.enqueue("one~b", "delivered", 0)
        reporter.outcomes.flush()
        assert (core.over, notices.owed) == (["one~b"], ["one~a"])
        reporter.confirm(["one~a"])  # answered
        assert core.over == ["one~b", "one~a"]
        reporter.enqueue("one~b~mirror", "given_up", 0)
        await asyncio.sleep(0)
        assert core.over[-1] == "one~b~mirror" and reporter.outcomes.get("one~b~mirror") is None
        reporter.outcomes.close()
    run(work())


def test_serve_without_configuration_exits_with_2_and_one_line() -> None:
    environ = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
    done = subprocess.run([sys.executable, "-m", "wheelstep.cli", "serve"], cwd=ROOT, capture_output=True, text=True,
                          env=environ)
    assert done.returncode == 2 and done.stderr.count("\n") == 1 and "--config FILE.toml" in done.stderr


def test_destination_numbers_depend_only_on_the_name() -> None:
    assert destination_number("alpha") == destination_number("alpha") != destination_number("beta")
    assert destination_number("alpha") < 1 << 48
