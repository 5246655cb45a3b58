"""Many modules and the queueing endpoints of one destination, in virtual time, beside two plainer choices.

Arrivals, their modules and their work are drawn before a play, so that all three meet the same ones: `module` is ours,
`random` takes any endpoint, `least` knows every queue as it is (no courier can) and takes the shortest.
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


class Play:
    """One scene at one seed with one way to choose."""

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
            whose, work = draw.choices(range(scene.modules), weights)[0], draw.expovariate(1) * WORK_US
            if scene.trouble != "lull" or not scene.at_s <= at < scene.at_s + 4:
                self.arrivals.append((int(at * S), whose, work))
        self.times: list[tuple[int, int]] = []  # when a call went out, how long its answer took
        self.opened = self.refused = 0
        self.whole: list[int] = []  # from taking a message to its delivery
        self._idle: dict[tuple[int, str], list[int]] = {}
        self._queue: list[tuple[int, int, Callable[[int], Any]]] = []
        self._count = 0
        self._modules: dict[int, Sender] = {}
        self._attempts: Counter[str] = Counter()
        self._work: dict[str, tuple[int, float]] = {}
        self._armed: dict[int, int] = {}
        self._run()

    def _at(self, when_us: int, what: Callable[[int], Any]) -> None:
        self._count += 1
        heapq.heappush(self._queue, (when_us, self._count, what))

    def _run(self) -> None:
        for whose in range(self.scene.modules):
            self._start(whose, 0)
        self._trouble()
        for index, (at_us, whose, work) in enumerate(self.arrivals):
            self._work[f"m{index}"] = (at_us, work)
            self._at(at_us, lambda now, whose=whose, name=f"m{index}": self._take(whose, now, name))
        while self._queue and self._queue[0][0] <= self.scene.span_s * S:
            now_us, _, what = heapq.heappop(self._queue)
            what(now_us)

    def _start(self, whose: int, now_us: int) -> None:
        if self.way != "module":
            return
        settings = Settings(classes=(CLASS,), slots=16, hold_limit=200, senders=self.scene.modules, tick_us=5 * MS,
                            conn_idle_us=IDLE_US, handshake_price=0.06, fall_multiple=1.5, cold_from=0.3,
                            cold_us=6 * S, max_attempts=12)
        self._modules[whose] = Sender(settings, self.rng.randrange(1 << 30))
        self._tell(whose, now_us, api.MembershipReceived(
            api.ListKind.WHOLE, tuple(api.EndpointInfo(name, 7) for name in self.listed)))

    def _trouble(self) -> None:
        scene, at_us, one = self.scene, self.scene.at_s * S, self.servers["e1"]
        match scene.trouble:
            case "restart":
                for whose in range(scene.modules * 7 // 10):
                    self._at(at_us, lambda now, whose=whose: self._start(whose, now))
            case "list":
                self._at(at_us, self._relist)
            case "slow":
                self._at(at_us, lambda now: setattr(one, "factor", 1 / 3))
            case "hung":
                self._at(at_us, lambda now: setattr(one, "hung", True))
                self._at(at_us + 3 * S, lambda now: setattr(one, "hung", False))
            case "cold":
                self._at(at_us, lambda now: setattr(one, "down", True))
                self._at(at_us + 3 * S, self._comes_back)

    def _comes_back(self, now_us: int) -> None:
        self.servers["e1"].down, self.servers["e1"].back_us = False, now_us

    def _relist(self, now_us: int) -> None:
        gone = self.listed[:len(self.listed) // 4 or 1]
        new = [f"n{i}" for i in range(len(gone))]
        self.servers.update({name: Server(name, self.servers[old].lanes)
                             for name, old in zip(new, gone, strict=True)})
        self.listed = [*self.listed[len(gone):], *new]
        change = [api.EndpointInfo(name, 7) for name in new]
        change += [api.EndpointInfo(name, 7, state=EndpointState.REMOVED) for name in gone]
        for whose in list(self._modules):
            self._tell(whose, now_us, api.MembershipReceived(api.ListKind.CHANGES, tuple(change)))

    def _take(self, whose: int, now_us: int, name: str) -> None:
        if self.way == "module":
            self._tell(whose, now_us, api.MessageAccepted(name, 0, 7, 12 * S))
        else:
            self._send(whose, now_us, self._plain(now_us), name)

    def _plain(self, now_us: int) -> str:
        if self.way == "random":
            return self.rng.choice(self.listed)
        waits = {name: self.servers[name].wait(now_us) for name in self.listed}
        return self.rng.choice([name for name in self.listed if waits[name] == min(waits.values())])

    def _tell(self, whose: int, now_us: int, *events: api.Event) -> None:
        module = self._modules[whose]
        for action in module.handle(now_us, list(events)):
            match action:
                case api.StartAttempt(name, endpoint, timeout_us):
                    self._send(whose, now_us, endpoint, name, timeout_us)
                case api.CloseIdle(endpoint, 0):
                    self._idle.pop((whose, endpoint), None)
                case api.SetTimer(_, in_us):
                    self._armed[whose] = due_us = now_us + in_us
                    self._at(due_us, lambda now, due_us=due_us, module=module: self._timer(whose, now, due_us, module))

    def _timer(self, whose: int, now_us: int, due_us: int, module: Any) -> None:
        if self._armed.get(whose) == due_us and self._modules[whose] is module:
            self._tell(whose, now_us, api.TimerFired(0))

    def _send(self, whose: int, now_us: int, endpoint: str, name: str, timeout_us: int = 5 * S) -> None:
        server, module, ended = self.servers[endpoint], self._modules.get(whose), [False]
        server.sent.append(now_us)
        idle = self._idle.setdefault((whose, endpoint), [])
        idle[:] = [since for since in idle if now_us - since < IDLE_US]
        if idle:
            idle.pop()
        else:
            self.opened += 1

        def end(then_us: int, outcome: Outcome) -> None:
            if ended[0] or self._modules.get(whose) is not module:
                return
            ended[0] = True
            spent_us = then_us - now_us
            if outcome is not Outcome.CONNECT_FAILED:
                self.times.append((now_us, spent_us))
            if outcome is Outcome.OK:
                self._idle.setdefault((whose, endpoint), []).append(then_us)
                self.whole.append(then_us - self._work[name][0])
            if module is not None:
                attempt = self._attempts[name]
                self._attempts[name] += 1
                self._tell(whose, then_us, api.AttemptEnded(name, attempt, endpoint, outcome, spent_us,
                                                            outcome is Outcome.OK))
            elif outcome is not Outcome.OK:
                self._send(whose, then_us, self._plain(then_us), name)

        if server.down:
            self._at(now_us + MS, lambda then: end(then, Outcome.CONNECT_FAILED))
            return
        self._at(now_us + timeout_us, lambda then: end(then, Outcome.TIMEOUT))
        if not server.hung:
            server.queue.append((self._work[name][1], end))
            self._serve(server, now_us)

    def _serve(self, server: Server, now_us: int) -> None:
        while server.queue and server.busy < server.lanes and not server.hung:
            work, end = server.queue.popleft()
            server.busy += 1
            self._at(now_us + int(work / server.speed(now_us)) + 1, lambda then, end=end: self._done(server, then, end))

    def _done(self, server: Server, now_us: int, end: Callable[[int, Outcome], None]) -> None:
        server.busy -= 1
        if not server.hung:
            end(now_us, Outcome.OK)
        self._serve(server, now_us)

    def shares(self) -> tuple[float, float]:
        """Largest and smallest in any second: the calls at an endpoint, by what it can carry, over the mean of those
        that are listed and well throughout that second."""
        scene, ill = self.scene, {"e1"} if self.scene.trouble in ("slow", "hung", "cold") else set()
        high, low = 0.0, math.inf
        for second in range(scene.span_s):
            if scene.trouble == "lull" and scene.at_s <= second < scene.at_s + 4:
                continue
            if scene.trouble == "list":
                names = [n for n in self.servers if (n[0] == "e" if second < scene.at_s else n in self.listed)]
            else:
                names = [n for n in self.servers if n not in ill or second < scene.at_s]
            counts = {n: sum(at // S == second for at in self.servers[n].sent) / self.servers[n].lanes for n in names}
            mean = sum(counts.values()) / len(names)
            if mean:
                high, low = max(high, max(counts.values()) / mean), min(low, min(counts.values()) / mean)
        return high, low

    def p99_ms(self) -> float:
        """Of the calls' round trips; one that times out took so long."""
        spent = sorted(took for _, took in self.times)
        return spent[int(len(spent) * 0.99)] / MS

    def ill_share(self) -> float:
        """Calls at the endpoint in trouble from three seconds after its beginning, over an even part."""
        from_us = (self.scene.at_s + 3) * S
        calls = {name: sum(at >= from_us for at in server.sent) for name, server in self.servers.items()}
        return calls["e1"] * len(self.listed) / max(sum(calls.values()), 1)

    def connections(self) -> float:
        """New ones a message."""
        return self.opened / max(len(self.arrivals), 1)

    def figures(self) -> dict[str, float]:
        high, low = self.shares()
        whole = sorted(self.whole)
        return {"high": high, "low": low, "p99": self.p99_ms(), "whole": whole[int(len(whole) * 0.99)] / MS,
                "conns": self.connections(), "ill": self.ill_share(), "done": len(whole) / len(self.arrivals)}


def mean(scene: Scene, seeds: Iterable[int], way: str = "module") -> dict[str, float]:
    """The mean figures of these plays."""
    plays = [Play(scene, seed, way).figures() for seed in seeds]
    return {name: sum(play[name] for play in plays) / len(plays) for name in plays[0]}
