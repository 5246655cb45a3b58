"""A simulated courier behind its shard node: messages are accepted, written to disk and delivered, and end."""

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
from wheelstep.rehearsal.shard_world.check import InvariantChecker
from wheelstep.rehearsal.shard_world.disk import Disk
from wheelstep.rehearsal.shard_world.partners import Outcome, Partners
from wheelstep.rehearsal.shard_world.process import Process
from wheelstep.rehearsal.shard_world.world import MS, S
from wheelstep.shards.types import EndpointHealth, OwedKey, shard_of

MAX_HELD_MESSAGES = 400
CALL_TIMEOUT_S = 1.0
Key = tuple[int, str, str]  # destination, class, key
UNSAFE = "unsafe"


@dataclass(slots=True)
class _HeldMessage:
    message: StoredMessage
    begun: bool
    call_in_flight: int = 0  # its number; 0 if there is none
    calls: int = 0


class SimCourierPort:
    """`CourierPort` and `Admission` of one process. Calls of a key are made one at a time, in order of acceptance."""
    ready = True
    syncs = True

    def __init__(self, process: Process, disk: Disk, partners: Partners, check: InvariantChecker, shards: int,
                 rng: random.Random) -> None:
        self._process, self._disk, self._partners, self._check = process, disk, partners, check
        self._shards, self._rng = shards, rng
        self.rows: dict[str, api.EndpointInfo] = {}
        self._held: dict[str, _HeldMessage] = {}
        self._keys: dict[Key, list[str]] = {}  # messages of each, in order of acceptance
        self._health: dict[str, tuple[int, tuple[float | bool, ...]]] = {}  # endpoint -> time of the note, fields
        self._sync_waiters: list[asyncio.Future[None]] = []
        self._last_call = 0
        self.adopted_count = 0
        for record in disk.owed_records():  # of an earlier process
            self._add(record.message, True)
            check.on_begun(process.name, record.message, restored=True)
            process.loop.call_soon(self._try_call, record.message.id)

    @property
    def desk(self) -> SimCourierPort:
        """The admission of this courier: the same object."""
        return self

    def full(self) -> bool:
        """Return whether the hold limit is reached."""
        return len(self._held) >= MAX_HELD_MESSAGES

    def serves(self, destination: int) -> bool:
        """Return whether an endpoint of the destination is listed."""
        return any(info.destination == destination for info in self.rows.values())

    def holds(self, message: str) -> bool:
        """Return whether a message was accepted before and has not ended."""
        return message in self._held

    def is_unconfirmed(self, message: str) -> bool:
        """Return whether a message is written and its delivery has not begun."""
        return message in self._held and not self._held[message].begun

    def take(self, message: StoredMessage) -> None:
        """Write a message to disk. Raises `NoRoomError`."""
        if self.full():
            raise NoRoomError("holds all it can")
        self._disk.append(message)
        self._add(message, False)
        self._check.on_stored(self._process.name, message)

    def durable(self) -> asyncio.Future[None]:
        """Return a future that is done once all messages written so far are synced."""
        loop = self._process.loop
        waiter: asyncio.Future[None] = loop.create_future()
        if not self._sync_waiters:
            loop.call_later(0.0003 + self._rng.random() * (0.05 if self._rng.random() < 0.02 else 0.002), self._sync)
        self._sync_waiters.append(waiter)
        return waiter

    def _sync(self) -> None:
        self._disk.sync()
        waiters, self._sync_waiters = self._sync_waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    def begin(self, name: str) -> None:
        """Start delivering a message, as its client has been told that it is accepted."""
        if (held := self._held.get(name)) is not None and not held.begun:
            held.begun = True
            self._check.on_begun(self._process.name, held.message)
            self._try_call(name)

    def withdraw(self, name: str) -> None:
        """Remove a message whose delivery has not begun."""
        held = self._held.get(name)
        if held is not None and not held.begun:
            self._disk.remove(name)
            self._check.on_withdrawn(self._process.name, held.message)
            self._remove(name)

    def record_answer(self, message: StoredMessage, status: int) -> None:
        """Do nothing: `SimConnection` records answers."""

    def listed(self, rows: Sequence[Row]) -> None:
        """Apply changes of the list and try calls of the destinations' messages."""
        for info, _ in rows:
            if info.state is api.EndpointState.REMOVED:
                self.rows.pop(info.endpoint, None)
            else:
                self.rows[info.endpoint] = info
        for destination in dict.fromkeys(info.destination for info, _ in rows):
            for held in list(self._held.values()):
                if held.message.destination == destination:
                    self._try_call(held.message.id)

    def drop(self, destinations: Iterable[int]) -> None:
        """Remove the rows and health of destinations that are no longer served."""
        dropped = set(destinations)
        for held in self._held.values():
            if held.message.destination in dropped:
                self._check.on_owed_dropped(self._process.name, held.message)
        for endpoint, info in list(self.rows.items()):
            if info.destination in dropped:
                del self.rows[endpoint]
                self._health.pop(endpoint, None)

    def owed(self) -> Mapping[int, int]:
        """Return the number of messages held, by shard."""
        return Counter(self._shard(held.message.destination) for held in self._held.values())

    def owed_keys(self, shard: int) -> Sequence[OwedKey]:
        """Return the ordered keys of messages held of a shard, each with the time until its last deadline."""
        keys = []
        for (destination, message_class, key), names in self._keys.items():
            if self._shard(destination) == shard:
                until_ms = max(self._held[name].message.deadline_ms for name in names)
                keys.append(OwedKey(destination, message_class, key, max(0, until_ms * MS - self._wall_us())))
        return keys

    def owes_key(self, destination: int, message_class: str, key: str) -> bool:
        """Return whether a message of this ordered key is held."""
        return (destination, message_class, key) in self._keys

    def learned(self, shard: int) -> tuple[Sequence[EndpointHealth], Sequence[tuple[str, int]]]:
        """Return the health of the shard's endpoints, and no waits."""
        now_us = self._now_us()
        return [EndpointHealth(endpoint, now_us - at_us, fields) for endpoint, (at_us, fields) in self._health.items()
                if endpoint in self.rows and self._shard(self.rows[endpoint].destination) == shard], ()

    def adopt(self, healths: Sequence[EndpointHealth], waits: Sequence[tuple[str, int]]) -> None:
        """Adopt newer health that another courier has learned, for endpoints that are listed here."""
        for health in healths:
            at_us = self._now_us() - health.ago_us
            if health.endpoint in self.rows and at_us > self._health.get(health.endpoint, (at_us - 1,))[0]:
                self._health[health.endpoint] = at_us, health.fields
                self.adopted_count += 1

    def _now_us(self) -> int:
        return self._process.world.now_us + self._process.loop.clock_offset_us
    def _wall_us(self) -> int:
        return self._process.world.wall_us()
    def _shard(self, destination: int) -> int:
        return shard_of(destination, self._shards)
    def _key(self, message: StoredMessage) -> Key | None:
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
                self._try_call(names[0])
            else:
                del self._keys[key]

    def _end_message(self, name: str, outcome: str) -> None:
        self._disk.remove(name)
        self._disk.sync()  # without it a power loss would bring the message back, and it would be called out of order
        self._check.on_ended(self._process.name, self._held[name].message, outcome)
        self._remove(name)

    def _try_call(self, name: str) -> None:
        held = self._held.get(name)
        if held is None or not held.begun or held.call_in_flight:
            return
        message, loop = held.message, self._process.loop
        key = self._key(message)
        if key is not None and self._keys[key][0] != name:
            return
        if message.message_class == UNSAFE and self._disk.records[name].may_have_run:  # it must not run twice
            self._end_message(name, "may have run")
            return
        left_us = message.deadline_ms * MS - self._wall_us()
        if left_us <= 0:
            self._end_message(name, "expired")
            return
        endpoints = [info.endpoint for info in self.rows.values()
                     if info.destination == message.destination and info.state is api.EndpointState.UP]
        if not endpoints:
            loop.call_later(min(left_us, S) / 1e6 + 0.001, self._try_call, name)
            return
        endpoint = self._rng.choice(endpoints)
        self._last_call += 1
        held.call_in_flight, held.calls = self._last_call, held.calls + 1
        may_have_run_before = self._disk.set_may_have_run(name, True)
        if message.message_class == UNSAFE:
            self._disk.sync()  # without it a power loss could make it forget the call
        self._partners.call(self._process, endpoint, message,
                            functools.partial(self._on_outcome, name, self._last_call, endpoint, may_have_run_before))
        loop.call_later(CALL_TIMEOUT_S, self._on_timeout, name, self._last_call, endpoint)

    def _on_outcome(self, name: str, call: int, endpoint: str, may_have_run_before: bool, outcome: Outcome) -> None:
        held = self._held.get(name)
        if held is None or held.call_in_flight != call:
            return
        held.call_in_flight = 0
        self._health[endpoint] = self._now_us(), (outcome is Outcome.DOWN, False, 0.0, 0.0)
        if outcome is Outcome.OK:
            self._end_message(name, "delivered")
            return
        self._disk.set_may_have_run(name, may_have_run_before)
        self._process.loop.call_later(0.05 + self._rng.random() * 0.2, self._try_call, name)

    def _on_timeout(self, name: str, call: int, endpoint: str) -> None:
        if (held := self._held.get(name)) is not None and held.call_in_flight == call:
            held.call_in_flight = 0
            self._health[endpoint] = self._now_us(), (True, False, 0.0, 0.0)
            self._try_call(name)
