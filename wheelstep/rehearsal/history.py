"""What the stand-ins saw, as plain facts: the one thing that the judge reads.

Times are whole microseconds since the rehearsal's start, all by the rig's one clock. No I/O; `historyfile`
turns a history into lines of JSON and back.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum


class Effect(StrEnum):
    """What a repeat of a message does at its destination."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class End(StrEnum):
    """How a hand-in ended for its client."""

    ANSWERED = "answered"
    TIMED_OUT = "timed_out"  # the client waited its time and closed the connection
    ENDED = "ended"  # the connection ended with no answer, after the request's last byte
    CROSSED = "crossed"  # the same on a connection that had stood idle: sent once more on a new one
    UNREACHED = "unreached"  # no connection came up, or it broke before the last byte


class How(StrEnum):
    """How a call ended at its endpoint."""

    ANSWERED = "answered"  # an answer was written
    SPOILT = "spoilt"  # something was written that is no whole answer
    RESET = "reset"  # the endpoint broke the connection
    CLOSED = "closed"  # the courier closed it, or died
    OPEN = "open"  # neither, until the rehearsal's end


class Fate(StrEnum):
    """What an endpoint told of one message in a call."""

    DELIVERED = "delivered"
    FAILED = "failed"  # it may have run
    REFUSED = "refused"  # it never ran
    OVER = "over"
    SPENT = "spent"
    UNTOLD = "untold"


NEVER_RAN = frozenset({Fate.REFUSED, Fate.OVER, Fate.SPENT})


@dataclass(frozen=True, slots=True)
class HandIn:
    """A client's request, its last byte written at `at_us`. `deadline_us` is when the message's time is up.
    `origin` is the number of the planned message, the same for all its tries."""

    at_us: int
    courier: str
    message: str
    origin: int
    message_class: str
    destination: int
    key: str | None
    deadline_us: int


@dataclass(frozen=True, slots=True)
class Answer:
    """What its client heard; `status` is 0 where it heard nothing."""

    at_us: int
    courier: str
    message: str
    end: End
    status: int = 0


@dataclass(frozen=True, slots=True)
class Call:
    """A call whose last byte came. `fates` has one entry a message; `ran` says which took effect by then."""

    courier: str
    endpoint: str
    destination: int
    first_us: int
    last_us: int
    messages: tuple[str, ...]
    how: How
    ended_us: int  # the answer's first byte, or the connection's end
    fates: tuple[Fate, ...]
    ran: tuple[bool, ...] = ()
    wait_us: int = 0  # the wait that the answer told


@dataclass(frozen=True, slots=True)
class Probe:
    """A health check; `fine` if it was answered 200."""

    courier: str
    endpoint: str
    destination: int
    at_us: int
    fine: bool


@dataclass(frozen=True, slots=True)
class Told:
    """Discovery wrote an endpoint's state to a courier, or counts as having done so."""

    at_us: int
    courier: str
    endpoint: str
    state: str  # SERVING, DRAINING or DELETED


@dataclass(frozen=True, slots=True)
class Notice:
    """The courier told the platform of a message's end; `at_us` is when the notice was answered."""

    at_us: int
    courier: str
    message: str
    outcome: str  # given_up or handed_back
    retry_us: int = 0


class Turn(StrEnum):
    """What happened to a courier's process."""

    READY = "ready"
    KILLED = "killed"
    TERMINATED = "terminated"
    PAUSED = "paused"
    RESUMED = "resumed"
    EXITED = "exited"  # after TERM or KILL
    CRASHED = "crashed"  # by itself
    NEVER_READY = "never_ready"
    PART_DOWN = "a worker was ended"
    PART_UP = "a worker must have been replaced"


@dataclass(frozen=True, slots=True)
class Life:
    """A turn in a courier's life; `code` is an exit's, negative for a signal's."""

    at_us: int
    courier: str
    turn: Turn
    code: int = 0


@dataclass(frozen=True, slots=True)
class Outage:
    """An endpoint was out; from `end_us` on it is cold. `per_s` is what it does warm, in calls a second."""

    endpoint: str
    destination: int
    start_us: int
    end_us: int
    per_s: float


@dataclass(frozen=True, slots=True)
class Strange:
    """Something that no courier may do: an unknown message, a changed body, a wrong destination."""

    at_us: int
    courier: str
    endpoint: str
    what: str


@dataclass(frozen=True, slots=True)
class Late:
    """The machine ran late: the rig's own turn, or the time that a courier's process stood in line for a core."""

    at_us: int
    who: str
    late_us: int


Fact = HandIn | Answer | Call | Probe | Told | Notice | Life | Outage | Strange | Late


@dataclass(frozen=True, slots=True)
class ClassFigures:
    """What the judge must know of a class of messages."""

    effect: Effect
    ordered: bool
    deadline_us: int
    key_life_us: int = 0
    promise_us: int = 0
    worth: float = 1.0
    late_worth: float = 0.0


@dataclass(frozen=True, slots=True)
class Figures:
    """The figures of the rules, from the scenario; nothing here comes from the courier."""

    classes: dict[str, ClassFigures]
    drain_grace_us: int = 250_000
    fall_multiple: float = 1.5
    overload_for_us: int = 3_000_000
    cold_from: float = 0.27
    cold_us: int = 14_000_000
    order_settle_us: int = 300_000
    routes_apart: frozenset[int] = frozenset()  # destinations whose endpoints are separate routes
    answer_slack_us: int = 300_000
    wait_grace_us: int = 100_000
    socket_slack_us: int = 50_000  # each time limit is so much longer on sockets
    restart_grace_us: int = 1_500_000  # no notice is overdue until so long after a courier is back


@dataclass(slots=True)
class History:
    """All facts of one rehearsal, in any order, and when it ended."""

    figures: Figures
    facts: list[Fact] = field(default_factory=list)
    end_us: int = 0

    def add(self, fact: Fact) -> None:
        """Append one fact."""
        self.facts.append(fact)
