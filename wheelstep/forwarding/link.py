"""What carries forwarded messages: one connection, in order, whose end both sides hear of. No I/O."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

Heard = Callable[[dict[str, Any], bytes], None]
"""A head and the bytes that came with it."""

Lost = Callable[[], None]
"""The connection has ended; nothing more is heard of it."""


class Link(Protocol):
    """One connection to another process."""

    @property
    def open(self) -> bool:
        """Can anything be sent?"""

    def send(self, head: dict[str, Any], body: bytes = b"") -> bool:
        """Send, in order, bounded; False if it can't be."""

    def close(self) -> None:
        """At once."""


Dial = Callable[[Heard, Lost], Awaitable[Link | None]]
"""Connect, within the dialler's own bound of time; None where the other can't be reached."""
