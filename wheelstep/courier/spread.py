"""How calls of many couriers to one place are kept apart. Decisions only: no I/O, no clock."""

from __future__ import annotations

import random

from wheelstep.interface import Settings

AGAIN_S = 0.25  # the shortest wait before a call that failed is tried again
FIRST_MOST_S = 5.0  # what discovery has to tell counts as told after 6 s (PROTOCOL, 'Figures'), also where nobody asked
CALL_S = 0.1  # for each courier that there is, the calls of all are spread over so long
STEPS = 2  # so often the span doubles from failure to failure


def callers(settings: Settings) -> int:
    """How many call discovery itself: all couriers where each has to ask for the list. Else changes come to an agent
    beside each, count as told from then on, and asking it costs discovery nothing (PROTOCOL, 'Discovery'): 1."""
    return settings.senders if settings.ask_for_list else 1


def wait_s(couriers: int, failures: int, rng: random.Random, lasted_s: float = 0.0) -> float:
    """Seconds to wait before the next call, after so many failed ones in a row (0: the first since a start, or
    since the place moved). `lasted_s`: for so long the call before had gone on.

    Jitter over a span that grows with the number of couriers and doubles with each failure. Guards a place that takes
    so many calls a second from all couriers, turned-away ones among them, against all at once, as at a release; and
    against being kept there by their repeated calls. It harms a courier that alone had bad luck: it hears of changes
    some seconds later. One courier begins at once, and its first two calls begin `AGAIN_S` apart; see
    `callers`."""
    if couriers <= 1 and failures == 1:
        return max(0.0, AGAIN_S - lasted_s)
    span_s = max(couriers - 1, 0) * CALL_S
    if not failures:
        return rng.uniform(0.0, min(span_s, FIRST_MOST_S))
    span_s = max(span_s, AGAIN_S) * 2 ** min(failures - 1, STEPS)
    return max(AGAIN_S, rng.uniform(span_s / 2, span_s))
