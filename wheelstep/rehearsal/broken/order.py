"""Couriers that break the order of keys."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from wheelstep import interface as api
from wheelstep.courier.call import Item
from wheelstep.courier.core import Core
from wheelstep.courier.ports import OpenCall
from wheelstep.courier.send_guard import SendGuard
from wheelstep.journal import StoredMessage
from wheelstep.rehearsal.broken.patch import change_settings


def no_rest() -> None:
    """Continue a key at once after a timeout, a reset or a cancellation."""
    change_settings(lambda settings: dataclasses.replace(settings, order_settle_us=0))


def _forget_keys(only_restored: bool) -> None:
    accepted = Core._accepted
    restoring = []
    restore = Core.restore

    def restore_noted(self: Core, marks: Mapping[str, Any], messages: Iterable[StoredMessage],
                      calls: Sequence[OpenCall] = (), settling: Mapping[str, int] | None = None,
                      owned_since_s: float | None = None, partition: int = 0) -> None:
        restoring.append(self)
        restore(self, marks, messages, calls, settling, owned_since_s, partition)
        restoring.clear()

    def always_may_send(self: SendGuard, message: StoredMessage, item: Item, now_s: float) -> bool:
        return True

    def accepted_without_key(self: Core, message: StoredMessage, resubmitted: bool) -> api.MessageAccepted:
        event = accepted(self, message, resubmitted)
        return dataclasses.replace(event, key=None) if restoring or not only_restored else event

    SendGuard.may_send = always_may_send  # type: ignore[method-assign]
    Core.restore = restore_noted  # type: ignore[method-assign]
    Core._accepted = accepted_without_key  # type: ignore[method-assign]


def no_order_over_restart() -> None:
    """Restore messages without their keys."""
    _forget_keys(only_restored=True)


def ignores_keys() -> None:
    """Accept and restore messages without their keys."""
    _forget_keys(only_restored=False)
