"""What a sender asks for: the actions that come out of `Sender.handle`, and what it wants kept of an endpoint.

Times are whole microseconds (`_us`). Imports nothing of the project; `interface` hands these on.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


@dataclass(frozen=True, slots=True)
class Health:
    """What must not be forgotten of an endpoint: is it out or on its way back, and for how long; what it carried a
    second before; the paced rate of its route (0: unpaced), and what that carries a second now; its usual round trip;
    of its destination the window of calls and the mean time of a call. 0 where nothing is known."""

    sick: bool
    returning: bool
    base: float
    rate: float
    returning_us: int = 0
    carried: float = 0.0
    usual_us: int = 0
    deviation_us: int = 0
    window: float = 0.0
    tau_us: int = 0


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Send the message; attempts of a message are numbered from 0 in the order of these. Its last byte goes out within
    `latest_us` (0: no bound), or none does: then it ends as `NOT_SENT`."""

    message: str
    endpoint: str
    timeout_us: int
    latest_us: int = 0
    once: bool = False  # it may not be sent again: not on a connection that the endpoint may be about to end


class EndReason(Enum):
    """Why a message ends undelivered."""

    UNKNOWN = "unknown"
    NO_ROOM = "no room"  # others that are worth more are held
    TIME_UP = "time up"
    TOO_LATE = "too late to be answered"  # less time is left than a call takes
    RETRY_DENIED = "retry denied"  # by the ratio control of retries
    NOT_REPEATABLE = "not repeatable"  # it may have run, has no attempt left, or no later one could be in time
    EXHAUSTED = "exhausted"  # the destination takes no further attempt


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final: handed back, safe to hand in again; `retry_after_us` is a hint to the client."""

    message: str
    retry_after_us: int = 0
    reason: EndReason = field(default=EndReason.UNKNOWN, compare=False)


@dataclass(frozen=True, slots=True)
class Fail:
    """Final: ended without a word on whether it took effect."""

    message: str
    reason: EndReason = field(default=EndReason.UNKNOWN, compare=False)


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for one attempt."""

    message: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Check an endpoint without a message."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close the idle connections to an endpoint, those that have been idle for so long at least."""

    endpoint: str
    idle_us: int = 0


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a `TimerFired`."""

    timer: int
    in_us: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask for the list and its changes from now on."""


@dataclass(frozen=True, slots=True)
class WriteLog:
    """One plain line for the operators."""

    text: str


@dataclass(frozen=True, slots=True)
class NoteHealth:
    """Keep this for a later process of this sender, in place of what was noted of the endpoint before."""

    endpoint: str
    health: Health


Action = (StartAttempt | Refuse | Fail | CancelAttempt | Probe | CloseIdle | SetTimer | Subscribe | WriteLog
          | NoteHealth)
