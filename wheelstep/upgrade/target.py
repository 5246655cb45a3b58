"""The new process's side of a handover: receives the state of the serving process and continues from it."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from wheelstep.courier.call import Item, Result
from wheelstep.courier.client_server import ClientServer
from wheelstep.courier.core import Core
from wheelstep.courier.ports import OpenCall
from wheelstep.courier.reliable_socket import ReliableSocket
from wheelstep.courier.rows import Row, read_rows, with_starts, write_starts
from wheelstep.interface import Outcome
from wheelstep.upgrade import channel as channels
from wheelstep.upgrade.channel import Channel, ConnectionLostError
from wheelstep.upgrade.reports import apply_contradiction, read_results

_RETRY_S = 0.05
_STEP_TIMEOUT_S = 4.0

log = logging.getLogger(__name__)


@dataclass(slots=True)
class TransferredState:
    """What the previous process handed over."""

    listener: socket.socket | None = None
    clients: list[tuple[socket.socket, bool, bytes]] = field(default_factory=list)
    rows: list[Row] = field(default_factory=list)
    seq: int = 0
    calls: list[OpenCall] = field(default_factory=list)
    waits: dict[str, int] = field(default_factory=dict)
    settling: dict[str, int] | None = None  # keys, and for how many microseconds each settles; None if not sent
    ended: list[tuple[str, int]] = field(default_factory=list)  # messages, and for how many microseconds they have
    requested_s: float = field(default_factory=time.monotonic)  # the previous process serves nobody from then on

    def close(self) -> None:
        """Close all received sockets."""
        if self.listener is not None:
            self.listener.close()
        for connection, _, _ in self.clients:
            connection.close()


class HandoverTarget:
    """One attempt to take over."""

    def __init__(self, sock: socket.socket) -> None:
        """Use a connected socket to the serving process."""
        self.transferred = TransferredState()
        self._core: Core | None = None
        self._early_reports: list[dict[str, Any]] = []  # before the core was set, at most two per call
        self._in_flight: dict[tuple[str, int], str] = {}  # attempts at the previous process -> endpoint
        self._steps: asyncio.Queue[str] = asyncio.Queue()
        self._channel = Channel(sock, self._on_packet, self._on_lost)
        self.predecessor = self._channel.peer_process()

    def _on_packet(self, head: dict[str, Any], body: bytes, descriptors: list[int]) -> None:
        """Process a packet of the serving process."""
        transferred = self.transferred
        match head["is"]:
            case "client":
                transferred.clients.append((ReliableSocket(fileno=descriptors.pop()), bool(head["idle"]), body))
            case "listener":
                transferred.listener = socket.socket(fileno=descriptors.pop())
            case "list":
                transferred.rows += read_rows(head["rows"])
                transferred.seq = int(head["seq"])
            case "starts":
                transferred.rows = with_starts(transferred.rows, [*write_starts(transferred.rows), *head["rows"]])
            case "calls":
                transferred.calls += [
                    OpenCall(str(endpoint), int(sent_ms), [(str(name), int(n)) for name, n in attempts])
                    for endpoint, sent_ms, attempts in head["rows"]]
            case "waits":
                self._add_waits({str(endpoint): int(left_us) for endpoint, left_us in head["rows"]})
            case "settling":
                transferred.settling = transferred.settling or {}
                transferred.settling.update((str(key), int(left_us)) for key, left_us in head["rows"])
            case "ended messages":
                transferred.ended += [(str(message), int(age_us)) for message, age_us in head["rows"]]
            case "ended" | "contradiction" if self._core is None:
                self._early_reports.append(head)
            case "ended" | "contradiction":
                self._apply_report(head)
            case "connections" | "yours" as step:
                self._steps.put_nowait(step)
        for descriptor in descriptors:
            os.close(descriptor)

    def _add_waits(self, waits: dict[str, int]) -> None:
        """Apply endpoint waits, or keep the longest of each until the core is set."""
        if self._core is None:
            for endpoint, left_us in waits.items():
                self.transferred.waits[endpoint] = max(self.transferred.waits.get(endpoint, 0), left_us)
            return
        for endpoint, left_us in waits.items():
            self._core.apply_wait(endpoint, left_us)

    def _on_lost(self) -> None:
        """Process the end of the connection: attempts whose outcome can no longer arrive may have run."""
        self._steps.put_nowait("lost")
        if self._core is not None:
            if self._in_flight:
                log.warning("the previous process ended with %d attempts in flight: they may have run",
                            len(self._in_flight))
            for (name, number), endpoint in list(self._in_flight.items()):
                self._core.ended(endpoint, [(Item(name, number, None, b""), Result(Outcome.RESET))])
            self._in_flight.clear()

    async def _step(self, expected: str) -> None:
        """Wait for a step's packet. Raises `ConnectionLostError` or `TimeoutError`."""
        async with asyncio.timeout(_STEP_TIMEOUT_S):
            if await self._steps.get() != expected:
                raise ConnectionLostError("the serving process has closed the connection")

    async def receive_state(self) -> None:
        """Receive everything but the journal, which the serving process has closed once this returns. Raises
        `ConnectionLostError`."""
        try:
            await self._channel.send({"do": "take over"})
            await self._step("connections")
            await self._channel.send({"do": "received"})
            await self._step("yours")
        except (ConnectionLostError, TimeoutError) as error:
            self.transferred.close()
            self._channel.close()
            raise ConnectionLostError(str(error)) from error

    async def resume_serving(self, core: Core, server: ClientServer) -> None:
        """Serve the received connections, then process outcomes.

        Call this once the core holds the journal's content and `server` listens.
        """
        self._in_flight = {attempt: call.endpoint for call in self.transferred.calls for attempt in call.attempts}
        for endpoint, left_us in self.transferred.waits.items():
            core.apply_wait(endpoint, left_us)
        for connection, idle, raw in self.transferred.clients:
            with contextlib.suppress(OSError):  # its client has disconnected meanwhile
                await server.adopt(connection, idle, raw)
        self._core = core
        for head in self._early_reports:
            self._apply_report(head)
        self._early_reports.clear()
        if self._channel.open:
            with contextlib.suppress(ConnectionLostError):
                await self._channel.send({"do": "mine"})
        else:
            self._on_lost()

    def calls_in_flight(self) -> list[OpenCall]:
        """Return the calls of the previous process that have no outcome yet."""
        calls = [replace(call, attempts=[attempt for attempt in call.attempts if attempt in self._in_flight])
                 for call in self.transferred.calls]
        return [call for call in calls if call.attempts]

    def _apply_report(self, head: dict[str, Any]) -> None:
        """Apply what a call of the previous process has brought after the handover."""
        assert self._core is not None
        if head["is"] == "contradiction":
            apply_contradiction(head, self._core)
            return
        endpoint, results = str(head["endpoint"]), []
        for item, result in read_results(head):
            if self._in_flight.pop((item.message, item.attempt), None) is None:
                continue
            if result.wait_us:
                self._core.apply_wait(endpoint, result.wait_us)
            results.append((item, result))
        if results:
            self._core.ended(endpoint, results)


async def take_over(folder: Path, free: Callable[[], bool]) -> HandoverTarget | None:
    """Take over from the process that has locked the folder; None once `free` returns that no process has."""
    while True:
        if free():
            return None
        try:
            target = HandoverTarget(channels.connect(folder))
            await target.receive_state()
            return target
        except (OSError, ConnectionLostError) as error:
            log.info("handover failed, trying again: %s", error)
        await asyncio.sleep(_RETRY_S)
