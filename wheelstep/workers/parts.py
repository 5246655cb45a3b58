"""What each worker gets of the whole, and the list's rows on their way to it. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from typing import Any

from wheelstep import interface as api
from wheelstep.courier.config import Address, Config

Row = tuple[api.EndpointInfo, Address]


def part_of(config: Config, worker: int, workers: int) -> Config:
    """A worker's part of slots, held messages and descriptors. Parts add up to the whole, so that what the platform
    allows is never passed, also while a worker is parked."""
    def part(whole: int) -> int:
        return whole // workers + (worker < whole % workers)
    settings = replace(config.settings, slots=part(config.settings.slots),
                       hold_limit=part(config.settings.hold_limit))
    return replace(config, name=f"{config.name}/{worker}", settings=settings, sockets=config.sockets // workers,
                   seed=config.seed + worker)


def write_rows(rows: Iterable[Row]) -> list[list[Any]]:
    """A list's rows, for another process."""
    return [[info.endpoint, info.destination, info.kind, info.zone, info.state.value, info.weight,
             address.host, address.port] for info, address in rows]


def read_rows(rows: Iterable[list[Any]]) -> list[Row]:
    """The same, read."""
    return [(api.EndpointInfo(endpoint, destination, kind, zone, api.EndpointState(state), weight),
             Address(host, port)) for endpoint, destination, kind, zone, state, weight, host, port in rows]
