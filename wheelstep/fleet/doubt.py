"""Checks of other members, one's own and those made for others, and how long a suspicion lasts. No I/O; imports the
fleet's types alone.

Sources: Das, Gupta, Motivala, SWIM (2002), indirect probes and suspicion; Dadgar, Phillips, Currey, Lifeguard (2018),
a suspicion whose time shrinks with confirmations, and answers of those that were asked to check in vain.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from wheelstep.fleet.roster import Limits


@dataclass(slots=True)
class Doubt:
    """A suspicion of one incarnation. `by` are couriers that are known to have checked it themselves in vain: who only
    passes news on confirms nothing."""

    incarnation: int
    since_us: int
    least_us: int
    most_us: int
    wanted: int  # confirmations that make it shortest
    by: set[str] = field(default_factory=set)
    own: bool = False  # this courier has checked it too, and tells it
    told_us: int = 0  # when last

    def confirm(self, name: str) -> None:
        """So has this courier."""
        if len(self.by) <= self.wanted:
            self.by.add(name)

    def ends_us(self) -> int:
        """When the member counts as gone (Lifeguard, 4.2)."""
        share = 1.0
        if self.wanted > 0:
            share = min(math.log(max(len(self.by), 1)) / math.log(self.wanted + 1), 1.0)
        return self.since_us + max(self.least_us, round(self.most_us - (self.most_us - self.least_us) * share))


def doubt(incarnation: int, now_us: int, members: int, health: int, limits: Limits) -> Doubt:
    """A new suspicion in a fleet of so many; one's own bad health makes even a confirmed one last."""
    least = limits.suspicion * max(1.0, math.log10(members)) * limits.period_us
    most = least * limits.suspicion_most
    return Doubt(incarnation, now_us, round(min(least * (health + 1), most)), round(most),
                 max(0, min(limits.confirmations, members - 2)))


@dataclass(slots=True)
class Probe:
    """One's own check of this period."""

    target: str
    seq: int
    ask_us: int  # when others are to be asked
    asked: bool = False
    helpers: set[str] = field(default_factory=set)
    nacks: set[str] = field(default_factory=set)
    answered: bool = False


@dataclass(slots=True)
class Errand:
    """A check made for another."""

    asker: str
    seq: int  # the asker's
    target: str
    nack_us: int
    ends_us: int
    nacked: bool = False


class Probes:
    """What is under way: one probe of one's own, and a bounded number of errands."""

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self._seq = 0
        self.probe: Probe | None = None
        self.errands: dict[int, Errand] = {}

    def next_seq(self) -> int:
        """Of a ping."""
        self._seq += 1
        return self._seq

    def begin(self, target: str, now_us: int, health: int) -> int:
        """The probe of this period; its `seq`."""
        self.probe = Probe(target, self.next_seq(), now_us + self._limits.timeout_us * (health + 1))
        return self.probe.seq

    def errand(self, asker: str, seq: int, target: str, now_us: int) -> int | None:
        """Check for another; the `seq` of the ping, None where too much is under way."""
        if len(self.errands) >= self._limits.errands_most:
            return None
        mine = self.next_seq()
        self.errands[mine] = Errand(asker, seq, target, now_us + self._limits.timeout_us * 4 // 5,
                                    now_us + self._limits.period_us)
        return mine

    def acked(self, sender: str, seq: int) -> Errand | None:
        """An answer came: the errand that it ends, if it does."""
        probe = self.probe
        if probe is not None and seq == probe.seq and (sender == probe.target or sender in probe.helpers):
            probe.answered = True
        errand = self.errands.get(seq)
        if errand is None or errand.target != sender:
            return None
        return self.errands.pop(seq)

    def nacked(self, sender: str, seq: int) -> None:
        """One that was asked has heard nothing either."""
        probe = self.probe
        if probe is not None and seq == probe.seq and sender in probe.helpers:
            probe.nacks.add(sender)

    def overdue(self, now_us: int) -> list[Errand]:
        """Errands whose asker is to hear that there was no answer yet. Ended ones are dropped."""
        for seq in [seq for seq, errand in self.errands.items() if errand.ends_us <= now_us]:
            del self.errands[seq]
        late = [errand for errand in self.errands.values() if not errand.nacked and errand.nack_us <= now_us]
        for errand in late:
            errand.nacked = True
        return late

    def void(self) -> None:
        """This courier stood still: what went unanswered meanwhile says nothing."""
        self.probe = None
        self.errands.clear()

    def due_us(self) -> list[int]:
        """When something is to be looked at."""
        due = [errand.ends_us if errand.nacked else errand.nack_us for errand in self.errands.values()]
        if self.probe is not None and not self.probe.answered and not self.probe.asked:
            due.append(self.probe.ask_us)
        return due
