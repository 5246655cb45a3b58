"""Many modules that share one limited destination, in virtual time and without sockets."""

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
class Limit:
    """A plain rate with a depth. Refused calls use it up too: above the rate nothing gets through any more; with
    `debt`, until what was called for beyond it is made up for. Reports are as old as `period_us`."""

    per_s: float
    depth_s: float = 0.6
    period_us: int = 500 * MS
    left: float = 1.0
    at_us: int = 0
    told: tuple[float, float] = (1.0, 0.0)
    told_us: int = -S
    debt: bool = False

    def call(self, now_us: int) -> bool:
        """Return whether this call is served."""
        size = self.per_s * self.depth_s
        self.left = min(1.0, self.left + (now_us - self.at_us) / 1e6 * self.per_s / size)
        self.at_us = now_us
        served = self.left * size >= 1
        self.left = max(-math.inf if self.debt else 0.0, self.left - 1 / size)
        if now_us - self.told_us >= self.period_us:
            self.told, self.told_us = (round(max(0.0, self.left), 3), self.per_s), now_us
        return served


@dataclass
class Table:
    """The connections that an endpoint holds. A call on a new one beyond them is refused, without a report."""

    places: int
    idle: dict[int, int] = field(default_factory=dict)  # whose -> since when; one for each sender is enough here
    busy: int = 0

    def take(self, number: int, now_us: int, idle_us: int) -> bool:
        """Take a connection for the sender's call. False if none is idle and no place is free."""
        self.idle = {whose: since for whose, since in self.idle.items() if now_us - since < idle_us}
        if self.idle.pop(number, None) is None and self.busy + len(self.idle) >= self.places:
            return False
        self.busy += 1
        return True

    def leave(self, number: int, now_us: int) -> None:
        """The call is over; its connection stays open."""
        self.busy -= 1
        self.idle[number] = now_us


@dataclass
class Fleet:
    """`senders` modules; `offered` messages a second, dealt out by `weights`."""

    seed: int
    limit: Limit
    offered: float
    senders: int = 40
    weights: list[float] = field(default_factory=list)
    reports: bool = True
    per_call: int = 1
    table: Table | None = None

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.calls: list[tuple[int, int, bool]] = []  # when, whose, was it served
        self.done: list[tuple[int, int]] = []  # when, whose: messages delivered
        self._queue: list[tuple[int, int, Callable[[int], Any]]] = []
        self._count = 0
        self._modules: dict[int, Sender] = {}
        self._attempts: dict[str, int] = {}
        self._armed: dict[int, int] = {}

    def _module(self, number: int) -> Sender:
        settings = Settings(classes=(CLASS,), slots=4, hold_limit=100, senders=self.senders, tick_us=5 * MS,
                            kinds=(api.DestinationKind(per_call=self.per_call),),
                            conn_idle_us=10 * S, handshake_price=0.06,
                            fall_multiple=1.5, cold_from=0.3, cold_us=12 * S, max_attempts=12,
                            limits_reported=self.reports)
        return Sender(settings, self.rng.randrange(1 << 30))

    def at(self, when_us: int, what: Callable[[int], Any]) -> None:
        """Do it then."""
        self._count += 1
        heapq.heappush(self._queue, (when_us, self._count, what))

    def limited(self, *steps: tuple[int, float]) -> None:
        """From these seconds on, so many calls a second."""
        for at_s, per_s in steps:
            self.at(at_s * S, lambda now, per_s=per_s: setattr(self.limit, "per_s", per_s))

    def tell(self, number: int, now_us: int, *events: api.Event) -> None:
        """Hand a module what has happened, and carry out its answer."""
        calls: dict[str, list[str]] = {}
        for action in self._modules[number].handle(now_us, list(events)):
            match action:
                case api.StartAttempt(name, endpoint, _):
                    calls.setdefault(endpoint, []).append(name)
                case api.CloseIdle(_, 0) if self.table is not None:
                    self.table.idle.pop(number, None)
                case api.SetTimer(_, in_us):
                    self._armed[number] = due_us = now_us + in_us
                    self.at(due_us, lambda now, due_us=due_us: self._timer(number, now, due_us))
        for endpoint, names in calls.items():
            self._call(number, now_us, endpoint, names)

    def _timer(self, number: int, now_us: int, due_us: int) -> None:
        if self._armed.get(number) == due_us:
            self.tell(number, now_us, api.TimerFired(0))

    def _call(self, number: int, now_us: int, endpoint: str, names: list[str]) -> None:
        placed = self.table is None or self.table.take(number, now_us, 10 * S)
        served = placed and self.limit.call(now_us)
        self.calls.append((now_us, number, served))
        spent_us = int(self.rng.uniform(150, 350) * MS) if served else 25 * MS
        report = api.LimitReport(*self.limit.told) if placed and self.reports and self.limit.told[1] else None

        def end(then_us: int) -> None:
            if self.table is not None and placed:
                self.table.leave(number, then_us)
            events = []
            for name in names:
                attempt = self._attempts[name] = self._attempts.get(name, -1) + 1
                events.append(api.AttemptEnded(name, attempt, endpoint, Outcome.OK if served else Outcome.FULL,
                                               spent_us, served, 0, report))
                if served:
                    self.done.append((then_us, number))
            self.tell(number, then_us, *events)
        self.at(now_us + spent_us, end)

    def start(self, number: int, now_us: int) -> None:
        """A process begins, with nothing known but the list."""
        self._modules[number] = self._module(number)
        self.tell(number, now_us, api.MembershipReceived(api.ListKind.WHOLE, (api.EndpointInfo("e0", 7),)))

    def run(self, span_us: int) -> Fleet:
        """From the start of all of them."""
        for number in range(self.senders):
            self.start(number, 0)
        self._arrive(0, span_us)
        while self._queue and self._queue[0][0] <= span_us:
            now_us, _, what = heapq.heappop(self._queue)
            what(now_us)
        return self

    def _arrive(self, now_us: int, span_us: int) -> None:
        weights = self.weights or [1.0] * self.senders
        number = self.rng.choices(range(self.senders), weights)[0]
        self._count += 1
        self.tell(number, now_us, api.MessageAccepted(f"m{self._count}", 0, 7, 12 * S))
        self.at(now_us + int(self.rng.expovariate(self.offered) * 1e6) + 1, lambda now: self._arrive(now, span_us))

    def rate(self, from_s: float, to_s: float, served: bool | None = None) -> float:
        """Calls a second in a span: all, or those served or refused."""
        rows = [row for row in self.calls if from_s * S <= row[0] < to_s * S and served in (None, row[2])]
        return len(rows) / (to_s - from_s)

    def refused(self, from_s: float, to_s: float) -> float:
        """Their share."""
        return self.rate(from_s, to_s, False) / max(self.rate(from_s, to_s), 1e-9)

    def reaches(self, share: float, per_s: float, from_s: float, for_s: float = 2.0) -> float:
        """Seconds until so much of a limit is used over a span, from then on; infinity if it never is."""
        last_s = self.calls[-1][0] / S if self.calls else 0.0
        at_s = from_s
        while at_s + for_s <= last_s:
            if self.rate(at_s, at_s + for_s, True) >= share * per_s:
                return at_s - from_s
            at_s += 0.25
        return float("inf")

    def unfair(self) -> float:
        """The largest share of what was delivered after three seconds, over the median one."""
        done = Counter(number for at, number in self.done if at > 3 * S)
        return max(done.values()) / max(median(done[number] for number in range(self.senders)), 1)


def hot(seed: int, senders: int = 40, offered: float = 130.0, reports: bool = True) -> Fleet:
    """A destination with a batch form that needs nearly all of its limit, or more."""
    return Fleet(seed, Limit(48), offered, senders, reports=reports, per_call=5)


def halved(seed: int, senders: int = 40) -> Fleet:
    """The limit is halved from 8 to 17 s."""
    fleet = hot(seed, senders, 190)
    fleet.limited((8, 24.0), (17, 48.0))
    return fleet.run(26 * S)


def restarted(seed: int, senders: int = 40) -> Fleet:
    """Three of four restart at 8 s."""
    fleet = hot(seed, senders)
    for number in range(senders * 3 // 4):
        fleet.at(8 * S, lambda now, number=number: fleet.start(number, now))
    return fleet.run(16 * S)


def small(seed: int, senders: int = 40) -> Fleet:
    """The limit is smaller than the number of senders."""
    return Fleet(seed, Limit(20), 80, senders, per_call=5).run(15 * S)


def crowded(seed: int, senders: int = 200) -> Fleet:
    """Sixteen places for 200 senders, twelve busy at the mean rate; two thirds of the limit are wanted."""
    return Fleet(seed, Limit(72), 48, senders, table=Table(16)).run(20 * S)


def uneven(seed: int, senders: int = 200) -> Fleet:
    """Half as much again as the limit is offered; a few senders have several times the mean, many nearly nothing.
    An even part is a call in five seconds. The limit is halved from 10 to 16 s."""
    rng = random.Random(seed)
    weights = [rng.expovariate(1) ** 2 + 0.05 for _ in range(senders)]
    fleet = Fleet(seed, Limit(40), 60, senders, weights)
    fleet.limited((10, 20.0), (16, 40.0))
    return fleet.run(25 * S)


def collapsed(seed: int, senders: int = 200) -> Fleet:
    """All senders are busy at one destination with a batch form, near its limit, which is halved at 6 s. What they
    call for beyond it has to be made up for."""
    fleet = Fleet(seed, Limit(190, debt=True), 400, senders, per_call=5)
    fleet.limited((6, 95.0))
    return fleet.run(12 * S)
