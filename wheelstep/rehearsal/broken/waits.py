"""Couriers that don't heed waits."""

from __future__ import annotations

import dataclasses

from wheelstep import interface as api
from wheelstep.courier import form
from wheelstep.courier.core import Core
from wheelstep.policy.endpoint import Call
from wheelstep.policy.messages import Destination
from wheelstep.policy.sender import Sender
from wheelstep.rehearsal.broken.patch import change_settings


def heeds_for_one() -> None:
    """Only the message that was refused waits."""
    judge = Sender._judge

    def deaf(self: Sender, call: Call, destination: Destination, event: api.AttemptEnded, retried: bool) -> None:
        judge(self, call, destination, dataclasses.replace(event, wait_us=0), retried)

    Sender._judge = deaf  # type: ignore[method-assign,assignment]
    Core.apply_wait = lambda self, endpoint, wait_us: None  # type: ignore[method-assign]


def halves_waits() -> None:
    """A wait ends at its half."""
    wait_us = form.wait_us
    form.wait_us = lambda text: wait_us(text) // 2


def waits_at_one_endpoint() -> None:
    """Endpoints that share a wait count as separate routes."""
    change_settings(lambda settings: dataclasses.replace(settings, kinds=tuple(
        dataclasses.replace(kind, routes_apart=True) for kind in settings.kinds)))
