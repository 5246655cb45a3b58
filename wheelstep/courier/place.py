"""Where something of the platform is found."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from wheelstep.courier.config import Address


class Place:
    """Where something of the platform is found, and the exchange that is under way with it."""

    def __init__(self, discovery: Address, path: str) -> None:
        self._path = path
        self._exchange: asyncio.Timeout | None = None
        self.move(discovery)

    def move(self, discovery: Address) -> None:
        """From now on it is there. Guards against waiting for one that has gone: what is under way ends with
        `TimeoutError`."""
        self._url = f"http://{discovery.host}:{discovery.port}{self._path}"
        if self._exchange is not None:
            self._exchange.reschedule(asyncio.get_running_loop().time())

    @asynccontextmanager
    async def exchange(self) -> AsyncIterator[str]:
        """Its address, for one exchange."""
        async with asyncio.timeout(None) as self._exchange:
            try:
                yield self._url
            finally:
                self._exchange = None
