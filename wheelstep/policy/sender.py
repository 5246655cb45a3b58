"""A sender: the events of a moment in, actions out. Types are in wheelstep/interface.py."""

from __future__ import annotations

import heapq
import math
from dataclasses import replace

from wheelstep import interface as api
from wheelstep.interface import EndpointState, EndReason
from wheelstep.policy.choice import Choice
from wheelstep.policy.endpoint import Call, Endpoint
from wheelstep.policy.messages import Message
from wheelstep.policy.pacer import Pacer

TIMERS = 5_000  # timers fire in one batch, the others in the next ones
LEAST_DEAD = 4_096  # timers of messages that are over are dropped from so many on, if they are the half


class Sender(Choice):
    """Feed it every event of a moment with `handle`; carry out the actions that it returns, in order."""

    def handle(self, now_us: int, events: list[api.Event]) -> list[api.Action]:
        """Take what has happened by `now_us` and say what to do about it."""
        self._now, self._actions = now_us, []
        for event in events:
            self._take(event)
        for _ in range(TIMERS):
            if not self._heap or self._heap[0][0] > now_us:
                break
            _, _, what, message = heapq.heappop(self._heap)
            if message is not None:
                self._dead -= message.done
                message.timed = False
            what()
        self._dispatch()
        if self._dead > max(LEAST_DEAD, len(self._heap) // 2):
            self._heap = [timer for timer in self._heap if timer[3] is None or not timer[3].done]
            heapq.heapify(self._heap)
            self._dead = 0
        if self._heap and self._heap[0][0] < self._armed_us:
            self._armed_us = self._heap[0][0]
            self._actions.append(api.SetTimer(0, max(self._heap[0][0] - now_us, 0)))
        return self._actions

    def _take(self, event: api.Event) -> None:
        match event:
            case api.MessageAccepted():
                self._accept(event)
            case api.MessageRestored():
                self._restore(event)
            case api.AttemptEnded():
                self._ended(event)
            case api.TimerFired():
                self._armed_us = math.inf
            case api.MembershipReceived():
                self._members(event)
            case api.MessageWithdrawn() if event.message in self._messages:
                self._close(self._messages[event.message])
            case api.ProbeEnded() if event.endpoint in self._endpoints:
                self._learn(self._endpoints[event.endpoint], event)
            case api.HealthRestored() if event.endpoint in self._endpoints:
                self._recall(self._endpoints[event.endpoint], event)
            case api.ClassesChanged():
                self._classes(event.classes)
            case api.KeysSettling():
                self._settle(event)
            case api.DestinationsDropped():
                for number in event.destinations:
                    self._forget(number)

    def _members(self, event: api.MembershipReceived) -> None:
        if event.kind is api.ListKind.UNAVAILABLE:
            self._asked_wait_us = max(min(self._asked_wait_us * 2, self._s.ask_within_us // 2), self._t1_us)
            self._at(self._now + self._asked_wait_us, lambda: self._actions.append(api.Subscribe()))
            return
        self._asked_wait_us = 0
        if event.kind is not api.ListKind.CHANGES:
            named = {info.endpoint for info in event.entries}
            for gone in [e.info for e in self._endpoints.values() if e.info.endpoint not in named]:
                self._list(replace(gone, state=EndpointState.REMOVED))
        for info in event.entries:
            self._list(info)

    def _list(self, info: api.EndpointInfo) -> None:
        destination = self._destination(info.destination)
        endpoint = self._endpoints.get(info.endpoint)
        self._touch(destination)
        if info.state is EndpointState.REMOVED:
            if endpoint is not None:
                endpoint.pacer.endpoints -= 1
                destination.endpoints.remove(self._endpoints.pop(info.endpoint))
            return
        if endpoint is None:
            pacer = destination.pacer or Pacer(self._s.senders, self._t1_us, self._rng)
            destination.pacer = None if self._kind(info).routes_apart else pacer
            endpoint = self._endpoints[info.endpoint] = Endpoint(
                info, self._s, pacer, self._promise_us, self._rng)
            destination.endpoints.append(endpoint)
            pacer.endpoints += 1
            if self._s.weights_are_rates:
                pacer.know_limit(info.weight)
        was, endpoint.info = endpoint.info.state, info
        if was is not info.state:
            (endpoint.drains if info.state is EndpointState.DRAINING else endpoint.returns)(self._now)

    def _accept(self, event: api.MessageAccepted, makes_room: bool = True) -> None:
        cls = self._s.classes[event.message_class]
        message = self._messages[event.message] = Message(event, cls, self._now)
        if makes_room and len(self._messages) >= self._s.hold_limit:
            self._make_room()
        self._at(message.due_us - 2 * self._s.tick_us, lambda: self._end(message, EndReason.TIME_UP), message)
        if message.key is None:
            self._queue(message)
        else:
            self._key_queues[message.key].messages.append(message)
            self._advance(message.key)

    def _restore(self, event: api.MessageRestored) -> None:
        """Go on with a message of an earlier process. Guards against effects taken twice: what may have run
        before binds as if it had been seen to here, and the key rests again once the message has ended."""
        self._accept(event.accepted, makes_room=False)
        message = self._messages[event.accepted.message]
        message.attempts, message.resumes = event.attempts, event.attempts > 0
        message.owed = not event.attempts
        if event.ran_ago_us is not None:
            message.ran_us, message.ran_zone = self._now - event.ran_ago_us, event.ran_zone
            message.settled_us = self._now + self._s.order_settle_us
        if event.out is not None:
            self._resume(message, event.out)
        elif not self._may_resend(message, self._now):
            self._end(message, EndReason.NOT_REPEATABLE)
        if message.key is not None:
            self._advance(message.key)  # what was tried has its turn, though all keys may settle

    def _resume(self, message: Message, out: api.CallOut) -> None:
        """Its call is out as if it had been sent here: it holds its slot, its endpoint and its key."""
        self._unqueue(message)
        destination = self._destination(message.destination)
        if out.number not in self._resumed:
            info = api.EndpointInfo(out.endpoint, message.destination, state=EndpointState.REMOVED)
            endpoint = self._endpoints.get(out.endpoint) or Endpoint(
                info, self._s, Pacer(self._s.senders, self._t1_us, self._rng), self._promise_us, self._rng)
            call = self._resumed[out.number] = Call(endpoint, self._now - out.sent_ago_us, endpoint.sick)
            endpoint.calls[call] = None
            destination.calls_out += 1
            self._calls_out += 1
            if not endpoint.watched:
                self._watch(endpoint)
        message.resumes = False
        message.call = call = self._resumed[out.number]
        call.size, call.open = call.size + 1, call.open + 1
        call.messages.append(message)
