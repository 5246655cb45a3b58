"""A simple reference model of one channel, which keeps every number and searches all of them each time. Tests compare
`wheelstep.channels.book` with it."""

from __future__ import annotations

from dataclasses import dataclass, field

from wheelstep.channels.terms import Contract

ENDED = ("delivered", "refused", "failed", "skipped", "replaced")


@dataclass
class ModelMessage:
    """A number's message and its state."""
    message: str
    assigned: bool
    status: str = "unconfirmed"  # or waiting, out, one of ENDED, or may be handed in again: freed, lapsed (above a gap)
    may_have_run: bool = False


@dataclass
class ModelChannel:
    """One channel under a contract."""
    terms: Contract
    messages: dict[int, ModelMessage] = field(default_factory=dict)
    rest_ms: int = -1
    gap: tuple[int, int] | None = None  # first missing number, and until when it blocks
    highest_released: int = 0

    def next(self) -> int:
        """Return the lowest number that was never taken or has lapsed."""
        number = 1
        while number in self.messages and self.messages[number].status != "lapsed":
            number += 1
        return number

    def numbers_with(self, *statuses: str) -> list[int]:
        """Return the numbers in one of these states, in order."""
        return sorted(number for number, known in self.messages.items() if known.status in statuses)

    def missing(self, below: int) -> list[int]:
        """Return the numbers below this one that have no message."""
        return [number for number in range(1, below)
                if number not in self.messages or self.messages[number].status in ("freed", "lapsed")]

    def verdict(self, message: str, number: int | None) -> tuple[str, int]:
        """Return the verdict on a message handed in, and its number."""
        number = max(self.messages, default=0) + 1 if number is None else number
        known = self.messages.get(number)
        if number < 1 or number - self.next() > self.terms.ahead:
            return "beyond", number
        if known is None or known.status in ("freed", "lapsed"):
            return "take", number
        if known.status == "skipped":
            return "skipped", number
        return ("again" if known.message == message else "other-message"), number

    def take(self, number: int, message: str, assigned: bool) -> None:
        """Assign a number to a message."""
        if self.terms.order == "latest" and number >= self.next():
            self.skip(number)
        self.messages[number] = ModelMessage(message, assigned)

    def skip(self, below: int) -> None:
        """Mark the missing numbers below this one as skipped."""
        for number in self.missing(below):
            self.messages[number] = ModelMessage("", False, "skipped")

    def withdraw(self, number: int) -> None:
        """Remove a message whose client received no answer."""
        known = self.messages[number]
        latest = self.terms.order == "latest"
        if known.assigned or (latest and number != max(self.messages)):
            known.status = "skipped"
        else:
            self.free(number)

    def free(self, number: int) -> None:
        """Allow a number to be handed in again."""
        self.messages[number].status = "lapsed" if number > self.next() else "freed"

    def end(self, now_ms: int, number: int, outcome: str, unclear: bool) -> None:
        """Apply the end of a message."""
        known = self.messages[number]
        if outcome == "refused" and known.may_have_run:
            outcome = "failed"
        frees_number = outcome == "refused" and not known.assigned and self.terms.order in ("strict", "window") \
            and self.terms.gap != "fail"
        known.status = outcome
        if frees_number:
            self.free(number)
        if unclear:
            self.begin_rest(now_ms)

    def begin_rest(self, now_ms: int) -> None:
        """Start the contract's rest, if it has one."""
        if self.terms.unclear == "rest" and self.terms.order != "none":
            self.rest_ms = now_ms + self.terms.rest_ms

    def release(self, now_ms: int) -> list[tuple[str, str]]:
        """Return the messages that go out ("out") or end here, in order."""
        terms, results = self.terms, []
        if terms.order == "none":
            results = [self._release_one(number) for number in self.numbers_with("waiting")]
            top = max((number for number, known in self.messages.items() if known.status != "lapsed"), default=0)
            if top > self.next() and self._gap_expired(now_ms, self.missing(top)):
                self.skip(top)
            if top < self.next():
                self.gap = None
            return results
        out, waiting = self.numbers_with("out"), self.numbers_with("waiting")
        is_blocked = now_ms < self.rest_ms or (
            terms.unclear == "hold" and any(self.messages[number].may_have_run for number in out))
        if terms.order == "latest":
            for number in waiting:
                if number != waiting[-1] or number < self.highest_released:
                    known = self.messages[number]
                    known.status = "failed" if known.may_have_run else "replaced"
                    results.append((known.message, "failed" if known.may_have_run else "refused"))
            if waiting and self.messages[waiting[-1]].status == "waiting" and not out and not is_blocked:
                results.append(self._release_one(waiting[-1]))
            return results
        for number in waiting:
            out = self.numbers_with("out")
            is_blocked = is_blocked or (
                terms.unclear == "hold" and any(self.messages[other].may_have_run for other in out))
            if len(out) >= terms.open or is_blocked \
                    or any(other < number for other in self.numbers_with("unconfirmed")):
                break
            if missing := self.missing(number):
                if not self._gap_expired(now_ms, missing):
                    return results
                self.skip(number)
            results.append(self._release_one(number))
        self.gap = None
        return results

    def _gap_expired(self, now_ms: int, missing: list[int]) -> bool:
        if self.terms.gap == "hold":
            return False
        if self.gap is None or self.gap[0] != missing[0]:
            self.gap = missing[0], now_ms + self.terms.gap_after_ms
        return self.terms.gap == "fail" or now_ms >= self.gap[1]

    def _release_one(self, number: int) -> tuple[str, str]:
        self.messages[number].status = "out"
        self.highest_released = max(self.highest_released, number)
        return self.messages[number].message, "out"

    def crash(self, now_ms: int) -> None:
        """Continue in another process: what was in flight is released again, and an unfinished rest starts again."""
        self.highest_released = max(self.numbers_with("delivered", "failed"), default=0)
        for number in self.numbers_with("out", "unconfirmed"):
            self.messages[number].status = "waiting"
        self.gap = None
        if now_ms < self.rest_ms:
            self.rest_ms = now_ms + self.terms.rest_ms
