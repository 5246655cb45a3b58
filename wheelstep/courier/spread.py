"""How calls of many couriers to one place are kept apart. Decisions only: no I/O, no clock."""

from __future__ import annotations

import random

AGAIN_S = 0.25  # the shortest wait before a call that failed is tried again
FIRST_MOST_S = 5.0  # what discovery has to tell counts as told after 6 s (PROTOCOL, 'Figures'), also where nobody asked
CALL_S = 0.1  # for each courier that there is, the calls of all are spread over so long
STEPS = 2  # so often the span doubles from failure to failure


def wait_s(couriers: int, failures: int, rng: random.Random) -> float:
    """Seconds to wait before the next call, after so many failed ones in a row (0: the first since a start).

    Jitter over a span that grows with the number of couriers and doubles with each failure. Guards a place that takes
    so many calls a second from all couriers, turned-away ones among them, against all at once, as at a release; and
    against being kept there by their repeated calls. It harms a courier that alone had bad luck: it hears of changes
    some seconds later. One courier begins at once, and waits `AGAIN_S` after its first failure."""
    span_s = max(couriers - 1, 0) * CALL_S
    if not failures:
        return rng.uniform(0.0, min(span_s, FIRST_MOST_S))
    span_s = max(span_s, AGAIN_S) * 2 ** min(failures - 1, STEPS)
    return max(AGAIN_S, rng.uniform(span_s / 2, span_s))
