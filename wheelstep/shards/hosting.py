"""A shard's life at a courier: which it serves as home, as guest, or until it owes nothing more. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from wheelstep.shards.timed import NEVER_US, Timed

__all__ = ["NEVER_US", "DropShard", "FollowShard", "HostAct", "Hosting", "Life", "Opened"]


class Life(Enum):
    """What a shard is to a courier that serves it. One that it does not serve has none."""

    OPENING = "opening"  # home by view; rows or learned state are not there yet
    HOME = "home"
    LEAVING = "leaving"  # another is home: takes nothing new but ordered keys that it owes, finishes what it owes
    GUEST = "guest"  # not home; it took a message that the home could not be asked for


@dataclass(frozen=True, slots=True)
class FollowShard:
    """Follow its rows at a control machine."""

    shard: int


@dataclass(frozen=True, slots=True)
class Opened:
    """Its rows are there and it is served from now on: as home, or as guest (`life` tells)."""

    shard: int


@dataclass(frozen=True, slots=True)
class DropShard:
    """Served no more, and nothing of it is owed: unfollow it, forget rows, health and module state."""

    shard: int


HostAct = FollowShard | Opened | DropShard


@dataclass(slots=True)
class _Shard:
    life: Life
    since_us: int  # when it began to open
    used_us: int  # when a message was taken last, for guests
    rows: bool = False
    taught: bool = False
    owed: bool = True  # until it is told otherwise, after the last use


class Hosting:
    """The shards served here. Those of which messages are owed are served in any number (they were taken); guests that
    were asked for are at most `guests_most` at once."""

    def __init__(self, guests_most: int = 64, guest_idle_us: int = 30_000_000, opens_within_us: int = 300_000) -> None:
        self._guests_most = guests_most
        self._idle_us = guest_idle_us
        self._within_us = opens_within_us
        self._shards: dict[int, _Shard] = {}
        self._by_life: dict[Life, set[int]] = {life: set() for life in Life}
        self._due: Timed[int, None] = Timed()  # opening shards whose time comes, guests that may have been idle

    # --- what happens ---

    def became_home(self, now_us: int, shard: int, taught: bool) -> list[HostAct]:
        """By this courier's view it is home. `taught`: learned state is there, or there is none to wait for."""
        state = self._shards.get(shard)
        if state is None:
            self._shards[shard] = _Shard(Life.OPENING, now_us, now_us, taught=taught)
            self._live(shard, Life.OPENING)
            self._due.put(shard, None, now_us + self._within_us)
            return [FollowShard(shard)]
        state.taught = state.taught or taught
        if state.life is Life.LEAVING and state.rows:  # what it knows is what it knew as home
            return self._open(shard, state)
        if state.life in (Life.LEAVING, Life.GUEST):
            state.since_us, state.taught = now_us, taught
            self._live(shard, Life.OPENING)
            self._due.put(shard, None, now_us + self._within_us)
        return self._look(now_us, shard, state)

    def left_home(self, now_us: int, shard: int) -> list[HostAct]:
        """By this courier's view another is home, or none."""
        state = self._shards.get(shard)
        if state is not None and state.life in (Life.OPENING, Life.HOME):
            state.owed = True
            self._live(shard, Life.LEAVING)
            self._due.pop(shard)
        return []

    def rows_came(self, now_us: int, shard: int) -> list[HostAct]:
        """Its rows are known here from now on, be it none."""
        state = self._shards.get(shard)
        if state is None or state.rows:
            return []
        state.rows = True
        return [Opened(shard)] if state.life is Life.GUEST else self._look(now_us, shard, state)

    def taught(self, now_us: int, shard: int) -> list[HostAct]:
        """Learned state came from the former home."""
        state = self._shards.get(shard)
        if state is None:
            return []
        state.taught = True
        return self._look(now_us, shard, state)

    def be_guest(self, now_us: int, shard: int) -> list[HostAct] | None:
        """A message is to be taken here though another is home. None: no room for one more guest shard."""
        state = self._shards.get(shard)
        if state is not None and state.life in (Life.OPENING, Life.HOME):
            return []
        if state is None or state.life is Life.LEAVING:
            if len(self._by_life[Life.GUEST]) >= self._guests_most:
                return None
            new = state is None
            if state is None:
                state = self._shards[shard] = _Shard(Life.GUEST, now_us, now_us)
            self._live(shard, Life.GUEST)
            self._due.put(shard, None, now_us + self._idle_us)
        else:
            new = False
        state.used_us, state.owed = now_us, True
        return [FollowShard(shard)] if new else []

    def used(self, now_us: int, shard: int) -> None:
        """A message of it was taken."""
        state = self._shards.get(shard)
        if state is not None:
            state.used_us, state.owed = now_us, True

    def owed(self, now_us: int, owed: Mapping[int, int]) -> list[HostAct]:
        """How many messages are held by shard; those not named hold none. A shard that is not served here and of which
        messages are held, as after a start from the journal, is served until they have ended."""
        acts: list[HostAct] = []
        for shard, count in owed.items():
            if count > 0 and shard not in self._shards:
                self._shards[shard] = _Shard(Life.LEAVING, now_us, now_us)
                self._live(shard, Life.LEAVING)
                acts.append(FollowShard(shard))
        for shard in sorted(self._by_life[Life.LEAVING] | self._by_life[Life.GUEST]):
            state = self._shards[shard]
            state.owed = owed.get(shard, 0) > 0
            acts += self._look(now_us, shard, state)
        return acts

    def tick(self, now_us: int) -> list[HostAct]:
        """Time has passed; to be called at `next_us` or later."""
        acts: list[HostAct] = []
        for shard, _ in self._due.ended(now_us):
            state = self._shards[shard]
            idle_us = state.used_us + self._idle_us
            if state.life is Life.GUEST and idle_us > now_us:
                self._due.put(shard, None, idle_us)
            else:  # a guest that may owe something is looked at again when `owed` tells
                acts += self._look(now_us, shard, state)
        return acts

    # --- what is so ---

    def life(self, shard: int) -> Life | None:
        """None: not served here."""
        state = self._shards.get(shard)
        return None if state is None else state.life

    def has_rows(self, shard: int) -> bool:
        """Are its rows known here?"""
        state = self._shards.get(shard)
        return state is not None and state.rows

    def guest_room(self) -> bool:
        """Is there room for one more guest shard?"""
        return len(self._by_life[Life.GUEST]) < self._guests_most

    def of(self, life: Life) -> list[int]:
        """The shards in that life, in order."""
        return sorted(self._by_life[life])

    def next_us(self) -> int:
        """When `tick` has something to do; `NEVER_US` if time alone brings nothing."""
        return self._due.next_us()

    # --- within ---

    def _live(self, shard: int, life: Life) -> None:
        for shards in self._by_life.values():
            shards.discard(shard)
        self._by_life[life].add(shard)
        self._shards[shard].life = life

    def _open(self, shard: int, state: _Shard) -> list[HostAct]:
        self._live(shard, Life.HOME)
        self._due.pop(shard)
        return [Opened(shard)]

    def _look(self, now_us: int, shard: int, state: _Shard) -> list[HostAct]:
        """Is it time to open, or to go?"""
        if state.life is Life.OPENING:
            if state.rows and (state.taught or now_us >= state.since_us + self._within_us):
                return self._open(shard, state)
        elif not state.owed and (state.life is Life.LEAVING
                                 or (state.life is Life.GUEST and now_us >= state.used_us + self._idle_us)):
            self._by_life[state.life].discard(shard)
            self._due.pop(shard)
            del self._shards[shard]
            return [DropShard(shard)]
        return []
