"""Clients of a standalone courier: who they are, where their messages go, and the ends that they ask for.

    POST /any/path/KEY        hands a message in: 202, or 200 with its end if it has one
    GET /messages/ID?wait=S   its end: 200 with it, 202 while there is none, 404 if nobody knows it

Sits before the daemon's own client server (`courier.admission.ClientApi`); holds no sockets.
"""

from __future__ import annotations

import json
import math
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from urllib.parse import parse_qs

from wheelstep.courier.admission import BadRequestError, Connection, RefusedError
from wheelstep.courier.core import Core
from wheelstep.courier.message_request import key_of, token_of, unique_headers
from wheelstep.courier.request import Request
from wheelstep.journal import NoRoomError, StoredMessage
from wheelstep.standalone.ends import Ends
from wheelstep.standalone.model import Standalone, destination_number
from wheelstep.standalone.routes import Asked, Routes, Tenants

_BETWEEN = "~"  # between a tenant's name and its own name for a message; no tenant's name holds one
_MIRROR = "~mirror"
_MOST_WAIT_S = 60.0
_MOST_COPIES = 1_000  # made for messages that are being taken on just now
_JSON = (("Content-Type", "application/json"),)


def tenant_of(name: str) -> str:
    """Whose message it is; empty for the tenant with plain names."""
    return name.rpartition(_BETWEEN)[0]


def mirrored(name: str) -> bool:
    """Is it a copy, whose end nobody is told?"""
    return name.endswith(_MIRROR)


def _own(name: str) -> str:
    """What its client calls it."""
    return name.rpartition(_BETWEEN)[2]


@dataclass(frozen=True, slots=True)
class Policy:
    """What a file means for clients, worked out once."""

    found: Standalone
    routes: Routes
    open: frozenset[str]  # destinations with an endpoint that takes something new

    @classmethod
    def of(cls, found: Standalone) -> Policy:
        """Of a file with the endpoints that count."""
        return cls(found, Routes(found), frozenset(
            name for name, part in found.destinations.items() if set(part.endpoints) - set(part.drain)))


class Front:
    """What the client server asks of an operator's own file."""

    def __init__(self, policy: Policy, core: Core, now_s: Callable[[], float] = time.monotonic) -> None:
        self._core, self._now_s = core, now_s
        self.ends: Ends | None = None  # set before anything is served
        self.tenants = Tenants(policy.found.tenants)
        self._copies: dict[str, StoredMessage] = {}  # by the name of what they copy
        self.use(policy)

    def use(self, policy: Policy) -> None:
        """Another file from now on. What is held keeps the destination that it was taken on for."""
        self._found, self._routes, self._open = policy.found, policy.routes, policy.open
        self.tenants.renew(policy.found.tenants)

    # --- courier.admission.ClientApi ---

    def message(self, request: Request) -> StoredMessage:
        """The message that a request hands in. Raises `BadRequestError` and `RefusedError`, also with the end of a
        message that has it already."""
        tenant = self._tenant(request)
        given = unique_headers(request)
        name = self._name(tenant, given.get("x-request-id", ""))
        if (end := self._kept.get(name)) is not None:
            raise RefusedError(200, json.dumps(end.row(_own(name))) + "\n", _JSON)
        message_class = given.get("x-class", "") or next(iter(self._found.classes))
        part = self._found.classes.get(message_class)
        if part is None:
            raise BadRequestError(f"X-Class is unknown; expected one of {', '.join(self._found.classes)}")
        left_ms = part.deadline // 1000
        if "x-deadline-ms" in given:
            text = given["x-deadline-ms"]
            if not (text.isascii() and text.isdigit() and len(text) <= 12 and int(text)):
                raise BadRequestError("X-Deadline-Ms is no whole number above 0")
            left_ms = min(left_ms, int(text))
        token = token_of(given)
        if token is None and part.effect == "keyed":
            token = name  # the same message has the same name, so partners know a repeat by it
        path = request.target.partition("?")[0]
        key = key_of(request.target)
        way = self._routes.way(Asked(tenant, message_class, path, key, given), name, self._open.__contains__)
        if way is None:
            raise RefusedError(404, "no route takes this message\n")
        found = StoredMessage(
            id=name, message_class=message_class, destination=destination_number(way.destination),
            deadline_ms=int(time.time() * 1000) + left_ms, key=f"{tenant}/{key}" if part.ordered and key else None,
            token=token, resubmitted="x-retry" in given, body=request.body)
        if self._core.holds(name):
            return found
        if (wait_s := self.tenants.wait_s(tenant, tenant_of(name), self._found.limits.held, self._now_s())) > 0:
            raise RefusedError(429, "more than your share\n", (("Retry-After", str(max(1, math.ceil(wait_s)))),))
        self._copies.pop(name, None)  # of an earlier try that was turned away
        if way.mirror is not None:
            self._copies[name] = replace(found, id=name + _MIRROR, key=None,
                                         destination=destination_number(way.mirror))
            if len(self._copies) > _MOST_COPIES:
                del self._copies[next(iter(self._copies))]
        return found

    def other(self, request: Request, connection: Connection) -> None:
        """A request that hands nothing in and does not ask for health."""
        path, _, query = request.target.partition("?")
        if request.method not in ("GET", "HEAD") or not path.startswith("/messages/"):
            raise BadRequestError("no such path; expected /healthz, /messages/ID, or a message by POST")
        tenant = self._tenant(request)
        name = self._name(tenant, path.removeprefix("/messages/"))
        try:
            wait_s = min(_MOST_WAIT_S, max(0.0, float(parse_qs(query).get("wait", ["0"])[0])))
        except ValueError:
            raise BadRequestError("wait is no number of seconds") from None
        if self._kept.get(name) is None and wait_s > 0 and self._core.holds(name):
            connection.wait(self._kept.wait(name, wait_s), lambda _: self._say_end(request, name, connection),
                            held=True)
        else:
            self._say_end(request, name, connection)

    def response_headers(self, message: StoredMessage) -> tuple[tuple[str, str], ...]:
        """Nothing goes with a 202."""
        return ()

    def taken(self, message: StoredMessage) -> None:
        """Its client knows that it was taken on."""
        self.tenants.took(tenant_of(message.id))
        if (copy := self._copies.pop(message.id, None)) is not None and not self._core.full():
            try:
                self._core.take(copy)
            except NoRoomError:
                return  # the copy is what can be done without
            self._core.begin(copy.id)

    # --- inside ---

    @property
    def _kept(self) -> Ends:
        assert self.ends is not None
        return self.ends

    def _tenant(self, request: Request) -> str:
        if "authorization" in request.repeated_headers:
            raise BadRequestError("authorization is given twice")
        if "authorization" in request.headers:
            scheme, _, token = request.headers["authorization"].partition(" ")
            tenant = self.tenants.named(token.strip()) if scheme.lower() == "bearer" else None
        else:
            tenant = self.tenants.open_to_all()
        if tenant is None:
            raise RefusedError(401, "no known token; expected `Authorization: Bearer TOKEN`\n",
                               (("WWW-Authenticate", "Bearer"),))
        return tenant

    def _say_end(self, request: Request, name: str, connection: Connection) -> None:
        own = _own(name)
        if (end := self._kept.get(name)) is not None:
            connection.respond(request, 200, json.dumps(end.row(own)) + "\n", _JSON)
        elif self._core.holds(name):
            connection.respond(request, 202, json.dumps({"message": own}) + "\n", _JSON)
        else:  # also another tenant's: nobody learns that it exists
            connection.respond(request, 404, "no such message\n")

    def _name(self, tenant: str, own: str) -> str:
        if not 0 < len(own) <= 80 or not own.isascii() or not own.isprintable() or set(own) & set(" ~/?#%"):
            raise BadRequestError("X-Request-Id is missing or malformed; expected 1 to 80 visible ASCII characters "
                                  "without / ? # % ~")
        return own if self._found.tenants[tenant].plain_names else f"{tenant}{_BETWEEN}{own}"
