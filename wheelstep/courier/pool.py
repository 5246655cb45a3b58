"""Connections to endpoints: where each endpoint is, those that are idle, and dialling within a bound.

Beneath `outlet.Outlet`, which has the calls.
"""

from __future__ import annotations

import asyncio
import math
import time
from dataclasses import dataclass, field

from wheelstep.courier.call import Progress
from wheelstep.courier.call_errors import BrokenError
from wheelstep.courier.config import Address
from wheelstep.courier.connection import Connection
from wheelstep.courier.dialling import dial
from wheelstep.courier.flight_recorder import EventKind, FlightRecorder

_IDLE_MARGIN_S = 1.5  # an idle connection is given up so long before the endpoint would
_SWEEP_S = 0.5


@dataclass(slots=True)
class Host:
    """An endpoint's address and its idle connections, the one used last at the end."""

    address: Address
    idle: list[Connection] = field(default_factory=list)
    safe_s: float = math.inf  # after idling for so long one was in doubt, when that was learned
    learned_s: float = 0.0


class Pool:
    """Endpoints' addresses and connections."""

    def __init__(self, dial_timeout_us: int, conn_idle_us: int, most: int) -> None:
        self._most = most  # connections at once: with a call, idle, and being dialled
        self._dial_s = dial_timeout_us / 1e6
        idle_s = conn_idle_us / 1e6 if conn_idle_us else 5.0
        self._idle_s = max(idle_s - _IDLE_MARGIN_S, idle_s / 2)
        self._hosts: dict[str, Host] = {}
        self.dials = 0  # handshakes begun
        self.recorder: FlightRecorder | None = None

    def list(self, endpoint: str, address: Address) -> None:
        """Calls to the endpoint go to this address from now on."""
        host = self._hosts.get(endpoint)
        if host is None or host.address != address:
            self.close_idle(endpoint)
            self._hosts[endpoint] = Host(address)

    def address(self, endpoint: str) -> Address | None:
        """Where it is, if it is listed."""
        host = self._hosts.get(endpoint)
        return host.address if host is not None else None

    def unlist(self, endpoint: str) -> None:
        """The endpoint is gone."""
        self.close_idle(endpoint)
        self._hosts.pop(endpoint, None)

    def close_idle(self, endpoint: str, idle_us: int = 0) -> None:
        """Close the connections to an endpoint that have been idle for so long."""
        host, since = self._hosts.get(endpoint), time.monotonic() - idle_us / 1e6
        for link in [link for link in host.idle if link.idle_since <= since] if host is not None else ():
            assert host is not None
            host.idle.remove(link)
            self._close(host, link, f"idle for {idle_us // 1000} ms or more, to be closed")

    def _close(self, host: Host, link: Connection, reason: str) -> None:
        if self.recorder is not None:
            where = f"{host.address.host}:{host.address.port}"
            self.recorder.note(time.monotonic(), EventKind.CONNECTION_CLOSED, detail=f"{where}: {reason}")
        link.close()

    async def sweep(self) -> None:
        """Close connections before their endpoint does, so that no call is written to a closing one."""
        while True:
            await asyncio.sleep(_SWEEP_S)
            for host in self._hosts.values():
                for link in list(host.idle):
                    if not self._fresh(link):
                        self._drop(host, link)

    def _fresh(self, link: Connection) -> bool:
        return link.usable() and time.monotonic() - link.idle_since < self._idle_s

    def _drop(self, host: Host, link: Connection) -> None:
        host.idle.remove(link)
        idled_s = link.left_at - link.idle_since if link.left_at is not None else 0.0
        if idled_s > link.spent_s:  # else its end belongs to its last answer
            host.safe_s, host.learned_s = min(self._safe_s(host), idled_s / 2), time.monotonic()
        self._close(host, link, "idle too long" if link.left_at is None else "ended by its endpoint")

    def _safe_s(self, host: Host) -> float:
        """For how long a connection may idle before one call that can't be repeated is at risk. Guards those against
        an endpoint that ends idle ones early, where such ends were seen: as `Outcomes._safe_us` does for ends that
        nobody sees. It costs handshakes while remembered, also where an endpoint ended them all for another reason."""
        return min(self._idle_s, host.safe_s + (time.monotonic() - host.learned_s) / 10)

    async def _connect(self, host: Host, progress: Progress, busy: int, once: bool = False) -> Connection:
        """One that is idle, or a new one, or `BrokenError`; `busy` counts the calls and probes under way. `once`: what
        is to be sent may not be sent again."""
        for link in [link for link in host.idle if link.left_at is not None]:
            self._drop(host, link)
        while host.idle and not (once and time.monotonic() - host.idle[-1].idle_since >= self._safe_s(host)):
            link = host.idle[-1]
            if self._fresh(link):
                host.idle.pop()
                progress.dialled = True
                return link
            self._drop(host, link)
        # Guards the descriptors: every task of the outlet holds one connection at most.
        if busy > self._most:
            raise BrokenError("too many connections of this courier")
        if busy + self._idle() > self._most:
            oldest = min((host for host in self._hosts.values() if host.idle),
                         key=lambda host: host.idle[0].idle_since)
            self._close(oldest, oldest.idle.pop(0), "room for another")
        progress.dialled = True
        self.dials += 1
        try:
            return await dial(host.address, self._dial_s)
        except BrokenError:
            host.safe_s = math.inf  # nobody is there: what was seen was an outage's doing
            raise

    def _name(self, endpoint: str) -> str:
        host = self._hosts.get(endpoint)
        return f"{host.address.host}:{host.address.port}" if host else endpoint

    def _idle(self) -> int:
        return sum(len(host.idle) for host in self._hosts.values())
