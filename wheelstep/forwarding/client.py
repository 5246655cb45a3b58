"""Messages passed on from the process that a client reached to the one that is to owe them: who answers 202 is the
process with the client, who owes the end is the owner, and its journal has the message before the client hears 202.

Asked: `ask` (a message, under a number). Answered: `taken`, `known`, `unsettled`, `away`, or `bad` or `full` with the
reason. Then `begin` (the client has heard 202) or `withdraw` (it went before). A connection that ends with neither
counts as `begin`: the client may have heard. Here is the asking side; the owner's is `server`.
"""

from __future__ import annotations

import asyncio
import functools
import itertools
import logging
from collections import Counter
from enum import Enum
from typing import Any

import msgspec

from wheelstep.courier.admission import BadRequestError, UnansweredError
from wheelstep.forwarding.errors import AwayError, NotAskedError
from wheelstep.forwarding.heads import answered, ask_head
from wheelstep.forwarding.link import Dial, Link
from wheelstep.journal import NoRoomError, StoredMessage

log = logging.getLogger(__name__)


class Ended(Enum):
    """How an ask ended, for who asked. SILENT: it may have been taken, as no answer came in time or at all."""

    TAKEN = "taken"
    KNOWN = "known"
    UNSETTLED = "unsettled"
    BAD = "bad"
    FULL = "full"
    AWAY = "away"
    NOT_ASKED = "not asked"
    SILENT = "silent"


class ForwardClient:
    """The way to one other process. Dialled when first needed, and again after it broke.

    Each question has a number of its own, and its answer names it: a client that went and came again with the same
    message may not take the answer to its first question for one to its second."""

    def __init__(self, dial: Dial, *, what: str, wait_s: float = 0.35, most: int = 2_000) -> None:
        """`what` names the other in errors. An answer is waited for `wait_s` seconds (a client waits 400 ms for its
        own); `most` messages are under way at once."""
        self._dial_link, self._what, self._wait_s, self._most = dial, what, wait_s, most
        self._link: Link | None = None
        self._life = 0  # of the connection: raised with each dial and end, so that nothing of an old one is heard
        self._dialling: asyncio.Task[None] | None = None
        self._waiting = 0  # asks for the dial
        self._numbers = itertools.count()
        self._next = 0  # no higher one was asked
        self._asked: dict[int, tuple[RemoteDesk, asyncio.Future[None], float]] = {}  # in order of their time
        self._late: asyncio.TimerHandle | None = None
        self._closed = False
        self.refused: Counter[str] = Counter()  # heads that were no answers, by reason

    async def _dial(self) -> None:
        self._life += 1
        life = self._life
        link = await self._dial_link(functools.partial(self._heard, life), functools.partial(self._lost, life))
        if link is not None and life != self._life:  # it has ended already
            link.close()
        elif link is not None:
            self._link = link

    def ask(self, desk: RemoteDesk, message: StoredMessage) -> asyncio.Future[None]:
        """Done once the owner has taken it. `NotAskedError` if nothing was sent, `AwayError`, `NoRoomError` or
        `BadRequestError` if it was refused, `UnansweredError` if it may have been taken. Without a task a message: a
        hop costs a third less so."""
        answer: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        if self._closed:
            self._not_asked(desk, answer)
        elif len(self._asked) + self._waiting >= self._most:
            self._fail(desk, answer, Ended.NOT_ASKED,
                       NotAskedError(f"too many messages are under way to {self._what}"))
        elif self._link is not None:
            self._send(self._link, desk, message, answer)
        else:  # told of the last one's end, so that no end is taken for that of the next
            if self._dialling is None or self._dialling.done():
                self._dialling = asyncio.create_task(self._dial())
            self._waiting += 1
            self._dialling.add_done_callback(lambda _: self._dialled(desk, message, answer))
        return answer

    def _dialled(self, desk: RemoteDesk, message: StoredMessage, answer: asyncio.Future[None]) -> None:
        self._waiting -= 1
        if answer.done():
            return
        if self._link is None:
            self._not_asked(desk, answer)
        else:
            self._send(self._link, desk, message, answer)

    def _send(self, link: Link, desk: RemoteDesk, message: StoredMessage, answer: asyncio.Future[None]) -> None:
        number = next(self._numbers)
        if not link.send(ask_head(number, message), message.body):
            self._not_asked(desk, answer)
            return
        loop = asyncio.get_running_loop()
        self._next = number + 1
        desk.link, desk.number = link, number
        self._asked[number] = desk, answer, loop.time() + self._wait_s
        if self._late is None:
            self._late = loop.call_later(self._wait_s, self._expire)

    def _not_asked(self, desk: RemoteDesk, answer: asyncio.Future[None]) -> None:
        self._fail(desk, answer, Ended.NOT_ASKED, NotAskedError(f"{self._what} can't be reached"))

    def _fail(self, desk: RemoteDesk, answer: asyncio.Future[None], ended: Ended, error: Exception) -> None:
        desk.ended = ended
        answer.set_exception(error)

    def _expire(self) -> None:
        """One timer for all: they wait equally long, so the oldest is due first."""
        loop = asyncio.get_running_loop()
        self._late = None
        while self._asked:
            number, (desk, answer, due_s) = next(iter(self._asked.items()))
            if due_s > loop.time() and not answer.done():
                self._late = loop.call_at(due_s, self._expire)
                return
            del self._asked[number]
            if not answer.done():
                self.tell("withdraw", desk)
                self._fail(desk, answer, Ended.SILENT, UnansweredError(f"{self._what} did not answer"))

    def tell(self, what: str, desk: RemoteDesk) -> None:
        """`begin` or `withdraw`; a connection that has ended meanwhile says the first by itself."""
        if self._link is not None and self._link is desk.link:
            self._link.send({"do": what, "n": desk.number})

    def _heard(self, life: int, head: dict[str, Any], body: bytes) -> None:
        if life != self._life:
            return
        try:
            told = answered(head)
        except msgspec.ValidationError as error:
            self._break(f"no answer: {error}")
            return
        if told.n >= self._next:
            self._break("an answer to what was not asked")
            return
        desk, answer, _ = self._asked.pop(told.n, (None, None, 0.0))
        if desk is None or answer is None or answer.done():  # it waits no more
            return
        match told.kind:
            case "taken" | "known":
                desk.known = told.kind == "known"
                desk.ended = Ended(told.kind)
                answer.set_result(None)
            case "bad":
                self._fail(desk, answer, Ended.BAD, BadRequestError(told.why))
            case "unsettled":
                desk.known = True
                self._fail(desk, answer, Ended.UNSETTLED, UnansweredError("another client hands it in just now"))
            case "away":
                self._fail(desk, answer, Ended.AWAY, AwayError(told.why))
            case "full":
                self._fail(desk, answer, Ended.FULL, NoRoomError(told.why))

    def _break(self, why: str) -> None:
        """Guards against a process that does not keep to this: what it says further is not heard."""
        self.refused[why.partition(":")[0]] += 1
        log.error("%s sent %s: its connection is ended", self._what, why[:200])
        link = self._link
        self._lost(self._life)
        if link is not None:
            link.close()

    def _lost(self, life: int) -> None:
        if life != self._life:
            return
        self._life += 1
        self._link = None
        asked, self._asked = self._asked, {}
        for desk, answer, _ in asked.values():
            if not answer.done():
                self._fail(desk, answer, Ended.SILENT, UnansweredError(f"{self._what} ended"))

    def close(self) -> None:
        """At once, for good."""
        self._closed = True
        if self._dialling is not None:
            self._dialling.cancel()
        if self._late is not None:
            self._late.cancel()
            self._late = None
        if self._link is not None:
            self._link.close()


class RemoteDesk:
    """Stands for the owner while one request is answered (admission.Admission)."""

    ready = True
    syncs = True  # its answer is waited for

    def __init__(self, client: ForwardClient) -> None:
        self._client = client
        self._message: StoredMessage | None = None
        self.link: Link | None = None  # where it was asked, if it was
        self.number = -1
        self.known = False  # the owner has it from another request: nothing of it is this one's to begin or withdraw
        self.ended: Ended | None = None  # None: the answer is not there, or its own client went before

    def full(self) -> bool:
        return False

    def serves(self, destination: int) -> bool:
        return True

    def is_unconfirmed(self, message: str) -> bool:
        return False

    def holds(self, message: str) -> bool:
        return False

    def take(self, message: StoredMessage) -> None:
        self._message = message

    def durable(self) -> asyncio.Future[None]:
        """Ask the owner, who writes it down; the errors are those of `ForwardClient.ask`."""
        assert self._message is not None
        return self._client.ask(self, self._message)

    def begin(self, name: str) -> None:
        if not self.known:
            self._client.tell("begin", self)

    def withdraw(self, name: str) -> None:
        if not self.known:
            self._client.tell("withdraw", self)

    def record_answer(self, message: StoredMessage, status: int) -> None:
        """The owner records it."""
