"""Clients: each hands in its messages one after another, goes away now and then, and comes again where it may.

After 503 it may come again at any courier. After no answer the message may have been taken: it comes again with the
same id at the same courier alone, while that one's process lives (`AFTER_RESTART`: also at its next), and not at all
with what may not be repeated.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from wheelstep.courier.request import Request
from wheelstep.journal import StoredMessage
from wheelstep.rehearsal.shard_world.check import Check
from wheelstep.rehearsal.shard_world.courier import Courier
from wheelstep.rehearsal.shard_world.door import SimConnection
from wheelstep.rehearsal.shard_world.world import MS, S, World

ANSWER_US = 400 * MS  # so long a client waits
LEAST_LEFT_MS = 300
AFTER_RESTART = False  # a courier that starts does not know what its former life passed on, and to whom


@dataclass(slots=True)
class _Try:
    """One request and its connection."""

    courier: Courier
    boot: int
    over: bool = False
    connection: SimConnection | None = None


@dataclass(slots=True)
class Hand:
    """One message on its way in; `done` hears its last status: 202, 400, 503, or 0 for no answer."""

    world: World
    check: Check
    message: StoredMessage
    done: Callable[[int], None]

    def at(self, courier: Courier, again: bool, patience_us: int = ANSWER_US) -> None:
        """Hand it in there, now."""
        left_ms = self.message.deadline_ms - self.world.wall_us() // MS
        headers = {"x-request-id": self.message.id, "x-class": self.message.message_class,
                   "x-deadline-ms": str(max(left_ms, 0)), "x-consignee": f"dest={self.message.destination}"}
        if again:
            headers["x-retry"] = "1"
        request = Request("POST", f"/hand/{self.message.key or 'none'}", "1.1", headers, set(), b"body")
        one = _Try(courier, courier.disk.boot)
        self.world.after(200 + self.world.rng.randrange(800), self._reach, one, request)
        self.world.after(patience_us, self._leave, one)

    def _reach(self, one: _Try, request: Request) -> None:
        process, door = one.courier.process, one.courier.door
        if one.over:
            return
        if process is None or door is None or door.process is not process:
            if one.courier.name not in one.courier.fabric.gone:  # its port is closed: nothing was taken
                self.world.after(300, self._heard, one, -1)
            return
        process.on_end.append(lambda vanished: None if vanished else self.world.after(300, self._heard, one, 0))

        def opened(connection: SimConnection) -> None:
            one.connection = connection

        def heard(status: int) -> None:
            self.world.after(200 + self.world.rng.randrange(600), self._heard, one, status)
        process.deliver(door.serve, request, self.message, heard, opened)

    def _heard(self, one: _Try, status: int) -> None:
        if one.over:
            return
        one.over = True
        if status == 202:
            self.check.heard(one.courier.name, one.boot, self.message)
        self.done(status)

    def _leave(self, one: _Try) -> None:
        if one.over:
            return
        one.over = True
        process = one.courier.process
        if process is not None:
            def lost() -> None:
                if one.connection is not None:
                    one.connection.lost()
            process.deliver(lost)
        self.done(0)


@dataclass(slots=True)
class Client:
    """Hands in one after another to a courier that it keeps to for a while."""

    world: World
    check: Check
    name: str
    rng: random.Random
    fleet: Sequence[Courier]
    destinations: Sequence[int]
    until_us: int
    every_us: int
    _count: int = 0
    _at: Courier | None = None
    _same: int = 0
    _mine: list[int] = field(default_factory=list)  # of its ordered keys: few, so that it comes back to each

    def start(self) -> None:
        """From some moment on."""
        self.world.after(self.rng.randrange(self.every_us) + 2 * S, self._next)

    def _next(self) -> None:
        if self.world.now_us >= self.until_us:
            return
        rng = self.rng
        if self._at is None or rng.random() < 0.08:
            self._at = rng.choice([one for one in self.fleet if not one.lost])
        self._count += 1
        kind = rng.choices(("safe", "ordered", "unsafe"), (3, 5, 2))[0]
        self._mine = self._mine or rng.sample(self.destinations, 3)
        destination = rng.choice(self._mine if kind == "ordered" else self.destinations)
        if self._same:  # right behind the one before, of the same key
            kind, destination = "ordered", self._same
        key = f"{self.name}-{destination}" if kind == "ordered" else None
        deadline_ms = (self.world.wall_us() + rng.randint(5, 12) * S) // MS
        message = StoredMessage(f"{self.name}.{self._count}", kind, destination, deadline_ms, key)
        self._hand(message, self._at, False)

    def _hand(self, message: StoredMessage, courier: Courier, again: bool, boot: int = 0) -> None:
        if again and boot != courier.disk.boot and not AFTER_RESTART:
            self.world.after(self.rng.randrange(self.every_us), self._next)
            return
        boot = courier.disk.boot
        hand = Hand(self.world, self.check, message, lambda status: self._done(message, courier, again, status, boot))
        patience_us = self.rng.randrange(ANSWER_US) if self.rng.random() < 0.04 else ANSWER_US
        hand.at(courier, again, patience_us)

    def _done(self, message: StoredMessage, courier: Courier, again: bool, status: int, boot: int) -> None:
        rng, left_ms = self.rng, message.deadline_ms - self.world.wall_us() // MS
        self.world.count[f"heard {status}"] += 1
        if status in (503, -1) and left_ms > LEAST_LEFT_MS + 1_000:
            # with no answer before, 503 says that nothing was taken after all
            other = courier if again or rng.random() < 0.5 else rng.choice([one for one in self.fleet if not one.lost])
            self.world.after(300 * MS + rng.randrange(S), self._hand, message, other, again, boot)
        elif status == 0 and message.message_class != "unsafe" and rng.random() < 0.7 and left_ms > LEAST_LEFT_MS + 500:
            self.world.after(50 * MS + rng.randrange(500 * MS), self._hand, message, courier, True, boot)
        else:
            if status == 0:
                self._at = None
            self._same = message.destination if message.key is not None and rng.random() < 0.6 else 0
            self.world.after(rng.randrange(50 * MS if self._same else 2 * self.every_us), self._next)
