"""Failure detection: direct and indirect probes of members, and the timeout of a suspicion. No I/O; imports only the
limits from `roster`.

Sources: Das, Gupta, Motivala, SWIM (2002): indirect probes and suspicion. Dadgar, Phillips, Currey, Lifeguard (2018):
a suspicion timeout that shrinks with confirmations, and nacks for indirect probes that got no answer.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from wheelstep.fleet.roster import MemberLimits


@dataclass(slots=True)
class Suspicion:
    """A suspicion of one incarnation of a member. `confirmers` are couriers whose own probe of it got no answer; a
    courier that only relays the suspicion is no confirmer."""

    incarnation: int
    since_us: int
    min_us: int
    max_us: int
    confirmations_needed: int  # confirmations at which the timeout is `min_us`
    confirmers: set[str] = field(default_factory=set)
    confirmed_here: bool = False  # this courier's own probe failed too, so it informs the suspect
    last_pinged_us: int = 0  # when the suspect was last informed

    def confirm(self, name: str) -> None:
        """Record that this courier's own probe got no answer. Names beyond the number needed are ignored."""
        if len(self.confirmers) <= self.confirmations_needed:
            self.confirmers.add(name)

    def deadline_us(self) -> int:
        """Return when the member is declared gone (Lifeguard, 4.2)."""
        share = 1.0
        if self.confirmations_needed > 0:
            share = min(math.log(max(len(self.confirmers), 1)) / math.log(self.confirmations_needed + 1), 1.0)
        return self.since_us + max(self.min_us, round(self.max_us - (self.max_us - self.min_us) * share))


def new_suspicion(incarnation: int, now_us: int, members: int, health: int, limits: MemberLimits) -> Suspicion:
    """Return a suspicion that starts now, in a fleet of `members`. Poor local `health` raises its minimum duration."""
    shortest_us = limits.suspicion * max(1.0, math.log10(members)) * limits.period_us
    longest_us = shortest_us * limits.max_suspicion
    return Suspicion(incarnation, now_us, round(min(shortest_us * (health + 1), longest_us)), round(longest_us),
                 max(0, min(limits.max_confirmations, members - 2)))


@dataclass(slots=True)
class Probe:
    """The probe of the current period."""

    target: str
    seq: int
    indirect_at_us: int  # when to request indirect probes
    indirect_sent: bool = False
    helpers: set[str] = field(default_factory=set)
    nacks: set[str] = field(default_factory=set)
    answered: bool = False


@dataclass(slots=True)
class IndirectProbe:
    """A probe made on behalf of another courier."""

    requester: str
    seq: int  # of the requester's `PingReq`
    target: str
    nack_us: int
    deadline_us: int
    nack_sent: bool = False


class Probes:
    """Probes in progress: the own probe of this period, and a bounded number of indirect probes for others."""

    def __init__(self, limits: MemberLimits) -> None:
        self._limits = limits
        self._seq = 0
        self.probe: Probe | None = None
        self.indirect_probes: dict[int, IndirectProbe] = {}

    def next_seq(self) -> int:
        """Return a new sequence number for a ping."""
        self._seq += 1
        return self._seq

    def begin(self, target: str, now_us: int, health: int) -> int:
        """Start the probe of this period and return its `seq`. The timeout grows with `health`."""
        self.probe = Probe(target, self.next_seq(), now_us + self._limits.timeout_us * (health + 1))
        return self.probe.seq

    def start_indirect(self, requester: str, seq: int, target: str, now_us: int) -> int | None:
        """Start a probe for `requester` and return its ping's `seq`; None if `max_indirect_probes` are in progress."""
        if len(self.indirect_probes) >= self._limits.max_indirect_probes:
            return None
        own_seq = self.next_seq()
        self.indirect_probes[own_seq] = IndirectProbe(requester, seq, target, now_us + self._limits.timeout_us * 4 // 5,
                                    now_us + self._limits.period_us)
        return own_seq

    def record_ack(self, sender: str, seq: int) -> IndirectProbe | None:
        """Record an ack. Return the indirect probe that it completes, None if it completes none."""
        probe = self.probe
        if probe is not None and seq == probe.seq and (sender == probe.target or sender in probe.helpers):
            probe.answered = True
        indirect = self.indirect_probes.get(seq)
        if indirect is None or indirect.target != sender:
            return None
        return self.indirect_probes.pop(seq)

    def record_nack(self, sender: str, seq: int) -> None:
        """Record that a helper got no answer from the target either. Other senders are ignored."""
        probe = self.probe
        if probe is not None and seq == probe.seq and sender in probe.helpers:
            probe.nacks.add(sender)

    def due_nacks(self, now_us: int) -> list[IndirectProbe]:
        """Return the indirect probes whose requester is due a nack, each once. Expired ones are dropped."""
        for seq in [seq for seq, indirect in self.indirect_probes.items() if indirect.deadline_us <= now_us]:
            del self.indirect_probes[seq]
        due = [indirect for indirect in self.indirect_probes.values()
                if not indirect.nack_sent and indirect.nack_us <= now_us]
        for indirect in due:
            indirect.nack_sent = True
        return due

    def reset(self) -> None:
        """Drop all probes after a stall of this courier: an answer missed during it says nothing about the target."""
        self.probe = None
        self.indirect_probes.clear()

    def due_times_us(self) -> list[int]:
        """Return the times at which a probe needs action."""
        due = [indirect.deadline_us if indirect.nack_sent else indirect.nack_us
               for indirect in self.indirect_probes.values()]
        if self.probe is not None and not self.probe.answered and not self.probe.indirect_sent:
            due.append(self.probe.indirect_at_us)
        return due
