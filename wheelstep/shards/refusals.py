"""Counts refused input by reason and writes rate-limited lines about it for operators. No I/O."""

from __future__ import annotations

from collections import Counter

NOTE_EVERY_US = 10_000_000


class Refusals:
    """Counts by reason; a line describes the last refusal of its reason."""

    def __init__(self, subject: str) -> None:
        self._subject = subject
        self.counts: Counter[str] = Counter()
        self._last: dict[str, str] = {}
        self._written: dict[str, tuple[int, int]] = {}  # when the last line was written, and the count then

    def add(self, reason: str, line: str) -> None:
        """Counts one refusal. The number of reasons must be small and fixed. `line` names the sender, what was found
        and what was expected."""
        self.counts[reason] += 1
        self._last[reason] = line

    def note(self, reason: str, who: str, expected: str) -> None:
        """Counts a refused packet; `who` is its sender ("" if unknown)."""
        self.add(reason, f"{who or 'unknown sender'} refused ({reason}): expected {expected}")

    def lines(self, now_us: int) -> list[str]:
        """The lines due now: per reason one in 10 seconds at most, and only if there were further refusals."""
        lines = []
        for reason, text in self._last.items():
            at_us, written = self._written.get(reason, (now_us - NOTE_EVERY_US, 0))
            count = self.counts[reason]
            if count > written and now_us - at_us >= NOTE_EVERY_US:
                self._written[reason] = now_us, count
                lines.append(f"{self._subject}: {text}; {count - written} refused since the last line")
        return lines
