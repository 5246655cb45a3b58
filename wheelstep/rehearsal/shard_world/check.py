"""The invariants, checked during a run and at its end. A violation ends the run and names the invariant."""

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
TOLD_IN_TIME = "sent to a drained endpoint"
IN_ORDER = "key out of order"
ONCE = "unsafe one took effect twice"
GUESTS = "guest forgotten"
AGREED = "homes differ"
REACHABLE = "destination not served"
KNOWN = "listed destination refused"
OWN_ROWS = "rows of others' shards kept"
ERROR = "error"

MAX_NOTICE_DELAY_US = 6 * S
SLACK_US = 3 * S // 2


class ViolationError(Exception):
    """An invariant is violated; `rule` is its name, and the text says when and by what."""

    def __init__(self, rule: str, text: str) -> None:
        super().__init__(text)
        self.rule = rule


@dataclass(slots=True)
class _KeySequence:
    """Messages of one key that one courier answered 202, in the order in which the client heard of it."""

    names: list[str] = field(default_factory=list)
    position: dict[str, int] = field(default_factory=dict)


@dataclass
class Check:
    """The checks of a run. The simulation's parts call the hooks at the true time of each event.

    `late_us` tells for how long a courier could have known that an endpoint takes no messages.
    """

    world: World
    late_us: Callable[[str, str], int] = lambda courier, endpoint: 0
    held_on_disk: Callable[[], dict[str, set[str]]] = dict  # ids of messages by courier
    accepted: dict[str, tuple[str, StoredMessage]] = field(default_factory=dict)  # answered 202: by whom
    acting_courier: dict[str, str] = field(default_factory=dict)  # the courier that delivers it
    outcomes: dict[str, str] = field(default_factory=dict)
    open_submissions: dict[str, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))  # by courier
    violation: ViolationError | None = None
    lost_couriers: set[str] = field(default_factory=set)  # couriers that are never started again
    _sequences: dict[tuple[str, str, int], _KeySequence] = field(default_factory=dict)
    _sequence_of: dict[str, _KeySequence] = field(default_factory=dict)
    _effects: dict[str, int] = field(default_factory=dict)
    _open_calls: dict[str, list[Process]] = field(default_factory=lambda: defaultdict(list))  # the callers

    def fail(self, rule: str, *details: object) -> None:
        """Stop the run and raise `ViolationError`. The run also stops if the code under test catches the error."""
        text = " ".join(str(detail) for detail in details)
        error = ViolationError(rule, f"seed {self.world.seed} at {self.world.now_us / S:.6f} s: {rule}: {text}")
        self.violation, self.world.stopped = self.violation or error, True
        raise self.violation

    # --- admission ---

    def on_taken(self, courier: str, message: StoredMessage) -> None:
        """A courier wrote a message to its disk; it may still be withdrawn."""
        self.world.trace(courier, "took", message.id, message.key or "")
        self.world.counts["took"] += 1

    def on_begun(self, courier: str, message: StoredMessage, restored: bool = False) -> None:
        """A courier delivers a message from now on. No other may have begun it."""
        self.world.trace(courier, "restored" if restored else "began", message.id)
        other = self.acting_courier.setdefault(message.id, courier)
        if other != courier:
            self.fail(TAKEN_ONCE, f"{message.id} at {courier}, and {other} has begun it")

    def on_withdrawn(self, courier: str, message: StoredMessage) -> None:
        """A courier withdrew a message that it had not begun."""
        self.world.trace(courier, "withdrew", message.id)
        if message.id in self.accepted and message.id not in self.outcomes and not self._on_any_disk(message.id):
            self.fail(OWED, f"{message.id}, answered 202 by {self.accepted[message.id][0]}, is withdrawn at {courier}")

    def _on_any_disk(self, name: str) -> bool:
        """Return whether any courier's disk holds a message."""
        return any(name in held for held in self.held_on_disk().values())

    def on_answered(self, courier: str, boot: int, message: StoredMessage, status: int) -> None:
        """A courier answered a client. A message answered 202 has to be on a disk."""
        self.world.trace(courier, "says", status, message.id)
        self.world.counts[f"says {status}"] += 1
        if status == 400:  # clients only name destinations that are always on the list
            self.fail(KNOWN, f"{message.destination} handed in as {message.id} at {courier}")
        if status != 202:
            return
        if message.id not in self.outcomes and not self._on_any_disk(message.id):
            self.fail(OWED, f"{message.id}, answered 202 by {courier}, is on no disk")
        self.accepted.setdefault(message.id, (courier, message))

    def on_heard(self, courier: str, boot: int, message: StoredMessage) -> None:
        """A client received 202; it submits its next message of the key only after that."""
        if message.key is not None and message.id not in self._sequence_of:
            sequence = self._sequences.setdefault((message.key, courier, boot), _KeySequence())
            sequence.position[message.id] = len(sequence.names)
            sequence.names.append(message.id)
            self._sequence_of[message.id] = sequence

    def on_ended(self, courier: str, message: StoredMessage, outcome: str) -> None:
        """A courier ended a message with an outcome and forgot it."""
        self.world.trace(courier, "ended", message.id, outcome)
        self.world.counts[outcome] += 1
        self.outcomes[message.id] = outcome

    def on_destination_dropped(self, courier: str, message: StoredMessage) -> None:
        """A courier dropped a destination although it owes a message to it."""
        self.fail(OWED, f"{courier} drops destination {message.destination}, and owes {message.id}")

    # --- forwarding ---

    def on_forwarded(self, courier: str, to: str, name: str) -> None:
        """A courier forwards a message. Only the courier at which a client submits it may do so."""
        self.world.trace(courier, "asks", to, name)
        self.world.counts["hops"] += 1
        if not self.open_submissions[courier][name]:
            self.fail(ONE_HOP, f"{courier} asks {to} for {name}, and no client hands that in at {courier}")

    # --- partners ---

    def on_call_started(self, process: Process, endpoint: str, message: StoredMessage) -> None:
        """A process sends the first byte of a call."""
        name, courier = message.id, process.name
        self.world.trace(courier, "calls", endpoint, name)
        self.world.counts["calls"] += 1
        late_us = self.late_us(courier, endpoint)
        if late_us > MAX_NOTICE_DELAY_US + SLACK_US:
            self.fail(TOLD_IN_TIME, f"{courier} calls {endpoint} for {name} {late_us / S:.1f} s after a control "
                                    "machine that it could reach knew that it is off")
        sequence = self._sequence_of.get(name)
        if sequence is not None:
            position = sequence.position[name]
            for index, other in enumerate(sequence.names):
                if index != position and any(caller.alive for caller in self._open_calls[other]):
                    self.fail(IN_ORDER, f"{courier} calls for {name} while a call for {other} is out")
                if index < position and other not in self.outcomes and not self._effects.get(other) \
                        and not self._expired(other):
                    self.fail(IN_ORDER, f"{courier} calls for {name} before {other}, which was handed in before")
                if index > position and self._effects.get(other):
                    self.fail(IN_ORDER, f"{courier} calls for {name} after {other}, which was handed in later")
        self._open_calls[name].append(process)

    def _expired(self, name: str) -> bool:
        """Return whether a message has expired: it is not called any more, though a dead courier may hold it."""
        return self.world.wall_us() >= self.accepted[name][1].deadline_ms * MS

    def on_effect(self, message: StoredMessage) -> None:
        """A call of a message took effect at its destination."""
        self.world.trace("", "effect", message.id)
        self._effects[message.id] = self._effects.get(message.id, 0) + 1
        if message.message_class == "unsafe" and self._effects[message.id] > 1:
            self.fail(ONCE, f"{message.id} takes effect at destination {message.destination} again")

    def on_call_ended(self, process: Process, message: StoredMessage) -> None:
        """A call of a message no longer runs."""
        self._open_calls[message.id].remove(process)

    # --- the end of the run ---

    def check_outcomes(self) -> None:
        """Check that each accepted message has an outcome, unless it was on a lost courier's disk."""
        disks = self.held_on_disk()
        for name, (courier, _) in self.accepted.items():
            if name not in self.outcomes and not any(name in disks[lost] for lost in self.lost_couriers):
                holders = [holder for holder, held in disks.items() if name in held]
                self.fail(OWED, f"{name}, answered 202 by {courier}, has no end; held by {holders or 'nobody'}")
