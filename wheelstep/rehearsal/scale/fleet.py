"""All processes of a run: started in their order, asked together, and ended to the last one."""

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
from wheelstep.rehearsal.scale.nursery import Child
from wheelstep.rehearsal.scale.plan import Plan, check, key, write
from wheelstep.rehearsal.scale.real import Control, RealCourier
from wheelstep.rehearsal.scale.traffic import Draw

_PACKAGE = "wheelstep.rehearsal.scale"
_ROOT = Path(__file__).resolve().parents[3]
_STARTS_AT_ONCE = 3
_CALM, _SOON_S = 5, 0.15  # answers in a row, and how soon
BASES = range(16, 90)


class NoRunError(Exception):
    """The fleet did not come up; the text tells what is missing."""


def take_base() -> tuple[int, IO[str]]:
    """Addresses that no other run on this machine has, as long as the file is open."""
    for base in random.SystemRandom().sample(BASES, len(BASES)):
        lock = open(Path(tempfile.gettempdir()) / f"umberchute-scale-{base}.lock", "a")  # noqa: SIM115
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            return base, lock
        except OSError:
            lock.close()
    raise NoRunError("every block of loopback addresses is another run's")


class Fleet:
    """`plan` lacks addresses of what is started here."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        check(plan)
        self.plan, self.folder = plan, folder
        self.links = Links(Path(plan.links), plan.zones_named(), plan.zone_delay_s, plan.region_delay_s)
        self.discovery: Child
        self.standin: Child
        self.hosts: list[Child] = []
        self.control: list[Control] = []
        self.real: list[RealCourier] = []
        self.clients: Clients
        self._plan_file = folder / "plan.json"
        self._env = {**os.environ, "PYTHONPATH": str(_ROOT)}
        self.pids: set[int] = set()  # of all that was ever started
        self.kills_s: list[float] = []

    def now_s(self) -> float:
        """Since the run's start."""
        return time.monotonic() - self.plan.epoch_s

    async def _child(self, module: str, *given: str) -> Child:
        child = await nursery.start(f"{_PACKAGE}.{module}", str(self._plan_file), *given,
                                    log=self.folder / f"{module}{''.join(given)}.log", env=self._env, cwd=_ROOT)
        self.pids.add(child.pid)
        return child

    def _write(self, **known: Any) -> None:
        self.plan = msgspec.structs.replace(self.plan, **known)
        self._plan_file.write_bytes(write(self.plan))

    async def begin(self) -> None:
        """Partners, discovery, control machines, and processes for hollow couriers that are not started yet."""
        (self.folder / "fleet.key").write_text(key(self.plan).hex() + "\n")
        self._write()
        self.standin = await self._child("standin")
        self._write(partners=f"127.0.0.1:{(await self.standin.read())['port']}")
        self.discovery = await self._child("discovery")
        self._write(discovery=(await self.discovery.read())["address"])
        if not self.plan.undivided:
            for name in self.plan.control_machines():
                self.control.append(Control(self.plan, self._plan_file, name, self.folder, self._env))
                await self.control[-1].spawn()
                self.pids.add(self.control[-1].pid)
        for number in range(self.plan.hosts if self.plan.hollow else 0):
            self.hosts.append(await self._child("host", str(number)))
        await asyncio.gather(*(host.read() for host in self.hosts))
        self.real = [RealCourier(self.plan, self._plan_file, site, self.folder, self._env)
                     for site in self.plan.sites() if site.host < 0]
        rng = random.Random(f"{self.plan.seed}/clients")
        self.clients = Clients(self.real, Draw(self.plan.destinations, rng), rng)

    async def start(self, within_s: float) -> None:
        """All couriers; until every one is ready and knows all others. Raises `NoRunError`."""
        turns = asyncio.Semaphore(_STARTS_AT_ONCE)

        async def one(courier: RealCourier) -> None:
            async with turns:
                await courier.spawn()
                self.pids.add(courier.pid)
                if not await courier.ready(within_s):
                    raise NoRunError(f"{courier.name} is not ready after {within_s:.0f} s:\n{courier.tail()}")
        await self.ask("make")
        await self.ask("start")
        await self.formed(self.plan.hollow, within_s)
        await self.calm(within_s)
        await asyncio.gather(*map(one, self.real))
        await self.formed(self.plan.hollow + self.plan.real, within_s)

    async def formed(self, members: int, within_s: float) -> None:
        """Every hollow courier is ready and knows so many. Raises `NoRunError`."""
        end_s = time.monotonic() + within_s
        while True:
            counts = await self.ask("count")
            up, ready = sum(one["up"] for one in counts), sum(one["ready"] for one in counts)
            least = min((one["least_members"] for one in counts), default=members)
            if up == ready and least >= members:
                return
            if time.monotonic() > end_s:
                raise NoRunError(f"{ready} of {up} hollow couriers are ready after {within_s:.0f} s, one knows {least} "
                                 f"of {members} members; logs in {self.folder}")
            await asyncio.sleep(0.2)

    async def calm(self, within_s: float) -> None:
        """Until all shards are open, and every process of hollow couriers answers soon, several times in a row: what
        starts while their loops are full takes itself for alone, and they it for dead. Not for longer than this."""
        end_s, calm = time.monotonic() + within_s, 0
        while calm < _CALM and time.monotonic() < end_s:
            asked_s = time.monotonic()
            counts = await self.ask("count")
            soon = time.monotonic() - asked_s < _SOON_S
            calm = calm + 1 if soon and not sum(one["opening"] for one in counts) else 0
            await asyncio.sleep(0.2)

    async def ask(self, line: str) -> list[Any]:
        """All processes of hollow couriers, at the same time. Raises `EOFError` where one has ended."""
        return list(await asyncio.gather(*(host.ask(line) for host in self.hosts)))

    async def each(self, what: str, names: list[str]) -> float:
        """A command for some couriers, each told to its process; when it was done, by the run's clock."""
        by_host: dict[int, list[str]] = {}
        for site in self.plan.sites():
            if site.name in names and site.host >= 0:
                by_host.setdefault(site.host, []).append(site.name)
        await asyncio.gather(*(self.hosts[host].ask(f"{what} {' '.join(some)}") for host, some in by_host.items()))
        if what in ("kill", "silence"):
            self.kills_s.append(self.now_s())
        return self.now_s()

    async def kill_real(self, name: str) -> None:
        """SIGKILL."""
        import signal
        courier = next(one for one in self.real if one.name == name)
        courier.idle.clear()
        self.kills_s.append(self.now_s())
        await courier.end(signal.SIGKILL)

    async def start_real(self, name: str, within_s: float) -> bool:
        """Its next life, with what the last one left."""
        courier = next(one for one in self.real if one.name == name)
        await courier.spawn()
        self.pids.add(courier.pid)
        return await courier.ready(within_s)

    async def traffic(self, per_s: float, dense: float = 1.0) -> None:
        """Each courier, hollow or real, is handed so many messages a second."""
        await self.ask(f"traffic {per_s} {dense}")
        self.clients.draw.dense = dense
        self.clients.set(per_s * len([one for one in self.real if one.up]))

    async def figures(self) -> dict[str, Any]:
        """All that processes tell, as they stand."""
        hosts, discovery, standin = await asyncio.gather(
            self.ask("figures"), self.discovery.ask("figures"), self.standin.ask("figures"))
        processes = {"hosts": [host.pid for host in self.hosts], "control": [one.pid for one in self.control],
                     "real": [one.pid for one in self.real if one.up]}
        return {
            "at_s": time.monotonic(), "hosts": hosts, "discovery": discovery, "standin": standin,
            "cpu_s": {kind: [nursery.cpu_s(pid) for pid in pids] for kind, pids in processes.items()},
            "memory_bytes": {kind: [nursery.memory_bytes(pid) for pid in pids] for kind, pids in processes.items()},
            "real": {one.name: one.figures() for one in self.real if one.up},
            "clients": {"answers": dict(self.clients.answers), "took": dict(self.clients.took.counts),
                        "handed_in": len(self.clients.messages)}}

    async def owed(self) -> dict[str, Any]:
        """What hollow couriers still hold."""
        found = await self.ask("owed")
        return {"held": sum(one["held"] for one in found), "kept": sum(one["kept"] for one in found),
                "open": sum(one["open"] for one in found) + self.clients.open,
                "settling": [name for one in found for name in one["settling"]],
                "lost": [name for one in found for name in one["lost"]]}

    async def ends(self) -> tuple[dict[str, list[float]], set[str]]:
        """Deliveries of messages that are followed, and which ended undelivered."""
        told = await self.ask("tracked")
        delivered: dict[str, list[float]] = {}
        for part in [one["delivered"] for one in told] + [await self.standin.ask("tracked")]:
            for name, at in part.items():
                delivered.setdefault(name, []).extend(at)
        ended = {name for one in told for name in one["ended"]} | set(await self.discovery.ask("ended"))
        return delivered, ended

    async def close(self) -> list[int]:
        """End all; the numbers of processes that are still there."""
        with contextlib.suppress(AttributeError):
            self.clients.close()
        await asyncio.gather(*(one.end(within_s=5.0) for one in [*self.real, *self.control]), return_exceptions=True)
        children = [*self.hosts, *(child for name in ("discovery", "standin")
                                   if (child := getattr(self, name, None)) is not None)]
        await asyncio.gather(*(child.end(within_s=10.0) for child in children), return_exceptions=True)
        self.links.close()
        return [pid for pid in self.pids if nursery.alive(pid)]


def as_dict(found: Any) -> dict[str, Any]:
    """Of a dataclass."""
    return dataclasses.asdict(found)
