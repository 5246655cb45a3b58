"""Whether an answer came in time for its client, as far as a courier can tell. No I/O.

A client counts its deadline from when it sent its request, the courier from when it read it. Between the two lie the
transfer and turns of the event loop, and once in a while a time in which the process was not run at all.
"""

from __future__ import annotations

from enum import Enum

from wheelstep import interface as api
from wheelstep.courier.wall_clock import time_is_up
from wheelstep.journal import StoredMessage

MAX_READ_DELAY_US = 150_000
"""A process may stand still for so long between a request's arrival and the reading of its deadline."""


class Timeliness(Enum):
    """What an answer that arrives now is for its client."""

    IN_TIME = "in time"
    # In time unless the request was read late: the message gets a notification that it failed as well, which does no
    # harm to one that was delivered (PROTOCOL, 'Notices').
    DOUBTFUL = "doubtful"
    LATE = "late"


def timeliness(message: StoredMessage | None, settings: api.Settings) -> Timeliness:
    """Return what an answer to a call with the message is, if it has just arrived. None: no client has a deadline."""
    if message is None:
        return Timeliness.IN_TIME
    usual_us = max(settings.answer_slack_us, 2 * settings.tick_us)
    if time_is_up(message, usual_us):
        return Timeliness.LATE
    return Timeliness.DOUBTFUL if time_is_up(message, usual_us + MAX_READ_DELAY_US) else Timeliness.IN_TIME
