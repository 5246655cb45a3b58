"""The state that the journal's records describe: unfinished messages and named facts. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

UNKNOWN_SENT_MS = 0  # send time of an attempt whose record may be lost: before any idempotency key's lifetime


@dataclass(slots=True)
class StoredMessage:
    """A message that the courier has accepted and not finished."""

    id: str
    message_class: str
    destination: int
    deadline_ms: int  # Unix time
    key: str | None = None
    token: str | None = None  # the client's idempotency key
    resubmitted: bool = False
    body: bytes = b""
    attempts: int = 0  # number of the next attempt
    ran_ms: int | None = None  # send time of the earliest ended attempt that may have run
    ran_at: str | None = None  # endpoint of that attempt
    out: dict[int, tuple[int, str]] = field(default_factory=dict)  # attempts without an outcome: send time and endpoint
    notice: tuple[str, int] | None = None  # final outcome and retry time that the platform has not acknowledged yet
    seq: int = 0  # position among all accepted messages
    channel: str | None = None  # channel with a declared order (wheelstep.channels), and the message's number in it
    number: int = 0
    segment_number: int = field(default=0, compare=False)  # number of the segment that holds the whole message
    weight: int = field(default=0, compare=False)  # estimated live bytes, without open attempts
    unwritten: bool = field(default=False, compare=False)  # the disk has an older state of it

    def may_have_run(self, except_attempt: int | None = None) -> tuple[int, str] | None:
        """Return send time and endpoint of the earliest attempt that may have run, or None.

        Attempts without an outcome count; the attempt with number `except_attempt` does not.
        """
        known = [(self.ran_ms, self.ran_at or "")] if self.ran_ms is not None else []
        return min([*known, *(sent for number, sent in self.out.items() if number != except_attempt)], default=None)

    def mark_possibly_run(self) -> None:
        """Mark the message as possibly run at an unknown time, because damage may have destroyed the record of an
        attempt."""
        if self.ran_ms is None or self.ran_ms > UNKNOWN_SENT_MS:
            self.ran_ms, self.ran_at = UNKNOWN_SENT_MS, self.ran_at or ""

    def weigh(self) -> int:
        """Return about how many bytes its record takes when copied forward, without its open attempts."""
        names = (self.id, self.key, self.token, self.message_class, self.channel)
        return 110 + sum(len(name or "") for name in names) + len(self.body)


OPEN_ATTEMPT_BYTES = 64  # estimated bytes of each open attempt


class State:
    """All unfinished messages and facts, messages in the order of acceptance. Changed only by applying records."""

    def __init__(self) -> None:
        self.messages: dict[str, StoredMessage] = {}
        self.marks: dict[str, Any] = {}
        self.live = 0  # estimated bytes that the messages take when copied forward
        self.next_seq = 1

    def take(self, message: StoredMessage) -> None:
        """Add a whole message; one that is already known is replaced and keeps its position."""
        known = self.messages.get(message.id)
        if known is not None:
            self.live -= known.weight + OPEN_ATTEMPT_BYTES * len(known.out)
        self.messages[message.id] = message
        message.weight = message.weigh()
        self.live += message.weight + OPEN_ATTEMPT_BYTES * len(message.out)
        if message.seq >= self.next_seq:
            self.next_seq = message.seq + 1

    def attempt(self, name: str, number: int, at_ms: int, endpoint: str) -> bool:
        """Apply the start of an attempt. False if the message is not known."""
        known = self.messages.get(name)
        if known is None:
            return False
        known.attempts = max(known.attempts, number + 1)
        if number not in known.out:
            self.live += OPEN_ATTEMPT_BYTES
        known.out[number] = (at_ms, endpoint)
        return True

    def outcome(self, name: str, number: int, may_have_run: bool) -> bool:
        """Apply an attempt's outcome. False if the message is not known."""
        known = self.messages.get(name)
        if known is None:
            return False
        sent = known.out.pop(number, None)
        if sent is not None:
            self.live -= OPEN_ATTEMPT_BYTES
            if may_have_run and (known.ran_ms is None or sent[0] < known.ran_ms):
                known.ran_ms, known.ran_at = sent
        return True

    def end(self, name: str, result: str, retry_ms: int) -> bool:
        """Apply a message's final outcome and drop its body. False if the message is not known."""
        known = self.messages.get(name)
        if known is None:
            return False
        self.live -= known.weight
        known.notice, known.body = (result, retry_ms), b""
        known.weight = known.weigh()
        self.live += known.weight
        return True

    def over(self, name: str) -> StoredMessage | None:
        """Remove a finished message and return it, or None if it is not known."""
        known = self.messages.pop(name, None)
        if known is not None:
            self.live -= known.weight + OPEN_ATTEMPT_BYTES * len(known.out)
        return known

    def mark(self, name: str, value: Any) -> None:
        """Set a fact; None deletes it."""
        self.marks.pop(name, None)
        if value is not None:
            self.marks[name] = value

    def sort_by_seq(self) -> None:
        """Sort messages by acceptance: a copy forward stands later in the log than its message's acceptance."""
        self.messages = dict(sorted(self.messages.items(), key=lambda item: item[1].seq))
