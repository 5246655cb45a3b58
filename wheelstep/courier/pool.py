"""Connections to endpoints: addresses, idle connections, and opening new ones within a limit.

Base class of `endpoint_client.EndpointClient`, which makes the calls.
"""

from __future__ import annotations

import asyncio
import functools
import logging
import time
from dataclasses import dataclass, field

from wheelstep.courier.answer import status_of
from wheelstep.courier.call import Item, Progress
from wheelstep.courier.call_errors import ConnectionBrokenError
from wheelstep.courier.config import Address
from wheelstep.courier.connection import Connection
from wheelstep.courier.dialling import dial
from wheelstep.courier.flight_recorder import EventKind, FlightRecorder
from wheelstep.courier.reuse import SINGLE_USE_S, RestPeriod, ReuseRules

_IDLE_MARGIN_S = 1.5  # an idle connection is closed this long before the endpoint would close it
_SWEEP_INTERVAL_S = 0.5
REQUEST_TIMEOUT = 408
"""Status of an answer without a request: the endpoint closes a connection that idled."""
_LOGGED_BYTES = 40  # of what an endpoint sent outside of a call

log = logging.getLogger(__name__)


@dataclass(slots=True)
class Host:
    """An endpoint's address and its idle connections, the most recently used one last."""

    address: Address
    reuse: ReuseRules
    idle: list[Connection] = field(default_factory=list)


class ConnectionPool:
    """Addresses of and connections to the endpoints."""

    def __init__(self, dial_timeout_us: int, conn_idle_us: int, max_connections: int) -> None:
        self._max_connections = max_connections  # limit on connections in calls, idle, and being opened
        self._dial_timeout_s = dial_timeout_us / 1e6
        idle_s = conn_idle_us / 1e6 if conn_idle_us else 5.0
        self._max_idle_s = max(idle_s - _IDLE_MARGIN_S, idle_s / 2)
        self._hosts: dict[str, Host] = {}
        self._rest = RestPeriod()
        self.dials = 0  # connections attempted since the start
        self.unrequested = 0  # times that an endpoint sent bytes outside of a call
        self.recorder: FlightRecorder | None = None

    def set_address(self, endpoint: str, address: Address) -> None:
        """Set the address that calls to the endpoint use from now on."""
        host = self._hosts.get(endpoint)
        if host is None or host.address != address:
            self.close_idle(endpoint)
            self._hosts[endpoint] = Host(address, ReuseRules(self._max_idle_s, self._rest))

    def address(self, endpoint: str) -> Address | None:
        """Return the endpoint's address; None if it is not listed."""
        host = self._hosts.get(endpoint)
        return host.address if host is not None else None

    def remove_address(self, endpoint: str) -> None:
        """Close the idle connections to an endpoint that is not listed any more, and forget its address."""
        self.close_idle(endpoint)
        self._hosts.pop(endpoint, None)

    def close_idle(self, endpoint: str, idle_us: int = 0) -> None:
        """Close the connections to an endpoint that have been idle for at least `idle_us`."""
        host, since = self._hosts.get(endpoint), time.monotonic() - idle_us / 1e6
        for connection in [one for one in host.idle if one.idle_since <= since] if host is not None else ():
            assert host is not None
            host.idle.remove(connection)
            self._close(host, connection, f"idle for {idle_us // 1000} ms or more, closed on request")

    def _close(self, host: Host, connection: Connection, reason: str) -> None:
        self._record_close(host, reason)
        connection.close()

    async def sweep(self) -> None:
        """Close idle connections before their endpoints do, so that no call is written to a closing one."""
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL_S)
            for host in self._hosts.values():
                for connection in list(host.idle):
                    if not self._reusable(host, connection):
                        self._drop_idle(host, connection)

    def _reusable(self, host: Host, connection: Connection) -> bool:
        return connection.usable() and not host.reuse.expired(connection, time.monotonic())

    def _drop_idle(self, host: Host, connection: Connection) -> None:
        host.idle.remove(connection)
        idled_s = connection.peer_closed_at - connection.idle_since if connection.peer_closed_at is not None else 0.0
        if idled_s > connection.last_call_s:  # otherwise it was closed because of its last answer
            host.reuse.ended_early(idled_s, time.monotonic())
        self._close(host, connection, "not reusable" if connection.peer_closed_at is None else "ended by its endpoint")

    async def _acquire(self, host: Host, progress: Progress, busy: int, once: bool = False) -> Connection:
        """Return an idle connection, or open one; raise `ConnectionBrokenError` if that fails. `busy` counts the
        calls and probes under way. `once`: what will be sent must not be sent again."""
        now_s = time.monotonic()
        for connection in [one for one in host.idle
                           if one.peer_closed_at is not None or host.reuse.expired(one, now_s)]:
            self._drop_idle(host, connection)
        while (idle := host.reuse.choose(host.idle, once, time.monotonic())) is not None:
            if self._reusable(host, idle):
                host.idle.remove(idle)
                progress.dialled = True
                return idle
            self._drop_idle(host, idle)
        # Bounds the file descriptors: every task of the client holds one connection at most.
        if busy > self._max_connections:
            raise ConnectionBrokenError("all connections of this courier are in use")
        if busy + self._idle_count() > self._max_connections:
            oldest = min((host for host in self._hosts.values() if host.idle),
                         key=lambda host: host.idle[0].idle_since)
            self._close(oldest, oldest.idle.pop(0), "closed to make room for another")
        progress.dialled = True
        self.dials += 1
        try:
            connection = await dial(host.address, self._dial_timeout_s)
        except ConnectionBrokenError:
            host.reuse.refused()
            raise
        connection.number = self.dials
        connection.on_unrequested = functools.partial(self._note_unrequested, host, connection)
        return connection

    def _note_unrequested(self, host: Host, connection: Connection, data: bytes) -> None:
        """Note bytes that an endpoint sent outside of a call, such as a second copy of an answer. A 408 only tells that
        it closes an idle connection (RFC 9110, 15.5.9)."""
        if status_of(data) == REQUEST_TIMEOUT:
            self._record_close(host, "idle too long for its endpoint, which sent 408")
            return
        self.unrequested += 1
        host.reuse.unrequested_bytes(time.monotonic())
        what = (f"unrequested bytes on connection {connection.number} after {connection.calls} calls: "
                f"{data[:_LOGGED_BYTES]!r}; its connections carry one call each for {SINGLE_USE_S:.0f} s")
        log.warning("%s:%d: %s", host.address.host, host.address.port, what)
        self._record_close(host, what)

    def _record_call(self, connection: Connection, item: Item) -> None:
        """Record which connection carries an attempt: answers are paired with calls by their place on it."""
        if self.recorder is not None:
            now_s = time.monotonic()
            detail = f"{item.attempt} on connection {connection.number}, call {connection.calls}"
            if connection.calls:
                detail += f", {now_s - connection.idle_since:.3f} s after the last answer"
            self.recorder.note(now_s, EventKind.CALL_WRITTEN, item.message, detail=detail)

    def _record_close(self, host: Host, reason: str) -> None:
        if self.recorder is not None:
            where = f"{host.address.host}:{host.address.port}"
            self.recorder.note(time.monotonic(), EventKind.CONNECTION_CLOSED, detail=f"{where}: {reason}")

    def _netloc(self, endpoint: str) -> str:
        host = self._hosts.get(endpoint)
        return f"{host.address.host}:{host.address.port}" if host else endpoint

    def _idle_count(self) -> int:
        return sum(len(host.idle) for host in self._hosts.values())
