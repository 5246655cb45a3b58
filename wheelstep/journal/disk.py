"""The file operations that the journal needs, as a protocol, so that tests can substitute a faulty disk. Every call may
raise `OSError`.
"""

from __future__ import annotations

import contextlib
import errno
import fcntl
import os
from pathlib import Path
from typing import Protocol


class Disk(Protocol):
    """The files of one folder, by name. Handles are small integers."""

    def names(self) -> list[str]:
        """Return the names of all files."""

    def read(self, name: str) -> bytes:
        """Return a whole file."""

    def create(self, name: str) -> int:
        """Create a file and open it for appending. Raises `FileExistsError` if there is one."""

    def append_to(self, name: str) -> int:
        """Open an existing file for appending."""

    def write(self, handle: int, data: bytes) -> int:
        """Append data and return how many bytes were written, which may be fewer than given."""

    def truncate(self, handle: int, size: int) -> None:
        """Truncate a file to a size in bytes."""

    def sync(self, handle: int) -> None:
        """Flush a file: what was written to it survives a power loss once this returns."""

    def sync_folder(self) -> None:
        """Flush the folder: creations, renames and removals survive a power loss once this returns."""

    def close(self, handle: int) -> None:
        """Close a handle."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file atomically, replacing the target."""

    def unlink(self, name: str) -> None:
        """Remove a file."""

    def lock(self) -> bool:
        """Lock the folder against other processes. False if another process has the lock."""

    def unlock(self) -> None:
        """Release the lock."""


class Folder:
    """A folder of the operating system's file system, as a `Disk`."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._lock: int | None = None

    def names(self) -> list[str]:
        """Return the names of the regular files, sorted."""
        return sorted(entry.name for entry in os.scandir(self._path) if entry.is_file(follow_symlinks=False))

    def read(self, name: str) -> bytes:
        """Return a whole file."""
        return (self._path / name).read_bytes()

    def create(self, name: str) -> int:
        """Create a file for its owner only and open it for appending."""
        return os.open(self._path / name, os.O_RDWR | os.O_CREAT | os.O_EXCL | os.O_APPEND | os.O_CLOEXEC, 0o600)

    def append_to(self, name: str) -> int:
        """Open an existing file for appending."""
        return os.open(self._path / name, os.O_RDWR | os.O_APPEND | os.O_CLOEXEC)

    def write(self, handle: int, data: bytes) -> int:
        """Append data and return how many bytes were written."""
        return os.write(handle, data)

    def truncate(self, handle: int, size: int) -> None:
        """Truncate a file to a size in bytes."""
        os.ftruncate(handle, size)

    def sync(self, handle: int) -> None:
        """Flush a file to the device."""
        os.fsync(handle)

    def sync_folder(self) -> None:
        """Flush the folder's entries to the device."""
        handle = os.open(self._path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def close(self, handle: int) -> None:
        """Close a handle."""
        os.close(handle)

    def rename(self, old: str, new: str) -> None:
        """Rename a file atomically, replacing the target."""
        os.replace(self._path / old, self._path / new)

    def unlink(self, name: str) -> None:
        """Remove a file."""
        os.unlink(self._path / name)

    def lock(self) -> bool:
        """Lock the folder itself, which needs no lock file; the lock ends with the process.

        True also on a file system without locks.
        """
        handle = os.open(self._path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(handle)
            return error.errno not in (errno.EWOULDBLOCK, errno.EAGAIN, errno.EACCES)  # no lock support: as locked
        self._lock = handle
        return True

    def unlock(self) -> None:
        """Release the lock."""
        if self._lock is not None:
            with contextlib.suppress(OSError):
                os.close(self._lock)
            self._lock = None
