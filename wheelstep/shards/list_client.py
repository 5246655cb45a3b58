"""A courier's side of the list by shard: which control machine it follows, and the rows that it has. No I/O."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterable, Sequence

import xxhash

from wheelstep.shards.list_acts import Changed, Dial, HangUp, ListAct, Note, Tell
from wheelstep.shards.list_rows import DELETED
from wheelstep.shards.list_shard import FollowedShard, Hosts, RefusedError, check
from wheelstep.shards.refusals import Refusals
from wheelstep.shards.types import Behind, Current, Follow, Frame, ListRow, ShardRows, Unfollow

__all__ = ["Changed", "Dial", "HangUp", "ListAct", "ListClient", "Note", "Tell"]

BACKOFF_US = 250_000  # the first wait after a round of all control machines, at most; doubled with each round
MOST_BACKOFF_US = 8_000_000
NEVER_US = 1 << 62


class ListClient:
    """Follows shards at one control machine at a time; without any it keeps what it has."""

    def __init__(self, me: str, control: Sequence[str], shards: int, rng: random.Random, now_us: int,
                 silent_us: int = 5_000_000) -> None:
        self._order = sorted(set(control), key=lambda name: (xxhash.xxh3_64_intdigest(f"{me} {name}".encode()), name))
        self._number, self._rng, self._silent_us = shards, rng, silent_us
        self._at = -1  # in the order: the one in use, dialled, or given up last
        self._dialling = self._in_use = False
        self._since_us = self._heard_us = now_us  # of the one in use or dialled
        self._dial_us = now_us if self._order else NEVER_US
        self._failed = 0  # one after another, without one that was good for `silent_us`
        self._followed: dict[int, FollowedShard] = {}
        self._hosts = Hosts()
        self._lately: set[int] = set()  # unfollowed on this connection: what comes of these was under way
        self._refusals = Refusals("list by shard")
        self.seq = 0  # the highest that any control machine has told

    # --- what is known ---

    @property
    def control(self) -> str:
        """The control machine in use, or nothing."""
        return self._order[self._at] if self._in_use else ""

    @property
    def refused(self) -> Counter[str]:
        """What was refused, by reason."""
        return self._refusals.counts

    def knows(self, shard: int) -> bool:
        """Are this shard's rows here, be it none?"""
        known = self._followed.get(shard)
        return known is not None and known.known

    def rows_of(self, shard: int) -> tuple[ListRow, ...]:
        """The shard's rows, if they are known."""
        known = self._followed.get(shard)
        return tuple(known.rows.values()) if known is not None else ()

    # --- from the courier ---

    def follow(self, now_us: int, shards: Iterable[int]) -> list[ListAct]:
        """Follow these as well. Raises `ValueError` for a shard out of range."""
        new = [shard for shard in dict.fromkeys(shards) if shard not in self._followed]
        if any(not 0 <= shard < self._number for shard in new):
            raise ValueError(f"shards {new!r:.80}: expected 0 to {self._number - 1}")
        for shard in new:
            self._followed[shard] = FollowedShard()
        return self._ask(new) if new else []

    def unfollow(self, now_us: int, shards: Iterable[int]) -> list[ListAct]:
        """No more of these; their rows are forgotten."""
        old = {shard: known for shard in shards if (known := self._followed.pop(shard, None)) is not None}
        left = {host: self._hosts.remove(host, shard) for shard, known in old.items() for host in known.rows}
        acts: list[ListAct] = [Changed(shard, (self._followed[shard].rows[host],), False)
                               for host, shard in left.items() if shard in self._followed]
        if old and self._in_use:
            self._lately.update(old)
            acts.append(Tell(self.control, Unfollow(tuple(old))))
        return acts

    def _ask(self, shards: Iterable[int]) -> list[ListAct]:
        if not self._in_use:
            return []
        return [Tell(self.control, Follow(self.seq, tuple((n, self._followed[n].digest) for n in shards)))]

    # --- from the network ---

    def dialled(self, now_us: int, control: str, ok: bool) -> list[ListAct]:
        """A `Dial` has ended."""
        if not self._dialling or control != self._order[self._at]:
            return [HangUp(control)] if ok and control != self.control else []
        if not ok:
            return self._next(now_us)
        self._dialling, self._in_use = False, True
        self._since_us = self._heard_us = now_us
        self._lately.clear()
        for known in self._followed.values():
            known.again, known.awaits = False, not known.known
        return self._ask(self._followed)

    def lost(self, now_us: int, control: str) -> list[ListAct]:
        """A connection has ended."""
        return self._next(now_us) if control and control == self.control else []

    def heard(self, now_us: int, control: str, frame: Frame) -> list[ListAct]:
        """What a control machine says. One that says what can't be is left, and nothing of that frame is taken."""
        if not control or control != self.control:
            return []  # under way when it was left
        self._heard_us = now_us
        try:
            match frame:
                case Current(seq):
                    self._newer(seq)
                    return []
                case Behind():
                    return [HangUp(control), *self._next(now_us)]
                case ShardRows():
                    return self._rows(now_us, frame)
            raise RefusedError("frame", f"{type(frame).__name__}; expected ShardRows, Current or Behind")
        except RefusedError as error:
            self._refusals.add(error.why, f"control machine {control}: {error}; it is left")
            return [HangUp(control), *self._notes(now_us), *self._next(now_us)]

    def _newer(self, seq: int) -> None:
        if seq < self.seq:
            raise RefusedError("old", f"version {seq}; expected {self.seq} or newer")
        self.seq = seq

    def _rows(self, now_us: int, frame: ShardRows) -> list[ListAct]:
        if frame.seq < self.seq:
            raise RefusedError("old", f"rows of version {frame.seq}; expected {self.seq} or newer")
        check(frame, self._number)
        shard = self._followed.get(frame.shard)
        if shard is None:
            if frame.shard not in self._lately:
                raise RefusedError("unasked", f"rows of shard {frame.shard}; expected one that is followed")
            return []
        if shard.awaits and not frame.whole:
            return []  # under way when the whole set was asked for
        first = not shard.known
        changes = shard.take(frame)
        if changes is None:
            return self._anew(now_us, frame.shard, shard)
        self.seq = frame.seq
        told: list[ListRow] = []
        elsewhere: list[ListAct] = []
        for row in changes:
            if row.health != DELETED:
                self._hosts.add(row.host, frame.shard)
                told.append(row)
            elif (other := self._hosts.remove(row.host, frame.shard)) is None:
                told.append(row)
            else:
                elsewhere.append(Changed(other, (self._followed[other].rows[row.host],), False))
        return ([Changed(frame.shard, tuple(told), first)] if first or told else []) + elsewhere

    def _anew(self, now_us: int, number: int, shard: FollowedShard) -> list[ListAct]:
        if shard.again:
            raise RefusedError("digest", f"rows of shard {number} do not fit their digest, again")
        self._refusals.add("digest", f"control machine {self.control}: rows of shard {number} do not fit their digest")
        shard.again = shard.awaits = True
        return [*self._ask((number,)), *self._notes(now_us)]

    # --- time ---

    def next_us(self) -> int:
        """When `tick` has something to do."""
        return self._heard_us + self._silent_us if self._dialling or self._in_use else self._dial_us

    def tick(self, now_us: int) -> list[ListAct]:
        """What is due."""
        if now_us < self.next_us():
            return []
        if self._dialling or self._in_use:
            control = self._order[self._at]
            return [HangUp(control), *self._next(now_us)]
        self._at = (self._at + 1) % len(self._order)
        self._dialling = True
        self._since_us = self._heard_us = now_us
        return [Dial(self._order[self._at])]

    def _next(self, now_us: int) -> list[ListAct]:
        """Leave the one in use or dialled: the next at once, but after each whole round by chance later."""
        good = self._in_use and self._heard_us - self._since_us > self._silent_us
        self._failed = 1 if good else self._failed + 1
        self._in_use = self._dialling = False
        rounds, rest = divmod(self._failed, len(self._order))
        self._dial_us = now_us
        if rest:
            return self.tick(now_us)
        self._dial_us += self._rng.randrange(min(MOST_BACKOFF_US, BACKOFF_US << min(rounds - 1, 16)))
        return []

    def _notes(self, now_us: int) -> list[ListAct]:
        return [Note(line) for line in self._refusals.lines(now_us)]
