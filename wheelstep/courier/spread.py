"""Spreads the calls of many couriers to one service over time. Decides only: no I/O, no clock."""

from __future__ import annotations

import math
import random

from wheelstep.interface import Settings

HEARTBEAT_S = 2.0  # interval of the empty lines on a watch without changes (PROTOCOL, 'Discovery')
NEWS_LIMIT_S = 6.0  # a change must be known this long after a watch fell silent (STANDING; PROTOCOL, 'Figures')
MOVE_LIMIT_S = 4.0  # the same after SIGHUP (STANDING)
ANSWER_S = 1.0  # part of these left for the answer: all couriers call discovery, and long lists take time to read
SILENCE_S = HEARTBEAT_S * 1.25  # a line that is late by a quarter does not count as silence yet
RETRY_S = 0.25  # shortest wait before a failed call is repeated
MAX_FIRST_WAIT_S = NEWS_LIMIT_S - ANSWER_S  # longest first wait, also at a start, where no rule demands it
SPACING_S = 0.1  # span per courier over which the calls of all are spread
MAX_DOUBLINGS = 2  # number of times the span doubles with consecutive failures


def calling_couriers(settings: Settings) -> int:
    """Return how many couriers call discovery itself.

    All, if each has to ask for the list. Otherwise an agent beside each courier pushes changes, which count as
    known from then on, and asking it costs discovery nothing (PROTOCOL, 'Discovery'): 1.
    """
    return settings.senders if settings.ask_for_list else 1


def max_retry_s(settings: Settings) -> float:
    """Return the longest wait after failures: a courier whose call failed and that has not asked for four times
    `ask_within_us` counts as informed (WIRE, 'Settings'). Infinite if `ask_within_us` is 0."""
    return settings.ask_within_us * 4 / 1e6 or math.inf


def wait_s(couriers: int, failures: int, rng: random.Random, lasted_s: float = 0.0, max_s: float = math.inf) -> float:
    """Return the seconds to wait before the next call, after `failures` consecutive failed calls (0: the first
    since a start, a move of discovery, or a lost watch). The call before lasted for `lasted_s`.

    Jitter over a span that grows with the number of couriers and doubles with each failure, up to `max_s`, but at
    least `RETRY_S`. It protects a service that takes only so many calls a second from all couriers, rejected ones
    included, against all calling at once, as at a release, and against staying overloaded by their repeated calls.
    The cost: a courier whose call alone failed hears of changes some seconds later. A single courier begins at
    once, and its first two calls begin `RETRY_S` apart; see `calling_couriers`.
    """
    if couriers <= 1 and failures == 1:
        return max(0.0, RETRY_S - lasted_s)
    span_s = max(couriers - 1, 0) * SPACING_S
    if not failures:
        return rng.uniform(0.0, min(span_s, MAX_FIRST_WAIT_S, max_s))
    span_s = min(max(span_s, RETRY_S) * 2 ** min(failures - 1, MAX_DOUBLINGS), max_s)
    return max(RETRY_S, rng.uniform(span_s / 2, span_s))


def silence_limit_s(couriers: int, failures: int, prompt: bool, rng: random.Random, max_s: float = math.inf) -> float:
    """Return the seconds of silence after which another watch is opened beside a silent one.

    `prompt`: that watch is the first to its address, or was opened after one that received something. `failures`: the
    number of consecutive calls that were rejected or silent too.

    All watches may have fallen silent at once, and a change counts as known `NEWS_LIMIT_S` after that: first calls
    are spread over the rest of that time, less a second call, which follows once an answer is overdue. After that
    it may be an outage, and the wait is as after failed calls. An agent beside the courier is asked at no cost: as
    soon as its silence is noticed, and repeatedly.
    """
    if prompt:
        return ANSWER_S
    if couriers <= 1:
        return SILENCE_S
    if not failures:
        return SILENCE_S + rng.uniform(0.0, min((couriers - 1) * SPACING_S, NEWS_LIMIT_S - SILENCE_S - 2 * ANSWER_S))
    return max(SILENCE_S, wait_s(couriers, failures, rng, max_s=max_s))
