"""The lifecycle of shards at one courier: served as home, as guest, or until nothing of them is owed. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from wheelstep.shards.expiring_table import NEVER_US, ExpiringTable

__all__ = ["NEVER_US", "DropShard", "FollowShard", "Hosting", "HostingAction", "Opened", "ShardPhase"]


class ShardPhase(Enum):
    """The phase of a shard at a courier that serves it; a shard that is not served has none."""

    OPENING = "opening"  # home by this courier's view, but rows or learned state have not arrived
    HOME = "home"
    LEAVING = "leaving"  # another is home: finishes what it owes, and accepts only ordered keys owed here
    GUEST = "guest"  # not home; serves messages for which the home could not be asked


@dataclass(frozen=True, slots=True)
class FollowShard:
    """Subscribe to the shard's rows at a control machine."""

    shard: int


@dataclass(frozen=True, slots=True)
class Opened:
    """The shard's rows have arrived and it is served from now on, as home or as guest (see `phase`)."""

    shard: int


@dataclass(frozen=True, slots=True)
class DropShard:
    """The shard is no longer served and nothing of it is owed: unsubscribe, and forget its rows, health and the
    decision module's state."""

    shard: int


HostingAction = FollowShard | Opened | DropShard


@dataclass(slots=True)
class _Shard:
    phase: ShardPhase
    opening_since_us: int  # when opening began
    last_used_us: int  # when a guest took its last message
    has_rows: bool = False
    learned_received: bool = False
    owed: bool = True  # assumed after each use until `owed` reports otherwise


class Hosting:
    """The shards served at this courier. Shards of which messages are owed are served without limit, as those messages
    were accepted; guest shards that `serve_as_guest` opens are limited to `max_guests`."""

    def __init__(self, max_guests: int = 64, guest_idle_us: int = 30_000_000, opens_within_us: int = 300_000) -> None:
        self._max_guests = max_guests
        self._guest_idle_us = guest_idle_us
        self._open_timeout_us = opens_within_us
        self._shards: dict[int, _Shard] = {}
        self._by_phase: dict[ShardPhase, set[int]] = {phase: set() for phase in ShardPhase}
        self._timeouts: ExpiringTable[int, None] = ExpiringTable()  # open timeouts of shards, and idle checks of guests

    # --- events ---

    def became_home(self, now_us: int, shard: int, learned_received: bool) -> list[HostingAction]:
        """This courier is now home by its own view. `learned_received`: learned state is here, or none is to be waited
        for."""
        state = self._shards.get(shard)
        if state is None:
            self._shards[shard] = _Shard(ShardPhase.OPENING, now_us, now_us, learned_received=learned_received)
            self._set_phase(shard, ShardPhase.OPENING)
            self._timeouts.put(shard, None, now_us + self._open_timeout_us)
            return [FollowShard(shard)]
        state.learned_received = state.learned_received or learned_received
        if state.phase is ShardPhase.LEAVING and state.has_rows:  # its state from when it was home is still here
            return self._open(shard, state)
        if state.phase in (ShardPhase.LEAVING, ShardPhase.GUEST):
            state.opening_since_us, state.learned_received = now_us, learned_received
            self._set_phase(shard, ShardPhase.OPENING)
            self._timeouts.put(shard, None, now_us + self._open_timeout_us)
        return self._open_or_drop(now_us, shard, state)

    def left_home(self, now_us: int, shard: int) -> list[HostingAction]:
        """By this courier's view another is home now, or none."""
        state = self._shards.get(shard)
        if state is not None and state.phase in (ShardPhase.OPENING, ShardPhase.HOME):
            state.owed = True
            self._set_phase(shard, ShardPhase.LEAVING)
            self._timeouts.pop(shard)
        return []

    def rows_received(self, now_us: int, shard: int) -> list[HostingAction]:
        """The shard's rows are known from now on, even if there are none."""
        state = self._shards.get(shard)
        if state is None or state.has_rows:
            return []
        state.has_rows = True
        return [Opened(shard)] if state.phase is ShardPhase.GUEST else self._open_or_drop(now_us, shard, state)

    def learned_received(self, now_us: int, shard: int) -> list[HostingAction]:
        """Learned state arrived from the former home."""
        state = self._shards.get(shard)
        if state is None:
            return []
        state.learned_received = True
        return self._open_or_drop(now_us, shard, state)

    def serve_as_guest(self, now_us: int, shard: int) -> list[HostingAction] | None:
        """Serves the shard here although another is home. None if no further guest shard is allowed."""
        state = self._shards.get(shard)
        if state is not None and state.phase in (ShardPhase.OPENING, ShardPhase.HOME):
            return []
        if state is None or state.phase is ShardPhase.LEAVING:
            if len(self._by_phase[ShardPhase.GUEST]) >= self._max_guests:
                return None
            is_new = state is None
            if state is None:
                state = self._shards[shard] = _Shard(ShardPhase.GUEST, now_us, now_us)
            self._set_phase(shard, ShardPhase.GUEST)
            self._timeouts.put(shard, None, now_us + self._guest_idle_us)
        else:
            is_new = False
        state.last_used_us, state.owed = now_us, True
        return [FollowShard(shard)] if is_new else []

    def message_taken(self, now_us: int, shard: int) -> None:
        """A message of the shard was taken here."""
        state = self._shards.get(shard)
        if state is not None:
            state.last_used_us, state.owed = now_us, True

    def owed(self, now_us: int, owed: Mapping[int, int]) -> list[HostingAction]:
        """Takes the number of messages owed by shard; shards not named owe none. A shard with messages owed that is not
        served, as after a restart from the journal, is served until they have ended."""
        actions: list[HostingAction] = []
        for shard, count in owed.items():
            if count > 0 and shard not in self._shards:
                self._shards[shard] = _Shard(ShardPhase.LEAVING, now_us, now_us)
                self._set_phase(shard, ShardPhase.LEAVING)
                actions.append(FollowShard(shard))
        for shard in sorted(self._by_phase[ShardPhase.LEAVING] | self._by_phase[ShardPhase.GUEST]):
            state = self._shards[shard]
            state.owed = owed.get(shard, 0) > 0
            actions += self._open_or_drop(now_us, shard, state)
        return actions

    def tick(self, now_us: int) -> list[HostingAction]:
        """Handles timeouts; to be called at `next_us` or later."""
        actions: list[HostingAction] = []
        for shard, _ in self._timeouts.pop_expired(now_us):
            state = self._shards[shard]
            idle_until_us = state.last_used_us + self._guest_idle_us
            if state.phase is ShardPhase.GUEST and idle_until_us > now_us:
                self._timeouts.put(shard, None, idle_until_us)
            else:  # a guest that may owe messages is checked again by `owed`
                actions += self._open_or_drop(now_us, shard, state)
        return actions

    # --- queries ---

    def phase(self, shard: int) -> ShardPhase | None:
        """The shard's phase; None if it is not served here."""
        state = self._shards.get(shard)
        return None if state is None else state.phase

    def has_rows(self, shard: int) -> bool:
        """Tells whether the shard's rows are known here."""
        state = self._shards.get(shard)
        return state is not None and state.has_rows

    def guest_room(self) -> bool:
        """Tells whether a further guest shard is allowed."""
        return len(self._by_phase[ShardPhase.GUEST]) < self._max_guests

    def shards_in(self, phase: ShardPhase) -> list[int]:
        """The shards in that phase, ascending."""
        return sorted(self._by_phase[phase])

    def next_us(self) -> int:
        """When `tick` is due; `NEVER_US` if no timeout is pending."""
        return self._timeouts.next_us()

    # --- internal ---

    def _set_phase(self, shard: int, phase: ShardPhase) -> None:
        """Moves the shard to that phase."""
        for shards in self._by_phase.values():
            shards.discard(shard)
        self._by_phase[phase].add(shard)
        self._shards[shard].phase = phase

    def _open(self, shard: int, state: _Shard) -> list[HostingAction]:
        self._set_phase(shard, ShardPhase.HOME)
        self._timeouts.pop(shard)
        return [Opened(shard)]

    def _open_or_drop(self, now_us: int, shard: int, state: _Shard) -> list[HostingAction]:
        """Opens or drops the shard if its conditions are met."""
        if state.phase is ShardPhase.OPENING:
            if state.has_rows and (state.learned_received or now_us >= state.opening_since_us + self._open_timeout_us):
                return self._open(shard, state)
        elif not state.owed and (
                state.phase is ShardPhase.LEAVING
                or (state.phase is ShardPhase.GUEST and now_us >= state.last_used_us + self._guest_idle_us)):
            self._by_phase[state.phase].discard(shard)
            self._timeouts.pop(shard)
            del self._shards[shard]
            return [DropShard(shard)]
        return []
