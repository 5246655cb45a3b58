"""The whole list by shard, packed: a control machine's memory. No I/O."""

from __future__ import annotations

from array import array

import msgspec
import xxhash

from wheelstep.shards.list_rows import DELETED, SHARD_ROWS, digest_of_sum, hash_of, packed
from wheelstep.shards.types import ListRow, shard_of

_ROWS = msgspec.msgpack.Decoder(tuple[ListRow, ...])
_MASK = (1 << 64) - 1


class ListTable:
    """Rows stay in msgpack, one array of bytes a shard; a host is found by 60 bits of its hash (an int of 32 bytes).
    A change costs what its shard holds, some ten rows."""

    def __init__(self, shards: int) -> None:
        self._shards = shards
        self._numbers = list(range(shards))  # one int a shard, shared by the index
        self._data: list[bytearray | None] = [None] * shards
        self._counts = array("L", bytes(array("L").itemsize * shards))
        self._sums = array("Q", bytes(8 * shards))
        self._where: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self._where)

    def digest(self, shard: int) -> int:
        """Of the shard's rows; never 0."""
        return digest_of_sum(self._sums[shard])

    def bytes_of(self, shard: int) -> int:
        """How long its rows are."""
        data = self._data[shard]
        return len(data) if data is not None else 0

    def rows(self, shard: int) -> tuple[ListRow, ...]:
        """The shard's rows, in no stated order."""
        count = self._counts[shard]
        return _ROWS.decode(b"\xdd" + count.to_bytes(4, "big") + (self._data[shard] or b""))

    def shards_of(self, row: ListRow) -> set[int]:
        """The shards that `apply` may change: the row's own, and the one in which its host is known."""
        before = self._where.get(_key(row.host))
        return {shard_of(row.block, self._shards)} | (set() if before is None else {before})

    def apply(self, row: ListRow) -> set[int] | None:
        """Add, replace or, where it is DELETED, take away a row; the shards whose rows are others now. None, and
        nothing done, for one row too many in a shard."""
        key, shard = _key(row.host), shard_of(row.block, self._shards)
        before = self._where.get(key)
        if row.health == DELETED:
            return set() if before is None else self._drop(key, before, row.host)
        if before != shard and self._counts[shard] >= SHARD_ROWS:
            return None
        data = packed(row)
        if before is not None:
            if before == shard and any(packed(known) == data for known in self.rows(shard) if known.host == row.host):
                return set()
            changed = self._drop(key, before, row.host)
        else:
            changed = set()
        self._where[key] = self._numbers[shard]
        held = self._data[shard]
        if held is None:
            self._data[shard] = bytearray(data)
        else:
            held += data
        self._counts[shard] += 1
        self._sums[shard] = (self._sums[shard] + hash_of(data)) & _MASK
        changed.add(shard)
        return changed

    def _drop(self, key: int, shard: int, host: str) -> set[int]:
        del self._where[key]
        left, total, changed = bytearray(), 0, False
        count = 0
        for row in self.rows(shard):
            if row.host == host:
                changed = True
                continue
            data = packed(row)
            left += data
            total += hash_of(data)
            count += 1
        self._data[shard], self._counts[shard], self._sums[shard] = left or None, count, total & _MASK
        return {shard} if changed else set()


def _key(host: str) -> int:
    return xxhash.xxh3_64_intdigest(host.encode()) >> 4
