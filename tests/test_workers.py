"""A courier of several processes: messages passed on, owners that end, restarts with another number of workers."""

from __future__ import annotations

import asyncio
import os
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from loopback import ALONE, ROOT, Call, Endpoint, Reply, Scene, host, run
from test_rehearsal import rehearse

from wheelstep.courier.admission import BadRequestError, UnansweredError
from wheelstep.forwarding.client import RemoteDesk
from wheelstep.journal import NoRoomError, StoredMessage
from wheelstep.rehearsal.rig import module_command
from wheelstep.rehearsal.standins.machine import children
from wheelstep.workers.between import OwnerSide, forward_client
from wheelstep.workers.ownership import share_of


def message(name: str, destination: int = 7) -> StoredMessage:
    return StoredMessage(name, "once", destination, 10**13, body=b"body of " + name.encode())


class Owner:
    """Stands for the core of the worker that owns a message."""

    def __init__(self) -> None:
        self.syncs = False
        self.is_full = self.no_room = False
        self.taken: dict[str, StoredMessage] = {}
        self.begun: list[str] = []
        self.withdrawn: list[str] = []
        self.news = asyncio.Condition()
        self.may_sync = asyncio.Event()

    def full(self) -> bool:
        return self.is_full

    def serves(self, destination: int) -> bool:
        return destination == 7

    def holds(self, name: str) -> bool:
        return name in self.taken

    def take(self, one: StoredMessage) -> None:
        if self.no_room:
            raise NoRoomError("no room at all")
        self.taken[one.id] = one

    def is_unconfirmed(self, name: str) -> bool:
        return name in self.taken and name not in self.begun

    def durable(self) -> asyncio.Future[bool]:
        return asyncio.ensure_future(self.may_sync.wait())

    def begin(self, name: str) -> None:
        self.begun.append(name)
        asyncio.get_running_loop().create_task(self._tell())

    def withdraw(self, name: str) -> None:
        if self.taken.pop(name, None) is not None:
            self.withdrawn.append(name)
            asyncio.get_running_loop().create_task(self._tell())

    def record_answer(self, one: StoredMessage, status: int) -> None:
        pass

    async def _tell(self) -> None:
        async with self.news:
            self.news.notify_all()

    async def until(self, holds: Callable[[], bool]) -> None:
        async with asyncio.timeout(10), self.news:
            await self.news.wait_for(holds)


class Hop:
    """An owner behind a Unix socket, and the way to it."""

    def __init__(self, folder: Path) -> None:
        self.path = str(folder / "hop")
        self.owner = Owner()
        self.counters: list[OwnerSide] = []
        self.passage = forward_client(self.path)

    def _counter(self) -> Any:
        self.counters.append(OwnerSide(lambda destination: self.owner))  # type: ignore[arg-type, return-value]
        return self.counters[-1].frames

    async def __aenter__(self) -> Hop:
        self.server = await asyncio.get_running_loop().create_unix_server(self._counter, self.path)
        return self

    async def __aexit__(self, *_: object) -> None:
        self.passage.close()
        self.server.close()

    async def hand_in(self, one: StoredMessage) -> RemoteDesk:
        desk = RemoteDesk(self.passage)
        desk.take(one)
        await desk.durable()
        return desk


def test_the_owner_has_it_before_the_client_hears_and_begins_after(tmp_path: Path) -> None:
    async def work() -> None:
        async with Hop(tmp_path) as s:
            desk = await s.hand_in(message("m1"))
            assert s.owner.taken["m1"] == message("m1") and s.owner.begun == []
            desk.begin("m1")
            await s.owner.until(lambda: s.owner.begun == ["m1"])
            (await s.hand_in(message("m1"))).begin("m1")  # known already: nothing begins twice
            desk = await s.hand_in(message("m2"))
            desk.withdraw("m2")
            await s.owner.until(lambda: s.owner.withdrawn == ["m2"])
            assert s.owner.begun == ["m1"]
    run(work())


def test_what_the_owner_refuses_is_refused(tmp_path: Path) -> None:
    async def work() -> None:
        async with Hop(tmp_path) as s:
            with pytest.raises(BadRequestError, match="no such destination"):
                await s.hand_in(message("m1", 8))
            s.owner.no_room = True
            with pytest.raises(NoRoomError, match="no room at all"):
                await s.hand_in(message("m2"))
            s.owner.is_full = True
            with pytest.raises(NoRoomError, match="holds all it can"):
                await s.hand_in(message("m3"))
            s.server.close()
            s.counters[0].frames.close()
            await asyncio.sleep(0)
        with pytest.raises(NoRoomError, match="can't be reached"):  # nothing was sent: handing in again is harmless
            while True:
                try:
                    await s.hand_in(message("m4"))
                except UnansweredError:
                    continue
    run(work())


def test_an_owner_that_ends_in_between_leaves_no_false_answer(tmp_path: Path) -> None:
    """503 would invite the client to hand in again what the owner's journal may hold: a fee paid twice."""
    async def work() -> None:
        async with Hop(tmp_path) as s:
            s.owner.syncs = True
            asked = asyncio.create_task(s.hand_in(message("m1")))
            while not s.owner.taken:
                await asyncio.sleep(0)
            s.counters[0].frames.close()
            with pytest.raises(UnansweredError):
                await asked
    run(work())


def test_a_worker_that_ends_after_the_answer_leaves_its_messages_begun(tmp_path: Path) -> None:
    """Its client may have heard 202."""
    async def work() -> None:
        async with Hop(tmp_path) as s:
            await s.hand_in(message("m1"))
            s.passage.close()
            await s.owner.until(lambda: s.owner.begun == ["m1"])
    run(work())


def test_a_worker_that_ends_before_the_answer_leaves_nothing(tmp_path: Path) -> None:
    """Nobody was told: the client hands it in again under another id."""
    async def work() -> None:
        async with Hop(tmp_path) as s:
            s.owner.syncs = True
            asked = asyncio.create_task(s.hand_in(message("m1")))
            while not s.owner.taken:
                await asyncio.sleep(0)
            s.passage.close()
            await s.owner.until(lambda: s.owner.withdrawn == ["m1"])
            with pytest.raises(UnansweredError):
                await asked
            assert s.owner.begun == []
    run(work())


def test_two_clients_at_once_with_one_message(tmp_path: Path) -> None:
    """The second heard 202 for what the first, who went, still could withdraw: owed to nobody's knowledge, and gone."""
    async def work() -> None:
        async with Hop(tmp_path) as s:
            first = await s.hand_in(message("m1"))  # taken, its client has not heard yet
            with pytest.raises(UnansweredError, match="another client"):
                await s.hand_in(message("m1"))
            first.withdraw("m1")
            await s.owner.until(lambda: s.owner.withdrawn == ["m1"])
            (await s.hand_in(message("m1"))).begin("m1")
            await s.owner.until(lambda: s.owner.begun == ["m1"])
            assert (await s.hand_in(message("m1"))).known
    run(work())


def test_an_answer_belongs_to_its_own_question(tmp_path: Path) -> None:
    """A client that went and came again took the answer to its first question, though the second was refused."""
    async def work() -> None:
        async with Hop(tmp_path) as s:
            await s.hand_in(message("m0"))
            gone = RemoteDesk(s.passage)
            gone.take(message("m1"))
            gone.durable().cancel()
            gone.withdraw("m1")
            s.owner.no_room = False
            again = asyncio.create_task(s.hand_in(message("m1")))
            await s.owner.until(lambda: s.owner.withdrawn == ["m1"])
            s.owner.is_full = True
            try:
                desk = await again
            except NoRoomError:
                assert "m1" not in s.owner.taken
            else:
                desk.begin("m1")
                await s.owner.until(lambda: s.owner.begun == ["m1"])
    run(work())


def test_an_owner_that_does_not_answer_in_time_is_told_to_forget(tmp_path: Path) -> None:
    async def work() -> None:
        async with Hop(tmp_path) as s:
            s.owner.syncs = True
            with pytest.raises(UnansweredError, match="did not answer"):
                await s.hand_in(message("m1"))
            await s.owner.until(lambda: s.owner.withdrawn == ["m1"])
            assert s.owner.begun == []
    run(work())


# --- the whole, as processes ---


def operator(folder: Path, workers: int, shares: int = 4) -> Path:
    path = folder / "operator.toml"
    path.write_text(f"[workers]\ncount = {workers}\nshares = {shares}\n")
    return path


def test_every_worker_takes_messages_for_every_destination(tmp_path: Path) -> None:
    async def scene() -> None:
        s = Scene(tmp_path, operator(tmp_path, 3))
        s.courier.settings = ALONE  # guards the count against two messages that share a call on a quick machine
        others = [Endpoint() for _ in range(6)]
        await s.platform.start()
        s.platform.list(host("e0", await s.endpoint.start()),
                        *[host(f"f{number}", await one.start(), 20 + number) for number, one in enumerate(others)])
        await s.courier.start()
        assert len({share_of(20 + number, 4) for number in range(6)}) > 2
        for turn in range(5):
            for number in range(6):  # each on a connection of its own, so at any worker
                status = 503
                while status == 503:  # a worker that was not told yet who owns what
                    status = await s.courier.hand_in(f"m{turn}-{number}", X_Consignee=f"dest={20 + number}",
                                                     body=b"b" * 1000)
                assert status == 202
        for one in others:
            calls = await one.wait(5)
            assert len(calls) == 5 and all(call.body == b"b" * 1000 for call in calls)
        assert await s.courier.hand_in("m", X_Consignee="dest=99") == 400
        assert await s.courier.terminate() == 0
        assert [len(one.calls) for one in others] == [5] * 6
        await s.platform.stop()
    run(scene())


def test_a_message_is_delivered_once_over_layouts_and_deaths(tmp_path: Path) -> None:
    """Without workers, with two, all killed outright, with three shares more, and back: nothing is lost or doubled."""
    async def scene() -> None:
        s = Scene(tmp_path)
        s.courier.settings = ALONE
        await s.platform.start()
        s.platform.list(host("e0", await s.endpoint.start(), health="DRAINING"))  # so that messages wait
        try:
            await s.courier.start()
            assert await s.courier.hand_in("m0") == 202
            await s.courier.kill()
            s.courier.operator = operator(tmp_path, 2, 4)
            await s.courier.start()
            assert await s.courier.hand_in("m1") == 202
            await s.courier.kill()  # the kernel ends the workers with it
            s.courier.operator = operator(tmp_path, 3, 7)
            await s.courier.start()
            assert await s.courier.hand_in("m2") == 202
            assert await s.courier.terminate() == 0
            s.courier.operator = None
            with pytest.raises(RuntimeError, match="laid out for workers; expected"):
                await s.courier.start()
            merged = subprocess.run([sys.executable, "-m", "wheelstep.cli", "workers", "merge",
                                     str(tmp_path / "state")], cwd=ROOT, capture_output=True, text=True)
            assert (merged.returncode, merged.stderr) == (0, "")
            ran: list[str] = []

            async def fine(call: Call) -> Reply:
                ran.append(call.headers["x-request-id"])
                return 200, {}, b""
            s.endpoint.reply = fine
            s.platform.list(host("e0", s.endpoint.address))
            await s.courier.start()
            while len(ran) < 3:
                await asyncio.sleep(0.02)
            assert sorted(ran) == ["m0", "m1", "m2"]
            assert await s.courier.terminate() == 0
            assert len(ran) == 3
        finally:
            await s.platform.stop()
    run(scene())


def test_reload_moves_every_worker_and_the_end_of_one_stops_no_other(tmp_path: Path) -> None:
    async def scene() -> None:
        async with Scene(tmp_path, operator(tmp_path, 2)) as s:
            s.courier.renew("{")
            await s.courier.wait_log("the new configuration is not used")
            s.courier.renew(s.courier.config(s.platform))
            await s.courier.wait_log("configuration read again")
            first = children(s.courier.process.pid)
            os.kill(first[share_of(7, 4) % 2 ^ 1], 9)  # one of them; which owns destination 7 does not matter
            await s.courier.wait_log("started again, 1 of 3")
            while True:  # a connection may land where its owner is just being replaced
                try:
                    if await s.courier.hand_in("m1") == 202:
                        break
                except OSError:
                    pass
                await asyncio.sleep(0.05)
            assert (await s.endpoint.wait(1))[0].headers["x-request-id"] == "m1"
            assert await s.courier.terminate() == 0
    run(scene())


def test_too_many_workers_or_too_few_shares_are_said_in_a_line(tmp_path: Path) -> None:
    async def scene() -> None:
        for workers, shares, expected in ((5, 4, "expected 5 at least"), (20, 20, "no more than there are slots")):
            folder = tmp_path / str(workers)
            folder.mkdir()
            s = Scene(folder, operator(folder, workers, shares))
            await s.platform.start()
            with pytest.raises(RuntimeError, match=expected):
                await s.courier.start()
            await s.platform.stop()
    run(scene())


SHORT = """
title = "A worker is killed under load"
rule = "all"
length = "3s"
slots = 24
[[class]]
name = "pay"
promise = "1s"
deadline = "4s"
[[class]]
name = "update"
effect = "keyed"
key_life = "8s"
ordered = true
promise = "1s"
deadline = "4s"
[[kind]]
name = "firm"
""" + "".join(f"""
[[partner]]
name = "p{number}"
kind = "firm"
lanes = 8
pace = "50ms"
""" for number in range(5)) + """
[traffic]
rate_per_s = 50
[[fault]]
kind = "worker-kill"
at = ["0.5s", "1s"]
for = "5s"
worker = 0
"""


@pytest.mark.parametrize("seed", [1, 2])
def test_the_rules_are_kept_while_a_worker_dies(tmp_path: Path, seed: int) -> None:
    path = tmp_path / "short.toml"
    path.write_text(SHORT)
    command = f"{module_command('wheelstep.cli')} serve --workers 2"
    code, report = rehearse("run", str(path), "--seed", str(seed), "--courier", command)
    assert code == 0, report
