"""A control machine's decisions: keeps the list by shard and sends each courier the shards it follows. No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from itertools import islice

from wheelstep.shards.list_rows import DELETED, as_deletion
from wheelstep.shards.list_table import ListTable
from wheelstep.shards.refusals import Refusals
from wheelstep.shards.types import Behind, Current, Follow, Frame, ListRow, ShardRows, Unfollow

SLICE_ROWS = 1_000  # rows handled in one step of a whole list
SLICE_CHANGES = 200  # rows handled in one step of changes
MAX_ANSWER_BYTES = 256 << 10  # of rows to one peer at a time; the rest follows later
ANSWER_PAUSE_US = 50_000  # the pause before the rest
NEVER_US = 1 << 62

Tells = list[tuple[str, Frame]]


@dataclass(slots=True)
class _Peer:
    follows: set[int] = field(default_factory=set)
    owed: dict[int, None] = field(default_factory=dict)  # shards to be sent whole, in this order
    pending_follows: dict[int, int] | None = None  # followed, with digests, once the list here is new enough
    awaited_seq: int = 0


class ListServer:
    """Rows by shard and followers by shard. Bounded by `max_peers` peers, each following a shard once."""

    def __init__(self, shards: int, current_us: int = 2_000_000, max_peers: int = 4_096) -> None:
        self._shards, self._current_interval_us, self._max_peers = shards, current_us, max_peers
        self._table = ListTable(shards)
        self._has_list = False  # whether any whole list has been received
        self._peers: dict[str, _Peer] = {}
        self._followers: dict[int, set[str]] = {}
        self._current_due_us = self._owed_due_us = NEVER_US
        self.seq = 0
        self._refusals = Refusals("list by shard")

    def __len__(self) -> int:
        return len(self._table)

    @property
    def peers(self) -> int:
        """The number of peers."""
        return len(self._peers)

    def rows_of(self, shard: int) -> tuple[ListRow, ...]:
        """The shard's current rows."""
        return self._table.rows(shard)

    def digest(self, shard: int) -> int:
        """The digest of the shard's rows."""
        return self._table.digest(shard)

    # --- from discovery ---

    def listed(self, now_us: int, seq: int, whole: bool, rows: Iterable[ListRow]) -> Tells:
        """Applies a list, or changes of it, and returns the frames to send. The version sent never decreases: a whole
        list with a lower one means that discovery has started counting again, and is sent with the highest version so
        far."""
        return [tell for step in self.steps(now_us, seq, whole, rows) for tell in step]

    def steps(self, now_us: int, seq: int, whole: bool, rows: Iterable[ListRow]) -> Iterator[Tells]:
        """As `listed`, in small steps between which an event loop can run. A whole list takes effect with its last
        step, changes with each; the next call must not start before the last step."""
        if not whole:
            yield from self._changes(now_us, seq, rows)
            return
        table, left = ListTable(self._shards), SLICE_ROWS
        for row in rows:
            if row.health != DELETED and table.apply(row) is None:
                self._refusals.add("shard-rows", f"one row too many in the shard of {row.block}")
            left -= 1
            if not left:
                left = SLICE_ROWS
                yield []
        yield self._replace(now_us, seq, table)

    def _replace(self, now_us: int, seq: int, table: ListTable) -> Tells:
        before, self._table, self._has_list = self._table, table, True
        self.seq = max(self.seq, seq)
        tells: Tells = []
        for shard, names in self._followers.items():
            if before.digest(shard) != table.digest(shard):
                tells += self._differences(shard, names, before.rows(shard), table.rows(shard))
        return tells + self._answer_pending(now_us)

    def _differences(self, shard: int, names: Iterable[str], before: tuple[ListRow, ...],
                     rows: tuple[ListRow, ...]) -> Tells:
        """All rows or those that differ, whichever are fewer, for followers that have the previous rows."""
        known, hosts = set(before), {row.host for row in rows}
        changes = [row for row in rows if row not in known]
        changes += [as_deletion(row) for row in before if row.host not in hosts]
        whole = len(changes) >= len(rows)
        frame = ShardRows(self.seq, shard, self._table.digest(shard), whole, rows if whole else tuple(changes))
        return [(name, frame) for name in sorted(names) if shard not in self._peers[name].owed]

    def _changes(self, now_us: int, seq: int, rows: Iterable[ListRow]) -> Iterator[Tells]:
        """Applies changes slice by slice, all under the new version: a courier that has part of it must not receive
        older rows."""
        self.seq, left = max(self.seq, seq), iter(rows)
        while part := list(islice(left, SLICE_CHANGES)):
            before: dict[int, tuple[ListRow, ...]] = {}
            for row in part:
                for shard in self._table.shards_of(row):
                    if shard not in before and shard in self._followers:
                        before[shard] = self._table.rows(shard)
                if self._table.apply(row) is None:
                    self._refusals.add("shard-rows", f"one row too many in the shard of {row.block}")
            tells: Tells = []
            for shard, old in before.items():
                new = self._table.rows(shard)
                if set(new) != set(old):
                    tells += self._differences(shard, self._followers[shard], old, new)
            yield tells
        yield self._answer_pending(now_us)

    def _answer_pending(self, now_us: int) -> Tells:
        tells: Tells = []
        for name, peer in self._peers.items():
            if peer.pending_follows is not None and self._has_list and peer.awaited_seq <= self.seq:
                digests, peer.pending_follows = peer.pending_follows, None
                tells += self._follow(now_us, name, peer, digests)
        return tells

    # --- from couriers ---

    def heard(self, now_us: int, peer: str, frame: Frame) -> Tells:
        """Handles a courier's frame and returns the frames to send. An invalid frame is refused and changes nothing."""
        match frame:
            case Follow():
                return self._heard_follow(now_us, peer, frame)
            case Unfollow() if self._in_range(peer, frame.shards, "Unfollow"):
                if (known := self._peers.get(peer)) is not None:
                    for shard in frame.shards:
                        self._unfollow(peer, known, shard)
                    if known.pending_follows is not None:
                        for shard in frame.shards:
                            known.pending_follows.pop(shard, None)
            case Unfollow():
                pass
            case _:
                self._refusals.add("frame", f"{peer}: {type(frame).__name__}; expected Follow or Unfollow")
        return []

    def _heard_follow(self, now_us: int, name: str, frame: Follow) -> Tells:
        if not self._in_range(name, [shard for shard, _ in frame.shards], "Follow"):
            return []
        peer = self._peers.get(name)
        if peer is None:
            if len(self._peers) >= self._max_peers:
                self._refusals.add("peers", f"{name}: refused as peer; expected at most {self._max_peers} peers")
                return []
            peer = self._peers[name] = _Peer()
            self._current_due_us = min(self._current_due_us, now_us + self._current_interval_us)
        if peer.pending_follows is not None or frame.seq > self.seq or not self._has_list:
            peer.pending_follows = {**(peer.pending_follows or {}), **dict(frame.shards)}
            peer.awaited_seq = max(peer.awaited_seq, frame.seq)
            return [(name, Behind(self.seq))]
        return self._follow(now_us, name, peer, dict(frame.shards))

    def _follow(self, now_us: int, name: str, peer: _Peer, digests: dict[int, int]) -> Tells:
        for shard, digest in digests.items():
            peer.follows.add(shard)
            self._followers.setdefault(shard, set()).add(name)
            if digest != self._table.digest(shard):
                peer.owed[shard] = None
        return self._answer(now_us, name, peer)

    def _answer(self, now_us: int, name: str, peer: _Peer) -> Tells:
        """The shards owed to the peer, up to the limit for one turn."""
        tells: Tells = []
        room = MAX_ANSWER_BYTES
        while peer.owed and room > 0:
            shard = next(iter(peer.owed))
            del peer.owed[shard]
            room -= self._table.bytes_of(shard) + 32
            tells.append((name, ShardRows(self.seq, shard, self._table.digest(shard), True, self._table.rows(shard))))
        if peer.owed:
            self._owed_due_us = min(self._owed_due_us, now_us + ANSWER_PAUSE_US)
        else:
            tells.append((name, Current(self.seq)))
        return tells

    def _unfollow(self, name: str, peer: _Peer, shard: int) -> None:
        peer.follows.discard(shard)
        peer.owed.pop(shard, None)
        if (names := self._followers.get(shard)) is not None:
            names.discard(name)
            if not names:
                del self._followers[shard]

    def gone(self, peer: str) -> None:
        """The peer's connection has ended."""
        if (known := self._peers.pop(peer, None)) is not None:
            for shard in list(known.follows):
                self._unfollow(peer, known, shard)
        if not self._peers:
            self._current_due_us = self._owed_due_us = NEVER_US

    # --- timers ---

    def next_us(self) -> int:
        """When `tick` is due."""
        return min(self._current_due_us, self._owed_due_us)

    def tick(self, now_us: int) -> Tells:
        """Sends what is due."""
        tells: Tells = []
        if now_us >= self._owed_due_us:
            self._owed_due_us = NEVER_US
            for name, peer in self._peers.items():
                if peer.owed:
                    tells += self._answer(now_us, name, peer)
        if now_us >= self._current_due_us:
            self._current_due_us = now_us + self._current_interval_us
            tells += [(name, Current(self.seq)) for name, peer in self._peers.items()
                      if not peer.owed and peer.pending_follows is None]
        return tells

    # --- refused input ---

    def _in_range(self, peer: str, shards: list[int] | tuple[int, ...], what: str) -> bool:
        if len(shards) > self._shards:
            self._refusals.add("size", f"{peer}: {what} of {len(shards)} shards; expected {self._shards} at most")
        elif any(not 0 <= shard < self._shards for shard in shards):
            self._refusals.add("shard", f"{peer}: {what} of a shard out of range; expected 0 to {self._shards - 1}")
        else:
            return True
        return False

    @property
    def refused(self) -> Counter[str]:
        """Counts of refused input, by reason."""
        return self._refusals.counts

    def notes(self, now_us: int) -> list[str]:
        """Lines for operators about refused input: one per reason in 10 seconds at most."""
        return self._refusals.lines(now_us)
