"""The file layer: all that the journal asks of an operating system, so that a test can put a disk that lies in its
place. Every call may raise `OSError`.
"""

from __future__ import annotations

import contextlib
import errno
import fcntl
import os
from pathlib import Path
from typing import Protocol


class Disk(Protocol):
    """One folder's files, by name. Handles are small numbers."""

    def names(self) -> list[str]:
        """All files."""

    def read(self, name: str) -> bytes:
        """A whole file."""

    def create(self, name: str) -> int:
        """A new file, open for appending; `FileExistsError` if there is one."""

    def append_to(self, name: str) -> int:
        """A file that is there, open for appending."""

    def write(self, handle: int, data: bytes) -> int:
        """Append; may write less than all, and says how much."""

    def truncate(self, handle: int, size: int) -> None:
        """Cut it."""

    def sync(self, handle: int) -> None:
        """What was written outlasts a power loss once this returns."""

    def sync_folder(self) -> None:
        """So do creations, renames and removals."""

    def close(self, handle: int) -> None:
        """Give the handle back."""

    def rename(self, old: str, new: str) -> None:
        """Put a file in another's place at once."""

    def unlink(self, name: str) -> None:
        """Remove a file."""

    def lock(self) -> bool:
        """Keep other processes out of the folder; False if one is in it."""

    def unlock(self) -> None:
        """Let others in."""


class Folder:
    """A folder of the operating system."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._lock: int | None = None

    def names(self) -> list[str]:
        return sorted(entry.name for entry in os.scandir(self._path) if entry.is_file(follow_symlinks=False))

    def read(self, name: str) -> bytes:
        return (self._path / name).read_bytes()

    def create(self, name: str) -> int:
        return os.open(self._path / name, os.O_RDWR | os.O_CREAT | os.O_EXCL | os.O_APPEND | os.O_CLOEXEC, 0o600)

    def append_to(self, name: str) -> int:
        return os.open(self._path / name, os.O_RDWR | os.O_APPEND | os.O_CLOEXEC)

    def write(self, handle: int, data: bytes) -> int:
        return os.write(handle, data)

    def truncate(self, handle: int, size: int) -> None:
        os.ftruncate(handle, size)

    def sync(self, handle: int) -> None:
        os.fsync(handle)

    def sync_folder(self) -> None:
        handle = os.open(self._path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def close(self, handle: int) -> None:
        os.close(handle)

    def rename(self, old: str, new: str) -> None:
        os.replace(self._path / old, self._path / new)

    def unlink(self, name: str) -> None:
        os.unlink(self._path / name)

    def lock(self) -> bool:
        """On the folder itself, so that no file is needed; it ends with the process."""
        handle = os.open(self._path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(handle)
            return error.errno not in (errno.EWOULDBLOCK, errno.EAGAIN, errno.EACCES)  # a file system without locks
        self._lock = handle
        return True

    def unlock(self) -> None:
        if self._lock is not None:
            with contextlib.suppress(OSError):
                os.close(self._lock)
            self._lock = None
