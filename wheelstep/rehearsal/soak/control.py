"""The page of memory through which the rig tells a courier's process what fails in it. Shared by a mapped file."""

from __future__ import annotations

import mmap
import os
import struct
from pathlib import Path

PAGE = "UMBERCHUTE_FAULT_PAGE"
"""The environment variable that names the file."""

_FORM = struct.Struct("<dddq")  # seconds of clock offset, share of connects and accepts, of disk writes, bytes of I/O
_SIZE = 4096


class FaultPage:
    """What fails just now. Numbers are read and written one by one; a reader may see some old and some new ones."""

    def __init__(self, path: Path) -> None:
        handle = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            os.ftruncate(handle, _SIZE)
            self._page = mmap.mmap(handle, _SIZE)
        finally:
            os.close(handle)

    def _get(self) -> tuple[float, float, float, int]:
        return _FORM.unpack_from(self._page)

    def _put(self, clock_s: float, sockets: float, disk: float, most_bytes: int) -> None:
        _FORM.pack_into(self._page, 0, clock_s, sockets, disk, most_bytes)

    @property
    def clock_s(self) -> float:
        """Seconds that the wall clock is off."""
        return self._get()[0]

    @clock_s.setter
    def clock_s(self, value: float) -> None:
        _, sockets, disk, most = self._get()
        self._put(value, sockets, disk, most)

    @property
    def sockets(self) -> float:
        """Share of connects and accepts that fail."""
        return self._get()[1]

    @sockets.setter
    def sockets(self, value: float) -> None:
        clock, _, disk, most = self._get()
        self._put(clock, value, disk, most)

    @property
    def disk(self) -> float:
        """Share of writes and syncs that fail, half of them in the middle."""
        return self._get()[2]

    @disk.setter
    def disk(self, value: float) -> None:
        clock, sockets, _, most = self._get()
        self._put(clock, sockets, value, most)

    @property
    def most_bytes(self) -> int:
        """So many are read or written at once on a socket at most; 0: any number."""
        return self._get()[3]

    @most_bytes.setter
    def most_bytes(self, value: int) -> None:
        clock, sockets, disk, _ = self._get()
        self._put(clock, sockets, disk, value)

    def close(self) -> None:
        """Unmap it."""
        self._page.close()
