"""HTTP server for clients: receives messages and answers the readiness check.

`request` parses requests and formats answers; one whose answer needs no waiting is answered without a task, in the turn
of the event loop in which it is complete. `client_connections` limits connections in number and time, `message_request`
turns requests into messages, and `admission` has the interface of what accepts them.
"""

from __future__ import annotations

import asyncio
import functools
import gc
import logging
import math
import socket
import time
from collections.abc import Callable, Mapping

from wheelstep.courier.admission import Admission, BadRequestError, ClientApi, RefusedError
from wheelstep.courier.client_connection import ClientConnection
from wheelstep.courier.client_connections import LINGER_S, ClientConnections
from wheelstep.courier.client_listener import ClientListener, Queue
from wheelstep.courier.client_phases import Phase
from wheelstep.courier.config import Address
from wheelstep.courier.listener import BACKLOG, open_listener
from wheelstep.courier.memory_budget import MemoryBudget
from wheelstep.courier.message_intake import MessageIntake
from wheelstep.courier.process_memory import ProcessMemory
from wheelstep.courier.request import Request

_LOOP_TURNS = 20  # turns of the event loop in which complete requests get their answers
STOP_S = LINGER_S  # at shutdown, for current requests and for clients to read their answers
_LAST_REQUESTS_S = 0.1  # after `STOP_S`, for complete requests that wait for their turn
_QUEUED_S = 0.25  # in a pause, for complete requests that wait for their turn
_UNANSWERED_S = 1.0  # for messages that are in the journal and not answered yet
_SWEEP_S = 0.25
_COLLECTION_INTERVAL_S = 1.0  # between collections of cyclic garbage while memory is short

log = logging.getLogger(__name__)


class ClientServer:
    """Server for clients; it allows about `max_connections` connections."""

    def __init__(self, admission: Admission, classes: Mapping[str, bool], max_connections: int,
                 find_admission: Callable[[int], Admission] | None = None, transferable: bool = False,
                 client_api: ClientApi | None = None, memory: MemoryBudget | None = None) -> None:
        """`find_admission` returns what accepts messages of a destination, where that differs; `admission` tells
        readiness. `transferable`: another process may take connections over. `client_api` interprets requests.
        `memory` bounds what clients' input and messages take."""
        self._api, self._admission, self._limit = client_api, admission, max_connections
        self._transferable = transferable
        self.closing = False  # answers close their connections from now on
        self.memory = memory or MemoryBudget()
        self.process_memory, self._was_short = ProcessMemory(), False
        self._collected_s = -math.inf
        self.intake = MessageIntake(find_admission or (lambda destination: admission), classes, client_api,
                                    self.memory)
        self.queued_since_s = math.inf  # since when clients may have been waiting that another process served before
        self._connections: ClientConnections | None = None
        self._listener: ClientListener | None = None
        self._transferred: set[ClientConnection] = set()  # another process was told of them

    async def start(self, listen: Address, listener: socket.socket | None = None) -> int:
        """Listen on `listener`, or at the address `listen` without one, and return the port."""
        self._connections = self._connections or ClientConnections(
            self, self._limit, self._transferable, self.memory)
        self.measure_memory()
        (listener := listener or open_listener(listen)).listen(BACKLOG)  # another process may have had it
        make = functools.partial(ClientConnection, self._connections)
        self._listener = ClientListener(listener, make, self.queued_since_s)
        self._listener.resume()
        return self._listener.port() or listen.port

    # --- transfer from one process to the next (wheelstep.upgrade) ---

    async def pause(self) -> socket.socket:
        """Stop accepting and reading, and answer the complete requests; those that are too many stay with this process
        and are held. Return the listener, whose queue in the kernel still accepts connections. Raises `TimeoutError` if
        answers take too long."""
        assert self._listener is not None and self._connections is not None
        self._listener.pause()
        self._connections.paused = True
        for connection in self._connections.all():
            connection.update_reading()
        async with asyncio.timeout(_UNANSWERED_S):
            for _ in range(_LOOP_TURNS):
                await asyncio.sleep(0)
            until_s = time.monotonic() + _QUEUED_S
            while self._connections.serving and time.monotonic() < until_s:
                await asyncio.sleep(0)
            self._connections.serving.hold()
            while self._listener.opening or any(connection.awaiting_sync for connection in self._connections.all()):
                await asyncio.sleep(0.002)
        return self._listener.socket

    async def resume(self) -> None:
        """Undo `pause`, if it is in effect."""
        if self._listener is None or self._connections is None or not self._connections.paused:
            return
        self._listener.resume()
        self._connections.paused = False
        self._connections.serving.release()
        for connection in self._connections.all():
            connection.update_reading()

    def connections(self) -> list[tuple[int, bool, bytes]]:
        """Return the connections to pass on: descriptor, whether it is idle, and the bytes of an incomplete request."""
        assert self._connections is not None
        found: list[tuple[int, bool, bytes]] = []
        self._transferred = {client for client in self._connections.all() if _can_transfer(client)}
        for client in self._transferred:
            assert client.transport is not None and client.partial_request is not None
            descriptor = client.transport.get_extra_info("socket").fileno()
            found.append((descriptor, client.phase is Phase.IDLE, client.partial_request))
        return found

    def close_transferred(self) -> None:
        """Close the handles of what another process has taken over. Connections that could not be transferred stay: a
        request that becomes complete there gets its answer here."""
        if self._listener is not None:
            self._listener.close()
        if self._connections is not None:
            for connection in self._connections.all():
                if connection in self._transferred:
                    connection.close()
            self._transferred.clear()
            self._connections.paused = False
            self._connections.serving.release()
            for connection in self._connections.all():
                connection.update_reading()

    async def adopt(self, client: socket.socket, idle: bool, raw: bytes) -> None:
        """Take over a connection from another process; `raw` is what came of an incomplete request."""
        assert self._connections is not None
        connection = ClientConnection(self._connections, self.queued_since_s)
        await asyncio.get_running_loop().connect_accepted_socket(lambda: connection, client)
        if idle:
            self._connections.set_phase(connection, Phase.IDLE)
        if raw:
            connection.data_received(raw)

    async def sweep(self) -> None:
        """Apply the time limits of connections and log what was refused, until cancelled."""
        while True:
            await asyncio.sleep(_SWEEP_S)
            if self._connections is not None:
                self._connections.sweep()
            self.intake.report()
            self.measure_memory()

    def measure_memory(self) -> None:
        """Measure the process, and log when it begins or ceases to lack memory for what clients send."""
        self.memory.measured(self.process_memory.own_bytes(), self.process_memory.other_bytes())
        if self.memory.is_short and time.monotonic() - self._collected_s >= _COLLECTION_INTERVAL_S:
            self._collected_s = time.monotonic()
            gc.collect()
        if self.memory.is_short != self._was_short:
            self._was_short = self.memory.is_short
            log.warning("memory: %s; %s", "short" if self._was_short else "enough again", self.memory.describe())

    def refuse_messages(self) -> None:
        """Refuse new messages from now on."""
        self.intake.refusing = True

    async def stop(self) -> None:
        """Answer requests that have arrived or are queued, then close. Silent clients have half of the time to send."""
        self.closing = self.intake.refusing = True
        if self._connections is None or self._listener is None:
            return
        began = (loop := asyncio.get_running_loop()).time()
        self._listener.pause()
        queued = True
        while (left_s := began + STOP_S - loop.time()) > 0:
            if queued and not (queued := self._listener.accept() is Queue.UNKNOWN):
                self._listener.close()  # in the same turn of the loop in which its queue was found empty
            self._connections.end_idle(silent=left_s < STOP_S / 2)
            if not queued and not self._listener.opening and not self._connections.all():
                break
            await asyncio.sleep(0 if queued or self._listener.opening else 0.01)
        self._listener.close()
        self._connections.cancel_waits()
        for _ in range(_LOOP_TURNS):
            await asyncio.sleep(0)
        while self._connections.serving and loop.time() < began + STOP_S + _LAST_REQUESTS_S:
            await asyncio.sleep(0)
        self._connections.close_all()

    # --- requests ---

    def serve(self, request: Request, connection: ClientConnection) -> None:
        """Answer a request, or make its connection wait for the answer. A bad request ends its connection."""
        try:
            if request.method == "POST":
                self.intake.submit(request, connection)
                return
            if request.target.partition("?")[0] != "/healthz":
                if self._api is not None:
                    return self._api.other(request, connection)
                raise BadRequestError("no such path; expected /healthz, or a message by POST")
            if request.method not in ("GET", "HEAD"):
                raise BadRequestError("no such method; expected GET, or a message by POST")
            connection.respond(request, 200 if self._admission.ready else 503)
        except BadRequestError as error:
            self.intake.reject(request, error, connection)
        except RefusedError as error:
            connection.respond(request, error.status, error.text, error.headers)
        except Exception:
            log.exception("a request failed unexpectedly")
            connection.respond(request, 500, keep_alive=False)


def _can_transfer(client: ClientConnection) -> bool:
    """Return whether another process can go on with a connection."""
    return (not client.write_closed and client.partial_request is not None and not client.awaiting_sync
            and client.transport is not None and not client.transport.get_write_buffer_size())
