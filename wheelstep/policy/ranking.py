"""The order of destinations: which is served next."""

from __future__ import annotations

import heapq
import math

from wheelstep.interface import Decay
from wheelstep.policy.messages import Destination, Message, gain_rises
from wheelstep.policy.sender_state import FEW, SenderState

BOUND_LIFETIME_US = 4_000_000  # about how long a bound on a destination's gain rate is kept
SLOPE_STEP = 1.05  # slopes of bounds are rounded up to powers of this, so that few heaps hold them


class Ranking(SenderState):
    """Orders destinations by the gain rate of a slot there: the worth saved, over the time that a call takes.
    Where there are many, by bounds on it."""

    def _destinations_to_rank(self) -> list[Destination]:
        """Return the ready destinations that must be ranked again: those that changed, or whose bound has
        expired. All where they are few, since bounds then cost more than they save."""
        few = len(self._ready) <= FEW
        if few or not self._using_bounds:
            self._using_bounds = not few
            self._bounds, self._bound_expiries = {}, []
            self._dirty.clear()
            return list(self._ready.values())
        while self._bound_expiries and self._bound_expiries[0][0] <= self._now:
            _, number, rank_number = heapq.heappop(self._bound_expiries)
            if number in self._ready and self._ready[number].rank_number == rank_number:
                self._dirty[number] = self._ready[number]
        dirty, self._dirty = self._dirty, {}
        if sum(map(len, self._bounds.values())) > 4 * len(self._ready):  # outdated ones stay below the top
            rank_numbers = {number: destination.rank_number for number, destination in self._ready.items()}
            for slope, rows in list(self._bounds.items()):
                self._bounds[slope] = [row for row in rows if rank_numbers.get(row[1]) == row[2]]
                heapq.heapify(self._bounds[slope])
        return [destination for number, destination in dirty.items() if number in self._ready]

    def _highest_bound(self) -> tuple[float, int] | None:
        """Return the highest current bound, negated, and its destination's number (None: there are no
        bounds). The order of those with the same slope does not change with time."""
        best: tuple[float, int] | None = None
        for slope, rows in self._bounds.items():
            while rows and (rows[0][1] not in self._ready
                            or self._ready[rows[0][1]].rank_number != rows[0][2]):
                heapq.heappop(rows)
            if rows and (best is None or (rows[0][0] - slope * self._now, rows[0][1]) < best):
                best = rows[0][0] - slope * self._now, rows[0][1]
        return best

    def _rank(self, destination: Destination, ranked: list[tuple[float, int, list[Message]]]) -> None:
        """Add a destination to the heap `ranked`, or drop it from the ready ones if nothing waits there."""
        self._last_rank_number += 1
        destination.rank_number = self._last_rank_number
        if heads := self._heads(destination):
            # By gain over the time that a slot is used. Keeps a destination that has become slow from filling
            # most slots with its own queue; its messages wait while others do.
            tau_us = destination.retry_controller.tau_us
            gain_rate = self._gain(heads[0], tau_us) / max(tau_us, self._t1_us / 8)
            heapq.heappush(ranked, (-gain_rate, destination.number, heads))
        else:
            del self._ready[destination.number]

    def _add_bound(self, destination: Destination, gain_rate: float, heads: list[Message]) -> None:
        """Add an upper bound on a destination's gain rate, and when it expires. While its heads stay the
        same, each one's gain is linear in time between the breakpoints of its worth, now and a horizon later,
        and rises only within a horizon before its promise."""
        tau_us = destination.retry_controller.tau_us
        at_us, horizon_us = self._now + tau_us, self._horizon_us
        is_even = self._settings.decay is Decay.EVEN
        # Not all for equally long, so that thousands of bounds don't expire in one batch.
        kept_us = BOUND_LIFETIME_US * (0.5 + destination.number * 0.618 % 1)
        until_us = at_us + (kept_us if is_even else kept_us / 100)
        for message in heads:
            breakpoints = (message.promised_us - horizon_us, message.promised_us, message.due_us - horizon_us,
                     message.due_us)
            until_us = min(until_us, min((time_us for time_us in breakpoints if time_us > at_us),
                                         default=until_us))
        rise = rate = 0.0
        for message in heads:
            cls = message.cls
            if not is_even:  # worth halves: by how much its worth a horizon later falls until then
                later = message.worth_at(until_us + horizon_us, self._settings.decay)
                rise = max(rise, message.worth_at(at_us + horizon_us, self._settings.decay) - later)
            elif gain_rises(message, at_us, horizon_us):
                rate = max(rate, cls.worth * (1 - cls.late_worth) / max(cls.deadline_us - cls.promise_us, 1))
        slot_us = max(tau_us, self._t1_us / 8)
        slope = SLOPE_STEP ** math.ceil(math.log(rate / slot_us, SLOPE_STEP)) if rate else 0.0
        bound = (gain_rate + rise / slot_us) * (1 + 1e-6) if rate or rise else gain_rate
        rows = self._bounds.setdefault(slope, [])
        heapq.heappush(rows, (slope * self._now - bound, destination.number, destination.rank_number))
        heapq.heappush(self._bound_expiries, (until_us - tau_us, destination.number, destination.rank_number))
