"""Group membership: SWIM (Das, Gupta, Motivala 2002) with suspicion, incarnations and Lifeguard (Dadgar, Phillips,
Currey 2018). No I/O: takes verified packets and the time, returns packets to send. Imports the fleet's types.

Each packet starts with its sender's own update: it reveals a gone member's return and, by its address, a duplicate.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterable, Mapping

from wheelstep.fleet.doubt import Probes
from wheelstep.fleet.news import Rolls
from wheelstep.fleet.roster import MemberLimits
from wheelstep.fleet.types import Ack, Action, Hello, Member, Nack, Packet, Ping, PingReq, Roll, State
from wheelstep.fleet.view import View

__all__ = ["MemberLimits", "Membership"]

QUIET_ROLLS = 3  # rolls without a new member after which a starting courier stops sending a hello each period
FANOUT = 3  # suspects pinged at a time, and members pinged on LEAVING; twice as many on GONE


class Membership:
    """One courier's membership. `seeds` (address by name) are contacted first and override the addresses that members
    announce. `me.incarnation` should exceed that of the previous run; if not, the fleet's answer raises it."""

    def __init__(self, me: Member, seeds: Mapping[str, str], limits: MemberLimits, rng: random.Random,
                 now_us: int) -> None:
        self._limits = limits
        self._view = View(me, seeds, limits, rng, now_us)
        self._roster = self._view.roster
        self._rolls, self._probes = Rolls(limits), Probes(limits)
        self._quiet_rolls = 0  # consecutive complete rolls without a new member
        self._roll_had_news = False  # the roll being received has a new member
        self._period = 0
        self._next_period_us = now_us + rng.randrange(limits.period_us)  # spreads the probes of a fleet
        self._next_suspect_ping_us = now_us
        self._expected_tick_us = self._next_period_us

    @property
    def me(self) -> Member:
        """This courier as announced to others."""
        return self._view.me

    @property
    def health(self) -> int:
        """Lifeguard's local health multiplier: 0 good, `max_health` worst."""
        return self._view.health

    @property
    def name_in_use(self) -> bool:
        """Whether members know another courier by this name; acting under it would use that courier's leases."""
        return bool(self._view.duplicate_address)

    @property
    def refused(self) -> Counter[str]:
        """Number of ignored inputs by reason: twin (a duplicate name), unknown, malformed, full, busy."""
        return self._roster.refused

    def members(self) -> Mapping[str, Member]:
        """Return the members that are not gone by name, including this courier unless it has left."""
        present = dict(self._roster.present())
        if self.me.state is not State.GONE:
            present[self.me.name] = self.me
        return present

    def member(self, name: str) -> Member | None:
        """Return the member, gone or not; None if it is unknown."""
        return self.me if name == self.me.name else self._roster.get(name)

    def name_at(self, address: str) -> str:
        """Return the name at the address, for sealing; "" if unknown (such an address is sent only a `Hello`)."""
        return self._roster.name_at(address)

    def address_of(self, name: str) -> str:
        """Return the configured address of the member, else the announced one; "" if unknown."""
        return self._roster.address_of(name)

    def changed(self) -> list[Member]:
        """Return the members that have changed since the last call."""
        changed = list(self._roster.changed.values())
        self._roster.changed.clear()
        if self._view.me_changed:
            self._view.me_changed = False
            changed.append(self.me)
        return changed

    def next_us(self) -> int:
        """Return when to call `tick` next; `heard` may make it earlier."""
        due = [self._next_period_us, *self._probes.due_times_us()]
        if self._rolls.due_us is not None:
            due.append(self._rolls.due_us)
        for suspicion in self._view.suspicions.values():
            due.append(suspicion.deadline_us())
            if suspicion.confirmed_here:
                due.append(self._next_suspect_ping_us)
        return min(due)

    def leave(self, now_us: int, also: Iterable[str] = ()) -> list[Action]:
        """Announce LEAVING to some members at once, and to those in `also`: the courier hands over its parts."""
        actions = self._announce_state(State.LEAVING, FANOUT)
        return [*actions, *(action for name in sorted(also) for action in self._ping(name))]

    def announce_gone(self, now_us: int) -> list[Action]:
        """Announce GONE: the courier owns nothing and ends. Nothing is sent or handled after the returned actions."""
        return self._announce_state(State.GONE, 2 * FANOUT)

    def _announce_state(self, state: State, count: int) -> list[Action]:
        names = self._view.sample(count) if self._view.advance_state(state) else []
        return [action for name in names for action in self._ping(name)]

    def _ping(self, name: str) -> list[Action]:
        return self._view.send(name, Ping(self._probes.next_seq(), self._view.news_for(name)))

    # --- timers ---

    def tick(self, now_us: int) -> list[Action]:
        """Do what is due. Call at `next_us`; earlier is harmless, later than `stall_us` counts as a stall."""
        view = self._view
        if view.me.state is State.GONE:
            return []
        actions: list[Action] = []
        late_us = now_us - max(self._expected_tick_us, self.next_us())  # packets may have postponed it since
        if late_us > self._limits.stall_us:
            actions += self._recover_from_stall(now_us, late_us)
        for indirect in self._probes.due_nacks(now_us):
            actions += view.send(indirect.requester, Nack(indirect.seq, view.news_for(indirect.requester)))
        probe = self._probes.probe
        if probe is not None and not probe.answered and not probe.indirect_sent \
                and probe.indirect_at_us <= now_us < self._next_period_us:
            probe.indirect_sent = True
            probe.helpers.update(view.sample(self._limits.indirect, probe.target))
            for name in sorted(probe.helpers):
                actions += view.send(name, PingReq(probe.seq, probe.target, view.news_for(name)))
        actions += view.expire_suspicions(now_us)
        if now_us >= self._next_period_us:
            if self._probes.probe is not None:
                view.conclude_probe(self._probes.probe, now_us)
                self._probes.probe = None
            self._next_period_us = now_us + self._limits.period_us * (view.health + 1)
            actions += self._start_period(now_us)
        confirmed = [name for name, suspicion in view.suspicions.items() if suspicion.confirmed_here]
        if confirmed and now_us >= self._next_suspect_ping_us:
            self._next_suspect_ping_us = now_us + self._limits.period_us // 2
            for name in sorted(confirmed, key=lambda name: view.suspicions[name].last_pinged_us)[:FANOUT]:
                view.suspicions[name].last_pinged_us = now_us
                actions += self._ping(name)
        actions += self._rolls.pop_due(now_us)
        self._expected_tick_us = max(now_us, self.next_us())
        return actions

    def _recover_from_stall(self, now_us: int, late_us: int) -> list[Action]:
        """After a stall, worsen the health, drop the probes, and extend the suspicions by the time missed."""
        view = self._view
        self._probes.reset()
        view.degrade_health(2)
        for suspicion in view.suspicions.values():
            suspicion.since_us = min(now_us, suspicion.since_us + late_us)
        self._next_period_us = now_us
        return view.rate_limited_note("stall", f"fleet: this courier was stalled for {late_us / 1e6:.1f} s: probes "
                                      "that went unanswered meanwhile are ignored", now_us)

    def _start_period(self, now_us: int) -> list[Action]:
        """Probe the next member of the round; at intervals contact an absent member, or request a member's table."""
        view, present = self._view, self._roster.present()
        self._period += 1
        self._roster.forget(now_us)
        actions: list[Action] = []
        while view.probe_queue and view.probe_queue[-1] not in present:
            view.probe_queue.pop()
        if not view.probe_queue:
            view.probe_queue = list(present)
            view.rng.shuffle(view.probe_queue)
        if view.probe_queue:
            name = view.probe_queue.pop()
            actions += view.send(name, Ping(self._probes.begin(name, now_us, view.health), view.news_for(name)))
        absent = self._roster.absent()
        if absent and (not present or self._period % self._limits.heal_periods == 0):
            actions += view.send_hello(view.rng.choice(absent))
        elif present and (self._quiet_rolls < QUIET_ROLLS or self._period % self._limits.hello_periods == 0):
            actions += [action for name in view.sample(1) for action in view.send_hello(name)]
        return actions

    # --- received packets ---

    def heard(self, now_us: int, sender: str, address: str, packet: Packet) -> list[Action]:
        """Handle a packet that `sender` sealed for this courier. An invalid one is counted in `refused` and ignored."""
        view = self._view
        if view.me.state is State.GONE:
            return []
        if sender == view.me.name:
            return view.report_duplicate(sender, address, now_us)
        first = packet.news[0] if packet.news and packet.news[0].name == sender else None
        known = self._roster.get(sender)
        if known is not None and first is not None and self._roster.is_duplicate(first):
            return [*view.report_duplicates(now_us), *view.send_hello_to(first.address, (view.me, known), now_us)]
        if known is None and (first is None or not isinstance(packet, Hello | Roll)):
            self.refused["unknown"] += 1
            return view.send_hello_to(address, (view.me,), now_us)
        if first is not None:
            view.merge(first, now_us)
        known = self._roster.get(sender)
        if known is None:
            return []
        is_present, count_before = known.state is not State.GONE, view.member_count()
        actions: list[Action] = []
        for update in packet.news:
            if update.name == view.me.name:
                actions += view.refute(update, now_us)
            elif is_present and update is not first:
                view.merge(update, now_us, isinstance(packet, Roll))
        actions += view.report_duplicates(now_us)
        self._roll_had_news = self._roll_had_news or (isinstance(packet, Roll) and view.member_count() > count_before)
        if not is_present and not isinstance(packet, Hello | Ping):
            return [*actions, *view.send_hello_to(view.roster.address_of(sender), view.leading_members(sender), now_us)]
        return [*actions, *self._handle(now_us, sender, packet)]

    def _handle(self, now_us: int, sender: str, packet: Packet) -> list[Action]:
        view = self._view
        match packet:
            case Ping():
                return view.send(sender, Ack(packet.seq, view.news_for(sender)))
            case PingReq():
                seq = None
                if packet.target in self._roster.present():
                    seq = self._probes.start_indirect(sender, packet.seq, packet.target, now_us)
                if seq is None:
                    self.refused["busy"] += 1
                    return []
                if packet.target in view.suspicions:
                    view.suspicions[packet.target].confirm(sender)
                return view.send(packet.target, Ping(seq, view.news_for(packet.target)))
            case Ack():
                indirect = self._probes.record_ack(sender, packet.seq)
                return [] if indirect is None else view.send(
                    indirect.requester, Ack(indirect.seq, view.news_for(indirect.requester)))
            case Nack():
                self._probes.record_nack(sender, packet.seq)
            case Hello():
                if not self._rolls.enqueue(self._roster.address_of(sender), view.leading_members(sender),
                                          self._roster.present().values(), view.rng, now_us):
                    self.refused["busy"] += 1
            case Roll():
                if packet.left == 0:
                    self._quiet_rolls = 0 if self._roll_had_news else self._quiet_rolls + 1
                    self._roll_had_news = False
                return view.report_gone(sender, list(packet.news), self._probes.next_seq())
        return []
