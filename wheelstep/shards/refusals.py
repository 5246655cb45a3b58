"""What was refused of others, counted by reason, and lines for operators now and then. No I/O."""

from __future__ import annotations

from collections import Counter

NOTE_EVERY_US = 10_000_000


class Refusals:
    """Counts by reason; lines name the last one of each reason."""

    def __init__(self, what: str) -> None:
        self._what = what
        self.counts: Counter[str] = Counter()
        self._last: dict[str, str] = {}
        self._told: dict[str, tuple[int, int]] = {}  # when a line was given, and the count then

    def add(self, reason: str, line: str) -> None:
        """One more; reasons are few and known. `line` says of whom, what was found and what was expected."""
        self.counts[reason] += 1
        self._last[reason] = line

    def note(self, reason: str, who: str, expected: str) -> None:
        """The same, of a packet."""
        self.add(reason, f"{who or 'unknown sender'} refused ({reason}): expected {expected}")

    def lines(self, now_us: int) -> list[str]:
        """One a reason in 10 seconds, where there was another since."""
        lines = []
        for reason, text in self._last.items():
            at_us, told = self._told.get(reason, (now_us - NOTE_EVERY_US, 0))
            count = self.counts[reason]
            if count > told and now_us - at_us >= NOTE_EVERY_US:
                self._told[reason] = now_us, count
                lines.append(f"{self._what}: {text}; {count - told} refused since the last line")
        return lines
