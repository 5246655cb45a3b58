"""The page of memory through which the rig tells a courier's process what fails in it. Shared by a mapped file."""

from __future__ import annotations

import mmap
import os
import struct
from pathlib import Path

PAGE = "UMBERCHUTE_FAULT_PAGE"
"""The environment variable that names the file."""

_SIZE = 4096


class _Number:
    """One number of the page, read and written where it stands."""

    def __init__(self, form: str, at: int) -> None:
        self._form, self._at = struct.Struct(form), at

    def __get__(self, page: FaultPage, owner: type[FaultPage]) -> float:
        return float(self._form.unpack_from(page.memory, self._at)[0])

    def __set__(self, page: FaultPage, value: float) -> None:
        self._form.pack_into(page.memory, self._at, value)


class FaultPage:
    """What fails just now. Numbers are read and written one by one; a reader may see some old and some new ones."""

    clock_s = _Number("<d", 0)  # seconds that the wall clock is off
    sockets = _Number("<d", 8)  # share of connects and accepts that fail
    disk = _Number("<d", 16)  # share of writes and syncs that fail, half of them in the middle
    most_bytes = _Number("<d", 24)  # so many are read or written at once on a socket at most; 0: any number

    def __init__(self, path: Path) -> None:
        handle = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            os.ftruncate(handle, _SIZE)
            self.memory = mmap.mmap(handle, _SIZE)
        finally:
            os.close(handle)

    def close(self) -> None:
        """Unmap it."""
        self.memory.close()
