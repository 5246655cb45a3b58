"""The sender: takes the events of a moment and returns actions. Types are in wheelstep/interface.py."""

import math
from dataclasses import replace

from wheelstep import interface as api
from wheelstep.interface import EndpointState, EndReason
from wheelstep.policy.dispatch import Dispatch
from wheelstep.policy.endpoint import Endpoint
from wheelstep.policy.messages import Call, Destination, Message
from wheelstep.policy.pacer import Pacer


class Sender(Dispatch):
    """Decides for one courier process: takes every event, and returns actions to carry out in order."""

    def handle(self, now_us: int, events: list[api.Event]) -> list[api.Action]:
        """Process the events up to `now_us` and the timers that are due; return the actions to carry out."""
        self._now, self._actions = now_us, []
        for event in events:
            self._handle_event(event)
        self._timers.fire(now_us)
        self._dispatch()
        self._timers.drop_stale()
        if (next_us := self._timers.next_us()) < self._armed_us:
            self._armed_us = next_us
            self._actions.append(api.SetTimer(0, max(int(next_us) - now_us, 0)))
        return self._actions

    def _handle_event(self, event: api.Event) -> None:
        match event:
            case api.MessageAccepted():
                self._accept(event)
            case api.MessageRestored():
                self._restore(event)
            case api.AttemptEnded():
                self._attempt_ended(event)
            case api.TimerFired():
                self._armed_us = math.inf
            case api.MembershipReceived():
                self._apply_membership(event)
            case api.MessageWithdrawn() if event.message in self._messages:
                self._close(self._messages[event.message])
            case api.ProbeEnded() if event.endpoint in self._endpoints:
                self._apply_outcome(self._endpoints[event.endpoint], event)
            case api.HealthRestored() if event.endpoint in self._endpoints:
                self._restore_health(self._endpoints[event.endpoint], event)
            case api.ClassesChanged():
                self._set_classes(event.classes)
            case api.KeysSettling():
                self._settle_keys(event)
            case api.DestinationsDropped():
                for number in event.destinations:
                    self._forget_destination(number)

    def _apply_membership(self, event: api.MembershipReceived) -> None:
        """Apply the list or changes to it; request an unavailable one again, with a wait that doubles."""
        if event.kind is api.ListKind.UNAVAILABLE:
            self._subscribe_wait_us = max(
                min(self._subscribe_wait_us * 2, self._settings.ask_within_us // 2), self._t1_us)
            self._schedule(self._now + self._subscribe_wait_us, lambda: self._actions.append(api.Subscribe()))
            return
        self._subscribe_wait_us = 0
        if event.kind is not api.ListKind.CHANGES:
            named = {info.endpoint for info in event.entries}
            for gone in [e.info for e in self._endpoints.values() if e.info.endpoint not in named]:
                self._apply_entry(replace(gone, state=EndpointState.REMOVED))
        for info in event.entries:
            self._apply_entry(info)

    def _apply_entry(self, info: api.EndpointInfo) -> None:
        destination = self._destination(info.destination)
        endpoint = self._endpoints.get(info.endpoint)
        self._mark_ready(destination)
        if info.state is EndpointState.REMOVED:
            if endpoint is not None:
                del endpoint.pacer.evidence.calls_out[info.endpoint]
                destination.endpoints.remove(self._endpoints.pop(info.endpoint))
                destination.left_health = self._now, endpoint.health(self._now, destination)
            return
        if endpoint is None:
            pacer = destination.pacer or self._new_pacer()
            destination.pacer = None if self._kind(info).routes_apart else pacer
            endpoint = self._endpoints[info.endpoint] = self._new_endpoint(info, pacer)
            destination.endpoints.append(endpoint)
            pacer.evidence.calls_out[info.endpoint] = endpoint.calls
            if self._settings.weights_are_rates:
                pacer.set_limit(info.weight)
            self._inherit_health(endpoint, destination)
        was, endpoint.info = endpoint.info.state, info
        if was is not info.state:
            (endpoint.mark_draining if info.state is EndpointState.DRAINING else endpoint.mark_up)(self._now)

    def _new_pacer(self) -> Pacer:
        return Pacer(self._settings.senders, self._t1_us, self._rng)

    def _new_endpoint(self, info: api.EndpointInfo, pacer: Pacer) -> Endpoint:
        return Endpoint(info, self._settings, pacer, self._promise_us, self._rng)

    def _inherit_health(self, endpoint: Endpoint, destination: Destination) -> None:
        """Continue with the health of the destination's others, or of the one that left, if none is well."""
        others = [other for other in destination.endpoints if other is not endpoint]
        noted_us, health = destination.left_health
        if others:
            noted_us, health = self._now, others[0].health(self._now, destination)
        if (health.sick or health.returning) and all(other.may_be_cold() for other in others):
            endpoint.restore(self._now, health, self._now - noted_us)
            self._note_health(endpoint)

    def _accept(self, event: api.MessageAccepted, enforce_limit: bool = True) -> None:
        """Hold a new message; `enforce_limit`: refuse the least worth one if the sender is full."""
        cls = self._settings.classes[event.message_class]
        message = self._messages[event.message] = Message(event, cls, self._now)
        if enforce_limit and len(self._messages) >= self._settings.hold_limit:
            self._evict_message()
        self._schedule(message.due_us - 2 * self._settings.tick_us,
                       lambda: self._end(message, EndReason.TIME_UP), message)
        if message.key is None:
            self._enqueue(message)
        else:
            self._key_queues[message.key].messages.append(message)
            self._advance_key(message.key)

    def _restore(self, event: api.MessageRestored) -> None:
        """Continue with a message of an earlier process, as if it had been sent from here."""
        self._accept(event.accepted, enforce_limit=False)
        message = self._messages[event.accepted.message]
        message.attempts, message.restored_tried = event.attempts, event.attempts > 0
        message.restored_untried = not event.attempts
        if event.ran_ago_us is not None:
            message.ran_us, message.ran_zone = self._now - event.ran_ago_us, event.ran_zone
            message.settled_us = self._now + self._settings.order_settle_us
        if event.out is not None:
            self._resume_call(message, event.out)
        elif not self._may_resend(message, self._now):
            self._end(message, EndReason.NOT_REPEATABLE)
        if message.key is not None:
            self._advance_key(message.key)  # one with attempts is next even while all keys settle

    def _resume_call(self, message: Message, out: api.CallInProgress) -> None:
        """Take over a call of an earlier process: it holds its slot, endpoint and key as if sent here."""
        self._dequeue(message)
        destination = self._destination(message.destination)
        if out.number not in self._resumed_calls:
            info = api.EndpointInfo(out.endpoint, message.destination, state=EndpointState.REMOVED)
            endpoint = self._endpoints.get(out.endpoint) or self._new_endpoint(info, self._new_pacer())
            call = Call(endpoint, self._now - out.sent_ago_us, endpoint.sick)
            self._resumed_calls[out.number] = call
            endpoint.calls[call] = None
            destination.calls_out += 1
            self._calls_out += 1
            if not endpoint.silence_timer_set:
                self._check_silence(endpoint)
        message.restored_tried = False
        message.call = call = self._resumed_calls[out.number]
        call.size, call.open_messages = call.size + 1, call.open_messages + 1
        call.messages.append(message)
