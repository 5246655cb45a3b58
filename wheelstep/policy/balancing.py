"""The choice among equally good endpoints, by Goyal, Vin and Cheng's start-time fair queueing."""

import random

from wheelstep.policy.call_times import call_weight
from wheelstep.policy.endpoint import Endpoint
from wheelstep.policy.messages import Destination

PRIOR_CALLS = 1.0  # calls of the destination's mean time that are added, since few samples tell little
TIME_EXPONENT = 2  # an endpoint that takes twice the mean time gets a quarter of the turns of a mean one


def relative_times(destination: Destination, now_us: int) -> dict[Endpoint, float]:
    """Return the time of a call at each endpoint over the mean of all, drawn towards 1 by PRIOR_CALLS."""
    seen = {e: (e.times.recent_answers.read(now_us), e.times.recent_time_us.read(now_us))
            for e in destination.endpoints}
    answers = sum(own for own, _ in seen.values())
    if answers < PRIOR_CALLS:
        return dict.fromkeys(seen, 1.0)
    mean_us = max(sum(own_us for _, own_us in seen.values()) / answers, 1.0)
    out_us = {e: sum((now_us - call.sent_us) / call_weight(call.size) for call in e.calls) for e in seen}
    return {e: (PRIOR_CALLS + (own_us + out_us[e]) / mean_us) / (PRIOR_CALLS + own)
            for e, (own, own_us) in seen.items()}


def next_in_turn(destination: Destination, candidates: list[Endpoint], now_us: int,
                 rng: random.Random) -> Endpoint:
    """Return the one of `candidates` whose turn it is; a new one joins at a random point."""
    if len(candidates) == 1:
        return candidates[0]
    times = relative_times(destination, now_us)
    starts = []
    for endpoint in candidates:
        turn_cost = times.get(endpoint, 1.0) ** TIME_EXPONENT
        if endpoint.start_tag + turn_cost < destination.start_tag:
            endpoint.start_tag = destination.start_tag - turn_cost * rng.random()
        starts.append(endpoint.start_tag + turn_cost * (1 + len(endpoint.calls)))
    destination.start_tag = min(starts)
    chosen = candidates[starts.index(destination.start_tag)]
    chosen.start_tag = destination.start_tag
    return chosen
