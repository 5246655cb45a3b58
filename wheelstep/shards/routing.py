"""Carries out the router's decisions: takes messages here, passes them on, waits for shards, or turns messages away.

Decides nothing itself.
"""

from __future__ import annotations

import asyncio
import time
from functools import partial
from typing import Protocol

from wheelstep.courier.admission import Admission, BadRequestError, UnansweredError
from wheelstep.forwarding.client import Ended, ForwardClient, RemoteDesk
from wheelstep.forwarding.errors import AwayError
from wheelstep.forwarding.server import Turned
from wheelstep.journal import NoRoomError, StoredMessage
from wheelstep.shards.desks import RoutedDesk
from wheelstep.shards.hosting import Hosting, Life
from wheelstep.shards.router import Answer, Ask, BeGuest, Decision, NoAnswer, Request, Retry, Router, Take, View, Wait
from wheelstep.shards.types import shard_of
from wheelstep.shards.waits import ShardWaiters

ROWS_TIMEOUT_S = 0.15  # how long a guest waits for rows; a client waits 400 ms in all
OPEN_TIMEOUT_S = 0.2  # how long an asked home waits to open; the asker gives up after 350 ms without a result


class RoutingNode(Protocol):
    """What routing needs of the shard node."""

    shards: int
    hosting: Hosting

    def now_us(self) -> int:
        """The node's clock in microseconds."""
        ...

    @property
    def desk_here(self) -> Admission:
        """This courier's own desk."""
        ...

    def view(self, destination: int, shard: int, message_class: str, key: str | None) -> View:
        """What the router's decision depends on."""
        ...

    def takes_all(self, shard: int) -> bool:
        """Tells whether any message of the shard may be taken without asking the router."""
        ...

    def serve_as_guest(self, shard: int) -> bool:
        """Starts serving the shard as guest; False if there is no room."""
        ...

    def taken_for_other_home(self, message: StoredMessage) -> None:
        """A message was taken here although another courier is home."""
        ...

    def knows_class(self, message_class: str) -> bool:
        """Tells whether the message class exists."""
        ...

    def client(self, courier: str) -> ForwardClient:
        """The client that passes messages on to that courier."""
        ...


class Routing:
    """Messages being routed: a future for each, and a timer while it waits."""

    def __init__(self, places: RoutingNode, router: Router, waits: ShardWaiters, opens_within_us: int) -> None:
        self._places, self._router, self._open_timeout_s = places, router, opens_within_us / 1e6 + 0.05
        self.waits = waits

    # --- at the courier that a client reached ---

    def find(self, destination: int) -> Admission:
        """The desk for one request: this courier's own if it may take any message of the shard."""
        shard = shard_of(destination, self._places.shards)
        return self._places.desk_here if self._places.takes_all(shard) else RoutedDesk(
            self._places.desk_here, self._route)

    def _route(self, desk: RoutedDesk, message: StoredMessage) -> asyncio.Future[None]:
        answer: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        request, now_us = self._request(message), self._places.now_us()
        self._execute(answer, desk, message, request, self._router.decide(now_us, request, self._view(request)))
        return answer

    def _request(self, message: StoredMessage) -> Request:
        left_us = message.deadline_ms * 1000 - int(time.time() * 1e6)
        shard = shard_of(message.destination, self._places.shards)
        return Request(message.id, message.destination, shard, message.message_class, message.key,
                       self._places.now_us() + left_us)

    def _view(self, request: Request) -> View:
        return self._places.view(request.destination, request.shard, request.message_class, request.key)

    def _execute(self, answer: asyncio.Future[None], desk: RoutedDesk, message: StoredMessage, request: Request,
                 decision: Decision, waited: bool = False) -> None:
        if answer.done():  # its client has disconnected
            return
        match decision:
            case Take(guest):
                self._take_here(answer, desk, message, guest)
            case Wait() | BeGuest() | Ask() if waited:
                answer.set_exception(NoRoomError("its shard is not open here in time"))
            case Ask(courier):
                self._ask(answer, desk, message, request, courier)
            case Wait():
                self.waits.wait(request.shard, self._open_timeout_s,
                                partial(self._resume, answer, desk, message, request))
            case BeGuest() if not self._places.serve_as_guest(request.shard):
                answer.set_exception(NoRoomError("no room for a guest shard"))
            case BeGuest() if self._places.hosting.has_rows(request.shard):
                self._resume(answer, desk, message, request, True)
            case BeGuest():
                self.waits.wait(request.shard, ROWS_TIMEOUT_S, partial(self._resume, answer, desk, message, request))
            case Retry(_, reason):
                answer.set_exception(NoRoomError(reason))
            case NoAnswer(reason):
                answer.set_exception(UnansweredError(reason))

    def _resume(self, answer: asyncio.Future[None], desk: RoutedDesk, message: StoredMessage, request: Request,
                changed: bool) -> None:
        """Decides again after a wait: the shard has changed (`changed`), or the time limit of the wait has passed."""
        if not answer.done():
            decision = self._router.decide(self._places.now_us(), request, self._view(request))
            if isinstance(decision, Ask):  # the wait has outlasted the router's record of it
                now_us, view = self._places.now_us(), self._view(request)
                decision = self._router.answered(now_us, request, decision.courier, Answer.NOT_ASKED, view) or decision
            self._execute(answer, desk, message, request, decision, waited=True)

    def _take_here(self, answer: asyncio.Future[None], desk: RoutedDesk, message: StoredMessage, guest: bool) -> None:
        own_desk = self._places.desk_here
        try:
            if not own_desk.serves(message.destination):
                if not self._places.hosting.has_rows(shard_of(message.destination, self._places.shards)):
                    raise NoRoomError("its rows are not here yet")
                raise BadRequestError("no such destination")
            if own_desk.holds(message.id):  # taken meanwhile from another client
                raise UnansweredError("another client hands it in just now")
            if own_desk.full():
                raise NoRoomError("holds all it can")
            own_desk.take(message)
        except (BadRequestError, UnansweredError, NoRoomError) as error:
            self._router.take_refused(message.id)
            answer.set_exception(error)
            return
        desk.inner = own_desk
        if guest:
            self._places.taken_for_other_home(message)
        if own_desk.syncs:
            own_desk.durable().add_done_callback(partial(_copy_result, answer))
        else:
            answer.set_result(None)

    def _ask(self, answer: asyncio.Future[None], desk: RoutedDesk, message: StoredMessage, request: Request,
             courier: str) -> None:
        remote = RemoteDesk(self._places.client(courier))
        remote.take(message)
        desk.inner = remote
        remote.durable().add_done_callback(partial(self._ask_ended, answer, desk, remote, message, request, courier))

    def _ask_ended(self, answer: asyncio.Future[None], desk: RoutedDesk, remote: RemoteDesk, message: StoredMessage,
                   request: Request, courier: str, work: asyncio.Future[None]) -> None:
        error = None if work.cancelled() else work.exception()
        result = Answer.SILENT if remote.ended is None else _ANSWERS.get(remote.ended, Answer.SILENT)
        follow_up = self._router.answered(self._places.now_us(), request, courier, result, self._view(request))
        if follow_up is not None:
            desk.inner = None
            self._execute(answer, desk, message, request, follow_up)
        elif answer.done():  # its client left before the ask was sent, when nothing could be withdrawn
            remote.withdraw(message.id)
        elif error is None:
            answer.set_result(None)
        else:
            desk.inner = None
            answer.set_exception(error)

    # --- at a courier that is asked ---

    def asked(self, message: StoredMessage) -> Admission | Turned:
        """Who takes a message passed on by another courier; it is not passed on again."""
        own_desk, request = self._places.desk_here, self._request(message)
        if own_desk.holds(message.id):
            return own_desk
        if not self._places.knows_class(message.message_class):
            return RoutedDesk(own_desk, partial(_failed_future, BadRequestError("its class is not known here")))
        if self._places.hosting.life(request.shard) is Life.OPENING:
            return RoutedDesk(own_desk, self._wait_open)
        match self._router.asked(self._places.now_us(), request, self._view(request)):
            case Take(guest):
                return RoutedDesk(own_desk, partial(self._take_asked, True)) if guest else own_desk
            case Retry(_, reason):
                return Turned("full", reason)
            case NoAnswer(reason):
                return RoutedDesk(own_desk, partial(_failed_future, UnansweredError(reason)))
        return Turned("away", "it is not at home here")

    def _take_asked(self, guest: bool, desk: RoutedDesk, message: StoredMessage) -> asyncio.Future[None]:
        answer: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._take_here(answer, desk, message, guest)
        return answer

    def _wait_open(self, desk: RoutedDesk, message: StoredMessage) -> asyncio.Future[None]:
        answer: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.waits.wait(shard_of(message.destination, self._places.shards), min(self._open_timeout_s, OPEN_TIMEOUT_S),
                        partial(self._open_wait_ended, answer, desk, message))
        return answer

    def _open_wait_ended(self, answer: asyncio.Future[None], desk: RoutedDesk, message: StoredMessage,
                         changed: bool) -> None:
        if answer.done():
            return
        request = self._request(message)
        match self._router.asked(self._places.now_us(), request, self._view(request)):
            case Take(guest):
                self._take_here(answer, desk, message, guest)
            case Retry(_, reason):
                answer.set_exception(NoRoomError(reason))
            case NoAnswer(reason):
                answer.set_exception(UnansweredError(reason))
            case None:
                answer.set_exception(AwayError("it is not at home here"))


def _copy_result(answer: asyncio.Future[None], work: asyncio.Future[None]) -> None:
    if answer.done():
        return
    if work.cancelled():
        answer.cancel()
    elif (error := work.exception()) is not None:
        answer.set_exception(error)
    else:
        answer.set_result(None)


def _failed_future(error: Exception, desk: RoutedDesk, message: StoredMessage) -> asyncio.Future[None]:
    answer: asyncio.Future[None] = asyncio.get_running_loop().create_future()
    answer.set_exception(error)
    return answer


_ANSWERS = {Ended.TAKEN: Answer.TAKEN, Ended.KNOWN: Answer.KNOWN, Ended.FULL: Answer.FULL, Ended.BAD: Answer.BAD,
            Ended.AWAY: Answer.AWAY, Ended.NOT_ASKED: Answer.NOT_ASKED}
