"""Accepts or refuses the messages that clients' requests hand in."""

from __future__ import annotations

import asyncio
import functools
import logging
from collections.abc import Callable, Mapping

from wheelstep.courier.admission import Admission, BadRequestError, ClientApi, UnansweredError
from wheelstep.courier.client_connection import ClientConnection
from wheelstep.courier.client_departure import Departure
from wheelstep.courier.memory_budget import MESSAGE_BYTES, MemoryBudget
from wheelstep.courier.message_request import check_content, read_message
from wheelstep.courier.request import Request
from wheelstep.courier.response import RETRY_AFTER
from wheelstep.journal import NoRoomError, StoredMessage

log = logging.getLogger("wheelstep.courier.client_server")


class MessageIntake:
    """Turns requests into messages, has them journalled, and answers."""

    def __init__(self, find_admission: Callable[[int], Admission], classes: Mapping[str, bool],
                 client_api: ClientApi | None, memory: MemoryBudget) -> None:
        """`find_admission` returns what accepts the messages of a destination. `classes` tells which ones keep messages
        of a key in order. `client_api` interprets requests; None: as the platform's clients mean them."""
        self._find_admission, self._classes, self._client_api = find_admission, classes, client_api
        self._memory = memory
        self.refusing = False  # new messages are refused
        self.find_message: Callable[[str], StoredMessage | None] = lambda name: None  # one that was accepted before
        self.on_unanswered: Callable[[str], None] = functools.partial(log.warning, "no answer to a client: %s")
        self.bad_requests = self.no_room_count = self._left_count = 0  # since the last report

    def report(self) -> None:
        """Log what was refused since the last report."""
        if self.bad_requests:
            log.info("%d bad requests", self.bad_requests)
            self.bad_requests = 0
        if self.no_room_count:
            log.warning("no room for %d messages", self.no_room_count)
            self.no_room_count = 0
        if self._left_count:
            log.info("withdrew %d messages whose clients had left before their answers", self._left_count)
            self._left_count = 0

    def reject(self, request: Request, error: BadRequestError, connection: ClientConnection) -> None:
        """Answer a bad request and end its connection."""
        self.bad_requests += 1
        connection.respond(request, 400, f"{error}\n", keep_alive=False)

    def submit(self, request: Request, connection: ClientConnection) -> None:
        """Accept or refuse the message of a request, now or once it is durable. Raises `BadRequestError` and
        `RefusedError`."""
        if self._client_api is not None:
            message = self._client_api.message(request)
        else:
            message = read_message(request, self._classes)
        check_content(message, self.find_message(message.id))
        admission = self._find_admission(message.destination)
        if admission.holds(message.id):  # handed in again: its first request and the end of a connection crossed
            if admission.is_unconfirmed(message.id):  # guards against a 202 for a message that may still be withdrawn
                self.on_unanswered(f"another client hands in {message.id} at the same time")
                connection.close()
            else:
                connection.respond(request, 202)
        elif not admission.serves(message.destination):
            raise BadRequestError("no such destination")
        elif self.refusing:
            self._refuse(request, message, admission, connection)
        elif admission.full():
            self._refuse(request, message, admission, connection, "holds all it can")
        elif not self._memory.has_room(MESSAGE_BYTES + len(message.body)):
            self._refuse(request, message, admission, connection, "no memory")
        elif not connection.write_closed:  # otherwise the client could not receive the answer
            try:
                admission.take(message)
            except NoRoomError:
                self._refuse_no_room(request, message, admission, connection)
                return
            if admission.syncs:
                connection.awaiting_sync = True
                connection.wait(admission.durable(), functools.partial(
                    self._synced, request, message, admission, connection))
            else:
                self._accept(request, message, admission, connection)

    def _synced(self, request: Request, message: StoredMessage, admission: Admission, connection: ClientConnection,
                work: asyncio.Future[None]) -> None:
        connection.awaiting_sync = False
        error = None if work.cancelled() else work.exception()
        if not work.cancelled() and error is None:
            self._accept(request, message, admission, connection)
            return
        admission.withdraw(message.id)  # also where its client has disconnected: no client was told that it is accepted
        if isinstance(error, NoRoomError):
            self._refuse_no_room(request, message, admission, connection)
        elif isinstance(error, BadRequestError):
            self.reject(request, error, connection)
        elif isinstance(error, UnansweredError):
            self.on_unanswered(str(error))
            connection.close()
        elif error is not None:
            raise error
        elif not connection.write_closed:  # the time of the connection, or of the courier, is up
            self._refuse(request, message, admission, connection)

    def _accept(self, request: Request, message: StoredMessage, admission: Admission,
                connection: ClientConnection) -> None:
        """Answer 202, and begin the message unless its client can't receive that."""
        headers = self._client_api.response_headers(message) if self._client_api is not None else ()
        departure = Departure.of(connection.transport)
        if not connection.respond(request, 202, "", headers, hold_open=departure is not None):
            admission.withdraw(message.id)
        elif departure is not None and departure.is_shown():
            self._left_count += 1
            admission.withdraw(message.id)
        else:
            self._begin(message, admission)

    def _begin(self, message: StoredMessage, admission: Admission) -> None:
        admission.begin(message.id)
        admission.record_answer(message, 202)
        if self._client_api is not None:
            self._client_api.taken(message)

    def _refuse_no_room(self, request: Request, message: StoredMessage, admission: Admission,
                        connection: ClientConnection) -> None:
        self.no_room_count += 1
        self._refuse(request, message, admission, connection, "no room")

    def _refuse(self, request: Request, message: StoredMessage, admission: Admission, connection: ClientConnection,
                why: str = "not now") -> None:
        admission.record_answer(message, 503)
        connection.respond(request, 503, f"{why}\n", RETRY_AFTER)
