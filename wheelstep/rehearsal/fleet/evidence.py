"""The facts of a fleet's history grouped by channel, for the rules, and the breaches that the rules report. No I/O."""

from __future__ import annotations

import bisect
from collections import defaultdict
from dataclasses import dataclass, field
from enum import StrEnum

from wheelstep.rehearsal.fleet.history import Asked, FleetHistory, Gone, Heard, Looked, Touch
from wheelstep.rehearsal.history import Late, Notice

HANDED_BACK = "handed_back"  # ends the message but not its number: the client may use the number again
_LATENESS_WINDOW_US = 1_000_000


class FleetRule(StrEnum):
    """The rules for channels, in addition to the six rules for couriers."""

    EPOCHS = "an epoch of a part has one owner"
    FENCE = "nothing begins under an old epoch after a newer one"
    ORDER = "partners see a channel as its contract orders it"
    GAPS = "no number is passed over but as the contract says"
    NUMBERS = "no number is lost or given twice"
    OWNER = "nothing is left without an owner"
    POSITIONS = "a position never goes back"


@dataclass(frozen=True, slots=True)
class Breach:
    """One breach of a rule, with its time and the channel, numbers, epochs and couriers that it concerns."""

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
class ChannelFacts:
    """The facts about one channel."""

    calls: list[Touch] = field(default_factory=list)
    submissions: list[Asked] = field(default_factory=list)
    replies: list[Heard] = field(default_factory=list)
    position_reads: list[Looked] = field(default_factory=list)
    accepted: dict[int, list[Heard]] = field(default_factory=dict)  # replies with status 202, by number
    outcome_times: dict[int, int] = field(default_factory=dict)  # by number: the time of its first final outcome


class Evidence:
    """The facts of a history, grouped by channel and by courier.

    The rules add to `lost_with_disk` the messages whose courier lost its folder.
    """

    def __init__(self, history: FleetHistory) -> None:
        self.history, self.figures = history, history.base.figures
        self.slack_us = self.figures.socket_slack_us
        self._late = sorted((fact.at_us, fact.late_us) for fact in history.base.facts if isinstance(fact, Late))
        self.unavailable: dict[str, list[Gone]] = defaultdict(list)
        self.channels: dict[str, ChannelFacts] = defaultdict(ChannelFacts)
        self.notices: dict[str, list[Notice]] = defaultdict(list)
        self.lost_with_disk: set[str] = set()
        self._group_facts()

    def _group_facts(self) -> None:
        for notice in self.history.base.facts:
            if isinstance(notice, Notice):
                self.notices[notice.message].append(notice)
        for fact in self.history.facts:
            match fact:
                case Gone():
                    self.unavailable[fact.courier].append(fact)
                case Touch():
                    self.channels[fact.channel].calls.append(fact)
                case Asked():
                    self.channels[fact.channel].submissions.append(fact)
                case Heard():
                    self.channels[fact.channel].replies.append(fact)
                case Looked():
                    self.channels[fact.channel].position_reads.append(fact)
        for channel in self.channels.values():
            channel.calls.sort(key=lambda call: call.first_us)
            channel.replies.sort(key=lambda heard: heard.at_us)
            for heard in channel.replies:
                if heard.status == 202:
                    channel.accepted.setdefault(heard.number, []).append(heard)
            ends = [(call.number, call.ended_us) for call in channel.calls if call.delivered]
            ends += [(asked.number, notice.at_us) for asked in channel.submissions
                     for notice in self.notices.get(asked.message, ()) if notice.outcome != HANDED_BACK]
            for number, at_us in ends:
                channel.outcome_times[number] = min(at_us, channel.outcome_times.get(number, at_us))

    def lateness_near(self, at_us: int) -> int:
        """The greatest lateness of the machine within a second of `at_us`, in microseconds; 0 if none was noted."""
        begin = bisect.bisect_left(self._late, (at_us - _LATENESS_WINDOW_US,))
        end = bisect.bisect_right(self._late, (at_us + _LATENESS_WINDOW_US,))
        return max((late_us for _, late_us in self._late[begin:end]), default=0)

    def was_unavailable(self, courier: str, from_us: int, until_us: int) -> bool:
        """Return whether a courier was unavailable at any time of a span.

        The start is widened by the lateness at that time, as the rig notes the start late when it runs late.
        """
        return any(gone.begin_us - self.slack_us - self.lateness_near(gone.begin_us) <= until_us
                   and from_us <= gone.end_us + self.slack_us for gone in self.unavailable[courier])
