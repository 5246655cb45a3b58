"""Clients: each submits its messages one after another, disconnects at times, and retries where it may.

After 503 it may retry at any courier. Without an answer the message may have been accepted: the client retries with the
same id and at the same courier only, as long as that courier's process lives (with `RETRY_AFTER_RESTART` also at its
next process), and never an unsafe message.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from wheelstep.courier.request import Request
from wheelstep.journal import StoredMessage
from wheelstep.rehearsal.shard_world.check import InvariantChecker
from wheelstep.rehearsal.shard_world.courier import Courier
from wheelstep.rehearsal.shard_world.door import SimConnection
from wheelstep.rehearsal.shard_world.world import MS, S, World

ANSWER_TIMEOUT_US = 400 * MS
MIN_REMAINING_MS = 300  # a retry needs this time before the deadline, beyond its own pause
RETRY_AFTER_RESTART = False  # a courier's new process doesn't know which messages the former one forwarded, and where


@dataclass(slots=True)
class _Attempt:
    """One request of a submission, and its connection."""

    courier: Courier
    boot: int
    finished: bool = False
    connection: SimConnection | None = None


@dataclass(slots=True)
class Submission:
    """The submission of one message. `on_status` gets the status (202, 400 or 503), 0 for no answer, or -1 if the
    connection was refused."""

    world: World
    check: InvariantChecker
    message: StoredMessage
    on_status: Callable[[int], None]

    def submit_to(self, courier: Courier, is_retry: bool, patience_us: int = ANSWER_TIMEOUT_US) -> None:
        """Send the request to a courier now, and give up after `patience_us`."""
        remaining_ms = self.message.deadline_ms - self.world.wall_us() // MS
        headers = {"x-request-id": self.message.id, "x-class": self.message.message_class,
                   "x-deadline-ms": str(max(remaining_ms, 0)), "x-consignee": f"dest={self.message.destination}"}
        if is_retry:
            headers["x-retry"] = "1"
        request = Request("POST", f"/hand/{self.message.key or 'none'}", "1.1", headers, set(), b"body")
        attempt = _Attempt(courier, courier.disk.boot)
        self.world.schedule_after(200 + self.world.rng.randrange(800), self._arrive, attempt, request)
        self.world.schedule_after(patience_us, self._on_timeout, attempt)

    def _arrive(self, attempt: _Attempt, request: Request) -> None:
        process, client_server = attempt.courier.process, attempt.courier.client_server
        if attempt.finished:
            return
        if process is None or client_server is None or client_server.process is not process:
            if attempt.courier.name not in attempt.courier.fabric.machines_down:  # refused: nothing was accepted
                self.world.schedule_after(300, self._on_answer, attempt, -1)
            return
        process.on_end.append(lambda machine_lost: None if machine_lost else self.world.schedule_after(
            300, self._on_answer, attempt, 0))

        def on_opened(connection: SimConnection) -> None:
            attempt.connection = connection

        def answer_received(status: int) -> None:
            self.world.schedule_after(200 + self.world.rng.randrange(600), self._on_answer, attempt, status)
        process.deliver(client_server.serve, request, self.message, answer_received, on_opened)

    def _on_answer(self, attempt: _Attempt, status: int) -> None:
        if attempt.finished:
            return
        attempt.finished = True
        if status == 202:
            self.check.on_client_accepted(attempt.courier.name, attempt.boot, self.message)
        self.on_status(status)

    def _on_timeout(self, attempt: _Attempt) -> None:
        if attempt.finished:
            return
        attempt.finished = True
        process = attempt.courier.process
        if process is not None:
            def client_gone() -> None:
                if attempt.connection is not None:
                    attempt.connection.on_client_gone()
            process.deliver(client_gone)
        self.on_status(0)


@dataclass(slots=True)
class Client:
    """Submits messages one after another, for a while to the same courier, until `until_us`."""

    world: World
    check: InvariantChecker
    name: str
    rng: random.Random
    fleet: Sequence[Courier]
    destinations: Sequence[int]
    until_us: int
    message_interval_us: int
    _sent_count: int = 0
    _courier: Courier | None = None
    _repeated_destination: int = 0
    _ordered_destinations: list[int] = field(default_factory=list)  # of its ordered keys: few, so that keys recur

    def start(self) -> None:
        """Schedule the first message."""
        self.world.schedule_after(self.rng.randrange(self.message_interval_us) + 2 * S, self._next)

    def _next(self) -> None:
        if self.world.now_us >= self.until_us:
            return
        rng = self.rng
        if self._courier is None or rng.random() < 0.08:
            self._courier = rng.choice([one for one in self.fleet if not one.removed])
        self._sent_count += 1
        kind = rng.choices(("safe", "ordered", "unsafe"), (3, 5, 2))[0]
        self._ordered_destinations = self._ordered_destinations or rng.sample(self.destinations, 3)
        destination = rng.choice(self._ordered_destinations if kind == "ordered" else self.destinations)
        if self._repeated_destination:  # right after the previous message, with the same key
            kind, destination = "ordered", self._repeated_destination
        key = f"{self.name}-{destination}" if kind == "ordered" else None
        deadline_ms = (self.world.wall_us() + rng.randint(5, 12) * S) // MS
        message = StoredMessage(f"{self.name}.{self._sent_count}", kind, destination, deadline_ms, key)
        self._submit(message, self._courier, False)

    def _submit(self, message: StoredMessage, courier: Courier, is_retry: bool, boot: int = 0) -> None:
        if is_retry and boot != courier.disk.boot and not RETRY_AFTER_RESTART:
            self.world.schedule_after(self.rng.randrange(self.message_interval_us), self._next)
            return
        boot = courier.disk.boot
        submission = Submission(self.world, self.check, message, lambda status: self._on_status(
            message, courier, is_retry, status, boot))
        patience_us = self.rng.randrange(ANSWER_TIMEOUT_US) if self.rng.random() < 0.04 else ANSWER_TIMEOUT_US
        submission.submit_to(courier, is_retry, patience_us)

    def _on_status(self, message: StoredMessage, courier: Courier, is_retry: bool, status: int, boot: int) -> None:
        rng, remaining_ms = self.rng, message.deadline_ms - self.world.wall_us() // MS
        self.world.counts[f"heard {status}"] += 1
        if status in (503, -1) and remaining_ms > MIN_REMAINING_MS + 1_000:
            # After no answer, 503 says that nothing was accepted.
            other = courier if is_retry or rng.random() < 0.5 \
                else rng.choice([one for one in self.fleet if not one.removed])
            self.world.schedule_after(300 * MS + rng.randrange(S), self._submit, message, other, is_retry, boot)
        elif status == 0 and message.message_class != "unsafe" and rng.random() < 0.7 \
                and remaining_ms > MIN_REMAINING_MS + 500:
            self.world.schedule_after(50 * MS + rng.randrange(500 * MS), self._submit, message, courier, True, boot)
        else:
            if status == 0:
                self._courier = None
            self._repeated_destination = message.destination if message.key is not None and rng.random() < 0.6 else 0
            self.world.schedule_after(
                rng.randrange(50 * MS if self._repeated_destination else 2 * self.message_interval_us), self._next)
