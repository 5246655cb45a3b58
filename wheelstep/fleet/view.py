"""The membership state of one courier: itself, the other members, suspicions, and the gossip queue. `membership.py`
uses it to decide what is sent when. No I/O; imports msgspec and the fleet's types.
"""

from __future__ import annotations

import random
from collections.abc import Mapping

import msgspec

from wheelstep.fleet.doubt import Probe, Suspicion, new_suspicion
from wheelstep.fleet.news import News, as_suspect
from wheelstep.fleet.roster import INCARNATION_LIMIT, MemberLimits, Roster
from wheelstep.fleet.types import Action, Hello, Member, Note, Packet, Ping, SendPacket, State

HELLO_EVERY_US = 200_000  # minimum interval between hellos to unknown, gone or duplicate couriers
NOTE_EVERY_US = 10_000_000


class View:
    """The membership state. `health` is Lifeguard's local health multiplier: 0 is good; the higher it is, the less this
    courier relies on its own probes."""

    def __init__(self, me: Member, seeds: Mapping[str, str], limits: MemberLimits, rng: random.Random,
                 now_us: int) -> None:
        self.me = me
        self.me_changed = True
        self.duplicate_address = ""  # address of another courier that members know under this name
        self.health = 0
        self.limits, self.rng = limits, rng
        self.roster = Roster(me.name, seeds, limits)
        self.news = News(limits)
        self.suspicions: dict[str, Suspicion] = {}
        self.probe_queue: list[str] = []  # names; the last is probed next
        self._last_hello_us = now_us - HELLO_EVERY_US
        self._noted_us: dict[str, int] = {}

    def member_count(self) -> int:
        """Return the number of members that are not gone, including this courier."""
        return len(self.roster.present()) + 1

    def advance_state(self, state: State) -> bool:
        """Move this courier to a later state. Return False if it has reached that state already."""
        if self.me.state >= state:
            return False
        self.me, self.me_changed = msgspec.structs.replace(self.me, state=state), True
        return True

    def degrade_health(self, by: int) -> None:
        """Raise the health multiplier, on a sign that this courier is slow or badly connected."""
        self.health = min(self.limits.max_health, self.health + by)

    def merge(self, update: Member, now_us: int, from_roll: bool = False) -> None:
        """Apply an update of another member and queue it for gossip if it is new. Unknown members `from_roll` are not
        gossiped: they are new only to this courier."""
        name = update.name
        before = self.roster.get(name)
        if not self.roster.merge(update, now_us):
            return
        after = self.roster.get(name)
        assert after is not None
        if before is not None or not from_roll:
            self.news.add(after)
        if after.state is State.SUSPECT:
            if name not in self.suspicions or self.suspicions[name].incarnation < after.incarnation:
                self.suspect(after, now_us)
        else:
            self.suspicions.pop(name, None)
        if after.state is not State.GONE and (before is None or before.state is State.GONE):
            self.probe_queue.insert(self.rng.randint(0, len(self.probe_queue)), name)

    def suspect(self, member: Member, now_us: int) -> Suspicion:
        """Start a suspicion of the member and return it."""
        suspicion = new_suspicion(member.incarnation, now_us, self.member_count(), self.health, self.limits)
        self.suspicions[member.name] = suspicion
        return suspicion

    def conclude_probe(self, probe: Probe, now_us: int) -> None:
        """Evaluate the probe at the end of its period: adjust the health, and suspect a target that did not answer."""
        if probe.answered:
            if not probe.indirect_sent:
                self.health = max(0, self.health - 1)
            return
        # Helpers send at least a nack; a missing one points to a fault of this courier (Lifeguard, 4.1).
        if probe.helpers:
            self.degrade_health(len(probe.helpers) - len(probe.nacks))
        elif probe.target not in self.suspicions:
            self.degrade_health(1)
        target = self.roster.present().get(probe.target)
        if target is None:
            return
        if target.state is State.ALIVE:
            self.merge(as_suspect(target), now_us)
        # A LEAVING member is not marked SUSPECT: LEAVING overrules it and must stay visible.
        suspicion = self.suspicions.get(probe.target) or self.suspect(target, now_us)
        suspicion.confirmed_here = True
        for name in (self.me.name, *sorted(probe.nacks)):
            suspicion.confirm(name)

    def expire_suspicions(self, now_us: int) -> list[Action]:
        """Declare members gone whose suspicion has timed out."""
        actions: list[Action] = []
        for name in [name for name, suspicion in self.suspicions.items() if suspicion.deadline_us() <= now_us]:
            suspicion = self.suspicions.pop(name)
            gone = self.roster.present().get(name)
            if gone is not None and gone.incarnation == suspicion.incarnation:
                self.merge(msgspec.structs.replace(gone, state=State.GONE), now_us)
                actions.append(Note(f"fleet: courier {name} is declared gone after failed probes by "
                                    f"{len(suspicion.confirmers)} couriers and "
                                    f"{(now_us - suspicion.since_us) / 1e6:.1f} s of suspicion"))
        return actions

    def refute(self, update: Member, now_us: int) -> list[Action]:
        """Handle an update about this courier: raise the incarnation to refute a wrong state, or report a duplicate."""
        me = self.me
        # At any incarnation: members ignore this courier while they consider the other one alive.
        self.duplicate_address = (
            update.address if update.address != me.address and update.state is not State.GONE else "")
        if self.duplicate_address:
            return self.report_duplicate(update.name, update.address, now_us)
        if not me.incarnation <= update.incarnation < INCARNATION_LIMIT - 1:
            return []
        if update.incarnation == me.incarnation:
            # A LEAVING courier refutes a suspicion too, although SUSPECT does not overrule LEAVING.
            if update.state <= me.state and update.state is not State.SUSPECT:
                return []
            if update.state is not State.LEAVING:
                self.degrade_health(1)
        self.me = msgspec.structs.replace(me, incarnation=update.incarnation + 1)
        self.me_changed = True
        return []

    def leading_members(self, to: str) -> tuple[Member, ...]:
        """Return the first updates of a packet to `to`: this courier, and a suspicion or death of `to`, so that it can
        refute it (Lifeguard's buddy system, 4.3)."""
        known = self.roster.get(to)
        if known is None or (known.state in (State.ALIVE, State.LEAVING) and to not in self.suspicions):
            return (self.me,)
        return (self.me, known if known.state is State.GONE else as_suspect(known))

    def news_for(self, to: str) -> tuple[Member, ...]:
        """Return the updates for a packet to `to`."""
        return self.news.select(to, self.leading_members(to), self.member_count())

    def send(self, to: str, packet: Packet) -> list[Action]:
        """Return the packet addressed to `to`; no action if its address is unknown."""
        address = self.roster.address_of(to)
        return [SendPacket(address, packet)] if address else []

    def send_hello(self, to: str) -> list[Action]:
        """Ask a known member for its whole table."""
        return self.send(to, Hello(self.leading_members(to)))

    def report_gone(self, to: str, roll: list[Member], seq: int) -> list[Action]:
        """Tell `to` of members that are alive in its roll but gone here, so that they can refute it. They are sent as
        suspects: a courier that reaches them must not declare them gone on the word of this one."""
        gone = []
        room = self.limits.max_update_bytes - sum(
            len(msgspec.msgpack.encode(member)) for member in self.leading_members(to))
        for member in roll:
            known = self.roster.get(member.name)
            if (known is not None and known.state is State.GONE and member.state is State.ALIVE
                    and member.incarnation <= known.incarnation):
                room -= len(msgspec.msgpack.encode(known))
                gone += [as_suspect(known)] if room >= 0 else []
        return self.send(to, Ping(seq, (*self.leading_members(to), *gone))) if gone else []

    def send_hello_to(self, address: str, news: tuple[Member, ...], now_us: int) -> list[Action]:
        """Send a `Hello` to the address of an unknown, gone or duplicate courier, at most one per `HELLO_EVERY_US`: it
        answers, or learns what is known of it."""
        if now_us - self._last_hello_us < HELLO_EVERY_US:
            return []
        self._last_hello_us = now_us
        return [SendPacket(address, Hello(news))]

    def sample(self, count: int, without: str = "") -> list[str]:
        """Return up to `count` random names of present members that are not suspects, except `without`."""
        names = [name for name, member in self.roster.present().items()
                 if name != without and member.state is not State.SUSPECT]
        return self.rng.sample(names, min(count, len(names)))

    def rate_limited_note(self, key: str, text: str, now_us: int, every_us: int = NOTE_EVERY_US) -> list[Action]:
        """Return a log line, at most one per `every_us` for the same key."""
        if key in self._noted_us and now_us - self._noted_us[key] < every_us:
            return []
        if len(self._noted_us) >= self.limits.max_members:
            del self._noted_us[next(iter(self._noted_us))]
        self._noted_us[key] = now_us
        return [Note(text)]

    def report_duplicate(self, name: str, address: str, now_us: int) -> list[Action]:
        """Log that a second courier at `address` uses the name; count it if the name is this courier's."""
        if name == self.me.name:
            self.roster.refused["twin"] += 1
        expected = self.me.address if name == self.me.name else self.roster.address_of(name)
        return self.rate_limited_note(f"twin {name}", f"fleet: a second courier uses the name {name}, at {address}: "
                                      f"refused, expected the one at {expected} only", now_us,
                                      self.limits.gone_kept_us)

    def report_duplicates(self, now_us: int) -> list[Action]:
        """Log the duplicates that the member table has recorded."""
        actions: list[Action] = []
        while self.roster.duplicates:
            name, address = self.roster.duplicates.popitem()
            actions += self.report_duplicate(name, address, now_us)
        return actions
