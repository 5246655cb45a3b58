"""One connection of a courier to an endpoint: parses calls, answers them and records them in the history."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from wheelstep.rehearsal.history import Call, Fate, How, Probe, Strange
from wheelstep.rehearsal.standins.bulk import parse_bulk
from wheelstep.rehearsal.standins.ledger import Submission
from wheelstep.rehearsal.standins.model import QueuedCall
from wheelstep.rehearsal.standins.wire import Request, Server

if TYPE_CHECKING:  # `partner` imports this module
    from wheelstep.rehearsal.standins.partner import Endpoint

_MALFORMED_RESPONSES = (b"HTTP/1.1 200", b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
                        b"\x16\x03\x01garbage\r\n\r\n", b"HTTP/1.1 500 Error\r\nContent-Length: nine\r\n\r\n")
_COPY_DELAYS_S = (0.0, 0.002, 0.005, 0.01, 0.05, 0.15)  # from an answer to its second copy


@dataclass(slots=True)
class _ActiveCall:
    """The call in progress on a connection."""

    request: Request
    messages: tuple[str, ...]
    ran: tuple[bool, ...]
    queued: QueuedCall | None = None


class Connection(Server):
    """One connection of a courier to an endpoint. It carries one call at a time."""

    def __init__(self, endpoint: Endpoint, courier: str) -> None:
        super().__init__()
        self._endpoint, self._courier = endpoint, courier
        self._pool, self._model = endpoint.pool, endpoint.model
        self._active_call: _ActiveCall | None = None
        self._idle_timer: asyncio.TimerHandle | None = None
        self._silent = False

    def on_connect(self) -> None:
        """Register the connection, or reset it if there are too many or a fault says so."""
        limit = self._endpoint.partner.connections
        self._endpoint.connections.add(self)
        self._pool.connections[self._courier] += 1
        if not self._pool.allows_connection(self._courier, self._endpoint.name):
            self.abort()
        elif limit and len(self._endpoint.connections) > limit:
            self.abort()  # the endpoint's connection limit
        elif self._reset_early():
            self.abort()
        else:
            self._start_idle_timer()

    def _reset_early(self) -> bool:
        faults = self._model.active_faults
        return "reset" in faults.shares and faults.reset_before and self._model.occurs(faults.shares["reset"])

    def silence(self) -> None:
        """Ignore all data and write nothing from now on.

        A close by the courier is still noticed at once, so that its call ends then and not at the end of the fault.
        """
        self._silent = True

    def data_received(self, data: bytes) -> None:
        """Parse received data, unless the connection is silent or is reset before its first byte."""
        if self._silent:
            return
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None
        if self._active_call is None and self.first_byte_at is None and self._reset_early():
            self.abort()
            return
        super().data_received(data)

    def on_disconnect(self) -> None:
        """Cancel the call in progress, if any, and record it as closed."""
        self._endpoint.connections.discard(self)
        self._pool.connections[self._courier] -= 1
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        if self._active_call is not None:
            if self._active_call.queued is not None:
                self._model.cancel(self._active_call.queued)
            self._record_call(How.CLOSED)

    def _start_idle_timer(self) -> None:
        idle_us = self._pool.plan.settings["caps"]["conn_idle_us"]
        self._idle_timer = asyncio.get_running_loop().call_later(idle_us / 1e6, self._close_idle)

    def _close_idle(self) -> None:
        if self.transport is not None and self._active_call is None:
            self.transport.close()

    # --- requests ---

    def on_request(self, request: Request) -> None:
        """Answer a probe, or reject a call or queue it at the endpoint."""
        if self._active_call is not None:  # a connection carries one call at a time
            self._report_violation("a second call on a connection before the first one's answer")
            self.abort()
            return
        if request.method == "GET":
            self._answer_probe(request)
            return
        messages = self._parse_messages(request)
        if messages is None:
            self.answer(400)
            return
        active = self._active_call = _ActiveCall(request, messages, (False,) * len(messages))
        faults = self._model.active_faults
        if "hang" in faults.shares or "silent" in faults.shares:
            self._model.add_load(1.0)
            return
        rejection = self._model.rejection(len(messages))
        if rejection is not None:
            status, wait_us = rejection
            headers = {"Retry-After": f"{wait_us / 1e6:.3f}"} if wait_us else {}
            self._reply(status, headers, b"", Fate.REFUSED, wait_us)
            return
        work = max(self._submission(name).arrival.work for name in messages)
        active.queued = self._model.serve(work, len(messages), lambda: self._finish_call(active))

    def _answer_probe(self, request: Request) -> None:
        faults = self._model.active_faults
        self._model.add_load(1.0)
        fine = not ({"shut", "hang", "silent"} & set(faults.shares) or self._model.collapsed or self._model.draining)
        if "fail" in faults.shares and self._model.occurs(faults.shares["fail"]):
            fine = False
        self._pool.history.add(Probe(self._courier, self._endpoint.name, self._endpoint.partner.destination,
                                     self._pool.to_us(request.last_byte_at), fine))
        if {"hang", "silent"} & set(faults.shares):
            return  # a probe is never answered then
        load_report = self._model.load_report()
        self._answer(200 if fine else 503, {"X-Load": load_report} if load_report else {})
        self._start_idle_timer()

    def _parse_messages(self, request: Request) -> tuple[str, ...] | None:
        """Return the ids of a call's messages; None if the call is malformed. Records violations of the protocol."""
        if request.target == "/inbox":
            rows = [(request.headers.get("x-request-id", ""), request.headers.get("idempotency-key"), request.body)]
        elif request.target == "/inbox/bulk":
            try:
                rows = parse_bulk(request.body)
            except ValueError as error:
                self._report_violation(f"a malformed bulk call: {error}")
                return None
            limit = self._pool.plan.settings["specifics"]["per_call"][self._endpoint.partner.kind]
            if not rows or len(rows) > limit:
                self._report_violation(f"a bulk call of {len(rows)} messages, {limit} at most")
                return None
        else:
            self._report_violation(f"a call to {request.target}")
            return None
        for name, token, body in rows:
            submission = self._pool.ledger.submissions.get(name)
            if submission is None:
                self._report_violation(f"message {name!r}, which no client submitted")
                return None
            if submission.arrival.destination != self._endpoint.partner.destination:
                self._report_violation(f"message {name} for destination {submission.arrival.destination}")
            if body != submission.body:
                self._report_violation(f"message {name} with a changed body")
            if token != submission.arrival.token:
                self._report_violation(f"message {name} with a changed idempotency key")
        names = tuple(name for name, _, _ in rows)
        if len(set(names)) < len(names):
            self._report_violation("a bulk call that names a message twice")
            return None
        return names

    def _submission(self, name: str) -> Submission:
        return self._pool.ledger.submissions[name]

    def _report_violation(self, what: str) -> None:
        self._pool.history.add(Strange(self._pool.now_us(), self._courier, self._endpoint.name, what))

    def _finish_call(self, active: _ActiveCall) -> None:
        """Record that the call ran, and answer it as the active faults say."""
        faults = self._model.active_faults
        fails = "fail" in faults.shares and self._model.occurs(faults.shares["fail"])
        active.ran = (True,) * len(active.messages)
        for name in active.messages:
            self._pool.ledger.record_execution(name, self._endpoint.partner, self._pool.now_us(),
                                               self._key_life(name))
        if self._active_call is not active or self._silent:
            return  # cancelled while it ran, or the connection is silent
        if "reset" in faults.shares and not faults.reset_before and self._model.occurs(faults.shares["reset"]):
            self._record_call(How.RESET)
            self.abort()
        elif "spoil" in faults.shares and self._model.occurs(faults.shares["spoil"]):
            malformed = _MALFORMED_RESPONSES[len(self._pool.history.facts) % len(_MALFORMED_RESPONSES)]
            delivered = malformed.startswith(b"HTTP/1.1 200") and len(active.messages) == 1
            self._record_call(How.SPOILT, Fate.DELIVERED if delivered else Fate.UNTOLD)
            self.write(malformed)
            if self.transport is not None:
                self.transport.close()
        elif fails:
            self._reply(500, {}, b"", Fate.FAILED)
        else:
            body = b"".join(f"{name} delivered\r\n".encode() for name in active.messages)
            self._reply(200, {}, body if active.request.target != "/inbox" else b"", Fate.DELIVERED)

    def _key_life(self, name: str) -> int:
        return self._pool.plan.figures.classes[self._submission(name).arrival.message_class].key_life_us

    def _reply(self, status: int, headers: dict[str, str], body: bytes, fate: Fate, wait_us: int = 0) -> None:
        if self._silent:
            return
        if load_report := self._model.load_report():
            headers["X-Load"] = load_report
        self._record_call(How.ANSWERED, fate, wait_us)
        self._answer(status, headers, body)
        self._start_idle_timer()

    def _answer(self, status: int, headers: dict[str, str], body: bytes = b"") -> None:
        """Send an answer, and under a fault `copy` a second copy of it, also into a call that is open by then."""
        self.answer(status, headers, body)
        faults = self._model.active_faults
        if "copy" in faults.shares and self._model.occurs(faults.shares["copy"]):
            delay_s = _COPY_DELAYS_S[len(self._pool.history.facts) % len(_COPY_DELAYS_S)]
            asyncio.get_running_loop().call_later(delay_s, self.answer, status, headers, body)

    def _record_call(self, how: How, fate: Fate = Fate.UNTOLD, wait_us: int = 0) -> None:
        active, self._active_call = self._active_call, None
        if active is None:
            return
        request = active.request
        self._pool.history.add(Call(
            self._courier, self._endpoint.name, self._endpoint.partner.destination,
            self._pool.to_us(request.first_byte_at), self._pool.to_us(request.last_byte_at), active.messages, how,
            self._pool.now_us(), (fate,) * len(active.messages), active.ran, wait_us))

    def record_open_call(self) -> None:
        """Record the call in progress, if any, as open at the rehearsal's end."""
        self._record_call(How.OPEN)
