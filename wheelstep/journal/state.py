"""What the journal's records mean: the messages that are owed their end, and small facts. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

UNKNOWN_MS = 0  # when an attempt that damage may have swallowed was sent: before any key's life


@dataclass(slots=True)
class Stored:
    """A message that the courier owes its end."""

    id: str
    message_class: str
    destination: int
    deadline_ms: int  # Unix time
    key: str | None = None
    token: str | None = None  # the client's idempotency key
    resubmitted: bool = False
    body: bytes = b""
    attempts: int = 0  # number of the next one
    ran_ms: int | None = None  # when the first attempt that may have run was sent, of those with outcomes
    ran_at: str | None = None  # the endpoint of that one
    out: dict[int, tuple[int, str]] = field(default_factory=dict)  # no outcome yet: when sent, and where
    notice: tuple[str, int] | None = None  # what the platform is still to hear of its end
    seq: int = 0  # its place among all that were taken on
    channel: str | None = None  # with a declared order (wheelstep.channels), and its number there
    number: int = 0
    home: int = field(default=0, compare=False)  # the segment that holds it whole
    weight: int = field(default=0, compare=False)  # what it counts among the live bytes, without its open attempts

    def may_have_run(self, but: int | None = None) -> tuple[int, str] | None:
        """The first attempt that may have run, one without an outcome included, but for this one: when, and where."""
        known = [(self.ran_ms, self.ran_at or "")] if self.ran_ms is not None else []
        return min([*known, *(sent for number, sent in self.out.items() if number != but)], default=None)

    def doubt(self) -> None:
        """Damage may have swallowed an attempt of it: from now on it may have run, nobody knows when."""
        if self.ran_ms is None or self.ran_ms > UNKNOWN_MS:
            self.ran_ms, self.ran_at = UNKNOWN_MS, self.ran_at or ""

    def weigh(self) -> int:
        """About the bytes of its record when it is copied forward, without its open attempts."""
        names = (self.id, self.key, self.token, self.message_class, self.channel)
        return 110 + sum(len(name or "") for name in names) + len(self.body)


OPEN_ATTEMPT = 64  # what each adds to that


class State:
    """All messages and facts, in the order in which messages were taken on. Changes by applying records only."""

    def __init__(self) -> None:
        self.messages: dict[str, Stored] = {}
        self.marks: dict[str, Any] = {}
        self.live = 0  # about what the messages take when copied forward
        self.next_seq = 1

    def take(self, message: Stored) -> None:
        """A message whole. One that is known already is replaced by it and keeps its place."""
        known = self.messages.get(message.id)
        if known is not None:
            self.live -= known.weight + OPEN_ATTEMPT * len(known.out)
        self.messages[message.id] = message
        message.weight = message.weigh()
        self.live += message.weight + OPEN_ATTEMPT * len(message.out)
        if message.seq >= self.next_seq:
            self.next_seq = message.seq + 1

    def attempt(self, name: str, number: int, at_ms: int, endpoint: str) -> bool:
        """False where the message is not known."""
        known = self.messages.get(name)
        if known is None:
            return False
        known.attempts = max(known.attempts, number + 1)
        if number not in known.out:
            self.live += OPEN_ATTEMPT
        known.out[number] = (at_ms, endpoint)
        return True

    def outcome(self, name: str, number: int, may_have_run: bool) -> bool:
        """False where the message is not known."""
        known = self.messages.get(name)
        if known is None:
            return False
        sent = known.out.pop(number, None)
        if sent is not None:
            self.live -= OPEN_ATTEMPT
            if may_have_run and (known.ran_ms is None or sent[0] < known.ran_ms):
                known.ran_ms, known.ran_at = sent
        return True

    def end(self, name: str, told: str, retry_ms: int) -> bool:
        """False where the message is not known."""
        known = self.messages.get(name)
        if known is None:
            return False
        self.live -= known.weight
        known.notice, known.body = (told, retry_ms), b""
        known.weight = known.weigh()
        self.live += known.weight
        return True

    def over(self, name: str) -> Stored | None:
        """The message as it was, if it was known."""
        known = self.messages.pop(name, None)
        if known is not None:
            self.live -= known.weight + OPEN_ATTEMPT * len(known.out)
        return known

    def mark(self, name: str, value: Any) -> None:
        """A small fact; None forgets it."""
        self.marks.pop(name, None)
        if value is not None:
            self.marks[name] = value

    def in_order(self) -> None:
        """Sort by the order of taking: copies forward come later in the log than they were taken on."""
        self.messages = dict(sorted(self.messages.items(), key=lambda item: item[1].seq))
