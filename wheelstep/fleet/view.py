"""What one courier holds true of its fleet: itself, the others, who is under suspicion, and what is to be told of it.
No I/O; imports msgspec and the fleet's types. `membership.py` decides by it what is sent when.
"""

from __future__ import annotations

import random
from collections.abc import Mapping

import msgspec

from wheelstep.fleet.doubt import Doubt, Probe, doubt
from wheelstep.fleet.news import News, suspected
from wheelstep.fleet.roster import INCARNATIONS, Limits, Roster
from wheelstep.fleet.types import Action, Hello, Member, Note, Packet, Ping, SendPacket, State

HELLO_EVERY_US = 200_000  # at most so often somebody is told that it is not known, or taken for gone
NOTE_EVERY_US = 10_000_000


class View:
    """See above. `health` is Lifeguard's local health multiplier: 0 good, the higher the less this courier trusts its
    own checks."""

    def __init__(self, me: Member, seeds: Mapping[str, str], limits: Limits, rng: random.Random, now_us: int) -> None:
        self.me = me
        self.me_changed = True
        self.other_me = ""  # the address of another courier that members take for this one
        self.health = 0
        self.limits, self.rng = limits, rng
        self.roster = Roster(me.name, seeds, limits)
        self.news = News(limits)
        self.doubts: dict[str, Doubt] = {}
        self.round: list[str] = []  # who is probed next is last
        self._hello_us = now_us - HELLO_EVERY_US
        self._noted_us: dict[str, int] = {}

    def size(self) -> int:
        """Members that are not gone, oneself included."""
        return len(self.roster.here()) + 1

    def turn(self, state: State) -> bool:
        """This courier leaves, or has left. False if it did before."""
        if self.me.state >= state:
            return False
        self.me, self.me_changed = msgspec.structs.replace(self.me, state=state), True
        return True

    def worse(self, by: int) -> None:
        """Something suggests that this courier is slow or badly connected."""
        self.health = min(self.limits.awareness_most, self.health + by)

    def take(self, told: Member, now_us: int, rolled: bool = False) -> None:
        """News of another, kept and told on where it is any. What a roll tells of members unknown so far is news to
        this courier alone."""
        name = told.name
        before = self.roster.get(name)
        if not self.roster.take(told, now_us):
            return
        after = self.roster.get(name)
        assert after is not None
        if before is not None or not rolled:
            self.news.add(after)
        if after.state is State.SUSPECT:
            if name not in self.doubts or self.doubts[name].incarnation < after.incarnation:
                self.open(after, now_us)
        else:
            self.doubts.pop(name, None)
        if after.state is not State.GONE and (before is None or before.state is State.GONE):
            self.round.insert(self.rng.randint(0, len(self.round)), name)

    def open(self, member: Member, now_us: int) -> Doubt:
        """It is under suspicion from now on."""
        doubted = doubt(member.incarnation, now_us, self.size(), self.health, self.limits)
        self.doubts[member.name] = doubted
        return doubted

    def judge(self, probe: Probe, now_us: int) -> None:
        """The end of a probe of one's own."""
        if probe.answered:
            if not probe.asked:
                self.health = max(0, self.health - 1)
            return
        # Those that were asked to check say at least that they heard: if they don't, it is rather us (Lifeguard, 4.1).
        if probe.helpers:
            self.worse(len(probe.helpers) - len(probe.nacks))
        elif probe.target not in self.doubts:
            self.worse(1)
        target = self.roster.here().get(probe.target)
        if target is None:
            return
        if target.state is State.ALIVE:
            self.take(suspected(target), now_us)
        # One that leaves is not shown as a suspect: that it is leaving overrules, and matters more.
        doubted = self.doubts.get(probe.target) or self.open(target, now_us)
        doubted.own = True
        for name in (self.me.name, *sorted(probe.nacks)):
            doubted.confirm(name)

    def expire(self, now_us: int) -> list[Action]:
        """Suspicions that have run out."""
        actions: list[Action] = []
        for name in [name for name, doubted in self.doubts.items() if doubted.ends_us() <= now_us]:
            doubted = self.doubts.pop(name)
            gone = self.roster.here().get(name)
            if gone is not None and gone.incarnation == doubted.incarnation:
                self.take(msgspec.structs.replace(gone, state=State.GONE), now_us)
                actions.append(Note(f"fleet: courier {name} is taken for dead after {len(doubted.by)} couriers checked "
                                    f"and {(now_us - doubted.since_us) / 1e6:.1f} s of suspicion"))
        return actions

    def about_me(self, told: Member, now_us: int) -> list[Action]:
        """What others say of this courier: it alone raises its incarnation, and does to speak up."""
        mine = self.me
        # Whatever its incarnation: they don't take what this one says while they hold that one alive.
        self.other_me = told.address if told.address != mine.address and told.state is not State.GONE else ""
        if self.other_me:
            return self.twin(told.name, told.address, now_us)
        if not mine.incarnation <= told.incarnation < INCARNATIONS - 1:
            return []
        if told.incarnation == mine.incarnation:
            # A suspicion is answered also by one that leaves, which it does not overrule.
            if told.state <= mine.state and told.state is not State.SUSPECT:
                return []
            if told.state is not State.LEAVING:
                self.worse(1)
        self.me = msgspec.structs.replace(mine, incarnation=told.incarnation + 1)
        self.me_changed = True
        return []

    def first(self, to: str) -> tuple[Member, ...]:
        """What a packet to this courier begins with: oneself, and what it must hear to speak up (Lifeguard's buddy
        system, 4.3)."""
        known = self.roster.get(to)
        if known is None or (known.state in (State.ALIVE, State.LEAVING) and to not in self.doubts):
            return (self.me,)
        return (self.me, known if known.state is State.GONE else suspected(known))

    def tell(self, to: str) -> tuple[Member, ...]:
        """The news of a packet to this courier."""
        return self.news.pick(to, self.first(to), self.size())

    def send(self, to: str, packet: Packet) -> list[Action]:
        """Nothing for one whose address has been forgotten."""
        address = self.roster.address_of(to)
        return [SendPacket(address, packet)] if address else []

    def hello(self, to: str) -> list[Action]:
        """Ask one whose name is known for all members."""
        return self.send(to, Hello(self.first(to)))

    def contradict(self, to: str, told: list[Member], seq: int) -> list[Action]:
        """It holds some alive that are gone here. They shall hear of that, and speak up if they are there: for that
        they are told as suspects, since those that see them should not take them for gone on our word."""
        gone = []
        room = self.limits.news_bytes - sum(len(msgspec.msgpack.encode(member)) for member in self.first(to))
        for member in told:
            known = self.roster.get(member.name)
            if (known is not None and known.state is State.GONE and member.state is State.ALIVE
                    and member.incarnation <= known.incarnation):
                room -= len(msgspec.msgpack.encode(known))
                gone += [suspected(known)] if room >= 0 else []
        return self.send(to, Ping(seq, (*self.first(to), *gone))) if gone else []

    def ask(self, address: str, news: tuple[Member, ...], now_us: int) -> list[Action]:
        """Say Hello to one that is not known, taken for gone, or has another's name: it answers, or learns of it."""
        if now_us - self._hello_us < HELLO_EVERY_US:
            return []
        self._hello_us = now_us
        return [SendPacket(address, Hello(news))]

    def some(self, count: int, without: str = "") -> list[str]:
        """So many at random that are not under suspicion."""
        names = [name for name, member in self.roster.here().items()
                 if name != without and member.state is not State.SUSPECT]
        return self.rng.sample(names, min(count, len(names)))

    def note(self, key: str, text: str, now_us: int, every_us: int = NOTE_EVERY_US) -> list[Action]:
        """A line, at most so often for the same key."""
        if key in self._noted_us and now_us - self._noted_us[key] < every_us:
            return []
        if len(self._noted_us) >= self.limits.members_most:
            del self._noted_us[next(iter(self._noted_us))]
        self._noted_us[key] = now_us
        return [Note(text)]

    def twin(self, name: str, address: str, now_us: int) -> list[Action]:
        """Two couriers of one name."""
        if name == self.me.name:
            self.roster.refused["twin"] += 1
        here = self.me.address if name == self.me.name else self.roster.address_of(name)
        return self.note(f"twin {name}", f"fleet: a second courier says that it is {name}, at {address}: refused, "
                         f"expected the one at {here} alone", now_us, self.limits.gone_kept_us)

    def twins(self, now_us: int) -> list[Action]:
        """The lines for those that others told of."""
        actions: list[Action] = []
        while self.roster.twins:
            name, address = self.roster.twins.popitem()
            actions += self.twin(name, address, now_us)
        return actions
