"""A disk in memory that crashes, fills and lies on demand: the journal's file layer for tests and long runs.

Two ways to crash: the process ends (all written bytes are kept), or the power goes (what was not synced is lost, torn
or kept in part, sector by sector; creations, renames and removals that were not synced may or may not have happened).
"""

from __future__ import annotations

import errno
import random
from dataclasses import dataclass, field

SECTOR = 512


class CrashError(BaseException):
    """The machine or the process ends here."""


@dataclass(slots=True)
class Inode:
    """A file: what is written, and what a power loss leaves for sure."""

    data: bytearray = field(default_factory=bytearray)
    synced: bytes = b""


class FaultyDisk:
    """Crashes before the operation number `crash_at` (a write then leaves a part of itself); `faults` gives errors by
    number; `room` bounds the bytes of all files."""

    def __init__(self, seed: int = 0, room: int | None = None) -> None:
        self._rng = random.Random(seed)
        self.files: dict[str, Inode] = {}
        self._durable: dict[str, Inode] = {}
        self._pending: list[tuple[str, str, str]] = []  # folder changes that are not synced
        self._handles: dict[int, Inode] = {}
        self._next = 3
        self.count = 0
        self.crash_at: int | None = None
        self.faults: dict[int, int] = {}
        self.room = room
        self.broken: set[str] = set()  # operations that fail for good: "write", "sync"
        self._locked = False

    def _step(self, what: str) -> None:
        self.count += 1
        if self.crash_at is not None and self.count >= self.crash_at:
            raise CrashError
        if (number := self.faults.get(self.count)) is not None:
            raise OSError(number, "injected")
        if what in self.broken:
            raise OSError(errno.EIO, f"{what} is broken")

    def used(self) -> int:
        """Bytes of all files, each in whole blocks."""
        return sum(-(-len(inode.data) // 512) * 512 for inode in self.files.values())

    # --- Disk ---

    def names(self) -> list[str]:
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        return bytes(self.files[name].data)

    def _open(self, inode: Inode) -> int:
        self._next += 1
        self._handles[self._next] = inode
        return self._next

    def create(self, name: str) -> int:
        self._step("create")
        if name in self.files:
            raise FileExistsError(errno.EEXIST, name)
        self.files[name] = Inode()
        self._pending.append(("create", name, ""))
        return self._open(self.files[name])

    def append_to(self, name: str) -> int:
        return self._open(self.files[name])

    def write(self, handle: int, data: bytes) -> int:
        inode = self._handles[handle]
        if self.crash_at is not None and self.count + 1 >= self.crash_at:
            inode.data += data[:self._rng.randint(0, len(data))]
        self._step("write")
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
        self._step("truncate")
        inode = self._handles[handle]
        del inode.data[size:]
        inode.synced = inode.synced[:size]

    def sync(self, handle: int) -> None:
        self._step("sync")
        inode = self._handles[handle]
        inode.synced = bytes(inode.data)

    def sync_folder(self) -> None:
        self._step("sync_folder")
        self._durable = dict(self.files)
        self._pending.clear()

    def close(self, handle: int) -> None:
        del self._handles[handle]

    def rename(self, old: str, new: str) -> None:
        self._step("rename")
        self.files[new] = self.files.pop(old)
        self._pending.append(("rename", old, new))

    def unlink(self, name: str) -> None:
        self._step("unlink")
        del self.files[name]
        self._pending.append(("unlink", name, ""))

    def lock(self) -> bool:
        if self._locked:
            return False
        self._locked = True
        return True

    def unlock(self) -> None:
        self._locked = False

    # --- crashes ---

    def after_crash(self, power: bool) -> FaultyDisk:
        """The disk as the next start finds it."""
        fresh = FaultyDisk(self._rng.randrange(1 << 30), self.room)
        if not power:
            fresh.files = {name: Inode(bytearray(inode.data), bytes(inode.data))
                           for name, inode in self.files.items()}
        else:
            kept: dict[str, Inode] = dict(self._durable)
            for what, name, other in self._pending:
                if self._rng.random() < 0.5:
                    continue  # it never reached the disk
                if what == "create" and name in self.files:
                    kept[name] = self.files[name]
                elif what == "rename" and other in self.files:
                    kept.pop(name, None)
                    kept[other] = self.files[other]
                elif what == "unlink":
                    kept.pop(name, None)
            fresh.files = {}
            for name, inode in kept.items():
                data = self._surviving(inode)
                fresh.files[name] = Inode(bytearray(data), data)
        fresh._durable = dict(fresh.files)
        return fresh

    def _surviving(self, inode: Inode) -> bytes:
        """What is left of a file: the synced part whole, of the rest some sectors."""
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
