"""Endpoints that discovery has told as draining or gone, kept in the journal for the next process.

A process may start with an older list than the one before it knew, while discovery is silent. Until discovery is heard,
it sends nothing to these endpoints. No I/O of its own.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from wheelstep.courier.ports import JournalPort
from wheelstep.interface import EndpointState

LEFT_MARK = ":left "  # prefix of an endpoint's id in the journal's marks
_MAX_LEFT = 300  # endpoints, the newest ones: some 30 bytes each in the journal


class LeftEndpoints:
    """What discovery told last of endpoints that are not to be used. Does nothing until it is enabled."""

    def __init__(self, journal: JournalPort) -> None:
        self._journal = journal
        self._names: dict[str, None] = {}  # oldest first
        self._enabled = False
        self._heard = False  # discovery has told this process what it has missed

    def enable(self, marks: Mapping[str, Any]) -> None:
        """Continue from the marks of the process before."""
        self._enabled = True
        self._names = {name.removeprefix(LEFT_MARK): None for name in marks if name.startswith(LEFT_MARK)}

    def blocks(self, endpoint: str) -> bool:
        """Return whether the endpoint had left for the process before, and this one has not heard discovery."""
        return not self._heard and endpoint in self._names

    def heard(self) -> list[str]:
        """Note that discovery has been heard. Return the endpoints that are not blocked any more."""
        blocked = [] if self._heard else list(self._names)
        self._heard = True
        return blocked

    def told(self, endpoint: str, state: EndpointState) -> None:
        """Note what discovery tells of an endpoint."""
        if not self._enabled:
            return
        if state is EndpointState.UP:
            self._forget(endpoint)
        elif endpoint not in self._names:
            self._names[endpoint] = None
            self._journal.mark(LEFT_MARK + endpoint, 1)
            if len(self._names) > _MAX_LEFT:
                self._forget(next(iter(self._names)))

    def _forget(self, endpoint: str) -> None:
        if endpoint in self._names:
            del self._names[endpoint]
            self._journal.mark(LEFT_MARK + endpoint, None)
