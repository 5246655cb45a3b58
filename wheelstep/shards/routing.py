"""Carries out the router's decisions: takes messages here, passes them on, waits for shards, or turns messages away.

Decides nothing itself.
"""

from __future__ import annotations

import asyncio
import time
from functools import partial
from typing import Protocol

from wheelstep.courier.admission import Admission, BadRequestError, UnansweredError
from wheelstep.forwarding.client import AskOutcome, ForwardClient, RemoteAdmission
from wheelstep.forwarding.errors import AwayError
from wheelstep.forwarding.server import Refusal
from wheelstep.journal import NoRoomError, StoredMessage
from wheelstep.shards.hosting import Hosting, ShardPhase
from wheelstep.shards.routed_admission import RoutedAdmission
from wheelstep.shards.router import Answer, Ask, BeGuest, Decision, NoAnswer, Request, Retry, Router, Take, View, Wait
from wheelstep.shards.types import shard_of
from wheelstep.shards.waiters import ShardWaiters

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
    def own_admission(self) -> Admission:
        """This courier's own admission."""
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

    def __init__(self, node: RoutingNode, router: Router, waits: ShardWaiters, opens_within_us: int) -> None:
        self._node, self._router, self._open_timeout_s = node, router, opens_within_us / 1e6 + 0.05
        self.waits = waits

    # --- at the courier that a client reached ---

    def find(self, destination: int) -> Admission:
        """The admission for one request: this courier's own if it may take any message of the shard."""
        shard = shard_of(destination, self._node.shards)
        return self._node.own_admission if self._node.takes_all(shard) else RoutedAdmission(
            self._node.own_admission, self._route)

    def _route(self, routed: RoutedAdmission, message: StoredMessage) -> asyncio.Future[None]:
        answer: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        request, now_us = self._request(message), self._node.now_us()
        self._execute(answer, routed, message, request, self._router.decide(now_us, request, self._view(request)))
        return answer

    def _request(self, message: StoredMessage) -> Request:
        left_us = message.deadline_ms * 1000 - int(time.time() * 1e6)
        shard = shard_of(message.destination, self._node.shards)
        return Request(message.id, message.destination, shard, message.message_class, message.key,
                       self._node.now_us() + left_us)

    def _view(self, request: Request) -> View:
        return self._node.view(request.destination, request.shard, request.message_class, request.key)

    def _execute(self, answer: asyncio.Future[None], routed: RoutedAdmission, message: StoredMessage, request: Request,
                 decision: Decision, waited: bool = False) -> None:
        if answer.done():  # its client has disconnected
            return
        match decision:
            case Take(guest):
                self._take_here(answer, routed, message, guest)
            case Wait() | BeGuest() | Ask() if waited:
                answer.set_exception(NoRoomError("its shard is not open here in time"))
            case Ask(courier):
                self._ask(answer, routed, message, request, courier)
            case Wait():
                self.waits.wait(request.shard, self._open_timeout_s,
                                partial(self._resume, answer, routed, message, request))
            case BeGuest() if not self._node.serve_as_guest(request.shard):
                answer.set_exception(NoRoomError("no room for a guest shard"))
            case BeGuest() if self._node.hosting.has_rows(request.shard):
                self._resume(answer, routed, message, request, True)
            case BeGuest():
                self.waits.wait(request.shard, ROWS_TIMEOUT_S, partial(self._resume, answer, routed, message, request))
            case Retry(_, reason):
                answer.set_exception(NoRoomError(reason))
            case NoAnswer(reason):
                answer.set_exception(UnansweredError(reason))

    def _resume(self, answer: asyncio.Future[None], routed: RoutedAdmission, message: StoredMessage, request: Request,
                changed: bool) -> None:
        """Decides again after a wait: the shard has changed (`changed`), or the time limit of the wait has passed."""
        if not answer.done():
            decision = self._router.decide(self._node.now_us(), request, self._view(request))
            if isinstance(decision, Ask):  # the wait has outlasted the router's record of it
                now_us, view = self._node.now_us(), self._view(request)
                decision = self._router.answered(now_us, request, decision.courier, Answer.NOT_ASKED, view) or decision
            self._execute(answer, routed, message, request, decision, waited=True)

    def _take_here(self, answer: asyncio.Future[None], routed: RoutedAdmission, message: StoredMessage,
                   guest: bool) -> None:
        own_admission = self._node.own_admission
        try:
            if not own_admission.serves(message.destination):
                if not self._node.hosting.has_rows(shard_of(message.destination, self._node.shards)):
                    raise NoRoomError("its rows are not here yet")
                raise BadRequestError("no such destination")
            if own_admission.holds(message.id):  # taken meanwhile from another client
                raise UnansweredError("another client hands it in just now")
            if own_admission.full():
                raise NoRoomError("holds all it can")
            own_admission.take(message)
        except (BadRequestError, UnansweredError, NoRoomError) as error:
            self._router.take_refused(message.id)
            answer.set_exception(error)
            return
        routed.inner = own_admission
        if guest:
            self._node.taken_for_other_home(message)
        if own_admission.syncs:
            own_admission.durable().add_done_callback(partial(_copy_result, answer))
        else:
            answer.set_result(None)

    def _ask(self, answer: asyncio.Future[None], routed: RoutedAdmission, message: StoredMessage, request: Request,
             courier: str) -> None:
        remote = RemoteAdmission(self._node.client(courier))
        remote.take(message)
        routed.inner = remote
        remote.durable().add_done_callback(partial(self._ask_ended, answer, routed, remote, message, request, courier))

    def _ask_ended(self, answer: asyncio.Future[None], routed: RoutedAdmission, remote: RemoteAdmission,
                   message: StoredMessage, request: Request, courier: str, work: asyncio.Future[None]) -> None:
        error = None if work.cancelled() else work.exception()
        result = Answer.SILENT if remote.outcome is None else _ANSWERS.get(remote.outcome, Answer.SILENT)
        follow_up = self._router.answered(self._node.now_us(), request, courier, result, self._view(request))
        if follow_up is not None:
            routed.inner = None
            self._execute(answer, routed, message, request, follow_up)
        elif answer.done():  # its client left before the ask was sent, when nothing could be withdrawn
            remote.withdraw(message.id)
        elif error is None:
            answer.set_result(None)
        else:
            routed.inner = None
            answer.set_exception(error)

    # --- at a courier that is asked ---

    def asked(self, message: StoredMessage) -> Admission | Refusal:
        """Who takes a message passed on by another courier; it is not passed on again."""
        own_admission, request = self._node.own_admission, self._request(message)
        if own_admission.holds(message.id):
            return own_admission
        if not self._node.knows_class(message.message_class):
            return RoutedAdmission(
                own_admission, partial(_failed_future, BadRequestError("its class is not known here")))
        if self._node.hosting.phase(request.shard) is ShardPhase.OPENING:
            return RoutedAdmission(own_admission, self._wait_open)
        match self._router.asked(self._node.now_us(), request, self._view(request)):
            case Take(guest):
                return RoutedAdmission(own_admission, partial(self._take_asked, True)) if guest else own_admission
            case Retry(_, reason):
                return Refusal("full", reason)
            case NoAnswer(reason):
                return RoutedAdmission(own_admission, partial(_failed_future, UnansweredError(reason)))
        return Refusal("away", "it is not at home here")

    def _take_asked(self, guest: bool, routed: RoutedAdmission, message: StoredMessage) -> asyncio.Future[None]:
        answer: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._take_here(answer, routed, message, guest)
        return answer

    def _wait_open(self, routed: RoutedAdmission, message: StoredMessage) -> asyncio.Future[None]:
        answer: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.waits.wait(shard_of(message.destination, self._node.shards), min(self._open_timeout_s, OPEN_TIMEOUT_S),
                        partial(self._open_wait_ended, answer, routed, message))
        return answer

    def _open_wait_ended(self, answer: asyncio.Future[None], routed: RoutedAdmission, message: StoredMessage,
                         changed: bool) -> None:
        if answer.done():
            return
        request = self._request(message)
        match self._router.asked(self._node.now_us(), request, self._view(request)):
            case Take(guest):
                self._take_here(answer, routed, message, guest)
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


def _failed_future(error: Exception, routed: RoutedAdmission, message: StoredMessage) -> asyncio.Future[None]:
    answer: asyncio.Future[None] = asyncio.get_running_loop().create_future()
    answer.set_exception(error)
    return answer


_ANSWERS = {AskOutcome.TAKEN: Answer.TAKEN, AskOutcome.KNOWN: Answer.KNOWN, AskOutcome.FULL: Answer.FULL,
            AskOutcome.BAD: Answer.BAD, AskOutcome.AWAY: Answer.AWAY, AskOutcome.NOT_ASKED: Answer.NOT_ASKED}
