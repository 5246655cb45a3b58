"""Reads how much memory this process takes, together with others that share its limit."""

from __future__ import annotations

import contextlib
import os

_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_RESIDENT_FIELD = 1  # of /proc/PID/statm, in pages
_START_FIELD = 19  # of /proc/PID/stat, behind the name in parentheses; see proc(5)
_MAX_READ_BYTES = 4096


class ProcessMemory:
    """Resident memory of this process, and of others during an upgrade."""

    def __init__(self) -> None:
        self._others: dict[int, bytes] = {}  # process ids, and when each started
        self._last_bytes = 0

    def add_process(self, pid: int) -> None:
        """Count another process until it has ended; one that gets its id later is not counted."""
        with contextlib.suppress(OSError, IndexError):
            if pid != os.getpid():
                self._others[pid] = _start_time(pid)

    def own_bytes(self) -> int:
        """Return the resident memory of this process; what was read last where the system can't tell at the moment."""
        with contextlib.suppress(OSError, ValueError, IndexError):
            self._last_bytes = _resident_bytes("self")
        return self._last_bytes

    def other_bytes(self) -> int:
        """Return the resident memory of the other processes."""
        return sum(self._of_other(pid) for pid in list(self._others))

    def _of_other(self, pid: int) -> int:
        try:
            if _start_time(pid) == self._others[pid]:
                return _resident_bytes(str(pid))
        except (OSError, ValueError, IndexError) as error:
            if not isinstance(error, FileNotFoundError | ProcessLookupError):
                return 0  # the system can't tell at the moment
        del self._others[pid]
        return 0


def _resident_bytes(process: str) -> int:
    """Raises `OSError`; a process that ends meanwhile gives `ValueError` or `IndexError`."""
    return int(_read(f"/proc/{process}/statm").split()[_RESIDENT_FIELD]) * _PAGE_BYTES


def _start_time(pid: int) -> bytes:
    """Return when a process started, as the kernel counts it. Raises `OSError` and `IndexError`."""
    return _read(f"/proc/{pid}/stat").rpartition(b")")[2].split()[_START_FIELD]


def _read(path: str) -> bytes:
    descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
    try:
        return os.read(descriptor, _MAX_READ_BYTES)
    finally:
        os.close(descriptor)
