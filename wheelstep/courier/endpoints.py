"""What is known of endpoints outside the decision module: the list, excluded endpoints, and requested waits. Decides
whether an endpoint may be written to; no sockets.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace
from typing import Any

from wheelstep import interface as api
from wheelstep.courier.left_endpoints import LeftEndpoints
from wheelstep.courier.ports import JournalPort
from wheelstep.courier.wall_clock import ago_us
from wheelstep.interface import EndpointState, Settings

_EXCLUDED_MARK = ":out "  # prefix of an excluded endpoint's id in the journal's marks
_MAX_EXCLUDED = 10_000  # endpoints that can be excluded at once
_MAX_REMOVED = 1_000  # endpoints that have left the list and whose calls may still bring a wait

log = logging.getLogger(__name__)


class Endpoints:
    """The listed endpoints and their restrictions. Times are monotonic seconds, passed in by the caller."""

    def __init__(self, settings: Settings, journal: JournalPort, post: Callable[[api.Event], None]) -> None:
        self._settings, self._journal, self._post = settings, journal, post
        self.listed: dict[str, api.EndpointInfo] = {}
        self.destinations: set[int] = set()  # destinations that any list has named
        self.knows_list = False  # whether any list has been read, even one without entries for this courier
        self.excluded: set[str] = set()  # endpoints that an operator has excluded, listed or not
        self.left = LeftEndpoints(journal)
        self._removed: dict[str, api.EndpointInfo] = {}  # endpoints that have left the list last, oldest first
        self.wait_until: dict[str | int, float] = {}  # until when nothing may be sent to a destination or route

    def missing_from(self, named: set[str]) -> list[str]:
        """Return the known endpoints that a whole list does not name any more."""
        return [name for name in self.listed if name not in named]

    def add(self, info: api.EndpointInfo) -> None:
        """Add a listed endpoint."""
        self.listed[info.endpoint] = info
        self.destinations.add(info.destination)

    def remove(self, endpoint: str) -> None:
        """Remove an endpoint that is not listed any more, and the note of its health, which is of no more use."""
        if (info := self.listed.pop(endpoint, None)) is not None:
            self._removed.pop(endpoint, None)
            self._removed[endpoint] = info
            if len(self._removed) > _MAX_REMOVED:
                del self._removed[next(iter(self._removed))]
        if endpoint in self._journal.marks:
            self._journal.mark(endpoint, None)

    def with_exclusions(self, info: api.EndpointInfo) -> api.EndpointInfo:
        """Return the entry as the decision module gets it: an excluded endpoint drains, whatever the list says, and so
        does one that the process before was told of, as long as discovery is silent."""
        if info.state is EndpointState.UP and (info.endpoint in self.excluded or self.left.blocks(info.endpoint)):
            return replace(info, state=EndpointState.DRAINING)
        return info

    def note_told(self, infos: Iterable[api.EndpointInfo], gone: Iterable[str]) -> None:
        """Note what discovery tells: entries, and endpoints that a whole list does not name any more."""
        self.discovery_heard()
        for info in infos:
            self.left.told(info.endpoint, info.state)
        for endpoint in gone:
            self.left.told(endpoint, EndpointState.REMOVED)

    def discovery_heard(self) -> None:
        """Go by the list from now on."""
        if unblocked := [self.listed[name] for name in self.left.heard() if name in self.listed]:
            self.post_membership(api.ListKind.CHANGES, unblocked)

    def post_membership(self, kind: api.ListKind, infos: Iterable[api.EndpointInfo]) -> None:
        """Pass these entries to the decision module."""
        self._post(api.MembershipReceived(kind, tuple(map(self.with_exclusions, infos))))

    def exclude(self, endpoint: str) -> bool:
        """Send nothing new to an endpoint until it is included again, also over restarts. Return False if it is not
        known, or too many are excluded."""
        if endpoint in self.excluded:
            return True
        if endpoint not in self.listed or len(self.excluded) >= _MAX_EXCLUDED:
            return False
        self.excluded.add(endpoint)
        self._journal.mark(_EXCLUDED_MARK + endpoint, 1)
        self.post_membership(api.ListKind.CHANGES, [self.listed[endpoint]])
        log.info("endpoint %s is excluded by the operator", endpoint)
        return True

    def include(self, endpoint: str) -> bool:
        """Use an excluded endpoint again as the list says. Return False if no such endpoint is known."""
        if endpoint not in self.excluded:
            return endpoint in self.listed
        self.excluded.discard(endpoint)
        self._journal.mark(_EXCLUDED_MARK + endpoint, None)
        if (info := self.listed.get(endpoint)) is not None:
            self.post_membership(api.ListKind.CHANGES, [info])
        log.info("endpoint %s is included again by the operator", endpoint)
        return True

    def restore(self, marks: Mapping[str, Any]) -> None:
        """Restore excluded endpoints from the journal's marks, and pass the noted health of listed endpoints to the
        decision module; that of unlisted ones is removed from the journal."""
        self.excluded.update(name.removeprefix(_EXCLUDED_MARK) for name in marks if name.startswith(_EXCLUDED_MARK))
        for endpoint in self.excluded & self.listed.keys():
            self.post_membership(api.ListKind.CHANGES, [self.listed[endpoint]])
        for endpoint, value in list(marks.items()):
            if endpoint.startswith(":"):
                continue
            at_ms, *health = value
            if endpoint in self.listed:
                self._post(api.HealthRestored(endpoint, api.Health(*health), ago_us(at_ms)))
            else:
                self._journal.mark(endpoint, None)

    def serves(self, destination: int) -> bool:
        """Return whether any list has named the destination, or no list has been read yet. Its endpoints may all be
        gone. Prevents accepting messages that could never be delivered."""
        return destination in self.destinations or not (self.destinations or self.knows_list)

    def may_write(self, endpoint: str, now_s: float) -> bool:
        """Return whether anything new may be written to the endpoint."""
        info = self.listed.get(endpoint)
        if info is None or self.with_exclusions(info).state is not EndpointState.UP:
            return False
        return now_s >= self.wait_until.get(self.route(info), 0.0)

    def apply_wait(self, endpoint: str, now_s: float, wait_s: float) -> None:
        """Block the endpoint's route for `wait_s`, if that is longer than its present wait, also for connections being
        opened. An endpoint that has left the list meanwhile may still speak for its destination."""
        if info := self.listed.get(endpoint) or self._removed.get(endpoint):
            route = self.route(info)
            self.wait_until = {other: until for other, until in self.wait_until.items() if until > now_s}
            self.wait_until[route] = max(self.wait_until.get(route, 0.0), now_s + wait_s)

    def waits(self, now_s: float) -> dict[str, int]:
        """Return the waits in force: microseconds left by endpoint."""
        left = {name: self.wait_until.get(self.route(info), 0.0) - now_s for name, info in self.listed.items()}
        return {name: int(left_s * 1e6) for name, left_s in left.items() if left_s > 0}

    def kind(self, info: api.EndpointInfo) -> api.DestinationKind:
        """Return the settings of the endpoint's kind; an index past the last kind means the last."""
        return self._settings.kinds[min(info.kind, len(self._settings.kinds) - 1)]

    def per_call(self, endpoint: str) -> int:
        """Return how many messages a call to the endpoint holds at most; 1 if it is not listed."""
        info = self.listed.get(endpoint)
        return self.kind(info).per_call if info is not None else 1

    def route(self, info: api.EndpointInfo) -> str | int:
        """Return what a wait applies to: the endpoint if its kind has separate routes, else the destination."""
        return info.endpoint if self.kind(info).routes_apart else info.destination

    def zone(self, endpoint: str) -> int:
        """Return the endpoint's zone; -1 if it is not listed."""
        info = self.listed.get(endpoint)
        return info.zone if info is not None else -1
