"""The clock of leases and of channels."""

from __future__ import annotations

import time


def now_us() -> int:
    """The clock of leases: it goes on while the process stands still, and while the machine sleeps."""
    return int(time.clock_gettime(time.CLOCK_BOOTTIME) * 1e6)


def now_ms() -> int:
    """The same in milliseconds, for channels."""
    return now_us() // 1000
