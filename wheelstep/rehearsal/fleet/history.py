"""Facts about channels, in addition to the kit's own history: submissions with their numbers, partners' calls with
their epochs, reported positions, and unavailable couriers. No I/O. Times are whole microseconds by the rig's one clock.
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
    """The terms of a contract that the judge applies. `order` and `gap` have the values of the operator's file."""

    name: str
    order: str = "strict"
    gap: str = "hold"
    open: int = 1  # calls at once, for order "window"
    gap_after_us: int = 0  # how long a number must be missing before it is skipped, for gap "skip"
    once: bool = False  # a call that may have run is never repeated


@dataclass(frozen=True, slots=True)
class Asked:
    """A client submitted a message under a number of its channel.

    `session` is the session of the client's connection, `origin` the planned message's number, `deadline_us` the time
    at which the message expires.
    """

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
    """The answer to the submission at `asked_us`. `status` is 0 without an answer, `next` is 0 if none was named."""

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
    """A call of a channel's message as its partner saw it. `first_us` is when its first byte arrived."""

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
        """Whether the answer delivered the message, which ends its number."""
        return self.fate is Fate.DELIVERED


@dataclass(frozen=True, slots=True)
class Looked:
    """A courier's answer to a request for a channel's position. An owner answers 200 with the next number."""

    at_us: int
    asked_us: int
    courier: str
    channel: str
    status: int
    next: int = 0
    last: bool = False  # asked at the end, after all faults were over and all messages settled


@dataclass(frozen=True, slots=True)
class Gone:
    """A courier was dead, stopped, or cut off from a majority. `disk` is false if its folder was lost too."""

    courier: str
    begin_us: int
    end_us: int
    disk: bool = True
    why: str = ""


FleetFact = Asked | Heard | Touch | Looked | Gone


@dataclass(slots=True)
class FleetHistory:
    """All facts of a fleet's rehearsal. `base` holds the facts of the kit's own kinds: calls, notices, starts and ends
    of processes, lateness.
    """

    base: History
    parts: int
    contracts: dict[str, Contract]
    facts: list[FleetFact] = field(default_factory=list)
    lease_us: int = 2_000_000

    def add(self, fact: FleetFact) -> None:
        """Append one fact."""
        self.facts.append(fact)

    def part_of(self, channel: str) -> int:
        """The part that a channel belongs to. It never changes."""
        return xxhash.xxh3_64_intdigest(channel.encode()) % self.parts

    def contract_of(self, channel: str) -> Contract:
        """The contract named by the first segment of a channel's name. Raises `KeyError` if it is unknown."""
        return self.contracts[channel.partition("/")[0]]

    def courier_history(self, without: Container[str] = ()) -> History:
        """Convert the history for the judge of the six rules, leaving out the messages in `without`.

        All submissions of a message become one, accepted if any was answered 200 or 202, and rejected only if all were.
        A message that came before a lower number of its channel, or after a higher one, gets no key: the number orders
        it, not the time of submission.
        """
        replies: dict[str, list[Heard]] = defaultdict(list)
        first_submissions: dict[str, Asked] = {}
        for fact in self.facts:
            if isinstance(fact, Heard):
                replies[fact.message].append(fact)
            elif isinstance(fact, Asked) and (fact.message not in first_submissions
                                              or fact.at_us < first_submissions[fact.message].at_us):
                first_submissions[fact.message] = fact
        converted = History(self.base.figures, list(self.base.facts), self.base.end_us)
        accepted = {name: min((row for row in answers if row.status in (200, 202)), key=lambda row: row.at_us)
                    for name, answers in replies.items() if any(row.status in (200, 202) for row in answers)}
        out_of_order = _out_of_order((asked.channel, asked.at_us, asked.number, name)
                                     for name, asked in first_submissions.items())
        out_of_order |= _out_of_order((reply.channel, reply.at_us, reply.number, name)
                                      for name, reply in accepted.items())
        for name, asked in first_submissions.items():
            if name in without:
                continue
            attempts = sorted(replies[name], key=lambda row: row.at_us)
            answer = (next((row for row in attempts if row.status in (200, 202)), None)
                      or next((row for row in reversed(attempts) if row.status == 0), None)
                      or (attempts[-1] if attempts else None))
            courier = answer.courier if answer is not None else asked.courier
            converted.add(HandIn(asked.at_us, courier, name, asked.origin, asked.message_class, asked.destination,
                             None if name in out_of_order else asked.key, asked.deadline_us))
            if answer is not None:
                converted.add(Answer(answer.at_us, courier, name, answer.end, answer.status))
        return converted


def _out_of_order(submissions: Iterable[tuple[str, int, int, str]]) -> set[str]:
    """Return the messages that did not come in the order of their numbers. Rows: channel, time, number, message."""
    by_channel: dict[str, list[tuple[int, int, str]]] = defaultdict(list)
    for channel, at_us, number, message in submissions:
        by_channel[channel].append((at_us, number, message))
    messages = set()
    for rows in by_channel.values():
        rows.sort()
        highest_so_far = list(itertools.accumulate((number for _, number, _ in rows), max))
        lowest_from_here = list(itertools.accumulate((number for _, number, _ in reversed(rows)), min))[::-1]
        messages |= {message for (_, number, message), highest, lowest
                     in zip(rows, highest_so_far, lowest_from_here, strict=True)
                     if highest > number or lowest < number}
    return messages
