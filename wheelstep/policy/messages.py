"""Messages, the order in which they wait, and what is known of the destination that they wait for."""

from __future__ import annotations

import heapq
import math
import random
from collections import defaultdict, deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from wheelstep import interface as api
from wheelstep.interface import Decay, Settings
from wheelstep.policy.endpoint import Call, Endpoint
from wheelstep.policy.pacer import Pacer
from wheelstep.policy.retry import RetryLoop, Window


class Message:
    """A message held here."""

    def __init__(self, event: api.MessageAccepted, cls: api.MessageClass, now_us: int) -> None:
        self.id, self.cls = event.message, cls
        self.destination, self.key = event.destination, event.key if cls.ordered else None
        self.due_us = now_us + event.left_us
        handed_us = self.due_us - cls.deadline_us if event.resubmitted else now_us  # a client may leave early
        self.promised_us = handed_us + cls.promise_us
        self.attempts = self.ran_zone = self.settled_us = 0  # its key rests until `settled_us`
        self.call: Call | None = None
        self.ran_us: int | None = None  # when the first attempt that may have run was sent
        self.done = self.queued = self.resumes = False
        self.owed = False  # an earlier process took it on, and no endpoint has heard of it yet
        self.timed = True  # the timer of its end is still to come

    def worth_at(self, at_us: float, decay: Decay) -> float:
        late_us, cls = at_us - self.promised_us, self.cls
        if at_us >= self.due_us:
            return 0.0
        if late_us <= 0:
            return cls.worth
        if decay is Decay.EVEN:
            span_us = max(cls.deadline_us - cls.promise_us, 1)
            return cls.worth * (1 - (1 - cls.late_worth) * late_us / span_us)
        return cls.worth * float(max(0.5 ** (late_us / cls.promise_us), cls.late_worth))


class Line:
    """The waiting messages of one destination and class, in two stages: those that
    can still keep the promise, earliest first; those that are late, the newest first where worth falls by
    halves (the old ones have little left to lose)."""

    def __init__(self, decay: Decay) -> None:
        self._decay = decay
        self._stages: tuple[list[tuple[int, int, Message]], ...] = ([], [])
        self._count = 0

    def place(self, message: Message, at_us: float) -> None:
        self._count += 1
        stage, rank = self._stage(message, at_us)
        heapq.heappush(stage, (rank, self._count, message))

    def _stage(self, message: Message, at_us: float) -> tuple[list[tuple[int, int, Message]], int]:
        if at_us <= message.promised_us:
            return self._stages[0], message.promised_us
        return self._stages[1], message.due_us if self._decay is Decay.EVEN else -message.due_us

    def heads(self, at_us: float) -> Iterator[Message]:
        """The first of each stage."""
        for stage in self._stages:
            while stage and (not stage[0][2].queued or self._stage(stage[0][2], at_us)[0] is not stage):
                message = heapq.heappop(stage)[2]
                if message.queued:
                    self.place(message, at_us)
            if stage:
                yield stage[0][2]


def marks_rise(message: Message, at_us: float, horizon_us: float) -> bool:
    """Does its gain grow just then? Its later self has passed the promise, itself it has not."""
    later_us = at_us + horizon_us
    return at_us <= message.promised_us <= later_us < message.due_us


class Destination:
    """What is known of one destination, and the messages that wait for it."""

    def __init__(self, number: int, settings: Settings, t1_us: int, rng: random.Random) -> None:
        self.number = number
        self.loop, self.window = RetryLoop(settings.slots, t1_us, rng), Window(settings.slots)
        self.endpoints: list[Endpoint] = []
        self.lines: dict[api.MessageClass, Line] = defaultdict(lambda: Line(settings.decay))
        self.pacer: Pacer | None = None  # where the endpoints share one limit
        self.waiting = self.calls_out = 0
        self.look_us: float = math.inf  # when it will be looked at again, if nothing happens before
        self.turn = 0.0  # the start tag of its last call, see spread.py
        self.stamp = 0  # which look at it the bound on what it can earn is from

    def needs_us(self) -> float:
        """How long a call takes at its quickest endpoint; 0 where that is not known."""
        return min((endpoint.needs_us() for endpoint in self.endpoints), default=0.0)


@dataclass(slots=True)
class KeyQueue:
    """The messages of one key, in the order in which they were taken."""

    messages: deque[Message] = field(default_factory=deque)
    settled_us: int = 0
