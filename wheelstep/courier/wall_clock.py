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
