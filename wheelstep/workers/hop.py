"""Messages passed on from the worker that a client reached to the one that owns them: who answers 202 is the worker
with the client, who owes the end is the owner, and its journal has the message before the client hears 202.

Asked: `ask` (a message). Answered: `taken`, `known`, or a status with its reason. Then `begin` (the client has heard
202) or `withdraw` (it went before). A connection that ends with neither counts as `begin`: the client may have heard.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Any

from wheelstep.courier.core import Core
from wheelstep.courier.inlet import BadRequestError, UnansweredError
from wheelstep.journal import NoRoomError, Stored
from wheelstep.workers.frames import Frames

_MOST = 2_000  # messages under way to one worker
_WAIT_S = 0.35  # a client waits 400 ms for its answer
_DIAL_S = 0.2

log = logging.getLogger(__name__)


class Passage:
    """The way to one other worker. Dialled when first needed, and again after it broke."""

    def __init__(self, path: str) -> None:
        self._path = path
        self._frames: Frames | None = None
        self._dialling: asyncio.Task[None] | None = None
        self._asked: dict[str, asyncio.Future[dict[str, Any]]] = {}

    async def connect(self) -> Frames:
        """Raises `NoRoomError` where the other worker can't be reached just now: nothing was sent to it."""
        if self._frames is None:  # told of the last one's end, so that no end is taken for that of the next
            if self._dialling is None or self._dialling.done():
                self._dialling = asyncio.create_task(self._dial())
            await asyncio.shield(self._dialling)
        if self._frames is None or not self._frames.open:
            raise NoRoomError("the worker that owns it can't be reached")
        return self._frames

    async def _dial(self) -> None:
        frames = Frames(self._heard, self._lost)
        try:
            async with asyncio.timeout(_DIAL_S):
                await asyncio.get_running_loop().create_unix_connection(lambda: frames, self._path)
            self._frames = frames
        except (OSError, TimeoutError):
            self._frames = None

    async def ask(self, message: Stored) -> dict[str, Any]:
        """The owner's answer. Raises `NoRoomError` if it was not asked, `UnansweredError` if it may have taken it."""
        if len(self._asked) >= _MOST:
            raise NoRoomError("too many messages are under way to the worker that owns it")
        frames = await self.connect()
        answer: asyncio.Future[dict[str, Any]] = asyncio.get_running_loop().create_future()
        self._asked[message.id] = answer
        try:
            head = {"do": "ask", "id": message.id, "class": message.message_class, "dest": message.destination,
                    "deadline": message.deadline_ms, "key": message.key, "token": message.token,
                    "again": message.resubmitted}
            if not frames.send(head, message.body):
                raise NoRoomError("the worker that owns it can't be reached")
            async with asyncio.timeout(_WAIT_S):
                return await answer
        except TimeoutError as error:
            self.tell("withdraw", message.id)
            raise UnansweredError(f"the worker that owns {message.id} did not answer") from error
        finally:
            self._asked.pop(message.id, None)

    def tell(self, what: str, message: str) -> None:
        """`begin` or `withdraw`; a connection that has ended meanwhile says the first by itself."""
        if self._frames is not None:
            self._frames.send({"do": what, "id": message})

    def _heard(self, head: dict[str, Any], body: bytes) -> None:
        if (answer := self._asked.get(str(head.get("id")))) is not None and not answer.done():
            answer.set_result(head)

    def _lost(self) -> None:
        self._frames = None
        for message, answer in self._asked.items():
            if not answer.done():
                answer.set_exception(UnansweredError(f"the worker that owns {message} ended"))

    def close(self) -> None:
        """At once."""
        if self._dialling is not None:
            self._dialling.cancel()
        if self._frames is not None:
            self._frames.close()


class RemoteDesk:
    """Stands for the owner while one request is answered (inlet.Desk)."""

    ready = True
    syncs = True  # its answer is waited for

    def __init__(self, passage: Passage) -> None:
        self._passage = passage
        self._message: Stored | None = None
        self._known = False

    def full(self) -> bool:
        return False

    def serves(self, destination: int) -> bool:
        return True

    def holds(self, message: str) -> bool:
        return False

    def take(self, message: Stored) -> None:
        self._message = message

    async def durable(self) -> None:
        """Ask the owner, who writes it down; raises as the owner's own desk would."""
        assert self._message is not None
        answer = await self._passage.ask(self._message)
        match answer.get("is"):
            case "taken":
                pass
            case "known":
                self._known = True
            case "bad":
                raise BadRequestError(str(answer.get("why")))
            case _:
                raise NoRoomError(str(answer.get("why")))

    def begin(self, name: str) -> None:
        if not self._known:
            self._passage.tell("begin", name)

    def withdraw(self, name: str) -> None:
        if not self._known:
            self._passage.tell("withdraw", name)

    def handed_in(self, message: Stored, status: int) -> None:
        """The owner records it."""


class Counter:
    """The owner's side: one connection from another worker."""

    def __init__(self, find: Callable[[int], Core | None]) -> None:
        self._find = find
        self.frames = Frames(self._heard, self._lost)
        self._pending: dict[str, tuple[Core, Stored]] = {}  # taken, and its client has not heard for all we know
        self._tasks: dict[str, asyncio.Task[None]] = {}  # taken, and waiting for a sync

    def _heard(self, head: dict[str, Any], body: bytes) -> None:
        name = str(head["id"])
        match head["do"]:
            case "ask":
                self._ask(Stored(name, str(head["class"]), int(head["dest"]), int(head["deadline"]), head["key"],
                                 head["token"], bool(head["again"]), body))
            case "begin" if name in self._pending:
                core, message = self._pending.pop(name)
                self._begin(core, message)
            case "withdraw":
                if (task := self._tasks.pop(name, None)) is not None:
                    task.cancel()
                if name in self._pending:
                    self._pending.pop(name)[0].withdraw(name)

    def _begin(self, core: Core, message: Stored) -> None:
        if core.holds(message.id):
            core.begin(message.id)
            core.handed_in(message, 202)

    def _ask(self, message: Stored) -> None:
        core = self._find(message.destination)
        if core is None:
            self._answer(message.id, "full", "its share is not open here just now")
        elif core.holds(message.id):
            self._answer(message.id, "known")
        elif not core.serves(message.destination):
            self._answer(message.id, "bad", "no such destination")
        elif core.full():
            core.handed_in(message, 503)
            self._answer(message.id, "full", "holds all it can")
        else:
            try:
                core.take(message)
            except NoRoomError as error:
                core.handed_in(message, 503)
                self._answer(message.id, "full", str(error))
                return
            self._pending[message.id] = core, message
            if core.syncs:
                self._tasks[message.id] = asyncio.create_task(self._settle(core, message.id))
            else:
                self._answer(message.id, "taken")

    async def _settle(self, core: Core, name: str) -> None:
        try:
            await core.durable()
        except NoRoomError as error:
            self._pending.pop(name, None)
            core.withdraw(name)
            self._answer(name, "full", str(error))
        else:
            self._answer(name, "taken")
        finally:
            self._tasks.pop(name, None)

    def _answer(self, name: str, what: str, why: str = "") -> None:
        self.frames.send({"id": name, "is": what, "why": why})

    def _lost(self) -> None:
        """Guards against a message that its client was told of, and nobody begins."""
        for task in list(self._tasks.values()):  # not answered: its client was told nothing
            task.cancel()
        unanswered = set(self._tasks)
        pending, self._pending = self._pending, {}
        for name, (core, message) in pending.items():
            if name in unanswered:
                core.withdraw(name)
            else:
                self._begin(core, message)
