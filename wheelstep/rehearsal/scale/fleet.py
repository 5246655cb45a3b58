"""All processes of a run: started in order, queried together, and all ended at the close."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import fcntl
import os
import random
import tempfile
import time
from pathlib import Path
from typing import IO, Any

import msgspec

from wheelstep.rehearsal.scale import nursery
from wheelstep.rehearsal.scale.clients import Clients
from wheelstep.rehearsal.scale.links import Links
from wheelstep.rehearsal.scale.nursery import ChildProcess
from wheelstep.rehearsal.scale.plan import Plan, encode_plan, fleet_key, validate
from wheelstep.rehearsal.scale.real import ControlMachine, RealCourier
from wheelstep.rehearsal.scale.traffic import DestinationSampler

_PACKAGE = "wheelstep.rehearsal.scale"
_ROOT = Path(__file__).resolve().parents[3]
_MAX_CONCURRENT_STARTS = 3
_PROMPT_ANSWERS, _PROMPT_ANSWER_S = 5, 0.15  # `wait_responsive`: answers in a row, and the limit for each
_BASES = range(16, 90)


class FleetStartError(Exception):
    """The fleet did not start; the text tells what is missing."""


def reserve_base() -> tuple[int, IO[str]]:
    """Reserve a block of loopback addresses against other runs on this machine, for as long as the returned file is
    open. Raises `FleetStartError` if all are in use."""
    for base in random.SystemRandom().sample(_BASES, len(_BASES)):
        lock = open(Path(tempfile.gettempdir()) / f"umberchute-scale-{base}.lock", "a")  # noqa: SIM115
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            return base, lock
        except OSError:
            lock.close()
    raise FleetStartError("every block of loopback addresses is in use by another run")


class Fleet:
    """The processes of one run. The addresses of processes that are started here are missing in `plan` and are filled
    in at their start. Raises `ValueError` if the plan is invalid."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        validate(plan)
        self.plan, self.folder = plan, folder
        self.links = Links(Path(plan.links), plan.zone_names(), plan.zone_delay_s, plan.region_delay_s)
        self.discovery: ChildProcess
        self.standin: ChildProcess
        self.hosts: list[ChildProcess] = []
        self.control: list[ControlMachine] = []
        self.real: list[RealCourier] = []
        self.clients: Clients
        self._plan_file = folder / "plan.json"
        self._env = {**os.environ, "PYTHONPATH": str(_ROOT)}
        self.pids: set[int] = set()  # of every process ever started
        self.kills_s: list[float] = []  # seconds since the run's start

    def now_s(self) -> float:
        """Return the time in seconds since the run's start."""
        return time.monotonic() - self.plan.epoch_s

    async def _start_child(self, module: str, *args: str) -> ChildProcess:
        child = await nursery.start_child(f"{_PACKAGE}.{module}", str(self._plan_file), *args,
                                          log=self.folder / f"{module}{''.join(args)}.log", env=self._env, cwd=_ROOT)
        self.pids.add(child.pid)
        return child

    def _update_plan(self, **changes: Any) -> None:
        self.plan = msgspec.structs.replace(self.plan, **changes)
        self._plan_file.write_bytes(encode_plan(self.plan))

    async def start_services(self) -> None:
        """Start the partners, discovery, the control machines, and the host processes without their couriers."""
        (self.folder / "fleet.key").write_text(fleet_key(self.plan).hex() + "\n")
        self._update_plan()
        self.standin = await self._start_child("standin")
        self._update_plan(partners=f"127.0.0.1:{(await self.standin.read_answer())['port']}")
        self.discovery = await self._start_child("discovery")
        self._update_plan(discovery=(await self.discovery.read_answer())["address"])
        if not self.plan.undivided:
            for name in self.plan.control_machines():
                self.control.append(ControlMachine(self.plan, self._plan_file, name, self.folder, self._env))
                await self.control[-1].spawn()
                self.pids.add(self.control[-1].pid)
        for number in range(self.plan.hosts if self.plan.hollow else 0):
            self.hosts.append(await self._start_child("host", str(number)))
        await asyncio.gather(*(host.read_answer() for host in self.hosts))
        self.real = [RealCourier(self.plan, self._plan_file, site, self.folder, self._env)
                     for site in self.plan.sites() if site.host < 0]
        rng = random.Random(f"{self.plan.seed}/clients")
        self.clients = Clients(self.real, DestinationSampler(self.plan.destinations, rng), rng)

    async def start_couriers(self, within_s: float) -> None:
        """Start all couriers, and wait until each is ready and knows all others. Raises `FleetStartError` after
        `within_s`."""
        start_slots = asyncio.Semaphore(_MAX_CONCURRENT_STARTS)

        async def start_one(courier: RealCourier) -> None:
            async with start_slots:
                await courier.spawn()
                self.pids.add(courier.pid)
                if not await courier.ready(within_s):
                    raise FleetStartError(f"{courier.name} is not ready after {within_s:.0f} s:\n{courier.tail()}")
        await self.ask_hosts("make")
        await self.ask_hosts("start")
        await self.wait_formed(self.plan.hollow, within_s)
        await self.wait_responsive(within_s)
        await asyncio.gather(*map(start_one, self.real))
        await self.wait_formed(self.plan.hollow + self.plan.real, within_s)

    async def wait_formed(self, members: int, within_s: float) -> None:
        """Wait until every hollow courier is ready and knows `members` couriers. Raises `FleetStartError` after
        `within_s`."""
        end_s = time.monotonic() + within_s
        while True:
            counts = await self.ask_hosts("count")
            running, ready = sum(one["up"] for one in counts), sum(one["ready"] for one in counts)
            least_members = min((one["least_members"] for one in counts), default=members)
            if running == ready and least_members >= members:
                return
            if time.monotonic() > end_s:
                raise FleetStartError(f"{ready} of {running} hollow couriers are ready after {within_s:.0f} s, "
                                      f"one knows {least_members} of {members} members; logs in {self.folder}")
            await asyncio.sleep(0.2)

    async def wait_responsive(self, within_s: float) -> None:
        """Wait until all shards are open and every host process has answered promptly several times in a row, up to
        `within_s`. Couriers started while the loops are overloaded would consider themselves alone, and others would
        consider them gone."""
        end_s, prompt_answers = time.monotonic() + within_s, 0
        while prompt_answers < _PROMPT_ANSWERS and time.monotonic() < end_s:
            asked_s = time.monotonic()
            counts = await self.ask_hosts("count")
            prompt = time.monotonic() - asked_s < _PROMPT_ANSWER_S
            prompt_answers = prompt_answers + 1 if prompt and not sum(one["opening"] for one in counts) else 0
            await asyncio.sleep(0.2)

    async def ask_hosts(self, command: str) -> list[Any]:
        """Send a command to all host processes at once and return their answers. Raises `EOFError` if one has ended."""
        return list(await asyncio.gather(*(host.ask(command) for host in self.hosts)))

    async def command(self, command: str, names: list[str]) -> float:
        """Send a command with the names of couriers to the host processes that run them. Return the time when it was
        done, in seconds since the run's start."""
        by_host: dict[int, list[str]] = {}
        for site in self.plan.sites():
            if site.name in names and site.host >= 0:
                by_host.setdefault(site.host, []).append(site.name)
        await asyncio.gather(*(self.hosts[host].ask(f"{command} {' '.join(host_names)}")
                               for host, host_names in by_host.items()))
        if command in ("kill", "silence"):
            self.kills_s.append(self.now_s())
        return self.now_s()

    async def kill_real_courier(self, name: str) -> None:
        """Kill a real courier with SIGKILL."""
        import signal
        courier = next(one for one in self.real if one.name == name)
        courier.idle.clear()
        self.kills_s.append(self.now_s())
        await courier.stop(signal.SIGKILL)

    async def start_real_courier(self, name: str, within_s: float) -> bool:
        """Start a real courier again on the state it left. Return False if it is not ready after `within_s`."""
        courier = next(one for one in self.real if one.name == name)
        await courier.spawn()
        self.pids.add(courier.pid)
        return await courier.ready(within_s)

    async def set_traffic(self, per_s: float, dense: float = 1.0) -> None:
        """Submit `per_s` messages a second at every courier, hollow or real, to a fraction `dense` of the
        destinations."""
        await self.ask_hosts(f"traffic {per_s} {dense}")
        self.clients.sampler.active_share = dense
        self.clients.set_rate(per_s * len([one for one in self.real if one.up]))

    async def figures(self) -> dict[str, Any]:
        """Return a snapshot of the figures of all processes."""
        hosts, discovery, standin = await asyncio.gather(
            self.ask_hosts("figures"), self.discovery.ask("figures"), self.standin.ask("figures"))
        processes = {"hosts": [host.pid for host in self.hosts], "control": [one.pid for one in self.control],
                     "real": [one.pid for one in self.real if one.up]}
        return {
            "at_s": time.monotonic(), "hosts": hosts, "discovery": discovery, "standin": standin,
            "cpu_s": {kind: [nursery.cpu_s(pid) for pid in pids] for kind, pids in processes.items()},
            "memory_bytes": {kind: [nursery.memory_bytes(pid) for pid in pids] for kind, pids in processes.items()},
            "real": {one.name: one.figures() for one in self.real if one.up},
            "clients": {"answers": dict(self.clients.answers), "took": dict(self.clients.answer_times.counts),
                        "handed_in": len(self.clients.messages)}}

    async def owed(self) -> dict[str, Any]:
        """Return the numbers of messages that hollow couriers hold and of unanswered messages of all clients, and the
        ids of those unconfirmed or lost with powered-off couriers."""
        result = await self.ask_hosts("owed")
        return {"held": sum(one["held"] for one in result), "kept": sum(one["kept"] for one in result),
                "open": sum(one["open"] for one in result) + self.clients.unanswered,
                "settling": [name for one in result for name in one["settling"]],
                "lost": [name for one in result for name in one["lost"]]}

    async def message_ends(self) -> tuple[dict[str, list[float]], set[str]]:
        """Return the delivery times of tracked messages by id, in seconds since the run's start, and the ids of those
        that ended undelivered."""
        answers = await self.ask_hosts("tracked")
        delivered: dict[str, list[float]] = {}
        for deliveries in [one["delivered"] for one in answers] + [await self.standin.ask("tracked")]:
            for name, delivery_times in deliveries.items():
                delivered.setdefault(name, []).extend(delivery_times)
        ended = {name for one in answers for name in one["ended"]} | set(await self.discovery.ask("ended"))
        return delivered, ended

    async def close(self) -> list[int]:
        """End all processes; return the ids of those still running."""
        with contextlib.suppress(AttributeError):
            self.clients.close()
        await asyncio.gather(*(one.stop(within_s=5.0) for one in [*self.real, *self.control]), return_exceptions=True)
        children = [*self.hosts, *(child for name in ("discovery", "standin")
                                   if (child := getattr(self, name, None)) is not None)]
        await asyncio.gather(*(child.stop(within_s=10.0) for child in children), return_exceptions=True)
        self.links.close()
        return [pid for pid in self.pids if nursery.is_alive(pid)]


def as_dict(result: Any) -> dict[str, Any]:
    """Convert a dataclass to a dict."""
    return dataclasses.asdict(result)
