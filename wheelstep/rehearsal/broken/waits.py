"""Couriers that ignore announced waits."""

from __future__ import annotations

import dataclasses

from wheelstep import interface as api
from wheelstep.courier import form
from wheelstep.courier.core import Core
from wheelstep.policy.messages import Call, Destination
from wheelstep.policy.sender import Sender
from wheelstep.rehearsal.broken.patch import change_settings


def heeds_for_one() -> None:
    """Apply a wait only to the rejected message."""
    judge = Sender._judge

    def without_wait(self: Sender, call: Call, destination: Destination, event: api.AttemptEnded,
                     retried: bool) -> None:
        judge(self, call, destination, dataclasses.replace(event, wait_us=0), retried)

    Sender._judge = without_wait  # type: ignore[method-assign,assignment]
    Core.apply_wait = lambda self, endpoint, wait_us: None  # type: ignore[method-assign]


def halves_waits() -> None:
    """Halve each wait."""
    wait_us = form.wait_us
    form.wait_us = lambda text: wait_us(text) // 2


def waits_at_one_endpoint() -> None:
    """Treat all endpoints as separate routes, which share no wait."""
    change_settings(lambda settings: dataclasses.replace(settings, kinds=tuple(
        dataclasses.replace(kind, routes_apart=True) for kind in settings.kinds)))
