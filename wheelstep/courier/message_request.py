"""Turns a client's request into a message, and checks it. No I/O."""

from __future__ import annotations

from collections.abc import Mapping

from wheelstep.courier.admission import BadRequestError
from wheelstep.courier.request import Request
from wheelstep.courier.wall_clock import clock
from wheelstep.journal import StoredMessage

_MAX_DEADLINE_MS = 24 * 3600 * 1000
_UNIQUE_HEADERS = frozenset({"x-request-id", "x-class", "x-deadline-ms", "x-consignee", "idempotency-key", "x-retry"})


def read_message(request: Request, classes: Mapping[str, bool]) -> StoredMessage:
    """Return the message that a request hands in; `classes` tells which ones keep messages of a key in order. Raises
    `BadRequestError`."""
    headers = unique_headers(request)
    name = headers.get("x-request-id", "")
    if not name or len(name) > 128 or not name.isascii() or not name.isprintable() or " " in name:
        raise BadRequestError("X-Request-Id is missing or malformed")
    message_class = headers.get("x-class", "")
    if message_class not in classes:
        raise BadRequestError("X-Class is missing or unknown")
    left_ms = _integer(headers.get("x-deadline-ms", ""), "X-Deadline-Ms")
    if left_ms > _MAX_DEADLINE_MS:
        raise BadRequestError("X-Deadline-Ms is too far off")
    token = token_of(headers)
    arrived_ms = clock.now_ms() if request.arrived_s is None else clock.at_ms(request.arrived_s)
    return StoredMessage(
        id=name, message_class=message_class, destination=_destination(headers.get("x-consignee", "")),
        deadline_ms=arrived_ms + left_ms,
        key=key_of(request.target) if classes[message_class] else None,
        token=token, resubmitted="x-retry" in headers, body=request.body)


def check_content(message: StoredMessage, known: StoredMessage | None) -> None:
    """Raise `BadRequestError` if the message that is known by the same id is another one: a 202 would promise to
    deliver what was never accepted."""
    if known is None:
        return
    same_address = ((message.message_class, message.destination, message.key, message.token)
                    == (known.message_class, known.destination, known.key, known.token))
    if not same_address or known.notice is None and message.body != known.body:
        raise BadRequestError("X-Request-Id is that of another message")


def unique_headers(request: Request) -> Mapping[str, str]:
    """Return the headers of a request. Raises `BadRequestError` if one that this module reads is given twice: of two
    ids, for example, one would be owed an end, and it would be unclear which."""
    if request.repeated_headers and (repeated := request.repeated_headers & _UNIQUE_HEADERS):
        raise BadRequestError(f"{min(repeated)} is given twice")
    return request.headers


def token_of(headers: Mapping[str, str]) -> str | None:
    """Return the client's idempotency key for endpoints that recognise repeats by it. Raises `BadRequestError`."""
    token = headers.get("idempotency-key")
    if token is not None and (not token or len(token) > 128 or not token.isascii()
                              or not token.isprintable() or " " in token):
        raise BadRequestError("Idempotency-Key is malformed")
    return token


def key_of(path: str) -> str | None:
    """Return the last segment of the path, undecoded, since a key may contain an escaped slash; None if empty."""
    return path.partition("?")[0].rpartition("/")[2][:256] or None


def _destination(text: str) -> int:
    for part in text.replace(";", ",").split(","):
        field, _, value = part.strip().partition("=")
        if field == "dest":
            return _integer(value, "X-Consignee")
    raise BadRequestError("X-Consignee names no dest")


def _integer(text: str, header: str) -> int:
    if not text.isascii() or not text.isdigit() or len(text) > 12:
        raise BadRequestError(f"{header} is missing or no whole number")
    return int(text)
