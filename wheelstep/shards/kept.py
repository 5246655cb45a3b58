"""What other couriers told of shards that are not open here, until they open. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

from wheelstep.shards.learned import MOST_US
from wheelstep.shards.types import EndpointHealth, Learned

_FRESH_US = 10_000_000  # a handover that is older says nothing of the present one
_ROW_BYTES = 300


@dataclass(slots=True)
class _Shelf:
    healths: dict[str, tuple[int, EndpointHealth]] = field(default_factory=dict)  # the moment when it was noted
    waits: dict[str, int] = field(default_factory=dict)  # until then
    handover_us: int | None = None
    size: int = 0


class Kept:
    """By shard, for `most` shards and `most_bytes` (an estimate); the shard that was heard of longest ago goes. Of two
    tellings for one endpoint the one noted later wins, of two waits the longer."""

    def __init__(self, most: int, most_bytes: int) -> None:
        self._most = most
        self._most_bytes = most_bytes
        self._shards: dict[int, _Shelf] = {}
        self.size = 0

    def __len__(self) -> int:
        return len(self._shards)

    def keep(self, now_us: int, frame: Learned) -> None:
        """It has been found sound."""
        shelf = self._shards.pop(frame.shard, None) or _Shelf()
        self._shards[frame.shard] = shelf
        self.size -= shelf.size
        for health in frame.healths:
            noted_us = now_us - health.ago_us
            held = shelf.healths.get(health.endpoint)
            if held is None or noted_us > held[0] or (noted_us == held[0] and frame.handover):
                shelf.healths[health.endpoint] = noted_us, health
        shelf.waits = {endpoint: until_us for endpoint, until_us in shelf.waits.items() if until_us > now_us}
        for endpoint, left_us in frame.waits:
            shelf.waits[endpoint] = max(shelf.waits.get(endpoint, 0), now_us + left_us)
        if frame.handover:
            shelf.handover_us = now_us
        shelf.size = _ROW_BYTES * (1 + len(shelf.healths) + len(shelf.waits))
        shelf.size += sum(map(len, shelf.healths)) + sum(map(len, shelf.waits))
        self.size += shelf.size
        while self._shards and (len(self._shards) > self._most or self.size > self._most_bytes):
            self.size -= self._shards.pop(next(iter(self._shards))).size

    def take(self, now_us: int, shard: int
             ) -> tuple[tuple[EndpointHealth, ...], tuple[tuple[str, int], ...], bool] | None:
        """Healths and waits as they are now, and whether a handover has just come; it is kept no more."""
        shelf = self._shards.pop(shard, None)
        if shelf is None:
            return None
        self.size -= shelf.size
        healths = tuple(EndpointHealth(health.endpoint, min(MOST_US, max(0, now_us - noted_us)), health.fields)
                        for noted_us, health in shelf.healths.values())
        waits = tuple((endpoint, until_us - now_us) for endpoint, until_us in shelf.waits.items() if until_us > now_us)
        return healths, waits, shelf.handover_us is not None and now_us - shelf.handover_us <= _FRESH_US
