"""What a client's request hands in: the message, checked. No I/O."""

from __future__ import annotations

from collections.abc import Mapping

from wheelstep.courier.desk import BadRequestError
from wheelstep.courier.request import Request
from wheelstep.courier.wall_clock import clock
from wheelstep.journal import Stored

_MOST_DEADLINE_MS = 24 * 3600 * 1000
_ONCE = frozenset({"x-request-id", "x-class", "x-deadline-ms", "x-consignee", "idempotency-key", "x-retry"})


def read_message(request: Request, classes: Mapping[str, bool]) -> Stored:
    """The message that a request hands in; `classes` tells which ones keep the order of their keys."""
    given = given_once(request)
    name = given.get("x-request-id", "")
    if not name or len(name) > 128 or not name.isascii() or not name.isprintable() or " " in name:
        raise BadRequestError("X-Request-Id is missing or malformed")
    message_class = given.get("x-class", "")
    if message_class not in classes:
        raise BadRequestError("X-Class is missing or unknown")
    left_ms = _whole(given.get("x-deadline-ms", ""), "X-Deadline-Ms")
    if left_ms > _MOST_DEADLINE_MS:
        raise BadRequestError("X-Deadline-Ms is too far off")
    token = token_of(given)
    return Stored(
        id=name, message_class=message_class, destination=_destination(given.get("x-consignee", "")),
        deadline_ms=clock.now_ms() + left_ms,
        key=key_of(request.target) if classes[message_class] else None,
        token=token, resubmitted="x-retry" in given, body=request.body)


def given_once(request: Request) -> Mapping[str, str]:
    """Its headers, none of ours twice. Guards against owing one of two ids an end, and nobody knowing which."""
    if request.twice and (twice := request.twice & _ONCE):
        raise BadRequestError(f"{min(twice)} is given twice")
    return request.once


def token_of(given: Mapping[str, str]) -> str | None:
    """The client's own key for partners that know repeats by it."""
    token = given.get("idempotency-key")
    if token is not None and (not token or len(token) > 128 or not token.isascii()
                              or not token.isprintable() or " " in token):
        raise BadRequestError("Idempotency-Key is malformed")
    return token


def key_of(path: str) -> str | None:
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
