"""The node of one courier: membership, voter, ownership and moves of parts. No I/O: a daemon or a simulation passes in
packets, requests, answers and the time, and executes the actions.
"""

from __future__ import annotations

import random
from collections.abc import Mapping, Sequence
from functools import partial

from wheelstep.fleet.content import Content
from wheelstep.fleet.errands import OnSaved, PendingOperations
from wheelstep.fleet.membership import Membership
from wheelstep.fleet.owner import Owner
from wheelstep.fleet.placing import NodeSettings, PlacementRunner
from wheelstep.fleet.register import Voter, replay
from wheelstep.fleet.rows import FLEET_ROW
from wheelstep.fleet.tenure import PartCoordinator
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

VOTE_PREFIX = b"vote:"  # prefix of voter records in the fleet's log; records of moves have their own


class Node:
    """Decides for one courier of a fleet. `me` is the courier as announced to others, `seeds` are the addresses of
    peers by name, `content` holds the channels, and `stored` are the records of the fleet's log."""

    def __init__(self, me: Member, settings: NodeSettings, seeds: Mapping[str, str], content: Content,
                 stored: Sequence[bytes], rng: random.Random, now_us: int) -> None:
        self.settings, self._content, self._rng = settings, content, rng
        self.membership = Membership(me, seeds, settings.members, rng, now_us)
        self._operations = PendingOperations()
        others = [name for name in settings.voters if name != me.name]
        self.voter: Voter | None = None
        if me.name in settings.voters:
            rows = replay(data.removeprefix(VOTE_PREFIX) for data in stored if data.startswith(VOTE_PREFIX))
            self.voter = Voter(me.name, others, settings.parts, settings.lease_us, settings.drift,
                               rows if FLEET_ROW in rows.rows else None, rows.place, now_us)
        self.owner = Owner(me.name, settings.voters, settings.parts, settings.lease_us, settings.drift,
                           settings.margin_us, rng, now_us)
        self.taker = Taker(me.name, content.version, settings.room, stored)
        self.coordinator = PartCoordinator(me.name, self.owner, self.taker, content, self._operations, settings.moves,
                                      settings.parts, now_us)
        self.placement = PlacementRunner(me, settings, self.membership, self.owner, self.coordinator,
                                         self._operations, rng, now_us)
        self._me = me.name
        for part in range(settings.parts):
            content.shut(part)
            if self.taker.sealed_epoch(part) is not None:
                self.owner.want(part)

    # --- queries and commands ---

    def epoch(self, part: int, now_us: int) -> int | None:
        """Return the epoch under which the part may be served now; None if it may not. Call right before the first byte
        of each attempt."""
        return None if self.membership.name_in_use else self.owner.epoch(part, now_us)

    def owned(self, now_us: int) -> list[int]:
        """Return the parts for which this courier holds a lease."""
        return [part for part in range(self.settings.parts) if self.owner.epoch(part, now_us) is not None]

    def owner_of(self, part: int) -> str | None:
        """Return the known owner of the part; None if there is none."""
        return self.placement.owner_of(part)

    def is_moving(self, part: int) -> bool:
        """Return whether the part is moving from or to this courier, or received and not opened yet."""
        return (part in self.coordinator.givers or part in self.coordinator.opening
                or self.taker.sealed_epoch(part) is not None)

    def client_address(self, part: int) -> str:
        """Return the client address of the present or next owner of the part; "" if it is unknown or gone."""
        giver = self.coordinator.givers.get(part)
        name = giver.to if giver is not None else self.placement.owner_of(part)
        member = self.membership.member(name) if name else None
        return member.serves if member is not None and member.state is not State.GONE else ""

    @property
    def left(self) -> bool:
        """Whether, after `leave`, no part is owned or moving here, or the time limit for giving them away is over."""
        return self.placement.left

    def snapshot(self) -> list[bytes]:
        """Return all records that the fleet's log must contain."""
        votes = [VOTE_PREFIX + record for record in self.voter.snapshot()] if self.voter is not None else []
        return votes + self.taker.snapshot()

    def leave(self, now_us: int) -> list[Action]:
        """Announce that this courier leaves, and start giving all parts away. Further calls have no effect."""
        if self.placement.leaving:
            return []
        self.placement.leave(now_us)
        return [*self.membership.leave(now_us), *self.tick(now_us)]

    def end(self, now_us: int) -> list[Action]:
        """Announce the end of the process: this courier is gone for the others."""
        return self.membership.announce_gone(now_us)

    # --- timers ---

    def next_us(self) -> int:
        """Return when to call `tick` next."""
        return min(self.membership.next_us(), self.owner.next_us(), self.coordinator.next_us(),
                   self.placement.next_us())

    def tick(self, now_us: int) -> list[Action]:
        """Do what is due."""
        actions = self.membership.tick(now_us)
        self.placement.record_members(now_us, self.membership.changed())
        if self.membership.name_in_use:
            for part in self.owned(now_us):
                self.owner.release(part)
                self._content.shut(part)
        actions += self._run_owner(now_us)
        actions += self.coordinator.tick(now_us, self.membership.members(), self.placement.holding)
        if self.voter is not None:
            for name, request in self.voter.due_requests(now_us):
                actions.append(self._operations.call(
                    name, request, self.owner.timeout_us, partial(self._on_stood, name)))
        actions += self.placement.tick(now_us, self._registers)
        return [*actions, *self._run_owner(now_us)]

    # --- members ---

    def packet(self, now_us: int, sender: str, address: str, packet: Packet) -> list[Action]:
        """Handle a datagram that `sender` sealed for this courier."""
        actions = self.membership.heard(now_us, sender, address, packet)
        self.placement.record_members(now_us, self.membership.changed())
        return actions

    def asked(self, now_us: int, token: int, sender: str, ask: Ask) -> list[Action]:
        """Handle a request over a member's stream."""
        if isinstance(ask, Votes):
            if self.voter is None:
                return []
            voted, records = self.voter.heard(now_us, sender, ask)
            return self._reply_once_saved(now_us, voted, records, lambda _: [Reply(token, voted)])
        if isinstance(ask, Stand):
            return [Reply(token, self._registers(sender))]
        return [*self.coordinator.asked(now_us, token, sender, ask), *self._run_owner(now_us)]

    def answered(self, now_us: int, token: int, answer: Answer | None) -> list[Action]:
        """Handle the answer to a `Call`, None after a timeout."""
        return [*self._operations.answered(now_us, token, answer), *self._run_owner(now_us)]

    def saved(self, now_us: int, token: int, ok: bool) -> list[Action]:
        """Handle the completion of a `Save`; `ok` is whether it is on disk."""
        return [*self._operations.saved(now_us, token, ok), *self._run_owner(now_us)]

    # --- votes ---

    def _run_owner(self, now_us: int) -> list[Action]:
        """Send the owner's batches to the voters and handle its events."""
        actions: list[Action] = []
        for voter, votes in self.owner.tick(now_us):
            if voter == self._me and self.voter is not None:
                voted, records = self.voter.heard(now_us, self._me, votes)
                actions += self._reply_once_saved(
                    now_us, voted, records, partial(self._on_votes, voter, votes, answer=voted))
            else:
                actions.append(self._operations.call(
                    voter, votes, self.owner.timeout_us, partial(self._on_votes, voter, votes)))
        return [*actions, *self.coordinator.handle_events(now_us, self.owner.events(now_us))]

    def _on_votes(self, voter: str, votes: Votes, now_us: int, answer: Answer | None) -> list[Action]:
        voted = answer if isinstance(answer, Voted) else None
        return self.coordinator.handle_events(now_us, self.owner.answered(now_us, voter, votes, voted))

    def _reply_once_saved(self, now_us: int, voted: Voted, records: Sequence[bytes], then: OnSaved) -> list[Action]:
        """Save the records that the voter's answer depends on, and call `then`, which sends the answer, after that."""
        def saved(at_us: int) -> list[Action]:
            assert self.voter is not None
            self.voter.saved(voted.place)
            return then(at_us)
        return self._operations.save(now_us, [VOTE_PREFIX + record for record in records], saved)

    def _registers(self, sender: str) -> Stood:
        """Return the registers of this voter, for another voter or a courier that needs the owners."""
        if self.voter is None:
            return Stood(True)
        return self.voter.registers_for(sender, self.owner.known_place(sender))

    def _on_stood(self, name: str, now_us: int, answer: Answer | None) -> list[Action]:
        """Handle another voter's registers; None after a timeout."""
        assert self.voter is not None
        records = self.voter.on_registers(now_us, name, answer if isinstance(answer, Stood) else None)
        place = self.voter.place
        if not records:
            return []

        def saved(_: int) -> list[Action]:
            assert self.voter is not None
            self.voter.saved(place)
            return [Note(f"voter: {'still recovering' if self.voter.blank else 'knows'} the registers")]
        return self._operations.save(now_us, [VOTE_PREFIX + record for record in records], saved)
