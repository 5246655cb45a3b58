"""Senders and one destination whose endpoints have an outage and return cold, in virtual time and without sockets."""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Callable

from helpers import MS, S
from returning_events import EVENTS
from returning_scene import (
    COLD_FROM,
    COLD_US,
    DEADLINE_US,
    DESTINATION,
    FAST_US,
    HARMLESS,
    SERVICE_US,
    WINDOW_US,
    Call,
    Endpoint,
    Owner,
    Trouble,
    settings,
    worst_window,
)

from wheelstep import Sender
from wheelstep import interface as api
from wheelstep.interface import ListKind, Outcome


class World:
    """`senders` senders offer `load` of what `endpoints` endpoints with `servers` servers each can do."""

    def __init__(self, seed: int, trouble: Trouble, *, servers: int = 3, endpoints: int = 1, senders: int = 1,
                 load: float = 0.92, slots: int = 60, queue: int = 4, quiet_s: float = 12.0,
                 slow_us: int = 0) -> None:
        self.rng, self.trouble = random.Random(seed), trouble
        self.capacity_per_s = servers * endpoints * S / SERVICE_US
        self.offered_per_s = load * self.capacity_per_s
        self.begin_us = int(quiet_s * S)
        self.back_us = self.begin_us + int(trouble.seconds * S)
        self.end_us = self.back_us + COLD_US + WINDOW_US + 2 * S
        self._slots, self._senders, self.now_us, self._count, self._messages = slots, senders, 0, 0, 0
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self.endpoints = {f"e{number}": Endpoint(servers, queue) for number in range(endpoints)}
        self.listed = [api.EndpointInfo(name, DESTINATION) for name in self.endpoints]
        self.owners = [Owner(self.new_sender()) for _ in range(senders)]
        self.offered = 0
        self.logs: list[tuple[int, str]] = []
        self.ramps = 0  # how often a sender had an endpoint return by a ramp
        self._slow_us = slow_us  # what one call takes, the first in the trouble; 0: none

    def new_sender(self) -> Sender:
        return Sender(settings(self._slots, self._senders), self.rng.randrange(1 << 30))

    def schedule(self, at_us: float, action: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._queue, (int(at_us), self._count, action))

    def run(self) -> World:
        """Play the scene to its end."""
        for owner in self.owners:
            self.post(owner, api.MembershipReceived(ListKind.WHOLE, tuple(self.listed)))
        self._next_arrival()
        trouble = self.trouble
        self.schedule(self.begin_us, self._begin)
        self.schedule(self.back_us, self._return)
        if trouble.event:
            event_us = self.begin_us + trouble.event_at * trouble.seconds * S
            for owner in self.owners:
                self.schedule(event_us, lambda owner=owner: EVENTS[trouble.event](self, owner))
        while self._queue and self._queue[0][0] <= self.end_us:
            self.now_us, _, action = heapq.heappop(self._queue)
            action()
        return self

    def _next_arrival(self) -> None:
        self.schedule(self.now_us + self.rng.expovariate(self.offered_per_s) * S, self._arrive)

    def _arrive(self) -> None:
        self._next_arrival()
        self._messages += 1
        self.offered += 1
        owner, name = self.rng.choice(self.owners), f"m{self._messages}"
        owner.due_us[name] = self.now_us + DEADLINE_US
        if not owner.stopped:
            self.post(owner, api.MessageAccepted(name, 0, DESTINATION, DEADLINE_US))

    # The sender's side.

    def post(self, owner: Owner, *events: api.Event) -> None:
        for action in owner.sender.handle(self.now_us, list(events)):
            self._carry_out(owner, action)

    def _carry_out(self, owner: Owner, action: api.Action) -> None:
        match action:
            case api.StartAttempt(name, endpoint, timeout_us):
                attempt = owner.attempts[name] = owner.attempts.get(name, -1) + 1
                call = owner.calls[name] = Call(owner, name, attempt, endpoint, self.now_us)
                self.schedule(self.now_us + MS, lambda: self._arrive_at(call))
                self.schedule(self.now_us + timeout_us, lambda: self._end(call, Outcome.TIMEOUT))
            case api.Probe(endpoint):
                probe = Call(owner, "", 0, endpoint, self.now_us)
                self.schedule(self.now_us + MS, lambda: self._arrive_at(probe))
                self.schedule(self.now_us + 1_500 * MS, lambda: self._end(probe, Outcome.TIMEOUT))
            case api.CancelAttempt(name):
                if name in owner.calls:
                    cancelled = owner.calls[name]
                    self.schedule(self.now_us, lambda: self._end(cancelled, Outcome.CANCELLED))
            case api.Refuse(name) | api.Fail(name):
                owner.due_us.pop(name, None)
            case api.SetTimer(timer, in_us):
                self.schedule(self.now_us + in_us, lambda sender=owner.sender: self._fire(owner, sender, timer))
            case api.NoteHealth(endpoint, health):
                self.ramps += health.returning
                owner.notes[endpoint] = self.now_us, health
            case api.WriteLog(text):
                self.logs.append((self.now_us, text))

    def _fire(self, owner: Owner, sender: Sender, timer: int) -> None:
        if sender is owner.sender and not owner.stopped:
            self.post(owner, api.TimerFired(timer))

    def _end(self, call: Call, outcome: Outcome) -> None:
        if call.closed:
            return
        call.closed = True
        owner, spent_us = call.owner, self.now_us - call.sent_us
        if outcome not in (Outcome.OK, Outcome.CANCELLED) and self.begin_us <= self.now_us <= self.back_us:
            owner.told = True
        if not call.message:
            self.post(owner, api.ProbeEnded(call.endpoint, outcome, spent_us))
            return
        if owner.calls.pop(call.message, None) is None:
            return
        if outcome is Outcome.OK:
            owner.delivered += 1
            owner.due_us.pop(call.message, None)
        elif outcome is not Outcome.CONNECT_FAILED:
            owner.ran_us.setdefault(call.message, call.sent_us)
        if not owner.stopped:
            self.post(owner, api.AttemptEnded(call.message, call.attempt, call.endpoint, outcome, spent_us,
                                               outcome is Outcome.OK))

    # The endpoint's side.

    def share(self, at_us: int) -> float:
        """Return the share of its capacity that an endpoint with the outage has at a time."""
        if at_us < self.back_us or self.trouble.kind in HARMLESS:
            return 1.0
        return min(1.0, COLD_FROM + (1 - COLD_FROM) * (at_us - self.back_us) / COLD_US)

    def _troubled(self) -> list[Endpoint]:
        return list(self.endpoints.values())[:1 if self.trouble.one_endpoint else None]

    def _begin(self) -> None:
        for endpoint in self._troubled():
            endpoint.down = self.trouble.kind != "dropped"
            if self.trouble.kind in ("refused", "reset", "silent", "dropped"):
                lost = [call for call in (*endpoint.calls, *endpoint.waiting) if not call.closed]
                endpoint.calls, endpoint.free, endpoint.waiting = [], endpoint.servers, deque()
                if self.trouble.kind != "silent":
                    for call in lost:
                        self._end(call, Outcome.RESET)

    def _return(self) -> None:
        for endpoint in self._troubled():
            endpoint.down = False
            if self.trouble.kind in ("hung", "lost"):
                held = [*endpoint.calls, *endpoint.waiting]
                endpoint.calls, endpoint.free, endpoint.waiting = [], endpoint.servers, deque()
                for call in held:
                    if not call.closed:
                        self._take(endpoint, call) if self.trouble.kind == "hung" else self._end(call, Outcome.RESET)

    def _arrive_at(self, call: Call) -> None:
        endpoint = self.endpoints.get(call.endpoint)
        if endpoint is None or call.closed:
            self._end(call, Outcome.CONNECT_FAILED)
            return
        endpoint.pushes.append((self.now_us, call.owner))
        if not endpoint.down:
            self._take(endpoint, call)
            return
        kind = self.trouble.kind
        if kind == "refused":
            self._end(call, Outcome.CONNECT_FAILED)
        elif kind in ("reset", "errors", "shut"):
            outcome = {"reset": Outcome.RESET, "errors": Outcome.ERROR, "shut": Outcome.FULL}[kind]
            self.schedule(self.now_us + FAST_US, lambda: self._end(call, outcome))
        elif kind in ("hung", "lost"):
            if len(endpoint.waiting) < endpoint.queue_limit:
                endpoint.waiting.append(call)
        elif kind in ("most", "unlucky"):
            if self.rng.random() < self.trouble.share:
                self.schedule(self.now_us + FAST_US, lambda: self._end(call, Outcome.RESET))
            else:
                self._take(endpoint, call)

    def _take(self, endpoint: Endpoint, call: Call) -> None:
        if endpoint.free <= 0:
            if len(endpoint.waiting) >= endpoint.queue_limit:
                self._end(call, Outcome.FULL)
            else:
                endpoint.waiting.append(call)
            return
        self._serve(endpoint, call)

    def _serve(self, endpoint: Endpoint, call: Call) -> None:
        endpoint.free -= 1
        endpoint.calls.append(call)
        cold = endpoint in self._troubled()
        spent_us = SERVICE_US * self.rng.uniform(0.7, 1.3) / (self.share(self.now_us) if cold else 1.0)
        if endpoint.down and self._slow_us:
            spent_us, self._slow_us = self._slow_us, 0
        self.schedule(self.now_us + spent_us, lambda: self._served(endpoint, call))

    def _served(self, endpoint: Endpoint, call: Call) -> None:
        if call not in endpoint.calls:
            return  # lost in the outage
        endpoint.calls.remove(call)
        if endpoint.down and self.trouble.kind in ("hung", "lost"):
            endpoint.waiting.appendleft(call)
            return
        endpoint.free += 1
        self._end(call, Outcome.OK)
        if endpoint.waiting and endpoint.free > 0:
            self._serve(endpoint, endpoint.waiting.popleft())

    # What is judged.

    def told(self) -> bool:
        """Return whether a sender was told of a failed call in the outage."""
        return any(owner.told for owner in self.owners)

    def worst(self) -> tuple[float, int, float, float]:
        """Return the window after the outage with most calls for what is allowed: ratio, calls, allowed, its begin in
        seconds after the return."""
        troubled = {id(endpoint): endpoint for endpoint in self._troubled()}
        capacity = self.capacity_per_s * len(troubled) / len({id(e) for e in self.endpoints.values()})
        pushes = sorted((at, owner.told) for endpoint in troubled.values() for at, owner in endpoint.pushes
                        if at >= self.back_us)
        return worst_window(pushes, self.back_us, capacity, self.share)

    def delivered(self) -> int:
        """Return how many messages were delivered."""
        return sum(owner.delivered for owner in self.owners)
