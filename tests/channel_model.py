"""A channel as plainly as can be: every number that ever was, looked through whole at every question. For the tests of
`wheelstep.channels.book`, which must say the same.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from wheelstep.channels.terms import Contract

GONE = ("delivered", "refused", "failed", "skipped", "replaced")


@dataclass
class Row:
    message: str
    given: bool
    status: str = "unsaid"  # waiting, out, one of GONE; may be handed in again: freed, or lapsed (from beyond a gap)
    ran: bool = False


@dataclass
class Plain:
    terms: Contract
    rows: dict[int, Row] = field(default_factory=dict)
    rest_ms: int = -1
    gap: tuple[int, int] | None = None  # which number is missing, and until when it is waited for
    opened: int = 0  # the highest that ever went out

    def next(self) -> int:
        number = 1
        while number in self.rows and self.rows[number].status != "lapsed":
            number += 1
        return number

    def having(self, *statuses: str) -> list[int]:
        return sorted(number for number, row in self.rows.items() if row.status in statuses)

    def missing(self, below: int) -> list[int]:
        return [number for number in range(1, below)
                if number not in self.rows or self.rows[number].status in ("freed", "lapsed")]

    def verdict(self, message: str, number: int | None) -> tuple[str, int]:
        """What the door says, and the number."""
        number = max(self.rows, default=0) + 1 if number is None else number
        row = self.rows.get(number)
        if number < 1 or number - self.next() > self.terms.ahead:
            return "beyond", number
        if row is None or row.status in ("freed", "lapsed"):
            return "take", number
        if row.status == "skipped":
            return "skipped", number
        return ("again" if row.message == message else "other-message"), number

    def take(self, number: int, message: str, given: bool) -> None:
        if self.terms.order == "latest" and number >= self.next():
            self.skip(number)
        self.rows[number] = Row(message, given)

    def skip(self, below: int) -> None:
        for number in self.missing(below):
            self.rows[number] = Row("", False, "skipped")

    def withdraw(self, number: int) -> None:
        row = self.rows[number]
        latest = self.terms.order == "latest"
        if row.given or (latest and number != max(self.rows)):
            row.status = "skipped"
        else:
            self.free(number)

    def free(self, number: int) -> None:
        self.rows[number].status = "lapsed" if number > self.next() else "freed"

    def end(self, now_ms: int, number: int, outcome: str, unclear: bool) -> None:
        row = self.rows[number]
        if outcome == "refused" and row.ran:
            outcome = "failed"
        again = outcome == "refused" and not row.given and self.terms.order in ("strict", "window") \
            and self.terms.gap != "fail"
        row.status = outcome
        if again:
            self.free(number)
        if unclear:
            self.unclear(now_ms)

    def unclear(self, now_ms: int) -> None:
        if self.terms.unclear == "rest" and self.terms.order != "none":
            self.rest_ms = now_ms + self.terms.rest_ms

    def release(self, now_ms: int) -> list[tuple[str, str]]:
        """What goes out ("out") or ends here, in order."""
        terms, told = self.terms, []
        if terms.order == "none":
            told = [self._open(number) for number in self.having("waiting")]
            top = max((number for number, row in self.rows.items() if row.status != "lapsed"), default=0)
            if top > self.next() and self._waited(now_ms, self.missing(top)):
                self.skip(top)
            if top < self.next():
                self.gap = None
            return told
        out, waiting = self.having("out"), self.having("waiting")
        stopped = now_ms < self.rest_ms or (terms.unclear == "hold" and any(self.rows[number].ran for number in out))
        if terms.order == "latest":
            for number in waiting:
                if number != waiting[-1] or number < self.opened:
                    row = self.rows[number]
                    row.status = "failed" if row.ran else "replaced"
                    told.append((row.message, "failed" if row.ran else "refused"))
            if waiting and self.rows[waiting[-1]].status == "waiting" and not out and not stopped:
                told.append(self._open(waiting[-1]))
            return told
        for number in waiting:
            out = self.having("out")
            stopped = stopped or (terms.unclear == "hold" and any(self.rows[other].ran for other in out))
            if len(out) >= terms.open or stopped or any(other < number for other in self.having("unsaid")):
                break
            if missing := self.missing(number):
                if not self._waited(now_ms, missing):
                    return told
                self.skip(number)
            told.append(self._open(number))
        self.gap = None
        return told

    def _waited(self, now_ms: int, missing: list[int]) -> bool:
        if self.terms.gap == "hold":
            return False
        if self.gap is None or self.gap[0] != missing[0]:
            self.gap = missing[0], now_ms + self.terms.gap_after_ms
        return self.terms.gap == "fail" or now_ms >= self.gap[1]

    def _open(self, number: int) -> tuple[str, str]:
        self.rows[number].status = "out"
        self.opened = max(self.opened, number)
        return self.rows[number].message, "out"

    def crash(self, now_ms: int) -> None:
        """Another process goes on: what was out is given out anew, and what rested rests once more."""
        self.opened = max(self.having("delivered", "failed"), default=0)
        for number in self.having("out", "unsaid"):
            self.rows[number].status = "waiting"
        self.gap = None
        if now_ms < self.rest_ms:
            self.rest_ms = now_ms + self.terms.rest_ms
