"""Couriers that cause an effect twice."""

from __future__ import annotations

import dataclasses

from wheelstep.courier.call import Progress
from wheelstep.courier.dispatcher import Dispatcher
from wheelstep.interface import EndReason, Outcome
from wheelstep.journal import StoredMessage
from wheelstep.rehearsal.broken.patch import change_settings


def pays_after_reset() -> None:
    """Treat a connection reset after the request's last byte as one that was never opened."""
    ended_by = Progress.ended_by

    def never_ran(self: Progress, outcome: Outcome) -> Outcome:
        return Outcome.CONNECT_FAILED if outcome is Outcome.RESET else ended_by(self, outcome)

    Progress.ended_by = never_ran  # type: ignore[method-assign]


def pays_after_restart() -> None:
    """Treat calls in progress at the end of the process as never sent."""
    def never_ran(self: StoredMessage, except_attempt: int | None = None) -> None:
        return None

    StoredMessage.may_have_run = never_ran  # type: ignore[method-assign]


def forgets_key_life() -> None:
    """Assume that partners remember keys for an hour."""
    change_settings(lambda settings: dataclasses.replace(settings, classes=tuple(
        dataclasses.replace(cls, key_ttl_us=3_600_000_000) for cls in settings.classes)))


def hands_back_what_ran() -> None:
    """Send every notification as `handed_back`, which is safe to repeat."""
    end = Dispatcher._end

    def handed_back(self: Dispatcher, message: StoredMessage, outcome: str, retry_ms: int,
                    reason: EndReason = EndReason.UNKNOWN) -> None:
        end(self, message, "handed_back", retry_ms, reason)

    Dispatcher._end = handed_back  # type: ignore[method-assign]
