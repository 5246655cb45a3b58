"""Plays a scene: a fleet of couriers as processes, relays between them, everything else on loopback sockets here."""

from __future__ import annotations

import asyncio
import dataclasses
import random
import tempfile
from collections import Counter
from collections.abc import Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from wheelstep.rehearsal.fleet import partner
from wheelstep.rehearsal.fleet.clients import Clients
from wheelstep.rehearsal.fleet.courier import OURS, FleetCourier, operator_file
from wheelstep.rehearsal.fleet.faults import Kind
from wheelstep.rehearsal.fleet.history import FleetHistory, Gone, Heard
from wheelstep.rehearsal.fleet.lives import GIVE_AWAY_S, Lives
from wheelstep.rehearsal.fleet.looks import look
from wheelstep.rehearsal.fleet.plan import CLASS, Scene
from wheelstep.rehearsal.fleet.relays import Relays
from wheelstep.rehearsal.history import Call, Fact, Fate, HandIn, History, Notice, Outage
from wheelstep.rehearsal.rig import _reduced_gc
from wheelstep.rehearsal.standins.partner import PartnerPool
from wheelstep.rehearsal.standins.platform import Agent, row

_CHECK_S = 0.1
_SERVED_S = 30.0  # until every channel has an owner, at the start and in the end
_SETTLE_US = 700_000


class NeverServedError(Exception):
    """The fleet did not come to serve its channels; the text tells which."""


@dataclass(slots=True)
class Played:
    """What a rehearsal leaves."""

    history: FleetHistory
    logs: dict[str, str] = field(default_factory=dict)
    lost_packets: int = 0
    given_up: int = 0  # messages that no courier took in their time
    left_s: list[float] = field(default_factory=list)  # how long each that left took
    stayed: list[str] = field(default_factory=list)  # who was told to leave and had no time to give all away
    fell: list[str] = field(default_factory=list)  # who was killed at a point of a move


async def play(scene: Scene, broken: str = "", program: str = OURS) -> Played:
    """Play a scene with our couriers, broken ones or another program. Raises `NeverServedError` and `NoStartError`."""
    with tempfile.TemporaryDirectory(prefix="umberchute-") as folder, _reduced_gc():
        rig = _Rig(scene, Path(folder), broken, program)
        try:
            return await rig.run()
        finally:
            await rig.close()


class _Rig:
    def __init__(self, scene: Scene, folder: Path, broken: str, program: str) -> None:
        self._scene, self._plan, self._broken = scene, scene.plan, broken
        self._loop = asyncio.get_running_loop()
        self._epoch = self._loop.time()
        base = History(self._plan.figures)
        self._history = FleetHistory(base, scene.parts, {scene.contract.name: scene.contract}, lease_us=scene.lease_us)
        self._pool = PartnerPool(self._plan, base, self._now_us)
        self._pool.epoch = self._epoch
        partner.attach(self._pool, self._history, frozenset({CLASS}))
        self._agents = {name: Agent(name, base, self._now_us, self._heard) for name in scene.names}
        self._key = folder / "fleet.key"
        self._key.write_text(random.Random(f"key/{scene.seed}").randbytes(32).hex() + "\n")
        self._couriers = {name: FleetCourier(
            name, folder / name, base, self._now_us, lambda listen, name=name: self._config(name, listen),  # type: ignore[misc]
            self._plan.ready_within_us / 1e6, lambda name=name: self._operator(name), program)  # type: ignore[misc]
            for name in scene.names}
        for name, trouble in scene.trouble:
            self._couriers[name].trouble = dict(trouble)
        if any(step.point for step in scene.steps):
            for courier in self._couriers.values():
                courier.trouble["RIG_POINT"] = str(folder / "arm")
        if broken:
            for courier in self._couriers.values():
                courier.trouble["RIG_BROKEN"] = broken
        self._relays = Relays({name: ("127.0.0.1", courier.peers.port) for name, courier in self._couriers.items()},
                              scene.seed, self._now_us)
        self._doors: dict[str, tuple[str, int]] = {}
        self._clients = Clients(self._plan, {CLASS: scene.contract.name}, self._pool.ledger, self._history,
                                self._now_us, self._doors, scene.gap_share, scene.roam)
        self._lives = Lives(self._couriers, self._doors, self._history, self._now_us, folder / "arm")
        self._tasks: list[asyncio.Task[None]] = []
        self._played = Played(self._history)

    def _now_us(self) -> int:
        return round((self._loop.time() - self._epoch) * 1e6)

    def _heard(self, courier: str, notice: dict[str, Any]) -> None:
        if notice["outcome"] == "handed_back":
            self._clients.handed_back(str(notice["message"]), int(notice.get("retry_in_ms", 0)) * 1000)

    def _config(self, name: str, listen: str) -> dict[str, Any]:
        agent, index = self._agents[name], int(name[1:])
        return {"name": name, "listen": listen, "discovery": agent.port.address, "seed": f"{self._plan.seed + index:x}",
                "limits": {"cores": 1.0, "memory_mb": 256, "sockets": 4096, "disk_mb": 64}, "known": agent.full_list(),
                "settings": {**self._plan.settings, "self_index": index}}

    def _operator(self, name: str) -> str:
        scene = self._scene
        fleet = {"on": True, "name": "rig", "key_file": str(self._key),
                 "listen": f"127.0.0.1:{self._couriers[name].peers.port}",
                 "voters": list(scene.voters), "parts": scene.parts, "lease": f"{scene.lease_us // 1000}ms",
                 "probation": "1s", "give_away": True, "give_away_within": f"{GIVE_AWAY_S}s"}
        peers = {other: self._relays.address(name, other) for other in scene.names if other != name}
        terms = scene.contract
        contract: dict[str, Any] = {"name": terms.name, "classes": [CLASS], "order": terms.order, "gap": terms.gap}
        if terms.gap == "skip":
            contract["gap_after"] = f"{terms.gap_after_us // 1000}ms"
        if terms.order == "window":
            contract["open"] = terms.open
        return operator_file(fleet, peers, (contract,))

    # --- the run ---

    async def run(self) -> Played:
        """Start all, play, wait for every end and for one owner of each channel, and stop all."""
        await self._pool.open()
        await self._relays.open()
        for name, agent in self._agents.items():
            index = int(name[1:])
            agent.hosts = {host: row(host, at.ports[index].address, at.partner.destination,
                                     self._plan.settings["kinds"][at.partner.kind])
                           for host, at in self._pool.endpoints.items()}
            await agent.open()
        first = self._scene.names[:self._scene.begin]
        await asyncio.gather(*(self._couriers[name].start() for name in first))
        self._doors |= {name: self._couriers[name].address for name in first}
        self._clients.lines(self._plan.arrivals)
        await self._until_served()
        self._rebase()
        self._clients.start()
        self._task(self._lives.watch_lateness())
        faults = [asyncio.create_task(self._relays.play(self._scene.faults)),
                  asyncio.create_task(self._lives.play(self._scene.steps))]
        self._note_cuts()
        try:
            await self._hand_in()
            await asyncio.gather(*faults)
        finally:
            for task in faults:
                task.cancel()
        await self._until_over()
        await self._until_served(last=True)
        self._pool.close()
        self._history.base.end_us = self._now_us()
        played = self._played
        played.logs = {name: courier.log_text() for name, courier in self._couriers.items()}
        played.lost_packets = sum(relay.counts["lost"] for relay in self._relays.links.values())
        played.given_up = self._clients.given_up
        played.left_s, played.stayed, played.fell = self._lives.left_s, self._lives.stayed, self._lives.fell
        return played

    def _rebase(self) -> None:
        """Time counts from when all is served; what was seen before lies before it."""
        shift_us = self._now_us()
        self._epoch = self._pool.epoch = self._loop.time()
        facts: list[Fact] = []
        for fact in self._history.base.facts:
            if not isinstance(fact, Call | Outage | HandIn):
                facts.append(dataclasses.replace(fact, at_us=fact.at_us - shift_us))
        self._history.base.facts[:] = facts
        self._history.seen.clear()

    def _task(self, work: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.create_task(work))

    def _raise_dead(self) -> None:
        self._clients.raise_dead()
        for task in (task for task in self._tasks if task.done() and not task.cancelled()):
            task.result()

    async def _until_served(self, last: bool = False) -> None:
        """Until exactly one courier serves each channel. In the end the judge is told how it stands."""
        end = self._loop.time() + _SERVED_S
        while True:
            looked = await look(self._doors, self._clients.channels, self._now_us)
            self._history.seen += looked
            serving = Counter(row.channel for row in looked if row.status == 200)
            bad = [channel for channel in self._clients.channels if serving[channel] != 1]
            if not bad or self._loop.time() > end:
                break
            await asyncio.sleep(_CHECK_S)
        if last:
            for row in looked:
                self._history.add(dataclasses.replace(row, last=True))
        elif any(not serving[channel] for channel in bad):  # where several serve, the judge will say so
            logs = "\n".join(f"--- {name}\n{courier.log_text()[-4000:]}" for name, courier in self._couriers.items())
            raise NeverServedError(f"{len(bad)} channels have no one owner after {_SERVED_S:.0f} s, "
                                   f"{bad[0]} has {serving[bad[0]]}\n{logs}")

    async def _hand_in(self) -> None:
        for arrival in self._plan.arrivals:
            while (left_s := arrival.at_us / 1e6 - (self._loop.time() - self._epoch)) > 0:
                await asyncio.sleep(min(left_s, _CHECK_S))
                self._raise_dead()
            self._clients.hand_in(arrival)

    async def _until_over(self) -> None:
        """Until every message that was taken has its end, or its time is up."""
        longest_us = max(cls.deadline_us for cls in self._plan.figures.classes.values())
        end_us = self._now_us() + longest_us + self._plan.figures.restart_grace_us + 1_000_000
        quiet_us: int | None = None
        while (now_us := self._now_us()) < end_us:
            if self._clients.open or self._owed():
                quiet_us = None
            else:
                quiet_us = quiet_us or now_us
                if now_us - quiet_us >= _SETTLE_US:
                    return
            await asyncio.sleep(_CHECK_S)
            self._raise_dead()

    def _owed(self) -> bool:
        taken = {fact.message for fact in self._history.seen if isinstance(fact, Heard) and fact.status == 202}
        for fact in self._history.base.facts:
            if isinstance(fact, Call):
                taken -= {name for name, fate in zip(fact.messages, fact.fates, strict=True) if fate is Fate.DELIVERED}
            elif isinstance(fact, Notice):
                taken.discard(fact.message)
        return bool(taken)

    def _note_cuts(self) -> None:
        for planned in self._scene.faults:
            if planned.fault.kind in (Kind.CUT, Kind.STALL):
                end_us = planned.at_us + planned.for_us + self._scene.lease_us
                for name in self._scene.cut_off(planned.links):
                    self._history.add(Gone(name, planned.at_us, end_us, why=planned.fault.kind.value))

    async def close(self) -> None:
        """Nothing stays: tasks, processes, ports."""
        for task in self._tasks:
            task.cancel()
        await self._clients.close()
        await asyncio.gather(*(courier.stop() for courier in self._couriers.values()), return_exceptions=True)
        await self._relays.close()
        for agent in self._agents.values():
            agent.close()
        for endpoint in self._pool.endpoints.values():
            endpoint.close()
        await asyncio.gather(*self._tasks, return_exceptions=True)
