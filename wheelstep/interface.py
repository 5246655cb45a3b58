"""The types that go into and out of the decision module: settings, events and actions.

Times are whole microseconds (`_us`). A *message* is handed in by a client and ends once. An *attempt* is
one call for it at an *endpoint* of its *destination*. Events go into `Sender.handle`, actions come out.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Effect(Enum):
    """What a repeat of a message does at its destination."""

    SAFE = "safe"  # harmless
    KEYED = "keyed"  # dropped while the destination remembers the key
    UNSAFE = "unsafe"  # takes effect again


class Decay(Enum):
    """How worth falls once the promised time has passed."""

    EVEN = "even"  # evenly down to the late worth at the deadline
    HALVES = "halves"  # by half with each further promise, not under the late worth


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
class MessageClass:
    """One class of messages; `key_ttl_us` and `zone_keys` matter for keyed ones only."""

    promise_us: int
    deadline_us: int
    effect: Effect
    worth: float = 1.0
    late_worth: float = 0.0
    key_ttl_us: int = 0
    zone_keys: bool = False  # repeats are dropped inside one zone only
    ordered: bool = False
    most_attempts: int = 0  # 0: as many as the settings say


@dataclass(frozen=True, slots=True)
class Kind:
    """One kind of destination: are its endpoints separate routes, and how many messages fill a call."""

    routes_apart: bool = False
    per_call: int = 1


@dataclass(frozen=True, slots=True)
class Settings:
    """What a sender is told at its start."""

    classes: tuple[MessageClass, ...]
    slots: int
    hold_limit: int = 1 << 30
    kinds: tuple[Kind, ...] = (Kind(),)
    decay: Decay = Decay.EVEN
    senders: int = 1
    zone: int = 0
    zone_fees: tuple[float, ...] = ()  # points for each message that a separate route in the zone takes on
    cross_zone_price: float = 0.0
    handshake_price: float = 0.0  # points for a new connection with each message
    max_attempts: int = 1 << 30
    may_probe: bool = False
    may_duplicate: bool = False
    ask_for_list: bool = False
    ask_within_us: int = 0
    weights_are_rates: bool = False
    limits_reported: bool = False  # answers tell of the limit (`LimitReport`)
    tick_us: int = 1000
    answer_slack_us: int = 0
    max_retry_after_us: int = 0
    conn_idle_us: int = 0  # idle connections are closed after this; 0 where that is not known
    drain_grace_us: int = 0
    fall_multiple: float = 1.0
    overload_for_us: int = 1_000_000
    cold_from: float = 1.0
    cold_us: int = 0
    order_settle_us: int = 0


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


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """The result of a probe."""

    endpoint: str
    outcome: Outcome
    spent_us: int
    limit: LimitReport | None = None


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


Event = (MembershipReceived | MessageAccepted | MessageRestored | AttemptEnded | ProbeEnded | TimerFired
         | MessageWithdrawn | HealthRestored | ClassesChanged)


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Send the message; attempts of a message are numbered from 0 in the order of these. Its last byte goes out within
    `latest_us` (0: no bound), or none does: then it ends as `NOT_SENT`."""

    message: str
    endpoint: str
    timeout_us: int
    latest_us: int = 0
    once: bool = False  # it may not be sent again: not on a connection that the endpoint may be about to end


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final: handed back, safe to hand in again; `retry_after_us` is a hint to the client."""

    message: str
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final: ended without a word on whether it took effect."""

    message: str


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

_COUNTS = ("slots", "hold_limit", "senders", "max_attempts", "tick_us")
_TIMES = ("ask_within_us", "answer_slack_us", "max_retry_after_us", "conn_idle_us", "drain_grace_us",
          "overload_for_us", "cold_us", "order_settle_us")


@dataclass(frozen=True, slots=True)
class _Bad:
    """Collects what makes no sense in some settings."""

    names: list[str] = field(default_factory=list)

    def unless(self, good: bool, name: str) -> None:
        if not good:
            self.names.append(name)


def check_settings(settings: Settings) -> None:
    """Raise `ValueError` naming the first field that makes no sense."""
    bad = _Bad()
    for name in _COUNTS:
        bad.unless(getattr(settings, name) >= 1, name)
    for name in _TIMES:
        bad.unless(getattr(settings, name) >= 0, name)
    bad.unless(bool(settings.classes), "classes")
    bad.unless(bool(settings.kinds), "kinds")
    bad.unless(0 < settings.cold_from <= 1, "cold_from")
    bad.unless(settings.fall_multiple > 0, "fall_multiple")
    for index, cls in enumerate(settings.classes):
        at = f"classes[{index}]"
        bad.unless(cls.promise_us > 0, f"{at}.promise_us")
        bad.unless(cls.promise_us <= cls.deadline_us, f"{at}.deadline_us")
        bad.unless(cls.worth >= 0, f"{at}.worth")
        bad.unless(0 <= cls.late_worth <= 1, f"{at}.late_worth")
        bad.unless(cls.effect is not Effect.KEYED or cls.key_ttl_us > 0, f"{at}.key_ttl_us")
    for index, kind in enumerate(settings.kinds):
        bad.unless(kind.per_call >= 1, f"kinds[{index}].per_call")
    if bad.names:
        raise ValueError(f"settings: {bad.names[0]} makes no sense")
