"""How much a returning endpoint bears: shared by the partner that falls over and the judge. No I/O."""

from __future__ import annotations

import math
from collections.abc import Sequence

EXTRA_MESSAGE = 0.15  # what each further message of a call weighs, in calls


def weight(messages: int) -> float:
    """The work of a call with so many messages, in calls."""
    return 1 + EXTRA_MESSAGE * (messages - 1)


def share(age_us: float, cold_from: float, cold_us: int) -> float:
    """Share of its capacity that an endpoint has so long after its return, rising evenly."""
    if age_us < 0:
        return cold_from
    return min(1.0, cold_from + (1 - cold_from) * age_us / cold_us) if cold_us else 1.0


def budget(age_us: float, for_us: int, per_s: float, multiple: float, cold_from: float, cold_us: int) -> float:
    """The calls that it bears in a span that begins so long after its return: `multiple` times what it can do in
    that span, and twice the root of it (at least 3) for chance."""
    middle = share(age_us + for_us / 2, cold_from, cold_us)
    fair = multiple * per_s * middle * for_us / 1e6
    return fair + max(3.0, 2 * math.sqrt(fair))


def overload(pushes: Sequence[tuple[int, float]], back_us: int, per_s: float, multiple: float, for_us: int,
             cold_from: float, cold_us: int) -> tuple[int, float, float] | None:
    """The first span in which `pushes` (when, weight; in order) go over the budget of an endpoint that came back
    at `back_us`: when it begins, what came in it, the budget. None if there is none."""
    begin, total = 0, 0.0
    late = [push for push in pushes if back_us <= push[0] < back_us + cold_us]
    for at_us, work in late:
        total += work
        while late[begin][0] <= at_us - for_us:
            total -= late[begin][1]
            begin += 1
        most = budget(late[begin][0] - back_us, for_us, per_s, multiple, cold_from, cold_us)
        if total > most:
            return late[begin][0], total, most
    return None
