"""Couriers that let effects happen twice."""

from __future__ import annotations

import dataclasses

from wheelstep.courier.call import Progress
from wheelstep.courier.dispatcher import Dispatcher
from wheelstep.interface import EndReason, Outcome
from wheelstep.journal import StoredMessage
from wheelstep.rehearsal.broken.patch import change_settings


def pays_after_reset() -> None:
    """A connection that broke after the last byte counts as one that never came up."""
    ended_by = Progress.ended_by

    def never_ran(self: Progress, outcome: Outcome) -> Outcome:
        return Outcome.CONNECT_FAILED if outcome is Outcome.RESET else ended_by(self, outcome)

    Progress.ended_by = never_ran  # type: ignore[method-assign]


def pays_after_restart() -> None:
    """What was out when the process ended counts as never sent."""
    def never_ran(self: StoredMessage, except_attempt: int | None = None) -> None:
        return None

    StoredMessage.may_have_run = never_ran  # type: ignore[method-assign]


def forgets_key_life() -> None:
    """Keys are taken to be known for good."""
    change_settings(lambda settings: dataclasses.replace(settings, classes=tuple(
        dataclasses.replace(cls, key_ttl_us=3_600_000_000) for cls in settings.classes)))


def hands_back_what_ran() -> None:
    """Every end is told as a refusal that is safe to repeat."""
    end = Dispatcher._end

    def handed_back(self: Dispatcher, message: StoredMessage, outcome: str, retry_ms: int,
                    reason: EndReason = EndReason.UNKNOWN) -> None:
        end(self, message, "handed_back", retry_ms, reason)

    Dispatcher._end = handed_back  # type: ignore[method-assign]
