"""An in-memory disk that crashes, fills up and fails on demand: the journal's file layer for tests and long runs.

A crash ends the process, which keeps all written bytes, or cuts the power. Then data that was not synced is lost, torn
or kept in part, sector by sector, and creations, renames and removals that were not synced may or may not survive.
"""

from __future__ import annotations

import errno
import random
from dataclasses import dataclass, field

SECTOR = 512


class CrashError(BaseException):
    """The process or the machine crashes. No `Exception`, so that handlers of errors don't catch it."""


@dataclass(slots=True)
class Inode:
    """A file: its written data, and the part that a power loss certainly keeps."""

    data: bytearray = field(default_factory=bytearray)
    synced: bytes = b""


class FaultyDisk:
    """An implementation of the journal's `Disk` with injected faults.

    Crashes before the operation number `crash_at`; a write then leaves a part of its data. `faults` has error codes by
    operation number. `room` limits the bytes of all files.
    """

    def __init__(self, seed: int = 0, room: int | None = None) -> None:
        self._rng = random.Random(seed)
        self.files: dict[str, Inode] = {}
        self._durable: dict[str, Inode] = {}
        self._pending: list[tuple[str, str, str]] = []  # directory changes not yet synced
        self._handles: dict[int, Inode] = {}
        self._next = 3
        self.count = 0
        self.crash_at: int | None = None
        self.faults: dict[int, int] = {}
        self.room = room
        self.broken: set[str] = set()  # operations that always fail: "write", "sync"
        self._locked = False

    def _start_operation(self, operation: str) -> None:
        self.count += 1
        if self.crash_at is not None and self.count >= self.crash_at:
            raise CrashError
        if (error_code := self.faults.get(self.count)) is not None:
            raise OSError(error_code, "injected")
        if operation in self.broken:
            raise OSError(errno.EIO, f"{operation} is broken")

    def used(self) -> int:
        """Return the bytes of all files, each rounded up to whole blocks."""
        return sum(-(-len(inode.data) // 512) * 512 for inode in self.files.values())

    # --- Disk ---

    def names(self) -> list[str]:
        """Return the names of all files in order."""
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        """Return a file's content."""
        return bytes(self.files[name].data)

    def _open(self, inode: Inode) -> int:
        self._next += 1
        self._handles[self._next] = inode
        return self._next

    def create(self, name: str) -> int:
        """Create a file and return its handle. Raises `FileExistsError`."""
        self._start_operation("create")
        if name in self.files:
            raise FileExistsError(errno.EEXIST, name)
        self.files[name] = Inode()
        self._pending.append(("create", name, ""))
        return self._open(self.files[name])

    def append_to(self, name: str) -> int:
        """Open a file for appending and return its handle."""
        return self._open(self.files[name])

    def write(self, handle: int, data: bytes) -> int:
        """Append data, sometimes only a part, and return the number of bytes. Raises `OSError` when full."""
        inode = self._handles[handle]
        if self.crash_at is not None and self.count + 1 >= self.crash_at:
            inode.data += data[:self._rng.randint(0, len(data))]
        self._start_operation("write")
        if self.room is not None:
            left = self.room - self.used()
            if left <= 0:
                raise OSError(errno.ENOSPC, "no space left")
            data = data[:left]
        elif len(data) > 1 and self._rng.random() < 0.05:
            data = data[:self._rng.randint(1, len(data))]  # a short write
        inode.data += data
        return len(data)

    def truncate(self, handle: int, size: int) -> None:
        """Cut a file to a size."""
        self._start_operation("truncate")
        inode = self._handles[handle]
        del inode.data[size:]
        inode.synced = inode.synced[:size]

    def sync(self, handle: int) -> None:
        """Make a file's data durable."""
        self._start_operation("sync")
        inode = self._handles[handle]
        inode.synced = bytes(inode.data)

    def sync_folder(self) -> None:
        """Make creations, renames and removals durable."""
        self._start_operation("sync_folder")
        self._durable = dict(self.files)
        self._pending.clear()

    def close(self, handle: int) -> None:
        """Close a handle, which is released also where the call fails (close(2))."""
        del self._handles[handle]
        self._start_operation("close")

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing another of the new name."""
        self._start_operation("rename")
        self.files[new] = self.files.pop(old)
        self._pending.append(("rename", old, new))

    def unlink(self, name: str) -> None:
        """Remove a file."""
        self._start_operation("unlink")
        del self.files[name]
        self._pending.append(("unlink", name, ""))

    def lock(self) -> bool:
        """Lock the folder; return False if it is locked."""
        if self._locked:
            return False
        self._locked = True
        return True

    def unlock(self) -> None:
        """Release the lock."""
        self._locked = False

    # --- crashes ---

    def after_crash(self, power: bool) -> FaultyDisk:
        """Return the disk as the next start finds it, after a power loss or the end of the process."""
        fresh = FaultyDisk(self._rng.randrange(1 << 30), self.room)
        if not power:
            fresh.files = {name: Inode(bytearray(inode.data), bytes(inode.data))
                           for name, inode in self.files.items()}
        else:
            kept: dict[str, Inode] = dict(self._durable)
            for operation, name, other in self._pending:
                if self._rng.random() < 0.5:
                    continue  # the change never reached the disk
                if operation == "create" and name in self.files:
                    kept[name] = self.files[name]
                elif operation == "rename" and other in self.files:
                    kept.pop(name, None)
                    kept[other] = self.files[other]
                elif operation == "unlink":
                    kept.pop(name, None)
            fresh.files = {}
            for name, inode in kept.items():
                data = self._content_after_power_loss(inode)
                fresh.files[name] = Inode(bytearray(data), data)
        fresh._durable = dict(fresh.files)
        return fresh

    def _content_after_power_loss(self, inode: Inode) -> bytes:
        """Return what a power loss leaves of a file: the synced part and some sectors of the rest."""
        safe = len(inode.synced)
        stop = self._rng.randint(safe, len(inode.data)) if len(inode.data) > safe else safe
        data = bytearray(inode.data[:stop])
        data[:safe] = inode.synced
        at = safe
        while at < stop:
            after = min((at // SECTOR + 1) * SECTOR, stop)
            if self._rng.random() < 0.3:
                data[at:after] = bytes(after - at)  # the page was never written back
            at = after
        return bytes(data)
