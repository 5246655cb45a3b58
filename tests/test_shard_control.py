"""The control machine: its file, lists at the fleet's size, and two real processes on sockets."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path
from typing import Any

import msgspec
import pytest
from list_courier import KEY, SHARDS, Courier
from loopback import LIMIT_S, ROOT, run, started

from wheelstep.courier.config import ROW_ERRORS, Address, Names
from wheelstep.courier.listing import ListParser
from wheelstep.rehearsal.history import Figures, History
from wheelstep.rehearsal.standins.platform import Agent, row
from wheelstep.shards.control import LIST_BYTES, MAX_QUEUED_LISTS, ControlMachine
from wheelstep.shards.control_settings import ControlError, read
from wheelstep.shards.list_rows import courier_row, digest_of, read_entry, read_list
from wheelstep.shards.list_server import ListServer
from wheelstep.shards.net import Sockets
from wheelstep.shards.types import Follow, Frame, ShardRows

NAMES = Names((), ("web", "mail"), ("a", "b"), ())


def write(folder: Path, file: str, **changes: object) -> Path:
    (folder / "key").write_text(KEY)
    (folder / "short").write_text("abcd")
    values = {"name": file, "key_file": "key", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "shards": SHARDS}
    lines = [f"{key} = {json.dumps(value)}" for key, value in {**values, **changes}.items() if value is not None]
    path = folder / f"{file}.toml"
    path.write_text("[control]\n" + "\n".join(lines) + "\n")
    return path


@pytest.mark.parametrize("changes, place", [
    ({"shards": 0}, "control.shards"), ({"listen": "nowhere"}, "control.listen"), ({"discovery": None}, "control.disc"),
    ({"listen": "127.0.0.1:99999"}, "control.listen"), ({"key_file": "short"}, "control.key_file"),
    ({"key_file": "none"}, "control.key_file"), ({"colour": "red"}, "control.colour"), ({"name": ""}, "control.name")])
def test_a_bad_file_is_one_line_with_place_and_expectation(tmp_path: Path, changes: dict[str, object],
                                                           place: str) -> None:
    assert read(write(tmp_path, "good")).part.shards == SHARDS
    with pytest.raises(ControlError) as caught:
        read(write(tmp_path, "bad", **changes))
    text = str(caught.value)
    assert place in text and "expected" in text and "bad.toml" in text and "\n" not in text


@pytest.mark.parametrize("entry", [
    row("h", "1.2.3.4:5", 7, "web"), row("h", "1.2.3.4:5", 7, "mail", "DRAINING", "b"),
    row("h", "1.2.3.4:5", 7, "web", "DELETED"), {**row("h", "1.2.3.4:5", 7, "web"), "block": "7", "host": 12},
    {"host": "h", "dial": "[::1]:5", "block": 7, "health": "SERVING", "site": None, "class": 3, "share": "0.5"},
    row("h", "1.2.3.4", 7, "web"), row("h", "1.2.3.4:70000", 7, "web"), row("h", "1.2.3.4:5", 7, "web", "WELL"),
    {"host": "h"}, [], None, {**row("h", "1.2.3.4:5", 7, "web"), "block": "x"},
    {**row("h", "1.2.3.4:5", 7, "web"), "health": []}])
def test_rows_read_here_are_those_that_a_courier_reads(entry: Any) -> None:
    raw = json.dumps(entry).encode()
    try:
        expected = NAMES.parse_row(entry)
    except ROW_ERRORS:
        with pytest.raises(ValueError):
            read_entry(raw)
    else:
        assert courier_row(read_entry(raw), NAMES) == expected


@pytest.mark.parametrize("entry", [
    row("h" * 2_000, "1.2.3.4:5", 7, "web"), row("h", "1.2.3.4:5", 1 << 70, "web"),
    row("\ud800", "1.2.3.4:5", 7, "web")])
def test_rows_that_cannot_be_told_are_refused(entry: dict[str, Any]) -> None:
    with pytest.raises(ValueError):
        read_entry(json.dumps(entry).encode())


def test_a_whole_list_of_the_fleet_ahead_passes() -> None:
    """140,000 indented rows: over the bound of a courier's watch, within a control machine's; no step is long."""
    rows = [row(f"h-{n:06d}.destination", f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}:8000", n, "web")
            for n in range(140_000)]
    text = json.dumps({"seq": 3, "whole": True, "hosts": rows}, indent=4).encode()
    begun_s = time.process_time()
    small, large = ListParser(), ListParser(LIST_BYTES, read_list)
    found: list[dict[str, Any]] = []
    for at in range(0, len(text), 1 << 20):
        assert not any(small.feed(text[at:at + (1 << 20)]))
        found += [one for one in large.feed(text[at:at + (1 << 20)]) if one is not None]
    assert [len(one["hosts"]) for one in found] == [140_000]
    server = ListServer(16_384)
    steps = list(server.steps(0, found[0]["seq"], found[0]["whole"], map(read_entry, found[0]["hosts"])))
    assert len(server) == 140_000 and len(steps) > 100 and server.seq == 3
    assert time.process_time() - begun_s < 30, "of the processor: 4 s where nothing else runs"


class Peer:
    """A link as the control machine sees it."""

    def __init__(self) -> None:
        self.peer, self.sent, self.open = "courier", list[Frame](), True

    def send(self, frame: Frame) -> bool:
        self.sent.append(frame)
        return True

    def close(self) -> None:
        self.open = False


def machine() -> ControlMachine:
    return ControlMachine("x", [b"k" * 32], "fleet", 1, SHARDS, Sockets(), Address("127.0.0.1", 9), lambda: 0)


async def _dialled_again() -> None:
    control, first, second = machine(), Peer(), Peer()
    list(control.server.steps(0, 1, True, ()))
    control._heard(first, Follow(0, ((1, 0),)))  # type: ignore[arg-type]
    control._heard(second, Follow(0, ((2, 0),)))  # type: ignore[arg-type]
    assert not first.open and second.open and control.server.peers == 1
    assert [type(frame).__name__ for frame in second.sent] == ["ShardRows", "Current"]
    control._lost(first)  # type: ignore[arg-type]
    assert control.server.peers == 1, "the end of the old link took the new one's follows"
    control._lost(second)  # type: ignore[arg-type]
    assert control.server.peers == 0
    await control.close()


def test_a_courier_that_dials_again_is_known_by_its_new_link() -> None:
    run(_dialled_again())


async def _too_many_changes() -> None:
    control = machine()
    for seq in range(1, MAX_QUEUED_LISTS + 1):
        control.watch._apply_list({"seq": seq, "whole": False, "hosts": []})
    assert control.watch.seq == MAX_QUEUED_LISTS == len(control._queued_lists)
    control.watch._apply_list({"seq": MAX_QUEUED_LISTS + 1, "whole": False, "hosts": []})
    assert control.watch.seq == 0 and not control._queued_lists, "the whole list has to be asked for"
    control.watch._apply_list({"seq": 1, "whole": False, "hosts": []})
    control.watch._apply_list({"seq": 2, "whole": True, "hosts": []})
    assert len(control._queued_lists) == 1, "a whole list makes what waits old"


def test_changes_that_wait_are_bounded() -> None:
    run(_too_many_changes())


async def start(path: Path) -> tuple[asyncio.subprocess.Process, str]:
    """A control machine's process, once it listens."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "wheelstep.shards.control", str(path), cwd=ROOT, stderr=asyncio.subprocess.PIPE)
    started.append(process)
    assert process.stderr is not None
    async with asyncio.timeout(LIMIT_S):
        while b"listens on " not in (line := await process.stderr.readline()):
            assert line, "it ended"
    reading = asyncio.create_task(process.stderr.read())
    reading.add_done_callback(lambda _: None)
    process.reading = reading  # type: ignore[attr-defined]  # kept alive
    return process, line.decode().rpartition(" ")[2].strip()


async def _killed_and_replaced(folder: Path) -> None:
    agent = Agent("control", History(Figures({})), lambda: 0)
    agent.hosts = {f"h{n}": row(f"h{n}", f"127.0.0.1:{n + 1}", n, "web") for n in range(300)}
    await agent.open()
    address = agent.port.address
    machines = dict(zip("xy", await asyncio.gather(*(start(write(folder, name, discovery=address)) for name in "xy")),
                        strict=True))
    courier = Courier({name: at for name, (_, at) in machines.items()})
    work = asyncio.create_task(courier.run())
    try:
        courier.act(courier.client.follow(courier.now_us(), range(SHARDS)))
        await courier.until(*["SERVING"] * 300)
        agent.change(row("h0", "127.0.0.1:1", 0, "web", "DRAINING"), row("h1", "127.0.0.1:2", 1, "web", "DELETED"))
        await courier.until("DRAINING", None, *["SERVING"] * 298)
        first, courier.frames = courier.client.control, []
        machines[first][0].kill()
        async with asyncio.timeout(LIMIT_S):
            while courier.client.control in ("", first) or not courier.frames:
                courier.changed.clear()
                await courier.changed.wait()
        agent.change(row("h2", "127.0.0.1:3", 2, "web", "DRAINING"))
        await courier.until("DRAINING", None, "DRAINING", *["SERVING"] * 297)
        assert len([one for one in courier.frames if isinstance(one, ShardRows)]) == 1, "rows that digests agree on"
        assert not courier.client.refused
        left = next(process for name, (process, _) in machines.items() if name != first)
        left.terminate()
        assert await asyncio.wait_for(left.wait(), LIMIT_S) == 0
        assert digest_of(courier.seen.values()) == digest_of(
            read_entry(msgspec.json.encode(one)) for one in agent.hosts.values()), "it goes on with what it has"
    finally:
        work.cancel()
        await courier.close()
        agent.close()


def test_a_control_machine_is_killed_and_another_takes_its_place(tmp_path: Path) -> None:
    run(_killed_and_replaced(tmp_path))


async def _bad_file(folder: Path) -> None:
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "wheelstep.shards.control", str(write(folder, "x", shards=-1)), cwd=ROOT,
        stderr=asyncio.subprocess.PIPE)
    started.append(process)
    _, text = await asyncio.wait_for(process.communicate(), LIMIT_S)
    assert process.returncode == 1 and text.count(b"\n") == 1 and b"control.shards: -1; expected" in text


def test_its_process_ends_at_a_bad_file_with_one_line(tmp_path: Path) -> None:
    run(_bad_file(tmp_path))
