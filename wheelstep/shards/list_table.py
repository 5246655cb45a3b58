"""The whole list by shard in packed form: a control machine's memory. No I/O."""

from __future__ import annotations

from array import array

import msgspec
import xxhash

from wheelstep.shards.list_rows import DELETED, MAX_SHARD_ROWS, digest_of_sum, hash_of, packed
from wheelstep.shards.types import ListRow, shard_of

_ROWS = msgspec.msgpack.Decoder(tuple[ListRow, ...])
_MASK = (1 << 64) - 1


class ListTable:
    """Rows are stored as msgpack, in one byte array per shard; a host is indexed by 60 bits of its hash (an int of 32
    bytes). A change costs as much as its shard has rows, about ten."""

    def __init__(self, shards: int) -> None:
        self._shards = shards
        self._numbers = list(range(shards))  # one int object per shard, shared by the index
        self._data: list[bytearray | None] = [None] * shards
        self._counts = array("L", bytes(array("L").itemsize * shards))
        self._hash_sums = array("Q", bytes(8 * shards))
        self._shard_by_host: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self._shard_by_host)

    def digest(self, shard: int) -> int:
        """The digest of the shard's rows; never 0."""
        return digest_of_sum(self._hash_sums[shard])

    def bytes_of(self, shard: int) -> int:
        """The size of the shard's packed rows."""
        data = self._data[shard]
        return len(data) if data is not None else 0

    def rows(self, shard: int) -> tuple[ListRow, ...]:
        """The shard's rows, in no particular order."""
        count = self._counts[shard]
        return _ROWS.decode(b"\xdd" + count.to_bytes(4, "big") + (self._data[shard] or b""))

    def shards_of(self, row: ListRow) -> set[int]:
        """The shards that `apply` may change: the row's own, and the one in which its host is listed."""
        before = self._shard_by_host.get(_host_key(row.host))
        return {shard_of(row.block, self._shards)} | (set() if before is None else {before})

    def apply(self, row: ListRow) -> set[int] | None:
        """Adds, replaces or (if it is DELETED) removes a row, and returns the shards that changed. None, with nothing
        done, if the shard is full."""
        key, shard = _host_key(row.host), shard_of(row.block, self._shards)
        before = self._shard_by_host.get(key)
        if row.health == DELETED:
            return set() if before is None else self._remove(key, before, row.host)
        if before != shard and self._counts[shard] >= MAX_SHARD_ROWS:
            return None
        data = packed(row)
        if before is not None:
            if before == shard and any(packed(known) == data for known in self.rows(shard) if known.host == row.host):
                return set()
            changed = self._remove(key, before, row.host)
        else:
            changed = set()
        self._shard_by_host[key] = self._numbers[shard]
        held = self._data[shard]
        if held is None:
            self._data[shard] = bytearray(data)
        else:
            held += data
        self._counts[shard] += 1
        self._hash_sums[shard] = (self._hash_sums[shard] + hash_of(data)) & _MASK
        changed.add(shard)
        return changed

    def _remove(self, key: int, shard: int, host: str) -> set[int]:
        del self._shard_by_host[key]
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
        self._data[shard], self._counts[shard], self._hash_sums[shard] = left or None, count, total & _MASK
        return {shard} if changed else set()


def _host_key(host: str) -> int:
    return xxhash.xxh3_64_intdigest(host.encode()) >> 4
