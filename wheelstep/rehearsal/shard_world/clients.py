"""Clients. Each submits messages one after another, sometimes closes the connection early, and retries where allowed.

After 503 it may retry at any courier. Without an answer the message may have been accepted: the client retries with the
same id, only at the same courier and only while its process runs (with `RETRY_AFTER_RESTART` also at the next one), and
never retries a message of an unsafe class.
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

CLIENT_TIMEOUT_US = 400 * MS  # until the client closes the connection
MIN_REMAINING_MS = 300
RETRY_AFTER_RESTART = False  # a restarted courier doesn't know which messages its last process forwarded, and where


@dataclass(slots=True)
class _Attempt:
    """One request and its connection. `boot` is the courier's boot number at the time of sending."""

    courier: Courier
    boot: int
    over: bool = False
    connection: SimConnection | None = None


@dataclass(slots=True)
class Submission:
    """The submission of one message.

    `on_done` gets the final status: 202, 400, 503, 0 for no answer, or -1 if nothing listened at the courier.
    """

    world: World
    check: Check
    message: StoredMessage
    on_done: Callable[[int], None]

    def send(self, courier: Courier, is_retry: bool, patience_us: int = CLIENT_TIMEOUT_US) -> None:
        """Send the request to a courier now, and give up after `patience_us`."""
        left_ms = self.message.deadline_ms - self.world.wall_us() // MS
        headers = {"x-request-id": self.message.id, "x-class": self.message.message_class,
                   "x-deadline-ms": str(max(left_ms, 0)), "x-consignee": f"dest={self.message.destination}"}
        if is_retry:
            headers["x-retry"] = "1"
        request = Request("POST", f"/hand/{self.message.key or 'none'}", "1.1", headers, set(), b"body")
        attempt = _Attempt(courier, courier.disk.boot)
        self.world.call_after(200 + self.world.rng.randrange(800), self._deliver, attempt, request)
        self.world.call_after(patience_us, self._give_up, attempt)

    def _deliver(self, attempt: _Attempt, request: Request) -> None:
        process, client_server = attempt.courier.process, attempt.courier.client_server
        if attempt.over:
            return
        if process is None or client_server is None or client_server.process is not process:
            if attempt.courier.name not in attempt.courier.fabric.powered_off:  # the port is closed: not accepted
                self.world.call_after(300, self._finish, attempt, -1)
            return
        process.end_callbacks.append(
            lambda vanished: None if vanished else self.world.call_after(300, self._finish, attempt, 0))

        def on_open(connection: SimConnection) -> None:
            attempt.connection = connection

        def on_status(status: int) -> None:
            self.world.call_after(200 + self.world.rng.randrange(600), self._finish, attempt, status)
        process.deliver(client_server.serve, request, self.message, on_status, on_open)

    def _finish(self, attempt: _Attempt, status: int) -> None:
        if attempt.over:
            return
        attempt.over = True
        if status == 202:
            self.check.on_heard(attempt.courier.name, attempt.boot, self.message)
        self.on_done(status)

    def _give_up(self, attempt: _Attempt) -> None:
        if attempt.over:
            return
        attempt.over = True
        process = attempt.courier.process
        if process is not None:
            def client_gone() -> None:
                if attempt.connection is not None:
                    attempt.connection.client_gone()
            process.deliver(client_gone)
        self.on_done(0)


@dataclass(slots=True)
class Client:
    """Submits messages one after another, to one courier for a while and then to another one."""

    world: World
    check: Check
    name: str
    rng: random.Random
    fleet: Sequence[Courier]
    destinations: Sequence[int]
    until_us: int
    submit_interval_us: int
    _count: int = 0
    _courier: Courier | None = None
    _repeat_destination: int = 0
    _own_destinations: list[int] = field(default_factory=list)  # of its ordered keys: few, so that each is used again

    def start(self) -> None:
        """Begin to submit at a random time."""
        self.world.call_after(self.rng.randrange(self.submit_interval_us) + 2 * S, self._submit_next)

    def _submit_next(self) -> None:
        if self.world.now_us >= self.until_us:
            return
        rng = self.rng
        if self._courier is None or rng.random() < 0.08:
            self._courier = rng.choice([member for member in self.fleet if not member.lost])
        self._count += 1
        message_class = rng.choices(("safe", "ordered", "unsafe"), (3, 5, 2))[0]
        self._own_destinations = self._own_destinations or rng.sample(self.destinations, 3)
        destination = rng.choice(self._own_destinations if message_class == "ordered" else self.destinations)
        if self._repeat_destination:  # right after the previous message of the same key
            message_class, destination = "ordered", self._repeat_destination
        key = f"{self.name}-{destination}" if message_class == "ordered" else None
        deadline_ms = (self.world.wall_us() + rng.randint(5, 12) * S) // MS
        message = StoredMessage(f"{self.name}.{self._count}", message_class, destination, deadline_ms, key)
        self._submit(message, self._courier, False)

    def _submit(self, message: StoredMessage, courier: Courier, is_retry: bool, boot: int = 0) -> None:
        if is_retry and boot != courier.disk.boot and not RETRY_AFTER_RESTART:
            self.world.call_after(self.rng.randrange(self.submit_interval_us), self._submit_next)
            return
        boot = courier.disk.boot
        submission = Submission(self.world, self.check, message,
                                lambda status: self._on_done(message, courier, is_retry, status, boot))
        patience_us = self.rng.randrange(CLIENT_TIMEOUT_US) if self.rng.random() < 0.04 else CLIENT_TIMEOUT_US
        submission.send(courier, is_retry, patience_us)

    def _on_done(self, message: StoredMessage, courier: Courier, is_retry: bool, status: int, boot: int) -> None:
        rng, left_ms = self.rng, message.deadline_ms - self.world.wall_us() // MS
        self.world.counts[f"heard {status}"] += 1
        if status in (503, -1) and left_ms > MIN_REMAINING_MS + 1_000:
            # 503 to a retry says that the first attempt was not accepted either
            other = courier if is_retry or rng.random() < 0.5 else rng.choice(
                [member for member in self.fleet if not member.lost])
            self.world.call_after(300 * MS + rng.randrange(S), self._submit, message, other, is_retry, boot)
        elif status == 0 and message.message_class != "unsafe" and rng.random() < 0.7 \
                and left_ms > MIN_REMAINING_MS + 500:
            self.world.call_after(50 * MS + rng.randrange(500 * MS), self._submit, message, courier, True, boot)
        else:
            if status == 0:
                self._courier = None
            self._repeat_destination = message.destination if message.key is not None and rng.random() < 0.6 else 0
            self.world.call_after(rng.randrange(50 * MS if self._repeat_destination else 2 * self.submit_interval_us),
                                  self._submit_next)
