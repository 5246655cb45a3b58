"""Checks the invariants during a run and at its end. A run fails with the name of the first one that is broken."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from wheelstep.journal import StoredMessage
from wheelstep.rehearsal.shard_world.process import Process
from wheelstep.rehearsal.shard_world.world import MS, S, World

TAKEN_ONCE = "taken at two couriers"
OWED = "neither owes"
ONE_HOP = "forwarded twice"
DRAIN_HEEDED = "sent to a drained endpoint"
IN_ORDER = "key out of order"
ONCE = "unsafe one took effect twice"
GUESTS = "guest forgotten"
HOMES_AGREE = "homes differ"
REACHABLE = "destination not served"
LISTED_ACCEPTED = "listed destination refused"
OWN_ROWS = "rows of others' shards kept"
ERROR = "error"

DRAIN_NOTICE_US = 6 * S  # within which a courier must learn of a drain that a reachable control machine knows
DRAIN_SLACK_US = 3 * S // 2


class ViolationError(Exception):
    """An invariant does not hold; `rule` names it, and the text says when and for what."""

    def __init__(self, rule: str, text: str) -> None:
        super().__init__(text)
        self.rule = rule


@dataclass(slots=True)
class _KeySequence:
    """Messages of one key that one courier process answered with 202, in the order in which the client received it."""

    names: list[str] = field(default_factory=list)
    positions: dict[str, int] = field(default_factory=dict)


@dataclass
class InvariantChecker:
    """Hooks that the parts of the simulation call in the order of true time. They raise `ViolationError`."""

    world: World
    drain_delay_us: Callable[[str, str], int] = lambda courier, endpoint: 0
    disk_contents: Callable[[], dict[str, set[str]]] = dict  # courier -> messages on its disk
    accepted_messages: dict[str, tuple[str, StoredMessage]] = field(default_factory=dict)  # which courier answered 202
    owners: dict[str, str] = field(default_factory=dict)  # message -> courier that delivers it
    ends: dict[str, str] = field(default_factory=dict)  # message -> outcome
    # courier -> number of open client requests of each message
    open_submissions: dict[str, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    violation: ViolationError | None = None
    lost_couriers: set[str] = field(default_factory=set)  # that never come back
    _key_sequences: dict[tuple[str, str, int], _KeySequence] = field(default_factory=dict)
    _sequence_of: dict[str, _KeySequence] = field(default_factory=dict)
    _effects: dict[str, int] = field(default_factory=dict)
    _open_calls: dict[str, list[Process]] = field(default_factory=lambda: defaultdict(list))  # message -> its callers

    def fail(self, rule: str, *details: object) -> None:
        """End the run, even if the code under test catches the error, and raise the first `ViolationError`."""
        text = " ".join(str(one) for one in details)
        error = ViolationError(rule, f"seed {self.world.seed} at {self.world.now_us / S:.6f} s: {rule}: {text}")
        self.violation, self.world.finished = self.violation or error, True
        raise self.violation

    # --- ownership ---

    def on_stored(self, courier: str, message: StoredMessage) -> None:
        """Note that a courier has written a message, which may still be withdrawn."""
        self.world.trace(courier, "took", message.id, message.key or "")
        self.world.counts["took"] += 1

    def on_begun(self, courier: str, message: StoredMessage, restored: bool = False) -> None:
        """Check that no other courier delivers a message that this one delivers from now on."""
        self.world.trace(courier, "restored" if restored else "began", message.id)
        other = self.owners.setdefault(message.id, courier)
        if other != courier:
            self.fail(TAKEN_ONCE, f"{message.id} at {courier}, and {other} has begun it")

    def on_withdrawn(self, courier: str, message: StoredMessage) -> None:
        """Check that a message withdrawn before its delivery began is not owed."""
        self.world.trace(courier, "withdrew", message.id)
        if message.id in self.accepted_messages and message.id not in self.ends and not self._on_any_disk(message.id):
            self.fail(OWED, f"{message.id}, answered 202 by {self.accepted_messages[message.id][0]}, "
                            f"is withdrawn at {courier}")

    def _on_any_disk(self, name: str) -> bool:
        return any(name in held_messages for held_messages in self.disk_contents().values())

    def on_answered(self, courier: str, boot: int, message: StoredMessage, status: int) -> None:
        """Check the status with which a courier answers a client."""
        self.world.trace(courier, "says", status, message.id)
        self.world.counts[f"says {status}"] += 1
        if status == 400:  # all destinations of clients are on the list throughout the run
            self.fail(LISTED_ACCEPTED, f"{message.destination} submitted as {message.id} at {courier}")
        if status != 202:
            return
        if message.id not in self.ends and not self._on_any_disk(message.id):
            self.fail(OWED, f"{message.id}, answered 202 by {courier}, is on no disk")
        self.accepted_messages.setdefault(message.id, (courier, message))

    def on_client_accepted(self, courier: str, boot: int, message: StoredMessage) -> None:
        """Note that a client has received 202; it submits the next message of the key only after that."""
        if message.key is not None and message.id not in self._sequence_of:
            sequence = self._key_sequences.setdefault((message.key, courier, boot), _KeySequence())
            sequence.positions[message.id] = len(sequence.names)
            sequence.names.append(message.id)
            self._sequence_of[message.id] = sequence

    def on_ended(self, courier: str, message: StoredMessage, outcome: str) -> None:
        """Note the end of a message."""
        self.world.trace(courier, "ended", message.id, outcome)
        self.world.counts[outcome] += 1
        self.ends[message.id] = outcome

    def on_owed_dropped(self, courier: str, message: StoredMessage) -> None:
        """Fail: a courier drops a destination for which it owes a message."""
        self.fail(OWED, f"{courier} drops destination {message.destination}, and owes {message.id}")

    # --- forwarding ---

    def on_forwarded(self, courier: str, receiver: str, name: str) -> None:
        """Check that a courier forwards only messages that clients submit to it."""
        self.world.trace(courier, "asks", receiver, name)
        self.world.counts["hops"] += 1
        if not self.open_submissions[courier][name]:
            self.fail(ONE_HOP, f"{courier} asks {receiver} for {name}, and no client submits that at {courier}")

    # --- partners ---

    def on_call(self, process: Process, endpoint: str, message: StoredMessage) -> None:
        """Check the first byte of a call: drains are heeded, and the order of a key is kept."""
        name, courier = message.id, process.name
        self.world.trace(courier, "calls", endpoint, name)
        self.world.counts["calls"] += 1
        delay_us = self.drain_delay_us(courier, endpoint)
        if delay_us > DRAIN_NOTICE_US + DRAIN_SLACK_US:
            self.fail(DRAIN_HEEDED, f"{courier} calls {endpoint} for {name} {delay_us / S:.1f} s after a control "
                                    "machine that it could reach knew that it is drained")
        sequence = self._sequence_of.get(name)
        if sequence is not None:
            position = sequence.positions[name]
            for index, other in enumerate(sequence.names):
                if index != position and any(one.alive for one in self._open_calls[other]):
                    self.fail(IN_ORDER, f"{courier} calls for {name} while a call for {other} is in flight")
                if index < position and other not in self.ends and not self._effects.get(other) \
                        and not self._expired(other):
                    self.fail(IN_ORDER, f"{courier} calls for {name} before {other}, which was submitted before")
                if index > position and self._effects.get(other):
                    self.fail(IN_ORDER, f"{courier} calls for {name} after {other}, which was submitted later")
        self._open_calls[name].append(process)

    def _expired(self, name: str) -> bool:
        """Return whether the deadline has passed: it is not called for, though a courier that is down may hold it."""
        return self.world.wall_us() >= self.accepted_messages[name][1].deadline_ms * MS

    def on_effect(self, message: StoredMessage) -> None:
        """Check a message that takes effect at its destination: an unsafe one may do so only once."""
        self.world.trace("", "effect", message.id)
        self._effects[message.id] = self._effects.get(message.id, 0) + 1
        if message.message_class == "unsafe" and self._effects[message.id] > 1:
            self.fail(ONCE, f"{message.id} takes effect at destination {message.destination} again")

    def on_call_over(self, process: Process, message: StoredMessage) -> None:
        """Note that a call of a message has ended at its endpoint."""
        self._open_calls[message.id].remove(process)

    # --- end of the run ---

    def check_final(self) -> None:
        """Check after the quiet time that each accepted message has its end, or is held by a courier lost for good."""
        disk_contents = self.disk_contents()
        for name, (courier, _) in self.accepted_messages.items():
            if name not in self.ends and not any(name in disk_contents[one] for one in self.lost_couriers):
                holders = [one for one, held_messages in disk_contents.items() if name in held_messages]
                self.fail(OWED, f"{name}, answered 202 by {courier}, has no end; held by {holders or 'nobody'}")
