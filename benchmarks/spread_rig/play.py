"""Runs one fleet from its start to its end, one scene after another, and collects the statistics."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import resource
import shutil
import signal
import tempfile
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from statistics import mean, median

from .clients import Clients
from .desk import BaselinePolicy, simulate_calls
from .figures import TableRow, quantile, summarize
from .fleet import Fleet, check_memory, cpu_s, memory_kb, settings
from .plan import Fault, Scene, Shape, arrivals, weights
from .site import SceneRun, Site

SETTLE_S = 12.0  # from a scene's last submission until what is not delivered counts as undelivered
RESTART_DELAY_S = 0.6  # from SIGKILL until a courier's next start
MAX_DESCRIPTORS = 16_384
_LATENESS_INTERVAL_S = 0.02


@dataclass(frozen=True)
class RunOptions:
    """What to run."""

    couriers: int
    command: str
    tree: Path
    shapes: tuple[Shape, ...]
    scenes: tuple[Scene, ...]
    per_s: float  # messages a second in all
    slots: int = 4
    reports: bool = False


@dataclass
class RunResult:
    """The results of a run."""

    rows: list[TableRow] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)  # lines to print below the table
    pids: list[int] = field(default_factory=list)  # last process of each courier


def cancel_on_signal() -> None:
    """Make SIGINT and SIGTERM cancel the current task, even if this process inherited an ignored SIGINT."""
    task, loop = asyncio.current_task(), asyncio.get_running_loop()
    assert task is not None
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, task.cancel)


async def run_scenes(given: RunOptions, seed: int, progress: Callable[[str], None] = lambda text: None) -> RunResult:
    """Start the fleet, run the scenes and end the fleet. `progress` is called with lines on progress.

    Raises `fleet.FleetStartError` if a courier doesn't start or memory runs out. No process is left in any case.
    """
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, MAX_DESCRIPTORS) if hard > 0 else MAX_DESCRIPTORS, hard))
    site, seen = Site(given.shapes, given.per_s, given.reports), RunResult()
    folder = Path(tempfile.mkdtemp(prefix="umberchute-spread-"))
    fleet: Fleet | None = None
    try:
        await site.open()
        fleet = Fleet(given.command, given.tree, folder, given.couriers, lambda: {
            "discovery": site.agent.port.address, "known": site.agent.full_list(),
            "limits": {"disk_mb": 3, "sockets": 256}, "settings": settings(given.couriers, given.reports, given.slots)})
        took_s = await fleet.start(fleet.members, progress)
        seen.notes.append(f"start ({given.command}): {given.couriers} couriers ready after {took_s:.1f} s, each after "
                          f"{median(fleet.started_s):.2f} s (median), {max(fleet.started_s):.2f} s at most")
        for number, scene in enumerate(given.scenes):
            progress(f"seed {seed}, {scene.fault}: {scene.length_s:.0f} s")
            seen.rows += await _run_scene(given, seed, scene, f"s{number}", site, fleet, seen.notes)
        seen.notes.append(_memory_note(fleet))
        if exited := fleet.exited():
            seen.notes.append(f"couriers that ended by themselves: {exited}")
        if site.notifications:
            seen.notes.append(f"notifications of messages that ended undelivered: {site.notifications}")
    finally:
        if fleet is not None:
            seen.pids = [member.pid for member in fleet.members if member.process is not None]
            fleet.close()
        site.close()
        shutil.rmtree(folder, ignore_errors=True)
    return seen


def _memory_note(fleet: Fleet) -> str:
    sizes = [memory_kb(member.pid) for member in fleet.members if member.up]
    rss, pss = [size[0] / 1024 for size in sizes], [size[1] / 1024 for size in sizes]
    return (f"memory: RSS {mean(rss):.1f} MB a courier ({max(rss):.1f} at most), {sum(rss) / 1024:.2f} GB in all; "
            f"shared memory counted once (PSS) {mean(pss):.1f} MB and {sum(pss) / 1024:.2f} GB")


async def _run_scene(given: RunOptions, seed: int, scene: Scene, tag: str, site: Site, fleet: Fleet,
                     notes: list[str]) -> list[TableRow]:
    messages = arrivals(seed, scene, given.shapes, given.per_s, weights(seed, given.couriers))
    run = SceneRun(tag, scene, asyncio.get_running_loop().time() + 0.2, messages)
    site.begin(run)
    clients, held, late = Clients(fleet, run, seed), set[int](), list[float]()
    before_s, before = {member.index: cpu_s(member.pid) for member in fleet.members}, os.times()
    try:
        async with asyncio.TaskGroup() as group:
            watch = group.create_task(_measure_lateness(late))
            fault = group.create_task(_inject_fault(seed, run, site, fleet, clients, held))
            await clients.run()
            if scene.fault is Fault.PLAIN:
                spent_s, now = sum(cpu_s(member.pid) - before_s[member.index] for member in fleet.members), os.times()
                notes.append(f"plain: the couriers used {spent_s / scene.length_s:.2f} cores, endpoints and clients "
                             f"{(now.user - before.user + now.system - before.system) / scene.length_s:.2f}")
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(run.all_delivered.wait(), SETTLE_S)
            await fault
            watch.cancel()
    except ExceptionGroup as failed:
        raise failed.exceptions[0] from None
    finally:
        clients.close()
    answers = ", ".join(f"{count} times {what}" for what, count in sorted(clients.answers.items()))
    notes.append(f"{scene.fault}: {len(messages)} messages, answers: {answers}; this process late by "
                 f"{quantile(late, 0.99) * 1e3:.0f} ms at p99, {max(late) * 1e3:.0f} ms at most")
    rows = []
    for shape in given.shapes:
        policy = "couriers, x0" if given.reports else "couriers"
        rows.append(summarize(policy, scene, shape, messages, run.calls, run.delivered, run.dials, held))
        for baseline in BaselinePolicy:
            calls = simulate_calls(seed, scene, given.shapes, messages, baseline)
            delivered = {call.number: call.end_s for call in calls if call.end_s is not None}
            rows.append(summarize(baseline, scene, shape, messages, calls, delivered))
    if held:
        held_times = [time_s for line in rows for time_s in line.held]
        notes.append(f"{scene.fault}: {len(held)} messages held by killed couriers are left out of the table; "
                     f"{len(held_times)} delivered, the last {max(held_times, default=0):.1f} s after submission")
    return rows


async def _inject_fault(seed: int, run: SceneRun, site: Site, fleet: Fleet, clients: Clients,
                        held: set[int]) -> None:
    """Wait for the time of the scene's fault and cause it. Adds to `held` the numbers of the messages that killed
    couriers had accepted and not delivered."""
    if run.scene.fault not in (Fault.KILLED, Fault.REPLACED):
        return  # `EndpointQueue` models the stall itself
    await asyncio.sleep(run.started + run.scene.at_s - asyncio.get_running_loop().time())
    if run.scene.fault is Fault.REPLACED:
        await site.replace()
        return
    victims = random.Random(f"victims {seed}").sample(fleet.members, max(1, len(fleet.members) // 3))
    dead = {member.index for member in victims}
    held |= {number for number, courier in clients.accepted_by.items()
             if courier in dead and number not in run.delivered}
    fleet.kill(victims)
    await asyncio.sleep(RESTART_DELAY_S)
    await fleet.start(victims)


async def _measure_lateness(late: list[float]) -> None:
    """Append to `late` how many seconds late this event loop wakes, which a busy machine adds to every measured time.
    Raises `FleetStartError` if memory runs out, before other processes of the machine are killed."""
    loop = asyncio.get_running_loop()
    while True:
        before = loop.time()
        await asyncio.sleep(_LATENESS_INTERVAL_S)
        late.append(loop.time() - before - _LATENESS_INTERVAL_S)
        if len(late) % 25 == 0:
            check_memory()


def make_scenes(length_s: float, which: Sequence[Fault] = tuple(Fault)) -> tuple[Scene, ...]:
    """Return a scene of `length_s` seconds for each fault: the fault begins after a sixth of it, and a stall lasts a
    fifth of it."""
    begin_s = length_s / 6
    return tuple(Scene(fault, length_s, begin_s, begin_s + length_s / 5) for fault in which)
