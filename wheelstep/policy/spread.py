"""Which of a destination's endpoints is next, where neither a fee nor a trial decides.

A fleet's couriers each see little, and what is best for one by the little that all know is best for all. So
calls go around all endpoints, at every courier from another one on, and what is known of their times only
makes the turns of a slow one rarer: by start tags, as in Goyal, Vin and Cheng's start-time fair queueing.
"""

from __future__ import annotations

import random

from wheelstep.policy.common import weight
from wheelstep.policy.endpoint import Endpoint
from wheelstep.policy.messages import Destination

PRIOR = 1.0  # few samples tell little: so many calls that took the destination's mean are added to them
SKEW = 2  # one that takes twice the time gets a turn for four: under half of its part, as it is to be


def relative_times(destination: Destination, now_us: int) -> dict[Endpoint, float]:
    """The time of a call at each endpoint over the mean of all. Calls that are still out count with what they
    have taken so far: the estimate for exponential times of which some are cut off."""
    seen = {e: (e.answers.read(now_us), e.taken.read(now_us)) for e in destination.endpoints}
    answers = sum(own for own, _ in seen.values())
    if answers < PRIOR:
        return dict.fromkeys(seen, 1.0)
    mean_us = max(sum(own_us for _, own_us in seen.values()) / answers, 1.0)
    out_us = {e: sum((now_us - call.sent_us) / weight(call.size) for call in e.calls) for e in seen}
    return {e: (PRIOR + (own_us + out_us[e]) / mean_us) / (PRIOR + own) for e, (own, own_us) in seen.items()}


def next_in_turn(destination: Destination, fits: list[Endpoint], now_us: int, rng: random.Random) -> Endpoint:
    """The one of `fits` whose turn it is; its turn is taken. One that is new, or was not to be had for longer
    than a turn, joins at a moment of its own. Guards against all couriers going to the same one at once; it
    harms where one endpoint is the quickest for good and could carry all."""
    if len(fits) == 1:
        return fits[0]
    times = relative_times(destination, now_us)
    starts = []
    for endpoint in fits:
        costs = times.get(endpoint, 1.0) ** SKEW
        if endpoint.turn + costs < destination.turn:
            endpoint.turn = destination.turn - costs * rng.random()
        starts.append(endpoint.turn + costs * (1 + len(endpoint.calls)))
    destination.turn = min(starts)
    chosen = fits[starts.index(destination.turn)]
    chosen.turn = destination.turn
    return chosen
