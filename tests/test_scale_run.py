"""A small fleet of hollow and real couriers: every destination is reachable through every real courier, also after a
courier of each kind was killed; no message is lost or delivered twice, and no process is left running.
`benchmarks/scale_run.py` runs this at full size."""

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
from wheelstep.rehearsal.scale.nursery import is_alive
from wheelstep.rehearsal.scale.plan import Plan
from wheelstep.rehearsal.scale.play import RunOptions, run_scale

ROOT = Path(__file__).parent.parent
DESTINATIONS = 240
WAIT_S = 30.0
PLAN = Plan(seed=3, hollow=60, real=3, destinations=DESTINATIONS, regions=2, zones=6, control=2, shards=256, rate=0.002,
            hosts=2, base=16, epoch_s=0.0, boot=0, links="", probe_us=200_000, down_share=0.01, down_s=2.0,
            changes_per_s=2.0)


class Scenario:
    """The scenario of the test, and what it observed."""

    def __init__(self) -> None:
        self.unreached: list[str] = []
        self.kills_noticed = False

    async def _reach(self, fleet: Fleet, when: str) -> None:
        """Submit a message for every destination at every real courier that is up."""
        messages = [(courier.name, fleet.clients.submit(destination, courier))
                    for courier in fleet.real if courier.up for destination in range(DESTINATIONS)]
        assert await fleet.clients.wait_answered(WAIT_S)
        self.unreached += [f"{when}: {name} {message.id}" for name, message in messages if message.accepted_s is None]

    async def run(self, fleet: Fleet) -> None:
        """Reach all destinations, kill a courier of each kind under traffic, reach them again, restart both, and reach
        them again."""
        await self._reach(fleet, "at first")
        await fleet.set_traffic(fleet.plan.rate * 327)
        hollow, real = "h0007", fleet.real[1].name
        await asyncio.gather(fleet.command("kill", [hollow]), fleet.kill_real_courier(real))
        end_s = time.monotonic() + WAIT_S
        while not self.kills_noticed and time.monotonic() < end_s:
            self.kills_noticed = not sum(one["seeing"] for one in await fleet.ask_hosts(f"seen {hollow} {real}"))
            await asyncio.sleep(0.05)
        await self._reach(fleet, "without two")
        await fleet.command("back", [hollow])
        assert await fleet.start_real_courier(real, WAIT_S), fleet.real[1].tail()
        await fleet.wait_formed(63, WAIT_S)
        await self._reach(fleet, "in the end")


def test_hollow_and_real_couriers_reach_all_destinations_and_lose_no_message_across_kills() -> None:
    scenario, phases = Scenario(), list[str]()
    result: dict[str, Any] = asyncio.run(asyncio.wait_for(
        run_scale(RunOptions(PLAN, (), start_s=WAIT_S, minutes=2.0), phases.append, scenario.run), 150))
    checks, followed = result["checks"], result["checks"]["followed"]
    assert scenario.kills_noticed and not scenario.unreached, scenario.unreached[:5]
    assert followed["taken"] >= 8 * DESTINATIONS and followed["delivered"] > 0
    assert (followed["lost"], followed["doubled"], followed["wrong"]) == (0, 0, [])
    assert checks["hollow_exceptions"] == 0, result["notes"]
    assert checks["hollow_without_end"] == 0 and checks["hollow_held"] == 0 and checks["left_running"] == 0
    assert phases == ["start", "drain", "end"]


def descendants(pid: int) -> set[int]:
    """Return the ids of a process's children, their children and so on."""
    found: set[int] = set()
    for path in Path(f"/proc/{pid}/task").glob("*/children"):
        for child in map(int, path.read_text().split()):
            found |= {child} | descendants(child)
    return found


def test_killed_command_leaves_no_child_process() -> None:
    command_process = subprocess.Popen(
        [sys.executable, "benchmarks/scale_run.py", "--hollow", "4", "--real", "1", "--control", "1", "--zones", "2",
         "--destinations", "20", "--shards", "16", "--hosts", "2", "--parts", "idle", "--spell", "600"],
        cwd=ROOT, stderr=subprocess.DEVNULL)
    try:
        end_s = time.monotonic() + WAIT_S
        while len(started := descendants(command_process.pid)) < 6 and time.monotonic() < end_s:
            assert command_process.poll() is None
            time.sleep(0.05)
        assert len(started) == 6  # partners, discovery, a control machine, two hosts, a real courier
    finally:
        os.kill(command_process.pid, signal.SIGKILL)
        command_process.wait()
    end_s = time.monotonic() + WAIT_S
    while any(map(is_alive, started)) and time.monotonic() < end_s:
        time.sleep(0.02)
    assert not [pid for pid in started if is_alive(pid)]
