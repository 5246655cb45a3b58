"""The clients' side: hands messages in, and tells whether the courier is ready.

`request` reads requests and makes answers; a request that nothing has to be waited for is answered in the turn of the
loop in which it came whole, without a task. `doors` bounds how many connections clients hold and for how long one may
owe a request; `reading` makes a message of one; `desk` is what is asked of whoever takes it on.
"""

from __future__ import annotations

import asyncio
import functools
import logging
import socket
from collections.abc import Callable, Mapping

from wheelstep.courier.config import Address
from wheelstep.courier.desk import BadRequestError, Desk, Front, RefusedError, UnansweredError
from wheelstep.courier.doors import ACCEPT, ClientDoor, Doors, Phase
from wheelstep.courier.listen import QUEUE, bind
from wheelstep.courier.reading import read_message
from wheelstep.courier.request import Request
from wheelstep.journal import NoRoomError, Stored

_COME_BACK = (("Retry-After", "1"),)
_TURNS = 20  # of the loop, in which what has come whole gets its answer
_STOP_S = 0.5  # for requests under way at the end
_SETTLE_S = 1.0  # for messages that are written down and not answered yet
_SWEEP_S = 0.25

log = logging.getLogger(__name__)


class Inlet:
    """The server for clients; they may hold about `most` connections."""

    def __init__(self, desk: Desk, classes: Mapping[str, bool], most: int,
                 find: Callable[[int], Desk] | None = None, keep: bool = False, front: Front | None = None) -> None:
        """`find` gives the desk of a destination, where there are several; `desk` tells whether all are ready.
        With `keep`, connections can be passed on to another process. `front` reads what clients hand in."""
        self._front = front
        self._desk, self._classes, self._most = desk, classes, most
        self._find, self._keep = find, keep
        self._spare: socket.socket | None = None  # the listener, while nothing is taken on
        self.closing = False  # answers end their connections from now on
        self.bad = self._no_room = 0
        self._doors: Doors | None = None
        self._server: asyncio.Server | None = None

    async def start(self, listen: Address, listener: socket.socket | None = None) -> int:
        """Listen, at `listener` if it is given, and return the port."""
        doors = self._doors = self._doors or Doors(self, self._most, self._keep)
        listener = listener or bind(listen)
        self._server = await asyncio.get_running_loop().create_server(
            lambda: ClientDoor(doors), sock=listener, backlog=ACCEPT)
        listener.listen(QUEUE)  # asyncio takes its backlog for the kernel's queue and its own turn alike
        return int(listener.getsockname()[1])

    # --- from one process to the next (wheelstep.upgrade) ---

    async def pause(self) -> socket.socket:
        """Take no connection on and read nothing; what has come whole gets its answer. The listener: its queue goes on
        taking connections."""
        assert self._server is not None and self._doors is not None
        self._spare = self._server.sockets[0].dup()
        self._server.close()
        self._doors.paused = True
        for door in self._doors.all():
            door.flow()
        async with asyncio.timeout(_SETTLE_S):
            for _ in range(_TURNS):
                await asyncio.sleep(0)
            while any(door.taking for door in self._doors.all()):
                await asyncio.sleep(0.002)
        return self._spare

    async def resume(self) -> None:
        """After all: go on."""
        if self._spare is None or self._doors is None:
            return
        await self.start(Address("", 0), self._spare)
        self._spare, self._doors.paused = None, False
        for door in self._doors.all():
            door.flow()

    def connections(self) -> list[tuple[int, bool, bytes]]:
        """Those that another process can go on with: descriptor, whether a request is expected only by and by, and what
        came of one."""
        assert self._doors is not None
        return [(door.transport.get_extra_info("socket").fileno(), door.phase is Phase.IDLE, door.raw)
                for door in self._doors.all()
                if door.transport is not None and not door.transport.is_closing() and door.raw is not None
                and not door.taking and not door.transport.get_write_buffer_size()]

    def let_go(self) -> None:
        """Another process has them: this one's handles are closed."""
        if self._spare is not None:
            self._spare.close()
        if self._doors is not None:
            for door in self._doors.all():
                if door.transport is not None and not door.transport.get_write_buffer_size():
                    door.close()

    async def adopt(self, connection: socket.socket, idle: bool, raw: bytes) -> None:
        """Go on with one that another process had."""
        assert self._doors is not None
        doors = self._doors
        _, door = await asyncio.get_running_loop().connect_accepted_socket(lambda: ClientDoor(doors), connection)
        if idle:
            doors.turn(door, Phase.IDLE)
        if raw:
            door.data_received(raw)

    async def sweep(self) -> None:
        """Keep clients to their time, for good."""
        while True:
            await asyncio.sleep(_SWEEP_S)
            if self._doors is not None:
                self._doors.sweep()
            if self.bad:
                log.info("%d bad requests", self.bad)
                self.bad = 0
            if self._no_room:
                log.warning("no room for %d messages", self._no_room)
                self._no_room = 0

    async def stop(self) -> None:
        """Answer what is under way and end the connections."""
        if self._server is not None:
            self._server.close()
        if self._doors is None:
            return
        self._doors.close()
        until = asyncio.get_running_loop().time() + _STOP_S
        while self._doors.all() and asyncio.get_running_loop().time() < until:
            await asyncio.sleep(0.01)
            self._doors.close()
        for door in self._doors.all():
            door.close()

    # --- what requests ask ---

    def serve(self, request: Request, door: ClientDoor) -> None:
        """Answer one, or let its door wait for what has to come first. Whoever sent what can't be used has to connect
        again."""
        try:
            if request.method == "POST":
                self._hand_in(request, door)
                return
            if request.target.partition("?")[0] != "/healthz":
                if self._front is not None:
                    self._front.other(request, door)
                    return
                raise BadRequestError("no such path; expected /healthz, or a message by POST")
            if request.method not in ("GET", "HEAD"):
                raise BadRequestError("no such method; expected GET, or a message by POST")
            door.say(request, 200 if self._desk.ready else 503)
        except BadRequestError as error:
            self._bad(request, error, door)
        except RefusedError as error:
            door.say(request, error.status, error.text, error.headers)
        except Exception:
            log.exception("a request failed unexpectedly")
            door.say(request, 500, keep=False)

    def _bad(self, request: Request, error: BadRequestError, door: ClientDoor) -> None:
        self.bad += 1
        door.say(request, 400, f"{error}\n", keep=False)

    def _hand_in(self, request: Request, door: ClientDoor) -> None:
        message = self._front.message(request) if self._front is not None else read_message(request, self._classes)
        desk = self._desk if self._find is None else self._find(message.destination)
        if desk.holds(message.id):  # handed in once more after a connection that crossed
            if desk.settles(message.id):  # guards against 202 for what its first client still may withdraw
                log.warning("no answer to a client: another one hands in %s just now", message.id)
                door.close()
            else:
                door.say(request, 202)
        elif not desk.serves(message.destination):
            raise BadRequestError("no such destination")
        elif desk.full():
            desk.handed_in(message, 503)
            door.say(request, 503, "holds all it can\n", _COME_BACK)
        elif not door.gone:  # else nobody hears it
            try:
                desk.take(message)
            except NoRoomError:
                self._turn_away(request, message, desk, door)
                return
            if desk.syncs:
                door.taking = True
                door.wait(desk.durable(), functools.partial(self._settled, request, message, desk, door))
            else:
                self._taken(request, message, desk, door)

    def _settled(self, request: Request, message: Stored, desk: Desk, door: ClientDoor,
                 work: asyncio.Future[None]) -> None:
        door.taking = False
        error = None if work.cancelled() else work.exception()
        if not work.cancelled() and error is None:
            self._taken(request, message, desk, door)
            return
        desk.withdraw(message.id)  # also where its client went meanwhile: nobody was told that it is taken on
        if isinstance(error, NoRoomError):
            self._turn_away(request, message, desk, door)
        elif isinstance(error, BadRequestError):
            self._bad(request, error, door)
        elif isinstance(error, UnansweredError):
            log.warning("no answer to a client: %s", error)
            door.close()
        elif error is not None:
            raise error

    def _taken(self, request: Request, message: Stored, desk: Desk, door: ClientDoor) -> None:
        if door.say(request, 202, "", self._front.says(message) if self._front is not None else ()):
            desk.begin(message.id)
            desk.handed_in(message, 202)
            if self._front is not None:
                self._front.taken(message)
        else:
            desk.withdraw(message.id)

    def _turn_away(self, request: Request, message: Stored, desk: Desk, door: ClientDoor) -> None:
        self._no_room += 1
        desk.handed_in(message, 503)
        door.say(request, 503, "no room\n", _COME_BACK)
