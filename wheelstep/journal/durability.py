"""The journal's durability policies, and the errors it raises when it cannot accept a message or open its folder."""

from __future__ import annotations

import errno
from enum import StrEnum


class NoRoomError(Exception):
    """The journal cannot accept this message: its space is used up, the disk fails, or it is closed."""


class FolderInUseError(Exception):
    """Another process has locked the folder."""


class JournalClosedError(OSError):
    """The journal is closed, and its folder may belong to another process by now."""

    def __init__(self) -> None:
        super().__init__(errno.EBADF, "the journal is closed")


class SyncPolicy(StrEnum):
    """When written records are also synced to the device."""

    NONE = "none"  # never: records survive the end of the process, not a power loss
    GROUP = "group"  # one sync for all callers that wait
    EACH = "each"  # after every record
