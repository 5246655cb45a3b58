"""One ask to the taker at a time: when it is tried again, and when the taker counts as silent. No I/O."""

from __future__ import annotations

from wheelstep.moves.steps import NEVER_US, Act, Limits, Tell
from wheelstep.moves.types import Move


class Asking:
    """The ask that has no answer yet, if any. Its tries and its time are both bounded."""

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self.ask: Move | None = None
        self._since_us = 0
        self._due_us = 0
        self._tries = 0
        self._out = False  # else it waits for its next try

    def tell(self, now_us: int, ask: Move) -> list[Act]:
        """Begin it, in the place of any other."""
        self.ask, self._since_us, self._tries, self._out = ask, now_us, 1, True
        return [Tell(ask)]

    def answers(self, ask: Move) -> bool:
        """Whether an answer to this ask is the one waited for."""
        return self.ask is not None and self._out and ask == self.ask

    def again(self, now_us: int, again_us: int) -> bool:
        """No answer, or the taker wants it later: wait for the next try. False where there is none left."""
        limits = self._limits
        self._out = False
        self._due_us = now_us + max(again_us, min(limits.backoff_most_us, limits.backoff_us << (self._tries - 1)))
        return self._tries < limits.tries

    def wait(self, now_us: int) -> list[Act] | None:
        """The next try if it is due; None once the taker counts as silent."""
        if now_us - self._since_us >= self._limits.silence_us:
            return None
        if self.ask is None or self._out or now_us < self._due_us:
            return []
        self._tries, self._out = self._tries + 1, True
        return [Tell(self.ask)]

    def next_us(self) -> int:
        """When `wait` has something to do."""
        if self.ask is None:
            return NEVER_US
        silent_us = self._since_us + self._limits.silence_us
        return silent_us if self._out else min(silent_us, self._due_us)
