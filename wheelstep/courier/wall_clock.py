"""Unix time that steps of the wall clock don't change, and spans between now and moments that the journal stores.

Deadlines and the moments of attempts are stored as Unix milliseconds, since they outlast the process. What they bound
is a span of real time: a wall clock that is set forward or back must not end a message early, nor keep it for an hour.
So a process derives its Unix time from the monotonic clock and an offset. The offset is stored in the journal for later
processes on the same boot of the machine, on which the monotonic clock runs on.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

from wheelstep.journal import StoredMessage

CLOCK_MARK = ":time"  # the journal's mark: the boot's id, and Unix time minus monotonic time, in milliseconds
_BOOT_ID = Path("/proc/sys/kernel/random/boot_id")
_STEPPED_MS = 50  # a larger difference from the wall clock is logged

log = logging.getLogger(__name__)


class UnixClock:
    """Unix time; that of the wall clock until `adopt_offset` is called."""

    def __init__(self) -> None:
        self._offset_s: float | None = None

    def now_s(self) -> float:
        """Return the Unix time in seconds, by the adopted offset once there is one."""
        return time.time() if self._offset_s is None else time.monotonic() + self._offset_s

    def now_ms(self) -> int:
        """Return the Unix time in whole milliseconds."""
        return int(self.now_s() * 1000)

    def at_ms(self, monotonic_s: float) -> int:
        """Return the Unix time of a moment that the monotonic clock gave, in whole milliseconds."""
        return int((self.now_s() - (time.monotonic() - monotonic_s)) * 1000)

    def adopt_offset(self, marks: Mapping[str, Any], store: Callable[[str, Any], None],
                     boot: str | None = None) -> None:
        """Use the offset of an earlier process on this boot, or store a new one. `marks` are the journal's, `store`
        writes one; `boot` is the boot's id (default: that of the system). Without one no stored offset
        is used. Raises `OSError` if the default can't be read."""
        boot = boot_id() if boot is None else boot
        self._offset_s = time.time() - time.monotonic()
        match marks.get(CLOCK_MARK):
            case [str(known), int(offset_ms)] if known == boot and boot:
                stepped_ms = int(self._offset_s * 1000) - offset_ms
                if abs(stepped_ms) > _STEPPED_MS:
                    log.warning("the wall clock was set by %+d ms; deadlines go on by the monotonic one", stepped_ms)
                self._offset_s = offset_ms / 1000
            case _:
                store(CLOCK_MARK, [boot, int(self._offset_s * 1000)])


def boot_id() -> str:
    """Return the id of this boot of the machine, empty if the system has none. Raises `OSError` where it can't be read
    at the moment: without it the stored offset would be taken for that of another boot."""
    try:
        return _BOOT_ID.read_text(encoding="ascii").strip()
    except (FileNotFoundError, PermissionError, UnicodeDecodeError):
        return ""


clock = UnixClock()
"""The process's clock for moments that outlast it."""


def ago_us(at_ms: int) -> int:
    """Return the microseconds since a moment; 0 for one in the future."""
    return max(0, int(clock.now_s() * 1e6) - at_ms * 1000)


def left_us(message: StoredMessage) -> int:
    """Return the microseconds until a message's deadline; 0 once that has passed."""
    return max(0, message.deadline_ms * 1000 - int(clock.now_s() * 1e6))


def time_is_up(message: StoredMessage, ahead_us: int) -> bool:
    """Return whether at most `ahead_us` is left until the deadline, so that it is too late for a delivery.

    For the platform a 200 that an endpoint writes after the deadline is no delivery, and the courier can't tell when it
    was written. The client's deadline is `ahead_us` earlier than the courier's, for the transfer of its request and
    turns of the event loop. A message whose answer came just in time gets a notice too, which the platform ignores
    (PROTOCOL, 'Notices')."""
    return clock.now_s() * 1e6 >= message.deadline_ms * 1000 - ahead_us
