"""What a line on the second address means. No I/O.

A call is one line; the reply is a line that starts with `+OK` or `-ERR`. After `telemetry` the figures follow, and a
line with a dot.
"""

from __future__ import annotations

from typing import Protocol

MOST_LINE = 512  # bytes of a call


class Desk(Protocol):
    """What the calls ask of the courier."""

    @property
    def ready(self) -> bool:
        """Can this process serve?"""

    def telemetry(self) -> str:
        """The figures, a line each."""

    def exclude(self, endpoint: str) -> bool:
        """Take it out, whatever the list says, until it is put back. False if nobody has heard of it."""

    def include(self, endpoint: str) -> bool:
        """Put it back. False if nobody has heard of it."""


def reply(line: bytes, desk: Desk) -> bytes:
    """The whole reply to one call."""
    return _reply(line.decode("utf-8", "replace").split(), desk).encode()


def _reply(words: list[str], desk: Desk) -> str:
    match words:
        case ["readyz"]:
            return "+OK ready\n" if desk.ready else "-ERR not ready\n"
        case ["telemetry"]:
            return f"+OK\n{desk.telemetry()}.\n"
        case ["exclude", endpoint]:
            return f"+OK {endpoint} is out\n" if desk.exclude(endpoint) else _unknown(endpoint)
        case ["include", endpoint]:
            return f"+OK {endpoint} is back\n" if desk.include(endpoint) else _unknown(endpoint)
        case _:
            return "-ERR expected one of: readyz, telemetry, exclude ID, include ID\n"


def _unknown(endpoint: str) -> str:
    return f"-ERR no endpoint {endpoint[:80]!r}\n"
