"""The facts that the stand-ins record, which are the judge's only input.

Times are whole microseconds since the rehearsal's start by the rig's clock. No I/O; `historyfile` converts a history to
lines of JSON and back, so the names of the fact classes, of their fields and the values of the enums are its format.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum


class Effect(StrEnum):
    """The effect of a repeated message at its destination."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class End(StrEnum):
    """How a submission ended for its client."""

    ANSWERED = "answered"
    TIMED_OUT = "timed_out"  # the client's timeout passed and it closed the connection
    ENDED = "ended"  # the connection ended without an answer after the request's last byte
    CROSSED = "crossed"  # as ENDED, on a reused idle connection; the request was sent again on a new one
    UNREACHED = "unreached"  # no connection, or it broke before the request's last byte


class How(StrEnum):
    """How a call ended at its endpoint."""

    ANSWERED = "answered"  # an answer was written
    SPOILT = "spoilt"  # a malformed answer was written
    RESET = "reset"  # the endpoint reset the connection
    CLOSED = "closed"  # the courier closed the connection or exited
    OPEN = "open"  # still in progress at the rehearsal's end


class Fate(StrEnum):
    """What an endpoint answered about one message of a call."""

    DELIVERED = "delivered"
    FAILED = "failed"  # it may have run
    REFUSED = "refused"  # it never ran
    OVER = "over"
    SPENT = "spent"
    UNTOLD = "untold"


NEVER_RAN = frozenset({Fate.REFUSED, Fate.OVER, Fate.SPENT})


@dataclass(frozen=True, slots=True)
class HandIn:
    """A client's submission, sent at `at_us`. `origin` is the number of the planned message, the same for all its
    submissions. The message's deadline passes at `deadline_us`, a time of the rehearsal. `effect` is what the client
    meant where settings change; None: that of the class.
    """

    at_us: int
    courier: str
    message: str
    origin: int
    message_class: str
    destination: int
    key: str | None
    deadline_us: int
    effect: Effect | None = None


@dataclass(frozen=True, slots=True)
class Answer:
    """How a submission ended for the client; `status` is 0 without an answer."""

    at_us: int
    courier: str
    message: str
    end: End
    status: int = 0


@dataclass(frozen=True, slots=True)
class Call:
    """A call that an endpoint received completely. `fates` and `ran` have one entry per message; `ran` says which
    messages the endpoint had processed by `ended_us`.
    """

    courier: str
    endpoint: str
    destination: int
    first_us: int
    last_us: int
    messages: tuple[str, ...]
    how: How
    ended_us: int  # the time of the answer's first byte, or of the connection's end
    fates: tuple[Fate, ...]
    ran: tuple[bool, ...] = ()
    wait_us: int = 0  # the wait that the answer announced


@dataclass(frozen=True, slots=True)
class Probe:
    """A health check; `fine` if its answer was 200."""

    courier: str
    endpoint: str
    destination: int
    at_us: int
    fine: bool


@dataclass(frozen=True, slots=True)
class Told:
    """Discovery told a courier an endpoint's state, or counts as having told it."""

    at_us: int
    courier: str
    endpoint: str
    state: str  # SERVING, DRAINING or DELETED


@dataclass(frozen=True, slots=True)
class Excluded:
    """An operator excluded an endpoint at a courier, which counts from the courier's consent, or included it again
    (`out` is false), which counts from the command."""

    at_us: int
    courier: str
    endpoint: str
    out: bool


@dataclass(frozen=True, slots=True)
class Notice:
    """A courier's notification of a message's outcome; `at_us` is when the platform answered it."""

    at_us: int
    courier: str
    message: str
    outcome: str  # given_up or handed_back
    retry_us: int = 0


class Turn(StrEnum):
    """An event in the life of a courier's process."""

    READY = "ready"
    KILLED = "killed"
    TERMINATED = "terminated"
    PAUSED = "paused"
    RESUMED = "resumed"
    EXITED = "exited"  # after SIGTERM or SIGKILL
    CRASHED = "crashed"  # exited by itself
    NEVER_READY = "never_ready"
    WORKER_DOWN = "a worker was ended"
    WORKER_REPLACED = "a worker must have been replaced"


@dataclass(frozen=True, slots=True)
class Life:
    """An event of a courier's process; `code` is its exit code, negative for a signal."""

    at_us: int
    courier: str
    turn: Turn
    code: int = 0


@dataclass(frozen=True, slots=True)
class Outage:
    """An outage of an endpoint, which is cold from `end_us` on. `per_s` is its full capacity in calls per second."""

    endpoint: str
    destination: int
    start_us: int
    end_us: int
    per_s: float


@dataclass(frozen=True, slots=True)
class Strange:
    """A protocol violation by a courier, such as an unknown message, a changed body or a wrong destination."""

    at_us: int
    courier: str
    endpoint: str
    what: str


@dataclass(frozen=True, slots=True)
class Late:
    """The machine ran late: the rig's event loop was delayed, or a courier's process waited for a core."""

    at_us: int
    who: str
    late_us: int


Fact = HandIn | Answer | Call | Probe | Told | Excluded | Notice | Life | Outage | Strange | Late


@dataclass(frozen=True, slots=True)
class ClassFigures:
    """A message class as the judge needs it."""

    effect: Effect
    ordered: bool
    deadline_us: int
    key_life_us: int = 0
    promise_us: int = 0
    worth: float = 1.0
    late_worth: float = 0.0


@dataclass(frozen=True, slots=True)
class Figures:
    """The parameters of the rules. They come from the scenario, never from the courier."""

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
    socket_slack_us: int = 50_000  # added to each time limit, for the sockets' delays
    restart_grace_us: int = 1_500_000  # no notification is overdue until this long after a restart


@dataclass(slots=True)
class History:
    """All facts of one rehearsal, in any order, and its end."""

    figures: Figures
    facts: list[Fact] = field(default_factory=list)
    end_us: int = 0

    def add(self, fact: Fact) -> None:
        """Append one fact."""
        self.facts.append(fact)
