"""One connection of a courier to an endpoint: how a call is read, what is answered, and what is noted of it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from wheelstep.rehearsal.history import Call, Fate, How, Probe, Strange
from wheelstep.rehearsal.standins.ledger import Known
from wheelstep.rehearsal.standins.model import Job
from wheelstep.rehearsal.standins.wire import Request, Server

if TYPE_CHECKING:  # an endpoint makes its connections
    from wheelstep.rehearsal.standins.partner import Endpoint

_SPOILT = (b"HTTP/1.1 200", b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", b"\x16\x03\x01garbage\r\n\r\n",
           b"HTTP/1.1 500 Error\r\nContent-Length: nine\r\n\r\n")


@dataclass(slots=True)
class _Current:
    """The call that a connection carries."""

    request: Request
    messages: tuple[str, ...]
    ran: tuple[bool, ...]
    job: Job | None = None


class Connection(Server):
    """One connection of a courier to an endpoint."""

    def __init__(self, endpoint: Endpoint, courier: str) -> None:
        super().__init__()
        self._endpoint, self._courier = endpoint, courier
        self._stage, self._desk = endpoint.stage, endpoint.desk
        self._current: _Current | None = None
        self._idle: asyncio.TimerHandle | None = None
        self._muted = False

    def connected(self) -> None:
        most = self._endpoint.partner.connections
        self._endpoint.connections.add(self)
        self._stage.connections[self._courier] += 1
        if not self._stage.admits(self._courier, self._endpoint.name):
            self.abort()
        elif most and len(self._endpoint.connections) > most:
            self.abort()  # its table is full
        elif self._resets_before():
            self.abort()
        else:
            self._rest()

    def _resets_before(self) -> bool:
        mode = self._desk.mode
        return "reset" in mode.faults and mode.reset_before and self._desk.chance(mode.faults["reset"])

    def mute(self) -> None:
        """From now on nothing that comes counts, and nothing is written. That the courier closes is still seen when
        it does: a call ends then, not when the machine is back."""
        self._muted = True

    def data_received(self, data: bytes) -> None:
        if self._muted:
            return
        if self._idle is not None:
            self._idle.cancel()
            self._idle = None
        if self._current is None and self.first_at is None and self._resets_before():
            self.abort()
            return
        super().data_received(data)

    def lost(self) -> None:
        self._endpoint.connections.discard(self)
        self._stage.connections[self._courier] -= 1
        if self._idle is not None:
            self._idle.cancel()
        if self._current is not None:
            if self._current.job is not None:
                self._desk.give_up(self._current.job)
            self._note(How.CLOSED)

    def _rest(self) -> None:
        idle_us = self._stage.plan.settings["caps"]["conn_idle_us"]
        self._idle = asyncio.get_running_loop().call_later(idle_us / 1e6, self._close_idle)

    def _close_idle(self) -> None:
        if self.transport is not None and self._current is None:
            self.transport.close()

    # --- a request ---

    def requested(self, request: Request) -> None:
        if self._current is not None:  # a connection carries one call at a time
            self._strange("a second call on a connection before the first one's answer")
            self.abort()
            return
        if request.method == "GET":
            self._probed(request)
            return
        messages = self._read(request)
        if messages is None:
            self.answer(400)
            return
        current = self._current = _Current(request, messages, (False,) * len(messages))
        mode = self._desk.mode
        if "hang" in mode.faults or "silent" in mode.faults:
            self._desk.push(1.0)
            return
        refusal = self._desk.refusal(len(messages))
        if refusal is not None:
            status, wait_us = refusal
            headers = {"Retry-After": f"{wait_us / 1e6:.3f}"} if wait_us else {}
            self._reply(status, headers, b"", Fate.REFUSED, wait_us)
            return
        work = max(self._known(name).arrival.work for name in messages)
        current.job = self._desk.serve(work, len(messages), lambda: self._served(current))

    def _probed(self, request: Request) -> None:
        mode = self._desk.mode
        self._desk.push(1.0)
        fine = not ({"shut", "hang", "silent"} & set(mode.faults) or self._desk.fallen or self._desk.draining)
        if "fail" in mode.faults and self._desk.chance(mode.faults["fail"]):
            fine = False
        self._stage.history.add(Probe(self._courier, self._endpoint.name, self._endpoint.partner.destination,
                                      self._stage.us(request.last_at), fine))
        if {"hang", "silent"} & set(mode.faults):
            return  # never answered
        report = self._desk.report()
        self.answer(200 if fine else 503, {"X-Load": report} if report else None)
        self._rest()

    def _read(self, request: Request) -> tuple[str, ...] | None:
        """The ids that a call carries, or None if it can't be read. Notes what no courier may do."""
        if request.target == "/inbox":
            rows = [(request.headers.get("x-request-id", ""), request.headers.get("idempotency-key"), request.body)]
        elif request.target == "/inbox/bulk":
            try:
                rows = _rows(request.body)
            except ValueError as error:
                self._strange(f"a bulk call that can't be read: {error}")
                return None
            most = self._stage.plan.settings["specifics"]["per_call"][self._endpoint.partner.kind]
            if not rows or len(rows) > most:
                self._strange(f"a bulk call of {len(rows)} messages, {most} at most")
                return None
        else:
            self._strange(f"a call to {request.target}")
            return None
        for name, token, body in rows:
            known = self._stage.ledger.known.get(name)
            if known is None:
                self._strange(f"message {name!r}, which no client handed in")
                return None
            if known.arrival.destination != self._endpoint.partner.destination:
                self._strange(f"message {name} for destination {known.arrival.destination}")
            if body != known.body:
                self._strange(f"message {name} with a changed body")
            if token != known.arrival.token:
                self._strange(f"message {name} with a changed idempotency key")
        names = tuple(name for name, _, _ in rows)
        if len(set(names)) < len(names):
            self._strange("a bulk call that names a message twice")
            return None
        return names

    def _known(self, name: str) -> Known:
        return self._stage.ledger.known[name]

    def _strange(self, what: str) -> None:
        self._stage.history.add(Strange(self._stage.now_us(), self._courier, self._endpoint.name, what))

    def _served(self, current: _Current) -> None:
        """The call has run; its answer may still come to nothing."""
        mode = self._desk.mode
        fails = "fail" in mode.faults and self._desk.chance(mode.faults["fail"])
        current.ran = (True,) * len(current.messages)
        for name in current.messages:
            self._stage.ledger.ran(name, self._endpoint.partner, self._stage.now_us(), self._key_life(name))
        if self._current is not current or self._muted:
            return  # cancelled, and run on; or silent
        if "reset" in mode.faults and not mode.reset_before and self._desk.chance(mode.faults["reset"]):
            self._note(How.RESET)
            self.abort()
        elif "spoil" in mode.faults and self._desk.chance(mode.faults["spoil"]):
            spoilt = _SPOILT[len(self._stage.history.facts) % len(_SPOILT)]
            delivered = spoilt.startswith(b"HTTP/1.1 200") and len(current.messages) == 1
            self._note(How.SPOILT, Fate.DELIVERED if delivered else Fate.UNTOLD)
            self.write(spoilt)
            if self.transport is not None:
                self.transport.close()
        elif fails:
            self._reply(500, {}, b"", Fate.FAILED)
        else:
            body = b"".join(f"{name} delivered\r\n".encode() for name in current.messages)
            self._reply(200, {}, body if current.request.target != "/inbox" else b"", Fate.DELIVERED)

    def _key_life(self, name: str) -> int:
        return self._stage.plan.figures.classes[self._known(name).arrival.message_class].key_life_us

    def _reply(self, status: int, headers: dict[str, str], body: bytes, fate: Fate, wait_us: int = 0) -> None:
        if self._muted:
            return
        if report := self._desk.report():
            headers["X-Load"] = report
        self._note(How.ANSWERED, fate, wait_us)
        self.answer(status, headers, body)
        self._rest()

    def _note(self, how: How, fate: Fate = Fate.UNTOLD, wait_us: int = 0) -> None:
        current, self._current = self._current, None
        if current is None:
            return
        request = current.request
        self._stage.history.add(Call(
            self._courier, self._endpoint.name, self._endpoint.partner.destination, self._stage.us(request.first_at),
            self._stage.us(request.last_at), current.messages, how, self._stage.now_us(),
            (fate,) * len(current.messages), current.ran, wait_us))

    def note_open(self) -> None:
        """The rehearsal ends with a call that has no end."""
        self._note(How.OPEN)


def _rows(body: bytes) -> list[tuple[str, str | None, bytes]]:
    """The messages of a bulk call."""
    rows = []
    while body:
        line, mark, body = body.partition(b"\r\n")
        parts = line.decode("latin-1").split(" ")
        if not mark or len(parts) != 3 or not parts[2].isdigit():
            raise ValueError(f"no line with id, key and length: {line[:60]!r}")
        size = int(parts[2])
        if body[size:size + 2] != b"\r\n":
            raise ValueError(f"message {parts[0]} does not end where its length says")
        rows.append((parts[0], None if parts[1] == "-" else parts[1], body[:size]))
        body = body[size + 2:]
    return rows
