"""Whether an answer came in time for its client, as far as a courier can tell. No I/O.

A client counts its deadline from when it sent its request, the courier from when it read it. Between the two lie the
transfer and turns of the event loop, and once in a while a time in which the process was not run at all.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from enum import Enum

from wheelstep import interface as api
from wheelstep.courier.call import Item, Result
from wheelstep.courier.wall_clock import time_is_up
from wheelstep.interface import Outcome
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


def call_timeliness(results: Sequence[tuple[Item, Result]], held: Mapping[str, StoredMessage],
                    settings: api.Settings) -> Timeliness:
    """Return what the answer to a call is for all of its messages, if it has just arrived; `held` are the messages that
    have not ended.

    A call waits for its answer until the first deadline among its messages. One that arrives later, as the process
    stood still meanwhile, is no delivery of any of them for the platform."""
    sent = [item.message for item, result in results if _was_sent(result)]
    if len(sent) > 1 and any(message not in held for message in sent):
        return Timeliness.LATE  # its time is up, and it was ended
    found = {_message_timeliness(held[message], settings) for message in sent if message in held}
    return next((worst for worst in (Timeliness.LATE, Timeliness.DOUBTFUL) if worst in found), Timeliness.IN_TIME)


def _was_sent(result: Result) -> bool:
    return result.outcome is not Outcome.NOT_SENT or result.over or result.exhausted


def _message_timeliness(message: StoredMessage, settings: api.Settings) -> Timeliness:
    usual_us = max(settings.answer_slack_us, 2 * settings.tick_us)
    if time_is_up(message, usual_us):
        return Timeliness.LATE
    return Timeliness.DOUBTFUL if time_is_up(message, usual_us + MAX_READ_DELAY_US) else Timeliness.IN_TIME
