"""Couriers that push a returning destination over."""

from __future__ import annotations

import dataclasses

from wheelstep.policy.endpoint import Endpoint
from wheelstep.policy.pacer import Pacer
from wheelstep.rehearsal.broken.patch import change_settings


def rushes_back() -> None:
    """No ramp: with the first success all is as before."""
    succeeded = Endpoint._succeeded

    def at_once(self: Endpoint, now_us: int, spent_us: int) -> None:
        self.sick, self._next_us = False, float(now_us)
        self.failures.value = 0.0
        succeeded(self, now_us, spent_us)

    Endpoint._succeeded = at_once  # type: ignore[method-assign]
    Pacer.refused = lambda self, now_us, cold_share: None  # type: ignore[method-assign]


def warms_too_fast() -> None:
    """Cold is taken for warm, and falling over for impossible."""
    change_settings(lambda settings: dataclasses.replace(settings, cold_from=1.0, fall_multiple=100.0, cold_us=1))


def never_backs_off() -> None:
    """No outage is noticed, and refusals slow nothing down."""
    Endpoint.fall_sick = lambda self, now_us: None  # type: ignore[method-assign]
    Pacer.refused = lambda self, now_us, cold_share: None  # type: ignore[method-assign]
