"""Many senders that share one rate-limited destination, in virtual time and without sockets."""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from statistics import median
from typing import Any

from wheelstep import Sender, Settings
from wheelstep import interface as api
from wheelstep.interface import Outcome

MS, S = 1_000, 1_000_000
CLASS = api.MessageClass(2_500 * MS, 12 * S, api.Effect.KEYED, 1.0, 0.5, 10 * S)


@dataclass
class RateLimit:
    """A token bucket of `per_s` calls a second and a depth in seconds. Refused calls take tokens too, so nothing gets
    through while more is called for than the rate; with `accrues_debt`, until the excess calls are made up for.
    Reports (share left, calls a second) are up to `period_us` old."""

    per_s: float
    depth_s: float = 0.6
    period_us: int = 500 * MS
    left: float = 1.0
    at_us: int = 0
    last_report: tuple[float, float] = (1.0, 0.0)
    last_report_us: int = -S
    accrues_debt: bool = False

    def call(self, now_us: int) -> bool:
        """Return whether this call is served."""
        size = self.per_s * self.depth_s
        self.left = min(1.0, self.left + (now_us - self.at_us) / 1e6 * self.per_s / size)
        self.at_us = now_us
        served = self.left * size >= 1
        self.left = max(-math.inf if self.accrues_debt else 0.0, self.left - 1 / size)
        if now_us - self.last_report_us >= self.period_us:
            self.last_report, self.last_report_us = (round(max(0.0, self.left), 3), self.per_s), now_us
        return served


@dataclass
class ConnectionTable:
    """The connections that an endpoint holds, `capacity` at most. A call on a new one beyond that is refused, without a
    report of the limit."""

    capacity: int
    idle: dict[int, int] = field(default_factory=dict)  # sender -> idle since; one per sender is enough here
    busy: int = 0

    def acquire(self, number: int, now_us: int, idle_us: int) -> bool:
        """Take a connection for the sender's call. Return False if it has no idle one and the table is full."""
        self.idle = {sender: since for sender, since in self.idle.items() if now_us - since < idle_us}
        if self.idle.pop(number, None) is None and self.busy + len(self.idle) >= self.capacity:
            return False
        self.busy += 1
        return True

    def release(self, number: int, now_us: int) -> None:
        """End the sender's call; its connection stays open."""
        self.busy -= 1
        self.idle[number] = now_us


@dataclass
class Fleet:
    """`senders` that share the destination; `offered` messages a second in all, distributed by `weights`."""

    seed: int
    limit: RateLimit
    offered: float
    senders: int = 40
    weights: list[float] = field(default_factory=list)
    reports: bool = True
    per_call: int = 1
    table: ConnectionTable | None = None

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.calls: list[tuple[int, int, bool]] = []  # time, sender, whether it was served
        self.delivered: list[tuple[int, int]] = []  # time and sender of each delivered message
        self._queue: list[tuple[int, int, Callable[[int], Any]]] = []
        self._count = 0
        self._senders: dict[int, Sender] = {}
        self._attempts: dict[str, int] = {}
        self._armed: dict[int, int] = {}

    def _new_sender(self, number: int) -> Sender:
        settings = Settings(classes=(CLASS,), slots=4, hold_limit=100, senders=self.senders, tick_us=5 * MS,
                            kinds=(api.DestinationKind(per_call=self.per_call),),
                            conn_idle_us=10 * S, handshake_price=0.06,
                            fall_multiple=1.5, cold_from=0.3, cold_us=12 * S, max_attempts=12,
                            limits_reported=self.reports)
        return Sender(settings, self.rng.randrange(1 << 30))

    def schedule(self, at_us: int, action: Callable[[int], Any]) -> None:
        """Run the action at that time."""
        self._count += 1
        heapq.heappush(self._queue, (at_us, self._count, action))

    def schedule_limits(self, *steps: tuple[int, float]) -> None:
        """Change the limit at these times: pairs of seconds and calls a second."""
        for at_s, per_s in steps:
            self.schedule(at_s * S, lambda now, per_s=per_s: setattr(self.limit, "per_s", per_s))

    def handle(self, number: int, now_us: int, *events: api.Event) -> None:
        """Pass events to a sender and execute the actions that it returns."""
        calls: dict[str, list[str]] = {}
        for action in self._senders[number].handle(now_us, list(events)):
            match action:
                case api.StartAttempt(name, endpoint, _):
                    calls.setdefault(endpoint, []).append(name)
                case api.CloseIdle(_, 0) if self.table is not None:
                    self.table.idle.pop(number, None)
                case api.SetTimer(_, in_us):
                    self._armed[number] = due_us = now_us + in_us
                    self.schedule(due_us, lambda now, due_us=due_us: self._timer(number, now, due_us))
        for endpoint, names in calls.items():
            self._call(number, now_us, endpoint, names)

    def _timer(self, number: int, now_us: int, due_us: int) -> None:
        if self._armed.get(number) == due_us:
            self.handle(number, now_us, api.TimerFired(0))

    def _call(self, number: int, now_us: int, endpoint: str, names: list[str]) -> None:
        connected = self.table is None or self.table.acquire(number, now_us, 10 * S)
        served = connected and self.limit.call(now_us)
        self.calls.append((now_us, number, served))
        duration_us = int(self.rng.uniform(150, 350) * MS) if served else 25 * MS
        report = (api.LimitReport(*self.limit.last_report)
                  if connected and self.reports and self.limit.last_report[1] else None)

        def end(then_us: int) -> None:
            if self.table is not None and connected:
                self.table.release(number, then_us)
            events = []
            for name in names:
                attempt = self._attempts[name] = self._attempts.get(name, -1) + 1
                events.append(api.AttemptEnded(name, attempt, endpoint, Outcome.OK if served else Outcome.FULL,
                                               duration_us, served, 0, report))
                if served:
                    self.delivered.append((then_us, number))
            self.handle(number, then_us, *events)
        self.schedule(now_us + duration_us, end)

    def start(self, number: int, now_us: int) -> None:
        """Start a sender that knows nothing but the list of endpoints."""
        self._senders[number] = self._new_sender(number)
        self.handle(number, now_us, api.MembershipReceived(api.ListKind.WHOLE, (api.EndpointInfo("e0", 7),)))

    def run(self, span_us: int) -> Fleet:
        """Start all senders at once, and run for `span_us`."""
        for number in range(self.senders):
            self.start(number, 0)
        self._arrive(0, span_us)
        while self._queue and self._queue[0][0] <= span_us:
            now_us, _, action = heapq.heappop(self._queue)
            action(now_us)
        return self

    def _arrive(self, now_us: int, span_us: int) -> None:
        weights = self.weights or [1.0] * self.senders
        number = self.rng.choices(range(self.senders), weights)[0]
        self._count += 1
        self.handle(number, now_us, api.MessageAccepted(f"m{self._count}", 0, 7, 12 * S))
        self.schedule(now_us + int(self.rng.expovariate(self.offered) * 1e6) + 1,
                      lambda now: self._arrive(now, span_us))

    def rate(self, from_s: float, to_s: float, served: bool | None = None) -> float:
        """Return the calls a second in a span: all, or only those served or refused."""
        rows = [row for row in self.calls if from_s * S <= row[0] < to_s * S and served in (None, row[2])]
        return len(rows) / (to_s - from_s)

    def refused_share(self, from_s: float, to_s: float) -> float:
        """Return the share of refused calls in a span."""
        return self.rate(from_s, to_s, False) / max(self.rate(from_s, to_s), 1e-9)

    def seconds_until(self, share: float, per_s: float, from_s: float, for_s: float = 2.0) -> float:
        """Return the seconds from `from_s` until the calls served over `for_s` use this share of a limit; infinity if
        they never do."""
        last_s = self.calls[-1][0] / S if self.calls else 0.0
        at_s = from_s
        while at_s + for_s <= last_s:
            if self.rate(at_s, at_s + for_s, True) >= share * per_s:
                return at_s - from_s
            at_s += 0.25
        return float("inf")

    def unfairness(self) -> float:
        """Return the largest sender's share of the messages delivered after three seconds, over the median share."""
        delivered = Counter(number for at, number in self.delivered if at > 3 * S)
        return max(delivered.values()) / max(median(delivered[number] for number in range(self.senders)), 1)


def near_limit(seed: int, senders: int = 40, offered: float = 130.0, reports: bool = True) -> Fleet:
    """Return a fleet whose calls of up to five messages need nearly all of the limit, or more."""
    return Fleet(seed, RateLimit(48), offered, senders, reports=reports, per_call=5)


def limit_halved(seed: int, senders: int = 40) -> Fleet:
    """Run a fleet whose limit is halved from 8 to 17 s."""
    fleet = near_limit(seed, senders, 190)
    fleet.schedule_limits((8, 24.0), (17, 48.0))
    return fleet.run(26 * S)


def mass_restart(seed: int, senders: int = 40) -> Fleet:
    """Run a fleet in which three of four senders restart at 8 s."""
    fleet = near_limit(seed, senders)
    for number in range(senders * 3 // 4):
        fleet.schedule(8 * S, lambda now, number=number: fleet.start(number, now))
    return fleet.run(16 * S)


def limit_below_senders(seed: int, senders: int = 40) -> Fleet:
    """Run a fleet whose limit is smaller than the number of senders."""
    return Fleet(seed, RateLimit(20), 80, senders, per_call=5).run(15 * S)


def scarce_connections(seed: int, senders: int = 200) -> Fleet:
    """Run 200 senders on 16 connections, of which 12 are busy at the mean rate; two thirds of the limit are needed."""
    return Fleet(seed, RateLimit(72), 48, senders, table=ConnectionTable(16)).run(20 * S)


def uneven_load(seed: int, senders: int = 200) -> Fleet:
    """Run a fleet that is offered 1.5 times the limit: a few senders have several times the mean, many nearly nothing.
    An even share of the limit is a call in five seconds. The limit is halved from 10 to 16 s."""
    rng = random.Random(seed)
    weights = [rng.expovariate(1) ** 2 + 0.05 for _ in range(senders)]
    fleet = Fleet(seed, RateLimit(40), 60, senders, weights)
    fleet.schedule_limits((10, 20.0), (16, 40.0))
    return fleet.run(25 * S)


def limit_halved_with_debt(seed: int, senders: int = 200) -> Fleet:
    """Run a fleet of busy senders with calls of up to five messages near the limit, which is halved at 6 s. Calls
    beyond the limit have to be made up for."""
    fleet = Fleet(seed, RateLimit(190, accrues_debt=True), 400, senders, per_call=5)
    fleet.schedule_limits((6, 95.0))
    return fleet.run(12 * S)
