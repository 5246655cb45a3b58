"""Causes of delay, spans of time with one cause each, and functions to join, cut and charge spans. No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from enum import Enum


class Cause(Enum):
    """What a message's time was spent on, in the words of the tables."""

    LIMIT = "limit waited for"
    REFUSED = "refused"
    SICK = "sick destination"
    RETURNING = "destination on its way back"
    GONE = "no endpoint up"
    ORDER = "order"
    SLOTS = "slots or window"
    CONNECTION = "connection not to be had"
    DOUBT = "no endpoint that it may go to"
    RESTART = "courier down"
    ANSWERING = "being answered"
    DOOR = "refused at the door"
    CLIENT = "with its client"
    NEVER = "never answered"
    UNKNOWN = "not told"


@dataclass(frozen=True, slots=True)
class Span:
    """A part of a message's time, with its cause."""

    from_ms: int
    to_ms: int
    cause: Cause
    behind: Cause | None = None  # for ORDER: what the message in front spent the time on

    def within(self, from_ms: int, to_ms: int) -> Span:
        """Return the part of the span within these bounds, which may be empty."""
        start_ms = min(max(self.from_ms, from_ms), to_ms)
        return Span(start_ms, max(min(self.to_ms, to_ms), start_ms), self.cause, self.behind)


def merged(spans: Iterable[Span]) -> list[Span]:
    """Merge adjacent spans of one cause and drop empty ones.

    Otherwise each message of a long queue would carry the pieces of all messages before it.
    """
    found: list[Span] = []
    for span in spans:
        last = found[-1] if found else None
        if last is not None and (last.to_ms, last.cause, last.behind) == (span.from_ms, span.cause, span.behind):
            found[-1] = Span(last.from_ms, span.to_ms, last.cause, last.behind)
        elif span.to_ms > span.from_ms:
            found.append(span)
    return found


def behind(spans: Sequence[Span], from_ms: int, to_ms: int) -> Iterator[Span]:
    """Yield the time in which a message waited for its turn, by what the message in front spent it on."""
    at_ms = from_ms
    for span in (span.within(from_ms, to_ms) for span in spans):
        if span.from_ms > at_ms:  # pause between two ends, or time that no line covers
            yield Span(at_ms, span.from_ms, Cause.ORDER)
        if span.to_ms > span.from_ms:
            yield Span(span.from_ms, span.to_ms, Cause.ORDER, span.behind or span.cause)
        at_ms = max(at_ms, span.to_ms)
    if at_ms < to_ms:
        yield Span(at_ms, to_ms, Cause.ORDER)


def share(spans: Sequence[Span], lost: float, at_ms: int) -> list[tuple[Span, float]]:
    """Distribute a loss over spans by their length, in pieces of at most one second.

    Without any time to charge, it goes to `Cause.UNKNOWN`.
    """
    if not lost:
        return []
    total_ms = sum(span.to_ms - span.from_ms for span in spans)
    if not total_ms:
        return [(Span(at_ms, at_ms, Cause.UNKNOWN), lost)]
    seconds = [span.within(at_s * 1000, at_s * 1000 + 1000) for span in spans
               for at_s in range(span.from_ms // 1000, (span.to_ms - 1) // 1000 + 1)]
    return [(span, lost * (span.to_ms - span.from_ms) / total_ms) for span in seconds]
