"""The asking side of forwarding. The process with the client answers 202; the owner journals the message before that,
delivers it, and is responsible for its terminal outcome. `server` is the owner's side.

The asking process sends `ask` (a message, under a number); the owner sends an answer (`heads.Answer`). After `taken`
the asking process sends `begin` (the client was answered 202) or `withdraw` (the client disconnected before). If the
connection ends with neither, the owner begins the message, as the client may have been answered.
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
from wheelstep.forwarding.heads import ask_head, decode_answer
from wheelstep.forwarding.link import Dial, Link
from wheelstep.journal import NoRoomError, StoredMessage

log = logging.getLogger(__name__)


class AskOutcome(Enum):
    """How an ask ended. NOT_ASKED: nothing was sent. SILENT: no answer came (in time), so it may have been taken."""

    TAKEN = "taken"
    KNOWN = "known"
    UNSETTLED = "unsettled"
    BAD = "bad"
    FULL = "full"
    AWAY = "away"
    NOT_ASKED = "not asked"
    SILENT = "silent"


class ForwardClient:
    """Asks one other process. Connects on the first ask, and again after the connection has ended. Each ask has a
    number, which its answer repeats: if a client disconnects and submits the same message again, the answer to its
    first ask must not count as one to its second."""

    def __init__(self, dial: Dial, *, peer_name: str, wait_s: float = 0.35, max_open: int = 2_000) -> None:
        """`peer_name` names the other process in errors and logs. An ask times out after `wait_s` seconds (a client
        waits 400 ms for its own answer); at most `max_open` asks are open at once."""
        self._dial_link, self._peer_name, self._wait_s, self._max_open = dial, peer_name, wait_s, max_open
        self._link: Link | None = None
        self._generation = 0  # of the connection; raised by each dial and end, to ignore old ones
        self._dialling: asyncio.Task[None] | None = None
        self._waiting_for_dial = 0  # asks that wait until the connection is there
        self._numbers = itertools.count()
        self._next_number = 0  # all asks so far had lower numbers
        self._asked: dict[int, tuple[RemoteAdmission, asyncio.Future[None], float]] = {}  # by number, oldest first
        self._expiry_timer: asyncio.TimerHandle | None = None
        self._closed = False
        self.invalid_answers: Counter[str] = Counter()  # by reason

    async def _dial(self) -> None:
        self._generation += 1
        generation = self._generation
        link = await self._dial_link(functools.partial(self._on_frame, generation),
                                     functools.partial(self._on_end, generation))
        if link is not None and generation != self._generation:  # the connection ended while it was dialled
            link.close()
        elif link is not None:
            self._link = link

    def ask(self, remote: RemoteAdmission, message: StoredMessage) -> asyncio.Future[None]:
        """Return a future that is done once the owner has taken the message. It fails with `NotAskedError` if nothing
        was sent, `AwayError`, `NoRoomError` or `BadRequestError` if the owner refused, and `UnansweredError` if it may
        have been taken. Creates no task per message, which cuts the cost of a hop by a third."""
        answer: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        if self._closed:
            self._not_asked(remote, answer)
        elif len(self._asked) + self._waiting_for_dial >= self._max_open:
            self._fail(remote, answer, AskOutcome.NOT_ASKED,
                       NotAskedError(f"too many messages are under way to {self._peer_name}"))
        elif self._link is not None:
            self._send(self._link, remote, message, answer)
        else:  # waits for this very dial, whose end must not be mistaken for the next one's
            if self._dialling is None or self._dialling.done():
                self._dialling = asyncio.create_task(self._dial())
            self._waiting_for_dial += 1
            self._dialling.add_done_callback(lambda _: self._send_after_dial(remote, message, answer))
        return answer

    def _send_after_dial(self, remote: RemoteAdmission, message: StoredMessage, answer: asyncio.Future[None]) -> None:
        self._waiting_for_dial -= 1
        if answer.done():
            return
        if self._link is None:
            self._not_asked(remote, answer)
        else:
            self._send(self._link, remote, message, answer)

    def _send(self, link: Link, remote: RemoteAdmission, message: StoredMessage, answer: asyncio.Future[None]) -> None:
        number = next(self._numbers)
        if not link.send(ask_head(number, message), message.body):
            self._not_asked(remote, answer)
            return
        loop = asyncio.get_running_loop()
        self._next_number = number + 1
        remote.link, remote.number = link, number
        self._asked[number] = remote, answer, loop.time() + self._wait_s
        if self._expiry_timer is None:
            self._expiry_timer = loop.call_later(self._wait_s, self._expire)

    def _not_asked(self, remote: RemoteAdmission, answer: asyncio.Future[None]) -> None:
        self._fail(remote, answer, AskOutcome.NOT_ASKED, NotAskedError(f"{self._peer_name} can't be reached"))

    def _fail(self, remote: RemoteAdmission, answer: asyncio.Future[None], outcome: AskOutcome,
              error: Exception) -> None:
        remote.outcome = outcome
        answer.set_exception(error)

    def _expire(self) -> None:
        """Time out the asks that are due. One timer serves all: timeouts are equal, so the oldest ask is due first."""
        loop = asyncio.get_running_loop()
        self._expiry_timer = None
        while self._asked:
            number, (remote, answer, due_s) = next(iter(self._asked.items()))
            if due_s > loop.time() and not answer.done():
                self._expiry_timer = loop.call_at(due_s, self._expire)
                return
            del self._asked[number]
            if not answer.done():
                self.tell("withdraw", remote)
                self._fail(remote, answer, AskOutcome.SILENT, UnansweredError(f"{self._peer_name} did not answer"))

    def tell(self, action: str, remote: RemoteAdmission) -> None:
        """Send `begin` or `withdraw` (`action`), unless the connection has ended, which the owner takes as `begin`."""
        if self._link is not None and self._link is remote.link:
            self._link.send({"do": action, "n": remote.number})

    def _on_frame(self, generation: int, head: dict[str, Any], body: bytes) -> None:
        if generation != self._generation:
            return
        try:
            reply = decode_answer(head)
        except msgspec.ValidationError as error:
            self._reject(f"an invalid answer: {error}")
            return
        if reply.n >= self._next_number:
            self._reject("an answer to an ask that was never sent")
            return
        remote, answer, _ = self._asked.pop(reply.n, (None, None, 0.0))
        if remote is None or answer is None or answer.done():  # the ask has ended
            return
        match reply.kind:
            case "taken" | "known":
                remote.known = reply.kind == "known"
                remote.outcome = AskOutcome(reply.kind)
                answer.set_result(None)
            case "bad":
                self._fail(remote, answer, AskOutcome.BAD, BadRequestError(reply.why))
            case "unsettled":
                remote.known = True
                self._fail(remote, answer, AskOutcome.UNSETTLED, UnansweredError("another client hands it in just now"))
            case "away":
                self._fail(remote, answer, AskOutcome.AWAY, AwayError(reply.why))
            case "full":
                self._fail(remote, answer, AskOutcome.FULL, NoRoomError(reply.why))

    def _reject(self, why: str) -> None:
        """Close the connection of a process that breaks the protocol and ignore its further frames."""
        self.invalid_answers[why.partition(":")[0]] += 1
        log.error("%s sent %s; closing the connection", self._peer_name, why[:200])
        link = self._link
        self._on_end(self._generation)
        if link is not None:
            link.close()

    def _on_end(self, generation: int) -> None:
        if generation != self._generation:
            return
        self._generation += 1
        self._link = None
        asked, self._asked = self._asked, {}
        for remote, answer, _ in asked.values():
            if not answer.done():
                self._fail(remote, answer, AskOutcome.SILENT, UnansweredError(f"{self._peer_name} ended"))

    def close(self) -> None:
        """Close the connection for good. Later asks fail with `NotAskedError`."""
        self._closed = True
        if self._dialling is not None:
            self._dialling.cancel()
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
            self._expiry_timer = None
        if self._link is not None:
            self._link.close()


class RemoteAdmission:
    """Forwards one request's message to its owner (admission.Admission)."""

    ready = True
    syncs = True  # the client is answered after the owner

    def __init__(self, client: ForwardClient) -> None:
        self._client = client
        self._message: StoredMessage | None = None
        self.link: Link | None = None  # on which the owner was asked; None: it was not asked
        self.number = -1
        self.known = False  # the owner has it from another request, which begins or withdraws it
        self.outcome: AskOutcome | None = None  # None: no answer yet, or the client disconnected before it came

    def full(self) -> bool:
        """Return False: the owner applies its own limit."""
        return False

    def serves(self, destination: int) -> bool:
        """Return True: the owner checks the destination."""
        return True

    def is_unconfirmed(self, message: str) -> bool:
        """Return False: the owner answers `unsettled` itself."""
        return False

    def holds(self, message: str) -> bool:
        """Return False: the owner answers `known` itself."""
        return False

    def take(self, message: StoredMessage) -> None:
        """Keep the message for `durable`, which sends it."""
        self._message = message

    def durable(self) -> asyncio.Future[None]:
        """Ask the owner, which journals the message. Fails with the errors of `ForwardClient.ask`."""
        assert self._message is not None
        return self._client.ask(self, self._message)

    def begin(self, name: str) -> None:
        """Tell the owner that the client was answered 202."""
        if not self.known:
            self._client.tell("begin", self)

    def withdraw(self, name: str) -> None:
        """Tell the owner to forget the message."""
        if not self.known:
            self._client.tell("withdraw", self)

    def record_answer(self, message: StoredMessage, status: int) -> None:
        """Do nothing: the owner records the status."""
