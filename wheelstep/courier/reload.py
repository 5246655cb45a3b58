"""Reads the configuration and the operator's file again on SIGHUP."""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

from wheelstep.courier.config import Address, Config, ConfigError, load
from wheelstep.courier.core import Core
from wheelstep.courier.local_errors import FILE_ERRORS, may_pass

if TYPE_CHECKING:  # imported at run time only where the feature is on
    from wheelstep.fleet.daemon import FleetDaemon
    from wheelstep.shards.daemon import ShardDaemon

_READ_TIMEOUT_S = 3.0  # a new configuration is in force 4 s after SIGHUP (standing test)
_READ_RETRY_S = 0.02

log = logging.getLogger(__name__)


class DiscoveryUser(Protocol):
    """A part of the courier that sends requests to discovery's address."""

    def move(self, discovery: Address) -> None:
        """Use another address from now on."""


def reload_operator_file(path: str, fleet: FleetDaemon | ShardDaemon) -> None:
    """Read the operator's file again and apply its contracts. A file that can't be used changes nothing."""
    from wheelstep.operator import OperatorError
    from wheelstep.operator import load as load_operator
    try:
        settings = load_operator(path).fleet
    except OperatorError as error:
        log.warning("the new operator's file is not used: %.300s", " ".join(str(error).split()))
        return
    if settings is not None:
        fleet.renew(settings)


def _load_new(raw: Any) -> Config:
    """Return the configuration as it stands now. Raises `ConfigError`, `ValueError`, and `ImportError` or `OSError` if
    the modules that compare it with the one in force can't be loaded."""
    from wheelstep.renewal import classes, files  # noqa: F401 - `Core.renew` needs the first one
    fresh = load(os.environ, again=True)
    files.check(fresh.raw, raw)
    return fresh


async def _read_again(raw: Any) -> Config:
    """Read the configuration, and try again while the system fails. Raises `ConfigError` and `ValueError`."""
    until_s = asyncio.get_running_loop().time() + _READ_TIMEOUT_S
    while True:
        try:
            return _load_new(raw)
        except (ConfigError, ImportError, OSError) as error:
            passing = isinstance(error, ImportError) or may_pass(error, FILE_ERRORS)
            if not passing or asyncio.get_running_loop().time() >= until_s:
                raise ConfigError(str(error)) from error
            log.warning("the new configuration can't be read yet: %s", error)
        await asyncio.sleep(_READ_RETRY_S)


async def follow_config(config: Config, reload_requested: asyncio.Event, *users: DiscoveryUser,
                        on_applied: Callable[[], None] = lambda: None, core: Core | None = None,
                        on_reload: Callable[[], None] = lambda: None, at_once: bool = False) -> None:
    """Read the configuration again whenever that is requested, until cancelled. A configuration that can't be used
    changes nothing. `on_reload` is called before it is read, `on_applied` after it was applied. `at_once`: read it at
    once as well, which counts as no load, because the process before may have been told of a newer one."""
    discovery, raw = config.discovery, config.raw
    while True:
        if not at_once:
            await reload_requested.wait()
        requested, at_once = reload_requested.is_set(), False
        reload_requested.clear()
        on_reload()
        try:
            fresh = await _read_again(raw)
        except (ConfigError, ValueError) as error:
            log.warning("the new configuration is not used: %.300s", " ".join(str(error).split()))
            if core is not None and core.counters is not None:
                core.counters.load_errors += requested
            continue
        address, raw = fresh.discovery, fresh.raw
        if core is not None:
            core.renew(fresh)
            if core.counters is not None:
                core.counters.loads += requested
        log.info("configuration read again: discovery at %s:%d", address.host, address.port)
        if address != discovery:
            discovery = address
            for user in users:
                user.move(address)
        on_applied()
