"""The actions that `Sender.handle` returns, and the health of an endpoint that they store.

Times are whole microseconds (`_us`). Imports nothing of the project; `interface` re-exports these.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


@dataclass(frozen=True, slots=True)
class Health:
    """What a later process must know of an endpoint: whether it is sick or returning, and for how long; the calls a
    second that it carried before (`base`); the paced rate of its route (0: unpaced), and the deliveries a second on it
    now (`carried`); its usual round trip and deviation; of its destination the window of calls and the mean time of a
    call (`tau_us`). 0 where nothing is known."""

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
    """Send the message; its attempts are numbered from 0 in the order of these actions. Its last byte must be sent
    within `latest_us` (0: no bound); where that is impossible, it is not sent and ends as `NOT_SENT`."""

    message: str
    endpoint: str
    timeout_us: int
    latest_us: int = 0
    once: bool = False  # may be sent only once: not on a connection that the endpoint may be about to close


class EndReason(Enum):
    """Why a message ends undelivered."""

    UNKNOWN = "unknown"
    NO_ROOM = "no room"  # the sender is full, and the others it holds are worth more
    TIME_UP = "time up"
    TOO_LATE = "too late to be answered"  # less time is left than a call takes
    RETRY_DENIED = "retry denied"  # by retry control
    NOT_REPEATABLE = "not repeatable"  # it may have run, has no attempt left, or no later attempt could be in time
    EXHAUSTED = "exhausted"  # the destination accepts no further attempt


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final: the message is handed back and may be handed in again; `retry_after_us` is a hint to the client."""

    message: str
    retry_after_us: int = 0
    reason: EndReason = field(default=EndReason.UNKNOWN, compare=False)


@dataclass(frozen=True, slots=True)
class Fail:
    """Final: the message has ended, and may have taken effect or not."""

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
    """Close the connections to an endpoint that have been idle for at least `idle_us`."""

    endpoint: str
    idle_us: int = 0


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request a `TimerFired` event after `in_us`."""

    timer: int
    in_us: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Request the endpoint list, and its changes from now on."""


@dataclass(frozen=True, slots=True)
class WriteLog:
    """Write one log line for operators."""

    text: str


@dataclass(frozen=True, slots=True)
class NoteHealth:
    """Store the health of an endpoint for a later process of this sender, in place of an earlier note."""

    endpoint: str
    health: Health


Action = (StartAttempt | Refuse | Fail | CancelAttempt | Probe | CloseIdle | SetTimer | Subscribe | WriteLog
          | NoteHealth)
