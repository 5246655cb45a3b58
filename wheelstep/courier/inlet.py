"""The clients' side: hands messages in, and tells whether the courier is ready.

aiohttp reads requests and writes answers. Before it stands `_Doors`, which bounds how many connections
clients hold and for how long one may owe a request.
"""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from collections.abc import Callable, Mapping
from enum import Enum
from typing import Protocol

from aiohttp import HttpVersion10, HttpVersion11, web
from aiohttp.typedefs import Handler

from wheelstep.courier.config import Address
from wheelstep.journal import NoRoomError, Stored

MOST_BODY = 64 * 1024
_MOST_DEADLINE_MS = 24 * 3600 * 1000
_ONCE = ("X-Request-Id", "X-Class", "X-Deadline-Ms", "X-Consignee", "Idempotency-Key", "X-Retry")
_COME_BACK = {"Retry-After": "1"}
_ACCEPT = 16  # connections taken on in one turn of the loop; the count may pass its limit by so many
_TURNS = 20  # of the loop, in which what has come whole gets its answer
_QUEUE = 512  # connections that wait in the kernel: a crowd may not make good clients dial again
_ASK_S = 2.5  # for a request to come whole, from connecting or, on a kept connection, from its first byte
_MOST_RAW = 16 * 1024  # bytes of a request under way that can be passed on to another process
_SETTLE_S = 1.0  # for messages that are written down and not answered yet
_IDLE_S = 20.0  # an idle connection is kept so long while there is room
_SPARE_S = 2.0  # and is the first to go after this when there is none
_SWEEP_S = 0.25

log = logging.getLogger(__name__)
_requests = log.getChild("requests")  # aiohttp's own, a traceback for each request that can't be read
_requests.setLevel(logging.CRITICAL)


class Desk(Protocol):
    """Who takes messages on."""

    ready: bool

    def full(self) -> bool:
        """Is the hold limit reached?"""

    def serves(self, destination: int) -> bool:
        """Has any list named it?"""

    def take(self, message: Stored) -> None:
        """Write it down, or raise `NoRoomError`."""

    def holds(self, message: str) -> bool:
        """Was it taken on before, and is its end still owed?"""

    async def durable(self) -> None:
        """What was written outlasts what the operator wants it to, or `NoRoomError`."""

    def begin(self, name: str) -> None:
        """Its client knows that it was taken on: act on it."""

    def withdraw(self, name: str) -> None:
        """Its client went before the answer: forget it."""

    def handed_in(self, message: Stored, status: int) -> None:
        """It was handed in, and this is the answer."""


class BadRequestError(Exception):
    """What is wrong with a request, for its client."""


class UnansweredError(Exception):
    """Nobody knows whether it was taken on: no answer would be true."""


def read_message(request: web.Request, body: bytes, classes: Mapping[str, bool]) -> Stored:
    """The message that a request hands in; `classes` tells which ones keep the order of their keys."""
    headers = request.headers
    if request._version not in (HttpVersion10, HttpVersion11):
        request._version = HttpVersion11  # aiohttp would answer in the version that was asked for, once it is read
        raise BadRequestError("this version of HTTP is not spoken here; expected 1.0 or 1.1")
    for field in _ONCE:  # guards against owing one of two ids an end, and nobody knowing which
        if len(headers.getall(field, ())) > 1:
            raise BadRequestError(f"{field} is given twice")
    name = headers.get("X-Request-Id", "")
    if not name or len(name) > 128 or not name.isascii() or not name.isprintable() or " " in name:
        raise BadRequestError("X-Request-Id is missing or malformed")
    message_class = headers.get("X-Class", "")
    if message_class not in classes:
        raise BadRequestError("X-Class is missing or unknown")
    left_ms = _whole(headers.get("X-Deadline-Ms", ""), "X-Deadline-Ms")
    if left_ms > _MOST_DEADLINE_MS:
        raise BadRequestError("X-Deadline-Ms is too far off")
    token = headers.get("Idempotency-Key")
    if token is not None and (not token or len(token) > 128 or not token.isascii()
                              or not token.isprintable() or " " in token):
        raise BadRequestError("Idempotency-Key is malformed")
    return Stored(
        id=name, message_class=message_class, destination=_destination(headers.get("X-Consignee", "")),
        deadline_ms=int(time.time() * 1000) + left_ms,
        key=_key(request.raw_path) if classes[message_class] else None,
        token=token, resubmitted="X-Retry" in headers, body=body)


def _key(path: str) -> str | None:
    """The last part of the path, as it was sent: a key may hold an escaped slash."""
    return path.partition("?")[0].rpartition("/")[2][:256] or None


def _destination(text: str) -> int:
    for part in text.replace(";", ",").split(","):
        field, _, value = part.strip().partition("=")
        if field == "dest":
            return _whole(value, "X-Consignee")
    raise BadRequestError("X-Consignee names no dest")


def _whole(text: str, what: str) -> int:
    if not text.isascii() or not text.isdigit() or len(text) > 12:
        raise BadRequestError(f"{what} is missing or no whole number")
    return int(text)


class _Phase(Enum):
    SILENT = "silent"  # connected, and nothing came yet
    ASKING = "asking"  # a request has begun
    IDLE = "idle"  # the last request was answered


class _Door(asyncio.Protocol):
    """One client's connection: passes everything on to aiohttp's handler, which is made with the first byte,
    and notes in which phase it is since when."""

    def __init__(self, doors: _Doors) -> None:
        self._doors = doors
        self._handler: web.RequestHandler | None = None
        self.transport: asyncio.Transport | None = None
        self.phase, self.since = _Phase.SILENT, 0.0
        self.raw: bytes | None = b""  # what came of the request under way, for another process; None: too much
        self.taking = False  # its message is written down, and its client has not heard yet

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._doors.opened(self)

    def data_received(self, data: bytes) -> None:
        if self.phase is not _Phase.ASKING:
            self._doors.turn(self, _Phase.ASKING)
        if self._doors.keep and self.raw is not None:
            self.raw = self.raw + data if len(self.raw) + len(data) <= _MOST_RAW else None
        if self._handler is None:
            assert self.transport is not None
            self._handler = self._doors.handler()
            self._handler.connection_made(self.transport)
        self._handler.data_received(data)

    def answered(self) -> None:
        self.raw = b""
        self._doors.turn(self, _Phase.IDLE)

    def eof_received(self) -> None:
        if self._handler is not None:
            self._handler.eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        self._doors.closed(self)
        if self._handler is not None:
            self._handler.connection_lost(exc)

    def pause_writing(self) -> None:
        if self._handler is not None:
            self._handler.pause_writing()

    def resume_writing(self) -> None:
        if self._handler is not None:
            self._handler.resume_writing()

    def close(self) -> None:
        """At once: what a client still sends is not worth reading."""
        if self.transport is not None:
            self.transport.abort()


class _Doors:
    """All connections of clients. Guards descriptors and memory against crowds, silent or slow clients, and
    ones that keep what they don't use; when there is no room, the good ones are let in first."""

    def __init__(self, server: web.Server, limit: int, keep: bool) -> None:
        self._server, self._limit, self.keep = server, max(_ACCEPT, limit - _ACCEPT), keep
        self._phases: dict[_Phase, dict[_Door, None]] = {phase: {} for phase in _Phase}
        self._turned_away = 0
        self.paused = False

    def handler(self) -> web.RequestHandler:
        return self._server()

    def crowded(self) -> bool:
        """Is room short? Then an answer had better end its connection."""
        return sum(map(len, self._phases.values())) * 4 > self._limit * 3

    def opened(self, door: _Door) -> None:
        door.since = time.monotonic()
        if self.paused and door.transport is not None:  # accepted in the turn in which the pause began
            door.transport.pause_reading()
        if sum(map(len, self._phases.values())) >= self._limit and not self._make_room():
            self._turned_away += 1
            door.close()
            return
        self._phases[_Phase.SILENT][door] = None

    def _make_room(self) -> bool:
        """Close one: idle for a while, or silent or slow for longest. Each phase is in order of time."""
        idle = next(iter(self._phases[_Phase.IDLE]), None)
        if idle is not None and time.monotonic() - idle.since >= _SPARE_S:
            return self._close(idle)
        owing = next(iter([*self._phases[_Phase.SILENT], *self._phases[_Phase.ASKING]]), None)
        return owing is not None and self._close(owing)

    def _close(self, door: _Door) -> bool:
        self.closed(door)
        door.close()
        return True

    def turn(self, door: _Door, phase: _Phase) -> None:
        """Into another phase. The first request must come whole in time from connecting."""
        if door not in self._phases[door.phase]:
            return
        del self._phases[door.phase][door]
        if door.phase is not _Phase.SILENT:
            door.since = time.monotonic()
        door.phase = phase
        self._phases[phase][door] = None

    def closed(self, door: _Door) -> None:
        self._phases[door.phase].pop(door, None)

    def sweep(self) -> None:
        """Close what has owed a request, or been idle, for too long."""
        now = time.monotonic()
        for phase, doors in self._phases.items():
            most_s = _IDLE_S if phase is _Phase.IDLE else _ASK_S
            for door in [door for door in doors if now - door.since >= most_s]:
                self._close(door)
        if self._turned_away:
            log.info("turned away %d connections", self._turned_away)
            self._turned_away = 0

    def all(self) -> list[_Door]:
        """Every connection."""
        return [door for doors in self._phases.values() for door in doors]

    def close(self) -> None:
        """End those that wait for nothing."""
        for phase in (_Phase.SILENT, _Phase.IDLE):
            for door in list(self._phases[phase]):
                self._close(door)


def bind(listen: Address) -> socket.socket:
    """A socket that listens there. Raises `OSError`."""
    family = socket.AF_INET6 if ":" in listen.host else socket.AF_INET
    listener = socket.create_server((listen.host, listen.port), family=family)
    listener.listen(_QUEUE)
    return listener


class Inlet:
    """The server for clients; they may hold about `most` connections."""

    def __init__(self, desk: Desk, classes: Mapping[str, bool], most: int,
                 find: Callable[[int], Desk] | None = None, keep: bool = False) -> None:
        """`find` gives the desk of a destination, where there are several; `desk` tells whether all are ready.
        With `keep`, connections can be passed on to another process."""
        self._desk, self._classes, self._most = desk, classes, most
        self._find, self._keep = find, keep
        self._spare: socket.socket | None = None  # the listener, while nothing is taken on
        self.closing = False  # answers end their connections from now on
        self._bad = self._no_room = 0
        app = web.Application(client_max_size=MOST_BODY, middlewares=[self._answer])
        app.router.add_get("/healthz", self._health)
        app.router.add_post("/{path:.*}", self._hand_in)
        # Bodies go on as they came, and what is unread once an answer stands is not read at all.
        self._runner = web.AppRunner(app, access_log=None, handle_signals=False, keepalive_timeout=3600.0,
                                     shutdown_timeout=0.5, auto_decompress=False, lingering_time=0.0,
                                     logger=_requests)
        self._doors: _Doors | None = None
        self._server: asyncio.Server | None = None

    async def start(self, listen: Address, listener: socket.socket | None = None) -> int:
        """Listen, at `listener` if it is given, and return the port."""
        await self._runner.setup()
        assert self._runner.server is not None
        doors = self._doors = self._doors or _Doors(self._runner.server, self._most, self._keep)
        listener = listener or bind(listen)
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _Door(doors), sock=listener, backlog=_ACCEPT)
        listener.listen(_QUEUE)  # asyncio takes its backlog for the kernel's queue and its own turn alike
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
            if door.transport is not None:
                door.transport.pause_reading()
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
            if door.transport is not None:
                door.transport.resume_reading()

    def connections(self) -> list[tuple[int, bool, bytes]]:
        """Those that another process can go on with: descriptor, whether a request is expected only by and by, and what
        came of one."""
        assert self._doors is not None
        return [(door.transport.get_extra_info("socket").fileno(), door.phase is _Phase.IDLE, door.raw)
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
        _, door = await asyncio.get_running_loop().connect_accepted_socket(lambda: _Door(doors), connection)
        if idle:
            doors.turn(door, _Phase.IDLE)
        if raw:
            door.data_received(raw)

    async def sweep(self) -> None:
        """Keep clients to their time, for good."""
        while True:
            await asyncio.sleep(_SWEEP_S)
            if self._doors is not None:
                self._doors.sweep()
            if self._bad:
                log.info("%d bad requests", self._bad)
                self._bad = 0
            if self._no_room:
                log.warning("no room for %d messages", self._no_room)
                self._no_room = 0

    async def stop(self) -> None:
        """Answer what is under way and end the connections."""
        if self._server is not None:
            self._server.close()
        if self._doors is not None:
            self._doors.close()
        await self._runner.cleanup()

    @web.middleware
    async def _answer(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        """Every answer's frame: whoever sent what can't be used has to connect again, and no break of a
        client leaves more than a count in the log."""
        try:
            answer = await handler(request)
        except (web.HTTPException, BadRequestError) as error:
            self._bad += 1
            status = error.status if isinstance(error, web.HTTPException) else 400
            answer = web.Response(status=status, text=f"{error}\n")
            answer.force_close()
        except (OSError, web.RequestPayloadError):  # it broke off, or its body can't be read
            self._bad += 1
            answer = web.Response(status=400)
            answer.force_close()
        except UnansweredError as error:
            log.warning("no answer to a client: %s", error)
            if request.transport is not None:
                request.transport.abort()
            answer = web.Response(status=500)
        except Exception:
            log.exception("a request failed unexpectedly")
            answer = web.Response(status=500)
            answer.force_close()
        if self.closing or self._doors is None or self._doors.crowded():
            answer.force_close()
        if request.transport is not None and isinstance(door := request.transport.get_protocol(), _Door):
            door.answered()
        return answer

    async def _health(self, request: web.Request) -> web.StreamResponse:
        return web.Response(status=200 if self._desk.ready else 503)

    async def _durable(self, desk: Desk, name: str) -> None:
        try:
            await desk.durable()
        except BaseException:  # also where its client went meanwhile: nobody was told that it is taken on
            desk.withdraw(name)
            raise

    async def _hand_in(self, request: web.Request) -> web.StreamResponse:
        if (request.content_length or 0) > MOST_BODY:
            raise web.HTTPRequestEntityTooLarge(MOST_BODY, request.content_length or 0)
        message = read_message(request, await request.read(), self._classes)
        desk = self._desk if self._find is None else self._find(message.destination)
        if desk.holds(message.id):  # handed in once more after a connection that crossed
            return web.Response(status=202)
        if not desk.serves(message.destination):
            raise BadRequestError("no such destination")
        if desk.full():
            desk.handed_in(message, 503)
            return web.Response(status=503, text="holds all it can\n", headers=_COME_BACK)
        if request.transport is None or request.transport.is_closing():
            return web.Response(status=503)  # nobody hears it
        door = request.transport.get_protocol()
        try:
            desk.take(message)
            if isinstance(door, _Door):
                door.taking = True
            await self._durable(desk, message.id)
        except NoRoomError:
            if isinstance(door, _Door):
                door.taking = False
            self._no_room += 1
            desk.handed_in(message, 503)
            return web.Response(status=503, text="no room\n", headers=_COME_BACK)
        answer = web.Response(status=202)
        if self.closing or self._doors is None or self._doors.crowded():
            answer.force_close()
        try:
            await answer.prepare(request)
            await answer.write_eof()
        except OSError:
            desk.withdraw(message.id)
            return answer
        desk.begin(message.id)
        if isinstance(door, _Door):
            door.taking = False
        desk.handed_in(message, 202)
        return answer
