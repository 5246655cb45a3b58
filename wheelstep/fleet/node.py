"""One courier's part in the fleet: membership, its vote, what it owns, and what it gives and takes. No I/O: a daemon or
a simulation hands in packets, asks, answers and a clock, and carries out the actions.
"""

from __future__ import annotations

import random
from collections.abc import Mapping, Sequence
from functools import partial

from wheelstep.fleet.content import Content
from wheelstep.fleet.errands import Errands, Saved
from wheelstep.fleet.membership import Membership
from wheelstep.fleet.owner import Owner
from wheelstep.fleet.placing import NodeSettings, Placing
from wheelstep.fleet.register import Voter, replay
from wheelstep.fleet.rows import FLEET
from wheelstep.fleet.tenure import Tenure
from wheelstep.fleet.types import (
    Action,
    Answer,
    Ask,
    Member,
    Note,
    Packet,
    Reply,
    Stand,
    State,
    Stood,
    Voted,
    Votes,
)
from wheelstep.moves.taker import Taker

VOTE = b"vote:"  # before a voter's records in the fleet's log; moves have a mark of their own


class Node:
    """`stored`: the records of the fleet's log; `seeds`: peers' addresses by name."""

    def __init__(self, me: Member, settings: NodeSettings, seeds: Mapping[str, str], content: Content,
                 stored: Sequence[bytes], rng: random.Random, now_us: int) -> None:
        self.settings, self._content, self._rng = settings, content, rng
        self.membership = Membership(me, seeds, settings.members, rng, now_us)
        self._errands = Errands()
        others = [name for name in settings.voters if name != me.name]
        self.voter: Voter | None = None
        if me.name in settings.voters:
            rows = replay(data.removeprefix(VOTE) for data in stored if data.startswith(VOTE))
            self.voter = Voter(me.name, others, settings.parts, settings.lease_us, settings.drift,
                               rows if FLEET in rows.rows else None, rows.place, now_us)
        self.owner = Owner(me.name, settings.voters, settings.parts, settings.lease_us, settings.drift,
                           settings.margin_us, rng, now_us)
        self.taker = Taker(me.name, content.version, settings.room, stored)
        self.tenure = Tenure(me.name, self.owner, self.taker, content, self._errands, settings.moves, settings.parts,
                             now_us)
        self.placing = Placing(me, settings, self.membership, self.owner, self.tenure, self._errands, rng, now_us)
        self._me = me.name
        for part in range(settings.parts):
            content.shut(part)
            if self.taker.sealed(part) is not None:
                self.owner.want(part)

    # --- what is asked from outside ---

    def epoch(self, part: int, now_us: int) -> int | None:
        """May anything be sent for the part right now, and under which epoch? To be asked before each first byte."""
        return None if self.membership.doubled else self.owner.epoch(part, now_us)

    def owned(self, now_us: int) -> list[int]:
        """The parts that this courier has the lease of."""
        return [part for part in range(self.settings.parts) if self.owner.epoch(part, now_us) is not None]

    def owner_of(self, part: int) -> str | None:
        """Who has it, as far as is known here."""
        return self.placing.owner_of(part)

    def moving(self, part: int) -> bool:
        """Is it on its way from or to this courier?"""
        return part in self.tenure.givers or part in self.tenure.opening or self.taker.sealed(part) is not None

    def serves(self, part: int) -> str:
        """Where the part's owner takes clients, or is about to; "" if that is not known or it is not there."""
        giver = self.tenure.givers.get(part)
        name = giver.to if giver is not None else self.placing.owner_of(part)
        member = self.membership.member(name) if name else None
        return member.serves if member is not None and member.state is not State.GONE else ""

    @property
    def left(self) -> bool:
        """After `leave`: nothing is owned or moving any more, or no time is left for it."""
        return self.placing.left

    def snapshot(self) -> list[bytes]:
        """All that the fleet's log has to hold."""
        votes = [VOTE + record for record in self.voter.snapshot()] if self.voter is not None else []
        return votes + self.taker.snapshot()

    def leave(self, now_us: int) -> list[Action]:
        """Give everything away."""
        if self.placing.leaving:
            return []
        self.placing.leave(now_us)
        return [*self.membership.leave(now_us), *self.tick(now_us)]

    def end(self, now_us: int) -> list[Action]:
        """The process ends: say so."""
        return self.membership.left(now_us)

    # --- the clock ---

    def next_us(self) -> int:
        """When `tick` is wanted."""
        return min(self.membership.next_us(), self.owner.next_us(), self.tenure.next_us(), self.placing.next_us())

    def tick(self, now_us: int) -> list[Action]:
        """What is due."""
        actions = self.membership.tick(now_us)
        self.placing.saw(now_us, self.membership.changed())
        if self.membership.doubled:
            for part in self.owned(now_us):
                self.owner.release(part)
                self._content.shut(part)
        actions += self._votes(now_us)
        actions += self.tenure.tick(now_us, self.membership.members(), self.placing.holding)
        if self.voter is not None:
            for name, stand in self.voter.recover(now_us):
                actions.append(self._errands.call(
                    name, stand, self.owner.timeout_us, partial(self._stood, name)))
        actions += self.placing.tick(now_us, self._stand)
        return [*actions, *self._votes(now_us)]

    # --- members ---

    def packet(self, now_us: int, sender: str, address: str, packet: Packet) -> list[Action]:
        """A datagram that this member has sealed for us."""
        actions = self.membership.heard(now_us, sender, address, packet)
        self.placing.saw(now_us, self.membership.changed())
        return actions

    def asked(self, now_us: int, token: int, sender: str, ask: Ask) -> list[Action]:
        """Over a member's stream."""
        if isinstance(ask, Votes):
            if self.voter is None:
                return []
            voted, records = self.voter.heard(now_us, sender, ask)
            return self._voted(now_us, voted, records, lambda _: [Reply(token, voted)])
        if isinstance(ask, Stand):
            return [Reply(token, self._stand(sender))]
        return [*self.tenure.asked(now_us, token, sender, ask), *self._votes(now_us)]

    def answered(self, now_us: int, token: int, answer: Answer | None) -> list[Action]:
        """To a `Call`; None where none came in time."""
        return [*self._errands.answered(now_us, token, answer), *self._votes(now_us)]

    def saved(self, now_us: int, token: int, ok: bool) -> list[Action]:
        """Of a `Save`: on disk, or not."""
        return [*self._errands.saved(now_us, token, ok), *self._votes(now_us)]

    # --- votes ---

    def _votes(self, now_us: int) -> list[Action]:
        """Ask the voters for what the owner's side wants, and heed what it has learnt."""
        actions: list[Action] = []
        for voter, votes in self.owner.tick(now_us):
            if voter == self._me and self.voter is not None:
                voted, records = self.voter.heard(now_us, self._me, votes)
                actions += self._voted(now_us, voted, records, partial(self._heed, voter, votes, answer=voted))
            else:
                actions.append(self._errands.call(
                    voter, votes, self.owner.timeout_us, partial(self._heed, voter, votes)))
        return [*actions, *self.tenure.heed(now_us, self.owner.events(now_us))]

    def _heed(self, voter: str, votes: Votes, now_us: int, answer: Answer | None) -> list[Action]:
        voted = answer if isinstance(answer, Voted) else None
        return self.tenure.heed(now_us, self.owner.answered(now_us, voter, votes, voted))

    def _voted(self, now_us: int, voted: Voted, records: Sequence[bytes], then: Saved) -> list[Action]:
        """A voter's answer leaves once what it rests on is on disk."""
        def saved(at_us: int) -> list[Action]:
            assert self.voter is not None
            self.voter.saved(voted.place)
            return then(at_us)
        return self._errands.save(now_us, [VOTE + record for record in records], saved)

    def _stand(self, asker: str) -> Stood:
        """How the registers stand, for another voter, or for a courier that wants to know who has what."""
        if self.voter is None:
            return Stood(True)
        return self.voter.stand(asker, self.owner.seen(asker))

    def _stood(self, name: str, now_us: int, answer: Answer | None) -> list[Action]:
        """To this voter, from another."""
        assert self.voter is not None
        records = self.voter.stood(now_us, name, answer if isinstance(answer, Stood) else None)
        place = self.voter.place
        if not records:
            return []

        def saved(_: int) -> list[Action]:
            assert self.voter is not None
            self.voter.saved(place)
            return [Note(f"voter: {'still learns' if self.voter.blank else 'knows'} where the registers stand")]
        return self._errands.save(now_us, [VOTE + record for record in records], saved)
