"""What a sender is told at its start: its settings, and the classes of messages and kinds of destinations in them.

Times are whole microseconds (`_us`). Imports nothing of the project; `interface` hands these on.
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
