"""Couriers that call draining or removed endpoints."""

from __future__ import annotations

import asyncio

from wheelstep import interface as api
from wheelstep.courier import config
from wheelstep.courier.config import Address
from wheelstep.courier.core import Core

_DELAY_S = 1.5


def ignores_drains() -> None:
    """Read DRAINING as SERVING."""
    config._STATES["DRAINING"] = api.EndpointState.UP


def keeps_the_gone() -> None:
    """Read DELETED as SERVING."""
    config._STATES["DELETED"] = api.EndpointState.UP


def late_lists() -> None:
    """Apply changes of the endpoint list late."""
    listed = Core.listed

    def delayed(self: Core, kind: api.ListKind, rows: list[tuple[api.EndpointInfo, Address]]) -> None:
        if kind is api.ListKind.CHANGES:
            asyncio.get_running_loop().call_later(_DELAY_S, listed, self, kind, rows)
        else:
            listed(self, kind, rows)

    Core.listed = delayed  # type: ignore[method-assign]
