"""How calls of many couriers to one place are kept apart. Decisions only: no I/O, no clock."""

from __future__ import annotations

import math
import random

from wheelstep.interface import Settings

HEARTBEAT_S = 2.0  # while nothing changes, a watch brings an empty line so often (PROTOCOL, 'Discovery')
TOLD_S = 6.0  # news counts as told so long after a watch fell silent (STANDING; PROTOCOL, 'Figures')
MOVED_S = 4.0  # and so long after SIGHUP (STANDING)
ANSWER_S = 1.0  # of these, left for the answer: discovery gets calls of all couriers, and a long list takes reading
SILENT_S = HEARTBEAT_S * 1.25  # a line that is late by a quarter is no silence yet
AGAIN_S = 0.25  # the shortest wait before a call that failed is tried again
FIRST_MOST_S = TOLD_S - ANSWER_S  # a start: also where nobody asked
CALL_S = 0.1  # for each courier that there is, the calls of all are spread over so long
STEPS = 2  # so often the span doubles from failure to failure


def callers(settings: Settings) -> int:
    """How many call discovery itself: all couriers where each has to ask for the list. Else changes come to an agent
    beside each, count as told from then on, and asking it costs discovery nothing (PROTOCOL, 'Discovery'): 1."""
    return settings.senders if settings.ask_for_list else 1


def longest_s(settings: Settings) -> float:
    """The longest wait after failures: a courier whose call failed and that has not asked for four times
    `ask_within_us` counts as told (WIRE, 'Settings')."""
    return settings.ask_within_us * 4 / 1e6 or math.inf


def wait_s(couriers: int, failures: int, rng: random.Random, lasted_s: float = 0.0, most_s: float = math.inf) -> float:
    """Seconds to wait before the next call, after so many failed ones in a row (0: the first since a start, or
    since the place moved or a watch was lost). `lasted_s`: for so long the call before had gone on.

    Jitter over a span that grows with the number of couriers and doubles with each failure, up to `most_s`. Guards a
    place that takes so many calls a second from all couriers, turned-away ones among them, against all at once, as at a
    release; and against being kept there by their repeated calls. It harms a courier that alone had bad luck: it hears
    of changes some seconds later. One courier begins at once, and its first two calls begin `AGAIN_S` apart; see
    `callers`."""
    if couriers <= 1 and failures == 1:
        return max(0.0, AGAIN_S - lasted_s)
    span_s = max(couriers - 1, 0) * CALL_S
    if not failures:
        return rng.uniform(0.0, min(span_s, FIRST_MOST_S, most_s))
    span_s = min(max(span_s, AGAIN_S) * 2 ** min(failures - 1, STEPS), most_s)
    return max(AGAIN_S, rng.uniform(span_s / 2, span_s))


def silent_s(couriers: int, failures: int, prompt: bool, rng: random.Random, most_s: float = math.inf) -> float:
    """Seconds of silence after which a watch is opened beside the one that says nothing. `prompt`: that one is a new
    call, first at its place or first after one that had been well. `failures`: so many calls in a row were turned away,
    or said nothing either.

    All may have fallen silent at once, and news counts as told `TOLD_S` after that: first calls are spread over what
    is left of it beside a second call, which follows once an answer is overdue. Then it may be an outage: as if they
    had failed. An agent beside the courier is asked at no cost: as soon as it is seen, and again and again."""
    if prompt:
        return ANSWER_S
    if couriers <= 1:
        return SILENT_S
    if not failures:
        return SILENT_S + rng.uniform(0.0, min((couriers - 1) * CALL_S, TOLD_S - SILENT_S - 2 * ANSWER_S))
    return max(SILENT_S, wait_s(couriers, failures, rng, most_s=most_s))
