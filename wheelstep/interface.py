"""The types that go into and out of the decision module: settings, events and actions.

Times are whole microseconds (`_us`). A *message* is handed in by a client and ends once. An *attempt* is
one call for it at an *endpoint* of its *destination*. Events go into `Sender.handle`, actions come out.
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
from wheelstep.settings import Effect as Effect
from wheelstep.settings import Kind as Kind
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


UNRUN = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT})
"""The outcomes which prove that the attempt never ran."""

MAY_STILL_RUN = frozenset({Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED})
"""The outcomes after which the attempt may go on running at its endpoint: the key of its message settles."""


class EndpointState(Enum):
    """What the list says of an endpoint; never its health."""

    UP = "up"
    DRAINING = "draining"
    REMOVED = "removed"


class Holdup(Enum):
    """What keeps the messages that wait for a destination from going just now."""

    NOTHING = "nothing"  # the next batch sends one
    SLOTS = "slots"  # all of this sender's slots are out
    WINDOW = "window"  # so many calls are out to this destination as it may have at once
    LIMIT = "limit"  # the pace of its limit, or a wait that was told
    SICK = "sick"  # its endpoints are out, and the next trial is not due
    RETURNING = "returning"  # an endpoint on its way back gets its traffic back step by step
    CROWDED = "crowded"  # an endpoint rests after a refusal that told of no limit
    GONE = "gone"  # the list names no endpoint that is up
    DOUBT = "doubt"  # an endpoint could take a call, but none of the messages may go there


class ListKind(Enum):
    """What a membership event carries."""

    CHANGES = "changes"
    WHOLE = "whole"
    RESTORED = "restored"
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True, slots=True)
class EndpointInfo:
    """One line of the list."""

    endpoint: str
    destination: int
    kind: int = 0
    zone: int = 0
    state: EndpointState = EndpointState.UP
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class MembershipReceived:
    """The list, or changes to it; `UNAVAILABLE` carries none and leaves the old one in force."""

    kind: ListKind
    entries: tuple[EndpointInfo, ...] = ()


@dataclass(frozen=True, slots=True)
class MessageAccepted:
    """A new message; `left_us` is the time until it must have been answered."""

    message: str
    message_class: int
    destination: int
    left_us: int
    key: str | None = None
    resubmitted: bool = False  # the client, or a sender that died, had it before


@dataclass(frozen=True, slots=True)
class CallOut:
    """A call that an earlier process still has out, and whose outcome it will tell. Messages with the same `number`
    share it."""

    number: int
    endpoint: str
    sent_ago_us: int


@dataclass(frozen=True, slots=True)
class MessageRestored:
    """A message that this sender had taken on before its process was replaced. Of its attempts so far, those
    without an outcome count among those that may have run, but for one that is still `out`; `ran_ago_us` is how
    long ago the first such was sent (None: none may have run), `ran_zone` its endpoint's zone. Restored in the order
    of their taking."""

    accepted: MessageAccepted
    attempts: int = 0
    ran_ago_us: int | None = None
    ran_zone: int = 0
    out: CallOut | None = None


@dataclass(frozen=True, slots=True)
class KeysSettling:
    """Of these keys an attempt may still be running that a process before had out, for so many microseconds each; of
    any key for `all_us`. Comes ahead of the messages that are restored."""

    keys: tuple[tuple[str, int], ...] = ()
    all_us: int = 0


@dataclass(frozen=True, slots=True)
class LimitReport:
    """What a destination told of its limit: the share left, and calls a second (0 where there is none)."""

    left: float
    per_s: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The one outcome of an attempt; `complete` says that the message has ended with it or before."""

    message: str
    attempt: int
    endpoint: str
    outcome: Outcome
    spent_us: int
    complete: bool = False
    wait_us: int = 0
    limit: LimitReport | None = None
    exhausted: bool = False  # the destination takes no further attempt of this message
    may_still_run: bool = False  # whatever the outcome says: no whole answer came before its connection was closed


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """The result of a probe."""

    endpoint: str
    outcome: Outcome
    spent_us: int
    limit: LimitReport | None = None


@dataclass(frozen=True, slots=True)
class HealthRestored:
    """What an earlier process of this sender noted last of an endpoint, and how long ago."""

    endpoint: str
    health: Health
    ago_us: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set by this sender is due."""

    timer: int


@dataclass(frozen=True, slots=True)
class MessageWithdrawn:
    """Nobody wants this message any more; no answer is owed."""

    message: str


@dataclass(frozen=True, slots=True)
class ClassesChanged:
    """New messages are of one of these classes. A message that is held stays under the rules that it was taken on
    with."""

    classes: tuple[MessageClass, ...]


@dataclass(frozen=True, slots=True)
class DestinationsDropped:
    """This sender has no more to do with these: what was learned of one that has no endpoint, message or call left is
    forgotten."""

    destinations: tuple[int, ...]


Event = (MembershipReceived | MessageAccepted | MessageRestored | AttemptEnded | ProbeEnded | TimerFired
         | MessageWithdrawn | HealthRestored | ClassesChanged | DestinationsDropped | KeysSettling)
