"""A hollow courier as its shard node requires it (`shards.ports.CourierPort`): its admission and what it has
learned."""

from __future__ import annotations

import time
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import astuple
from typing import Any

from wheelstep import interface as api
from wheelstep.courier.rows import Row
from wheelstep.rehearsal.scale.desk import HollowAdmission
from wheelstep.rehearsal.scale.settings import IS_ORDERED
from wheelstep.shards.types import EndpointHealth, OwedKey, shard_of

_NOTES_INTERVAL_S = 0.5  # how long the decision module's notes are reused, as in a real courier


class HollowCourierPort(HollowAdmission):
    """Implements `CourierPort` in one object with the admission. It never reports waits, as simulated partners never
    ask for one."""

    _notes_read_s = -_NOTES_INTERVAL_S

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self._notes: dict[int, list[EndpointHealth]] = {}  # endpoints' health by shard

    @property
    def desk(self) -> HollowAdmission:
        """The admission, which is this object."""
        return self

    def listed(self, rows: Sequence[Row]) -> None:
        """Apply changes of the list for shards that are served here."""
        self.apply_list(rows)

    def drop(self, destinations: Iterable[int]) -> None:
        """Forget the destinations' rows, connections, health and state in the decision module."""
        dropped = set(destinations)
        infos = [info for info in self.listed_endpoints.values() if info.destination in dropped]
        removed = [api.EndpointInfo(info.endpoint, info.destination, info.kind, info.zone, api.EndpointState.REMOVED)
                   for info in infos]
        for info in infos:
            self._remove_row(info.endpoint)
            self._partners.close_idle(self._now_s(), info.endpoint)
        self.decision_loop.post(api.MembershipReceived(api.ListKind.CHANGES, tuple(removed)))
        self.decision_loop.post(api.DestinationsDropped(tuple(dropped)))

    def owed(self) -> Mapping[int, int]:
        """Return the number of messages held, by shard."""
        return self.held_by_shard

    def owed_keys(self, shard: int) -> Sequence[OwedKey]:
        """Return the ordered keys of the messages held for the shard, each with the longest time left to a deadline."""
        left_us_by_key: dict[tuple[int, str, str], int] = {}
        now_ms = int(time.time() * 1000)
        for message in self.held.values():
            if message.key is not None and IS_ORDERED[message.message_class] \
                    and shard_of(message.destination, self._shards) == shard:
                name = message.destination, message.message_class, message.key
                left_us_by_key[name] = max(left_us_by_key.get(name, 0), (message.deadline_ms - now_ms) * 1000)
        return [OwedKey(*name, left_us) for name, left_us in left_us_by_key.items()]

    def owes_key(self, destination: int, message_class: str, key: str) -> bool:
        """Return whether a message of this ordered key is held."""
        return any(message.key == key and message.destination == destination
                   and message.message_class == message_class for message in self.held.values())

    def learned(self, shard: int) -> tuple[Sequence[EndpointHealth], Sequence[tuple[str, int]]]:
        """Return the health of the shard's endpoints, up to `_NOTES_INTERVAL_S` old, and no waits."""
        now_s = time.monotonic()
        if now_s - self._notes_read_s >= _NOTES_INTERVAL_S:
            self._notes_read_s, self._notes = now_s, {}
            for note in self.decision_loop.sender.notes(int(now_s * 1e6)):
                if (info := self.listed_endpoints.get(note.endpoint)) is not None:
                    shard_of_note = shard_of(info.destination, self._shards)
                    self._notes.setdefault(shard_of_note, []).append(
                        EndpointHealth(note.endpoint, 0, astuple(note.health)))
        return self._notes.get(shard, ()), ()

    def adopt(self, healths: Sequence[EndpointHealth], waits: Sequence[tuple[str, int]]) -> None:
        """Adopt the endpoint health that another courier has learned; endpoints that are not listed here are skipped,
        and `waits` are ignored."""
        for adopted in healths:
            if adopted.endpoint in self.listed_endpoints:
                health = api.Health(*adopted.fields)  # type: ignore[arg-type]
                self.decision_loop.post(api.HealthRestored(adopted.endpoint, health, adopted.ago_us))
