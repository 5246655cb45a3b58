"""A simulated courier's own side (ports.CourierPort) and its admission: messages go to disk, are delivered, and end."""

from __future__ import annotations

import asyncio
import functools
import random
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from wheelstep import interface as api
from wheelstep.courier.rows import Row
from wheelstep.journal import NoRoomError, StoredMessage
from wheelstep.rehearsal.shard_world.check import Check
from wheelstep.rehearsal.shard_world.disk import Disk
from wheelstep.rehearsal.shard_world.partners import Outcome, Partners
from wheelstep.rehearsal.shard_world.process import Process
from wheelstep.rehearsal.shard_world.world import MS, S
from wheelstep.shards.types import EndpointHealth, OwedKey, shard_of

MOST = 400  # messages held
WAIT_S = 1.0  # for a call's answer
Key = tuple[int, str, str]
UNSAFE = "unsafe"


@dataclass(slots=True)
class _Held:
    message: StoredMessage
    begun: bool
    out: int = 0  # number of the call under way
    calls: int = 0


class SimShelf:
    """Both, for one life of a courier's process. Calls of an ordered key go one at a time, in the order in which its
    messages were taken; an unsafe message whose call may have run is not called for again."""

    ready = True
    syncs = True

    def __init__(self, process: Process, disk: Disk, partners: Partners, check: Check, shards: int,
                 rng: random.Random) -> None:
        self._process, self._disk, self._partners, self._check = process, disk, partners, check
        self._shards, self._rng = shards, rng
        self.rows: dict[str, api.EndpointInfo] = {}
        self._held: dict[str, _Held] = {}
        self._keys: dict[Key, list[str]] = {}  # in their order
        self._health: dict[str, tuple[int, tuple[float | bool, ...]]] = {}  # noted when, and what
        self._synced: list[asyncio.Future[None]] = []
        self._number = 0
        self.adopted = 0
        for kept in disk.owed():  # an earlier life's
            self._add(kept.message, True)
            check.began(process.name, kept.message, restored=True)
            process.loop.call_soon(self._go, kept.message.id)

    @property
    def desk(self) -> SimShelf:
        return self

    # --- admission.Admission ---

    def full(self) -> bool:
        return len(self._held) >= MOST

    def serves(self, destination: int) -> bool:
        return any(info.destination == destination for info in self.rows.values())

    def holds(self, message: str) -> bool:
        return message in self._held

    def is_unconfirmed(self, message: str) -> bool:
        return message in self._held and not self._held[message].begun

    def take(self, message: StoredMessage) -> None:
        if self.full():
            raise NoRoomError("holds all it can")
        self._disk.take(message)
        self._add(message, False)
        self._check.took(self._process.name, message)

    def durable(self) -> asyncio.Future[None]:
        loop = self._process.loop
        done: asyncio.Future[None] = loop.create_future()
        if not self._synced:
            loop.call_later(0.0003 + self._rng.random() * (0.05 if self._rng.random() < 0.02 else 0.002), self._sync)
        self._synced.append(done)
        return done

    def _sync(self) -> None:
        self._disk.sync()
        synced, self._synced = self._synced, []
        for done in synced:
            if not done.done():
                done.set_result(None)

    def begin(self, name: str) -> None:
        if (held := self._held.get(name)) is not None and not held.begun:
            held.begun = True
            self._check.began(self._process.name, held.message)
            self._go(name)

    def withdraw(self, name: str) -> None:
        held = self._held.get(name)
        if held is not None and not held.begun:
            self._disk.over(name)
            self._check.withdrawn(self._process.name, held.message)
            self._remove(name)

    def record_answer(self, message: StoredMessage, status: int) -> None:
        """Recorded by the door."""

    # --- ports.CourierPort ---

    def listed(self, rows: Sequence[Row]) -> None:
        for info, _ in rows:
            if info.state is api.EndpointState.REMOVED:
                self.rows.pop(info.endpoint, None)
            else:
                self.rows[info.endpoint] = info
        for destination in dict.fromkeys(info.destination for info, _ in rows):
            for held in list(self._held.values()):
                if held.message.destination == destination:
                    self._go(held.message.id)

    def drop(self, destinations: Iterable[int]) -> None:
        gone = set(destinations)
        for held in self._held.values():
            if held.message.destination in gone:
                self._check.dropped_owed(self._process.name, held.message)
        for endpoint, info in list(self.rows.items()):
            if info.destination in gone:
                del self.rows[endpoint]
                self._health.pop(endpoint, None)

    def owed(self) -> Mapping[int, int]:
        return Counter(self._shard(held.message.destination) for held in self._held.values())

    def owed_keys(self, shard: int) -> Sequence[OwedKey]:
        keys = []
        for (destination, message_class, key), names in self._keys.items():
            if self._shard(destination) == shard:
                until_ms = max(self._held[name].message.deadline_ms for name in names)
                keys.append(OwedKey(destination, message_class, key, max(0, until_ms * MS - self._wall_us())))
        return keys

    def owes_key(self, destination: int, message_class: str, key: str) -> bool:
        return (destination, message_class, key) in self._keys

    def learned(self, shard: int) -> tuple[Sequence[EndpointHealth], Sequence[tuple[str, int]]]:
        now_us = self._now_us()
        return [EndpointHealth(endpoint, now_us - noted_us, fields)
                for endpoint, (noted_us, fields) in self._health.items()
                if endpoint in self.rows and self._shard(self.rows[endpoint].destination) == shard], ()

    def adopt(self, healths: Sequence[EndpointHealth], waits: Sequence[tuple[str, int]]) -> None:
        for health in healths:
            noted_us = self._now_us() - health.ago_us
            if health.endpoint in self.rows and noted_us > self._health.get(health.endpoint, (noted_us - 1,))[0]:
                self._health[health.endpoint] = noted_us, health.fields
                self.adopted += 1

    # --- what is held ---

    def _now_us(self) -> int:
        return self._process.world.now_us + self._process.loop.offset_us

    def _wall_us(self) -> int:
        return self._process.world.wall_us()

    def _shard(self, destination: int) -> int:
        return shard_of(destination, self._shards)

    def _key(self, message: StoredMessage) -> Key | None:
        return (message.destination, message.message_class, message.key) if message.key is not None else None

    def _add(self, message: StoredMessage, begun: bool) -> None:
        self._held[message.id] = _Held(message, begun)
        if (key := self._key(message)) is not None:
            self._keys.setdefault(key, []).append(message.id)

    def _remove(self, name: str) -> None:
        message = self._held.pop(name).message
        if (key := self._key(message)) is not None:
            names = self._keys[key]
            names.remove(name)
            if names:
                self._go(names[0])
            else:
                del self._keys[key]

    def _end(self, name: str, outcome: str) -> None:
        self._disk.over(name)
        self._disk.sync()  # else it would be owed again after the machine's power went, and be called for out of order
        self._check.ended(self._process.name, self._held[name].message, outcome)
        self._remove(name)

    # --- calls ---

    def _go(self, name: str) -> None:
        """Call for it, if it is its turn."""
        held = self._held.get(name)
        if held is None or not held.begun or held.out:
            return
        message, loop = held.message, self._process.loop
        key = self._key(message)
        if key is not None and self._keys[key][0] != name:
            return
        if message.message_class == UNSAFE and self._disk.rows[name].ran:
            self._end(name, "may have run")
            return
        left_us = message.deadline_ms * MS - self._wall_us()
        if left_us <= 0:
            self._end(name, "expired")
            return
        endpoints = [info.endpoint for info in self.rows.values()
                     if info.destination == message.destination and info.state is api.EndpointState.UP]
        if not endpoints:
            loop.call_later(min(left_us, S) / 1e6 + 0.001, self._go, name)
            return
        endpoint = self._rng.choice(endpoints)
        self._number += 1
        held.out, held.calls = self._number, held.calls + 1
        before = self._disk.ran(name, True)
        if message.message_class == UNSAFE:
            self._disk.sync()  # else its call could be forgotten with the machine's power
        self._partners.call(self._process, endpoint, message,
                            functools.partial(self._heard, name, self._number, endpoint, before))
        loop.call_later(WAIT_S, self._late, name, self._number, endpoint)

    def _heard(self, name: str, number: int, endpoint: str, before: bool, outcome: Outcome) -> None:
        held = self._held.get(name)
        if held is None or held.out != number:
            return
        held.out = 0
        self._health[endpoint] = self._now_us(), (outcome is Outcome.DOWN, False, 0.0, 0.0)
        if outcome is Outcome.OK:
            self._end(name, "delivered")
            return
        self._disk.ran(name, before)
        self._process.loop.call_later(0.05 + self._rng.random() * 0.2, self._go, name)

    def _late(self, name: str, number: int, endpoint: str) -> None:
        if (held := self._held.get(name)) is not None and held.out == number:
            held.out = 0
            self._health[endpoint] = self._now_us(), (True, False, 0.0, 0.0)
            self._go(name)
