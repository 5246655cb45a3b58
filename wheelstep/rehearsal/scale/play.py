"""One whole run: reserve addresses, start the fleet, play the day, drain, check, and build the result."""

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
from wheelstep.rehearsal.scale.fleet import Fleet, as_dict, reserve_base
from wheelstep.rehearsal.scale.judge import check_deliveries
from wheelstep.rehearsal.scale.plan import Plan
from wheelstep.rehearsal.scale.settings import DEADLINE_S

_WANTED_DESCRIPTORS = 65_536
_MIN_DESCRIPTORS = 4_096
_CHECKS_RESERVE_S = DEADLINE_S + 20.0  # time of the run reserved for the drain and the checks
_ROOT = Path(__file__).resolve().parents[3]


@dataclass(frozen=True, slots=True)
class RunOptions:
    """The options of a run. `base`, `epoch_s`, `boot` and `links` of the plan are filled in by `run_scale`."""

    plan: Plan
    parts: Sequence[str]
    quiet_s: float = 20.0  # length of each quiet period
    start_s: float = 120.0  # limit for each step of the start
    minutes: float = 10.0  # limit of the whole run
    folder: Path | None = None  # new, for logs and files; None: a temporary one


def machine_info() -> dict[str, Any]:
    """Return the cores, the memory and the Python version of this machine."""
    memory_bytes = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
    return {"cores": os.cpu_count(), "memory_bytes": memory_bytes, "python": platform.python_version()}


def commit_id() -> str:
    """Return the commit that runs, with a plus if files were changed since; `unknown` without git."""
    with contextlib.suppress(OSError):
        found = subprocess.run(["git", "describe", "--always", "--dirty=+", "--exclude=*"], cwd=_ROOT,
                               capture_output=True, text=True, check=False)
        return found.stdout.strip() or "unknown"
    return "unknown"


def raise_descriptor_limit() -> None:
    """Raise the limit of open files as far as the system allows; a host process has hundreds of sockets."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = _WANTED_DESCRIPTORS if hard == resource.RLIM_INFINITY else min(hard, _WANTED_DESCRIPTORS)
    with contextlib.suppress(ValueError, OSError):
        resource.setrlimit(resource.RLIMIT_NOFILE, (max(wanted, _MIN_DESCRIPTORS), hard))


async def run_scale(options: RunOptions, report_phase: Callable[[str], None],
                    on_up: Callable[[Fleet], Any] | None = None) -> dict[str, Any]:
    """Run and return the result. `on_up` is awaited with the fleet once it is up, before the parts of the day. Raises
    `FleetStartError`, `TimeoutError` if the time is over before any quiet period was measured, and `EOFError` if a
    process has ended."""
    raise_descriptor_limit()
    load, commit_at_start, (base, lock) = os.getloadavg(), commit_id(), reserve_base()
    with tempfile.TemporaryDirectory(prefix="umberchute-scale-") as temporary, lock:
        folder_name = str((options.folder or Path(temporary)).resolve())
        Path(folder_name).mkdir(parents=True, exist_ok=True)
        plan = with_addresses(options.plan, base, Path(folder_name))
        fleet = Fleet(plan, Path(folder_name))
        day = Day(fleet, options.quiet_s, report_phase)
        began_s = time.monotonic()
        left_running: list[int] = []
        checks: dict[str, Any] = {"cut_short": True}
        try:
            async with asyncio.timeout(options.minutes * 60):
                report_phase("start")
                await fleet.start_services()
                first = await fleet.figures()
                await fleet.start_couriers(options.start_s)
                up_s = time.monotonic() - began_s
                if on_up is not None:
                    await on_up(fleet)
                final = await fleet.figures()
                try:
                    async with asyncio.timeout(options.minutes * 60 - (time.monotonic() - began_s) - _CHECKS_RESERVE_S):
                        await day.play(options.parts)
                except TimeoutError:
                    report_phase("cut short")  # earlier measurements count, and the checks still follow
                report_phase("drain")
                checks = await _check_after_drain(fleet)
                final = await fleet.figures()
        except TimeoutError:
            if not day.quiet:
                raise
        finally:
            report_phase("end")
            left_running = await fleet.close()
    checks["parts_played"] = [*day.quiet, *(fault["fault"] for fault in day.faults)]
    result = {
        "what": "scale_run", "commit": commit_at_start, "machine": machine_info(),
        "parameters": _run_parameters(options), "seed": plan.seed,
        "load": {"start": load[0], "end": os.getloadavg()[0]},
        "start": {"seconds": up_s, "host_memory_bytes_empty": figures.mean(first["memory_bytes"]["hosts"]),
                  "whole_lists": final["discovery"]["whole_lists"], "list_bytes": final["discovery"]["list_bytes"]},
        "quiet": day.quiet, "faults": day.faults,
        "notes": dict(figures.sums(final, "notes").most_common(20)),
        "checks": {**checks, "left_running": len(left_running), "seconds": time.monotonic() - began_s}}
    return dict(figures.rounded(result))


def with_addresses(plan: Plan, base: int, folder: Path) -> Plan:
    """Return the plan of a run that begins now, with its block of loopback addresses and the file of its links."""
    import msgspec
    return msgspec.structs.replace(plan, base=base, epoch_s=time.monotonic(), boot=int(time.time()),
                                   links=str(folder / "links"))


def _run_parameters(options: RunOptions) -> dict[str, Any]:
    plan = options.plan
    names = ("hollow", "real", "destinations", "regions", "zones", "control", "shards", "rate", "hosts", "undivided",
             "changes_per_s", "down_share", "down_s", "zone_delay_s", "region_delay_s", "probe_us")
    return {**{name: getattr(plan, name) for name in names}, "parts": list(options.parts),
            "spell_s": options.quiet_s}


async def _check_after_drain(fleet: Fleet) -> dict[str, Any]:
    """Stop the traffic, wait until every accepted message has ended, and check that none was lost or delivered
    twice."""
    await fleet.set_traffic(0.0)
    end_s = time.monotonic() + DEADLINE_S + 10
    await fleet.clients.wait_answered(DEADLINE_S + 10)
    while True:
        owed = await fleet.owed()
        delivered, ended = await fleet.message_ends()
        report = check_deliveries(fleet.clients.messages, delivered, ended, fleet.kills_s, owed["lost"])
        if not owed["held"] and not owed["open"] and not report.lost or time.monotonic() > end_s:
            break
        await asyncio.sleep(0.5)
    final = await fleet.figures()
    counts, taken = figures.sums(final, "counts"), figures.sums(final, "sums")["taken"]
    ends = (counts["delivered"] - counts["repeats"] + counts["handed_back"] + counts["given_up"] + counts["unsettled"]
            + owed["held"] + owed["kept"] + len(owed["lost"]))
    return {"followed": as_dict(report), "hollow_taken": taken, "hollow_without_end": taken - ends,
            "hollow_held": owed["held"], "hollow_held_unsettled": len(owed["settling"]),
            "hollow_held_unsettled_some": owed["settling"][:5],
            "hollow_kept": owed["kept"], "hollow_lost_with_machines": len(owed["lost"]),
            "hollow_exceptions": sum(host["exceptions"] for host in final["hosts"]),
            "hollow_repeats": counts["repeats"], "hollow_open": owed["open"],
            "answers": dict(figures.sums(final, "answers")), "real_answers": dict(fleet.clients.answers)}
