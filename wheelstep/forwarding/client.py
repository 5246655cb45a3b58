"""Messages passed on from the worker that a client reached to the one that owns them: who answers 202 is the worker
with the client, who owes the end is the owner, and its journal has the message before the client hears 202.

Asked: `ask` (a message, under a number). Answered: `taken`, `known`, `unsettled`, or `bad` or `full` with the reason.
Then `begin` (the client has heard 202) or `withdraw` (it went before). A connection that ends with neither counts as
`begin`: the client may have heard. Here is the asking side; the owner's is `server`.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
from typing import Any

from wheelstep.courier.desk import BadRequestError, UnansweredError
from wheelstep.journal import NoRoomError, Stored
from wheelstep.workers.frames import Frames

_MOST = 2_000  # messages under way to one worker
_WAIT_S = 0.35  # a client waits 400 ms for its answer
_DIAL_S = 0.2

log = logging.getLogger(__name__)


class ForwardClient:
    """The way to one other worker. Dialled when first needed, and again after it broke.

    Each question has a number of its own, and its answer names it: a client that went and came again with the same
    message may not take the answer to its first question for one to its second."""

    def __init__(self, path: str) -> None:
        self._path = path
        self._frames: Frames | None = None
        self._dialling: asyncio.Task[None] | None = None
        self._numbers = itertools.count()
        self._asked: dict[int, tuple[RemoteDesk, asyncio.Future[None], float]] = {}  # in order of their time
        self._late: asyncio.TimerHandle | None = None

    async def _dial(self) -> None:
        frames = Frames(self._heard, self._lost)
        try:
            async with asyncio.timeout(_DIAL_S):
                await asyncio.get_running_loop().create_unix_connection(lambda: frames, self._path)
            self._frames = frames
        except (OSError, TimeoutError):
            self._frames = None

    def ask(self, desk: RemoteDesk, message: Stored) -> asyncio.Future[None]:
        """Done once the owner has taken it. `NoRoomError` if it was not asked, `UnansweredError` if it may have
        taken it. Without a task a message: a hop costs a third less so."""
        answer: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        if len(self._asked) >= _MOST:
            answer.set_exception(NoRoomError("too many messages are under way to the worker that owns it"))
        elif self._frames is not None:
            self._send(self._frames, desk, message, answer)
        else:  # told of the last one's end, so that no end is taken for that of the next
            if self._dialling is None or self._dialling.done():
                self._dialling = asyncio.create_task(self._dial())

            def dialled(_: asyncio.Task[None]) -> None:
                if answer.done():
                    return
                if self._frames is None:
                    answer.set_exception(NoRoomError("the worker that owns it can't be reached"))
                else:
                    self._send(self._frames, desk, message, answer)
            self._dialling.add_done_callback(dialled)
        return answer

    def _send(self, frames: Frames, desk: RemoteDesk, message: Stored, answer: asyncio.Future[None]) -> None:
        number = next(self._numbers)
        head = {"do": "ask", "n": number, "id": message.id, "class": message.message_class,
                "dest": message.destination, "deadline": message.deadline_ms, "key": message.key,
                "token": message.token, "again": message.resubmitted}
        if not frames.send(head, message.body):
            answer.set_exception(NoRoomError("the worker that owns it can't be reached"))
            return
        loop = asyncio.get_running_loop()
        desk.frames, desk.number = frames, number
        self._asked[number] = desk, answer, loop.time() + _WAIT_S
        if self._late is None:
            self._late = loop.call_later(_WAIT_S, self._expire)

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
                answer.set_exception(UnansweredError("the worker that owns it did not answer"))

    def tell(self, what: str, desk: RemoteDesk) -> None:
        """`begin` or `withdraw`; a connection that has ended meanwhile says the first by itself."""
        if self._frames is not None and self._frames is desk.frames:
            self._frames.send({"do": what, "n": desk.number})

    def _heard(self, head: dict[str, Any], body: bytes) -> None:
        desk, answer, _ = self._asked.pop(int(head["n"]), (None, None, 0.0))
        if desk is None or answer is None or answer.done():  # it waits no more
            return
        match head["is"]:
            case "taken":
                answer.set_result(None)
            case "known":
                desk.known = True
                answer.set_result(None)
            case "bad":
                answer.set_exception(BadRequestError(str(head["why"])))
            case "unsettled":
                desk.known = True
                answer.set_exception(UnansweredError("another client hands it in just now"))
            case _:
                answer.set_exception(NoRoomError(str(head["why"])))

    def _lost(self) -> None:
        self._frames = None
        asked, self._asked = self._asked, {}
        for _, answer, _ in asked.values():
            if not answer.done():
                answer.set_exception(UnansweredError("the worker that owns it ended"))

    def close(self) -> None:
        """At once."""
        if self._dialling is not None:
            self._dialling.cancel()
        if self._late is not None:
            self._late.cancel()
        if self._frames is not None:
            self._frames.close()


class RemoteDesk:
    """Stands for the owner while one request is answered (desk.Desk)."""

    ready = True
    syncs = True  # its answer is waited for

    def __init__(self, client: ForwardClient) -> None:
        self._client = client
        self._message: Stored | None = None
        self.frames: Frames | None = None  # where it was asked, if it was
        self.number = -1
        self.known = False  # the owner has it from another request: nothing of it is this one's to begin or withdraw

    def full(self) -> bool:
        return False

    def serves(self, destination: int) -> bool:
        return True

    def settles(self, message: str) -> bool:
        return False

    def holds(self, message: str) -> bool:
        return False

    def take(self, message: Stored) -> None:
        self._message = message

    def durable(self) -> asyncio.Future[None]:
        """Ask the owner, who writes it down; the errors are those of the owner's own desk."""
        assert self._message is not None
        return self._client.ask(self, self._message)

    def begin(self, name: str) -> None:
        if not self.known:
            self._client.tell("begin", self)

    def withdraw(self, name: str) -> None:
        if not self.known:
            self._client.tell("withdraw", self)

    def handed_in(self, message: Stored, status: int) -> None:
        """The owner records it."""
