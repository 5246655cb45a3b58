"""A hollow courier's side of a shard node (`shards.ports.CourierPort`): its desk, and what it has learned."""

from __future__ import annotations

import time
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import astuple
from typing import Any

from wheelstep import interface as api
from wheelstep.courier.rows import Row
from wheelstep.rehearsal.scale.desk import HollowDesk
from wheelstep.rehearsal.scale.settings import ORDERED
from wheelstep.shards.types import EndpointHealth, OwedKey, shard_of

_FRESH_S = 0.5  # as a real courier's shelf: the module is asked for its notes this often at most


class HollowShelf(HollowDesk):
    """Its own desk. Waits told it has none: the table of partners tells none."""

    _noted_s = -_FRESH_S

    def __init__(self, *given: Any) -> None:
        super().__init__(*given)
        self._notes: dict[int, list[EndpointHealth]] = {}  # by shard

    @property
    def desk(self) -> HollowDesk:
        """Itself."""
        return self

    def listed(self, rows: Sequence[Row]) -> None:
        """Changes of the list for shards that are served here."""
        self.take_list(rows)

    def drop(self, destinations: Iterable[int]) -> None:
        """Forget rows, health and the module's state."""
        gone = set(destinations)
        infos = [info for info in self.listed_endpoints.values() if info.destination in gone]
        removed = [api.EndpointInfo(info.endpoint, info.destination, info.kind, info.zone, api.EndpointState.REMOVED)
                   for info in infos]
        for info in infos:
            self._unlist(info.endpoint)
            self._partners.close_idle(self._now_s(), info.endpoint)
        self.decision_loop.post(api.MembershipReceived(api.ListKind.CHANGES, tuple(removed)))
        self.decision_loop.post(api.DestinationsDropped(tuple(gone)))

    def owed(self) -> Mapping[int, int]:
        """How many messages are held, by shard."""
        return self.owed_by_shard

    def owed_keys(self, shard: int) -> Sequence[OwedKey]:
        """Ordered keys of which messages are held."""
        left: dict[tuple[int, str, str], int] = {}
        now_ms = int(time.time() * 1000)
        for message in self.held.values():
            if message.key is not None and ORDERED[message.message_class] \
                    and shard_of(message.destination, self._shards) == shard:
                name = message.destination, message.message_class, message.key
                left[name] = max(left.get(name, 0), (message.deadline_ms - now_ms) * 1000)
        return [OwedKey(*name, left_us) for name, left_us in left.items()]

    def owes_key(self, destination: int, message_class: str, key: str) -> bool:
        """Is a message of this ordered key held?"""
        return any(message.key == key and message.destination == destination
                   and message.message_class == message_class for message in self.held.values())

    def learned(self, shard: int) -> tuple[Sequence[EndpointHealth], Sequence[tuple[str, int]]]:
        """Health of the shard's endpoints."""
        now_s = time.monotonic()
        if now_s - self._noted_s >= _FRESH_S:
            self._noted_s, self._notes = now_s, {}
            for note in self.decision_loop.sender.notes(int(now_s * 1e6)):
                if (info := self.listed_endpoints.get(note.endpoint)) is not None:
                    of = shard_of(info.destination, self._shards)
                    self._notes.setdefault(of, []).append(EndpointHealth(note.endpoint, 0, astuple(note.health)))
        return self._notes.get(shard, ()), ()

    def adopt(self, healths: Sequence[EndpointHealth], waits: Sequence[tuple[str, int]]) -> None:
        """Take over what another has learned."""
        for told in healths:
            if told.endpoint in self.listed_endpoints:
                health = api.Health(*told.fields)  # type: ignore[arg-type]
                self.decision_loop.post(api.HealthRestored(told.endpoint, health, told.ago_us))
