"""Reports the outcome of an attempt to the log, the flight recorder and the account."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

from wheelstep.courier.call import Item, Result
from wheelstep.courier.flight_recorder import EventKind, FlightRecorder
from wheelstep.interface import Outcome

if TYPE_CHECKING:  # optional features are imported only when enabled
    from wheelstep.account.writer import AccountWriter

log = logging.getLogger("wheelstep.courier.carrier")


def report_outcome(recorder: FlightRecorder, account: AccountWriter | None, endpoint: str, item: Item, key: str | None,
                   result: Result) -> None:
    """Report one outcome; `key` is that of its message. Deliveries are not logged."""
    if result.outcome is not Outcome.OK:
        log.info("%s attempt %d at %s: %s after %d ms%s", item.message, item.attempt, endpoint,
                 result.outcome.value, result.spent_us // 1000, ", over" if result.over else "")
    recorder.note(time.monotonic(), EventKind.ATTEMPT_ENDED, item.message, key,
                  f"{item.attempt} at {endpoint}: {result.outcome.value}")
    if account is not None:
        account.ended(item.message, item.attempt, endpoint, result.outcome.value, result.spent_us,
                      result.outcome is Outcome.OK or result.over, result.limit)
