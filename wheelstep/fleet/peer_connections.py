"""Bounds the connections of peers, and what is read of their requests before a seal is checked. No I/O.

Anyone who reaches the address can connect. A peer sends one request on a connection, so an old one is of no use.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable
from typing import Generic, TypeVar

MAX_CONNECTIONS = 300
MAX_AGE_S = 30.0
"""Of a connection; longer than any request between peers lasts."""
MAX_REQUEST_BYTES = 16 << 20
"""Of all large requests that are read or answered at once."""
SMALL_REQUEST_BYTES = 64 * 1024
READ_S = 2.0
"""For a request's body to arrive."""

ConnectionT = TypeVar("ConnectionT", bound=Hashable)


class PeerConnections(Generic[ConnectionT]):
    """The open connections, with the time at which each was seen first (monotonic seconds)."""

    def __init__(self) -> None:
        self._seen_s: dict[ConnectionT, float] = {}

    def expired(self, connections: Iterable[ConnectionT], now_s: float) -> list[ConnectionT]:
        """Return those to close: the ones that are too old, and the oldest of too many."""
        self._seen_s = {one: self._seen_s.get(one, now_s) for one in connections}
        oldest_first = sorted(self._seen_s, key=self._seen_s.__getitem__)
        excess = max(0, len(oldest_first) - MAX_CONNECTIONS)
        return [one for number, one in enumerate(oldest_first)
                if number < excess or now_s - self._seen_s[one] > MAX_AGE_S]


class RequestRoom:
    """The bytes of the large requests that are read or answered at the moment. Small ones are bounded by their number
    alone, so that large ones which are never completed don't keep them out."""

    def __init__(self) -> None:
        self._used_bytes = 0

    def take(self, size_bytes: int) -> bool:
        """Return whether a request of this size may be read; it counts until `give_back`."""
        if size_bytes <= SMALL_REQUEST_BYTES:
            return True
        if self._used_bytes + size_bytes > MAX_REQUEST_BYTES:
            return False
        self._used_bytes += size_bytes
        return True

    def give_back(self, size_bytes: int) -> None:
        """Note that a request is over."""
        if size_bytes > SMALL_REQUEST_BYTES:
            self._used_bytes -= size_bytes
