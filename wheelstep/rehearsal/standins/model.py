"""How a partner behaves, without I/O: limits, queue and lanes, faults, warmth. Times are microseconds."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from wheelstep.rehearsal import warmth
from wheelstep.rehearsal.history import Figures
from wheelstep.rehearsal.plan import Limit, Partner

OUTAGES = frozenset({"silent", "hang", "refuse", "shut", "fail"})
FAILING_MOST = 0.5  # from this share on, failing calls are an outage


class Gauge:
    """A partner's limit, shared by its endpoints and all couriers."""

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

    def take(self, now_us: int, messages: int) -> bool:
        """Is there room for a call with so many messages? If so it is taken."""
        self._refill(now_us)
        if self._left >= messages:
            self._left -= messages
            return True
        if self._limit.refused_count:
            self._left = max(0.0, self._left - 1)
        return False

    def wait_us(self, now_us: int) -> int:
        """What a refusal tells, 0 for nothing: at its end there is room again."""
        if not self._limit.wait_us:
            return 0
        if self._limit.window_us:
            return max(self._limit.wait_us, self._limit.window_us - now_us % self._limit.window_us)
        return max(self._limit.wait_us, round((1 - min(self._left, 1.0)) / self._limit.per_s * 1e6))

    def report(self, now_us: int) -> str:
        """The value of X-Load."""
        self._refill(now_us)
        return f"x0={max(0.0, self._left) / self._depth:.3f},x1={self._limit.per_s:.3f}"


@dataclass(slots=True, eq=False)
class Job:
    """One call in an endpoint's queue; `done` is called when it was served."""

    work_us: int
    messages: int
    done: Callable[[], None]
    given_up: bool = False
    served: bool = False


@dataclass(slots=True)
class Mode:
    """The faults that an endpoint has just now, by kind."""

    faults: dict[str, float] = field(default_factory=dict)  # kind -> its share
    wait_us: int = 0
    reset_before: bool = False


class Desk:
    """One endpoint: who is served when. `later(at_us, what)` is the clock's."""

    def __init__(self, partner: Partner, figures: Figures, gauge: Gauge | None, luck: Sequence[float],
                 later: Callable[[int, Callable[[], None]], None], now: Callable[[], int]) -> None:
        self.partner, self.mode = partner, Mode()
        self._figures, self._gauge, self._luck, self._later, self._now = figures, gauge, luck, later, now
        self._busy = 0
        self._waiting: deque[Job] = deque()
        self._drawn = 0
        self._stalled_us = 0
        self._back_us: int | None = None
        self._pushes: list[tuple[int, float]] = []
        self.fallen = self.draining = False

    # --- faults ---

    def stall(self, until_us: int) -> None:
        """Stand still until then: nothing is served or finished."""
        self._stalled_us = max(self._stalled_us, until_us)

    def came_back(self, at_us: int) -> None:
        """An outage is over: cold from now on."""
        self._back_us, self._pushes = at_us, []

    def chance(self, share: float) -> bool:
        """Does what happens by this share happen now?"""
        self._drawn += 1
        return self._luck[self._drawn % len(self._luck)] < share

    def _share(self) -> float:
        if self._back_us is None:
            return 1.0
        return warmth.share(self._now() - self._back_us, self._figures.cold_from, self._figures.cold_us)

    def push(self, work: float) -> None:
        """A call or a probe came: a cold endpoint may fall over."""
        if self._back_us is None or self.fallen:
            return
        now_us = self._now()
        if now_us - self._back_us >= self._figures.cold_us:
            self._back_us, self._pushes = None, []
            return
        self._pushes.append((now_us, work))
        figures = self._figures
        if warmth.overload(self._pushes, self._back_us, self.partner.per_s, figures.fall_multiple,
                           figures.overload_for_us, figures.cold_from, figures.cold_us) is not None:
            self.fallen = True

    # --- calls ---

    def refusal(self, messages: int) -> tuple[int, int] | None:
        """Why a call is turned away, if it is: status and the wait told. Counts against the limit."""
        self.push(warmth.weight(messages))
        if self.fallen or self.draining:
            return 503, 0
        if "shut" in self.mode.faults:
            return 503, self.mode.wait_us
        now_us = self._now()
        if self._gauge is not None and not self._gauge.take(now_us, messages):
            return 429, self._gauge.wait_us(now_us)
        if self._busy >= self.partner.lanes and len(self._waiting) >= self.partner.queue:
            return 503, 0
        return None

    def report(self) -> str | None:
        """X-Load, where the partner has a limit and tells it."""
        if self._gauge is None or self.partner.limit is None or not self.partner.limit.report:
            return None
        return self._gauge.report(self._now())

    def serve(self, work: float, messages: int, done: Callable[[], None]) -> Job:
        """Queue a call that was not turned away; `work` is its share of the partner's pace."""
        job = Job(round(self.partner.pace_us * work * warmth.weight(messages)), messages, done)
        self._waiting.append(job)
        self._start()
        return job

    def give_up(self, job: Job) -> None:
        """Its courier closed the connection. What has begun may run on."""
        job.given_up = True
        if not self.partner.run_on and job in self._waiting:
            self._waiting.remove(job)

    def _start(self) -> None:
        while self._waiting and self._busy < self.partner.lanes:
            job = self._waiting.popleft()
            self._busy += 1
            begin_us = max(self._now(), self._stalled_us)
            self._later(begin_us + round(job.work_us / self._share()), lambda job=job: self._finish(job))  # type: ignore[misc]

    def _finish(self, job: Job) -> None:
        if self._now() < self._stalled_us:
            self._later(self._stalled_us, lambda: self._finish(job))
            return
        self._busy -= 1
        job.served = True
        if not job.given_up or self.partner.run_on:
            job.done()
        self._start()
