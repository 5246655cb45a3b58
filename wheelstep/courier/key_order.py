"""Order of keys as observed by the calls, independent of the decision module's decisions. No I/O, except for waiting
tasks.

Messages of one key run one at a time, in the order of their acceptance (rule 6 of the wire's page). A message is
complete once it is delivered, or once the notification of its end is answered. After an attempt that may still run,
later messages of the key wait for a settle period: the key settles. Such an attempt and the period outlast the
message, which is forgotten once it is complete, and the process: the next process is told of them (`settling`), and
after a restart without a previous process every key settles (`settle_all`).

All times are monotonic seconds.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum


class Block(Enum):
    """Reason why a message may not be sent yet."""

    EARLIER = "an earlier message of its key is not complete"
    NOTIFICATION = "the notification of an earlier message of its key is not answered"
    ATTEMPT = "an attempt of another message of its key is open"
    SETTLING = "its key settles"


@dataclass(slots=True)
class _MessageState:
    tried: bool = False  # an attempt was started, perhaps by an earlier process
    unanswered: bool = False  # it has ended, and its notification is not answered yet
    settled_at: float = 0.0  # until then an attempt of it may still run


@dataclass(slots=True)
class _KeyState:
    messages: dict[str, _MessageState] = field(default_factory=dict)  # incomplete messages, in the order of acceptance
    attempts: dict[tuple[str, int], None] = field(default_factory=dict)  # open attempts
    settled_at: float = 0.0  # settle time left over from complete messages
    inherited_settled_at: float = 0.0  # as the previous process reported it; no matter to a message tried there

    @property
    def all_settled_at(self) -> float:
        """When nothing of the key settles any more, as far as its complete messages and the previous process go."""
        return max(self.settled_at, self.inherited_settled_at)


class KeyOrder:
    """All keys that have an incomplete message, an open attempt or a settle period."""

    def __init__(self, settle_s: float) -> None:
        self._settle_s = settle_s
        self._keys: dict[str, _KeyState] = {}
        self._key_of: dict[str, str] = {}  # for messages that are incomplete or have an open attempt
        self._expiries: deque[tuple[float, str]] = deque()  # keys without messages, in the order of their expiry
        self._all_settled_at = 0.0
        self._answered = asyncio.Event()  # set and replaced whenever notifications were answered

    def __len__(self) -> int:
        return len(self._keys)

    # --- events ---

    def accepted(self, message: str, key: str | None, tried: bool = False, may_run_until: float = 0.0) -> None:
        """Add a message behind those of its key. `tried`: an earlier process has started an attempt, which may run
        until `may_run_until`."""
        if key is None:
            return
        self._key_of[message] = key
        known = self._keys.setdefault(key, _KeyState()).messages.setdefault(message, _MessageState())
        known.tried = known.tried or tried
        known.settled_at = max(known.settled_at, may_run_until)

    def completed(self, message: str, now_s: float) -> None:
        """Remove a message that was delivered, whose notification was answered, or that this process does not own
        any more."""
        key = self._key_of.get(message)
        if key is None:
            return
        state = self._keys[key]
        if (known := state.messages.pop(message, None)) is not None:
            state.settled_at = max(state.settled_at, known.settled_at)
        self._forget_if_done(message, key, state, now_s)

    def attempt_started(self, message: str, attempt: int) -> None:
        """Note an attempt whose first byte is about to be written, or that a previous process has under way."""
        if (key := self._key_of.get(message)) is not None:
            state = self._keys[key]
            state.attempts[message, attempt] = None
            if (known := state.messages.get(message)) is not None:
                known.tried = True

    def attempt_ended(self, message: str, attempt: int, may_still_run: bool, now_s: float) -> None:
        """Note the outcome of an attempt."""
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
        self._forget_if_done(message, key, state, now_s)

    def notification_pending(self, message: str, key: str | None) -> None:
        """Note that a message has ended and its notification is not answered yet."""
        self.accepted(message, key)
        if key is not None:
            self._keys[key].messages[message].unanswered = True

    def notifications_answered(self) -> None:
        """Wake the tasks in `until_answered`, as notifications were answered."""
        self._answered.set()
        self._answered = asyncio.Event()

    def _forget_if_done(self, message: str, key: str, state: _KeyState, now_s: float) -> None:
        if message not in state.messages and not any(name == message for name, _ in state.attempts):
            self._key_of.pop(message, None)
        if not state.messages and not state.attempts:
            if state.all_settled_at > now_s:
                self._expiries.append((state.all_settled_at, key))
            else:
                self._keys.pop(key, None)
        while self._expiries and self._expiries[0][0] <= now_s:
            _, expired = self._expiries.popleft()
            other = self._keys.get(expired)
            if other is not None and not other.messages and not other.attempts and other.all_settled_at <= now_s:
                del self._keys[expired]

    # --- handover between processes ---

    def settling(self, now_s: float) -> dict[str, int]:
        """Return the keys that settle, with the microseconds left."""
        until = {key: max([state.all_settled_at, *(message.settled_at for message in state.messages.values())])
                 for key, state in self._keys.items()}
        return {key: int((settled_at - now_s) * 1e6) + 1 for key, settled_at in until.items() if settled_at > now_s}

    def settle(self, keys: Iterable[tuple[str, int]], now_s: float) -> None:
        """Take over the settle periods, in microseconds from now, that a previous process reported. A message that it
        tried had its turn already and does not wait for them: they may come from that message's own attempts."""
        for key, left_us in keys:
            state = self._keys.setdefault(key, _KeyState())
            state.inherited_settled_at = max(state.inherited_settled_at, now_s + left_us / 1e6)
            if not state.messages and not state.attempts:
                self._expiries.append((state.inherited_settled_at, key))

    def settle_all(self, until_s: float) -> None:
        """Let every key settle until then. A message tried before had its turn already and does not wait for it."""
        self._all_settled_at = max(self._all_settled_at, until_s)

    # --- permission to send ---

    def block(self, message: str, now_s: float) -> Block | None:
        """Return why the message may not be sent now; None if nothing of its key stands in its way."""
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
        untried_settled_at = 0.0 if tried else max(state.inherited_settled_at, self._all_settled_at)
        return Block.SETTLING if now_s < max(state.settled_at, untried_settled_at) else None

    async def until_answered(self, messages: Iterable[str], now_s: float) -> None:
        """Wait until no unanswered notification precedes any of these messages."""
        wanted = list(messages)
        while any(self.block(message, now_s) is Block.NOTIFICATION for message in wanted):
            await self._answered.wait()
