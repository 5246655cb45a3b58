"""The order of keys as the calls see it, independent of the module's decisions. No I/O, but for those who wait.

Messages of one key run one at a time, in the order of their acceptance (rule 6 of the wire's page).
A message is complete once it is delivered, or once the notification of its end is answered. After an attempt that may
still run, later messages of the key wait for a settle period. Both outlast the message, which is forgotten once it is
complete, and the process: a successor is told of them (`settling`), and after a restart, where nobody can tell, every
key settles (`settle_all`).

Moments are monotonic seconds.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum


class Block(Enum):
    """Why a message may not be sent yet."""

    EARLIER = "an earlier message of its key is not complete"
    NOTIFICATION = "the notification of an earlier message of its key is not answered"
    ATTEMPT = "an attempt of another message of its key is open"
    SETTLING = "its key settles"


@dataclass(slots=True)
class _Message:
    tried: bool = False  # an attempt was begun, maybe by a process before
    unanswered: bool = False  # it has ended, and the platform is still to answer the notification
    settled_at: float = 0.0  # until then an attempt of it may still run


@dataclass(slots=True)
class _Key:
    messages: dict[str, _Message] = field(default_factory=dict)  # not complete, in the order of acceptance
    attempts: dict[tuple[str, int], None] = field(default_factory=dict)  # open ones
    settled_at: float = 0.0  # for messages that are complete


class KeyOrder:
    """All keys that have a message, an open attempt or a settle period."""

    def __init__(self, settle_s: float) -> None:
        self._settle_s = settle_s
        self._keys: dict[str, _Key] = {}
        self._key_of: dict[str, str] = {}  # of messages that are not complete or have an open attempt
        self._expiries: deque[tuple[float, str]] = deque()  # keys whose last message is complete, in order of time
        self._all_settled_at = 0.0
        self._answered = asyncio.Event()  # set, and replaced, whenever notifications were answered

    def __len__(self) -> int:
        return len(self._keys)

    # --- what happens ---

    def accepted(self, message: str, key: str | None, tried: bool = False, may_run_until: float = 0.0) -> None:
        """A message takes its place behind those of its key. `tried`: a process before has begun an attempt;
        `may_run_until`: until when that one may still run."""
        if key is None:
            return
        self._key_of[message] = key
        known = self._keys.setdefault(key, _Key()).messages.setdefault(message, _Message())
        known.tried = known.tried or tried
        known.settled_at = max(known.settled_at, may_run_until)

    def completed(self, message: str, now_s: float) -> None:
        """It is delivered, its notification was answered, or it is no longer this process's."""
        key = self._key_of.get(message)
        if key is None:
            return
        state = self._keys[key]
        if (known := state.messages.pop(message, None)) is not None:
            state.settled_at = max(state.settled_at, known.settled_at)
        self._tidy(message, key, state, now_s)

    def attempt_started(self, message: str, attempt: int) -> None:
        """Its first byte is about to be written, or a process before has it out."""
        if (key := self._key_of.get(message)) is not None:
            state = self._keys[key]
            state.attempts[message, attempt] = None
            if (known := state.messages.get(message)) is not None:
                known.tried = True

    def attempt_ended(self, message: str, attempt: int, may_still_run: bool, now_s: float) -> None:
        """It has its outcome."""
        key = self._key_of.get(message)
        if key is None:
            return
        state = self._keys[key]
        state.attempts.pop((message, attempt), None)
        if may_still_run:
            settled_at = now_s + self._settle_s
            if (known := state.messages.get(message)) is not None:
                known.settled_at = max(known.settled_at, settled_at)
            else:
                state.settled_at = max(state.settled_at, settled_at)
        self._tidy(message, key, state, now_s)

    def notification_pending(self, message: str, key: str | None) -> None:
        """It has ended, and the platform is to be notified."""
        self.accepted(message, key)
        if key is not None:
            self._keys[key].messages[message].unanswered = True

    def wake(self) -> None:
        """Notifications were answered: those that wait for it look again."""
        self._answered.set()
        self._answered = asyncio.Event()

    def _tidy(self, message: str, key: str, state: _Key, now_s: float) -> None:
        if message not in state.messages and not any(name == message for name, _ in state.attempts):
            self._key_of.pop(message, None)
        if not state.messages and not state.attempts:
            if state.settled_at > now_s:
                self._expiries.append((state.settled_at, key))
            else:
                self._keys.pop(key, None)
        while self._expiries and self._expiries[0][0] <= now_s:
            _, expired = self._expiries.popleft()
            other = self._keys.get(expired)
            if other is not None and not other.messages and not other.attempts and other.settled_at <= now_s:
                del self._keys[expired]

    # --- from one process to the next ---

    def settling(self, now_s: float) -> dict[str, int]:
        """Return the microseconds for which each key still settles, for those that do."""
        until = {key: max([state.settled_at, *(message.settled_at for message in state.messages.values())])
                 for key, state in self._keys.items()}
        return {key: int((settled_at - now_s) * 1e6) + 1 for key, settled_at in until.items() if settled_at > now_s}

    def settle(self, keys: Iterable[tuple[str, int]], now_s: float) -> None:
        """Keys that settle for so many microseconds from now, as a process before has told."""
        for key, left_us in keys:
            state = self._keys.setdefault(key, _Key())
            state.settled_at = max(state.settled_at, now_s + left_us / 1e6)
            if not state.messages and not state.attempts:
                self._expiries.append((state.settled_at, key))

    def settle_all(self, until_s: float) -> None:
        """Any key may settle until then. A message that was tried had its turn already, and does not wait for it."""
        self._all_settled_at = max(self._all_settled_at, until_s)

    # --- what may be sent ---

    def block(self, message: str, now_s: float) -> Block | None:
        """Return why the message may not be sent now; None where nothing of its key stands against it."""
        key = self._key_of.get(message)
        if key is None:
            return None
        state = self._keys[key]
        for name, known in state.messages.items():
            if name == message:
                break
            return Block.NOTIFICATION if known.unanswered else Block.EARLIER
        if any(name != message for name, _ in state.attempts):
            return Block.ATTEMPT
        tried = message in state.messages and state.messages[message].tried
        if now_s < state.settled_at or not tried and now_s < self._all_settled_at:
            return Block.SETTLING
        return None

    async def until_answered(self, messages: Iterable[str], now_s: float) -> None:
        """Wait until no notification stands before any of these messages."""
        wanted = list(messages)
        while any(self.block(message, now_s) is Block.NOTIFICATION for message in wanted):
            await self._answered.wait()
