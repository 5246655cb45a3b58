"""The new process: asks the one that serves for everything, and goes on where it stopped."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import socket
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from wheelstep import interface as api
from wheelstep.courier.call import Item, Result
from wheelstep.courier.client_server import ClientServer
from wheelstep.courier.core import Core
from wheelstep.courier.ports import CallsOut
from wheelstep.courier.rows import Row, read_rows
from wheelstep.interface import Outcome
from wheelstep.upgrade import channel as channels
from wheelstep.upgrade.channel import Channel, LostError

_AGAIN_S = 0.05
_TAKES_S = 4.0

log = logging.getLogger(__name__)


@dataclass(slots=True)
class TransferredState:
    """What the earlier process handed over."""

    listener: socket.socket | None = None
    clients: list[tuple[socket.socket, bool, bytes]] = field(default_factory=list)
    rows: list[Row] = field(default_factory=list)
    seq: int = 0
    calls: list[CallsOut] = field(default_factory=list)
    waits: dict[str, int] = field(default_factory=dict)
    settling: dict[str, int] | None = None  # keys, and for how many microseconds; None: it did not tell

    def close(self) -> None:
        """Give all descriptors back."""
        if self.listener is not None:
            self.listener.close()
        for connection, _, _ in self.clients:
            connection.close()


class HandoverTarget:
    """One attempt to take over."""

    def __init__(self, link: socket.socket) -> None:
        self.transferred = TransferredState()
        self._core: Core | None = None
        self._early: list[dict[str, Any]] = []  # outcomes that came before the core was there, one a call at most
        self._out: dict[tuple[str, int], str] = {}  # attempts that are out there, and where
        self._steps: asyncio.Queue[str] = asyncio.Queue()
        self._channel = Channel(link, self._heard, self._lost)

    def _heard(self, head: dict[str, Any], body: bytes, descriptors: list[int]) -> None:
        transferred = self.transferred
        match head["is"]:
            case "client":
                transferred.clients.append((socket.socket(fileno=descriptors.pop()), bool(head["idle"]), body))
            case "listener":
                transferred.listener = socket.socket(fileno=descriptors.pop())
            case "list":
                transferred.rows += read_rows(head["rows"])
                transferred.seq = int(head["seq"])
            case "calls":
                transferred.calls += [
                    CallsOut(str(endpoint), int(sent_ms), [(str(name), int(n)) for name, n in attempts])
                    for endpoint, sent_ms, attempts in head["rows"]]
            case "waits":
                self._waits({str(endpoint): int(left_us) for endpoint, left_us in head["rows"]})
            case "settling":
                transferred.settling = transferred.settling or {}
                transferred.settling.update((str(key), int(left_us)) for key, left_us in head["rows"])
            case "ended" if self._core is None:
                self._early.append(head)
            case "ended":
                self._ended(head)
            case "connections" | "yours" as step:
                self._steps.put_nowait(step)
        for descriptor in descriptors:
            os.close(descriptor)

    def _waits(self, waits: dict[str, int]) -> None:
        if self._core is None:
            for endpoint, left_us in waits.items():
                self.transferred.waits[endpoint] = max(self.transferred.waits.get(endpoint, 0), left_us)
            return
        for endpoint, left_us in waits.items():
            self._core.told_to_wait(endpoint, left_us)

    def _lost(self) -> None:
        """Guards messages whose outcome nobody will tell any more: they may have run."""
        self._steps.put_nowait("lost")
        if self._core is not None:
            if self._out:
                log.warning("the earlier process ended with %d attempts out: they may have run", len(self._out))
            for (name, number), endpoint in list(self._out.items()):
                self._core.ended(endpoint, [(Item(name, number, None, b""), Result(Outcome.RESET))])
            self._out.clear()

    async def _step(self, wanted: str) -> None:
        async with asyncio.timeout(_TAKES_S):
            if await self._steps.get() != wanted:
                raise LostError("the process that serves has gone")

    async def take(self) -> None:
        """All but the journal, which is closed over there once this returns. Raises `LostError`."""
        try:
            await self._channel.send({"do": "take over"})
            await self._step("connections")
            await self._channel.send({"do": "received"})
            await self._step("yours")
        except (LostError, TimeoutError) as error:
            self.transferred.close()
            self._channel.close()
            raise LostError(str(error)) from error

    async def go_on(self, core: Core, server: ClientServer) -> None:
        """The core has what the journal held and `server` listens: serve the connections, then hear outcomes."""
        self._out = {attempt: call.endpoint for call in self.transferred.calls for attempt in call.attempts}
        for endpoint, left_us in self.transferred.waits.items():
            core.told_to_wait(endpoint, left_us)
        for connection, idle, raw in self.transferred.clients:
            with contextlib.suppress(OSError):  # its client has gone meanwhile
                await server.adopt(connection, idle, raw)
        self._core = core
        for head in self._early:
            self._ended(head)
        self._early.clear()
        if self._channel.open:
            with contextlib.suppress(LostError):
                await self._channel.send({"do": "mine"})
        else:
            self._lost()

    def still_out(self) -> list[CallsOut]:
        """Return the calls of the process before that have no outcome yet."""
        calls = [replace(call, attempts=[attempt for attempt in call.attempts if attempt in self._out])
                 for call in self.transferred.calls]
        return [call for call in calls if call.attempts]

    def _ended(self, head: dict[str, Any]) -> None:
        assert self._core is not None
        endpoint, results = str(head["endpoint"]), []
        for name, number, outcome, spent_us, wait_us, limit, over, exhausted in head["rows"]:
            if self._out.pop((name, number), None) is None:
                continue
            if wait_us:
                self._core.told_to_wait(endpoint, wait_us)
            results.append((Item(name, number, None, b""), Result(
                Outcome(outcome), spent_us, wait_us, api.LimitReport(*limit) if limit else None, over, exhausted,
                unfinished=[name, number] in head.get("unfinished", ()))))
        if results:
            self._core.ended(endpoint, results)


async def take_over(folder: Path, free: Callable[[], bool]) -> HandoverTarget | None:
    """Take over from the process that has the folder; None once `free` says that none has it any more."""
    while True:
        if free():
            return None
        try:
            target = HandoverTarget(channels.connect(folder))
            await target.take()
            return target
        except (OSError, LostError) as error:
            log.info("not taken over yet: %s", error)
        await asyncio.sleep(_AGAIN_S)
