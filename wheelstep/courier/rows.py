"""Serialises the list's rows for another process of the same courier. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from typing import Any

from wheelstep import interface as api
from wheelstep.courier.config import Address

Row = tuple[api.EndpointInfo, Address]


def write_rows(rows: Iterable[Row]) -> list[list[Any]]:
    """Return the rows as plain lists for another process."""
    return [[info.endpoint, info.destination, info.kind, info.zone, info.state.value, info.weight,
             address.host, address.port] for info, address in rows]


def read_rows(rows: Iterable[list[Any]]) -> list[Row]:
    """Return the rows that `write_rows` wrote."""
    return [(api.EndpointInfo(endpoint, destination, kind, zone, api.EndpointState(state), weight),
             Address(host, port)) for endpoint, destination, kind, zone, state, weight, host, port in rows]


def write_starts(rows: Iterable[Row]) -> list[list[Any]]:
    """Return when endpoints started, as far as that is known. Apart from the rows, whose form older versions read."""
    return [[info.endpoint, info.born_ms] for info, _ in rows if info.born_ms]


def with_starts(rows: Iterable[Row], starts: Iterable[list[Any]]) -> list[Row]:
    """Return the rows with what `write_starts` wrote."""
    born_ms = {str(endpoint): int(at_ms) for endpoint, at_ms in starts}
    return [(replace(info, born_ms=born_ms.get(info.endpoint, 0)), address) for info, address in rows]
