"""The state of a sender: messages, destinations, endpoints and timers."""

import heapq
import math
import random
from collections import defaultdict
from dataclasses import replace

from wheelstep import interface as api
from wheelstep.interface import Effect, EndReason, Settings
from wheelstep.key_queue import KeyQueue
from wheelstep.linear_bounds import LinearBounds
from wheelstep.policy.endpoint import Endpoint
from wheelstep.policy.messages import Call, Destination, Message
from wheelstep.timer_queue import TimerQueue

T1_PROMISE_SHARE = 1 / 3  # T1 over the shortest promise: a lower one retries sooner and gates more often
FEW = 64  # up to so many ready destinations are all ranked in every batch


class SenderState:
    """Holds the state of a sender; queues and ends messages."""

    def __init__(self, settings: Settings, seed: int) -> None:
        api.check_settings(settings)
        self._settings, self._rng = settings, random.Random(seed)
        self._set_classes(settings.classes)
        self._now = self._calls_out = self._subscribe_wait_us = self._idle_reset_us = 0
        self._evictable_until_us = self._all_settled_us = 0  # no key's next message goes before the latter
        self._actions: list[api.Action] = []
        self._messages: dict[str, Message] = {}
        self._destinations: dict[int, Destination] = {}
        self._backlog: dict[int, Destination] = {}  # those with waiting messages
        self._ready: dict[int, Destination] = {}  # those of them to which something has happened
        self._dirty: dict[int, Destination] = {}  # those of them that must be ranked again
        self._bounds, self._using_bounds = LinearBounds(), False  # on gain rates, by destination number
        self._endpoints: dict[str, Endpoint] = {}
        self._resumed_calls: dict[int, Call] = {}  # an earlier process's calls, `slots` at most
        self._key_queues: dict[str, KeyQueue[Message]] = defaultdict(KeyQueue)
        self._timers: TimerQueue[Message] = TimerQueue()
        self._schedule = self._timers.add
        self._evictable: list[Message] = []  # messages that may be refused to make room, the least worth last
        self._armed_us = self._safe_idle_us = math.inf
        if settings.ask_for_list:
            self._schedule(0, lambda: self._actions.append(api.Subscribe()))

    def _set_classes(self, classes: tuple[api.MessageClass, ...]) -> None:
        """Set the classes of new messages. A known destination keeps the times that it was created with."""
        self._settings = replace(self._settings, classes=classes)
        self._using_bounds = False  # bounds were computed for the old classes
        self._promise_us = min(cls.promise_us for cls in classes)
        self._horizon_us = max(cls.promise_us for cls in classes)
        self._t1_us = max(1, int(self._promise_us * T1_PROMISE_SHARE))

    def _kind(self, info: api.EndpointInfo) -> api.DestinationKind:
        return self._settings.kinds[min(info.kind, len(self._settings.kinds) - 1)]

    def _destination(self, number: int) -> Destination:
        if number not in self._destinations:
            self._destinations[number] = Destination(number, self._settings, self._t1_us, self._rng)
        return self._destinations[number]

    def _forget_destination(self, number: int) -> None:
        """Drop a destination without endpoints, waiting messages and calls."""
        destination = self._destinations.get(number)
        if destination is not None and not (
                destination.endpoints or destination.waiting or destination.calls_out):
            for table in (self._destinations, self._ready, self._dirty):
                table.pop(number, None)
            self._bounds.remove(number)

    def _evict_message(self) -> None:
        """Refuse the message that will be worth least once its destination's backlog is sent."""
        if len(self._backlog) <= FEW or self._now >= self._evictable_until_us:
            self._evictable.clear()
        while self._evictable:
            message = self._evictable.pop()
            if message.queued and self._may_refuse(message):
                self._end(message, EndReason.NO_ROOM)
                return
        evictable = [
            (m.worth_at(self._now + d.waiting * self._t1_us, self._settings.decay), -d.waiting, m.id, m)
            for d in self._backlog.values() for m in self._heads(d)
            if not m.restored_untried and self._may_refuse(m)]
        if evictable:
            self._evictable = [
                row[3] for row in heapq.nsmallest(max(1, len(self._backlog) // 8), evictable)][::-1]
            self._evictable_until_us = self._now + self._t1_us // 4
            self._end(self._evictable.pop(), EndReason.NO_ROOM)

    def _enqueue(self, message: Message) -> None:
        if message.done or message.queued:
            return
        destination = self._destination(message.destination)
        message.queued = True
        destination.queues[message.cls].push(message, self._now + destination.retry_controller.tau_us)
        destination.waiting += 1
        self._backlog[destination.number] = destination
        self._mark_ready(destination)

    def _dequeue(self, message: Message) -> None:
        if message.queued:
            message.queued = False
            destination = self._destination(message.destination)
            destination.waiting -= 1
            if not destination.waiting:
                del self._backlog[destination.number]
            if destination.number in self._ready:
                self._dirty[destination.number] = destination

    def _mark_ready(self, destination: Destination) -> None:
        if destination.waiting:
            self._ready[destination.number] = self._dirty[destination.number] = destination

    def _check_at(self, destination: Destination, at_us: float) -> None:
        if at_us < math.inf and not self._now < destination.next_check_us <= at_us:
            destination.next_check_us = at_us
            self._schedule(at_us, lambda: self._mark_ready(destination))

    def _advance_key(self, key: str) -> None:
        """Queue the next message of a key once those before it have ended and the key has settled."""
        queue = self._key_queues.get(key)
        if queue is None:
            return
        queue.drop_ended()
        tried = bool(queue.messages and queue.messages[0].attempts)
        untried_settled_us = 0 if tried else max(queue.inherited_settled_us, self._all_settled_us)
        settled_us = max(queue.settled_us, untried_settled_us)
        if self._now < settled_us:
            self._schedule(settled_us, lambda: self._advance_key(key))
        elif not queue.messages:
            del self._key_queues[key]
        elif not queue.messages[0].attempts or queue.messages[0].restored_tried:
            self._enqueue(queue.messages[0])

    def _settle_keys(self, event: api.KeysSettling) -> None:
        """Hold back keys whose calls of an earlier process may still run."""
        self._all_settled_us = max(self._all_settled_us, self._now + event.all_us)
        for key, left_us in event.keys:
            queue = self._key_queues[key]
            queue.inherited_settled_us = max(queue.inherited_settled_us, self._now + left_us)
            self._advance_key(key)

    def _may_refuse(self, message: Message) -> bool:
        """Return whether a message may be handed in again: it never ran, or a repeat has no effect."""
        repeat_ignored = message.cls.effect is Effect.KEYED and not message.cls.zone_keys
        return message.ran_us is None or message.cls.effect is Effect.SAFE or repeat_ignored

    def _may_resend(self, message: Message, at_us: int) -> bool:
        max_attempts = message.cls.most_attempts or self._settings.max_attempts
        if message.attempts >= max_attempts or at_us >= self._latest_us(message):
            return False
        return message.ran_us is None or message.cls.effect is not Effect.UNSAFE

    def _latest_us(self, message: Message) -> int:
        """Return until when it may be sent: in its time, and while its destination remembers its key."""
        until_us = message.due_us
        if message.ran_us is not None and message.cls.effect is Effect.KEYED:
            until_us = min(until_us, message.ran_us + message.cls.key_ttl_us)
        return until_us - 2 * self._settings.tick_us

    def _end(self, message: Message, reason: EndReason) -> None:
        """End a message undelivered: refuse it where that is true and harmless, else fail it."""
        if message.done or message.call is not None:
            return
        if message.restored_untried and self._may_resend(message, self._now):  # its deadline's timer ends it
            self._dequeue(message)
            return
        refusal = api.Refuse(message.id, min(self._t1_us, self._settings.max_retry_after_us), reason)
        self._actions.append(refusal if self._may_refuse(message) else api.Fail(message.id, reason))
        self._close(message)

    def _close(self, message: Message) -> None:
        self._dequeue(message)
        if message.has_timer and not message.done:
            self._timers.mark_stale()
        message.done = True
        if message.call is None:
            self._messages.pop(message.id, None)
        if message.key is not None:
            self._advance_key(message.key)

    def _gain(self, message: Message, tau_us: float) -> float:
        """Return the worth that sending now saves over a promise later; ties go to the higher worth."""
        at_us = self._now + tau_us
        now_worth = message.worth_at(at_us, self._settings.decay)
        return now_worth - message.worth_at(at_us + self._horizon_us, self._settings.decay) + now_worth / 100

    def _heads(self, destination: Destination) -> list[Message]:
        """Return the first message of each queue and stage, the one with the highest gain first."""
        tau_us = destination.retry_controller.tau_us
        heads = [m for queue in destination.queues.values() for m in queue.heads(self._now + tau_us)]
        return sorted(heads, key=lambda m: -self._gain(m, tau_us))
