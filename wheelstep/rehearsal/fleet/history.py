"""What was seen of channels, beside what the kit's own history holds: clients' numbers, partners' calls with their
epochs, positions told, and when couriers were gone. No I/O. Times are whole microseconds by the rig's one clock.
"""

from __future__ import annotations

import itertools
from collections import defaultdict
from collections.abc import Container, Iterable
from dataclasses import dataclass, field

import xxhash

from wheelstep.rehearsal.history import Answer, End, Fate, HandIn, History, How


@dataclass(frozen=True, slots=True)
class Contract:
    """What the judge must know of a contract; the values are those of the operator's file."""

    name: str
    order: str = "strict"
    gap: str = "hold"
    open: int = 1  # window: calls at once
    gap_after_us: int = 0  # skip: not before a number has been missing so long
    once: bool = False  # what may have run is never sent again


@dataclass(frozen=True, slots=True)
class Asked:
    """A client handed in a message under a number of its channel, on a connection of this session. `origin` is the
    planned message's number, `deadline_us` when the message's time is up."""

    at_us: int
    courier: str
    channel: str
    number: int
    session: int
    message: str
    message_class: str
    destination: int
    key: str
    origin: int
    deadline_us: int


@dataclass(frozen=True, slots=True)
class Heard:
    """The answer to the try that was asked at `asked_us`; status 0 where there was none, `next` 0 where none told."""

    at_us: int
    asked_us: int
    courier: str
    channel: str
    number: int
    message: str
    end: End
    status: int = 0
    next: int = 0
    owner: str = ""


@dataclass(frozen=True, slots=True)
class Touch:
    """A call of a channel as its partner saw it, its first byte at `first_us`."""

    courier: str
    endpoint: str
    channel: str
    number: int
    epoch: int
    message: str
    first_us: int
    ended_us: int
    how: How
    fate: Fate

    @property
    def delivered(self) -> bool:
        """Was it answered so that the number has ended?"""
        return self.fate is Fate.DELIVERED


@dataclass(frozen=True, slots=True)
class Looked:
    """A courier was asked for a channel's position: 200 with the next number, or anything else."""

    at_us: int
    asked_us: int
    courier: str
    channel: str
    status: int
    next: int = 0
    last: bool = False  # asked when all faults were over and all had settled


@dataclass(frozen=True, slots=True)
class Gone:
    """A courier was dead, stood still, or was cut off from others. `disk` is false where its folder is lost too."""

    courier: str
    begin_us: int
    end_us: int
    disk: bool = True
    why: str = ""


Seen = Asked | Heard | Touch | Looked | Gone


@dataclass(slots=True)
class FleetHistory:
    """All facts of a fleet's rehearsal. `base` holds what the kit's judge reads: calls, notices, lives, lateness."""

    base: History
    parts: int
    contracts: dict[str, Contract]
    seen: list[Seen] = field(default_factory=list)
    lease_us: int = 2_000_000

    def add(self, fact: Seen) -> None:
        """Append one fact."""
        self.seen.append(fact)

    def part(self, channel: str) -> int:
        """The part that a channel belongs to for good."""
        return xxhash.xxh3_64_intdigest(channel.encode()) % self.parts

    def contract(self, channel: str) -> Contract:
        """That of a channel's name."""
        return self.contracts[channel.partition("/")[0]]

    def plain(self, without: Container[str] = ()) -> History:
        """The history for the judge of the six rules: each message's tries as one hand-in, taken where 202 was heard,
        and refused only where every try was; `without` some messages. One that came before a lower number of its
        channel, or after a higher one, has no key there: its order is its number's, not the hand-ins'."""
        tries: dict[str, list[Heard]] = defaultdict(list)
        first: dict[str, Asked] = {}
        for fact in self.seen:
            if isinstance(fact, Heard):
                tries[fact.message].append(fact)
            elif isinstance(fact, Asked) and (fact.message not in first or fact.at_us < first[fact.message].at_us):
                first[fact.message] = fact
        plain = History(self.base.figures, list(self.base.facts), self.base.end_us)
        taken = {name: min((row for row in rows if row.status in (200, 202)), key=lambda row: row.at_us)
                 for name, rows in tries.items() if any(row.status in (200, 202) for row in rows)}
        crossed = _crossed((asked.channel, asked.at_us, asked.number, name) for name, asked in first.items())
        crossed |= _crossed((heard.channel, heard.at_us, heard.number, name) for name, heard in taken.items())
        for name, asked in first.items():
            if name in without:
                continue
            heard = sorted(tries[name], key=lambda row: row.at_us)
            answer = (next((row for row in heard if row.status in (200, 202)), None)
                      or next((row for row in reversed(heard) if row.status == 0), None)
                      or (heard[-1] if heard else None))
            courier = answer.courier if answer is not None else asked.courier
            plain.add(HandIn(asked.at_us, courier, name, asked.origin, asked.message_class, asked.destination,
                             None if name in crossed else asked.key, asked.deadline_us))
            if answer is not None:
                plain.add(Answer(answer.at_us, courier, name, answer.end, answer.status))
        return plain


def _crossed(rows: Iterable[tuple[str, int, int, str]]) -> set[str]:
    """Messages (channel, time, number, message) that did not come in the order of their numbers."""
    lines: dict[str, list[tuple[int, int, str]]] = defaultdict(list)
    for channel, at_us, number, message in rows:
        lines[channel].append((at_us, number, message))
    found = set()
    for line in lines.values():
        line.sort()
        highest = list(itertools.accumulate((number for _, number, _ in line), max))
        lowest = list(itertools.accumulate((number for _, number, _ in reversed(line)), min))[::-1]
        found |= {message for (_, number, message), high, low in zip(line, highest, lowest, strict=True)
                  if high > number or low < number}
    return found
