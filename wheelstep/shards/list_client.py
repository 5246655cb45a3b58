"""A courier's side of the list by shard: chooses a control machine and keeps the rows received. No I/O."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterable, Sequence

import xxhash

from wheelstep.shards.list_acts import Dial, Disconnect, ListAction, Note, RowsChanged, Send
from wheelstep.shards.list_rows import DELETED
from wheelstep.shards.list_shard import FollowedShard, Hosts, RefusedError, validate
from wheelstep.shards.refusals import Refusals
from wheelstep.shards.types import Behind, Current, Follow, Frame, ListRow, ShardRows, Unfollow

__all__ = ["Dial", "Disconnect", "ListAction", "ListClient", "Note", "RowsChanged", "Send"]

FIRST_BACKOFF_US = 250_000  # longest first wait after all control machines failed; doubled with each round
MAX_BACKOFF_US = 8_000_000
NEVER_US = 1 << 62


class ListClient:
    """Follows shards at one control machine at a time; without any it keeps the rows it has."""

    def __init__(self, me: str, control: Sequence[str], shards: int, rng: random.Random, now_us: int,
                 silent_us: int = 5_000_000) -> None:
        self._order = sorted(set(control), key=lambda name: (xxhash.xxh3_64_intdigest(f"{me} {name}".encode()), name))
        self._shards, self._rng, self._silent_us = shards, rng, silent_us
        self._index = -1  # index in the order: the one in use, being dialled, or left last
        self._dialling = self._in_use = False
        self._since_us = self._last_heard_us = now_us  # of the one in use or being dialled
        self._dial_us = now_us if self._order else NEVER_US
        self._failures = 0  # consecutive failures, reset by one that was good for `silent_us`
        self._followed: dict[int, FollowedShard] = {}
        self._hosts = Hosts()
        self._recently_unfollowed: set[int] = set()  # on this connection: their rows may still be in transit
        self._refusals = Refusals("list by shard")
        self.seq = 0  # the highest version received from any control machine

    # --- queries ---

    @property
    def control(self) -> str:
        """The control machine in use; "" if there is none."""
        return self._order[self._index] if self._in_use else ""

    @property
    def refused(self) -> Counter[str]:
        """Counts of the frames that this courier refused, by reason."""
        return self._refusals.counts

    def knows(self, shard: int) -> bool:
        """Tells whether the shard's rows are known, even if there are none."""
        known = self._followed.get(shard)
        return known is not None and known.known

    def rows_of(self, shard: int) -> tuple[ListRow, ...]:
        """The shard's rows; empty if they are not known."""
        known = self._followed.get(shard)
        return tuple(known.rows.values()) if known is not None else ()

    # --- from the courier ---

    def follow(self, now_us: int, shards: Iterable[int]) -> list[ListAction]:
        """Follows these shards as well; `now_us` is not used. Raises `ValueError` for a shard out of range."""
        new = [shard for shard in dict.fromkeys(shards) if shard not in self._followed]
        if any(not 0 <= shard < self._shards for shard in new):
            raise ValueError(f"shards {new!r:.80}: expected 0 to {self._shards - 1}")
        for shard in new:
            self._followed[shard] = FollowedShard()
        return self._subscribe(new) if new else []

    def unfollow(self, now_us: int, shards: Iterable[int]) -> list[ListAction]:
        """Stops following these shards and forgets their rows; `now_us` is not used. A host that another followed shard
        also lists is reported there again."""
        old = {shard: known for shard in shards if (known := self._followed.pop(shard, None)) is not None}
        left = {host: self._hosts.remove(host, shard) for shard, known in old.items() for host in known.rows}
        actions: list[ListAction] = [RowsChanged(shard, (self._followed[shard].rows[host],), False)
                                     for host, shard in left.items() if shard in self._followed]
        if old and self._in_use:
            self._recently_unfollowed.update(old)
            actions.append(Send(self.control, Unfollow(tuple(old))))
        return actions

    def _subscribe(self, shards: Iterable[int]) -> list[ListAction]:
        if not self._in_use:
            return []
        return [Send(self.control, Follow(self.seq, tuple((n, self._followed[n].digest) for n in shards)))]

    # --- from the network ---

    def dialled(self, now_us: int, control: str, ok: bool) -> list[ListAction]:
        """Handles the end of a `Dial`; `ok`: the connection is open."""
        if not self._dialling or control != self._order[self._index]:
            return [Disconnect(control)] if ok and control != self.control else []
        if not ok:
            return self._leave(now_us)
        self._dialling, self._in_use = False, True
        self._since_us = self._last_heard_us = now_us
        self._recently_unfollowed.clear()
        for known in self._followed.values():
            known.requested_again, known.awaits_whole = False, not known.known
        return self._subscribe(self._followed)

    def lost(self, now_us: int, control: str) -> list[ListAction]:
        """Handles the end of a connection."""
        return self._leave(now_us) if control and control == self.control else []

    def heard(self, now_us: int, control: str, frame: Frame) -> list[ListAction]:
        """Handles a frame of a control machine. After an invalid frame it is left for the next one, and nothing of that
        frame is used."""
        if not control or control != self.control:
            return []  # was in transit when the control machine was left
        self._last_heard_us = now_us
        try:
            match frame:
                case Current(seq):
                    self._check_version(seq)
                    return []
                case Behind():
                    return [Disconnect(control), *self._leave(now_us)]
                case ShardRows():
                    return self._rows(now_us, frame)
            raise RefusedError("frame", f"{type(frame).__name__}; expected ShardRows, Current or Behind")
        except RefusedError as error:
            self._refusals.add(error.reason, f"control machine {control}: {error}; it is left")
            return [Disconnect(control), *self._notes(now_us), *self._leave(now_us)]

    def _check_version(self, seq: int) -> None:
        if seq < self.seq:
            raise RefusedError("old", f"version {seq}; expected {self.seq} or newer")
        self.seq = seq

    def _rows(self, now_us: int, frame: ShardRows) -> list[ListAction]:
        if frame.seq < self.seq:
            raise RefusedError("old", f"rows of version {frame.seq}; expected {self.seq} or newer")
        validate(frame, self._shards)
        shard = self._followed.get(frame.shard)
        if shard is None:
            if frame.shard not in self._recently_unfollowed:
                raise RefusedError("unasked", f"rows of shard {frame.shard}; expected one that is followed")
            return []
        if shard.awaits_whole and not frame.whole:
            return []  # was in transit when the whole set was requested
        first = not shard.known
        changes = shard.take(frame)
        if changes is None:
            return self._request_whole(now_us, frame.shard, shard)
        self.seq = frame.seq
        changed_rows: list[ListRow] = []
        relisted: list[ListAction] = []
        for row in changes:
            if row.health != DELETED:
                self._hosts.add(row.host, frame.shard)
                changed_rows.append(row)
            elif (other := self._hosts.remove(row.host, frame.shard)) is None:
                changed_rows.append(row)
            else:
                relisted.append(RowsChanged(other, (self._followed[other].rows[row.host],), False))
        return ([RowsChanged(frame.shard, tuple(changed_rows), first)] if first or changed_rows else []) + relisted

    def _request_whole(self, now_us: int, number: int, shard: FollowedShard) -> list[ListAction]:
        """Requests the shard's whole set, once per connection."""
        if shard.requested_again:
            raise RefusedError("digest", f"rows of shard {number} do not fit their digest, again")
        self._refusals.add("digest", f"control machine {self.control}: rows of shard {number} do not fit their digest")
        shard.requested_again = shard.awaits_whole = True
        return [*self._subscribe((number,)), *self._notes(now_us)]

    # --- timers ---

    def next_us(self) -> int:
        """When `tick` is due."""
        return self._last_heard_us + self._silent_us if self._dialling or self._in_use else self._dial_us

    def tick(self, now_us: int) -> list[ListAction]:
        """Does what is due: leaves a silent control machine, or dials the next one."""
        if now_us < self.next_us():
            return []
        if self._dialling or self._in_use:
            control = self._order[self._index]
            return [Disconnect(control), *self._leave(now_us)]
        self._index = (self._index + 1) % len(self._order)
        self._dialling = True
        self._since_us = self._last_heard_us = now_us
        return [Dial(self._order[self._index])]

    def _leave(self, now_us: int) -> list[ListAction]:
        """Leaves the control machine in use or being dialled. Dials the next one at once, but after each round of all
        of them only after a random delay."""
        was_good = self._in_use and self._last_heard_us - self._since_us > self._silent_us
        self._failures = 1 if was_good else self._failures + 1
        self._in_use = self._dialling = False
        rounds, remainder = divmod(self._failures, len(self._order))
        self._dial_us = now_us
        if remainder:
            return self.tick(now_us)
        self._dial_us += self._rng.randrange(min(MAX_BACKOFF_US, FIRST_BACKOFF_US << min(rounds - 1, 16)))
        return []

    def _notes(self, now_us: int) -> list[ListAction]:
        return [Note(line) for line in self._refusals.lines(now_us)]
