"""One shard of the list as a courier has it, and what of a control machine's frames may be taken. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

from wheelstep.shards.list_rows import DELETED, SHARD_ROWS, deleted, digest_of_sum, fault_of, hash_of, packed
from wheelstep.shards.types import ListRow, ShardRows, shard_of

FRAME_BYTES = 4 << 20  # of a frame's rows, at most


class RefusedError(Exception):
    """A frame that nothing is taken of; what was found and expected."""

    def __init__(self, why: str, line: str) -> None:
        super().__init__(line)
        self.why = why


def check(frame: ShardRows, shards: int) -> None:
    """Raises `RefusedError` for rows that are too many, unfit, or another shard's."""
    if len(frame.rows) > SHARD_ROWS:
        raise RefusedError("size", f"{len(frame.rows)} rows; expected {SHARD_ROWS} at most")
    size = 0
    for row in frame.rows:
        if fault := fault_of(row):
            raise RefusedError("row", fault)
        if shard_of(row.block, shards) != frame.shard:
            raise RefusedError("shard", f"a row of {row.block} for shard {frame.shard}; expected rows of that shard")
        if frame.whole and row.health == DELETED:
            raise RefusedError("row", "DELETED in a whole set; expected rows that are listed")
        size += len(packed(row))
    if size > FRAME_BYTES:
        raise RefusedError("size", f"{size} bytes of rows; expected {FRAME_BYTES} at most")


@dataclass(slots=True)
class FollowedShard:
    """Its rows by host. What doesn't fit the digest told with it changes nothing."""

    known: bool = False
    awaits: bool = True  # a whole set was asked for
    again: bool = False  # asked anew of the control machine in use
    rows: dict[str, ListRow] = field(default_factory=dict)
    _total: int = 0  # of the rows' hashes

    @property
    def digest(self) -> int:
        """Of the rows that are here; 0 where a whole set is needed."""
        return 0 if self.awaits else digest_of_sum(self._total)

    def take(self, frame: ShardRows) -> tuple[ListRow, ...] | None:
        """The changes that it makes, with rows that are gone as DELETED; None where it does not fit. Raises
        `RefusedError` where the shard gets too large."""
        rows = {} if frame.whole else dict(self.rows)
        total = 0 if frame.whole else self._total
        for row in frame.rows:
            if (before := rows.pop(row.host, None)) is not None:
                total -= hash_of(packed(before))
            if row.health != DELETED:
                rows[row.host] = row
                total += hash_of(packed(row))
        if len(rows) > SHARD_ROWS:
            raise RefusedError("size", f"shard of {len(rows)} rows; expected {SHARD_ROWS} at most")
        if digest_of_sum(total) != frame.digest:
            return None
        changes = [row for host, row in rows.items() if self.rows.get(host) != row]
        changes += [deleted(row) for host, row in self.rows.items() if host not in rows]
        self.rows, self._total, self.known, self.awaits = rows, total, True, False
        return tuple(changes)


class Hosts:
    """In which shards a host is listed here. A host that moves to a destination of another shard is in both for a
    while, or in neither; couriers know hosts by name alone, so it must not be taken away for the one it has left."""

    def __init__(self) -> None:
        self._shards: dict[str, tuple[int, ...]] = {}

    def add(self, host: str, shard: int) -> None:
        """It is listed there; the one added last is last."""
        self._shards[host] = (*(other for other in self._shards.get(host, ()) if other != shard), shard)

    def remove(self, host: str, shard: int) -> int | None:
        """It is not listed there; the shard added last of those where it still is."""
        left = tuple(other for other in self._shards.get(host, ()) if other != shard)
        if left:
            self._shards[host] = left
            return left[-1]
        self._shards.pop(host, None)
        return None
