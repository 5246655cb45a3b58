"""One shard of the list as held by a courier, and validation of a control machine's frames. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

from wheelstep.shards.list_rows import DELETED, MAX_SHARD_ROWS, as_deletion, digest_of_sum, hash_of, packed, row_error
from wheelstep.shards.types import ListRow, ShardRows, shard_of

MAX_FRAME_BYTES = 4 << 20  # maximum size of a frame's rows


class RefusedError(Exception):
    """An invalid frame, of which nothing is used. The text says what was found and expected; `reason` is the reason
    that is counted."""

    def __init__(self, reason: str, line: str) -> None:
        super().__init__(line)
        self.reason = reason


def validate(frame: ShardRows, shards: int) -> None:
    """Raises `RefusedError` if the rows are too many or too large, invalid, or of another shard."""
    if len(frame.rows) > MAX_SHARD_ROWS:
        raise RefusedError("size", f"{len(frame.rows)} rows; expected {MAX_SHARD_ROWS} at most")
    size = 0
    for row in frame.rows:
        if error := row_error(row):
            raise RefusedError("row", error)
        if shard_of(row.block, shards) != frame.shard:
            raise RefusedError("shard", f"row of {row.block} in shard {frame.shard}; expected rows of that shard")
        if frame.whole and row.health == DELETED:
            raise RefusedError("row", "DELETED row in a whole set; expected listed rows only")
        size += len(packed(row))
    if size > MAX_FRAME_BYTES:
        raise RefusedError("size", f"{size} bytes of rows; expected {MAX_FRAME_BYTES} at most")


@dataclass(slots=True)
class FollowedShard:
    """The shard's rows by host. A frame whose digest does not match changes nothing."""

    known: bool = False
    awaits_whole: bool = True  # a whole set was requested
    requested_again: bool = False  # requested a second time from the control machine in use
    rows: dict[str, ListRow] = field(default_factory=dict)
    _total: int = 0  # sum of the rows' hashes

    @property
    def digest(self) -> int:
        """The digest of the rows held; 0 while a whole set is awaited."""
        return 0 if self.awaits_whole else digest_of_sum(self._total)

    def take(self, frame: ShardRows) -> tuple[ListRow, ...] | None:
        """Applies the frame and returns the changed rows, removed ones as DELETED; None if the digest does not match.
        Raises `RefusedError` if the shard becomes too large."""
        rows = {} if frame.whole else dict(self.rows)
        total = 0 if frame.whole else self._total
        for row in frame.rows:
            if (before := rows.pop(row.host, None)) is not None:
                total -= hash_of(packed(before))
            if row.health != DELETED:
                rows[row.host] = row
                total += hash_of(packed(row))
        if len(rows) > MAX_SHARD_ROWS:
            raise RefusedError("size", f"shard of {len(rows)} rows; expected {MAX_SHARD_ROWS} at most")
        if digest_of_sum(total) != frame.digest:
            return None
        changes = [row for host, row in rows.items() if self.rows.get(host) != row]
        changes += [as_deletion(row) for host, row in self.rows.items() if host not in rows]
        self.rows, self._total, self.known, self.awaits_whole = rows, total, True, False
        return tuple(changes)


class Hosts:
    """The shards in which each host is listed. A host that moves to a destination in another shard is in both for a
    while, or in neither; as couriers know hosts by name alone, removing it from the old shard must not remove the host.
    """

    def __init__(self) -> None:
        self._shards: dict[str, tuple[int, ...]] = {}

    def add(self, host: str, shard: int) -> None:
        """Adds the shard as the host's last one."""
        self._shards[host] = (*(other for other in self._shards.get(host, ()) if other != shard), shard)

    def remove(self, host: str, shard: int) -> int | None:
        """Removes the shard, and returns the last remaining shard of the host; None if there is none."""
        left = tuple(other for other in self._shards.get(host, ()) if other != shard)
        if left:
            self._shards[host] = left
            return left[-1]
        self._shards.pop(host, None)
        return None
