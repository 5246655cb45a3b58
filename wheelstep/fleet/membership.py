"""Who is in the fleet: SWIM (Das, Gupta, Motivala 2002) with suspicion, incarnations and Lifeguard (Dadgar, Phillips,
Currey 2018). No I/O: packets that were opened and a clock go in, packets to send come out. Imports the fleet's types.

Every packet has its sender first among its news: so a member that was taken for gone is heard when it comes back, and
a second courier of the same name is told apart by its address.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterable, Mapping

from wheelstep.fleet.doubt import Probes
from wheelstep.fleet.news import Rolls
from wheelstep.fleet.roster import Limits
from wheelstep.fleet.types import Ack, Action, Hello, Member, Nack, Packet, Ping, PingReq, Roll, State
from wheelstep.fleet.view import View

__all__ = ["Limits", "Membership"]

QUIET = 3  # rolls that told of nobody new, and a courier that starts no longer asks each period
TELLS = 3  # suspects that are pinged again at a time, and members told of a leave


class Membership:
    """One courier's membership. `seeds` (name to address) are who to ask first, and addresses that go before what
    members tell. `me.incarnation` should be above that of an earlier life; if not, the fleet's answer raises it."""

    def __init__(self, me: Member, seeds: Mapping[str, str], limits: Limits, rng: random.Random, now_us: int) -> None:
        self._limits = limits
        self._view = View(me, seeds, limits, rng, now_us)
        self._roster = self._view.roster
        self._rolls, self._probes = Rolls(limits), Probes(limits)
        self._quiet = 0  # rolls in a row that told of nobody new
        self._learnt = False  # the roll that comes in has
        self._period = 0
        self._period_us = now_us + rng.randrange(limits.period_us)  # so that a fleet's probes spread over the period
        self._word_us = now_us  # when suspects are pinged next
        self._wanted_us = self._period_us

    @property
    def me(self) -> Member:
        """Oneself, as told to others."""
        return self._view.me

    @property
    def health(self) -> int:
        """Lifeguard's local health multiplier: 0 good, `awareness_most` worst."""
        return self._view.health

    @property
    def doubled(self) -> bool:
        """Do members hold another courier for the one of this name? Then this one must not act under the name: it
        would share that one's leases."""
        return bool(self._view.other_me)

    @property
    def refused(self) -> Counter[str]:
        """What was not taken, by reason: twin, unknown, malformed, full, busy."""
        return self._roster.refused

    def members(self) -> Mapping[str, Member]:
        """All that are not gone, oneself included unless it has left."""
        here = dict(self._roster.here())
        if self.me.state is not State.GONE:
            here[self.me.name] = self.me
        return here

    def member(self, name: str) -> Member | None:
        """What is known of it, gone or not."""
        return self.me if name == self.me.name else self._roster.get(name)

    def name_at(self, address: str) -> str:
        """For sealing: who is reached there, "" if nobody knows (such get a `Hello` only)."""
        return self._roster.name_at(address)

    def address_of(self, name: str) -> str:
        """Where peers reach it: as the operator fixed it, else as it tells; "" for unknown names."""
        return self._roster.address_of(name)

    def changed(self) -> list[Member]:
        """Whose state or incarnation has changed since this was last asked."""
        changed = list(self._roster.changed.values())
        self._roster.changed.clear()
        if self._view.me_changed:
            self._view.me_changed = False
            changed.append(self.me)
        return changed

    def next_us(self) -> int:
        """When `tick` is wanted next; after `heard` it may be sooner."""
        due = [self._period_us, *self._probes.due_us()]
        if self._rolls.due_us is not None:
            due.append(self._rolls.due_us)
        for doubted in self._view.doubts.values():
            due.append(doubted.ends_us())
            if doubted.own:
                due.append(self._word_us)
        return min(due)

    def leave(self, now_us: int, also: Iterable[str] = ()) -> list[Action]:
        """From now on this courier gives its parts away: tells LEAVING, to these members at once as well."""
        actions = self._turn(State.LEAVING, TELLS)
        return [*actions, *(action for name in sorted(also) for action in self._ping(name))]

    def left(self, now_us: int) -> list[Action]:
        """It has nothing any more and ends: tells GONE, and nothing from then on."""
        return self._turn(State.GONE, 2 * TELLS)

    def _turn(self, state: State, tells: int) -> list[Action]:
        names = self._view.some(tells) if self._view.turn(state) else []
        return [action for name in names for action in self._ping(name)]

    def _ping(self, name: str) -> list[Action]:
        return self._view.send(name, Ping(self._probes.next_seq(), self._view.tell(name)))

    # --- the clock ---

    def tick(self, now_us: int) -> list[Action]:
        """What is due. To be called at `next_us`; earlier does no harm, much later is a stall of this courier."""
        view = self._view
        if view.me.state is State.GONE:
            return []
        actions: list[Action] = []
        late_us = now_us - max(self._wanted_us, self.next_us())  # what was heard since may have put it off
        if late_us > self._limits.stall_us:
            actions += self._woken(now_us, late_us)
        for errand in self._probes.overdue(now_us):
            actions += view.send(errand.asker, Nack(errand.seq, view.tell(errand.asker)))
        probe = self._probes.probe
        if probe is not None and not probe.answered and not probe.asked and probe.ask_us <= now_us < self._period_us:
            probe.asked = True
            probe.helpers.update(view.some(self._limits.indirect, probe.target))
            for name in sorted(probe.helpers):
                actions += view.send(name, PingReq(probe.seq, probe.target, view.tell(name)))
        actions += view.expire(now_us)
        if now_us >= self._period_us:
            if self._probes.probe is not None:
                view.judge(self._probes.probe, now_us)
                self._probes.probe = None
            self._period_us = now_us + self._limits.period_us * (view.health + 1)
            actions += self._begin(now_us)
        own = [name for name, doubted in view.doubts.items() if doubted.own]
        if own and now_us >= self._word_us:
            self._word_us = now_us + self._limits.period_us // 2
            for name in sorted(own, key=lambda name: view.doubts[name].told_us)[:TELLS]:
                view.doubts[name].told_us = now_us
                actions += self._ping(name)
        actions += self._rolls.send(now_us)
        self._wanted_us = max(now_us, self.next_us())
        return actions

    def _woken(self, now_us: int, late_us: int) -> list[Action]:
        """It stood still: it doubts itself, and the time that it missed counts against nobody."""
        view = self._view
        self._probes.void()
        view.worse(2)
        for doubted in view.doubts.values():
            doubted.since_us = min(now_us, doubted.since_us + late_us)
        self._period_us = now_us
        return view.note("stall", f"fleet: this courier stood still for {late_us / 1e6:.1f} s: what went unanswered "
                         "meanwhile counts against nobody", now_us)

    def _begin(self, now_us: int) -> list[Action]:
        """A new period: a probe in a shuffled round, now and then a look for the lost and into another's table."""
        view, here = self._view, self._roster.here()
        self._period += 1
        self._roster.forget(now_us)
        actions: list[Action] = []
        while view.round and view.round[-1] not in here:
            view.round.pop()
        if not view.round:
            view.round = list(here)
            view.rng.shuffle(view.round)
        if view.round:
            name = view.round.pop()
            actions += view.send(name, Ping(self._probes.begin(name, now_us, view.health), view.tell(name)))
        lost = self._roster.lost()
        if lost and (not here or self._period % self._limits.heal_periods == 0):
            actions += view.hello(view.rng.choice(lost))
        elif here and (self._quiet < QUIET or self._period % self._limits.hello_periods == 0):
            actions += [action for name in view.some(1) for action in view.hello(name)]
        return actions

    # --- what is heard ---

    def heard(self, now_us: int, sender: str, address: str, packet: Packet) -> list[Action]:
        """A packet that this sender has sealed for us, from this address. What makes no sense is counted and changes
        nothing."""
        view = self._view
        if view.me.state is State.GONE:
            return []
        if sender == view.me.name:
            return view.twin(sender, address, now_us)
        first = packet.news[0] if packet.news and packet.news[0].name == sender else None
        known = self._roster.get(sender)
        if known is not None and first is not None and self._roster.twin(first):
            return [*view.twins(now_us), *view.ask(first.address, (view.me, known), now_us)]
        if known is None and (first is None or not isinstance(packet, Hello | Roll)):
            self.refused["unknown"] += 1
            return view.ask(address, (view.me,), now_us)
        if first is not None:
            view.take(first, now_us)
        known = self._roster.get(sender)
        if known is None:
            return []
        back, before = known.state is not State.GONE, view.size()
        actions: list[Action] = []
        for told in packet.news:
            if told.name == view.me.name:
                actions += view.about_me(told, now_us)
            elif back and told is not first:
                view.take(told, now_us, isinstance(packet, Roll))
        actions += view.twins(now_us)
        self._learnt = self._learnt or (isinstance(packet, Roll) and view.size() > before)
        if not back and not isinstance(packet, Hello | Ping):
            return [*actions, *view.ask(view.roster.address_of(sender), view.first(sender), now_us)]
        return [*actions, *self._answer(now_us, sender, packet)]

    def _answer(self, now_us: int, sender: str, packet: Packet) -> list[Action]:
        view = self._view
        match packet:
            case Ping():
                return view.send(sender, Ack(packet.seq, view.tell(sender)))
            case PingReq():
                seq = None
                if packet.target in self._roster.here():
                    seq = self._probes.errand(sender, packet.seq, packet.target, now_us)
                if seq is None:
                    self.refused["busy"] += 1
                    return []
                if packet.target in view.doubts:
                    view.doubts[packet.target].confirm(sender)
                return view.send(packet.target, Ping(seq, view.tell(packet.target)))
            case Ack():
                errand = self._probes.acked(sender, packet.seq)
                return [] if errand is None else view.send(errand.asker, Ack(errand.seq, view.tell(errand.asker)))
            case Nack():
                self._probes.nacked(sender, packet.seq)
            case Hello():
                if not self._rolls.answer(self._roster.address_of(sender), view.first(sender),
                                          self._roster.here().values(), view.rng, now_us):
                    self.refused["busy"] += 1
            case Roll():
                if packet.left == 0:
                    self._quiet = 0 if self._learnt else self._quiet + 1
                    self._learnt = False
                return view.contradict(sender, list(packet.news), self._probes.next_seq())
        return []
