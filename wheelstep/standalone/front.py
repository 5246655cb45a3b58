"""Client API of a standalone courier: authentication, routing, admission and queries of outcomes.

    POST /any/path/KEY        submits a message: 202, or 200 with its outcome if it has ended already
    GET /messages/ID?wait=S   its outcome: 200 with it, 202 while there is none, 404 if the message is unknown

Implements `courier.admission.ClientApi` for the daemon's client server; holds no sockets.
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
from wheelstep.standalone.ends import OutcomeStore
from wheelstep.standalone.model import Standalone, destination_number
from wheelstep.standalone.routes import RouteQuery, Routes, Tenants

_SEPARATOR = "~"  # between the tenant's name and the client's name for a message; neither contains it
_MIRROR_SUFFIX = "~mirror"
_MAX_WAIT_S = 60.0
_MAX_PENDING_COPIES = 1_000  # of messages whose acceptance is not confirmed yet
_JSON = (("Content-Type", "application/json"),)


def tenant_of(name: str) -> str:
    """Return the tenant part of a message name; empty for the tenant with plain names."""
    return name.rpartition(_SEPARATOR)[0]


def mirror_name(name: str) -> str:
    """Return the name of a message's mirror copy. It has two separators, which no client's message has."""
    return name + (_MIRROR_SUFFIX if _SEPARATOR in name else _SEPARATOR + _MIRROR_SUFFIX)


def is_mirror_copy(name: str) -> bool:
    """Return whether the message is a mirror copy, whose outcome is reported to nobody."""
    return name.count(_SEPARATOR) > 1


def _client_name(name: str) -> str:
    """Return the name that the client gave the message."""
    return name.rpartition(_SEPARATOR)[2]


@dataclass(frozen=True, slots=True)
class Policy:
    """The client-facing settings of a file, computed once per load of the file or its endpoints."""

    file_config: Standalone
    routes: Routes
    serving: frozenset[str]  # destinations with an endpoint that takes new messages

    @classmethod
    def of(cls, file_config: Standalone) -> Policy:
        """Create the policy of a file whose endpoints are already merged."""
        return cls(file_config, Routes(file_config), frozenset(
            name for name, part in file_config.destinations.items() if set(part.endpoints) - set(part.drain)))


class StandaloneClientApi:
    """Handles the requests of clients by the operator's file."""

    def __init__(self, policy: Policy, core: Core, now_s: Callable[[], float] = time.monotonic) -> None:
        self._core, self._now_s = core, now_s
        self.outcomes: OutcomeStore | None = None  # set before the server starts
        self.tenants = Tenants(policy.file_config.tenants)
        self._copies: dict[str, StoredMessage] = {}  # by the name of the original message
        self.use(policy)

    def use(self, policy: Policy) -> None:
        """Apply a new policy. Messages already held keep the destination that they were accepted for."""
        self._file_config, self._routes, self._serving = policy.file_config, policy.routes, policy.serving
        self.tenants.update(policy.file_config.tenants)

    # --- courier.admission.ClientApi ---

    def message(self, request: Request) -> StoredMessage:
        """Return the message of a request. Raises `BadRequestError` or `RefusedError`; the latter also, with status
        200, for a message that has already ended."""
        tenant = self._tenant(request)
        headers = unique_headers(request)
        name = self._name(tenant, headers.get("x-request-id", ""))
        if (outcome := self._outcome_store.get(name)) is not None:
            raise RefusedError(200, json.dumps(outcome.row(_client_name(name))) + "\n", _JSON)
        message_class = headers.get("x-class", "") or next(iter(self._file_config.classes))
        part = self._file_config.classes.get(message_class)
        if part is None:
            raise BadRequestError(f"X-Class is unknown; expected one of {', '.join(self._file_config.classes)}")
        left_ms = part.deadline // 1000
        if "x-deadline-ms" in headers:
            text = headers["x-deadline-ms"]
            if not (text.isascii() and text.isdigit() and len(text) <= 12 and int(text)):
                raise BadRequestError("X-Deadline-Ms is no whole number above 0")
            left_ms = min(left_ms, int(text))
        token = token_of(headers)
        if token is None and part.effect == "keyed":
            token = name  # a repeated message has the same name, so partners can recognize it
        path = request.target.partition("?")[0]
        key = key_of(request.target)
        target = self._routes.target(RouteQuery(tenant, message_class, path, key, headers), name,
                                     self._serving.__contains__)
        if target is None:
            raise RefusedError(404, "no route takes this message\n")
        message = StoredMessage(
            id=name, message_class=message_class, destination=destination_number(target.destination),
            deadline_ms=int(time.time() * 1000) + left_ms, key=f"{tenant}/{key}" if part.ordered and key else None,
            token=token, resubmitted="x-retry" in headers, body=request.body)
        if self._core.holds(name):
            return message
        if (wait_s := self.tenants.admission_wait_s(
                tenant, tenant_of(name), self._file_config.limits.held, self._now_s())) > 0:
            raise RefusedError(429, "more than your share\n", (("Retry-After", str(max(1, math.ceil(wait_s)))),))
        self._copies.pop(name, None)  # left by an earlier request that was not accepted
        if target.mirror is not None:
            self._copies[name] = replace(message, id=mirror_name(name), key=None,
                                         destination=destination_number(target.mirror))
            if len(self._copies) > _MAX_PENDING_COPIES:
                del self._copies[next(iter(self._copies))]
        return message

    def other(self, request: Request, connection: Connection) -> None:
        """Answer a request that is neither a message nor a health check. Raises as `message` does."""
        path, _, query = request.target.partition("?")
        if request.method not in ("GET", "HEAD") or not path.startswith("/messages/"):
            raise BadRequestError("no such path; expected /healthz, /messages/ID, or a message by POST")
        tenant = self._tenant(request)
        name = self._name(tenant, path.removeprefix("/messages/"))
        try:
            wait_s = min(_MAX_WAIT_S, max(0.0, float(parse_qs(query).get("wait", ["0"])[0])))
        except ValueError:
            raise BadRequestError("wait is no number of seconds") from None
        if self._outcome_store.get(name) is None and wait_s > 0 and self._core.holds(name):
            connection.wait(self._outcome_store.wait(name, wait_s),
                            lambda _: self._respond_outcome(request, name, connection), held=True)
        else:
            self._respond_outcome(request, name, connection)

    def response_headers(self, message: StoredMessage) -> tuple[tuple[str, str], ...]:
        """Return no extra headers for a 202."""
        return ()

    def taken(self, message: StoredMessage) -> None:
        """Count a message whose 202 was written, and accept its mirror copy if there is room."""
        self.tenants.hold(tenant_of(message.id))
        if (copy := self._copies.pop(message.id, None)) is not None and not self._core.full():
            try:
                self._core.take(copy)
            except NoRoomError:
                return  # a copy is optional: the message itself is not affected
            self._core.begin(copy.id)

    # --- inside ---

    @property
    def _outcome_store(self) -> OutcomeStore:
        assert self.outcomes is not None
        return self.outcomes

    def _tenant(self, request: Request) -> str:
        if "authorization" in request.repeated_headers:
            raise BadRequestError("authorization is given twice")
        if "authorization" in request.headers:
            scheme, _, token = request.headers["authorization"].partition(" ")
            tenant = self.tenants.by_token(token.strip()) if scheme.lower() == "bearer" else None
        else:
            tenant = self.tenants.anonymous()
        if tenant is None:
            raise RefusedError(401, "no known token; expected `Authorization: Bearer TOKEN`\n",
                               (("WWW-Authenticate", "Bearer"),))
        return tenant

    def _respond_outcome(self, request: Request, name: str, connection: Connection) -> None:
        client_name = _client_name(name)
        if (outcome := self._outcome_store.get(name)) is not None:
            connection.respond(request, 200, json.dumps(outcome.row(client_name)) + "\n", _JSON)
        elif self._core.holds(name):
            connection.respond(request, 202, json.dumps({"message": client_name}) + "\n", _JSON)
        else:  # also for another tenant's message, so that its existence is not disclosed
            connection.respond(request, 404, "no such message\n")

    def _name(self, tenant: str, client_name: str) -> str:
        if (not 0 < len(client_name) <= 80 or not client_name.isascii() or not client_name.isprintable()
                or set(client_name) & set(" ~/?#%")):
            raise BadRequestError("X-Request-Id is missing or malformed; expected 1 to 80 visible ASCII characters "
                                  "without / ? # % ~")
        return client_name if self._file_config.tenants[tenant].plain_names else f"{tenant}{_SEPARATOR}{client_name}"
