"""Senders and one destination whose endpoints have an outage and return cold, in virtual time and without sockets."""

from __future__ import annotations

import heapq
import math
import random
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from helpers import MS, S

from wheelstep import Sender, Settings
from wheelstep import interface as api
from wheelstep.interface import EndpointState, ListKind, Outcome

SERVICE_US = 300 * MS
COLD_FROM, COLD_US = 0.27, 14 * S
MULTIPLE, WINDOW_US = 1.5, 3 * S
TOLD_SHARE = 2 / 3  # of the calls of an overload, from senders that knew of the outage: more breaks the rule
FAST_US = 5 * MS  # a refusal, a reset or an error
DEADLINE_US = 12 * S
CLASS = api.MessageClass(2_500 * MS, DEADLINE_US, api.Effect.SAFE, 1.0, 0.5)
DESTINATION = 7


@dataclass(frozen=True)
class Trouble:
    """An outage. `kind`: `refused`, `reset`, `errors`, `silent`, `hung` (calls are answered after it), `shut` (503), or
    `most` (`share` of the calls is reset); `unlucky` has the same share and is no outage: nothing is cold after it.
    `event` happens in the middle of it, `event_at` being its share of the duration."""

    kind: str
    seconds: float
    share: float = 0.75
    event: str = ""  # kill, stop, upgrade, reload, relist, rename, drain
    event_at: float = 0.5
    one_endpoint: bool = False


@dataclass(eq=False)
class _Call:
    owner: _Owner
    message: str  # empty: a probe
    attempt: int
    endpoint: str
    sent_us: int
    closed: bool = False
    serving: bool = False


@dataclass(eq=False)
class _Owner:
    """One sender, and what its process holds of messages."""

    sender: Sender
    due_us: dict[str, int] = field(default_factory=dict)
    attempts: dict[str, int] = field(default_factory=dict)
    ran_us: dict[str, int] = field(default_factory=dict)
    calls: dict[str, _Call] = field(default_factory=dict)
    notes: dict[str, tuple[int, api.Health]] = field(default_factory=dict)
    delivered: int = 0
    stopped: bool = False
    told: bool = False  # of a call that failed in the outage, or was refused


class _Endpoint:
    """Serves some calls at once, queues `queue` times as many and turns the rest away."""

    def __init__(self, servers: int, queue: int) -> None:
        self.free, self.queue_limit = servers, queue * servers
        self.servers = servers
        self.waiting: deque[_Call] = deque()
        self.calls: list[_Call] = []
        self.down = False
        self.pushes: list[tuple[int, _Owner]] = []  # when calls and probes arrived, and whose they were


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
        self._slots, self._senders, self._now, self._count, self._messages = slots, senders, 0, 0, 0
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self.endpoints = {f"e{number}": _Endpoint(servers, queue) for number in range(endpoints)}
        self._listed = [api.EndpointInfo(name, DESTINATION) for name in self.endpoints]
        self.owners = [_Owner(self._new_sender()) for _ in range(senders)]
        self.offered = 0
        self.logs: list[tuple[int, str]] = []
        self.ramps = 0  # how often a sender had an endpoint return by a ramp
        self._slow_us = slow_us  # what one call takes, the first in the trouble; 0: none

    def _new_sender(self) -> Sender:
        return Sender(Settings(
            classes=(CLASS,), slots=self._slots, hold_limit=500, senders=max(2, self._senders), tick_us=5 * MS,
            max_attempts=12, may_probe=True, may_duplicate=True, limits_reported=True, answer_slack_us=5 * MS,
            max_retry_after_us=3 * S, conn_idle_us=10 * S, drain_grace_us=250 * MS, fall_multiple=MULTIPLE,
            overload_for_us=WINDOW_US, cold_from=COLD_FROM, cold_us=COLD_US,
            order_settle_us=300 * MS), self.rng.randrange(1 << 30))

    def _schedule(self, at_us: float, action: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._queue, (int(at_us), self._count, action))

    def run(self) -> World:
        """Play the scene to its end."""
        for owner in self.owners:
            self._post(owner, api.MembershipReceived(ListKind.WHOLE, tuple(self._listed)))
        self._next_arrival()
        trouble = self.trouble
        self._schedule(self.begin_us, self._begin)
        self._schedule(self.back_us, self._return)
        if trouble.event:
            event_us = self.begin_us + trouble.event_at * trouble.seconds * S
            for owner in self.owners:
                self._schedule(event_us, lambda owner=owner: getattr(self, f"_event_{trouble.event}")(owner))
        while self._queue and self._queue[0][0] <= self.end_us:
            self._now, _, action = heapq.heappop(self._queue)
            action()
        return self

    def _next_arrival(self) -> None:
        self._schedule(self._now + self.rng.expovariate(self.offered_per_s) * S, self._arrive)

    def _arrive(self) -> None:
        self._next_arrival()
        self._messages += 1
        self.offered += 1
        owner, name = self.rng.choice(self.owners), f"m{self._messages}"
        owner.due_us[name] = self._now + DEADLINE_US
        if not owner.stopped:
            self._post(owner, api.MessageAccepted(name, 0, DESTINATION, DEADLINE_US))

    # The sender's side.

    def _post(self, owner: _Owner, *events: api.Event) -> None:
        for action in owner.sender.handle(self._now, list(events)):
            self._carry_out(owner, action)

    def _carry_out(self, owner: _Owner, action: api.Action) -> None:
        match action:
            case api.StartAttempt(name, endpoint, timeout_us):
                attempt = owner.attempts[name] = owner.attempts.get(name, -1) + 1
                call = owner.calls[name] = _Call(owner, name, attempt, endpoint, self._now)
                self._schedule(self._now + MS, lambda: self._arrive_at(call))
                self._schedule(self._now + timeout_us, lambda: self._end(call, Outcome.TIMEOUT))
            case api.Probe(endpoint):
                probe = _Call(owner, "", 0, endpoint, self._now)
                self._schedule(self._now + MS, lambda: self._arrive_at(probe))
                self._schedule(self._now + 1_500 * MS, lambda: self._end(probe, Outcome.TIMEOUT))
            case api.CancelAttempt(name):
                if name in owner.calls:
                    cancelled = owner.calls[name]
                    self._schedule(self._now, lambda: self._end(cancelled, Outcome.CANCELLED))
            case api.Refuse(name) | api.Fail(name):
                owner.due_us.pop(name, None)
            case api.SetTimer(timer, in_us):
                self._schedule(self._now + in_us, lambda sender=owner.sender: self._fire(owner, sender, timer))
            case api.NoteHealth(endpoint, health):
                self.ramps += health.returning
                owner.notes[endpoint] = self._now, health
            case api.WriteLog(text):
                self.logs.append((self._now, text))

    def _fire(self, owner: _Owner, sender: Sender, timer: int) -> None:
        if sender is owner.sender and not owner.stopped:
            self._post(owner, api.TimerFired(timer))

    def _end(self, call: _Call, outcome: Outcome) -> None:
        if call.closed:
            return
        call.closed = True
        owner, spent_us = call.owner, self._now - call.sent_us
        if outcome not in (Outcome.OK, Outcome.CANCELLED) and self.begin_us <= self._now < self.back_us:
            owner.told = True
        if not call.message:
            self._post(owner, api.ProbeEnded(call.endpoint, outcome, spent_us))
            return
        if owner.calls.pop(call.message, None) is None:
            return
        if outcome is Outcome.OK:
            owner.delivered += 1
            owner.due_us.pop(call.message, None)
        elif outcome is not Outcome.CONNECT_FAILED:
            owner.ran_us.setdefault(call.message, call.sent_us)
        if not owner.stopped:
            self._post(owner, api.AttemptEnded(call.message, call.attempt, call.endpoint, outcome, spent_us,
                                               outcome is Outcome.OK))

    # The endpoint's side.

    def share(self, at_us: int) -> float:
        """Return the share of its capacity that an endpoint with the outage has at a time."""
        if at_us < self.back_us or self.trouble.kind == "unlucky":
            return 1.0
        return min(1.0, COLD_FROM + (1 - COLD_FROM) * (at_us - self.back_us) / COLD_US)

    def _troubled(self) -> list[_Endpoint]:
        return list(self.endpoints.values())[:1 if self.trouble.one_endpoint else None]

    def _begin(self) -> None:
        for endpoint in self._troubled():
            endpoint.down = True
            if self.trouble.kind not in ("most", "unlucky", "errors", "shut", "hung"):
                lost = [call for call in (*endpoint.calls, *endpoint.waiting) if not call.closed]
                endpoint.calls, endpoint.free, endpoint.waiting = [], endpoint.servers, deque()
                if self.trouble.kind != "silent":
                    for call in lost:
                        self._end(call, Outcome.RESET)

    def _return(self) -> None:
        for endpoint in self._troubled():
            endpoint.down = False
            if self.trouble.kind == "hung":
                held = [*endpoint.calls, *endpoint.waiting]
                endpoint.calls, endpoint.free, endpoint.waiting = [], endpoint.servers, deque()
                for call in held:
                    if not call.closed:
                        self._take(endpoint, call)

    def _arrive_at(self, call: _Call) -> None:
        endpoint = self.endpoints.get(call.endpoint)
        if endpoint is None or call.closed:
            self._end(call, Outcome.CONNECT_FAILED)
            return
        endpoint.pushes.append((self._now, call.owner))
        if not endpoint.down:
            self._take(endpoint, call)
            return
        kind = self.trouble.kind
        if kind == "refused":
            self._end(call, Outcome.CONNECT_FAILED)
        elif kind in ("reset", "errors", "shut"):
            outcome = {"reset": Outcome.RESET, "errors": Outcome.ERROR, "shut": Outcome.FULL}[kind]
            self._schedule(self._now + FAST_US, lambda: self._end(call, outcome))
        elif kind == "hung":
            if len(endpoint.waiting) < endpoint.queue_limit:
                endpoint.waiting.append(call)
        elif kind in ("most", "unlucky"):
            if self.rng.random() < self.trouble.share:
                self._schedule(self._now + FAST_US, lambda: self._end(call, Outcome.RESET))
            else:
                self._take(endpoint, call)

    def _take(self, endpoint: _Endpoint, call: _Call) -> None:
        if endpoint.free <= 0:
            if len(endpoint.waiting) >= endpoint.queue_limit:
                self._end(call, Outcome.FULL)
            else:
                endpoint.waiting.append(call)
            return
        self._serve(endpoint, call)

    def _serve(self, endpoint: _Endpoint, call: _Call) -> None:
        endpoint.free -= 1
        endpoint.calls.append(call)
        cold = endpoint in self._troubled()
        spent_us = SERVICE_US * self.rng.uniform(0.7, 1.3) / (self.share(self._now) if cold else 1.0)
        if endpoint.down and self._slow_us:
            spent_us, self._slow_us = self._slow_us, 0
        self._schedule(self._now + spent_us, lambda: self._served(endpoint, call))

    def _served(self, endpoint: _Endpoint, call: _Call) -> None:
        if call not in endpoint.calls:
            return  # lost in the outage
        endpoint.calls.remove(call)
        if endpoint.down and self.trouble.kind == "hung":
            endpoint.waiting.appendleft(call)
            return
        endpoint.free += 1
        self._end(call, Outcome.OK)
        if endpoint.waiting and endpoint.free > 0:
            self._serve(endpoint, endpoint.waiting.popleft())

    # What happens beside the outage.

    def _restart(self, owner: _Owner, notes: dict[str, tuple[int, api.Health]], down_us: int) -> None:
        """Replace the process: calls that are out are lost, with no outcome for the new process."""
        for name, call in list(owner.calls.items()):
            call.closed = True
            owner.ran_us.setdefault(name, call.sent_us)
        owner.calls.clear()
        owner.stopped = True
        self._schedule(self._now + down_us, lambda: self._start(owner, notes))

    def _start(self, owner: _Owner, notes: dict[str, tuple[int, api.Health]]) -> None:
        owner.sender, owner.stopped = self._new_sender(), False
        events: list[api.Event] = [api.MembershipReceived(ListKind.RESTORED, tuple(self._listed))]
        events += [api.HealthRestored(name, health, self._now - at_us) for name, (at_us, health) in notes.items()]
        for name, due_us in owner.due_us.items():
            if due_us > self._now:
                ran_us = owner.ran_us.get(name)
                accepted = api.MessageAccepted(name, 0, DESTINATION, due_us - self._now)
                events.append(api.MessageRestored(accepted, owner.attempts.get(name, -1) + 1,
                                                  None if ran_us is None else self._now - ran_us))
        self._post(owner, *events)

    def _event_kill(self, owner: _Owner) -> None:
        self._restart(owner, dict(owner.notes), 300 * MS)

    def _event_stop(self, owner: _Owner) -> None:
        notes = {note.endpoint: (self._now, note.health) for note in owner.sender.notes(self._now)}
        self._restart(owner, {**owner.notes, **notes}, 300 * MS)

    def _event_upgrade(self, owner: _Owner) -> None:
        notes = {note.endpoint: (self._now, note.health) for note in owner.sender.notes(self._now)}
        calls = dict(owner.calls)
        owner.sender = self._new_sender()
        events: list[api.Event] = [api.MembershipReceived(ListKind.RESTORED, tuple(self._listed))]
        events += [api.HealthRestored(name, health, self._now - at_us)
                   for name, (at_us, health) in {**owner.notes, **notes}.items()]
        for number, (name, due_us) in enumerate(owner.due_us.items()):
            accepted = api.MessageAccepted(name, 0, DESTINATION, max(1, due_us - self._now))
            ran_us, call = owner.ran_us.get(name), calls.get(name)
            out = api.CallInProgress(number, call.endpoint, self._now - call.sent_us) if call else None
            events.append(api.MessageRestored(accepted, owner.attempts.get(name, -1) + 1,
                                              None if ran_us is None else self._now - ran_us, out=out))
        self._post(owner, *events)

    def _event_reload(self, owner: _Owner) -> None:
        self._post(owner, api.ClassesChanged((CLASS,)),
                   api.MembershipReceived(ListKind.WHOLE, tuple(self._listed)))

    def _event_relist(self, owner: _Owner) -> None:
        """The list loses the endpoints for a moment."""
        self._post(owner, *(self._forget(owner, info) for info in self._listed))
        self._schedule(self._now + 100 * MS, lambda: self._post(
            owner, api.MembershipReceived(ListKind.CHANGES, tuple(self._listed))))

    @staticmethod
    def _forget(owner: _Owner, info: api.EndpointInfo) -> api.Event:
        owner.notes.pop(info.endpoint, None)
        removed = api.EndpointInfo(info.endpoint, DESTINATION, state=EndpointState.REMOVED)
        return api.MembershipReceived(ListKind.CHANGES, (removed,))

    def _event_rename(self, owner: _Owner) -> None:
        """Each endpoint gets another name."""
        renamed = [api.EndpointInfo(f"{info.endpoint}-new", DESTINATION) for info in self._listed]
        for info in self._listed:
            self.endpoints[f"{info.endpoint}-new"] = self.endpoints[info.endpoint]
        self._post(owner, api.MembershipReceived(ListKind.WHOLE, tuple(renamed)))

    def _event_drain(self, owner: _Owner) -> None:
        draining = [api.EndpointInfo(info.endpoint, DESTINATION, state=EndpointState.DRAINING)
                    for info in self._listed]
        self._post(owner, api.MembershipReceived(ListKind.CHANGES, tuple(draining)))
        self._schedule(self._now + 100 * MS, lambda: self._post(
            owner, api.MembershipReceived(ListKind.CHANGES, tuple(self._listed))))

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


def allowed_calls(fair: float) -> float:
    """Return how many calls a cold endpoint survives where `fair` is what the settings allow it."""
    factor = 3 if fair < 30 else 2
    return fair + factor * math.sqrt(fair) + factor


def worst_window(pushes: Sequence[tuple[int, bool]], back_us: int, capacity_per_s: float,
                 share: Callable[[int], float]) -> tuple[float, int, float, float]:
    """Return the window of cold time with most calls for what is allowed, among those of which over two thirds came
    from senders that had been told of the outage. `pushes` has the time of a call, and whether its sender had."""
    worst = (0.0, 0, 0.0, 0.0)
    end = told = 0
    for index, (begin_us, _) in enumerate(pushes):
        if begin_us - back_us > COLD_US:
            break
        while end < len(pushes) and pushes[end][0] < begin_us + WINDOW_US:
            told += pushes[end][1]
            end += 1
        told_here, told = told, told - pushes[index][1]
        if told_here <= TOLD_SHARE * (end - index):
            continue
        mean_share = sum(share(begin_us + WINDOW_US * step // 30) for step in range(30)) / 30
        allowed = allowed_calls(MULTIPLE * capacity_per_s * WINDOW_US / S * mean_share)
        count = end - index
        worst = max(worst, (count / allowed, count, allowed, (begin_us - back_us) / S))
    return worst
