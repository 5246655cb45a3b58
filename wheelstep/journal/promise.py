"""What a journal promises: when it syncs, and the errors by which it says that it can't take something on."""

from __future__ import annotations

from enum import StrEnum


class NoRoomError(Exception):
    """The folder can't take this message: it is full, or in trouble."""


class FolderInUseError(Exception):
    """Another process has the folder."""


class Sync(StrEnum):
    """When what is written is also synced."""

    NONE = "none"  # written is kept over the process's end
    GROUP = "group"  # one sync for all that wait
    EACH = "each"  # after every record
