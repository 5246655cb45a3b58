"""The courier processes, each with its own loopback address, folder and configuration."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from wheelstep.rehearsal.standins.wire import Client

from .processes import FORK, Process, Starter

PORT = 7411
MAX_STARTING = 16  # couriers that start at the same time
READY_TIMEOUT_S = 60.0  # from the start of a process until it answers 200 to /healthz
POLL_S = 0.05
COURIER_MB, FORKED_MB, SPARE_MB = 27, 10, 600  # memory of a courier, of a forked courier, and to be left available


class FleetStartError(Exception):
    """Couriers could not be started or kept running."""


def settings(couriers: int, reports: bool, slots: int) -> dict[str, Any]:
    """Return the settings of each courier, in the form that the rehearsal's plan makes.

    With `reports`, couriers read the `x0` and `x1` load values from answers. `slots` is the number of concurrent calls
    of a courier.
    """
    return {
        "services": [{"name": "update", "promise_us": 2_000_000, "deadline_us": 20_000_000, "effect": "by_key",
                      "group": "all", "key_ttl_us": 5_000_000, "by_arrival": False}],
        "kinds": ["k"], "areas": ["a"], "locality": 0, "peers_total": couriers, "discovery": "automatic",
        "specifics": {"calls_out": slots, "per_call": [1], "kind_apart": [False], "late": "even"},
        "report": {"columns": ["x0", "x1"], "source": "inline"} if reports else {},
        "caps": {"open_cap": 500, "most_tries": 12, "conn_idle_us": 10_000_000, "dial_timeout_us": 1_000_000,
                 "may_duplicate": True, "may_probe": True, "cancel": True, "retry_after": True,
                 "max_retry_after_us": 3_000_000},
        "rules": {"order_settle_us": 300_000, "cold_us": 10_000_000, "cold_from": 0.3, "fall_multiple": 1.5,
                  "overload_for_us": 3_000_000, "drain_grace_us": 250_000, "answer_slack_us": 20_000},
        "prices": {"handshake": 0.06, "probe": 0.01}, "tick_us": 5000,
    }


def free_addresses(count: int) -> list[str]:
    """Return `count` addresses 127.x.y.z on which `PORT` is free. Raises `FleetStartError` after 50 tries."""
    for _ in range(50):
        x, y = random.SystemRandom().randrange(16, 250), random.SystemRandom().randrange(0, 200)
        found = [f"127.{x}.{y + number // 250}.{number % 250 + 1}" for number in range(count)]
        with contextlib.suppress(OSError):
            for host in found:
                with socket.socket() as trial:
                    trial.bind((host, PORT))
            return found
    raise FleetStartError(f"no {count} free addresses 127.x.y.z:{PORT} found")


@dataclass
class Member:
    """One courier across its restarts."""

    index: int
    host: str
    folder: Path
    process: Process | None = None
    up: bool = False  # was ready and has not been killed by this rig
    idle: list[Client] = field(default_factory=list)  # connections of its clients

    @property
    def pid(self) -> int:
        """The id of its latest process, which must have been started."""
        assert self.process is not None
        return self.process.pid


class Fleet:
    """All couriers of a run.

    `command` starts a courier that is configured through the RELAY_* environment variables; it runs in `tree`, a
    checkout of the project. `folder` gets a subfolder for each courier, and `config` returns what all configurations
    share. Raises `FleetStartError` if memory or addresses don't suffice.
    """

    def __init__(self, command: str, tree: Path, folder: Path, count: int,
                 config: Callable[[], dict[str, Any]]) -> None:
        check_memory(count * (FORKED_MB if command == FORK else COURIER_MB))
        self._starter, self._config = Starter(command, tree), config
        self.members = [Member(index, host, folder / f"c{index}") for index, host in enumerate(free_addresses(count))]
        for member in self.members:
            (member.folder / "state").mkdir(parents=True)
        self._start_slots = asyncio.Semaphore(MAX_STARTING)
        self.started_s: list[float] = []  # from the start of a process until it was ready

    async def start(self, which: Iterable[Member], progress: Callable[[str], None] = lambda text: None) -> float:
        """Start these couriers, `MAX_STARTING` at a time, wait until all are ready, and return how many seconds that
        took. `progress` is called with lines on progress. Raises `FleetStartError`."""
        began, rows = time.monotonic(), list(which)
        ready = 0

        async def one(member: Member) -> None:
            nonlocal ready
            async with self._start_slots:
                await self._start(member)
            ready += 1
            if ready % MAX_STARTING == 0 or ready == len(rows):
                progress(f"{ready} of {len(rows)} couriers ready")
        try:
            async with asyncio.TaskGroup() as group:
                for member in rows:
                    group.create_task(one(member))
        except ExceptionGroup as failed:
            raise failed.exceptions[0] from None
        return time.monotonic() - began

    async def _start(self, member: Member) -> None:
        check_memory()
        listen, folder = f"{member.host}:{PORT}", member.folder
        config = {**self._config(), "name": f"c{member.index}", "listen": listen, "seed": f"{member.index + 1:x}"}
        (folder / "config.json").write_text(json.dumps(config))
        env = {"RELAY_NAME": config["name"], "RELAY_LISTEN": listen, "RELAY_CONFIG": str(folder / "config.json"),
               "RELAY_STATE": str(folder / "state"), "RELAY_DISCOVERY": config["discovery"], "TMPDIR": str(folder)}
        began = time.monotonic()
        member.process = await self._starter.start(env, folder / "log")
        while not await _healthy(member.host):
            if member.process.poll() is not None or time.monotonic() - began > READY_TIMEOUT_S:
                tail = (folder / "log").read_text(errors="replace")[-500:]
                raise FleetStartError(f"c{member.index} did not get ready; its log ends: {tail}")
            await asyncio.sleep(POLL_S)
        self.started_s.append(time.monotonic() - began)
        member.up = True

    def kill(self, which: Iterable[Member]) -> None:
        """Send SIGKILL to all these couriers, then wait for each and close its clients' idle connections."""
        rows = [member for member in which if member.process is not None]
        for member in rows:
            member.up = False
            with contextlib.suppress(ProcessLookupError):
                os.killpg(member.pid, signal.SIGKILL)
        for member in rows:
            assert member.process is not None
            member.process.wait()
            for link in member.idle:
                link.close()
            member.idle.clear()

    def exited(self) -> list[int]:
        """Return the indexes of the couriers that have ended without `kill`."""
        return [member.index for member in self.members
                if member.up and member.process is not None and member.process.poll() is not None]

    def close(self) -> None:
        """Kill all couriers and the process that forked them."""
        self.kill(self.members)
        self._starter.close()


async def _healthy(host: str) -> bool:
    """Return whether the courier answers 200 to /healthz within 2 seconds."""
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(2.0):
            link = await Client.dial(host, PORT)
            try:
                answer = await link.exchange(b"GET /healthz HTTP/1.1\r\nHost: origin.svc\r\n\r\n")
            finally:
                link.close()
        return answer is not None and answer[0] == 200
    return False


def check_memory(needed_mb: int = 0) -> None:
    """Raise `FleetStartError` if fewer than `needed_mb` + `SPARE_MB` of memory are available: couriers must not get
    other processes of the machine killed."""
    rows = dict(line.split(":") for line in Path("/proc/meminfo").read_text().splitlines())
    if (left_mb := int(rows["MemAvailable"].split()[0]) // 1024) < needed_mb + SPARE_MB:
        raise FleetStartError(f"{left_mb} MB of memory are available; expected {needed_mb} for couriers and {SPARE_MB} "
                           "to spare")


def memory_kb(pid: int) -> tuple[int, int]:
    """Return the resident set size (RSS) and the proportional set size (PSS) of a process, in KiB."""
    found = {}
    for line in Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines()[1:]:
        name, _, value = line.partition(":")
        found[name] = int(value.split()[0])
    return found["Rss"], found["Pss"]


def cpu_s(pid: int) -> float:
    """Return the processor time that a process has used so far, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
