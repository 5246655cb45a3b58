"""New versions of a courier that take over from the process that serves."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable

from loopback import Courier, Scene

from wheelstep.upgrade.channel import SOCKET_NAME


@contextlib.asynccontextmanager
async def upgraded(scene: Scene) -> AsyncIterator[Courier]:
    """Yield the successor once it serves; the previous process still runs."""
    after = scene.courier.successor()
    await after.begin()
    try:
        after.address = scene.courier.address
        await after.wait_ready()
        yield after
    finally:
        if after.process.returncode is None:
            await after.kill()


@contextlib.asynccontextmanager
async def waiting_successor(scene: Scene) -> AsyncIterator[tuple[Courier, Callable[[], Awaitable[None]]]]:
    """Yield a successor that has started and can't reach the serving process yet, and a function that lets it take over
    and waits until it serves. So a test's time limits don't depend on how long a start takes."""
    socket = scene.courier.folder / "state" / SOCKET_NAME
    hidden = socket.rename(socket.with_name("hidden"))
    after = scene.courier.successor()
    await after.begin()
    after.address = scene.courier.address

    async def take_over() -> None:
        hidden.rename(socket)
        await after.wait_ready()
    try:
        await after.wait_console()
        yield after, take_over
    finally:
        if after.process.returncode is None:
            await after.kill()
