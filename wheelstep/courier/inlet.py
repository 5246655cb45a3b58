"""The clients' side: hands messages in, and tells whether the courier is ready."""

from __future__ import annotations

import logging
import time
from collections.abc import Mapping
from typing import Protocol

from aiohttp import web

from wheelstep.courier.config import Address
from wheelstep.courier.journal import NoRoomError, Stored

MOST_BODY = 64 * 1024
_MOST_DEADLINE_MS = 24 * 3600 * 1000
_COME_BACK = {"Retry-After": "1"}

log = logging.getLogger(__name__)


class Desk(Protocol):
    """Who takes messages on."""

    ready: bool

    def full(self) -> bool:
        """Is the hold limit reached?"""

    def take(self, message: Stored) -> None:
        """Write it down, or raise `NoRoomError`."""

    def holds(self, message: str) -> bool:
        """Was it taken on before, and is its end still owed?"""

    def begin(self, name: str) -> None:
        """Its client knows that it was taken on: act on it."""

    def withdraw(self, name: str) -> None:
        """Its client went before the answer: forget it."""


class BadRequestError(Exception):
    """What is wrong with a request, for its client."""


def read_message(request: web.Request, body: bytes, classes: Mapping[str, bool]) -> Stored:
    """The message that a request hands in; `classes` tells which ones keep the order of their keys."""
    headers = request.headers
    name = headers.get("X-Request-Id", "")
    if not name or len(name) > 128 or not name.isascii() or not name.isprintable() or " " in name:
        raise BadRequestError("X-Request-Id is missing or malformed")
    message_class = headers.get("X-Class", "")
    if message_class not in classes:
        raise BadRequestError("X-Class is missing or unknown")
    left_ms = _whole(headers.get("X-Deadline-Ms", ""), "X-Deadline-Ms")
    if left_ms > _MOST_DEADLINE_MS:
        raise BadRequestError("X-Deadline-Ms is too far off")
    token = headers.get("Idempotency-Key")
    if token is not None and (not token or len(token) > 128 or not token.isascii()
                              or not token.isprintable() or " " in token):
        raise BadRequestError("Idempotency-Key is malformed")
    return Stored(
        id=name, message_class=message_class, destination=_destination(headers.get("X-Consignee", "")),
        deadline_ms=int(time.time() * 1000) + left_ms,
        key=_key(request.raw_path) if classes[message_class] else None,
        token=token, resubmitted="X-Retry" in headers, body=body)


def _key(path: str) -> str | None:
    """The last part of the path, as it was sent: a key may hold an escaped slash."""
    return path.partition("?")[0].rpartition("/")[2][:256] or None


def _destination(text: str) -> int:
    for part in text.replace(";", ",").split(","):
        field, _, value = part.strip().partition("=")
        if field == "dest":
            return _whole(value, "X-Consignee")
    raise BadRequestError("X-Consignee names no dest")


def _whole(text: str, what: str) -> int:
    if not text.isascii() or not text.isdigit() or len(text) > 12:
        raise BadRequestError(f"{what} is missing or no whole number")
    return int(text)


class Inlet:
    """The server for clients."""

    def __init__(self, desk: Desk, classes: Mapping[str, bool]) -> None:
        self._desk, self._classes = desk, classes
        self.closing = False  # answers end their connections from now on
        app = web.Application(client_max_size=MOST_BODY)
        app.router.add_get("/healthz", self._health)
        app.router.add_post("/{path:.*}", self._hand_in)
        self._runner = web.AppRunner(app, access_log=None, handle_signals=False, keepalive_timeout=3600.0,
                                     shutdown_timeout=0.5)

    async def start(self, listen: Address) -> int:
        """Listen, and return the port."""
        await self._runner.setup()
        site = web.TCPSite(self._runner, listen.host, listen.port, backlog=256, reuse_address=True)
        await site.start()
        return int(self._runner.addresses[0][1])

    async def stop(self) -> None:
        """Answer what is under way and end the connections."""
        await self._runner.cleanup()

    async def _health(self, request: web.Request) -> web.Response:
        return web.Response(status=200 if self._desk.ready else 503)

    async def _hand_in(self, request: web.Request) -> web.StreamResponse:
        try:
            body = await request.read()
            message = read_message(request, body, self._classes)
        except (BadRequestError, web.HTTPRequestEntityTooLarge) as error:
            text = "body is too large" if isinstance(error, web.HTTPException) else str(error)
            log.info("bad request for %.80r: %s", request.path, text)
            return web.Response(status=400, text=text + "\n")
        if self._desk.holds(message.id):  # handed in once more after a connection that crossed
            return web.Response(status=202)
        if self._desk.full():
            return web.Response(status=503, text="holds all it can\n", headers=_COME_BACK)
        if request.transport is None or request.transport.is_closing():
            return web.Response(status=503)  # nobody hears it
        try:
            self._desk.take(message)
        except NoRoomError:
            log.warning("no room in the journal for %d bytes", len(body))
            return web.Response(status=503, text="no room\n", headers=_COME_BACK)
        answer = web.Response(status=202)
        if self.closing:
            answer.force_close()
        try:
            await answer.prepare(request)
            await answer.write_eof()
        except OSError:
            self._desk.withdraw(message.id)
            return answer
        self._desk.begin(message.id)
        return answer
