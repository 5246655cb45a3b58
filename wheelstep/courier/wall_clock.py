"""Unix time that no step of the wall clock moves, and spans between now and moments that the journal keeps.

Deadlines, and the moments of attempts, are kept as Unix milliseconds, since they outlast the process. What binds them
is a span of real time: a wall clock that is set forward or back must not end a message early, nor keep it for an hour.
So a process takes its Unix time from the monotonic clock and an offset, and the offset is kept in the journal for the
processes that follow on the same boot of the machine, on which the monotonic clock runs on.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

from wheelstep.journal import Stored

MARK = ":time"  # the journal's mark: the boot's id, and Unix time less monotonic time, in milliseconds
_BOOT_ID = Path("/proc/sys/kernel/random/boot_id")
_STEPPED_MS = 50  # a wall clock that is off by more is told of

log = logging.getLogger(__name__)


class UnixClock:
    """Unix time; the wall clock's own until `follow` was called."""

    def __init__(self) -> None:
        self._offset_s: float | None = None

    def now_s(self) -> float:
        """Return the Unix time in seconds."""
        return time.time() if self._offset_s is None else time.monotonic() + self._offset_s

    def now_ms(self) -> int:
        """Return the Unix time in whole milliseconds."""
        return int(self.now_s() * 1000)

    def follow(self, marks: Mapping[str, Any], keep: Callable[[str, Any], None], boot: str | None = None) -> None:
        """Go on with the offset of a process before on this boot, or keep this one's. `marks` are the journal's, `keep`
        writes one; `boot` is the boot's id (default: as the system tells it)."""
        boot = boot_id() if boot is None else boot
        self._offset_s = time.time() - time.monotonic()
        match marks.get(MARK):
            case [str(known), int(offset_ms)] if known == boot and boot:
                stepped_ms = int(self._offset_s * 1000) - offset_ms
                if abs(stepped_ms) > _STEPPED_MS:
                    log.warning("the wall clock was set by %+d ms; deadlines go on by the monotonic one", stepped_ms)
                self._offset_s = offset_ms / 1000
            case _:
                keep(MARK, [boot, int(self._offset_s * 1000)])


def boot_id() -> str:
    """Return what names this boot of the machine, empty where the system does not tell."""
    try:
        return _BOOT_ID.read_text(encoding="ascii").strip()
    except (OSError, UnicodeDecodeError):
        return ""


clock = UnixClock()
"""The process's one clock for moments that outlast it."""


def ago_us(at_ms: int) -> int:
    """Return how long ago a moment was, in microseconds; 0 for one that is still to come."""
    return max(0, int(clock.now_s() * 1e6) - at_ms * 1000)


def left_us(message: Stored) -> int:
    """Return the time that a message may still be delivered in, in microseconds; 0 once it is up."""
    return max(0, message.deadline_ms * 1000 - int(clock.now_s() * 1e6))


def time_is_up(message: Stored, ahead_us: int) -> bool:
    """Return whether it is too late for a delivery.

    A 200 that is written once the time is up delivers nothing to the platform, and when it was written can't be told
    from here. The client's clock is ahead of ours by `ahead_us`, for the way of its request and steps of the loop. The
    end of a message that came just in time is told as well, which the platform passes over (PROTOCOL, 'Notices')."""
    return clock.now_s() * 1e6 >= message.deadline_ms * 1000 - ahead_us
