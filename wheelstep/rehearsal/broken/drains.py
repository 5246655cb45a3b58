"""Couriers that don't keep drains."""

from __future__ import annotations

import asyncio

from wheelstep import interface as api
from wheelstep.courier import config
from wheelstep.courier.config import Address
from wheelstep.courier.core import Core

_LATE_S = 1.5


def ignores_drains() -> None:
    """DRAINING reads as SERVING."""
    config._STATES["DRAINING"] = api.EndpointState.UP


def keeps_the_gone() -> None:
    """DELETED reads as SERVING."""
    config._STATES["DELETED"] = api.EndpointState.UP


def late_lists() -> None:
    """Changes of the list take effect late."""
    listed = Core.listed

    def late(self: Core, kind: api.ListKind, rows: list[tuple[api.EndpointInfo, Address]]) -> None:
        if kind is api.ListKind.CHANGES:
            asyncio.get_running_loop().call_later(_LATE_S, listed, self, kind, rows)
        else:
            listed(self, kind, rows)

    Core.listed = late  # type: ignore[method-assign]
