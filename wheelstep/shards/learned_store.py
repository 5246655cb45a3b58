"""Learned state received from other couriers for shards that are not open here, stored until they open. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

from wheelstep.shards.learned_state import MAX_US
from wheelstep.shards.types import EndpointHealth, LearnedState

_FRESH_US = 10_000_000  # an older handover belongs to an earlier change of home
_ESTIMATED_ROW_BYTES = 300


@dataclass(slots=True)
class _StoredState:
    healths: dict[str, tuple[int, EndpointHealth]] = field(default_factory=dict)  # the time of the observation
    waits: dict[str, int] = field(default_factory=dict)  # end of each wait
    handover_us: int | None = None
    size: int = 0


class LearnedStore:
    """State by shard, for `max_shards` shards and `max_bytes` (estimated); the shard updated longest ago is dropped
    first. For each endpoint the later observation wins, and the longer wait."""

    def __init__(self, max_shards: int, max_bytes: int) -> None:
        self._max_shards = max_shards
        self._max_bytes = max_bytes
        self._shards: dict[int, _StoredState] = {}
        self.estimated_bytes = 0

    def __len__(self) -> int:
        return len(self._shards)

    def store(self, now_us: int, frame: LearnedState) -> None:
        """Stores a frame that has been validated."""
        state = self._shards.pop(frame.shard, None) or _StoredState()
        self._shards[frame.shard] = state
        self.estimated_bytes -= state.size
        for health in frame.healths:
            noted_us = now_us - health.ago_us
            held = state.healths.get(health.endpoint)
            if held is None or noted_us > held[0] or (noted_us == held[0] and frame.handover):
                state.healths[health.endpoint] = noted_us, health
        state.waits = {endpoint: until_us for endpoint, until_us in state.waits.items() if until_us > now_us}
        for endpoint, left_us in frame.waits:
            state.waits[endpoint] = max(state.waits.get(endpoint, 0), now_us + left_us)
        if frame.handover:
            state.handover_us = now_us
        state.size = _ESTIMATED_ROW_BYTES * (1 + len(state.healths) + len(state.waits))
        state.size += sum(map(len, state.healths)) + sum(map(len, state.waits))
        self.estimated_bytes += state.size
        while self._shards and (len(self._shards) > self._max_shards or self.estimated_bytes > self._max_bytes):
            self.estimated_bytes -= self._shards.pop(next(iter(self._shards))).size

    def take(self, now_us: int, shard: int
             ) -> tuple[tuple[EndpointHealth, ...], tuple[tuple[str, int], ...], bool] | None:
        """Removes the shard's state and returns healths with their present ages, waits with the microseconds left, and
        whether a handover of the last 10 s is part of it. None if nothing is stored."""
        state = self._shards.pop(shard, None)
        if state is None:
            return None
        self.estimated_bytes -= state.size
        healths = tuple(EndpointHealth(health.endpoint, min(MAX_US, max(0, now_us - noted_us)), health.fields)
                        for noted_us, health in state.healths.values())
        waits = tuple((endpoint, until_us - now_us) for endpoint, until_us in state.waits.items() if until_us > now_us)
        return healths, waits, state.handover_us is not None and now_us - state.handover_us <= _FRESH_US
