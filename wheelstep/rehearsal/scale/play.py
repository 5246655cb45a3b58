"""A whole run: the plan's addresses, the fleet, its day, the drain and the checks, into one result."""

from __future__ import annotations

import asyncio
import contextlib
import os
import platform
import resource
import subprocess
import tempfile
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from wheelstep.rehearsal.scale import figures
from wheelstep.rehearsal.scale.day import Day
from wheelstep.rehearsal.scale.fleet import Fleet, as_dict, take_base
from wheelstep.rehearsal.scale.judge import judge
from wheelstep.rehearsal.scale.plan import Plan
from wheelstep.rehearsal.scale.settings import DEADLINE_S

_DESCRIPTORS = 65_536
_LEAST_DESCRIPTORS = 4_096
_CHECKS_S = DEADLINE_S + 20.0  # kept for the drain
_ROOT = Path(__file__).resolve().parents[3]


@dataclass(frozen=True, slots=True)
class Given:
    """What is asked of a run. `base` and `epoch_s` of the plan are put in here."""

    plan: Plan
    parts: Sequence[str]
    spell_s: float = 20.0
    start_s: float = 120.0  # until all are up
    minutes: float = 10.0  # in all
    folder: Path | None = None  # for logs and files, kept; else one that goes with the run


def machine() -> dict[str, Any]:
    """What it runs on."""
    memory_bytes = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
    return {"cores": os.cpu_count(), "memory_bytes": memory_bytes, "python": platform.python_version()}


def commit() -> str:
    """The state that runs; with a plus where files were changed since."""
    with contextlib.suppress(OSError):
        found = subprocess.run(["git", "describe", "--always", "--dirty=+", "--exclude=*"], cwd=_ROOT,
                               capture_output=True, text=True, check=False)
        return found.stdout.strip() or "unknown"
    return "unknown"


def raise_limits() -> None:
    """As many descriptors as the system allows: a host has some hundreds of sockets."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    most = _DESCRIPTORS if hard == resource.RLIM_INFINITY else min(hard, _DESCRIPTORS)
    with contextlib.suppress(ValueError, OSError):
        resource.setrlimit(resource.RLIMIT_NOFILE, (max(most, _LEAST_DESCRIPTORS), hard))


async def play(given: Given, tell: Callable[[str], None], look: Callable[[Fleet], Any] | None = None
               ) -> dict[str, Any]:
    """The result. `look` is called with the fleet once it is up, in place of the day's faults where parts are none.
    Raises `NoRunError`, `TimeoutError`, and `EOFError` where a process has ended."""
    raise_limits()
    load, state, (base, lock) = os.getloadavg(), commit(), take_base()
    with tempfile.TemporaryDirectory(prefix="umberchute-scale-") as temporary, lock:
        name = str((given.folder or Path(temporary)).resolve())
        Path(name).mkdir(parents=True, exist_ok=True)
        plan = _placed(given.plan, base, Path(name))
        fleet = Fleet(plan, Path(name))
        day = Day(fleet, given.spell_s, tell)
        began_s = time.monotonic()
        left: list[int] = []
        checks: dict[str, Any] = {"cut_short": True}
        try:
            async with asyncio.timeout(given.minutes * 60):
                tell("start")
                await fleet.begin()
                empty = await fleet.figures()
                await fleet.start(given.start_s)
                up_s = time.monotonic() - began_s
                if look is not None:
                    await look(fleet)
                last = await fleet.figures()
                try:
                    async with asyncio.timeout(given.minutes * 60 - (time.monotonic() - began_s) - _CHECKS_S):
                        await day.play(given.parts)
                except TimeoutError:
                    tell("cut short")  # what was measured before counts; the checks still come
                tell("drain")
                checks = await _checks(fleet)
                last = await fleet.figures()
        except TimeoutError:
            if not day.quiet:
                raise
        finally:
            tell("end")
            left = await fleet.close()
    checks["parts_played"] = [*day.quiet, *(fault["fault"] for fault in day.faults)]
    result = {
        "what": "scale_run", "commit": state, "machine": machine(),
        "parameters": _parameters(given), "seed": plan.seed,
        "load": {"start": load[0], "end": os.getloadavg()[0]},
        "start": {"seconds": up_s, "host_memory_bytes_empty": figures.mean(empty["memory_bytes"]["hosts"]),
                  "whole_lists": last["discovery"]["whole_lists"], "list_bytes": last["discovery"]["list_bytes"]},
        "quiet": day.quiet, "faults": day.faults,
        "notes": dict(figures.sums(last, "notes").most_common(20)),
        "checks": {**checks, "left_running": len(left), "seconds": time.monotonic() - began_s}}
    return dict(figures.rounded(result))


def _placed(plan: Plan, base: int, folder: Path) -> Plan:
    import msgspec
    return msgspec.structs.replace(plan, base=base, epoch_s=time.monotonic(), boot=int(time.time()),
                                   links=str(folder / "links"))


def _parameters(given: Given) -> dict[str, Any]:
    plan = given.plan
    names = ("hollow", "real", "destinations", "regions", "zones", "control", "shards", "rate", "hosts", "undivided",
             "changes_per_s", "down_share", "down_s", "zone_delay_s", "region_delay_s", "probe_us")
    return {**{name: getattr(plan, name) for name in names}, "parts": list(given.parts), "spell_s": given.spell_s}


async def _checks(fleet: Fleet) -> dict[str, Any]:
    """Nothing new comes in; until all that was taken has its end, then whether any was lost or doubled."""
    await fleet.traffic(0.0)
    end_s = time.monotonic() + DEADLINE_S + 10
    await fleet.clients.settled(DEADLINE_S + 10)
    while True:
        owed = await fleet.owed()
        delivered, ended = await fleet.ends()
        verdict = judge(fleet.clients.messages, delivered, ended, fleet.kills_s, owed["lost"])
        if not owed["held"] and not owed["open"] and not verdict.lost or time.monotonic() > end_s:
            break
        await asyncio.sleep(0.5)
    last = await fleet.figures()
    counts, taken = figures.sums(last, "counts"), figures.sums(last, "sums")["taken"]
    ends = (counts["delivered"] - counts["repeats"] + counts["handed_back"] + counts["given_up"] + counts["unsettled"]
            + owed["held"] + owed["kept"] + len(owed["lost"]))
    return {"followed": as_dict(verdict), "hollow_taken": taken, "hollow_without_end": taken - ends,
            "hollow_held": owed["held"], "hollow_kept": owed["kept"], "hollow_lost_with_machines": len(owed["lost"]),
            "hollow_exceptions": sum(host["exceptions"] for host in last["hosts"]),
            "hollow_repeats": counts["repeats"], "hollow_open": owed["open"],
            "answers": dict(figures.sums(last, "answers")), "real_answers": dict(fleet.clients.answers)}
