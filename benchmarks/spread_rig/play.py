"""One fleet from its start to its end: scenes one after another, and what was seen."""

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
from .desk import Choice, virtual
from .figures import Row, at_share, row
from .fleet import Fleet, check_memory, cpu_s, memory_kb, settings
from .plan import Fault, Scene, Shape, arrivals, weights
from .site import Play, Site

SETTLE_S = 12.0  # after a scene's last message until what is not delivered counts as such
BACK_S = 0.6  # from SIGKILL until a courier's next start
DESCRIPTORS = 16_384
_TICK_S = 0.02


@dataclass(frozen=True)
class Given:
    """What is asked for."""

    couriers: int
    command: str
    tree: Path
    shapes: tuple[Shape, ...]
    scenes: tuple[Scene, ...]
    per_s: float  # messages a second in all
    slots: int = 4
    reports: bool = False


@dataclass
class Seen:
    """What a fleet showed."""

    rows: list[Row] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)
    pids: list[int] = field(default_factory=list)


def end_by_signal() -> None:
    """SIGINT and SIGTERM end what this task does by cancelling it, also where SIGINT was ignored at the start."""
    task, loop = asyncio.current_task(), asyncio.get_running_loop()
    assert task is not None
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, task.cancel)


async def play(given: Given, seed: int, tell: Callable[[str], None] = lambda text: None) -> Seen:
    """Start the fleet, play the scenes, end the fleet. Raises `fleet.NoFleetError`."""
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, DESCRIPTORS) if hard > 0 else DESCRIPTORS, hard))
    site, seen = Site(given.shapes, given.per_s, given.reports), Seen()
    folder = Path(tempfile.mkdtemp(prefix="umberchute-spread-"))
    fleet: Fleet | None = None
    try:
        await site.open()
        fleet = Fleet(given.command, given.tree, folder, given.couriers, lambda: {
            "discovery": site.agent.port.address, "known": site.agent.full_list(),
            "limits": {"disk_mb": 3, "sockets": 256}, "settings": settings(given.couriers, given.reports, given.slots)})
        took_s = await fleet.start(fleet.members, tell)
        seen.notes.append(f"start ({given.command}): {given.couriers} couriers ready after {took_s:.1f} s, each after "
                          f"{median(fleet.started_s):.2f} s in the middle, {max(fleet.started_s):.2f} s at most")
        for number, scene in enumerate(given.scenes):
            tell(f"seed {seed}, {scene.fault}: {scene.length_s:.0f} s")
            seen.rows += await _scene(given, seed, scene, f"s{number}", site, fleet, seen.notes)
        seen.notes.append(_memory(fleet))
        if fallen := fleet.fallen():
            seen.notes.append(f"couriers that ended by themselves: {fallen}")
        if site.notices:
            seen.notes.append(f"notices of messages that ended undelivered: {site.notices}")
    finally:
        if fleet is not None:
            seen.pids = [member.pid for member in fleet.members if member.process is not None]
            fleet.close()
        site.close()
        shutil.rmtree(folder, ignore_errors=True)
    return seen


def _memory(fleet: Fleet) -> str:
    sizes = [memory_kb(member.pid) for member in fleet.members if member.up]
    rss, pss = [size[0] / 1024 for size in sizes], [size[1] / 1024 for size in sizes]
    return (f"memory: RSS {mean(rss):.1f} MB a courier ({max(rss):.1f} at most), {sum(rss) / 1024:.2f} GB in all; "
            f"what is shared counted once (PSS) {mean(pss):.1f} MB and {sum(pss) / 1024:.2f} GB")


async def _scene(given: Given, seed: int, scene: Scene, tag: str, site: Site, fleet: Fleet,
                 notes: list[str]) -> list[Row]:
    messages = arrivals(seed, scene, given.shapes, given.per_s, weights(seed, given.couriers))
    stage = Play(tag, scene, asyncio.get_running_loop().time() + 0.2, messages)
    site.begin(stage)
    clients, held, late = Clients(fleet, stage, seed), set[int](), list[float]()
    used, own = {member.index: cpu_s(member.pid) for member in fleet.members}, os.times()
    try:
        async with asyncio.TaskGroup() as group:
            watch = group.create_task(_watch(late))
            fault = group.create_task(_fault(seed, stage, site, fleet, clients, held))
            await clients.run()
            if scene.fault is Fault.PLAIN:
                spent, mine = sum(cpu_s(member.pid) - used[member.index] for member in fleet.members), os.times()
                notes.append(f"plain: the couriers used {spent / scene.length_s:.2f} cores, endpoints and clients "
                             f"{(mine.user - own.user + mine.system - own.system) / scene.length_s:.2f}")
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(stage.over.wait(), SETTLE_S)
            await fault
            watch.cancel()
    except ExceptionGroup as failed:
        raise failed.exceptions[0] from None
    finally:
        clients.close()
    answers = ", ".join(f"{count} times {what}" for what, count in sorted(clients.answers.items()))
    notes.append(f"{scene.fault}: {len(messages)} messages, answers: {answers}; this process late by "
                 f"{at_share(late, 0.99) * 1e3:.0f} ms at p99, {max(late) * 1e3:.0f} ms at most")
    rows = []
    for shape in given.shapes:
        who = "couriers, x0" if given.reports else "couriers"
        rows.append(row(who, scene, shape, messages, stage.calls, stage.delivered, stage.dials, held))
        for choice in Choice:
            calls = virtual(seed, scene, given.shapes, messages, choice)
            ends = {call.number: call.end_s for call in calls if call.end_s is not None}
            rows.append(row(choice, scene, shape, messages, calls, ends))
    if held:
        waited = [trip for line in rows for trip in line.held]
        notes.append(f"{scene.fault}: {len(held)} messages were held by couriers as they were killed, kept out of the "
                     f"table; delivered {len(waited)}, the last {max(waited, default=0):.1f} s after its hand-in")
    return rows


async def _fault(seed: int, stage: Play, site: Site, fleet: Fleet, clients: Clients, held: set[int]) -> None:
    if stage.scene.fault not in (Fault.KILLED, Fault.REPLACED):
        return  # a stall is the endpoints' own
    await asyncio.sleep(stage.began + stage.scene.at_s - asyncio.get_running_loop().time())
    if stage.scene.fault is Fault.REPLACED:
        await site.replace()
        return
    victims = random.Random(f"victims {seed}").sample(fleet.members, max(1, len(fleet.members) // 3))
    dead = {member.index for member in victims}
    held |= {number for number, owner in clients.owner.items() if owner in dead and number not in stage.delivered}
    fleet.kill(victims)
    await asyncio.sleep(BACK_S)
    await fleet.start(victims)


async def _watch(late: list[float]) -> None:
    """How much later than asked for this loop wakes: what the machine adds to every time that is seen. Ends the play
    where memory runs out: couriers must not push others' processes out."""
    loop = asyncio.get_running_loop()
    while True:
        before = loop.time()
        await asyncio.sleep(_TICK_S)
        late.append(loop.time() - before - _TICK_S)
        if len(late) % 25 == 0:
            check_memory()


def scenes(length_s: float, which: Sequence[Fault] = tuple(Fault)) -> tuple[Scene, ...]:
    """The scenes by their usual times: what counts begins after a sixth, a stall lasts a fifth."""
    begin_s = length_s / 6
    return tuple(Scene(fault, length_s, begin_s, begin_s + length_s / 5) for fault in which)
