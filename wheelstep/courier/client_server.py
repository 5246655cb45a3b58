"""HTTP server for clients: receives messages and answers the readiness check.

`request` parses requests and formats answers; one whose answer needs no waiting is answered without a task, in the turn
of the event loop in which it is complete. `client_connections` limits connections in number and time, `message_request`
turns requests into messages, and `admission` has the interface of what accepts them.
"""

from __future__ import annotations

import asyncio
import functools
import logging
import math
import socket
from collections.abc import Callable, Mapping

from wheelstep.courier.admission import Admission, BadRequestError, ClientApi, RefusedError, UnansweredError
from wheelstep.courier.client_connection import ClientConnection
from wheelstep.courier.client_connections import LINGER_S, ClientConnections
from wheelstep.courier.client_listener import ClientListener, Queue
from wheelstep.courier.client_phases import Phase
from wheelstep.courier.config import Address
from wheelstep.courier.listener import BACKLOG, open_listener
from wheelstep.courier.message_request import check_content, read_message
from wheelstep.courier.request import Request
from wheelstep.journal import NoRoomError, StoredMessage

_RETRY_AFTER = (("Retry-After", "1"),)
_LOOP_TURNS = 20  # turns of the event loop in which complete requests get their answers
STOP_S = LINGER_S  # at shutdown, for current requests and for clients to read their answers
_UNANSWERED_S = 1.0  # for messages that are in the journal and not answered yet
_SWEEP_S = 0.25

log = logging.getLogger(__name__)


class ClientServer:
    """Server for clients; it allows about `max_connections` connections."""

    def __init__(self, admission: Admission, classes: Mapping[str, bool], max_connections: int,
                 find_admission: Callable[[int], Admission] | None = None, transferable: bool = False,
                 client_api: ClientApi | None = None) -> None:
        """`find_admission` returns what accepts messages of a destination, where that differs; `admission` tells
        readiness. `transferable`: another process may take connections over. `client_api` interprets requests."""
        self._api, self._admission, self._classes, self._limit = client_api, admission, classes, max_connections
        self._find_admission, self._transferable = find_admission, transferable
        self.closing = self.refusing = False  # answers close their connections from now on; new messages are refused
        self.find_message: Callable[[str], StoredMessage | None] = lambda name: None  # one that was accepted before
        self.queued_since_s = math.inf  # since when clients may have been waiting that another process served before
        self.bad_requests = self._no_room_count = 0
        self.on_unanswered: Callable[[str], None] = functools.partial(log.warning, "no answer to a client: %s")
        self._connections: ClientConnections | None = None
        self._listener: ClientListener | None = None

    async def start(self, listen: Address, listener: socket.socket | None = None) -> int:
        """Listen on `listener`, or at the address `listen` without one, and return the port."""
        self._connections = self._connections or ClientConnections(self, self._limit, self._transferable)
        (listener := listener or open_listener(listen)).listen(BACKLOG)  # another process may have had it
        make = functools.partial(ClientConnection, self._connections)
        self._listener = ClientListener(listener, make, self.queued_since_s)
        self._listener.resume()
        return self._listener.port() or listen.port

    # --- transfer from one process to the next (wheelstep.upgrade) ---

    async def pause(self) -> socket.socket:
        """Stop accepting and reading, and answer the complete requests. Return the listener, whose queue in the kernel
        still accepts connections. Raises `TimeoutError` if answers take too long."""
        assert self._listener is not None and self._connections is not None
        self._listener.pause()
        self._connections.paused = True
        for connection in self._connections.all():
            connection.update_reading()
        async with asyncio.timeout(_UNANSWERED_S):
            for _ in range(_LOOP_TURNS):
                await asyncio.sleep(0)
            while self._listener.opening or any(connection.awaiting_sync for connection in self._connections.all()):
                await asyncio.sleep(0.002)
        return self._listener.socket

    async def resume(self) -> None:
        """Undo `pause`, if it is in effect."""
        if self._listener is None or self._connections is None or not self._connections.paused:
            return
        self._listener.resume()
        self._connections.paused = False
        for connection in self._connections.all():
            connection.update_reading()

    def connections(self) -> list[tuple[int, bool, bytes]]:
        """Return the connections to pass on: descriptor, whether it is idle, and the bytes of an incomplete request."""
        assert self._connections is not None
        return [(client.transport.get_extra_info("socket").fileno(), client.phase is Phase.IDLE, client.partial_request)
                for client in self._connections.all()
                if client.transport is not None and not client.write_closed and client.partial_request is not None
                and not client.awaiting_sync and not client.transport.get_write_buffer_size()]

    def close_transferred(self) -> None:
        """Close the handles of what another process has taken over."""
        if self._listener is not None:
            self._listener.close()
        if self._connections is not None:
            for connection in self._connections.all():
                if (connection.transport is not None and not connection.write_closed
                        and not connection.transport.get_write_buffer_size()):
                    connection.close()

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
            if self.bad_requests:
                log.info("%d bad requests", self.bad_requests)
                self.bad_requests = 0
            if self._no_room_count:
                log.warning("no room for %d messages", self._no_room_count)
                self._no_room_count = 0

    def refuse_messages(self) -> None:
        """Refuse new messages from now on."""
        self.refusing = True

    async def stop(self) -> None:
        """Answer requests that have arrived or are queued, then close. Silent clients have half of the time to send."""
        self.closing = self.refusing = True
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
        self._connections.close_all()

    # --- requests ---

    def serve(self, request: Request, connection: ClientConnection) -> None:
        """Answer a request, or make its connection wait for the answer. A bad request ends its connection."""
        try:
            if request.method == "POST":
                self._hand_in(request, connection)
                return
            if request.target.partition("?")[0] != "/healthz":
                if self._api is not None:
                    return self._api.other(request, connection)
                raise BadRequestError("no such path; expected /healthz, or a message by POST")
            if request.method not in ("GET", "HEAD"):
                raise BadRequestError("no such method; expected GET, or a message by POST")
            connection.respond(request, 200 if self._admission.ready else 503)
        except BadRequestError as error:
            self._reject(request, error, connection)
        except RefusedError as error:
            connection.respond(request, error.status, error.text, error.headers)
        except Exception:
            log.exception("a request failed unexpectedly")
            connection.respond(request, 500, keep_alive=False)

    def _reject(self, request: Request, error: BadRequestError, connection: ClientConnection) -> None:
        self.bad_requests += 1
        connection.respond(request, 400, f"{error}\n", keep_alive=False)

    def _hand_in(self, request: Request, connection: ClientConnection) -> None:
        message = self._api.message(request) if self._api is not None else read_message(request, self._classes)
        check_content(message, self.find_message(message.id))
        admission = self._admission if self._find_admission is None else self._find_admission(message.destination)
        if admission.holds(message.id):  # handed in again: its first request and the end of a connection crossed
            if admission.is_unconfirmed(message.id):  # guards against a 202 for a message that may still be withdrawn
                self.on_unanswered(f"another client hands in {message.id} at the same time")
                connection.close()
            else:
                connection.respond(request, 202)
        elif not admission.serves(message.destination):
            raise BadRequestError("no such destination")
        elif self.refusing:
            self._refuse(request, message, admission, connection)
        elif admission.full():
            self._refuse(request, message, admission, connection, "holds all it can")
        elif not connection.write_closed:  # otherwise the client could not receive the answer
            try:
                admission.take(message)
            except NoRoomError:
                self._refuse_no_room(request, message, admission, connection)
                return
            if admission.syncs:
                connection.awaiting_sync = True
                connection.wait(admission.durable(), functools.partial(
                    self._synced, request, message, admission, connection))
            else:
                self._accept(request, message, admission, connection)

    def _synced(self, request: Request, message: StoredMessage, admission: Admission, connection: ClientConnection,
                work: asyncio.Future[None]) -> None:
        connection.awaiting_sync = False
        error = None if work.cancelled() else work.exception()
        if not work.cancelled() and error is None:
            self._accept(request, message, admission, connection)
            return
        admission.withdraw(message.id)  # also where its client has disconnected: no client was told that it is accepted
        if isinstance(error, NoRoomError):
            self._refuse_no_room(request, message, admission, connection)
        elif isinstance(error, BadRequestError):
            self._reject(request, error, connection)
        elif isinstance(error, UnansweredError):
            self.on_unanswered(str(error))
            connection.close()
        elif error is not None:
            raise error
        elif not connection.write_closed:  # the time of the connection, or of the courier, is up
            self._refuse(request, message, admission, connection)

    def _accept(self, request: Request, message: StoredMessage, admission: Admission,
                connection: ClientConnection) -> None:
        if connection.respond(request, 202, "", self._api.response_headers(message) if self._api is not None else ()):
            admission.begin(message.id)
            admission.record_answer(message, 202)
            if self._api is not None:
                self._api.taken(message)
        else:
            admission.withdraw(message.id)

    def _refuse_no_room(self, request: Request, message: StoredMessage, admission: Admission,
                        connection: ClientConnection) -> None:
        self._no_room_count += 1
        self._refuse(request, message, admission, connection, "no room")

    def _refuse(self, request: Request, message: StoredMessage, admission: Admission, connection: ClientConnection,
                why: str = "not now") -> None:
        admission.record_answer(message, 503)
        connection.respond(request, 503, f"{why}\n", _RETRY_AFTER)
