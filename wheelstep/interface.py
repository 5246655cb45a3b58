"""The types that go into and out of the decision module: settings, events and actions.

Times are whole microseconds (`_us`). A client hands in a *message*, which ends once. An *attempt* is one call for it
at an *endpoint* of its *destination*. `Sender.handle` takes events and returns actions.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from wheelstep.actions import Action as Action
from wheelstep.actions import CancelAttempt as CancelAttempt
from wheelstep.actions import CloseIdle as CloseIdle
from wheelstep.actions import EndReason as EndReason
from wheelstep.actions import Fail as Fail
from wheelstep.actions import Health as Health
from wheelstep.actions import NoteHealth as NoteHealth
from wheelstep.actions import Probe as Probe
from wheelstep.actions import Refuse as Refuse
from wheelstep.actions import SetTimer as SetTimer
from wheelstep.actions import StartAttempt as StartAttempt
from wheelstep.actions import Subscribe as Subscribe
from wheelstep.actions import WriteLog as WriteLog
from wheelstep.settings import Decay as Decay
from wheelstep.settings import DestinationKind as DestinationKind
from wheelstep.settings import Effect as Effect
from wheelstep.settings import MessageClass as MessageClass
from wheelstep.settings import Settings as Settings
from wheelstep.settings import check_settings as check_settings


class Outcome(Enum):
    """How an attempt or a probe ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"


NEVER_EXECUTED = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT})
"""Outcomes which prove that the attempt never ran."""

MAY_STILL_RUN = frozenset({Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED})
"""Outcomes after which the attempt may still be running at its endpoint, so that the key of its message settles."""


class EndpointState(Enum):
    """The state of an endpoint by the list, which says nothing of its health."""

    UP = "up"
    DRAINING = "draining"
    REMOVED = "removed"


class WaitReason(Enum):
    """Why the messages that wait for a destination are not sent now."""

    NOTHING = "nothing"  # the next batch sends one
    SLOTS = "slots"  # all slots of this sender are in use
    WINDOW = "window"  # the destination has as many concurrent calls as it may have
    LIMIT = "limit"  # the rate limit of its route, or a wait that the destination asked for
    SICK = "sick"  # its endpoints are sick, and no trial is due
    RETURNING = "returning"  # an endpoint that has recovered gets its traffic back by a ramp
    CROWDED = "crowded"  # an endpoint pauses after a refusal that reported no limit
    GONE = "gone"  # the list has no endpoint that is up
    DOUBT = "doubt"  # an endpoint could take a call, but none of the messages may go there


class ListKind(Enum):
    """What a membership event carries."""

    CHANGES = "changes"
    WHOLE = "whole"
    RESTORED = "restored"
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True, slots=True)
class EndpointInfo:
    """An entry of the list: an endpoint of a destination, and its state. `born_ms`: when it last started, Unix time; 0:
    long ago."""

    endpoint: str
    destination: int
    kind: int = 0
    zone: int = 0
    state: EndpointState = EndpointState.UP
    weight: float = 1.0
    born_ms: int = 0


@dataclass(frozen=True, slots=True)
class MembershipReceived:
    """The list, or changes to it; `UNAVAILABLE` has no entries and leaves the previous list in force."""

    kind: ListKind
    entries: tuple[EndpointInfo, ...] = ()


@dataclass(frozen=True, slots=True)
class MessageAccepted:
    """A new message; `left_us` is the time until its deadline."""

    message: str
    message_class: int
    destination: int
    left_us: int
    key: str | None = None
    resubmitted: bool = False  # the client hands it in again, or a sender that died had accepted it


@dataclass(frozen=True, slots=True)
class CallInProgress:
    """A call in progress of an earlier process, which will report its outcome. Messages with the same `number` share
    it."""

    number: int
    endpoint: str
    sent_ago_us: int


@dataclass(frozen=True, slots=True)
class MessageRestored:
    """A message that this sender accepted before its process was replaced. Of its `attempts` so far, those without an
    outcome count as ones that may have run, except one that is still `out` (None: there is none). `ran_ago_us` is how
    long ago the first that may have run was sent (None: none may have run), `ran_zone` its endpoint's zone. Messages
    are restored in the order of their acceptance."""

    accepted: MessageAccepted
    attempts: int = 0
    ran_ago_us: int | None = None
    ran_zone: int = 0
    out: CallInProgress | None = None


@dataclass(frozen=True, slots=True)
class KeysSettling:
    """Attempts of an earlier process may still be running: of each of `keys` for so many microseconds, of any key for
    `all_us`. Comes ahead of the restored messages."""

    keys: tuple[tuple[str, int], ...] = ()
    all_us: int = 0


@dataclass(frozen=True, slots=True)
class LimitReport:
    """What a destination reported of its limit: the unused share, and calls a second (0 where there is no limit)."""

    left: float
    per_s: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The one outcome of an attempt. `complete`: the message has ended with it or before; `wait_us`: how long the
    destination asked to wait; `limit`: its limit report (None: there was none)."""

    message: str
    attempt: int
    endpoint: str
    outcome: Outcome
    spent_us: int
    complete: bool = False
    wait_us: int = 0
    limit: LimitReport | None = None
    exhausted: bool = False  # the destination accepts no further attempt of this message
    may_still_run: bool = False  # whatever the outcome: its connection was closed before a whole answer came


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """The result of a probe."""

    endpoint: str
    outcome: Outcome
    spent_us: int
    limit: LimitReport | None = None


@dataclass(frozen=True, slots=True)
class HealthRestored:
    """The health that an earlier process of this sender noted last of an endpoint, `ago_us` before."""

    endpoint: str
    health: Health
    ago_us: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that this sender set is due."""

    timer: int


@dataclass(frozen=True, slots=True)
class MessageWithdrawn:
    """The message is no longer wanted and gets no final answer."""

    message: str


@dataclass(frozen=True, slots=True)
class ClassesChanged:
    """New messages are of one of these classes. A message that is held keeps the rules that it was accepted under."""

    classes: tuple[MessageClass, ...]


@dataclass(frozen=True, slots=True)
class DestinationsDropped:
    """This sender no longer serves these destinations: the state of one without endpoints, messages and calls is
    dropped."""

    destinations: tuple[int, ...]


Event = (MembershipReceived | MessageAccepted | MessageRestored | AttemptEnded | ProbeEnded | TimerFired
         | MessageWithdrawn | HealthRestored | ClassesChanged | DestinationsDropped | KeysSettling)
