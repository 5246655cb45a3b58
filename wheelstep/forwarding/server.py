"""The owner's side of forwarding: takes, begins or withdraws the messages that other processes forward."""

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
from wheelstep.forwarding.heads import Ask, Begin, Withdraw, decode_asker_frame
from wheelstep.forwarding.link import Link
from wheelstep.journal import NoRoomError, StoredMessage

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why the message can't be taken here: `away` if another process serves its destination, `full` if none can at the
    moment. `why` is the reason that the asking process is told."""

    kind: Literal["full", "away"]
    why: str


class ForwardServer:
    """The owner's side of one connection from another process. `find` returns what admits a message, or why nothing
    does. Its user passes the connection to `attach`, each frame to `on_frame`, and calls `on_end` at its end."""

    def __init__(self, find: Callable[[StoredMessage], Admission | Refusal], *, max_pending: int = 20_000) -> None:
        """While `max_pending` messages are taken that were neither begun nor withdrawn, asks are answered `full`."""
        self._find, self._max_pending = find, max_pending
        self._link: Link | None = None
        self._ended = False
        self._next_number = 0  # all asks so far had lower numbers
        self._pending: dict[int, tuple[Admission, StoredMessage]] = {}  # taken, neither begun nor withdrawn
        self._tasks: dict[int, asyncio.Task[None]] = {}  # taken, waiting for the journal's sync
        self.invalid_frames: Counter[str] = Counter()  # by reason

    def attach(self, link: Link) -> None:
        """Set the connection on which answers are sent."""
        self._link = link

    def on_frame(self, head: dict[str, Any], body: bytes) -> None:
        """Handle a frame of the asking process. An invalid one is ignored, and the connection is closed."""
        if self._ended:
            return
        try:
            frame = decode_asker_frame(head)
        except msgspec.ValidationError as error:
            self._reject(f"an invalid frame: {error}")
            return
        match frame:
            case Ask() if frame.n < self._next_number:
                self._reject("an ask with a number that was used before")
            case Ask():
                self._next_number = frame.n + 1
                self._handle_ask(frame.n, frame.message(body))
            case Begin() | Withdraw() if frame.n >= self._next_number:
                self._reject("a begin or withdraw of an ask that was never sent")
            case Begin() if frame.n in self._tasks:
                self._reject("a begin of an ask that was not answered")
            case Begin() if frame.n in self._pending:
                self._begin(*self._pending.pop(frame.n))
            case Withdraw():
                if (task := self._tasks.pop(frame.n, None)) is not None:
                    task.cancel()
                if frame.n in self._pending:
                    admission, message = self._pending.pop(frame.n)
                    admission.withdraw(message.id)

    def _begin(self, admission: Admission, message: StoredMessage) -> None:
        if admission.holds(message.id):
            admission.begin(message.id)
            admission.record_answer(message, 202)

    def _handle_ask(self, number: int, message: StoredMessage) -> None:
        admission = self._find(message)
        if isinstance(admission, Refusal):
            self._answer(number, admission.kind, admission.why)
        elif admission.holds(message.id):
            self._answer(number, "unsettled" if admission.is_unconfirmed(message.id) else "known")
        elif not admission.serves(message.destination):
            self._answer(number, "bad", "no such destination")
        elif admission.full() or len(self._pending) >= self._max_pending:
            admission.record_answer(message, 503)
            self._answer(number, "full", "holds all it can")
        else:
            try:
                admission.take(message)
            except NoRoomError as error:
                admission.record_answer(message, 503)
                self._answer_error(number, error)
                return
            self._pending[number] = admission, message
            if admission.syncs:
                self._tasks[number] = asyncio.create_task(self._answer_when_durable(admission, number, message.id))
            else:
                self._answer(number, "taken")

    async def _answer_when_durable(self, admission: Admission, number: int, name: str) -> None:
        try:
            await admission.durable()
        except Exception as error:  # withdrawn at once, as `on_end` would begin it although no client was answered
            self._pending.pop(number, None)
            admission.withdraw(name)
            self._answer_error(number, error)
        else:
            self._answer(number, "taken")
        finally:
            self._tasks.pop(number, None)

    def _answer_error(self, number: int, error: Exception) -> None:
        """Answer by the kind of error. After other errors the outcome is unknown, so no answer is sent and the asking
        process times out."""
        match error:
            case NotAskedError():
                self._answer(number, "away", str(error))
            case NoRoomError():
                self._answer(number, "full", str(error))
            case BadRequestError():
                self._answer(number, "bad", str(error))
            case UnansweredError():
                log.debug("forwarded message left unanswered: %s", error)
            case _:
                log.error("failed to take a forwarded message", exc_info=error)

    def _answer(self, number: int, kind: str, why: str = "") -> None:
        if self._link is not None and not self._ended:
            self._link.send({"n": number, "is": kind, "why": why})

    def _reject(self, why: str) -> None:
        """Close the connection of a process that breaks the protocol."""
        self.invalid_frames[why.partition(":")[0]] += 1
        log.error("a forwarding process sent %s; closing the connection", why[:200])
        self.on_end()
        if self._link is not None:
            self._link.close()

    def on_end(self) -> None:
        """Handle the connection's end: begin what was answered, as the client may have had 202; withdraw the rest."""
        self._ended = True
        for task in list(self._tasks.values()):  # not answered, so no client had 202
            task.cancel()
        unanswered = set(self._tasks)
        pending, self._pending = self._pending, {}
        for number, (admission, message) in pending.items():
            if number in unanswered:
                admission.withdraw(message.id)
            else:
                self._begin(admission, message)
