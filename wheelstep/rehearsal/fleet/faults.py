"""What is wrong with the links between couriers: named faults that add up, and what a link with them does to each
datagram and each piece of a stream. No I/O, no clock; luck comes from one seed, apart for each link.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum

Link = tuple[str, str]  # from whom, to whom

_RESENT_US = 200_000  # what a lost segment costs a stream: the sender's system sends it again
_BACKLOG_US = 1_000_000  # a datagram that would wait longer for its turn on a narrow link is dropped


class Kind(StrEnum):
    """What a fault does. A cut loses datagrams, and streams wait as over a lost route; a stall loses nothing."""

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
    """One fault. `share` of the datagrams or pieces is hit. A delay is `delay_us` and up to `jitter_us` more. A narrow
    link passes `per_s` bytes a second (0: any), and nothing larger than `largest` bytes at once (0: any)."""

    kind: Kind
    share: float = 1.0
    delay_us: int = 0
    jitter_us: int = 0
    per_s: int = 0
    largest: int = 0


@dataclass(frozen=True, slots=True)
class Planned:
    """A fault at some links, from `at_us` for `for_us`."""

    at_us: int
    fault: LinkFault
    links: tuple[Link, ...]
    for_us: int


def among(names: Sequence[str]) -> tuple[Link, ...]:
    """All links between these."""
    return tuple((one, other) for one in names for other in names if one != other)


def across(*groups: Sequence[str]) -> tuple[Link, ...]:
    """All links between members of different groups: a cut there leaves each group by itself."""
    return tuple((one, other) for here in groups for there in groups if here is not there
                 for one in here for other in there)


def around(name: str, names: Iterable[str]) -> tuple[Link, ...]:
    """All links from and to one."""
    others = [other for other in names if other != name]
    return tuple((name, other) for other in others) + tuple((other, name) for other in others)


@dataclass(slots=True)
class Weather:
    """One link with the faults that it has just now."""

    rng: random.Random
    faults: dict[int, LinkFault] = field(default_factory=dict)  # by the token under which each began
    _free_us: int = 0  # when a narrow link has passed what it was given

    def _of(self, kind: Kind) -> list[LinkFault]:
        return [fault for fault in self.faults.values() if fault.kind is kind]

    def _hit(self, kind: Kind) -> LinkFault | None:
        return next((fault for fault in self._of(kind) if self.rng.random() < fault.share), None)

    @property
    def cut(self) -> bool:
        """Does nothing get through, not even a request to connect?"""
        return bool(self._of(Kind.CUT))

    @property
    def stalled(self) -> bool:
        """Does what comes wait?"""
        return bool(self._of(Kind.STALL))

    def too_large(self, size: int) -> bool:
        """Does a narrow link not pass so many bytes at once?"""
        return any(fault.largest and size > fault.largest for fault in self._of(Kind.NARROW))

    def datagram(self, data: bytes, now_us: int) -> list[tuple[int, bytes]]:
        """When each copy of a datagram arrives; none if it is lost."""
        if self.cut or self._hit(Kind.DROP) is not None or self.too_large(len(data)):
            return []
        at_us = self._turn(len(data), now_us)
        if at_us - now_us > _BACKLOG_US:
            return []
        at_us += self._delay()
        if (late := self._hit(Kind.REORDER)) is not None:  # what comes after it may overtake it
            at_us += late.delay_us + self.rng.randint(0, late.jitter_us)
        copies = [(at_us, self._spoilt(data))]
        if self._hit(Kind.DUPLICATE) is not None:
            copies.append((at_us, self._spoilt(data)))
        return copies

    def piece(self, data: bytes, now_us: int) -> tuple[int, bytes]:
        """When a piece of a stream may go on, not minding cut, stall and size, which last. Streams are in order and
        whole by their nature: they are not reordered or repeated, and a loss costs time."""
        at_us = self._turn(len(data), now_us) + self._delay()
        if self._hit(Kind.DROP) is not None:
            at_us += _RESENT_US
        return at_us, self._spoilt(data)

    def _delay(self) -> int:
        return sum(fault.delay_us + self.rng.randint(0, fault.jitter_us) for fault in self._of(Kind.DELAY)
                   if self.rng.random() < fault.share)

    def _turn(self, size: int, now_us: int) -> int:
        rates = [fault.per_s for fault in self._of(Kind.NARROW) if fault.per_s]
        if not rates:
            return now_us
        self._free_us = max(self._free_us, now_us) + round(size * 1e6 / min(rates))
        return self._free_us

    def _spoilt(self, data: bytes) -> bytes:
        if not data or self._hit(Kind.CORRUPT) is None:
            return data
        place = self.rng.randrange(len(data))
        return data[:place] + bytes([data[place] ^ (1 << self.rng.randrange(8))]) + data[place + 1:]
