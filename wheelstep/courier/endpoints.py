"""What is known of endpoints beside the module: the list, those out by hand, and waits told. Decides whether anything
may be written to one; no sockets.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace
from typing import Any

from wheelstep import interface as api
from wheelstep.courier.ports import Book
from wheelstep.courier.wall_clock import ago_us
from wheelstep.interface import EndpointState, Settings

_OUT = ":out "  # before an endpoint's id: the mark that it is out by hand
_MOST_OUT = 10_000  # endpoints out by hand

log = logging.getLogger(__name__)


class Endpoints:
    """Clocks are handed in, in seconds that never step."""

    def __init__(self, settings: Settings, journal: Book, post: Callable[[api.Event], None]) -> None:
        self._s, self._journal, self._post = settings, journal, post
        self.listed: dict[str, api.EndpointInfo] = {}
        self.destinations: set[int] = set()  # those that any list has named
        self.knows_list = False  # has any list been read, also one with nothing in it for this courier?
        self.out: set[str] = set()  # endpoints out by hand, listed or not
        self.told: dict[str | int, float] = {}  # until when nothing may go to a destination or route

    def gone(self, named: set[str]) -> list[str]:
        """Those that a whole list no longer names."""
        return [name for name in self.listed if name not in named]

    def add(self, info: api.EndpointInfo) -> None:
        """It is listed."""
        self.listed[info.endpoint] = info
        self.destinations.add(info.destination)

    def remove(self, endpoint: str) -> None:
        """It is not listed any more, and what was noted of it is of no use."""
        self.listed.pop(endpoint, None)
        if endpoint in self._journal.marks:
            self._journal.mark(endpoint, None)

    def overruled(self, info: api.EndpointInfo) -> api.EndpointInfo:
        """What the module is to know of it: one that is out by hand drains, whatever the list says."""
        if info.endpoint in self.out and info.state is EndpointState.UP:
            return replace(info, state=EndpointState.DRAINING)
        return info

    def tell(self, kind: api.ListKind, infos: Iterable[api.EndpointInfo]) -> None:
        """The module hears of these."""
        self._post(api.MembershipReceived(kind, tuple(map(self.overruled, infos))))

    def exclude(self, endpoint: str) -> bool:
        """Nothing new goes there until it is put back, also over restarts. False if no such endpoint is known."""
        if endpoint in self.out:
            return True
        if endpoint not in self.listed or len(self.out) >= _MOST_OUT:
            return False
        self.out.add(endpoint)
        self._journal.mark(_OUT + endpoint, 1)
        self.tell(api.ListKind.CHANGES, [self.listed[endpoint]])
        log.info("%s is out by hand", endpoint)
        return True

    def include(self, endpoint: str) -> bool:
        """The list counts again. False if no such endpoint is known."""
        if endpoint not in self.out:
            return endpoint in self.listed
        self.out.discard(endpoint)
        self._journal.mark(_OUT + endpoint, None)
        if (info := self.listed.get(endpoint)) is not None:
            self.tell(api.ListKind.CHANGES, [info])
        log.info("%s is back by hand", endpoint)
        return True

    def restore(self, marks: Mapping[str, Any]) -> None:
        """Those that were out by hand before a restart still are, and what was noted of the health of those that are
        listed is handed to the module."""
        self.out.update(name.removeprefix(_OUT) for name in marks if name.startswith(_OUT))
        for endpoint in self.out & self.listed.keys():
            self.tell(api.ListKind.CHANGES, [self.listed[endpoint]])
        for endpoint, value in list(marks.items()):
            if endpoint.startswith(":"):
                continue
            at_ms, *health = value
            if endpoint in self.listed:
                self._post(api.HealthRestored(endpoint, api.Health(*health), ago_us(at_ms)))
            else:
                self._journal.mark(endpoint, None)

    def serves(self, destination: int) -> bool:
        """Has any list named it? Its endpoints may all be gone just now. Guards against messages that
        nobody could ever deliver."""
        return destination in self.destinations or not (self.destinations or self.knows_list)

    def may_write(self, endpoint: str, now_s: float) -> bool:
        """May anything new be written there?"""
        info = self.listed.get(endpoint)
        if info is None or info.state is not EndpointState.UP or endpoint in self.out:
            return False
        return now_s >= self.told.get(self.route(info), 0.0)

    def told_to_wait(self, endpoint: str, now_s: float, wait_s: float) -> None:
        """Nothing more goes there for so long, also of what is being dialled."""
        if info := self.listed.get(endpoint):
            route = self.route(info)
            self.told = {other: until for other, until in self.told.items() if until > now_s}
            self.told[route] = max(self.told.get(route, 0.0), now_s + wait_s)

    def waits(self, now_s: float) -> dict[str, int]:
        """Waits in force: microseconds left by endpoint."""
        left = {name: self.told.get(self.route(info), 0.0) - now_s for name, info in self.listed.items()}
        return {name: int(left_s * 1e6) for name, left_s in left.items() if left_s > 0}

    def kind(self, info: api.EndpointInfo) -> api.Kind:
        """What the settings say of its kind; the last serves for the rest."""
        return self._s.kinds[min(info.kind, len(self._s.kinds) - 1)]

    def per_call(self, endpoint: str) -> int:
        """How many messages a call to it holds at most; 1 where it is not listed."""
        info = self.listed.get(endpoint)
        return self.kind(info).per_call if info is not None else 1

    def route(self, info: api.EndpointInfo) -> str | int:
        """What a wait binds: the endpoint where routes are apart, else the destination."""
        return info.endpoint if self.kind(info).routes_apart else info.destination

    def zone(self, endpoint: str) -> int:
        """Its zone; -1 where it is not listed."""
        info = self.listed.get(endpoint)
        return info.zone if info is not None else -1
