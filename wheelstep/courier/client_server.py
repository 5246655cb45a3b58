"""The clients' side: hands messages in, and tells whether the courier is ready.

`request` reads requests and makes answers; a request that nothing has to be waited for is answered in the turn of the
loop in which it came whole, without a task. `client_connections` bounds how many connections clients hold and for how
long one may owe a request; `reading` makes a message of one; `desk` is what is asked of whoever takes it on.
"""

from __future__ import annotations

import asyncio
import functools
import logging
import socket
from collections.abc import Callable, Mapping

from wheelstep.courier.client_connection import ClientConnection
from wheelstep.courier.client_connections import LINGER_S, ClientConnections
from wheelstep.courier.client_listener import ClientListener
from wheelstep.courier.client_phases import Phase
from wheelstep.courier.config import Address
from wheelstep.courier.desk import BadRequestError, Desk, Front, RefusedError, UnansweredError
from wheelstep.courier.listen import QUEUE, bind
from wheelstep.courier.reading import read_message
from wheelstep.courier.request import Request
from wheelstep.journal import NoRoomError, Stored

_COME_BACK = (("Retry-After", "1"),)
_TURNS = 20  # of the loop, in which what has come whole gets its answer
STOP_S = LINGER_S  # at the end, for requests under way and for clients to take their answers
_SETTLE_S = 1.0  # for messages that are written down and not answered yet
_SWEEP_S = 0.25

log = logging.getLogger(__name__)


class ClientServer:
    """The server for clients; they may hold about `most` connections."""

    def __init__(self, desk: Desk, classes: Mapping[str, bool], most: int,
                 find: Callable[[int], Desk] | None = None, keep: bool = False, front: Front | None = None) -> None:
        """`find` gives the desk of a destination, where there are several; `desk` tells whether all are ready.
        With `keep`, connections can be passed on to another process. `front` reads what clients hand in."""
        self._front = front
        self._desk, self._classes, self._most = desk, classes, most
        self._find, self._keep = find, keep
        self.closing = False  # answers end their connections from now on
        self.refusing = False  # and messages are turned away
        self.bad = self._no_room = 0
        self.unanswered: Callable[[str], None] = functools.partial(log.warning, "no answer to a client: %s")
        self._connections: ClientConnections | None = None
        self._listener: ClientListener | None = None

    async def start(self, listen: Address, listener: socket.socket | None = None) -> int:
        """Listen, at `listener` if it is given, and return the port."""
        connections = self._connections = self._connections or ClientConnections(self, self._most, self._keep)
        listener = listener or bind(listen)
        listener.listen(QUEUE)  # another process may have had it
        self._listener = ClientListener(listener, lambda: ClientConnection(connections))
        self._listener.resume()
        return int(self._listener.socket.getsockname()[1])

    # --- from one process to the next (wheelstep.upgrade) ---

    async def pause(self) -> socket.socket:
        """Take no connection on and read nothing; what has come whole gets its answer. The listener: its queue goes on
        taking connections."""
        assert self._listener is not None and self._connections is not None
        self._listener.pause()
        self._connections.paused = True
        for connection in self._connections.all():
            connection.flow()
        async with asyncio.timeout(_SETTLE_S):
            for _ in range(_TURNS):
                await asyncio.sleep(0)
            while self._listener.opening or any(connection.taking for connection in self._connections.all()):
                await asyncio.sleep(0.002)
        return self._listener.socket

    async def resume(self) -> None:
        """After all: go on."""
        if self._listener is None or self._connections is None or not self._connections.paused:
            return
        self._listener.resume()
        self._connections.paused = False
        for connection in self._connections.all():
            connection.flow()

    def connections(self) -> list[tuple[int, bool, bytes]]:
        """Those that another process can go on with: descriptor, whether a request is expected only by and by, and what
        came of one."""
        assert self._connections is not None
        return [(client.transport.get_extra_info("socket").fileno(), client.phase is Phase.IDLE, client.raw)
                for client in self._connections.all()
                if client.transport is not None and not client.gone and client.raw is not None
                and not client.taking and not client.transport.get_write_buffer_size()]

    def let_go(self) -> None:
        """Another process has them: this one's handles are closed."""
        if self._listener is not None:
            self._listener.close()
        if self._connections is not None:
            for connection in self._connections.all():
                if (connection.transport is not None and not connection.gone
                        and not connection.transport.get_write_buffer_size()):
                    connection.close()

    async def adopt(self, client: socket.socket, idle: bool, raw: bytes) -> None:
        """Go on with one that another process had."""
        assert self._connections is not None
        connections = self._connections
        loop = asyncio.get_running_loop()
        _, connection = await loop.connect_accepted_socket(lambda: ClientConnection(connections), client)
        if idle:
            connections.turn(connection, Phase.IDLE)
        if raw:
            connection.data_received(raw)

    async def sweep(self) -> None:
        """Keep clients to their time, for good."""
        while True:
            await asyncio.sleep(_SWEEP_S)
            if self._connections is not None:
                self._connections.sweep()
            if self.bad:
                log.info("%d bad requests", self.bad)
                self.bad = 0
            if self._no_room:
                log.warning("no room for %d messages", self._no_room)
                self._no_room = 0

    def refuse(self) -> None:
        """Turn messages away from now on."""
        self.refusing = True

    async def stop(self) -> None:
        """Answer what is under way, what lies in the kernel's buffers and what stands in its queue, and end the
        connections. Whoever has connected and not asked yet has half of the time for it."""
        self.closing = self.refusing = True
        if self._connections is None or self._listener is None:
            return
        began = (loop := asyncio.get_running_loop()).time()
        self._listener.pause()
        queued = True
        while (left_s := began + STOP_S - loop.time()) > 0:
            if queued and not (queued := self._listener.accept()):
                self._listener.close()  # in the turn in which its queue was seen empty
            self._connections.end(silent=left_s < STOP_S / 2)
            if not queued and not self._listener.opening and not self._connections.all():
                break
            await asyncio.sleep(0 if queued or self._listener.opening else 0.01)
        self._listener.close()
        self._connections.hurry()
        for _ in range(_TURNS):
            await asyncio.sleep(0)
        self._connections.cut()

    # --- what requests ask ---

    def serve(self, request: Request, connection: ClientConnection) -> None:
        """Answer one, or let its connection wait for what has to come first. Whoever sent what can't be used has to
        connect again."""
        try:
            if request.method == "POST":
                self._hand_in(request, connection)
                return
            if request.target.partition("?")[0] != "/healthz":
                if self._front is not None:
                    self._front.other(request, connection)
                    return
                raise BadRequestError("no such path; expected /healthz, or a message by POST")
            if request.method not in ("GET", "HEAD"):
                raise BadRequestError("no such method; expected GET, or a message by POST")
            connection.say(request, 200 if self._desk.ready else 503)
        except BadRequestError as error:
            self._bad(request, error, connection)
        except RefusedError as error:
            connection.say(request, error.status, error.text, error.headers)
        except Exception:
            log.exception("a request failed unexpectedly")
            connection.say(request, 500, keep=False)

    def _bad(self, request: Request, error: BadRequestError, connection: ClientConnection) -> None:
        self.bad += 1
        connection.say(request, 400, f"{error}\n", keep=False)

    def _hand_in(self, request: Request, connection: ClientConnection) -> None:
        message = self._front.message(request) if self._front is not None else read_message(request, self._classes)
        desk = self._desk if self._find is None else self._find(message.destination)
        if desk.holds(message.id):  # handed in once more after a connection that crossed
            if desk.settles(message.id):  # guards against 202 for what its first client still may withdraw
                self.unanswered(f"another client hands in {message.id} just now")
                connection.close()
            else:
                connection.say(request, 202)
        elif not desk.serves(message.destination):
            raise BadRequestError("no such destination")
        elif self.refusing:
            self._refuse(request, message, desk, connection)
        elif desk.full():
            self._refuse(request, message, desk, connection, "holds all it can")
        elif not connection.gone:  # else nobody hears it
            try:
                desk.take(message)
            except NoRoomError:
                self._turn_away(request, message, desk, connection)
                return
            if desk.syncs:
                connection.taking = True
                connection.wait(desk.durable(), functools.partial(self._settled, request, message, desk, connection))
            else:
                self._taken(request, message, desk, connection)

    def _settled(self, request: Request, message: Stored, desk: Desk, connection: ClientConnection,
                 work: asyncio.Future[None]) -> None:
        connection.taking = False
        error = None if work.cancelled() else work.exception()
        if not work.cancelled() and error is None:
            self._taken(request, message, desk, connection)
            return
        desk.withdraw(message.id)  # also where its client went meanwhile: nobody was told that it is taken on
        if isinstance(error, NoRoomError):
            self._turn_away(request, message, desk, connection)
        elif isinstance(error, BadRequestError):
            self._bad(request, error, connection)
        elif isinstance(error, UnansweredError):
            self.unanswered(str(error))
            connection.close()
        elif error is not None:
            raise error
        elif not connection.gone:  # its time is up, or the courier's
            self._refuse(request, message, desk, connection)

    def _taken(self, request: Request, message: Stored, desk: Desk, connection: ClientConnection) -> None:
        if connection.say(request, 202, "", self._front.says(message) if self._front is not None else ()):
            desk.begin(message.id)
            desk.handed_in(message, 202)
            if self._front is not None:
                self._front.taken(message)
        else:
            desk.withdraw(message.id)

    def _turn_away(self, request: Request, message: Stored, desk: Desk, connection: ClientConnection) -> None:
        self._no_room += 1
        self._refuse(request, message, desk, connection, "no room")

    def _refuse(self, request: Request, message: Stored, desk: Desk, connection: ClientConnection,
                why: str = "not now") -> None:
        desk.handed_in(message, 503)
        connection.say(request, 503, f"{why}\n", _COME_BACK)
