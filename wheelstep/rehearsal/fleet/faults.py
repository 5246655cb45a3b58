"""Faults of the links between couriers, and their effect on each datagram and each chunk of a stream. Faults of one
link add up. No I/O and no clock; each link draws from its own seeded generator.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum

Link = tuple[str, str]  # sender, receiver

_RETRANSMIT_US = 200_000  # the delay of a stream by a lost segment, which the sender's system retransmits
_MAX_BACKLOG_US = 1_000_000  # a datagram that would wait longer for a narrow link is dropped


class FaultKind(StrEnum):
    """The kinds of faults. A cut drops datagrams and holds streams up, as a lost route does; a stall loses nothing."""

    DROP = "drop"
    DELAY = "delay"
    STALL = "stall"
    REORDER = "reorder"
    DUPLICATE = "duplicate"
    CORRUPT = "corrupt"
    CUT = "cut"
    NARROW = "narrow"


@dataclass(frozen=True, slots=True)
class LinkFault:
    """One fault. It affects a `share` of the datagrams or chunks. A delay is `delay_us` plus up to `jitter_us`. A
    narrow link passes `per_s` bytes a second and nothing larger than `largest` bytes at once; 0 means no limit.
    """

    kind: FaultKind
    share: float = 1.0
    delay_us: int = 0
    jitter_us: int = 0
    per_s: int = 0
    largest: int = 0


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """A fault of some links that begins at `at_us` and lasts `for_us`."""

    at_us: int
    fault: LinkFault
    links: tuple[Link, ...]
    for_us: int


def links_among(names: Sequence[str]) -> tuple[Link, ...]:
    """Return the links between any two of `names`, in both directions."""
    return tuple((sender, receiver) for sender in names for receiver in names if sender != receiver)


def links_across(*groups: Sequence[str]) -> tuple[Link, ...]:
    """Return the links between members of different groups, in both directions. A cut of them isolates the groups."""
    return tuple((sender, receiver) for group in groups for other_group in groups if group is not other_group
                 for sender in group for receiver in other_group)


def links_around(name: str, names: Iterable[str]) -> tuple[Link, ...]:
    """Return the links from and to `name`."""
    others = [receiver for receiver in names if receiver != name]
    return tuple((name, receiver) for receiver in others) + tuple((receiver, name) for receiver in others)


@dataclass(slots=True)
class LinkConditions:
    """The current faults of one link, and what they do to its traffic."""

    rng: random.Random
    faults: dict[int, LinkFault] = field(default_factory=dict)  # by the token of each
    _free_at_us: int = 0  # when a narrow link has sent all that it was given

    def _active(self, kind: FaultKind) -> list[LinkFault]:
        return [fault for fault in self.faults.values() if fault.kind is kind]

    def _draw(self, kind: FaultKind) -> LinkFault | None:
        """The first fault of this kind whose share hits; None if none does."""
        return next((fault for fault in self._active(kind) if self.rng.random() < fault.share), None)

    @property
    def cut(self) -> bool:
        """Whether nothing passes, not even a request to connect."""
        return bool(self._active(FaultKind.CUT))

    @property
    def stalled(self) -> bool:
        """Whether all traffic is held until the stall ends."""
        return bool(self._active(FaultKind.STALL))

    def too_large(self, size: int) -> bool:
        """Return whether a narrow link doesn't pass `size` bytes at once."""
        return any(fault.largest and size > fault.largest for fault in self._active(FaultKind.NARROW))

    def datagram_arrivals(self, data: bytes, now_us: int) -> list[tuple[int, bytes]]:
        """Return the arrival time and the bytes of each copy of a datagram; empty if it is lost."""
        if self.cut or self._draw(FaultKind.DROP) is not None or self.too_large(len(data)):
            return []
        at_us = self._sent_us(len(data), now_us)
        if at_us - now_us > _MAX_BACKLOG_US:
            return []
        at_us += self._delay()
        if (reordering := self._draw(FaultKind.REORDER)) is not None:  # later datagrams may overtake it
            at_us += reordering.delay_us + self.rng.randint(0, reordering.jitter_us)
        copies = [(at_us, self._corrupted(data))]
        if self._draw(FaultKind.DUPLICATE) is not None:
            copies.append((at_us, self._corrupted(data)))
        return copies

    def chunk_arrival(self, data: bytes, now_us: int) -> tuple[int, bytes]:
        """Return when a chunk of a stream may be passed on, and its bytes.

        The caller checks for a cut, a stall and the size limit, which may end meanwhile. Streams stay complete and in
        order: their chunks are neither reordered nor repeated, and a loss only delays them.
        """
        at_us = self._sent_us(len(data), now_us) + self._delay()
        if self._draw(FaultKind.DROP) is not None:
            at_us += _RETRANSMIT_US
        return at_us, self._corrupted(data)

    def _delay(self) -> int:
        """The sum of the delays that are drawn for one datagram or chunk."""
        return sum(fault.delay_us + self.rng.randint(0, fault.jitter_us) for fault in self._active(FaultKind.DELAY)
                   if self.rng.random() < fault.share)

    def _sent_us(self, size: int, now_us: int) -> int:
        """When a narrow link has sent `size` more bytes; `now_us` if the rate is not limited."""
        rates = [fault.per_s for fault in self._active(FaultKind.NARROW) if fault.per_s]
        if not rates:
            return now_us
        self._free_at_us = max(self._free_at_us, now_us) + round(size * 1e6 / min(rates))
        return self._free_at_us

    def _corrupted(self, data: bytes) -> bytes:
        """The data with one bit inverted, if corruption is drawn."""
        if not data or self._draw(FaultKind.CORRUPT) is None:
            return data
        place = self.rng.randrange(len(data))
        return data[:place] + bytes([data[place] ^ (1 << self.rng.randrange(8))]) + data[place + 1:]
