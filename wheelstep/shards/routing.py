"""What the router decides about a message, carried out: taken here, asked of its home, waited for, or turned away. No
policy here.
"""

from __future__ import annotations

import asyncio
import time
from functools import partial
from typing import Protocol

from wheelstep.courier.desk import BadRequestError, Desk, UnansweredError
from wheelstep.forwarding.client import Ended, ForwardClient, RemoteDesk
from wheelstep.forwarding.errors import AwayError
from wheelstep.forwarding.server import Turned
from wheelstep.journal import NoRoomError, Stored
from wheelstep.shards.desks import RoutedDesk
from wheelstep.shards.hosting import Hosting, Life
from wheelstep.shards.router import (
    Answer,
    AsGuest,
    Ask,
    ComeAgain,
    Handed,
    Here,
    NoAnswer,
    Router,
    Sight,
    WaitOpen,
    Way,
)
from wheelstep.shards.types import shard_of
from wheelstep.shards.waits import Waits

ROWS_S = 0.15  # a guest waits so long for rows: a client waits 400 ms in all
ASKED_S = 0.2  # a home that is asked waits so long to open: who asks waits 350 ms, and then knows nothing


class Places(Protocol):
    """What the node knows of shards, and does for them."""

    shards: int
    hosting: Hosting

    def now_us(self) -> int: ...

    @property
    def desk_here(self) -> Desk: ...

    def sight(self, destination: int, shard: int, message_class: str, key: str | None) -> Sight: ...

    def plain(self, shard: int) -> bool: ...

    def be_guest(self, shard: int) -> bool: ...

    def took(self, message: Stored) -> None: ...

    def knows(self, message_class: str) -> bool: ...

    def client(self, courier: str) -> ForwardClient: ...


class Routing:
    """Messages on their way: a future each, and a timer where it has to wait."""

    def __init__(self, places: Places, router: Router, waits: Waits, opens_within_us: int) -> None:
        self._places, self._router, self._opens_s = places, router, opens_within_us / 1e6 + 0.05
        self.waits = waits

    # --- at the courier that a client reached ---

    def find(self, destination: int) -> Desk:
        """The desk of a destination. This courier's own where nothing can speak against it."""
        shard = shard_of(destination, self._places.shards)
        return self._places.desk_here if self._places.plain(shard) else RoutedDesk(self._places.desk_here, self._route)

    def _route(self, desk: RoutedDesk, message: Stored) -> asyncio.Future[None]:
        answer: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        handed, now_us = self._handed(message), self._places.now_us()
        self._go(answer, desk, message, handed, self._router.way(now_us, handed, self._sight(handed)))
        return answer

    def _handed(self, message: Stored) -> Handed:
        left_us = message.deadline_ms * 1000 - int(time.time() * 1e6)
        shard = shard_of(message.destination, self._places.shards)
        return Handed(message.id, message.destination, shard, message.message_class, message.key,
                      self._places.now_us() + left_us)

    def _sight(self, handed: Handed) -> Sight:
        return self._places.sight(handed.destination, handed.shard, handed.message_class, handed.key)

    def _go(self, answer: asyncio.Future[None], desk: RoutedDesk, message: Stored, handed: Handed, way: Way,
            waited: bool = False) -> None:
        if answer.done():  # its client has gone
            return
        match way:
            case Here(guest):
                self._take(answer, desk, message, guest)
            case WaitOpen() | AsGuest() | Ask() if waited:
                answer.set_exception(NoRoomError("its shard is not open here in time"))
            case Ask(courier):
                self._ask(answer, desk, message, handed, courier)
            case WaitOpen():
                self.waits.wait(handed.shard, self._opens_s, partial(self._go_on, answer, desk, message, handed))
            case AsGuest() if not self._places.be_guest(handed.shard):
                answer.set_exception(NoRoomError("no room for a guest shard"))
            case AsGuest() if self._places.hosting.has_rows(handed.shard):
                self._go_on(answer, desk, message, handed, True)
            case AsGuest():
                self.waits.wait(handed.shard, ROWS_S, partial(self._go_on, answer, desk, message, handed))
            case ComeAgain(_, why):
                answer.set_exception(NoRoomError(why))
            case NoAnswer(why):
                answer.set_exception(UnansweredError(why))

    def _go_on(self, answer: asyncio.Future[None], desk: RoutedDesk, message: Stored, handed: Handed,
               new: bool) -> None:
        """Something is new of its shard, or the time for that is over."""
        if not answer.done():
            way = self._router.way(self._places.now_us(), handed, self._sight(handed))
            if isinstance(way, Ask):  # it has waited here for longer than the router remembers
                now_us, sight = self._places.now_us(), self._sight(handed)
                way = self._router.answered(now_us, handed, way.courier, Answer.NOT_ASKED, sight) or way
            self._go(answer, desk, message, handed, way, waited=True)

    def _take(self, answer: asyncio.Future[None], desk: RoutedDesk, message: Stored, guest: bool) -> None:
        mine = self._places.desk_here
        try:
            if not mine.serves(message.destination):
                if not self._places.hosting.has_rows(shard_of(message.destination, self._places.shards)):
                    raise NoRoomError("its rows are not here yet")
                raise BadRequestError("no such destination")
            if mine.holds(message.id):  # another client's, meanwhile
                raise UnansweredError("another client hands it in just now")
            if mine.full():
                raise NoRoomError("holds all it can")
            mine.take(message)
        except (BadRequestError, UnansweredError, NoRoomError) as error:
            self._router.not_taken(message.id)
            answer.set_exception(error)
            return
        desk.inner = mine
        if guest:
            self._places.took(message)
        if mine.syncs:
            mine.durable().add_done_callback(partial(_settle, answer))
        else:
            answer.set_result(None)

    def _ask(self, answer: asyncio.Future[None], desk: RoutedDesk, message: Stored, handed: Handed,
             courier: str) -> None:
        remote = RemoteDesk(self._places.client(courier))
        remote.take(message)
        desk.inner = remote
        remote.durable().add_done_callback(partial(self._asked, answer, desk, remote, message, handed, courier))

    def _asked(self, answer: asyncio.Future[None], desk: RoutedDesk, remote: RemoteDesk, message: Stored,
               handed: Handed, courier: str, work: asyncio.Future[None]) -> None:
        error = None if work.cancelled() else work.exception()
        what = Answer.SILENT if remote.ended is None else _ANSWERS.get(remote.ended, Answer.SILENT)
        then = self._router.answered(self._places.now_us(), handed, courier, what, self._sight(handed))
        if then is not None:
            desk.inner = None
            self._go(answer, desk, message, handed, then)
        elif answer.done():  # its client went before the ask was out, so that nothing was withdrawn then
            remote.withdraw(message.id)
        elif error is None:
            answer.set_result(None)
        else:
            desk.inner = None
            answer.set_exception(error)

    # --- at a courier that is asked ---

    def asked(self, message: Stored) -> Desk | Turned:
        """Who takes what another courier has passed on. Never a third one."""
        mine, handed = self._places.desk_here, self._handed(message)
        if mine.holds(message.id):
            return mine
        if not self._places.knows(message.message_class):
            return RoutedDesk(mine, partial(_failed, BadRequestError("its class is not known here")))
        if self._places.hosting.life(handed.shard) is Life.OPENING:
            return RoutedDesk(mine, self._wait_open)
        match self._router.asked(self._places.now_us(), handed, self._sight(handed)):
            case Here(guest):
                return RoutedDesk(mine, partial(self._take_now, True)) if guest else mine
            case ComeAgain(_, why):
                return Turned("full", why)
            case NoAnswer(why):
                return RoutedDesk(mine, partial(_failed, UnansweredError(why)))
        return Turned("away", "it is not at home here")

    def _take_now(self, guest: bool, desk: RoutedDesk, message: Stored) -> asyncio.Future[None]:
        answer: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._take(answer, desk, message, guest)
        return answer

    def _wait_open(self, desk: RoutedDesk, message: Stored) -> asyncio.Future[None]:
        answer: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.waits.wait(shard_of(message.destination, self._places.shards), min(self._opens_s, ASKED_S),
                        partial(self._opened, answer, desk, message))
        return answer

    def _opened(self, answer: asyncio.Future[None], desk: RoutedDesk, message: Stored, new: bool) -> None:
        if answer.done():
            return
        handed = self._handed(message)
        match self._router.asked(self._places.now_us(), handed, self._sight(handed)):
            case Here(guest):
                self._take(answer, desk, message, guest)
            case ComeAgain(_, why):
                answer.set_exception(NoRoomError(why))
            case NoAnswer(why):
                answer.set_exception(UnansweredError(why))
            case None:
                answer.set_exception(AwayError("it is not at home here"))


def _settle(answer: asyncio.Future[None], work: asyncio.Future[None]) -> None:
    if answer.done():
        return
    if work.cancelled():
        answer.cancel()
    elif (error := work.exception()) is not None:
        answer.set_exception(error)
    else:
        answer.set_result(None)


def _failed(error: Exception, desk: RoutedDesk, message: Stored) -> asyncio.Future[None]:
    answer: asyncio.Future[None] = asyncio.get_running_loop().create_future()
    answer.set_exception(error)
    return answer


_ANSWERS = {Ended.TAKEN: Answer.TAKEN, Ended.KNOWN: Answer.KNOWN, Ended.FULL: Answer.FULL, Ended.BAD: Answer.BAD,
            Ended.AWAY: Answer.AWAY, Ended.NOT_ASKED: Answer.NOT_ASKED}
