"""Which destination is next."""

from __future__ import annotations

import heapq
import math

from wheelstep.interface import Decay
from wheelstep.policy.holding import FEW, Holding
from wheelstep.policy.messages import Destination, Message, marks_rise

BOUND_US = 4_000_000  # for about so long a bound on what a destination can earn is kept
RATES = 1.05  # bounds that rise at about the same rate, to this factor, count as rising alike


class Ranking(Holding):
    """Destinations by what a slot earns there. Where they are many, by bounds on it."""

    def _changed(self) -> list[Destination]:
        """The ready destinations that must be looked at anew: those with news, or whose bound has lapsed. All
        where they are few, since bounds cost more than they save then."""
        few = len(self._ready) <= FEW
        if few or not self._bounding:
            self._bounding = not few
            self._bounds, self._lapses = {}, []
            self._news.clear()
            return list(self._ready.values())
        while self._lapses and self._lapses[0][0] <= self._now:
            _, number, stamp = heapq.heappop(self._lapses)
            if number in self._ready and self._ready[number].stamp == stamp:
                self._news[number] = self._ready[number]
        news, self._news = self._news, {}
        if sum(map(len, self._bounds.values())) > 4 * len(self._ready):  # old ones that never came to the top
            stamps = {number: destination.stamp for number, destination in self._ready.items()}
            for slope, rows in list(self._bounds.items()):
                self._bounds[slope] = [row for row in rows if stamps.get(row[1]) == row[2]]
                heapq.heapify(self._bounds[slope])
        return [destination for number, destination in news.items() if number in self._ready]

    def _topmost(self) -> tuple[float, int] | None:
        """The highest bound just now, negative, and whose it is. Of those that rise alike the order stays."""
        best: tuple[float, int] | None = None
        for slope, rows in self._bounds.items():
            while rows and (rows[0][1] not in self._ready or self._ready[rows[0][1]].stamp != rows[0][2]):
                heapq.heappop(rows)
            if rows and (best is None or (rows[0][0] - slope * self._now, rows[0][1]) < best):
                best = rows[0][0] - slope * self._now, rows[0][1]
        return best

    def _rank(self, destination: Destination, ranked: list[tuple[float, int, list[Message]]]) -> None:
        self._stamp += 1
        destination.stamp = self._stamp
        if heads := self._heads(destination):
            # By what a slot earns in its time. Guards the slots against a destination that has become slow
            # and would turn most of them into its own queue; it harms its messages while others wait.
            tau_us = destination.loop.tau_us
            earns = self._gain(heads[0], tau_us) / max(tau_us, self._t1_us / 8)
            heapq.heappush(ranked, (-earns, destination.number, heads))
        else:
            del self._ready[destination.number]

    def _bound(self, destination: Destination, earns: float, heads: list[Message]) -> None:
        """What it can earn at most, and until when that holds. While its heads stay the same, each one's gain
        is linear in time between the marks at which it or its later self changes pace, and rises only within
        a horizon before its promise."""
        tau_us = destination.loop.tau_us
        at_us, horizon_us = self._now + tau_us, self._horizon_us
        even = self._s.decay is Decay.EVEN
        # Not all for equally long: guards a round against thousands of bounds that lapse at once.
        kept_us = BOUND_US * (0.5 + destination.number * 0.618 % 1)
        until_us = at_us + (kept_us if even else kept_us / 100)
        for message in heads:
            marks = (message.promised_us - horizon_us, message.promised_us, message.due_us - horizon_us,
                     message.due_us)
            until_us = min(until_us, min((mark for mark in marks if mark > at_us), default=until_us))
        rise = rate = 0.0
        for message in heads:
            cls = message.cls
            if not even:  # falls by halves: what its later self is now, less what it will be by then
                later = message.worth_at(until_us + horizon_us, self._s.decay)
                rise = max(rise, message.worth_at(at_us + horizon_us, self._s.decay) - later)
            elif marks_rise(message, at_us, horizon_us):
                rate = max(rate, cls.worth * (1 - cls.late_worth) / max(cls.deadline_us - cls.promise_us, 1))
        slot_us = max(tau_us, self._t1_us / 8)
        slope = RATES ** math.ceil(math.log(rate / slot_us, RATES)) if rate else 0.0
        most = (earns + rise / slot_us) * (1 + 1e-6) if rate or rise else earns
        rows = self._bounds.setdefault(slope, [])
        heapq.heappush(rows, (slope * self._now - most, destination.number, destination.stamp))
        heapq.heappush(self._lapses, (until_us - tau_us, destination.number, destination.stamp))
