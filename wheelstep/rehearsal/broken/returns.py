"""Couriers that overload a recovering destination."""

from __future__ import annotations

import dataclasses

from wheelstep.policy.endpoint import Endpoint
from wheelstep.policy.pacer import Pacer
from wheelstep.rehearsal.broken.patch import change_settings


def rushes_back() -> None:
    """Return to the full rate at the first success, without a ramp."""
    succeeded = Endpoint._succeeded

    def without_ramp(self: Endpoint, now_us: int, spent_us: int) -> None:
        self.sick, self._next_us = False, float(now_us)
        self.failures.value = 0.0
        succeeded(self, now_us, spent_us)

    Endpoint._succeeded = without_ramp  # type: ignore[method-assign]
    Pacer.refused = lambda self, now_us, cold_share: None  # type: ignore[method-assign]


def warms_too_fast() -> None:
    """Treat a cold endpoint as warm, and overload as impossible."""
    change_settings(lambda settings: dataclasses.replace(settings, cold_from=1.0, fall_multiple=100.0, cold_us=1))


def never_backs_off() -> None:
    """Notice no outage, and don't slow down at rejections."""
    Endpoint.fall_sick = lambda self, now_us: None  # type: ignore[method-assign]
    Pacer.refused = lambda self, now_us, cold_share: None  # type: ignore[method-assign]
