"""A memory page, shared through a mapped file, by which the rig sets the faults inside a courier's process."""

from __future__ import annotations

import mmap
import os
import struct
from pathlib import Path

FAULT_PAGE_VARIABLE = "UMBERCHUTE_FAULT_PAGE"
"""Environment variable with the path of the mapped file."""

_PAGE_BYTES = 4096


class _FloatField:
    """Descriptor of one number that is stored at a fixed offset of the page."""

    def __init__(self, layout: str, offset: int) -> None:
        self._struct, self._offset = struct.Struct(layout), offset

    def __get__(self, page: FaultPage, owner: type[FaultPage]) -> float:
        return float(self._struct.unpack_from(page.memory, self._offset)[0])

    def __set__(self, page: FaultPage, value: float) -> None:
        self._struct.pack_into(page.memory, self._offset, value)


class FaultPage:
    """The faults that are active now. Each number is read and written by itself: a reader may see a mix of old and new
    ones. The file is created, filled with zeros, if it does not exist; raises OSError where it can't be mapped."""

    clock_offset_s = _FloatField("<d", 0)  # added to the wall clock
    socket_failure_share = _FloatField("<d", 8)  # share that fails of connects, accepts, new sockets and their options
    disk_failure_share = _FloatField("<d", 16)  # share of calls that fail; half of the failing writes write a part
    max_socket_bytes = _FloatField("<d", 24)  # read or written by one call on a socket at most; 0: no limit
    transfer_failure_share = _FloatField("<d", 32)  # share of reads and writes on sockets that fail
    poll_failure_share = _FloatField("<d", 40)  # share of the calls of poll and epoll that fail
    open_failure_share = _FloatField("<d", 48)  # share that fails of opening files for reading, and listing folders
    read_failure_share = _FloatField("<d", 56)  # share of reads on sockets that fail, beside the transfers

    def __init__(self, path: Path) -> None:
        file_descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            os.ftruncate(file_descriptor, _PAGE_BYTES)
            self.memory = mmap.mmap(file_descriptor, _PAGE_BYTES)
        finally:
            os.close(file_descriptor)

    def close(self) -> None:
        """Unmap the page."""
        self.memory.close()
