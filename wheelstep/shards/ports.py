"""What a shard node asks of its courier and of the network, so that real, hollow and simulated ones run the same code.
No I/O.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Protocol

from wheelstep.courier.desk import Desk
from wheelstep.courier.rows import Row
from wheelstep.shards.types import EndpointHealth, OwedKey


class Shelf(Protocol):
    """A courier's own side: its desk, its list, its module."""

    @property
    def desk(self) -> Desk:
        """Takes messages on here, as home or guest."""

    def listed(self, rows: Sequence[Row]) -> None:
        """Changes of the list for shards that are served here (`REMOVED` rows go)."""

    def drop(self, destinations: Iterable[int]) -> None:
        """Their shard is served here no more, and nothing of it is owed: forget rows, health, module state."""

    def owed(self) -> Mapping[int, int]:
        """How many messages are held, by shard; only shards with any."""

    def owed_keys(self, shard: int) -> Sequence[OwedKey]:
        """Ordered keys of which messages are held."""

    def owes_key(self, destination: int, message_class: str, key: str) -> bool:
        """Is a message of this ordered key held?"""

    def learned(self, shard: int) -> tuple[Sequence[EndpointHealth], Sequence[tuple[str, int]]]:
        """Health of the shard's endpoints as known now, and waits in force (endpoint, left_us)."""

    def adopt(self, healths: Sequence[EndpointHealth], waits: Sequence[tuple[str, int]]) -> None:
        """Take over what another has learned; endpoints that are not listed here are passed over."""


class Pipe(Protocol):
    """One byte stream to another process. Ends are told once by `lost`, also after `close`."""

    def write(self, data: bytes) -> None:
        """In order; nothing happens on a pipe that has ended."""

    @property
    def behind(self) -> int:
        """Bytes that wait to be written."""

    def close(self) -> None:
        """At once: what waits is dropped."""


Received = Callable[[bytes], None]
Lost = Callable[[], None]
Accept = Callable[[Pipe], tuple[Received, Lost]]
"""A pipe that another has opened: what is to hear its bytes and its end."""


class Net(Protocol):
    """Sockets, or a simulation's. Addresses are `host:port`."""

    async def listen(self, address: str, accept: Accept, datagram: Callable[[bytes, str], None]) -> str:
        """Listen for pipes and datagrams on one port, until `close`; the address, with its port. Raises `OSError`."""

    async def dial(self, address: str, received: Received, lost: Lost) -> Pipe:
        """Raises `OSError`; the caller bounds its time."""

    def send(self, address: str, data: bytes) -> None:
        """A datagram; it may be lost."""

    async def close(self) -> None:
        """End all of it."""
