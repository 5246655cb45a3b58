"""Orderly shutdown of a courier: within about three seconds of SIGTERM."""

from __future__ import annotations

import asyncio
import logging
import signal
from collections.abc import Awaitable

from wheelstep.courier.client_server import STOP_S, ClientServer
from wheelstep.courier.core import Core
from wheelstep.journal import Journal

# Counted from SIGTERM:
_ATTEMPTS_UNTIL_S = 2.0  # no new attempt starts from then on
_CONNECTIONS_UNTIL_S = 2.8  # clients' connections are ended
# Messages get 503. One that is accepted after _ATTEMPTS_UNTIL_S waits in the journal for the next process.
_MESSAGES_UNTIL_S = _CONNECTIONS_UNTIL_S
_FLUSH_S = 0.4  # after SHUTDOWN_S, before the platform kills the process at 3.7 s
_FLUSH_RETRY_S = 0.01
SHUTDOWN_S = _CONNECTIONS_UNTIL_S + STOP_S  # calls that are still under way are left to the next process

log = logging.getLogger("wheelstep.courier.leaving")


async def leave(core: Core, server: ClientServer, first: Awaitable[None] | None = None) -> None:
    """Shut down after SIGTERM. The readiness check answers 503 from now on, while clients are still served on the
    connections that they have. `first` is awaited before attempts stop."""
    began = asyncio.get_running_loop().time()
    core.ready = False
    if first is not None:
        await first
        began = max(began, asyncio.get_running_loop().time() - _ATTEMPTS_UNTIL_S)

    async def until(after_s: float) -> None:
        await asyncio.sleep(max(0.0, began + after_s - asyncio.get_running_loop().time()))

    await until(_ATTEMPTS_UNTIL_S)
    core.stop()
    log.info("no new attempt from now on")
    refusal = asyncio.get_running_loop().call_at(began + _MESSAGES_UNTIL_S, server.refuse_messages)
    await core.endpoint_client.finish(_CONNECTIONS_UNTIL_S - _ATTEMPTS_UNTIL_S)
    server.closing = True
    await until(_CONNECTIONS_UNTIL_S)
    refusal.cancel()
    log.info("ending clients' connections")
    await server.stop()
    await core.endpoint_client.finish(max(0.0, began + SHUTDOWN_S - asyncio.get_running_loop().time()))
    await core.endpoint_client.abandon()  # before the folder is unlocked: the next process takes these calls for ended
    log.info("stopped; invariants violated: %s", core.invariants.summary())


async def flush(journal: Journal) -> None:
    """Write what the journal's disk has not taken yet, and try again for a while if it still fails."""
    until_s = asyncio.get_running_loop().time() + _FLUSH_S
    while not journal.flush() and asyncio.get_running_loop().time() < until_s:
        await asyncio.sleep(_FLUSH_RETRY_S)


def ignore_signals() -> None:
    """Ignore SIGTERM, SIGINT and SIGHUP for the rest of the process. A closing event loop restores their default
    actions, so a second SIGTERM in the last moments would kill the process, which has to exit with 0."""
    numbers = {signal.SIGTERM, signal.SIGINT, signal.SIGHUP}
    signal.pthread_sigmask(signal.SIG_BLOCK, numbers)  # for a signal between the two steps below
    for number in numbers:
        asyncio.get_running_loop().remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)
