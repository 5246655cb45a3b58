"""Starts a courier with workers: checks its settings, takes its port and folder, and runs the supervisor."""

from __future__ import annotations

import asyncio
import logging
import os
import socket
import tempfile
from typing import TYPE_CHECKING

from wheelstep.courier.config import Address, Config, ConfigError
from wheelstep.courier.listener import open_listener
from wheelstep.journal.disk import Folder
from wheelstep.workers.layout import LayoutError, prepare
from wheelstep.workers.ownership import SupervisionLimits, WorkerPool
from wheelstep.workers.supervisor import AllParkedError, Supervisor

if TYPE_CHECKING:
    from wheelstep.operator import Operator

_BIND_TIMEOUT_S = 5.0  # an earlier process that listens here may take this long to end

log = logging.getLogger("wheelstep.workers")


async def supervise(config: Config, reload_requested: asyncio.Event, operator: Operator | None, workers: int,
                    operator_file: str | None) -> int:
    """Run a courier with `workers` worker processes until SIGTERM or SIGINT. `reload_requested`: set to have the
    configuration read again. `operator_file`: path of the operator's file that workers load (default:
    `UMBERCHUTE_OPERATOR`). Returns the exit code. Raises `ConfigError` if settings, port or folder can't be used, and
    an exception group with `AllParkedError` once all workers are parked."""
    operator_settings = operator.workers if operator is not None else None
    shares = operator_settings.shares if operator_settings is not None else max(8, workers)
    limits = SupervisionLimits() if operator_settings is None else SupervisionLimits(
        hang_s=operator_settings.hang_after / 1e6, crashes=operator_settings.park_after,
        crash_window_s=operator_settings.park_within / 1e6)
    if shares < workers:
        raise ConfigError(f"workers.shares: {shares}; expected {workers} at least, one for each worker")
    if min(config.settings.slots, config.settings.hold_limit) < workers:
        raise ConfigError(f"workers.count: {workers}; expected no more than there are slots ({config.settings.slots}) "
                          f"and messages to be held ({config.settings.hold_limit})")
    listener = await _bind(config.listen)
    try:
        layout = prepare(config.state, shares, config.disk_bytes)
    except LayoutError as error:
        raise ConfigError(str(error)) from error
    lock = Folder(config.state)
    if not lock.lock():
        raise ConfigError(f"{config.state}: in use by another process; expected a folder that no courier uses")
    try:
        with tempfile.TemporaryDirectory(prefix="umberchute-") as sockets:
            supervisor = Supervisor(config, layout, WorkerPool(workers, shares, limits), listener, sockets,
                                    operator_file or os.environ.get("UMBERCHUTE_OPERATOR"))
            await supervisor.run(reload_requested)
        return 0
    except ExceptionGroup as group:
        if group.split(AllParkedError)[1] is not None:
            raise
        log.error("%s", group.exceptions[0])
        return 1
    finally:
        lock.unlock()
        listener.close()


async def _bind(listen: Address) -> socket.socket:
    """Bind the listener. Retries, as the workers of a supervisor that was just killed may still hold the port."""
    until = asyncio.get_running_loop().time() + _BIND_TIMEOUT_S
    while True:
        try:
            return open_listener(listen)
        except OSError as error:
            if asyncio.get_running_loop().time() > until:
                raise ConfigError(f"can't listen at {listen.host}:{listen.port}: {error}") from error
        await asyncio.sleep(0.05)
