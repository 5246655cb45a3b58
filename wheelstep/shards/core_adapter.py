"""Connects a real courier's core to a shard node, shard by shard (`ports.CourierPort`)."""

from __future__ import annotations

import time
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import astuple

from wheelstep import interface as api
from wheelstep.courier.core import Core
from wheelstep.courier.rows import Row
from wheelstep.shards.shard_journal import ShardBook
from wheelstep.shards.types import EndpointHealth, OwedKey, shard_of

_NOTES_MAX_AGE_S = 0.5  # the decision module's notes are read at most this often, as one turn uses those of many


class CoreAdapter:
    """Implements `ports.CourierPort` with a courier's core. `book` is the core's journal; health that it recorded is
    restored once the endpoint's row has arrived."""

    def __init__(self, core: Core, book: ShardBook, shards: int) -> None:
        self._core, self._book, self._shards = core, book, shards
        self._recorded_health: dict[str, tuple[int, api.Health]] = {}  # time, health of an earlier process
        self._notes: dict[int, list[api.NoteHealth]] = {}  # by shard
        self._notes_read_s = -_NOTES_MAX_AGE_S

    @property
    def desk(self) -> Core:
        """The core, as the client server uses it."""
        return self._core

    # --- the list ---

    def listed(self, rows: Sequence[Row]) -> None:
        """Passes changed rows to the core, and restores recorded health of endpoints that are listed again."""
        self._core.listed(api.ListKind.CHANGES, list(rows))
        now_ms = int(time.time() * 1000)
        for info, _ in rows:
            if info.state is not api.EndpointState.REMOVED and (
                    found := self._recorded_health.pop(info.endpoint, None)):
                at_ms, health = found
                self._restore_health(info.endpoint, health, max(0, now_ms - at_ms) * 1000)

    def drop(self, destinations: Iterable[int]) -> None:
        """Makes the core forget these destinations."""
        self._core.drop_destinations(destinations)

    # --- what is owed ---

    def owed(self) -> Mapping[int, int]:
        """The number of messages owed, by shard."""
        return self._book.counts()

    def owed_keys(self, shard: int) -> Sequence[OwedKey]:
        """The ordered keys of messages owed, each with its longest remaining time by the wall clock."""
        now_ms, left = int(time.time() * 1000), dict[tuple[int, str, str], int]()
        for message in self._book.of(shard).values():
            if message.key is not None:
                name = message.destination, message.message_class, message.key
                left[name] = max(left.get(name, 0), message.deadline_ms - now_ms)
        return [OwedKey(*name, max(0, left_ms) * 1000) for name, left_ms in left.items()]

    def owes_key(self, destination: int, message_class: str, key: str) -> bool:
        """Tells whether a message of this ordered key is owed."""
        messages = self._book.of(shard_of(destination, self._shards))
        return any(message.key == key and message.destination == destination
                   and message.message_class == message_class for message in messages.values())

    # --- learned state ---

    def learned(self, shard: int) -> tuple[Sequence[EndpointHealth], Sequence[tuple[str, int]]]:
        """Health of the shard's endpoints (as read within the last half second), and waits in force (endpoint,
        left_us)."""
        self._read_notes()
        healths = [EndpointHealth(note.endpoint, 0, astuple(note.health)) for note in self._notes.get(shard, ())]
        waits = [(endpoint, left_us) for endpoint, left_us in self._core.endpoints.waits(time.monotonic()).items()
                 if shard_of(self._core.endpoints.listed[endpoint].destination, self._shards) == shard]
        return healths, waits

    def _read_notes(self) -> None:
        """Reads the decision module's notes if the last reading is too old."""
        now_s = time.monotonic()
        if now_s - self._notes_read_s < _NOTES_MAX_AGE_S:
            return
        self._notes_read_s, self._notes = now_s, {}
        for note in self._core.decision_loop.sender.notes(int(now_s * 1e6)):
            if (info := self._core.endpoints.listed.get(note.endpoint)) is not None:
                self._notes.setdefault(shard_of(info.destination, self._shards), []).append(note)

    def adopt(self, healths: Sequence[EndpointHealth], waits: Sequence[tuple[str, int]]) -> None:
        """Adopts health and waits of endpoints that are listed here."""
        now_s = time.monotonic()
        for told in healths:
            if told.endpoint in self._core.endpoints.listed:
                self._restore_health(told.endpoint, api.Health(*told.fields), told.ago_us)  # type: ignore[arg-type]
        for endpoint, left_us in waits:
            self._core.endpoints.apply_wait(endpoint, now_s, left_us / 1e6)

    def _restore_health(self, endpoint: str, health: api.Health, ago_us: int) -> None:
        self._core.decision_loop.post(api.HealthRestored(endpoint, health, ago_us))

    # --- from one process to the next ---

    def restore(self) -> None:
        """Restores the state held by the journal. Rows arrive later, and with them the recorded health of their
        endpoints."""
        marks = dict(self._book.marks)
        for endpoint, value in marks.items():
            if not endpoint.startswith(":"):
                at_ms, *health = value
                self._recorded_health[endpoint] = at_ms, api.Health(*health)
        self._core.restore({name: value for name, value in marks.items() if name.startswith(":")},
                           self._book.messages.values())
