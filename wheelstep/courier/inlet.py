"""The clients' side: hands messages in, and tells whether the courier is ready.

`request` reads requests and makes answers; a request that nothing has to be waited for is answered in the turn of the
loop in which it came whole, without a task. `_Doors` bounds how many connections clients hold and for how long one may
owe a request.
"""

from __future__ import annotations

import asyncio
import functools
import logging
import socket
import time
from collections import deque
from collections.abc import Callable, Mapping
from enum import Enum
from typing import Protocol

from wheelstep.courier.config import Address
from wheelstep.courier.request import Request, RequestReader, answer
from wheelstep.journal import NoRoomError, Stored

_MOST_DEADLINE_MS = 24 * 3600 * 1000
_ONCE = frozenset({"x-request-id", "x-class", "x-deadline-ms", "x-consignee", "idempotency-key", "x-retry"})
_COME_BACK = (("Retry-After", "1"),)
_ACCEPT = 16  # connections taken on in one turn of the loop; the count may pass its limit by so many
_TURNS = 20  # of the loop, in which what has come whole gets its answer
_QUEUE = 512  # connections that wait in the kernel: a crowd may not make good clients dial again
_ASK_S = 2.5  # for a request to come whole, from connecting or, on a kept connection, from its first byte
_MOST_RAW = 16 * 1024  # bytes of a request under way that can be passed on to another process
_STOP_S = 0.5  # for requests under way at the end
_SETTLE_S = 1.0  # for messages that are written down and not answered yet
_IDLE_S = 20.0  # an idle connection is kept so long while there is room
_SPARE_S = 2.0  # and is the first to go after this when there is none
_SWEEP_S = 0.25

_HELD_S = 65.0

log = logging.getLogger(__name__)


class Desk(Protocol):
    """Who takes messages on."""

    ready: bool

    @property
    def syncs(self) -> bool:
        """Does `durable` ever wait?"""

    def full(self) -> bool:
        """Is the hold limit reached?"""

    def serves(self, destination: int) -> bool:
        """Has any list named it?"""

    def take(self, message: Stored) -> None:
        """Write it down, or raise `NoRoomError`."""

    def holds(self, message: str) -> bool:
        """Was it taken on before, and is its end still owed?"""

    def settles(self, message: str) -> bool:
        """Is it written down for a client that has not heard so yet, and may still be withdrawn?"""

    def durable(self) -> asyncio.Future[None]:
        """Done once what was written outlasts what the operator wants it to; or an error: `NoRoomError`,
        `BadRequestError`, `UnansweredError`. Cancelled where nobody waits any more."""

    def begin(self, name: str) -> None:
        """Its client knows that it was taken on: act on it."""

    def withdraw(self, name: str) -> None:
        """Its client went before the answer: forget it."""

    def handed_in(self, message: Stored, status: int) -> None:
        """It was handed in, and this is the answer."""


class BadRequestError(Exception):
    """What is wrong with a request, for its client."""


class RefusedError(Exception):
    """Any other answer than that a message is taken on."""

    def __init__(self, status: int, text: str, headers: tuple[tuple[str, str], ...] = ()) -> None:
        super().__init__(text)
        self.status, self.text, self.headers = status, text, headers


class Door(Protocol):
    """Where a request came in."""

    def say(self, request: Request, status: int, text: str = "", headers: tuple[tuple[str, str], ...] = (),
            keep: bool = True) -> bool:
        """Answer; False if there is nobody any more to hear it."""

    def wait(self, work: asyncio.Future[None], served: Callable[[asyncio.Future[None]], None],
             held: bool = False) -> None:
        """Read no further until the work is done; `served` answers. `held`: it may take a minute."""


class Front(Protocol):
    """What requests mean where it is not the platform's clients that send them (wheelstep.standalone)."""

    def message(self, request: Request) -> Stored:
        """What is handed in; raises `BadRequestError` and `RefusedError`."""

    def other(self, request: Request, door: Door) -> None:
        """Answer what is neither that nor asks for health; raises the same."""

    def taken(self, message: Stored) -> None:
        """Its client has heard 202."""


class UnansweredError(Exception):
    """Nobody knows whether it was taken on: no answer would be true."""


def read_message(request: Request, classes: Mapping[str, bool]) -> Stored:
    """The message that a request hands in; `classes` tells which ones keep the order of their keys."""
    given = given_once(request)
    name = given.get("x-request-id", "")
    if not name or len(name) > 128 or not name.isascii() or not name.isprintable() or " " in name:
        raise BadRequestError("X-Request-Id is missing or malformed")
    message_class = given.get("x-class", "")
    if message_class not in classes:
        raise BadRequestError("X-Class is missing or unknown")
    left_ms = _whole(given.get("x-deadline-ms", ""), "X-Deadline-Ms")
    if left_ms > _MOST_DEADLINE_MS:
        raise BadRequestError("X-Deadline-Ms is too far off")
    token = token_of(given)
    return Stored(
        id=name, message_class=message_class, destination=_destination(given.get("x-consignee", "")),
        deadline_ms=int(time.time() * 1000) + left_ms,
        key=key_of(request.target) if classes[message_class] else None,
        token=token, resubmitted="x-retry" in given, body=request.body)


def given_once(request: Request) -> Mapping[str, str]:
    """Its headers, none of ours twice. Guards against owing one of two ids an end, and nobody knowing which."""
    if request.twice and (twice := request.twice & _ONCE):
        raise BadRequestError(f"{min(twice)} is given twice")
    return request.once


def token_of(given: Mapping[str, str]) -> str | None:
    """The client's own key for partners that know repeats by it."""
    token = given.get("idempotency-key")
    if token is not None and (not token or len(token) > 128 or not token.isascii()
                              or not token.isprintable() or " " in token):
        raise BadRequestError("Idempotency-Key is malformed")
    return token


def key_of(path: str) -> str | None:
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
    HELD = "held"  # its request waits for something that may take a minute


_MOST_S = {_Phase.IDLE: _IDLE_S, _Phase.HELD: _HELD_S}


class _Door(asyncio.Protocol):
    """One client's connection: answers its requests in turn, and notes in which phase it is since when."""

    def __init__(self, doors: _Doors) -> None:
        self._doors = doors
        self._reader: RequestReader | None = None  # made with the first byte
        self._whole: deque[Request] = deque()  # of one piece of bytes, while the one before them has to wait
        self._waits: asyncio.Future[None] | None = None  # what the answer under way has to wait for
        self._clogged = self._ending = False
        self.transport: asyncio.Transport | None = None
        self.phase, self.since = _Phase.SILENT, 0.0
        self.raw: bytes | None = b""  # what came of the request under way, for another process; None: too much
        self.taking = False  # its message is written down, and its client has not heard yet

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._doors.opened(self)

    def data_received(self, data: bytes) -> None:
        if self._ending:
            return
        if self.phase is not _Phase.ASKING:
            self._doors.turn(self, _Phase.ASKING)
        if self._doors.keep and self.raw is not None:
            self.raw = self.raw + data if len(self.raw) + len(data) <= _MOST_RAW else None
        if self._reader is None:
            self._reader = RequestReader()
        self._whole += self._reader.feed(data)
        if self._reader.wants_more and not self._whole and self.transport is not None:
            self._reader.wants_more = False
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self._serve()

    def _serve(self) -> None:
        """Answer what is whole, in turn."""
        reader, served = self._reader, bool(self._whole)
        assert reader is not None
        while self._whole and self._waits is None and not self._ending:
            self._doors.serve(self._whole.popleft(), self)
        if self._waits is None and not self._whole and not self._ending:
            if reader.refusal is not None:
                self._doors.refused()
                self.say(Request(), reader.refusal.status, reader.refusal.text + "\n", keep=False)
            elif reader.inside:
                if served:  # a part of the next came with it: its time begins now, its bytes can't be told apart
                    self.raw = None
                    self._doors.turn(self, _Phase.IDLE)
                    self._doors.turn(self, _Phase.ASKING)
            elif self.phase in (_Phase.ASKING, _Phase.HELD):
                self.raw = b""
                self._doors.turn(self, _Phase.IDLE)
        self.flow()

    def wait(self, work: asyncio.Future[None], served: Callable[[asyncio.Future[None]], None],
             held: bool = False) -> None:
        """Read no further until the work is done; `served` answers. `held`: it may take a minute."""
        self._waits = work
        if held:
            self._doors.turn(self, _Phase.HELD)

        def done(work: asyncio.Future[None]) -> None:
            self._waits = None
            try:
                served(work)
            except Exception:
                log.exception("a request failed unexpectedly")
                self.close()
            if not self._ending:
                self._serve()
        work.add_done_callback(done)

    def say(self, request: Request, status: int, text: str = "", headers: tuple[tuple[str, str], ...] = (),
            keep: bool = True) -> bool:
        """Answer; False if there is nobody any more to hear it."""
        if self.transport is None or self.transport.is_closing():
            return False
        keep = keep and request.keep and self._doors.keeps()
        self.transport.write(answer(status, text, headers, keep, request.version))
        heard = not self.transport.is_closing()  # a write that fails closes at once
        if not keep:
            self._ending = True
            self.transport.close()
        return heard

    @property
    def gone(self) -> bool:
        """Is there nobody any more to hear an answer?"""
        return self.transport is None or self.transport.is_closing()

    def flow(self) -> None:
        """Read on unless something has to be waited for first."""
        if self.transport is None or self.transport.is_closing():
            return
        if self._clogged or self._waits is not None or self._doors.paused:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        self._doors.closed(self)
        self._ending = True
        self._whole.clear()
        if self._waits is not None:
            self._waits.cancel()

    def pause_writing(self) -> None:
        self._clogged = True  # guards memory against a client that asks on and reads no answer
        self.flow()

    def resume_writing(self) -> None:
        self._clogged = False
        self.flow()

    def close(self) -> None:
        """At once: what a client still sends is not worth reading."""
        self._ending = True
        if self.transport is not None:
            self.transport.abort()


class _Doors:
    """All connections of clients. Guards descriptors and memory against crowds, silent or slow clients, and
    ones that keep what they don't use; when there is no room, the good ones are let in first."""

    def __init__(self, inlet: Inlet, limit: int, keep: bool) -> None:
        self._inlet, self._limit, self.keep = inlet, max(_ACCEPT, limit - _ACCEPT), keep
        self._phases: dict[_Phase, dict[_Door, None]] = {phase: {} for phase in _Phase}
        self._turned_away = 0
        self.paused = False

    def serve(self, request: Request, door: _Door) -> None:
        """Answer it, or let its door wait."""
        self._inlet.serve(request, door)

    def refused(self) -> None:
        """What came can't be used."""
        self._inlet.bad += 1

    def keeps(self) -> bool:
        """May a connection go on after an answer?"""
        return not self._inlet.closing and not self.crowded()

    def crowded(self) -> bool:
        """Is room short? Then an answer had better end its connection."""
        return sum(map(len, self._phases.values())) * 4 > self._limit * 3

    def opened(self, door: _Door) -> None:
        door.since = time.monotonic()
        if self.paused:  # accepted in the turn in which the pause began
            door.flow()
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
            most_s = _MOST_S.get(phase, _ASK_S)
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
                 find: Callable[[int], Desk] | None = None, keep: bool = False, front: Front | None = None) -> None:
        """`find` gives the desk of a destination, where there are several; `desk` tells whether all are ready.
        With `keep`, connections can be passed on to another process. `front` reads what clients hand in."""
        self._front = front
        self._desk, self._classes, self._most = desk, classes, most
        self._find, self._keep = find, keep
        self._spare: socket.socket | None = None  # the listener, while nothing is taken on
        self.closing = False  # answers end their connections from now on
        self.bad = self._no_room = 0
        self._doors: _Doors | None = None
        self._server: asyncio.Server | None = None

    async def start(self, listen: Address, listener: socket.socket | None = None) -> int:
        """Listen, at `listener` if it is given, and return the port."""
        doors = self._doors = self._doors or _Doors(self, self._most, self._keep)
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

    def serve(self, request: Request, door: _Door) -> None:
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

    def _bad(self, request: Request, error: BadRequestError, door: _Door) -> None:
        self.bad += 1
        door.say(request, 400, f"{error}\n", keep=False)

    def _hand_in(self, request: Request, door: _Door) -> None:
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

    def _settled(self, request: Request, message: Stored, desk: Desk, door: _Door, work: asyncio.Future[None]) -> None:
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

    def _taken(self, request: Request, message: Stored, desk: Desk, door: _Door) -> None:
        if door.say(request, 202):
            desk.begin(message.id)
            desk.handed_in(message, 202)
            if self._front is not None:
                self._front.taken(message)
        else:
            desk.withdraw(message.id)

    def _turn_away(self, request: Request, message: Stored, desk: Desk, door: _Door) -> None:
        self._no_room += 1
        desk.handed_in(message, 503)
        door.say(request, 503, "no room\n", _COME_BACK)
