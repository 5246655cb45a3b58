"""What was refused: counted, and told to the operators at most once in a while. No I/O."""

from __future__ import annotations

from collections import Counter

NOTE_EVERY_US = 10_000_000


class Refusals:
    """Counts by reason; a line at most each 10 seconds."""

    def __init__(self, what: str) -> None:
        self._what, self._last = what, ""
        self._noted_us: int | None = None
        self._told = 0
        self.counts: Counter[str] = Counter()

    def add(self, why: str, line: str) -> None:
        """One more; `line` says of whom, what was found and what was expected."""
        self.counts[why] += 1
        self._last = line

    def notes(self, now_us: int) -> list[str]:
        """The line that is due, if any."""
        total = self.counts.total()
        if total == self._told or (self._noted_us is not None and now_us - self._noted_us < NOTE_EVERY_US):
            return []
        since, self._told, self._noted_us = total - self._told, total, now_us
        return [f"{self._what}: {self._last}; {since} refused since the last line"]
