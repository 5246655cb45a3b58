"""Retries and timeout of the giver's one outstanding request to the taker. No I/O."""

from __future__ import annotations

from wheelstep.moves.steps import NEVER_US, Act, GiverLimits, SendRequest
from wheelstep.moves.types import Move


class PendingRequest:
    """The unanswered request to the taker, if any, limited in both its tries and its total time."""

    def __init__(self, limits: GiverLimits) -> None:
        self._limits = limits
        self.request: Move | None = None
        self._since_us = 0
        self._due_us = 0
        self._tries = 0
        self._in_flight = False  # whether a try was sent and has no answer; else the next try is due at `_due_us`

    def send(self, now_us: int, request: Move) -> list[Act]:
        """Send a new request, which replaces any earlier one."""
        self.request, self._since_us, self._tries, self._in_flight = request, now_us, 1, True
        return [SendRequest(request)]

    def awaits(self, request: Move) -> bool:
        """Return whether `request` is the request in flight; the caller ignores answers to any other."""
        return self.request is not None and self._in_flight and request == self.request

    def schedule_retry(self, now_us: int, again_us: int) -> bool:
        """Schedule the next try after a timeout or a refusal for now, at least `again_us` (0: none was asked for) from
        now, with exponential backoff. Return False when no try is left."""
        limits = self._limits
        self._in_flight = False
        self._due_us = now_us + max(again_us, min(limits.max_backoff_us, limits.backoff_us << (self._tries - 1)))
        return self._tries < limits.max_tries

    def retry_if_due(self, now_us: int) -> list[Act] | None:
        """Return the next try if it is due, else []; None once `silence_us` have passed since the first try: the taker
        counts as silent."""
        if now_us - self._since_us >= self._limits.silence_us:
            return None
        if self.request is None or self._in_flight or now_us < self._due_us:
            return []
        self._tries, self._in_flight = self._tries + 1, True
        return [SendRequest(self.request)]

    def next_us(self) -> int:
        """Return the time at which `retry_if_due` has to be called next, NEVER_US if nothing is pending."""
        if self.request is None:
            return NEVER_US
        silent_us = self._since_us + self._limits.silence_us
        return silent_us if self._in_flight else min(silent_us, self._due_us)
