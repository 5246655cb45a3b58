"""Operators of a soak's courier: they exclude endpoints and include them again, at whichever process they happen to
call."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable, Collection

from wheelstep.rehearsal.history import Excluded, History, Strange

_REPLY_LIMIT_US = 1_000_000  # an exclusion that the courier agrees to counts after this at the latest
_CALL_TIMEOUT_S = 2.0
_RETRY_S = 0.05


async def console_reply(port: int, line: str) -> str:
    """Send one command to a console and return the first line of the reply. Raises `OSError` or `TimeoutError`."""
    async with asyncio.timeout(_CALL_TIMEOUT_S):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            writer.write(f"{line}\n".encode())
            return (await reader.readline()).decode("utf-8", "replace").strip()
        finally:
            writer.close()


class Operators:
    """The operators of one courier. `consoles` returns the ports of the processes that run, `listed` the endpoints that
    discovery has told the courier of."""

    def __init__(self, courier: str, history: History, now_us: Callable[[], int], consoles: Callable[[], list[int]],
                 listed: Callable[[], Collection[str]]) -> None:
        self._courier, self._history, self._now_us = courier, history, now_us
        self._consoles, self._listed = consoles, listed

    async def exclude_for(self, endpoint: str, duration_s: float, rng: random.Random) -> None:
        """Exclude an endpoint and include it again after a while, and record both. A command without an answer is
        repeated, at any process."""
        end_s = asyncio.get_running_loop().time() + duration_s
        sent_us = await self._command("exclude", endpoint, rng, duration_s)
        if sent_us is None:
            return
        self._record(min(self._now_us(), sent_us + _REPLY_LIMIT_US), endpoint, True)
        await asyncio.sleep(max(0.0, end_s - asyncio.get_running_loop().time()))
        self._record(self._now_us(), endpoint, False)
        await self._command("include", endpoint, rng, None)

    def _record(self, at_us: int, endpoint: str, out: bool) -> None:
        self._history.add(Excluded(at_us, self._courier, endpoint, out))

    async def _command(self, name: str, endpoint: str, rng: random.Random, duration_s: float | None) -> int | None:
        """Send a command until a process agrees, and return when that one was sent; None if it was refused as unknown,
        or `duration_s` has passed."""
        loop = asyncio.get_running_loop()
        end_s = None if duration_s is None else loop.time() + duration_s
        while end_s is None or loop.time() < end_s:
            ports, sent_us = self._consoles(), self._now_us()
            listed_before = endpoint in self._listed()
            reply = ""
            if ports:
                with contextlib.suppress(OSError, TimeoutError):
                    reply = await console_reply(rng.choice(ports), f"{name} {endpoint}")
            if reply.startswith("+OK"):
                return sent_us
            if reply.startswith("-ERR no endpoint"):
                if listed_before and endpoint in self._listed():
                    self._history.add(Strange(self._now_us(), self._courier, endpoint,
                                              f"{reply!r} to {name!r} although discovery lists it"))
                return None
            await asyncio.sleep(_RETRY_S)
        return None
