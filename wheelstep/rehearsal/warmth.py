"""The capacity of an endpoint after an outage, as partners play it and the judge applies it. No I/O."""

from __future__ import annotations

import math
from collections.abc import Sequence

EXTRA_MESSAGE_WEIGHT = 0.15  # load of each message after a call's first, in calls


def weight(messages: int) -> float:
    """Return the load of a call with `messages` messages, in calls of one message."""
    return 1 + EXTRA_MESSAGE_WEIGHT * (messages - 1)


def capacity_share(age_us: float, cold_from: float, cold_us: int) -> float:
    """Return the share of its capacity that an endpoint has `age_us` after its outage.

    It rises linearly from `cold_from` to 1 within `cold_us`.
    """
    if age_us < 0:
        return cold_from
    return min(1.0, cold_from + (1 - cold_from) * age_us / cold_us) if cold_us else 1.0


def budget(age_us: float, for_us: int, per_s: float, multiple: float, cold_from: float, cold_us: int) -> float:
    """Return the load that an endpoint survives in a span of `for_us` that begins `age_us` after its outage.

    This is `multiple` times its capacity in the span plus twice the square root of that, at least 3, for chance.
    """
    middle = capacity_share(age_us + for_us / 2, cold_from, cold_us)
    fair = multiple * per_s * middle * for_us / 1e6
    return fair + max(3.0, 2 * math.sqrt(fair))


def overload(loads: Sequence[tuple[int, float]], back_us: int, per_s: float, multiple: float, for_us: int,
             cold_from: float, cold_us: int) -> tuple[int, float, float] | None:
    """Return the first span with a load above the budget of an endpoint whose outage ended at `back_us`.

    `loads` has times and loads in order. The result is the span's begin, its load and the budget; None if there is no
    such span.
    """
    begin, total = 0, 0.0
    cold_loads = [push for push in loads if back_us <= push[0] < back_us + cold_us]
    for at_us, load in cold_loads:
        total += load
        while cold_loads[begin][0] <= at_us - for_us:
            total -= cold_loads[begin][1]
            begin += 1
        limit = budget(cold_loads[begin][0] - back_us, for_us, per_s, multiple, cold_from, cold_us)
        if total > limit:
            return cold_loads[begin][0], total, limit
    return None
