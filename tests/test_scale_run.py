"""A small fleet of hollow and real couriers: every destination is reachable from every real one, also after two have
been killed, no message is lost or doubled, and nothing is left running. At size: `benchmarks/scale_run.py`."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

from wheelstep.rehearsal.scale.fleet import Fleet
from wheelstep.rehearsal.scale.nursery import alive
from wheelstep.rehearsal.scale.plan import Plan
from wheelstep.rehearsal.scale.play import Given, play

ROOT = Path(__file__).parent.parent
DESTINATIONS = 240
WAIT_S = 30.0
PLAN = Plan(seed=3, hollow=60, real=3, destinations=DESTINATIONS, regions=2, zones=6, control=2, shards=256, rate=0.002,
            hosts=2, base=16, epoch_s=0.0, boot=0, links="", probe_us=200_000, down_share=0.01, down_s=2.0,
            changes_per_s=2.0)


class Seen:
    """What the scene saw."""

    def __init__(self) -> None:
        self.unreached: list[str] = []
        self.gone = False

    async def _reach(self, fleet: Fleet, when: str) -> None:
        """Every destination from every real courier that is up."""
        messages = [(courier.name, fleet.clients.hand_in(destination, courier))
                    for courier in fleet.real if courier.up for destination in range(DESTINATIONS)]
        assert await fleet.clients.settled(WAIT_S)
        self.unreached += [f"{when}: {name} {message.id}" for name, message in messages if message.taken_s is None]

    async def play(self, fleet: Fleet) -> None:
        """Reach all, kill one of each kind under traffic, reach all again; both come back."""
        await self._reach(fleet, "at first")
        await fleet.traffic(fleet.plan.rate * 327)
        hollow, real = "h0007", fleet.real[1].name
        await asyncio.gather(fleet.each("kill", [hollow]), fleet.kill_real(real))
        end_s = time.monotonic() + WAIT_S
        while not self.gone and time.monotonic() < end_s:
            self.gone = not sum(one["seeing"] for one in await fleet.ask(f"seen {hollow} {real}"))
            await asyncio.sleep(0.05)
        await self._reach(fleet, "without two")
        await fleet.each("back", [hollow])
        assert await fleet.start_real(real, WAIT_S), fleet.real[1].tail()
        await fleet.formed(63, WAIT_S)
        await self._reach(fleet, "in the end")


def test_sixty_hollow_and_three_real_couriers_reach_all_lose_nothing_and_leave_nothing() -> None:
    seen, told = Seen(), list[str]()
    result: dict[str, Any] = asyncio.run(asyncio.wait_for(
        play(Given(PLAN, (), start_s=WAIT_S, minutes=2.0), told.append, seen.play), 150))
    checks, followed = result["checks"], result["checks"]["followed"]
    assert seen.gone and not seen.unreached, seen.unreached[:5]
    assert followed["taken"] >= 8 * DESTINATIONS and followed["delivered"] > 0
    assert (followed["lost"], followed["doubled"], followed["wrong"]) == (0, 0, [])
    assert checks["hollow_exceptions"] == 0, result["notes"]
    assert checks["hollow_without_end"] == 0 and checks["hollow_held"] == 0 and checks["left_running"] == 0
    assert told == ["start", "drain", "end"]


def children(pid: int) -> set[int]:
    """Of a process, and theirs."""
    found: set[int] = set()
    for path in Path(f"/proc/{pid}/task").glob("*/children"):
        for child in map(int, path.read_text().split()):
            found |= {child} | children(child)
    return found


def test_all_that_the_command_started_ends_with_it_also_when_it_is_killed() -> None:
    command = subprocess.Popen(
        [sys.executable, "benchmarks/scale_run.py", "--hollow", "4", "--real", "1", "--control", "1", "--zones", "2",
         "--destinations", "20", "--shards", "16", "--hosts", "2", "--parts", "idle", "--spell", "600"],
        cwd=ROOT, stderr=subprocess.DEVNULL)
    try:
        end_s = time.monotonic() + WAIT_S
        while len(started := children(command.pid)) < 6 and time.monotonic() < end_s:  # all that there will be
            assert command.poll() is None
            time.sleep(0.05)
        assert len(started) == 6
    finally:
        os.kill(command.pid, signal.SIGKILL)
        command.wait()
    end_s = time.monotonic() + WAIT_S
    while any(map(alive, started)) and time.monotonic() < end_s:
        time.sleep(0.02)
    assert not [pid for pid in started if alive(pid)]
