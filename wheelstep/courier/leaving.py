"""How a courier ends: within some three seconds of SIGTERM."""

from __future__ import annotations

import asyncio
import logging
import signal
from collections.abc import Awaitable

from wheelstep.courier.client_server import STOP_S, ClientServer
from wheelstep.courier.core import Core

_WORK_ON_S = 2.0  # from SIGTERM until no new attempt starts
_CLOSE_S = 2.8  # until clients' connections are ended
_TURN_AWAY_S = _CLOSE_S  # until messages get 503: what is taken from _WORK_ON_S on waits for the next process
LEAVE_S = _CLOSE_S + STOP_S  # until calls still under way are left to the next process

log = logging.getLogger(__name__)


async def leave(core: Core, server: ClientServer, first: Awaitable[None] | None = None) -> None:
    """Clients hear 503 from the health check, and go on being served on the connections that they have. `first`: what
    is done meanwhile, and waited for."""
    began = asyncio.get_running_loop().time()
    core.ready = False
    if first is not None:
        await first
        began = max(began, asyncio.get_running_loop().time() - _WORK_ON_S)

    async def until(after_s: float) -> None:
        await asyncio.sleep(max(0.0, began + after_s - asyncio.get_running_loop().time()))

    await until(_WORK_ON_S)
    core.stop()
    log.info("no new attempt from now on")
    turn = asyncio.get_running_loop().call_at(began + _TURN_AWAY_S, server.refuse)
    await core.outlet.finish(_CLOSE_S - _WORK_ON_S)
    server.closing = True
    await until(_CLOSE_S)
    turn.cancel()
    log.info("ending clients' connections")
    await server.stop()
    await core.outlet.finish(max(0.0, began + LEAVE_S - asyncio.get_running_loop().time()))
    await core.outlet.abandon()  # before the folder is given back: a process that waits for it takes them for ended
    log.info("stopped; invariants violated: %s", core.invariants.summary())


def deafen() -> None:
    """For the rest of the process. The loop gives signals back when it is closed, and one told to end a second time
    would die of it in its last moments, in place of ending with 0."""
    numbers = {signal.SIGTERM, signal.SIGINT, signal.SIGHUP}
    signal.pthread_sigmask(signal.SIG_BLOCK, numbers)  # between the two steps
    for number in numbers:
        asyncio.get_running_loop().remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)
