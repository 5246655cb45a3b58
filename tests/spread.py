"""Simulates many decision modules and the queueing endpoints of one destination, beside two simpler choices.

Arrivals, their modules and their work are drawn before a run, so that all three ways meet the same ones: `module` is
the decision module, `random` takes any endpoint, `least` knows every queue (no courier can) and takes the shortest.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any

from spread_scenes import LANES, S, Scene, Server

from wheelstep import Sender, Settings
from wheelstep import interface as api
from wheelstep.interface import EndpointState, Outcome

MS = 1_000
WORK_US, IDLE_US = 40 * MS, 10 * S
CLASS = api.MessageClass(2_500 * MS, 12 * S, api.Effect.KEYED, 1.0, 0.5, 10 * S)


class SpreadRun:
    """Runs one scene at one seed with one way to choose endpoints."""

    def __init__(self, scene: Scene, seed: int, way: str = "module") -> None:
        self.scene, self.way = scene, way
        draw, self.rng = random.Random(f"{scene.name} {seed}"), random.Random(f"choices {seed}")
        self.servers = {f"e{i}": Server(f"e{i}", draw.choice((2, 4, 8)) if scene.unequal else LANES)
                        for i in range(scene.endpoints)}
        self.listed = list(self.servers)
        weights = [draw.expovariate(1) + 0.02 if scene.uneven else 1.0 for _ in range(scene.modules)]
        rate = scene.load * sum(server.lanes for server in self.servers.values()) / (WORK_US / 1e6)
        self.arrivals, at = [], 0.0
        while (at := at + draw.expovariate(rate)) < scene.span_s:
            owner, work = draw.choices(range(scene.modules), weights)[0], draw.expovariate(1) * WORK_US
            if scene.trouble != "lull" or not scene.at_s <= at < scene.at_s + 4:
                self.arrivals.append((int(at * S), owner, work))
        self.times: list[tuple[int, int]] = []  # of each answered or timed-out call: when it was sent, how long it took
        self.opened = self.refused = 0
        self.delivery_us: list[int] = []  # of each message: from its arrival to its delivery
        self._idle: dict[tuple[int, str], list[int]] = {}
        self._events: list[tuple[int, int, Callable[[int], Any]]] = []
        self._count = 0
        self._modules: dict[int, Sender] = {}
        self._attempts: Counter[str] = Counter()
        self._work: dict[str, tuple[int, float]] = {}
        self._armed: dict[int, int] = {}
        self._run()

    def _schedule(self, when_us: int, callback: Callable[[int], Any]) -> None:
        self._count += 1
        heapq.heappush(self._events, (when_us, self._count, callback))

    def _run(self) -> None:
        for owner in range(self.scene.modules):
            self._start(owner, 0)
        self._schedule_fault()
        for index, (at_us, owner, work) in enumerate(self.arrivals):
            self._work[f"m{index}"] = (at_us, work)
            self._schedule(at_us, lambda now, owner=owner, name=f"m{index}": self._accept(owner, now, name))
        while self._events and self._events[0][0] <= self.scene.span_s * S:
            now_us, _, callback = heapq.heappop(self._events)
            callback(now_us)

    def _start(self, owner: int, now_us: int) -> None:
        if self.way != "module":
            return
        settings = Settings(classes=(CLASS,), slots=16, hold_limit=200, senders=self.scene.modules, tick_us=5 * MS,
                            conn_idle_us=IDLE_US, handshake_price=0.06, fall_multiple=1.5, cold_from=0.3,
                            cold_us=6 * S, max_attempts=12)
        self._modules[owner] = Sender(settings, self.rng.randrange(1 << 30))
        self._handle(owner, now_us, api.MembershipReceived(
            api.ListKind.WHOLE, tuple(api.EndpointInfo(name, 7) for name in self.listed)))

    def _schedule_fault(self) -> None:
        scene, at_us, faulty_server = self.scene, self.scene.at_s * S, self.servers["e1"]
        match scene.trouble:
            case "restart":
                for owner in range(scene.modules * 7 // 10):
                    self._schedule(at_us, lambda now, owner=owner: self._start(owner, now))
            case "list":
                self._schedule(at_us, self._replace_endpoints)
            case "slow":
                self._schedule(at_us, lambda now: setattr(faulty_server, "factor", 1 / 3))
            case "hung":
                self._schedule(at_us, lambda now: setattr(faulty_server, "hung", True))
                self._schedule(at_us + 3 * S, lambda now: setattr(faulty_server, "hung", False))
            case "cold":
                self._schedule(at_us, lambda now: setattr(faulty_server, "down", True))
                self._schedule(at_us + 3 * S, self._restart_endpoint)

    def _restart_endpoint(self, now_us: int) -> None:
        self.servers["e1"].down, self.servers["e1"].back_us = False, now_us

    def _replace_endpoints(self, now_us: int) -> None:
        gone = self.listed[:len(self.listed) // 4 or 1]
        new = [f"n{i}" for i in range(len(gone))]
        self.servers.update({name: Server(name, self.servers[old].lanes)
                             for name, old in zip(new, gone, strict=True)})
        self.listed = [*self.listed[len(gone):], *new]
        change = [api.EndpointInfo(name, 7) for name in new]
        change += [api.EndpointInfo(name, 7, state=EndpointState.REMOVED) for name in gone]
        for owner in list(self._modules):
            self._handle(owner, now_us, api.MembershipReceived(api.ListKind.CHANGES, tuple(change)))

    def _accept(self, owner: int, now_us: int, name: str) -> None:
        if self.way == "module":
            self._handle(owner, now_us, api.MessageAccepted(name, 0, 7, 12 * S))
        else:
            self._send(owner, now_us, self._baseline_choice(now_us), name)

    def _baseline_choice(self, now_us: int) -> str:
        if self.way == "random":
            return self.rng.choice(self.listed)
        waits = {name: self.servers[name].wait(now_us) for name in self.listed}
        return self.rng.choice([name for name in self.listed if waits[name] == min(waits.values())])

    def _handle(self, owner: int, now_us: int, *events: api.Event) -> None:
        module = self._modules[owner]
        for action in module.handle(now_us, list(events)):
            match action:
                case api.StartAttempt(name, endpoint, timeout_us):
                    self._send(owner, now_us, endpoint, name, timeout_us)
                case api.CloseIdle(endpoint, 0):
                    self._idle.pop((owner, endpoint), None)
                case api.SetTimer(_, in_us):
                    self._armed[owner] = due_us = now_us + in_us
                    self._schedule(due_us, lambda now, due_us=due_us, module=module: self._timer(
                        owner, now, due_us, module))

    def _timer(self, owner: int, now_us: int, due_us: int, module: Any) -> None:
        if self._armed.get(owner) == due_us and self._modules[owner] is module:
            self._handle(owner, now_us, api.TimerFired(0))

    def _send(self, owner: int, now_us: int, endpoint: str, name: str, timeout_us: int = 5 * S) -> None:
        server, module, ended = self.servers[endpoint], self._modules.get(owner), [False]
        server.sent.append(now_us)
        idle = self._idle.setdefault((owner, endpoint), [])
        idle[:] = [since for since in idle if now_us - since < IDLE_US]
        if idle:
            idle.pop()
        else:
            self.opened += 1

        def end(then_us: int, outcome: Outcome) -> None:
            if ended[0] or self._modules.get(owner) is not module:
                return
            ended[0] = True
            spent_us = then_us - now_us
            if outcome is not Outcome.CONNECT_FAILED:
                self.times.append((now_us, spent_us))
            if outcome is Outcome.OK:
                self._idle.setdefault((owner, endpoint), []).append(then_us)
                self.delivery_us.append(then_us - self._work[name][0])
            if module is not None:
                attempt = self._attempts[name]
                self._attempts[name] += 1
                self._handle(owner, then_us, api.AttemptEnded(name, attempt, endpoint, outcome, spent_us,
                                                              outcome is Outcome.OK))
            elif outcome is not Outcome.OK:
                self._send(owner, then_us, self._baseline_choice(then_us), name)

        if server.down:
            self._schedule(now_us + MS, lambda then: end(then, Outcome.CONNECT_FAILED))
            return
        self._schedule(now_us + timeout_us, lambda then: end(then, Outcome.TIMEOUT))
        if not server.hung:
            server.queue.append((self._work[name][1], end))
            self._serve(server, now_us)

    def _serve(self, server: Server, now_us: int) -> None:
        while server.queue and server.busy < server.lanes and not server.hung:
            work, end = server.queue.popleft()
            server.busy += 1
            self._schedule(now_us + int(work / server.speed(now_us)) + 1,
                           lambda then, end=end: self._done(server, then, end))

    def _done(self, server: Server, now_us: int, end: Callable[[int, Outcome], None]) -> None:
        server.busy -= 1
        if not server.hung:
            end(now_us, Outcome.OK)
        self._serve(server, now_us)

    def shares(self) -> tuple[float, float]:
        """Return the largest and smallest share in any second: the calls at an endpoint, by its capacity, over the mean
        of those that are listed and without a fault throughout that second."""
        scene, faulty = self.scene, {"e1"} if self.scene.trouble in ("slow", "hung", "cold") else set()
        high, low = 0.0, math.inf
        for second in range(scene.span_s):
            if scene.trouble == "lull" and scene.at_s <= second < scene.at_s + 4:
                continue
            if scene.trouble == "list":
                names = [n for n in self.servers if (n[0] == "e" if second < scene.at_s else n in self.listed)]
            else:
                names = [n for n in self.servers if n not in faulty or second < scene.at_s]
            counts = {n: sum(at // S == second for at in self.servers[n].sent) / self.servers[n].lanes for n in names}
            mean = sum(counts.values()) / len(names)
            if mean:
                high, low = max(high, max(counts.values()) / mean), min(low, min(counts.values()) / mean)
        return high, low

    def p99_ms(self) -> float:
        """Return the 99th percentile of the calls' round trips; a time-out counts with its length."""
        spent = sorted(took for _, took in self.times)
        return spent[int(len(spent) * 0.99)] / MS

    def faulty_share(self) -> float:
        """Return the calls at the faulty endpoint from three seconds after the fault began, over an even part."""
        from_us = (self.scene.at_s + 3) * S
        calls = {name: sum(at >= from_us for at in server.sent) for name, server in self.servers.items()}
        return calls["e1"] * len(self.listed) / max(sum(calls.values()), 1)

    def connections(self) -> float:
        """Return the new connections a message."""
        return self.opened / max(len(self.arrivals), 1)

    def figures(self) -> dict[str, float]:
        """Return all figures of the run by name."""
        high, low = self.shares()
        delivery_us = sorted(self.delivery_us)
        return {"high": high, "low": low, "p99": self.p99_ms(), "whole": delivery_us[int(len(delivery_us) * 0.99)] / MS,
                "conns": self.connections(), "ill": self.faulty_share(), "done": len(delivery_us) / len(self.arrivals)}


def mean(scene: Scene, seeds: Iterable[int], way: str = "module") -> dict[str, float]:
    """Return the mean figures of the runs with these seeds."""
    plays = [SpreadRun(scene, seed, way).figures() for seed in seeds]
    return {name: sum(play[name] for play in plays) / len(plays) for name in plays[0]}
