"""Courier of several processes at its limits: one worker's shortage does not affect the others."""

from __future__ import annotations

import asyncio
import contextlib
import os
from pathlib import Path
from typing import Any

import pytest
from loopback import ALONE, Call, Endpoint, Reply, Scene, host, run
from test_workers import operator

from wheelstep.rehearsal.standins.machine import children
from wheelstep.workers.ownership import assign, share_of

SHARES = 4


def destination_of_other_worker(destination: int, workers: int = 2) -> int:
    """Return a destination that another worker owns."""
    owners = assign(range(SHARES), range(workers), {})
    mine = owners[share_of(destination, SHARES)]
    return next(number for number in range(8, 100) if owners[share_of(number, SHARES)] != mine)


class TwoWorkers(Scene):
    """Destination 7 with `endpoint`, and destination `number` of the other worker with `other`."""

    def __init__(self, folder: Path, disk_mb: float = 3, settings: dict[str, Any] | None = None) -> None:
        super().__init__(folder, operator(folder, 2, SHARES), disk_mb)
        self.courier.settings = settings or ALONE
        self.other, self.number = Endpoint(), destination_of_other_worker(7)

    async def __aenter__(self) -> TwoWorkers:
        await self.platform.start()
        self.platform.list(host("e0", await self.endpoint.start()), host("f0", await self.other.start(), self.number))
        await self.courier.start()
        return self

    async def hand_in(self, name: str, destination: int, body: bytes = b"x") -> int:
        """Hand in until the answer is not 503, which a worker gives that does not know the owners yet."""
        async with asyncio.timeout(20):
            while True:
                status = 0
                with contextlib.suppress(OSError):  # the worker has just ended
                    status = await self.courier.hand_in(name, body=body, X_Consignee=f"dest={destination}")
                if status not in (0, 503):
                    return status
                await asyncio.sleep(0.02)

    async def fill(self, destination: int, body: bytes) -> list[str]:
        """Hand in until there is no room, and return the accepted messages."""
        taken: list[str] = []
        async with asyncio.timeout(20):
            while True:
                name = f"fill{len(taken)}"
                status, headers = await self.courier.hand_in_answer(name, body=body, X_Consignee=f"dest={destination}")
                if status == 503 and taken:
                    assert headers["Retry-After"] == "1"
                    return taken
                if status == 202:
                    taken.append(name)


def worker_pid(supervisor: int, number: int) -> int:
    """Return the process id of a worker."""
    return next(pid for pid in children(supervisor)
                if Path(f"/proc/{pid}/cmdline").read_bytes().split(b"\0")[-2] == str(number).encode())


async def hang(call: Call) -> Reply | None:
    """Never answer a call."""
    return None


def test_worker_without_disk_room_leaves_the_others_theirs(tmp_path: Path) -> None:
    """Messages that wait for destination 7 use up the disk room of their share, but not that of other shares."""
    async def scene() -> None:
        async with TwoWorkers(tmp_path, disk_mb=1.2) as s:
            s.platform.push(host("e0", s.endpoint.address, health="DRAINING"))
            await asyncio.sleep(0.3)
            taken = await s.fill(7, b"x" * 50_000)
            assert 3 <= len(taken) <= 6  # 300 KB a share
            for number in range(8):
                assert await s.hand_in(f"m{number}", s.number, b"y" * 50_000) == 202
            await s.other.wait(8)
            s.platform.push(host("e0", s.endpoint.address))
            calls = await s.endpoint.wait(len(taken))  # what was accepted is delivered once an endpoint is up
            assert sorted(call.headers["x-request-id"] for call in calls) == sorted(taken)
            assert await s.hand_in("again", 7) == 202
            assert await s.courier.terminate() == 0
    run(scene())


def test_worker_without_slots_and_hold_room_leaves_the_others_theirs(tmp_path: Path) -> None:
    """A destination that hangs uses up all slots and the hold limit of one worker."""
    async def scene() -> None:
        async with TwoWorkers(tmp_path) as s:
            s.endpoint.reply = hang
            s.platform.accepts_notices = False  # handed back messages count until their notice is answered
            taken = await s.fill(7, b"x")
            s.platform.accepts_notices = True
            assert len(taken) == 50  # half of what the courier holds
            for number in range(100):
                assert await s.hand_in(f"m{number}", s.number) == 202
                if number % 25 == 24:  # below the hold limit, beyond which some are handed back
                    await s.other.wait(number + 1)
            assert len(await s.other.wait(100)) == 100
            assert await s.courier.terminate() == 0
    run(scene())


def test_clients_are_served_while_silent_connections_use_up_descriptors(tmp_path: Path) -> None:
    """Each worker has its part of the descriptors and closes silent connections when it runs out of them."""
    async def scene() -> None:
        async with TwoWorkers(tmp_path) as s:
            silent = []
            for _ in range(300):  # 256 descriptors, a third for clients
                try:
                    silent.append(await asyncio.open_connection(*s.courier.address.rsplit(":", 1)))
                except OSError:
                    break
            for number in range(20):
                assert await s.hand_in(f"m{number}", s.number) == 202
                assert await s.hand_in(f"n{number}", 7) == 202
            assert len(await s.other.wait(20)) == len(await s.endpoint.wait(20)) == 20
            for _, writer in silent:
                writer.close()
            assert not any("Too many open files" in line or "Traceback" in line for line in s.courier.log)
            assert await s.courier.terminate() == 0
    run(scene())


@pytest.mark.parametrize("at", ["killed", "opened"])
def test_sigterm_while_shares_are_reassigned_loses_no_message(tmp_path: Path, at: str) -> None:
    """The messages of a killed worker are delivered once, by the worker that finally opens its shares."""
    async def scene() -> None:
        async with TwoWorkers(tmp_path) as s:
            s.platform.push(host("e0", s.endpoint.address, health="DRAINING"),
                            host("f0", s.other.address, s.number, health="DRAINING"))
            await asyncio.sleep(0.3)
            for number in range(5):
                assert await s.hand_in(f"m{number}", 7) == 202
                assert await s.hand_in(f"n{number}", s.number) == 202
            for crash in range(1 if at == "killed" else 3):
                os.kill(worker_pid(s.courier.process.pid, 0), 9)
                await s.courier.wait_log("ended with -9", crash + 1)
                if crash < 2 and at != "killed":  # wait until it has reopened its two shares
                    await s.courier.wait_log("is open after", SHARES + 2 * (crash + 1))
            if at != "killed":
                await s.courier.wait_log("parked; its shares")
            if at == "opened":
                await s.courier.wait_log("is open after", SHARES + 6)
            assert await s.courier.terminate() == 0
            s.platform.list(host("e0", s.endpoint.address), host("f0", s.other.address, s.number))
            await s.courier.start()
            mine, others = await s.endpoint.wait(5), await s.other.wait(5)
            assert await s.courier.terminate() == 0
            assert sorted(call.headers["x-request-id"] for call in mine) == [f"m{number}" for number in range(5)]
            assert sorted(call.headers["x-request-id"] for call in others) == [f"n{number}" for number in range(5)]
    run(scene())
