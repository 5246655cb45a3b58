"""Bounds what clients and their messages take of a process's memory. No I/O; measured sizes are handed in.

Every reader of input charges what it keeps. The sum may grow as far as the process may grow below its limit. Memory
that was freed stays with the process as a rule and is used again, so the sum may reach what it reached before.
"""

from __future__ import annotations

from collections.abc import Sized
from typing import Protocol

LEAST_BYTES = 1 << 20
"""What clients and messages may always take, also where an idle process needs nearly all of its limit."""
MESSAGE_BYTES = 2_500
"""What the decision module, the journal and the dispatcher keep for a message, beside its body."""
_RESERVE_SHARE = 1 / 10  # of the limit, for what is not charged: calls, lists, buffers of the moment
_CLIENT_SHARE = 3 / 4  # of the sum, for connections and incomplete requests: messages have room beside them
_UNLIMITED_BYTES = 64 << 20  # of connections, where the settings name no limit: more than 341 can take


class Journal(Protocol):
    """What holds the accepted messages."""

    @property
    def messages(self) -> Sized:
        """Messages whose end is owed."""

    @property
    def live(self) -> int:
        """About how many bytes the messages take, as records."""


class MemoryBudget:
    """The bytes charged to clients and messages, and how far they may grow. `limit_bytes` is the limit of the process;
    None: the settings name none."""

    def __init__(self, limit_bytes: int | None = None, journal: Journal | None = None,
                 has_successors: bool = False) -> None:
        """`has_successors`: a new version may be started beside the process, under the same limit."""
        self.limit_bytes, self._journal, self._has_successors = limit_bytes, journal, has_successors
        self._idle_bytes: int | None = None  # of the process at its first measurement
        self._client_bytes = self._peak_bytes = 0
        self.resident_bytes = 0  # of the process at the last measurement
        self._is_short = False
        self._allowed_bytes = LEAST_BYTES

    def charge(self, change_bytes: int) -> None:
        """Add to what clients' connections take, or subtract from it."""
        self._client_bytes += change_bytes

    @property
    def used_bytes(self) -> int:
        """What clients' connections and the accepted messages take."""
        if self._journal is None:
            return self._client_bytes
        return self._client_bytes + len(self._journal.messages) * MESSAGE_BYTES + self._journal.live

    def measured(self, own_bytes: int, other_bytes: int = 0) -> None:
        """Note the size of the process, and of others that share its limit. Where a successor may come, as much is kept
        for it as this process took when it was idle, if the limit has room for two.

        Up to the reserve the sum may grow; in its first half it may be as large as it was; beyond that it shrinks."""
        self.resident_bytes = own_bytes + other_bytes
        if self.limit_bytes is None:
            return
        reserve_bytes = int(self.limit_bytes * _RESERVE_SHARE)
        if self._idle_bytes is None:
            self._idle_bytes = own_bytes
        has_room_for_two = 2 * self._idle_bytes + reserve_bytes + LEAST_BYTES <= self.limit_bytes
        successor_bytes = self._idle_bytes if self._has_successors and has_room_for_two else 0
        resident_bytes = own_bytes + max(other_bytes, successor_bytes)
        growth_bytes = self.limit_bytes - reserve_bytes - resident_bytes
        self._is_short = growth_bytes < 0
        if growth_bytes >= 0:
            self._peak_bytes = max(self._peak_bytes, self.used_bytes)
        elif growth_bytes < -reserve_bytes // 2:
            self._peak_bytes = max(0, min(self._peak_bytes, self.used_bytes) + growth_bytes)
        further_bytes = self.used_bytes + growth_bytes if growth_bytes > 0 else 0
        self._allowed_bytes = max(LEAST_BYTES, self._peak_bytes, further_bytes)

    @property
    def allowed_bytes(self) -> int:
        """What the sum may reach now."""
        return self._allowed_bytes

    @property
    def exceeded(self) -> bool:
        """Whether the sum is larger than it may be, or clients' connections take the room of messages. Without a limit
        only the connections are bounded."""
        if self.limit_bytes is None:
            return self._client_bytes > _UNLIMITED_BYTES
        return self._client_bytes > self._allowed_bytes * _CLIENT_SHARE or self.used_bytes > self._allowed_bytes

    @property
    def is_short(self) -> bool:
        """Whether the process is so near its limit that the sum may not grow."""
        return self._is_short

    def has_room(self, size_bytes: int) -> bool:
        """Return whether a message of this size may be added."""
        return self.limit_bytes is None or self.used_bytes + size_bytes <= self._allowed_bytes

    def describe(self) -> str:
        """Return the figures for a log line."""
        resident, used = f"{self.resident_bytes / 1e6:.1f} MB resident", f"{self.used_bytes / 1e6:.2f}"
        if self.limit_bytes is None:
            return f"{resident}, no limit; clients and messages take {used} MB"
        return (f"{resident}, limit {self.limit_bytes / 1e6:.1f} MB; clients and messages take "
                f"{used} of {self._allowed_bytes / 1e6:.2f} MB")
