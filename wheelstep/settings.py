"""The settings of a sender, with the classes of messages and kinds of destinations in them.

Times are whole microseconds (`_us`). Imports nothing of the project; `interface` re-exports these.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Effect(Enum):
    """The effect of repeating a message at its destination."""

    SAFE = "safe"  # harmless
    KEYED = "keyed"  # ignored while the destination remembers the key
    UNSAFE = "unsafe"  # takes effect again


class Decay(Enum):
    """How the worth of a message falls once its promised time has passed."""

    EVEN = "even"  # linearly, to the late worth at the deadline
    HALVES = "halves"  # by half with each further promised time, but not below the late worth


@dataclass(frozen=True, slots=True)
class MessageClass:
    """A class of messages; `late_worth` is a share of `worth`; `key_ttl_us` and `zone_keys` are for keyed ones only."""

    promise_us: int  # time from acceptance in which a delivery has the full worth
    deadline_us: int  # time from acceptance to the deadline, where an undelivered message is ended
    effect: Effect
    worth: float = 1.0  # points for a delivery
    late_worth: float = 0.0  # see `Decay`
    key_ttl_us: int = 0  # how long a destination remembers a key
    zone_keys: bool = False  # repeats are ignored within one zone only
    ordered: bool = False  # messages with the same key are sent one after the other
    most_attempts: int = 0  # 0: `max_attempts` of the settings

    def worth_when_late(self, late_us: float, decay: Decay) -> float:
        """Return the worth of a delivery so long after the promised time, before the deadline."""
        if late_us <= 0:
            return self.worth
        if decay is Decay.EVEN:
            span_us = max(self.deadline_us - self.promise_us, 1)
            return self.worth * (1 - (1 - self.late_worth) * late_us / span_us)
        return self.worth * float(max(0.5 ** (late_us / self.promise_us), self.late_worth))


@dataclass(frozen=True, slots=True)
class DestinationKind:
    """A kind of destination: whether its endpoints are separate routes, and how many messages a call holds."""

    routes_apart: bool = False
    per_call: int = 1


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings that a sender starts with."""

    classes: tuple[MessageClass, ...]
    slots: int  # calls in progress at once, to all destinations
    hold_limit: int = 1 << 30  # once so many messages are held, one that may be refused is refused for each new one
    kinds: tuple[DestinationKind, ...] = (DestinationKind(),)
    decay: Decay = Decay.EVEN
    senders: int = 1  # senders that share the limits of the destinations
    zone: int = 0  # zone of this sender
    zone_fees: tuple[float, ...] = ()  # by zone: points for each message that a separate route there accepts
    cross_zone_price: float = 0.0  # points for what is sent to an endpoint of another zone
    handshake_price: float = 0.0  # points for a new connection with each message
    max_attempts: int = 1 << 30  # attempts for each message
    may_probe: bool = False  # sick endpoints may be probed without a message
    may_duplicate: bool = False  # a message may have two calls at once; no decision uses it
    ask_for_list: bool = False  # request the endpoint list from discovery at the start
    # Half of this is the longest wait between requests of an unavailable list (at least T1 in any case); a courier that
    # has not asked for four times this counts as informed.
    ask_within_us: int = 0
    weights_are_rates: bool = False  # an endpoint's weight is its limit over all senders, in calls a second
    limits_reported: bool = False  # answers carry limit reports (`LimitReport`)
    tick_us: int = 1000  # resolution of times; no attempt starts in the last two ticks before a deadline
    # A 200 that arrives within this time before the deadline (at least two ticks) counts as a timeout, unless
    # deliveries are told too.
    answer_slack_us: int = 0
    max_retry_after_us: int = 0  # longest wait that a refusal may ask of the client; 0: it asks for none
    conn_idle_us: int = 0  # idle connections are closed after this; 0: not known
    drain_grace_us: int = 0  # calls may still start so long after an endpoint starts to drain; no decision uses it
    fall_multiple: float = 1.0  # an endpoint is overloaded at so many times the rate that it can carry
    overload_for_us: int = 1_000_000  # an overloaded endpoint stays down for so long; no decision uses it
    cold_from: float = 1.0  # share of its former rate that a returned endpoint can carry at first
    cold_us: int = 0  # time until a returned endpoint can carry its former rate again
    order_settle_us: int = 0  # a key's next message waits so long after a call that may still run


_COUNTS = ("slots", "hold_limit", "senders", "max_attempts", "tick_us")
_TIMES = ("ask_within_us", "answer_slack_us", "max_retry_after_us", "conn_idle_us", "drain_grace_us",
          "overload_for_us", "cold_us", "order_settle_us")


@dataclass(frozen=True, slots=True)
class _InvalidFields:
    """Collects the names of fields that have invalid values."""

    names: list[str] = field(default_factory=list)

    def require(self, valid: bool, name: str) -> None:
        if not valid:
            self.names.append(name)


def check_settings(settings: Settings) -> None:
    """Raise `ValueError` that names one field with an invalid value: counts first, then times, then the rest.

    Prices, fees, `zone` and `most_attempts` are not checked, and `key_ttl_us` is checked only for keyed classes.
    """
    invalid = _InvalidFields()
    for name in _COUNTS:
        invalid.require(getattr(settings, name) >= 1, name)
    for name in _TIMES:
        invalid.require(getattr(settings, name) >= 0, name)
    invalid.require(bool(settings.classes), "classes")
    invalid.require(bool(settings.kinds), "kinds")
    invalid.require(0 < settings.cold_from <= 1, "cold_from")
    invalid.require(settings.fall_multiple > 0, "fall_multiple")
    for index, cls in enumerate(settings.classes):
        prefix = f"classes[{index}]"
        invalid.require(cls.promise_us > 0, f"{prefix}.promise_us")
        invalid.require(cls.promise_us <= cls.deadline_us, f"{prefix}.deadline_us")
        invalid.require(cls.worth >= 0, f"{prefix}.worth")
        invalid.require(0 <= cls.late_worth <= 1, f"{prefix}.late_worth")
        invalid.require(cls.effect is not Effect.KEYED or cls.key_ttl_us > 0, f"{prefix}.key_ttl_us")
    for index, kind in enumerate(settings.kinds):
        invalid.require(kind.per_call >= 1, f"kinds[{index}].per_call")
    if invalid.names:
        raise ValueError(f"settings: {invalid.names[0]} has an invalid value")
