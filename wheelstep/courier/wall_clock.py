"""Spans between now and moments that the journal keeps as Unix time."""

from __future__ import annotations

import time

from wheelstep.journal import Stored


def ago_us(at_ms: int) -> int:
    """Return how long ago a moment was, in microseconds; 0 for one that is still to come."""
    return max(0, int(time.time() * 1e6) - at_ms * 1000)


def left_us(message: Stored) -> int:
    """Return the time that a message may still be delivered in, in microseconds; 0 once it is up."""
    return max(0, message.deadline_ms * 1000 - int(time.time() * 1e6))


def time_is_up(message: Stored, ahead_us: int) -> bool:
    """Return whether it is too late for a delivery.

    A 200 that is written once the time is up delivers nothing to the platform, and when it was written can't be told
    from here. The client's clock is ahead of ours by `ahead_us`, for the way of its request and steps of the loop. The
    end of a message that came just in time is told as well, which the platform passes over (PROTOCOL, 'Notices')."""
    return time.time() * 1e6 >= message.deadline_ms * 1000 - ahead_us
