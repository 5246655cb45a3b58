"""Dispatch: which message goes next, and to which endpoint."""

import heapq
import math

from wheelstep import interface as api
from wheelstep.interface import Effect, EndReason
from wheelstep.policy.balancing import next_in_turn
from wheelstep.policy.call_times import call_weight
from wheelstep.policy.endpoint import Endpoint
from wheelstep.policy.messages import Call, Destination, Message
from wheelstep.policy.outcomes import Outcomes
from wheelstep.policy.ranking import Ranked, Ranking

RISKY_FAILURE_SHARE = 0.2  # failure share above which messages that may be sent only once wait
NEAR = 0.02  # a bound that is higher than the best gain rate by less than this share is not followed up
MAX_RANKED_PER_BATCH = 1_000  # changed destinations ranked in a batch; the others follow in the next ones


class Dispatch(Ranking, Outcomes):
    """Gives slots to the destinations with the highest gain rates, and an endpoint to each message."""

    def _in_doubt(self, destination: Destination) -> bool:
        return (destination.retry_controller.tau_us >= self._t1_us
                or any(e.sick for e in destination.endpoints))

    def _dispatch(self) -> None:
        """Send while slots are free, the highest gain rate first; what can't be sent waits for an event."""
        if self._calls_out >= self._settings.slots:
            return
        ranked: Ranked = []
        to_rank = self._destinations_to_rank()
        for destination in to_rank[:MAX_RANKED_PER_BATCH]:
            self._rank(destination, ranked)
        if len(to_rank) > MAX_RANKED_PER_BATCH:  # keeps the event loop from blocking if all change at once
            self._dirty.update({later.number: later for later in to_rank[MAX_RANKED_PER_BATCH:]})
            self._schedule(self._now, lambda: None)
        while self._calls_out < self._settings.slots:
            while (top := self._bounds.highest(self._now)) is not None and (
                    not ranked or top < (ranked[0][0] * (1 + NEAR), ranked[0][1])):
                self._rank(self._ready[top[1]], ranked)
            if not ranked:
                break
            _, number, heads = heapq.heappop(ranked)
            destination = self._ready[number]
            if self._send_one(destination, heads):
                self._rank(destination, ranked)
            else:
                self._drop_ready(number)
        if self._using_bounds:
            for gain_rate, number, heads in ranked:
                self._add_bound(self._ready[number], -gain_rate, heads)

    def _send_one(self, destination: Destination, heads: list[Message]) -> bool:
        """Start one call to a destination, or end heads that are too late; return whether it did either."""
        if not destination.window.has_room(destination.calls_out, self._in_doubt(destination)):
            return False
        if too_late := [m for m in heads if self._now + destination.expected_us() > m.due_us]:
            # Sent in order, all messages of a backlog as old as its deadline would come too late.
            for message in too_late:
                self._end(message, EndReason.TOO_LATE)
            return True
        ready = {endpoint: endpoint.ready_us() for endpoint in destination.endpoints}
        usable = [endpoint for endpoint, at_us in ready.items() if at_us <= self._now]
        for message in heads:
            if candidates := [endpoint for endpoint in usable if self._may_send_to(message, endpoint)]:
                min_cost = min(map(self._cost, candidates))
                cheapest = [endpoint for endpoint in candidates if self._cost(endpoint) == min_cost]
                self._start_call(
                    message, next_in_turn(destination, cheapest, self._now, self._rng), destination)
                return True
        for endpoint in usable:
            if self._settings.may_probe and endpoint.sick:  # none of the messages may go as a trial
                self._actions.append(api.Probe(endpoint.info.endpoint))
                endpoint.record_sent(self._now, 1)
        # What keeps messages from a usable endpoint may pass with time: check again after T1.
        self._check_at(destination, min(max(at_us, self._now + self._t1_us) if at_us <= self._now else at_us
                                        for at_us in [*ready.values(), math.inf]))
        return False

    def _cost(self, endpoint: Endpoint) -> tuple[float, bool]:
        """Return the sort key of an endpoint: fees first; among equal ones, a due trial comes first."""
        zone = endpoint.info.zone
        fee = sum(self._settings.zone_fees[zone:zone + 1]) if self._kind(endpoint.info).routes_apart else 0.0
        fee += self._settings.cross_zone_price if zone != self._settings.zone else 0.0
        return fee, not endpoint.sick

    def _may_send_to(self, message: Message, endpoint: Endpoint) -> bool:
        """Return whether a message may go to an endpoint: what may be sent only once, to no failing one."""
        moved = message.ran_us is not None and endpoint.info.zone != message.ran_zone
        if not self._may_resend(message, self._now) or message.cls.zone_keys and moved:
            return False
        waits = self._settings.may_probe or self._now <= message.promised_us
        risky = waits if endpoint.sick else endpoint.failures.read(self._now) > RISKY_FAILURE_SHARE
        return not risky or message.cls.effect is not Effect.UNSAFE

    def _start_call(self, first: Message, endpoint: Endpoint, destination: Destination) -> None:
        """Start a call with the first message and, where calls hold more, the next that may share it."""
        idle_us = 0 if endpoint.calls or endpoint.last_used_us < 0 else self._now - endpoint.last_used_us
        if idle_us > self._max_idle_us():
            self._actions.append(api.CloseIdle(endpoint.info.endpoint))
            idle_us = 0
        call = Call(endpoint, self._now, endpoint.sick, idle_us)
        room = 1 if call.trial else self._kind(endpoint.info).per_call
        messages = [first]
        for message in messages:
            self._dequeue(message)
            message.call = call
            if len(messages) < room:
                min_due_us = self._now + destination.expected_us()
                messages += [m for m in self._heads(destination)
                             if m.due_us >= min_due_us and self._may_send_to(m, endpoint)][:1]
        call.size, call.open_messages, call.messages = len(messages), len(messages), messages
        for message in messages:
            message.attempts, message.restored_tried = message.attempts + 1, False
            patience = call_weight(call.size) * (2 - self._calls_out / self._settings.slots)  # by free slots
            patience_us = patience * max(message.cls.promise_us, endpoint.times.overdue_us())
            timeout_us = min(message.due_us - self._now, int(patience_us))
            latest_us, once = self._latest_us(message) - self._now, message.cls.effect is Effect.UNSAFE
            self._actions.append(api.StartAttempt(
                message.id, endpoint.info.endpoint, timeout_us, latest_us, once))
        endpoint.calls[call] = None
        endpoint.record_sent(self._now, call.open_messages)
        if not endpoint.silence_timer_set:
            self._check_silence(endpoint)
        destination.calls_out += 1
        self._calls_out += 1
