"""A partner's behaviour without I/O: rate limits, queue and lanes, faults, capacity after an outage.

Times are microseconds.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from wheelstep.rehearsal import warmth
from wheelstep.rehearsal.history import Figures
from wheelstep.rehearsal.plan import Limit, Partner

OUTAGE_FAULTS = frozenset({"silent", "hang", "refuse", "shut", "fail"})
OUTAGE_FAIL_SHARE = 0.5  # a fault "fail" with at least this share of failing calls is an outage


class RateLimiter:
    """A partner's rate limit, shared by its endpoints and by all couriers.

    A token bucket of half a second's rate, or a count per window if the limit has a window.
    """

    def __init__(self, limit: Limit) -> None:
        self._limit = limit
        self._depth = max(1.0, limit.per_s * (limit.window_us / 1e6 if limit.window_us else 0.5))
        self._left, self._at_us, self._window = self._depth, 0, -1

    def _refill(self, now_us: int) -> None:
        if self._limit.window_us:
            if (window := now_us // self._limit.window_us) != self._window:
                self._window, self._left = window, self._depth
        else:
            self._left = min(self._depth, self._left + (now_us - self._at_us) * self._limit.per_s / 1e6)
        self._at_us = now_us

    def try_acquire(self, now_us: int, messages: int) -> bool:
        """Take the capacity for a call with `messages` messages; return False if there is too little.

        If rejections count against the limit, a rejected call takes the capacity of one message.
        """
        self._refill(now_us)
        if self._left >= messages:
            self._left -= messages
            return True
        if self._limit.refused_count:
            self._left = max(0.0, self._left - 1)
        return False

    def wait_us(self, now_us: int) -> int:
        """Return the wait that a rejection announces, after which there is capacity again; 0 if it announces none."""
        if not self._limit.wait_us:
            return 0
        if self._limit.window_us:
            return max(self._limit.wait_us, self._limit.window_us - now_us % self._limit.window_us)
        return max(self._limit.wait_us, round((1 - min(self._left, 1.0)) / self._limit.per_s * 1e6))

    def load_report(self, now_us: int) -> str:
        """Return the value of X-Load: the free share of the limit (x0) and its rate per second (x1)."""
        self._refill(now_us)
        return f"x0={max(0.0, self._left) / self._depth:.3f},x1={self._limit.per_s:.3f}"


@dataclass(slots=True, eq=False)
class QueuedCall:
    """A call in an endpoint's queue or being served; `done` is called when it has been served."""

    work_us: int
    messages: int
    done: Callable[[], None]
    cancelled: bool = False
    served: bool = False


@dataclass(slots=True)
class ActiveFaults:
    """The faults that an endpoint has at the moment."""

    shares: dict[str, float] = field(default_factory=dict)  # by kind: the share of calls that it applies to
    wait_us: int = 0
    reset_before: bool = False


class EndpointModel:
    """One endpoint's queue, lanes and state. `call_at(at_us, callback)` schedules on the rehearsal's clock.

    `draws` are random numbers from 0 to 1, used in turn to decide what happens with a probability.
    """

    def __init__(self, partner: Partner, figures: Figures, limiter: RateLimiter | None, draws: Sequence[float],
                 call_at: Callable[[int, Callable[[], None]], None], now: Callable[[], int]) -> None:
        self.partner, self.active_faults = partner, ActiveFaults()
        self._figures, self._limiter, self._draws, self._call_at, self._now = figures, limiter, draws, call_at, now
        self._busy = 0
        self._waiting: deque[QueuedCall] = deque()
        self._draw_index = 0
        self._stalled_until_us = 0
        self._recovered_us: int | None = None
        self._recent_load: list[tuple[int, float]] = []
        self.collapsed = self.draining = False

    # --- faults ---

    def stall(self, until_us: int) -> None:
        """Start and finish no call until `until_us`."""
        self._stalled_until_us = max(self._stalled_until_us, until_us)

    def recover(self, at_us: int) -> None:
        """End an outage: from `at_us` on the endpoint is cold, with reduced capacity that grows with time."""
        self._recovered_us, self._recent_load = at_us, []

    def occurs(self, share: float) -> bool:
        """Return whether an event with the probability `share` happens this time."""
        self._draw_index += 1
        return self._draws[self._draw_index % len(self._draws)] < share

    def _capacity_share(self) -> float:
        if self._recovered_us is None:
            return 1.0
        return warmth.capacity_share(self._now() - self._recovered_us, self._figures.cold_from, self._figures.cold_us)

    def add_load(self, work: float) -> None:
        """Count a call or a probe of the weight `work`; a cold endpoint that gets too many collapses for good."""
        if self._recovered_us is None or self.collapsed:
            return
        now_us = self._now()
        if now_us - self._recovered_us >= self._figures.cold_us:
            self._recovered_us, self._recent_load = None, []
            return
        self._recent_load.append((now_us, work))
        figures = self._figures
        if warmth.overload(self._recent_load, self._recovered_us, self.partner.per_s, figures.fall_multiple,
                           figures.overload_for_us, figures.cold_from, figures.cold_us) is not None:
            self.collapsed = True

    # --- calls ---

    def rejection(self, messages: int) -> tuple[int, int] | None:
        """Return the status and the announced wait if a call is rejected, None if it is accepted.

        Counts the call as load and against the rate limit.
        """
        self.add_load(warmth.weight(messages))
        if self.collapsed or self.draining:
            return 503, 0
        if "shut" in self.active_faults.shares:
            return 503, self.active_faults.wait_us
        now_us = self._now()
        if self._limiter is not None and not self._limiter.try_acquire(now_us, messages):
            return 429, self._limiter.wait_us(now_us)
        if self._busy >= self.partner.lanes and len(self._waiting) >= self.partner.queue:
            return 503, 0
        return None

    def load_report(self) -> str | None:
        """Return the value of X-Load; None if the partner has no limit or doesn't report it."""
        if self._limiter is None or self.partner.limit is None or not self.partner.limit.report:
            return None
        return self._limiter.load_report(self._now())

    def serve(self, work: float, messages: int, done: Callable[[], None]) -> QueuedCall:
        """Queue a call that was not rejected; `work` is its processing time relative to the partner's average."""
        call = QueuedCall(round(self.partner.pace_us * work * warmth.weight(messages)), messages, done)
        self._waiting.append(call)
        self._start_queued()
        return call

    def cancel(self, call: QueuedCall) -> None:
        """Cancel a call whose courier closed the connection.

        Without the partner's `run_on` a queued call is removed, and one being served keeps its lane but has no
        effect. With it the call runs as if it had not been cancelled.
        """
        call.cancelled = True
        if not self.partner.run_on and call in self._waiting:
            self._waiting.remove(call)

    def _start_queued(self) -> None:
        while self._waiting and self._busy < self.partner.lanes:
            call = self._waiting.popleft()
            self._busy += 1
            begin_us = max(self._now(), self._stalled_until_us)
            self._call_at(begin_us + round(call.work_us / self._capacity_share()),
                          lambda call=call: self._finish(call))  # type: ignore[misc]

    def _finish(self, call: QueuedCall) -> None:
        if self._now() < self._stalled_until_us:
            self._call_at(self._stalled_until_us, lambda: self._finish(call))
            return
        self._busy -= 1
        call.served = True
        if not call.cancelled or self.partner.run_on:
            call.done()
        self._start_queued()
