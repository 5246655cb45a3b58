"""The owner's side of `client`: what other workers hand in here is taken, begun or withdrawn."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from wheelstep.courier.core import Core
from wheelstep.journal import NoRoomError, Stored
from wheelstep.workers.frames import Frames


class ForwardServer:
    """The owner's side: one connection from another worker."""

    def __init__(self, find: Callable[[int], Core | None]) -> None:
        self._find = find
        self.frames = Frames(self._heard, self._lost)
        self._pending: dict[int, tuple[Core, Stored]] = {}  # taken, and its client has not heard for all we know
        self._tasks: dict[int, asyncio.Task[None]] = {}  # taken, and waiting for a sync

    def _heard(self, head: dict[str, Any], body: bytes) -> None:
        number = int(head["n"])
        match head["do"]:
            case "ask":
                self._ask(number, Stored(str(head["id"]), str(head["class"]), int(head["dest"]), int(head["deadline"]),
                                         head["key"], head["token"], bool(head["again"]), body))
            case "begin" if number in self._pending:
                core, message = self._pending.pop(number)
                self._begin(core, message)
            case "withdraw":
                if (task := self._tasks.pop(number, None)) is not None:
                    task.cancel()
                if number in self._pending:
                    core, message = self._pending.pop(number)
                    core.withdraw(message.id)

    def _begin(self, core: Core, message: Stored) -> None:
        if core.holds(message.id):
            core.begin(message.id)
            core.handed_in(message, 202)

    def _ask(self, number: int, message: Stored) -> None:
        core = self._find(message.destination)
        if core is None:
            self._answer(number, "full", "its share is not open here just now")
        elif core.holds(message.id):
            self._answer(number, "unsettled" if core.settles(message.id) else "known")
        elif not core.serves(message.destination):
            self._answer(number, "bad", "no such destination")
        elif core.full():
            core.handed_in(message, 503)
            self._answer(number, "full", "holds all it can")
        else:
            try:
                core.take(message)
            except NoRoomError as error:
                core.handed_in(message, 503)
                self._answer(number, "full", str(error))
                return
            self._pending[number] = core, message
            if core.syncs:
                self._tasks[number] = asyncio.create_task(self._settle(core, number, message.id))
            else:
                self._answer(number, "taken")

    async def _settle(self, core: Core, number: int, name: str) -> None:
        try:
            await core.durable()
        except NoRoomError as error:
            self._pending.pop(number, None)
            core.withdraw(name)
            self._answer(number, "full", str(error))
        else:
            self._answer(number, "taken")
        finally:
            self._tasks.pop(number, None)

    def _answer(self, number: int, what: str, why: str = "") -> None:
        self.frames.send({"n": number, "is": what, "why": why})

    def _lost(self) -> None:
        """Guards against a message that its client was told of, and nobody begins."""
        for task in list(self._tasks.values()):  # not answered: its client was told nothing
            task.cancel()
        unanswered = set(self._tasks)
        pending, self._pending = self._pending, {}
        for number, (core, message) in pending.items():
            if number in unanswered:
                core.withdraw(message.id)
            else:
                self._begin(core, message)
