"""Messages, the order in which they wait, and the state of the destination that they wait for."""

from __future__ import annotations

import heapq
import math
import random
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field

from wheelstep import interface as api
from wheelstep.interface import Decay, Settings
from wheelstep.policy.endpoint import Endpoint
from wheelstep.policy.pacer import Pacer
from wheelstep.policy.retry import CallWindow, RetryController


@dataclass(eq=False, slots=True)
class Call:
    """A call in progress: one or more messages that share a slot and the call's outcome."""

    endpoint: Endpoint
    sent_us: int
    trial: bool  # sent while the endpoint was sick
    idle_us: int = 0  # how long its connection had been idle when it started
    size: int = 0  # in messages
    open_messages: int = 0  # those without an outcome
    judged: bool = False  # an outcome has counted for its window and endpoint
    messages: list[Message] = field(default_factory=list)
    later_answers: int = 0  # answered calls that were sent to this endpoint after this one
    cancelled: bool = False  # its cancellation has been requested


class Message:
    """A message that the sender holds, from its acceptance until its end."""

    def __init__(self, event: api.MessageAccepted, cls: api.MessageClass, now_us: int) -> None:
        self.id, self.cls = event.message, cls
        self.destination, self.key = event.destination, event.key if cls.ordered else None
        self.due_us = now_us + event.left_us
        accepted_us = self.due_us - cls.deadline_us if event.resubmitted else now_us  # may be shorter
        self.promised_us = accepted_us + cls.promise_us
        self.attempts = self.ran_zone = self.settled_us = 0  # its key waits until `settled_us`
        self.call: Call | None = None
        self.ran_us: int | None = None  # when the first attempt that may have run was sent
        self.done = self.queued = self.restored_tried = False
        self.restored_untried = False  # accepted by an earlier process, and not yet received by any endpoint
        self.has_timer = True  # the timer of its deadline has not fired

    def worth_at(self, at_us: float, decay: Decay) -> float:
        """Return its worth if it is delivered at `at_us`."""
        return self.cls.worth_when_late(at_us - self.promised_us, decay) if at_us < self.due_us else 0.0


class MessageQueue:
    """The waiting messages of a destination and class: those that can keep their promise, and late ones."""

    def __init__(self, decay: Decay) -> None:
        self._decay = decay
        self._stages: tuple[list[tuple[int, int, Message]], ...] = ([], [])
        self._count = 0

    def push(self, message: Message, at_us: float) -> None:
        """Add a message to the stage that it belongs to at `at_us`."""
        self._count += 1
        stage, rank = self._stage(message, at_us)
        heapq.heappush(stage, (rank, self._count, message))

    def _stage(self, message: Message, at_us: float) -> tuple[list[tuple[int, int, Message]], int]:
        if at_us <= message.promised_us:
            return self._stages[0], message.promised_us
        return self._stages[1], message.due_us if self._decay is Decay.EVEN else -message.due_us

    def heads(self, at_us: float) -> Iterator[Message]:
        """Yield the first message of each stage; moves those that have become late by `at_us`."""
        for stage in self._stages:
            while stage and (not stage[0][2].queued or self._stage(stage[0][2], at_us)[0] is not stage):
                message = heapq.heappop(stage)[2]
                if message.queued:
                    self.push(message, at_us)
            if stage:
                yield stage[0][2]


class Destination:
    """The state of one destination, and the messages that wait for it."""

    def __init__(self, number: int, settings: Settings, t1_us: int, rng: random.Random) -> None:
        self.number = number
        self.retry_controller, self.window = (
            RetryController(settings.slots, t1_us, rng), CallWindow(settings.slots))
        self.endpoints: list[Endpoint] = []
        self.queues: dict[api.MessageClass, MessageQueue] = defaultdict(lambda: MessageQueue(settings.decay))
        self.left_health = 0, api.Health(False, False, 0.0, 0.0)  # when an endpoint left last, and its health
        self.pacer: Pacer | None = None  # where the endpoints share one limit
        self.waiting = self.calls_out = 0
        self.next_check_us: float = math.inf  # when it is considered again if nothing happens before
        self.start_tag = 0.0  # of its last call, see balancing.py

    def expected_us(self) -> float:
        """Return how long a call is expected to take at its quickest endpoint; 0 where that is not known."""
        return min((endpoint.times.expected_us() for endpoint in self.endpoints), default=0.0)
