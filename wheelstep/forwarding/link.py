"""Interface of the connections that carry forwarded messages. Frames arrive in the order in which they were sent, and
both sides are notified when the connection ends. No I/O."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

OnFrame = Callable[[dict[str, Any], bytes], None]
"""Called with each received frame: its head and its body."""

OnEnd = Callable[[], None]
"""Called once the connection has ended; no frame follows."""


class Link(Protocol):
    """One connection to another process."""

    @property
    def open(self) -> bool:
        """Whether frames can be sent."""

    def send(self, head: dict[str, Any], body: bytes = b"") -> bool:
        """Queue a frame. Return False if it can't be sent: the connection is closed, too much is queued, or the frame
        is too large."""

    def close(self) -> None:
        """Close the connection at once."""


Dial = Callable[[OnFrame, OnEnd], Awaitable[Link | None]]
"""Connects, within a timeout of its own. The result is None if the other process can't be reached."""
