"""The facts of a fleet's history by channel, and what a breach is: what the rules look at. No I/O."""

from __future__ import annotations

import bisect
from collections import defaultdict
from dataclasses import dataclass, field
from enum import StrEnum

from wheelstep.rehearsal.fleet.history import Asked, FleetHistory, Gone, Heard, Looked, Touch
from wheelstep.rehearsal.history import Late, Notice

HANDED_BACK = "handed_back"  # the message has ended, its number has not: the client may fill it again
_NEAR_US = 1_000_000


class FleetRule(StrEnum):
    """What holds of channels beyond the six rules."""

    EPOCHS = "an epoch of a part has one owner"
    FENCE = "nothing begins under an old epoch after a newer one"
    ORDER = "partners see a channel as its contract orders it"
    GAPS = "no number is passed over but as the contract says"
    NUMBERS = "no number is lost or given twice"
    OWNER = "nothing is left without an owner"
    POSITIONS = "a position never goes back"


@dataclass(frozen=True, slots=True)
class Breach:
    """One breach: which rule, when, and the channel, numbers, epochs and couriers that it concerns."""

    rule: FleetRule
    at_us: int
    text: str
    channel: str = ""
    numbers: tuple[int, ...] = ()
    epochs: tuple[int, ...] = ()
    couriers: tuple[str, ...] = ()

    def __str__(self) -> str:
        about = [self.channel or "-", f"numbers {list(self.numbers)}", f"epochs {list(self.epochs)}",
                 ",".join(self.couriers)]
        return f"{self.rule.name.lower()} {self.at_us / 1e6:.3f} s {' '.join(about)}: {self.text}"


@dataclass(slots=True)
class Channel:
    """All that was seen of one channel."""

    touches: list[Touch] = field(default_factory=list)
    asked: list[Asked] = field(default_factory=list)
    heard: list[Heard] = field(default_factory=list)
    looked: list[Looked] = field(default_factory=list)
    taken: dict[int, list[Heard]] = field(default_factory=dict)  # 202s by number
    ends: dict[int, int] = field(default_factory=dict)  # by number: when it first had an end for good


class Evidence:
    """A history by channel."""

    def __init__(self, history: FleetHistory) -> None:
        self.history, self.figures = history, history.base.figures
        self.slack_us = self.figures.socket_slack_us
        self._late = sorted((fact.at_us, fact.late_us) for fact in history.base.facts if isinstance(fact, Late))
        self.gone: dict[str, list[Gone]] = defaultdict(list)
        self.channels: dict[str, Channel] = defaultdict(Channel)
        self.notices: dict[str, list[Notice]] = defaultdict(list)
        self.excused: set[str] = set()  # messages that went with a disk
        self._sort()

    def _sort(self) -> None:
        for notice in self.history.base.facts:
            if isinstance(notice, Notice):
                self.notices[notice.message].append(notice)
        for fact in self.history.seen:
            match fact:
                case Gone():
                    self.gone[fact.courier].append(fact)
                case Touch():
                    self.channels[fact.channel].touches.append(fact)
                case Asked():
                    self.channels[fact.channel].asked.append(fact)
                case Heard():
                    self.channels[fact.channel].heard.append(fact)
                case Looked():
                    self.channels[fact.channel].looked.append(fact)
        for channel in self.channels.values():
            channel.touches.sort(key=lambda touch: touch.first_us)
            channel.heard.sort(key=lambda heard: heard.at_us)
            for heard in channel.heard:
                if heard.status == 202:
                    channel.taken.setdefault(heard.number, []).append(heard)
            ends = [(touch.number, touch.ended_us) for touch in channel.touches if touch.delivered]
            ends += [(asked.number, notice.at_us) for asked in channel.asked
                     for notice in self.notices.get(asked.message, ()) if notice.outcome != HANDED_BACK]
            for number, at_us in ends:
                channel.ends[number] = min(at_us, channel.ends.get(number, at_us))

    def near(self, at_us: int) -> int:
        """How late the machine ran around a time."""
        begin = bisect.bisect_left(self._late, (at_us - _NEAR_US,))
        end = bisect.bisect_right(self._late, (at_us + _NEAR_US,))
        return max((late for _, late in self._late[begin:end]), default=0)

    def was_gone(self, courier: str, from_us: int, until_us: int) -> bool:
        """Was it gone at any time of a span? The rig notes an end as late as it runs."""
        return any(gone.begin_us - self.slack_us - self.near(gone.begin_us) <= until_us
                   and from_us <= gone.end_us + self.slack_us for gone in self.gone[courier])
