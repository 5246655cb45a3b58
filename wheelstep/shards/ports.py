"""Interfaces that a shard node requires of its courier and of the network, so that real, hollow and simulated ones run
the same code. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Protocol

from wheelstep.courier.admission import Admission
from wheelstep.courier.rows import Row
from wheelstep.shards.types import EndpointHealth, OwedKey


class CourierPort(Protocol):
    """A courier as seen by its shard node: its admission, its list, its decision module."""

    @property
    def desk(self) -> Admission:
        """Takes messages here, as home or guest."""

    def listed(self, rows: Sequence[Row]) -> None:
        """Applies changes of the list for shards served here; `REMOVED` rows are deleted."""

    def drop(self, destinations: Iterable[int]) -> None:
        """The destinations' shard is no longer served and nothing of it is owed: forgets rows, health and the decision
        module's state."""

    def owed(self) -> Mapping[int, int]:
        """The number of messages held, by shard; only shards with any."""

    def owed_keys(self, shard: int) -> Sequence[OwedKey]:
        """The ordered keys of messages held."""

    def owes_key(self, destination: int, message_class: str, key: str) -> bool:
        """Tells whether a message of this ordered key is held."""

    def learned(self, shard: int) -> tuple[Sequence[EndpointHealth], Sequence[tuple[str, int]]]:
        """The current health of the shard's endpoints, and waits in force (endpoint, left_us)."""

    def adopt(self, healths: Sequence[EndpointHealth], waits: Sequence[tuple[str, int]]) -> None:
        """Adopts what another courier has learned; endpoints that are not listed here are skipped."""


class Pipe(Protocol):
    """One byte stream to another process. Its end is reported once by `lost`, also after `close`."""

    def write(self, data: bytes) -> None:
        """Writes in order; does nothing on a pipe that has ended."""

    @property
    def behind(self) -> int:
        """The number of bytes that wait to be written."""

    def close(self) -> None:
        """Ends the pipe at once and drops what waits."""


Received = Callable[[bytes], None]
Lost = Callable[[], None]
Accept = Callable[[Pipe], tuple[Received, Lost]]
"""Called with a pipe opened by a peer; returns the callbacks for its bytes and its end."""


class Net(Protocol):
    """Sockets, real or simulated. Addresses are `host:port`."""

    async def listen(self, address: str, accept: Accept, datagram: Callable[[bytes, str], None]) -> str:
        """Listens for pipes and datagrams on one port until `close`; returns the address with its port. Raises
        `OSError`."""

    async def dial(self, address: str, received: Received, lost: Lost) -> Pipe:
        """Opens a pipe. Raises `OSError`; the caller limits the time."""

    def send(self, address: str, data: bytes) -> None:
        """Sends a datagram, which may be lost."""

    async def close(self) -> None:
        """Closes everything."""
