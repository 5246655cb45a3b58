"""The clock of leases and of channels."""

from __future__ import annotations

import time


def now_us() -> int:
    """Return the time of leases in microseconds. It advances while the process is stopped or the machine sleeps."""
    return int(time.clock_gettime(time.CLOCK_BOOTTIME) * 1e6)


def now_ms() -> int:
    """Return the same time in milliseconds, for channels."""
    return now_us() // 1000
