"""The owner's side of `client`: what other processes hand in here is taken, begun or withdrawn."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Literal

import msgspec

from wheelstep.courier.admission import Admission, BadRequestError, UnansweredError
from wheelstep.forwarding.errors import NotAskedError
from wheelstep.forwarding.heads import Ask, Begin, Withdraw, said
from wheelstep.forwarding.link import Link
from wheelstep.journal import NoRoomError, StoredMessage

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Turned:
    """No desk takes it here: `away` where another process serves it, `full` where none can just now."""

    is_: Literal["full", "away"]
    why: str


class ForwardServer:
    """The owner's side of one connection from another process. `find` gives the desk of a message, or why there is
    none. Tell it the connection by `attach`, each frame by `heard`, its end by `lost`."""

    def __init__(self, find: Callable[[StoredMessage], Admission | Turned], *, most: int = 20_000) -> None:
        """`most` messages are taken and not begun at once; beyond that it is `full`."""
        self._find, self._most = find, most
        self._link: Link | None = None
        self._ended = False
        self._next = 0  # numbers below were asked
        self._pending: dict[int, tuple[Admission, StoredMessage]] = {}  # accepted, maybe without an answer yet
        self._tasks: dict[int, asyncio.Task[None]] = {}  # taken, and waiting for a sync
        self.refused: Counter[str] = Counter()  # frames that were none of an asker, by reason

    def attach(self, link: Link) -> None:
        """Where answers go."""
        self._link = link

    def heard(self, head: dict[str, Any], body: bytes) -> None:
        """A frame. One that no asker sends ends the connection, and nothing of it is taken over."""
        if self._ended:
            return
        try:
            one = said(head)
        except msgspec.ValidationError as error:
            self._break(f"no ask: {error}")
            return
        match one:
            case Ask() if one.n < self._next:
                self._break("an ask under a number that was used")
            case Ask():
                self._next = one.n + 1
                self._ask(one.n, one.message(body))
            case Begin() | Withdraw() if one.n >= self._next:
                self._break("an end of what was not asked")
            case Begin() if one.n in self._tasks:
                self._break("a begin of what was not answered")
            case Begin() if one.n in self._pending:
                self._begin(*self._pending.pop(one.n))
            case Withdraw():
                if (task := self._tasks.pop(one.n, None)) is not None:
                    task.cancel()
                if one.n in self._pending:
                    desk, message = self._pending.pop(one.n)
                    desk.withdraw(message.id)

    def _begin(self, desk: Admission, message: StoredMessage) -> None:
        if desk.holds(message.id):
            desk.begin(message.id)
            desk.record_answer(message, 202)

    def _ask(self, number: int, message: StoredMessage) -> None:
        desk = self._find(message)
        if isinstance(desk, Turned):
            self._answer(number, desk.is_, desk.why)
        elif desk.holds(message.id):
            self._answer(number, "unsettled" if desk.is_unconfirmed(message.id) else "known")
        elif not desk.serves(message.destination):
            self._answer(number, "bad", "no such destination")
        elif desk.full() or len(self._pending) >= self._most:
            desk.record_answer(message, 503)
            self._answer(number, "full", "holds all it can")
        else:
            try:
                desk.take(message)
            except NoRoomError as error:
                desk.record_answer(message, 503)
                self._refuse(number, error)
                return
            self._pending[number] = desk, message
            if desk.syncs:
                self._tasks[number] = asyncio.create_task(self._settle(desk, number, message.id))
            else:
                self._answer(number, "taken")

    async def _settle(self, desk: Admission, number: int, name: str) -> None:
        try:
            await desk.durable()
        except Exception as error:  # guards against a message that nobody was told of, and a lost connection begins
            self._pending.pop(number, None)
            desk.withdraw(name)
            self._refuse(number, error)
        else:
            self._answer(number, "taken")
        finally:
            self._tasks.pop(number, None)

    def _refuse(self, number: int, error: Exception) -> None:
        """An answer where there is a true one; else the asker's time runs out."""
        match error:
            case NotAskedError():
                self._answer(number, "away", str(error))
            case NoRoomError():
                self._answer(number, "full", str(error))
            case BadRequestError():
                self._answer(number, "bad", str(error))
            case UnansweredError():
                log.debug("no answer to a forwarded message: %s", error)
            case _:
                log.error("a forwarded message could not be taken", exc_info=error)

    def _answer(self, number: int, kind: str, why: str = "") -> None:
        if self._link is not None and not self._ended:
            self._link.send({"n": number, "is": kind, "why": why})

    def _break(self, why: str) -> None:
        """Guards against a process that does not keep to this."""
        self.refused[why.partition(":")[0]] += 1
        log.error("a forwarding process sent %s: its connection is ended", why[:200])
        self.lost()
        if self._link is not None:
            self._link.close()

    def lost(self) -> None:
        """The connection has ended. Guards against a message that its client was told of, and nobody begins."""
        self._ended = True
        for task in list(self._tasks.values()):  # not answered: its client was told nothing
            task.cancel()
        unanswered = set(self._tasks)
        pending, self._pending = self._pending, {}
        for number, (desk, message) in pending.items():
            if number in unanswered:
                desk.withdraw(message.id)
            else:
                self._begin(desk, message)
