"""What a sender has in hand: messages, destinations, endpoints and timers."""

from __future__ import annotations

import heapq
import math
import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import replace

from wheelstep import interface as api
from wheelstep.interface import Effect, EndReason, Settings
from wheelstep.policy.endpoint import Call, Endpoint
from wheelstep.policy.messages import Destination, KeyQueue, Message

T1_OF_PROMISE = 1 / 3  # T1 as a share of the tightest promise: lower retries sooner, gates more often
FEW = 64  # so many destinations are all ranked in every batch


class Holding:
    """The state of a sender, and how messages wait and end."""

    def __init__(self, settings: Settings, seed: int) -> None:
        api.check_settings(settings)
        self._s, self._rng = settings, random.Random(seed)
        self._classes(settings.classes)
        self._now = self._calls_out = self._count = self._asked_wait_us = self._reaped_us = 0
        self._actions: list[api.Action] = []
        self._messages: dict[str, Message] = {}
        self._destinations: dict[int, Destination] = {}
        self._backlog: dict[int, Destination] = {}  # those with messages waiting
        self._ready: dict[int, Destination] = {}  # those of them that something has happened to
        self._news: dict[int, Destination] = {}  # of these, the ones that must be looked at anew
        # What each can earn at most, by how fast that rises: at time 0 and negative; number; stamp.
        self._bounds: dict[float, list[tuple[float, int, int]]] = {}
        self._lapses: list[tuple[float, int, int]] = []  # until when that holds
        self._stamp, self._bounding = 0, False
        self._endpoints: dict[str, Endpoint] = {}
        self._resumed: dict[int, Call] = {}  # an earlier process's calls, `slots` at most
        self._key_queues: dict[str, KeyQueue] = defaultdict(KeyQueue)
        self._all_settled_us = 0  # until then any key may have a call of a process before that still runs
        self._heap: list[tuple[int, int, Callable[[], None], Message | None]] = []
        self._dead = 0  # of these, so many are of messages that are over
        self._loose: list[Message] = []  # what may be handed back to make room, the least worth last
        self._loose_until_us = 0
        self._armed_us = self._safe_idle_us = math.inf
        if settings.ask_for_list:
            self._at(0, lambda: self._actions.append(api.Subscribe()))

    def _classes(self, classes: tuple[api.MessageClass, ...]) -> None:
        """New messages are of these. What is known of a destination keeps the times that it began with."""
        self._s = replace(self._s, classes=classes)
        self._bounding = False  # bounds were made for the old ones
        self._promise_us = min(cls.promise_us for cls in classes)
        self._horizon_us = max(cls.promise_us for cls in classes)
        self._t1_us = max(1, int(self._promise_us * T1_OF_PROMISE))

    def _at(self, when_us: float, what: Callable[[], None], message: Message | None = None) -> None:
        """Do it then; where it is a message's own end, not once that is over."""
        self._count += 1
        heapq.heappush(self._heap, (math.ceil(when_us), self._count, what, message))

    def _kind(self, info: api.EndpointInfo) -> api.Kind:
        return self._s.kinds[min(info.kind, len(self._s.kinds) - 1)]

    def _destination(self, number: int) -> Destination:
        if number not in self._destinations:
            self._destinations[number] = Destination(number, self._s, self._t1_us, self._rng)
        return self._destinations[number]

    def _forget(self, number: int) -> None:
        known = self._destinations.get(number)
        if known is not None and not (known.endpoints or known.waiting or known.calls_out):
            for table in (self._destinations, self._ready, self._news):
                table.pop(number, None)

    def _make_room(self) -> None:
        """Hand back what is worth least once its destination's backlog has gone, before others are turned
        away. So no backlog shuts out the rest; it harms one that is about to go faster than one in T1. Among
        many destinations one look at all of them serves for a while: worth moves little within that."""
        if len(self._backlog) <= FEW or self._now >= self._loose_until_us:
            self._loose.clear()
        while self._loose:
            message = self._loose.pop()
            if message.queued and self._may_refuse(message):
                self._end(message, EndReason.NO_ROOM)
                return
        loose = [(m.worth_at(self._now + d.waiting * self._t1_us, self._s.decay), -d.waiting, m.id, m)
                 for d in self._backlog.values() for m in self._heads(d)
                 if not m.owed and self._may_refuse(m)]
        if loose:
            self._loose = [row[3] for row in heapq.nsmallest(max(1, len(self._backlog) // 8), loose)][::-1]
            self._loose_until_us = self._now + self._t1_us // 4
            self._end(self._loose.pop(), EndReason.NO_ROOM)

    def _queue(self, message: Message) -> None:
        if message.done or message.queued:
            return
        destination = self._destination(message.destination)
        message.queued = True
        destination.lines[message.cls].place(message, self._now + destination.loop.tau_us)
        destination.waiting += 1
        self._backlog[destination.number] = destination
        self._touch(destination)

    def _unqueue(self, message: Message) -> None:
        if message.queued:
            message.queued = False
            destination = self._destination(message.destination)
            destination.waiting -= 1
            if not destination.waiting:
                del self._backlog[destination.number]
            if destination.number in self._ready:
                self._news[destination.number] = destination

    def _touch(self, destination: Destination) -> None:
        """Something has happened to this destination: look at it in this batch, if messages wait there."""
        if destination.waiting:
            self._ready[destination.number] = self._news[destination.number] = destination

    def _look_at(self, destination: Destination, at_us: float) -> None:
        """Look at a destination again then, whatever happens."""
        if at_us < math.inf and not self._now < destination.look_us <= at_us:
            destination.look_us = at_us
            self._at(at_us, lambda: self._touch(destination))

    def _advance(self, key: str) -> None:
        """Let the next message of a key go once those before it have ended and the key has rested."""
        queue = self._key_queues.get(key)
        if queue is None:
            return
        while queue.messages and queue.messages[0].done and queue.messages[0].call is None:
            queue.settled_us = max(queue.settled_us, queue.messages.popleft().settled_us)
        tried = bool(queue.messages and queue.messages[0].attempts)
        settled_us = queue.settled_us if tried else max(queue.settled_us, self._all_settled_us)
        if self._now < settled_us:
            self._at(settled_us, lambda: self._advance(key))
        elif not queue.messages:
            del self._key_queues[key]
        elif not queue.messages[0].attempts or queue.messages[0].resumes:
            self._queue(queue.messages[0])

    def _settle(self, event: api.KeysSettling) -> None:
        """A process before had calls of these keys out, which may still run."""
        self._all_settled_us = max(self._all_settled_us, self._now + event.all_us)
        for key, left_us in event.keys:
            queue = self._key_queues[key]
            queue.settled_us = max(queue.settled_us, self._now + left_us)
            self._advance(key)

    def _may_refuse(self, message: Message) -> bool:
        known = message.cls.effect is Effect.KEYED and not message.cls.zone_keys
        return message.ran_us is None or message.cls.effect is Effect.SAFE or known

    def _may_resend(self, message: Message, at_us: int) -> bool:
        most = message.cls.most_attempts or self._s.max_attempts
        if message.attempts >= most or at_us >= self._latest_us(message):
            return False
        return message.ran_us is None or message.cls.effect is not Effect.UNSAFE

    def _latest_us(self, message: Message) -> int:
        """Until when it may be sent: before its end, and while its destination remembers it."""
        until_us = message.due_us
        if message.ran_us is not None and message.cls.effect is Effect.KEYED:
            until_us = min(until_us, message.ran_us + message.cls.key_ttl_us)
        return until_us - 2 * self._s.tick_us

    def _end(self, message: Message, reason: EndReason) -> None:
        """The final answer: refuse where that is true and harmless, else fail."""
        if message.done or message.call is not None:
            return
        if message.owed and self._may_resend(message, self._now):  # its timer ends it
            self._unqueue(message)
            return
        refusal = api.Refuse(message.id, min(self._t1_us, self._s.max_retry_after_us), reason)
        self._actions.append(refusal if self._may_refuse(message) else api.Fail(message.id, reason))
        self._close(message)

    def _close(self, message: Message) -> None:
        self._unqueue(message)
        self._dead += message.timed and not message.done
        message.done = True
        if message.call is None:
            self._messages.pop(message.id, None)
        if message.key is not None:
            self._advance(message.key)

    def _gain(self, message: Message, tau_us: float) -> float:
        """The worth that sending now saves over sending a promise later; ties go by worth."""
        at_us = self._now + tau_us
        now_worth = message.worth_at(at_us, self._s.decay)
        return now_worth - message.worth_at(at_us + self._horizon_us, self._s.decay) + now_worth / 100

    def _heads(self, destination: Destination) -> list[Message]:
        """The first of each line and stage, the most pressing first."""
        tau_us = destination.loop.tau_us
        heads = [m for line in destination.lines.values() for m in line.heads(self._now + tau_us)]
        return sorted(heads, key=lambda m: -self._gain(m, tau_us))
