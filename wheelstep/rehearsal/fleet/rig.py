"""Runs a scene: the fleet's couriers as processes; relays, clients, partners and discovery on loopback sockets here."""

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

from wheelstep.rehearsal.collector import reduced_gc
from wheelstep.rehearsal.fleet import partner
from wheelstep.rehearsal.fleet.clients import Clients
from wheelstep.rehearsal.fleet.courier import COURIER_COMMAND, FleetCourier, operator_file
from wheelstep.rehearsal.fleet.faults import FaultKind
from wheelstep.rehearsal.fleet.history import FleetHistory, Gone, Heard
from wheelstep.rehearsal.fleet.lives import GIVE_AWAY_WITHIN_S, ProcessController
from wheelstep.rehearsal.fleet.looks import read_positions
from wheelstep.rehearsal.fleet.plan import MESSAGE_CLASS, Scene
from wheelstep.rehearsal.fleet.relays import Relays
from wheelstep.rehearsal.history import Call, Fact, Fate, HandIn, History, Notice, Outage
from wheelstep.rehearsal.standins.partner import PartnerPool
from wheelstep.rehearsal.standins.platform import Agent, row

_POLL_S = 0.1
_SERVING_TIMEOUT_S = 30.0  # until every channel has one owner, at the start and at the end
_SETTLE_US = 700_000  # without any unsettled message, before the run ends


class NeverServedError(Exception):
    """A channel had no owner when the start timed out. The text names one and holds the couriers' logs."""


@dataclass(slots=True)
class RunResult:
    """The result of a rehearsal."""

    history: FleetHistory
    logs: dict[str, str] = field(default_factory=dict)
    lost_packets: int = 0
    given_up: int = 0  # messages that no courier accepted before their deadline
    leave_times_s: list[float] = field(default_factory=list)  # the duration of each attempt to leave
    incomplete_leaves: list[str] = field(default_factory=list)  # couriers that did not give all parts away
    killed_at_point: list[str] = field(default_factory=list)  # couriers killed at a point of a move


async def run_scene(scene: Scene, broken: str = "", program: str = COURIER_COMMAND) -> RunResult:
    """Run a scene with our couriers, a broken variant or another program. Raises `NeverServedError`, `NoStartError`."""
    with tempfile.TemporaryDirectory(prefix="umberchute-") as folder, reduced_gc():
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
        partner.record_channels(self._pool, self._history, frozenset({MESSAGE_CLASS}))
        self._agents = {name: Agent(name, base, self._now_us, self._on_notice) for name in scene.names}
        self._key_file = folder / "fleet.key"
        self._key_file.write_text(random.Random(f"key/{scene.seed}").randbytes(32).hex() + "\n")
        self._couriers = {name: FleetCourier(
            name, folder / name, base, self._now_us, lambda listen, name=name: self._config(name, listen),  # type: ignore[misc]
            self._plan.ready_within_us / 1e6, lambda name=name: self._operator_text(name), program)  # type: ignore[misc]
            for name in scene.names}
        for name, trouble in scene.trouble:
            self._couriers[name].fault_env = dict(trouble)
        if any(step.point for step in scene.steps):
            for courier in self._couriers.values():
                courier.fault_env["RIG_POINT"] = str(folder / "arm")
        if broken:
            for courier in self._couriers.values():
                courier.fault_env["RIG_BROKEN"] = broken
        self._relays = Relays({name: ("127.0.0.1", courier.peer_port.port)
                               for name, courier in self._couriers.items()}, scene.seed, self._now_us)
        self._addresses: dict[str, tuple[str, int]] = {}
        self._clients = Clients(self._plan, {MESSAGE_CLASS: scene.contract.name}, self._pool.ledger, self._history,
                                self._now_us, self._addresses, scene.gap_share, scene.roam)
        self._control = ProcessController(self._couriers, self._addresses, self._history, self._now_us, folder / "arm")
        self._tasks: list[asyncio.Task[None]] = []
        self._result = RunResult(self._history)

    def _now_us(self) -> int:
        return round((self._loop.time() - self._epoch) * 1e6)

    def _on_notice(self, courier: str, notice: dict[str, Any]) -> None:
        if notice["outcome"] == "handed_back":
            self._clients.resubmit(str(notice["message"]), int(notice.get("retry_in_ms", 0)) * 1000)

    def _config(self, name: str, listen: str) -> dict[str, Any]:
        agent, index = self._agents[name], int(name[1:])
        return {"name": name, "listen": listen, "discovery": agent.port.address, "seed": f"{self._plan.seed + index:x}",
                "limits": {"cores": 1.0, "memory_mb": 256, "sockets": 4096, "disk_mb": 64}, "known": agent.full_list(),
                "settings": {**self._plan.settings, "self_index": index}}

    def _operator_text(self, name: str) -> str:
        scene = self._scene
        fleet = {"on": True, "name": "rig", "key_file": str(self._key_file),
                 "listen": f"127.0.0.1:{self._couriers[name].peer_port.port}",
                 "voters": list(scene.voters), "parts": scene.parts, "lease": f"{scene.lease_us // 1000}ms",
                 "probation": "1s", "give_away": True, "give_away_within": f"{GIVE_AWAY_WITHIN_S}s"}
        peers = {other: self._relays.address(name, other) for other in scene.names if other != name}
        terms = scene.contract
        table: dict[str, Any] = {"name": terms.name, "classes": [MESSAGE_CLASS], "order": terms.order, "gap": terms.gap}
        if terms.gap == "skip":
            table["gap_after"] = f"{terms.gap_after_us // 1000}ms"
        if terms.order == "window":
            table["open"] = terms.open
        return operator_file(fleet, peers, (table,))

    async def run(self) -> RunResult:
        """Start all, run the scene, and wait until all messages are settled and each channel has one owner."""
        await self._pool.open()
        await self._relays.open()
        for name, agent in self._agents.items():
            index = int(name[1:])
            agent.hosts = {host: row(host, endpoint.ports[index].address, endpoint.partner.destination,
                                     self._plan.settings["kinds"][endpoint.partner.kind])
                           for host, endpoint in self._pool.endpoints.items()}
            await agent.open()
        initial = self._scene.names[:self._scene.begin]
        await asyncio.gather(*(self._couriers[name].start() for name in initial))
        self._addresses |= {name: self._couriers[name].address for name in initial}
        self._clients.add_channels(self._plan.arrivals)
        await self._wait_until_served()
        self._reset_clock()
        self._clients.start()
        self._start_task(self._control.record_lateness())
        faults = [asyncio.create_task(self._relays.run_faults(self._scene.faults)),
                  asyncio.create_task(self._control.run_steps(self._scene.steps))]
        self._record_cuts()
        try:
            await self._submit_all()
            await asyncio.gather(*faults)
        finally:
            for task in faults:
                task.cancel()
        await self._wait_until_settled()
        await self._wait_until_served(last=True)
        self._pool.close()
        self._history.base.end_us = self._now_us()
        result = self._result
        result.logs = {name: courier.log_text() for name, courier in self._couriers.items()}
        result.lost_packets = sum(relay.counts["lost"] for relay in self._relays.links.values())
        result.given_up = self._clients.given_up
        result.leave_times_s, result.incomplete_leaves, result.killed_at_point = (
            self._control.leave_times_s, self._control.incomplete_leaves, self._control.killed_at_point)
        return result

    def _reset_clock(self) -> None:
        """Set time 0 to now. Facts from before get negative times, or are dropped if they are about traffic."""
        shift_us = self._now_us()
        self._epoch = self._pool.epoch = self._loop.time()
        kept_facts: list[Fact] = []
        for fact in self._history.base.facts:
            if not isinstance(fact, Call | Outage | HandIn):
                kept_facts.append(dataclasses.replace(fact, at_us=fact.at_us - shift_us))
        self._history.base.facts[:] = kept_facts
        self._history.facts.clear()

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.create_task(work))

    def _raise_failures(self) -> None:
        self._clients.raise_failures()
        for task in (task for task in self._tasks if task.done() and not task.cancelled()):
            task.result()

    async def _wait_until_served(self, last: bool = False) -> None:
        """Wait until one courier serves each channel. Raises `NeverServedError`, or with `last` records the outcome."""
        end = self._loop.time() + _SERVING_TIMEOUT_S
        while True:
            positions = await read_positions(self._addresses, self._clients.channels, self._now_us)
            self._history.facts += positions
            serving = Counter(row.channel for row in positions if row.status == 200)
            misowned = [channel for channel in self._clients.channels if serving[channel] != 1]
            if not misowned or self._loop.time() > end:
                break
            await asyncio.sleep(_POLL_S)
        if last:
            for row in positions:
                self._history.add(dataclasses.replace(row, last=True))
        elif any(not serving[channel] for channel in misowned):  # several owners are left to the judge
            logs = "\n".join(f"--- {name}\n{courier.log_text()[-4000:]}" for name, courier in self._couriers.items())
            raise NeverServedError(f"{len(misowned)} channels lack a single owner after {_SERVING_TIMEOUT_S:.0f} s, "
                                   f"{misowned[0]} has {serving[misowned[0]]}\n{logs}")

    async def _submit_all(self) -> None:
        for arrival in self._plan.arrivals:
            while (left_s := arrival.at_us / 1e6 - (self._loop.time() - self._epoch)) > 0:
                await asyncio.sleep(min(left_s, _POLL_S))
                self._raise_failures()
            self._clients.submit(arrival)

    async def _wait_until_settled(self) -> None:
        """Wait until every accepted message has an outcome, or until the longest deadline has passed."""
        max_deadline_us = max(message_class.deadline_us for message_class in self._plan.figures.classes.values())
        end_us = self._now_us() + max_deadline_us + self._plan.figures.restart_grace_us + 1_000_000
        quiet_since_us: int | None = None
        while (now_us := self._now_us()) < end_us:
            if self._clients.pending or self._has_unsettled():
                quiet_since_us = None
            else:
                quiet_since_us = quiet_since_us or now_us
                if now_us - quiet_since_us >= _SETTLE_US:
                    return
            await asyncio.sleep(_POLL_S)
            self._raise_failures()

    def _has_unsettled(self) -> bool:
        owed = {fact.message for fact in self._history.facts if isinstance(fact, Heard) and fact.status == 202}
        for fact in self._history.base.facts:
            if isinstance(fact, Call):
                owed -= {name for name, fate in zip(fact.messages, fact.fates, strict=True) if fate is Fate.DELIVERED}
            elif isinstance(fact, Notice):
                owed.discard(fact.message)
        return bool(owed)

    def _record_cuts(self) -> None:
        for planned in self._scene.faults:
            if planned.fault.kind in (FaultKind.CUT, FaultKind.STALL):
                end_us = planned.at_us + planned.for_us + self._scene.lease_us
                for name in self._scene.without_majority(planned.links):
                    self._history.add(Gone(name, planned.at_us, end_us, why=planned.fault.kind.value))

    async def close(self) -> None:
        """Cancel all tasks, end all processes and release all ports."""
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
