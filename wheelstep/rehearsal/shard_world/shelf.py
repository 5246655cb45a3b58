"""A simulated courier's `ports.CourierPort` and admission: messages are written to disk, delivered, and ended."""

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

MAX_MESSAGES = 400
CALL_TIMEOUT_S = 1.0
MessageKey = tuple[int, str, str]
UNSAFE = "unsafe"


@dataclass(slots=True)
class _HeldMessage:
    message: StoredMessage
    begun: bool
    open_call: int = 0  # number of the open call; 0 if there is none
    calls: int = 0


class SimStore:
    """The `ports.CourierPort` and `Admission` of one process of a courier; the protocols describe the methods. Messages
    of an ordered key are called one at a time, in the order of admission. An unsafe message is not called again if a
    call of it may have run.
    """

    ready = True
    syncs = True

    def __init__(self, process: Process, disk: Disk, partners: Partners, check: Check, shards: int,
                 rng: random.Random) -> None:
        self._process, self._disk, self._partners, self._check = process, disk, partners, check
        self._shards, self._rng = shards, rng
        self.rows: dict[str, api.EndpointInfo] = {}
        self._held: dict[str, _HeldMessage] = {}
        self._keys: dict[MessageKey, list[str]] = {}  # messages in the order of admission
        self._health: dict[str, tuple[int, tuple[float | bool, ...]]] = {}  # by endpoint: when noted, and the fields
        self._sync_waiters: list[asyncio.Future[None]] = []
        self._call_count = 0
        self.adopted = 0
        for row in disk.rows_in_order():  # of earlier processes
            self._add(row.message, True)
            check.on_begun(process.name, row.message, restored=True)
            process.loop.call_soon(self._call_if_due, row.message.id)

    @property
    def desk(self) -> SimStore:
        return self

    # --- admission.Admission ---

    def full(self) -> bool:
        return len(self._held) >= MAX_MESSAGES

    def serves(self, destination: int) -> bool:
        return any(info.destination == destination for info in self.rows.values())

    def holds(self, message: str) -> bool:
        return message in self._held

    def is_unconfirmed(self, message: str) -> bool:
        return message in self._held and not self._held[message].begun

    def take(self, message: StoredMessage) -> None:
        """Write a message to disk. Raises `NoRoomError` if no further message can be held."""
        if self.full():
            raise NoRoomError("holds all it can")
        self._disk.add(message)
        self._add(message, False)
        self._check.on_taken(self._process.name, message)

    def durable(self) -> asyncio.Future[None]:
        loop = self._process.loop
        done: asyncio.Future[None] = loop.create_future()
        if not self._sync_waiters:
            loop.call_later(0.0003 + self._rng.random() * (0.05 if self._rng.random() < 0.02 else 0.002), self._sync)
        self._sync_waiters.append(done)
        return done

    def _sync(self) -> None:
        self._disk.sync()
        waiters, self._sync_waiters = self._sync_waiters, []
        for done in waiters:
            if not done.done():
                done.set_result(None)

    def begin(self, name: str) -> None:
        if (held := self._held.get(name)) is not None and not held.begun:
            held.begun = True
            self._check.on_begun(self._process.name, held.message)
            self._call_if_due(name)

    def withdraw(self, name: str) -> None:
        held = self._held.get(name)
        if held is not None and not held.begun:
            self._disk.remove(name)
            self._check.on_withdrawn(self._process.name, held.message)
            self._remove(name)

    def record_answer(self, message: StoredMessage, status: int) -> None:
        """Do nothing: the client interface records answers."""

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
                    self._call_if_due(held.message.id)

    def drop(self, destinations: Iterable[int]) -> None:
        dropped = set(destinations)
        for held in self._held.values():
            if held.message.destination in dropped:
                self._check.on_destination_dropped(self._process.name, held.message)
        for endpoint, info in list(self.rows.items()):
            if info.destination in dropped:
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

    def _now_us(self) -> int:
        return self._process.world.now_us + self._process.loop.offset_us

    def _wall_us(self) -> int:
        return self._process.world.wall_us()

    def _shard(self, destination: int) -> int:
        return shard_of(destination, self._shards)

    def _key(self, message: StoredMessage) -> MessageKey | None:
        return (message.destination, message.message_class, message.key) if message.key is not None else None

    def _add(self, message: StoredMessage, begun: bool) -> None:
        self._held[message.id] = _HeldMessage(message, begun)
        if (key := self._key(message)) is not None:
            self._keys.setdefault(key, []).append(message.id)

    def _remove(self, name: str) -> None:
        message = self._held.pop(name).message
        if (key := self._key(message)) is not None:
            names = self._keys[key]
            names.remove(name)
            if names:
                self._call_if_due(names[0])
            else:
                del self._keys[key]

    def _end(self, name: str, outcome: str) -> None:
        self._disk.remove(name)
        self._disk.sync()  # otherwise it would be owed again after a loss of power, and be called out of order
        self._check.on_ended(self._process.name, self._held[name].message, outcome)
        self._remove(name)

    # --- calls ---

    def _call_if_due(self, name: str) -> None:
        """Start a call of a message, if it has begun, is the first of its key, and has no open call."""
        held = self._held.get(name)
        if held is None or not held.begun or held.open_call:
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
            loop.call_later(min(left_us, S) / 1e6 + 0.001, self._call_if_due, name)
            return
        endpoint = self._rng.choice(endpoints)
        self._call_count += 1
        held.open_call, held.calls = self._call_count, held.calls + 1
        ran_before = self._disk.set_ran(name, True)
        if message.message_class == UNSAFE:
            self._disk.sync()  # otherwise a loss of power could undo the note of its call
        self._partners.call(self._process, endpoint, message,
                            functools.partial(self._on_call_answer, name, self._call_count, endpoint, ran_before))
        loop.call_later(CALL_TIMEOUT_S, self._on_call_timeout, name, self._call_count, endpoint)

    def _on_call_answer(self, name: str, number: int, endpoint: str, ran_before: bool, outcome: Outcome) -> None:
        held = self._held.get(name)
        if held is None or held.open_call != number:
            return
        held.open_call = 0
        self._health[endpoint] = self._now_us(), (outcome is Outcome.DOWN, False, 0.0, 0.0)
        if outcome is Outcome.OK:
            self._end(name, "delivered")
            return
        self._disk.set_ran(name, ran_before)
        self._process.loop.call_later(0.05 + self._rng.random() * 0.2, self._call_if_due, name)

    def _on_call_timeout(self, name: str, number: int, endpoint: str) -> None:
        if (held := self._held.get(name)) is not None and held.open_call == number:
            held.open_call = 0
            self._health[endpoint] = self._now_us(), (True, False, 0.0, 0.0)
            self._call_if_due(name)
