"""The order of destinations: which is served next."""

import heapq

from wheelstep.interface import Decay
from wheelstep.linear_bounds import LinearBounds
from wheelstep.policy.messages import Destination, Message
from wheelstep.policy.sender_state import FEW, SenderState

BOUND_LIFETIME_US = 4_000_000  # mean time that a bound on a gain rate is kept; not all expire at once
Ranked = list[tuple[float, int, list[Message]]]  # a heap: gain rate, negated; destination number; heads


class Ranking(SenderState):
    """Orders destinations by the gain rate of a slot there; where there are many, by bounds on it."""

    def _destinations_to_rank(self) -> list[Destination]:
        """Return the ready destinations that changed, or whose bound has expired; all where they are few."""
        few = len(self._ready) <= FEW
        if few or not self._using_bounds:
            self._using_bounds = not few
            self._bounds = LinearBounds()
            self._dirty.clear()
            return list(self._ready.values())
        for number in self._bounds.pop_expired(self._now):
            if number in self._ready:
                self._dirty[number] = self._ready[number]
        dirty, self._dirty = self._dirty, {}
        self._bounds.drop_outdated(len(self._ready))
        return [destination for number, destination in dirty.items() if number in self._ready]

    def _drop_ready(self, number: int) -> None:
        del self._ready[number]
        self._bounds.remove(number)

    def _rank(self, destination: Destination, ranked: Ranked) -> None:
        """Rank a destination by gain over the time of a slot, or leave it out if nothing waits there."""
        self._bounds.remove(destination.number)
        if heads := self._heads(destination):
            tau_us = destination.retry_controller.tau_us
            gain_rate = self._gain(heads[0], tau_us) / max(tau_us, self._t1_us / 8)
            heapq.heappush(ranked, (-gain_rate, destination.number, heads))
        else:
            self._drop_ready(destination.number)

    def _add_bound(self, destination: Destination, gain_rate: float, heads: list[Message]) -> None:
        """Add an upper bound on a destination's gain rate, linear until a head's worth has a breakpoint."""
        tau_us = destination.retry_controller.tau_us
        at_us, horizon_us = self._now + tau_us, self._horizon_us
        is_even = self._settings.decay is Decay.EVEN
        kept_us = BOUND_LIFETIME_US * (0.5 + destination.number * 0.618 % 1)
        until_us = at_us + (kept_us if is_even else kept_us / 100)
        for message in heads:
            breakpoints = (message.promised_us - horizon_us, message.promised_us,
                           message.due_us - horizon_us, message.due_us)
            until_us = min(until_us, *(time_us for time_us in breakpoints if time_us > at_us), until_us)
        rise = rate = 0.0
        for message in heads:
            cls = message.cls
            if not is_even:  # worth halves: by how much its worth a horizon later falls until then
                later = message.worth_at(until_us + horizon_us, self._settings.decay)
                rise = max(rise, message.worth_at(at_us + horizon_us, self._settings.decay) - later)
            elif at_us <= message.promised_us <= at_us + horizon_us < message.due_us:  # its gain rises
                rate = max(rate, cls.worth * (1 - cls.late_worth) / max(cls.deadline_us - cls.promise_us, 1))
        slot_us = max(tau_us, self._t1_us / 8)
        bound = (gain_rate + rise / slot_us) * (1 + 1e-6) if rate or rise else gain_rate
        self._bounds.add(destination.number, self._now, bound, rate / slot_us, until_us - tau_us)
