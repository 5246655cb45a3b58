"""The console's commands. No I/O of its own.

A command is one line; the reply is a line that starts with `+OK` or `-ERR`. After `telemetry` the metrics follow, and a
line with a dot.
"""

from __future__ import annotations

from typing import Protocol

MAX_LINE_BYTES = 512  # bytes of a command


class NoOwnerError(Exception):
    """No process of this courier could carry a command out in time."""


class ConsoleBackend(Protocol):
    """What the commands need from the courier."""

    @property
    def ready(self) -> bool:
        """Whether this process can serve."""

    def telemetry(self) -> str:
        """Return the metrics, one per line."""

    async def exclude(self, endpoint: str) -> bool:
        """Take an endpoint out of use, whatever the endpoint list says, until it is included again. False if it is
        unknown. Raises `NoOwnerError`."""

    async def include(self, endpoint: str) -> bool:
        """Put an excluded endpoint back into use. False if it is unknown. Raises `NoOwnerError`."""


async def reply(line: bytes, backend: ConsoleBackend) -> bytes:
    """Return the whole reply to one command."""
    try:
        return (await _reply(line.decode("utf-8", "replace").split(), backend)).encode()
    except NoOwnerError as error:
        return f"-ERR {error}\n".encode()


async def _reply(words: list[str], backend: ConsoleBackend) -> str:
    """Return the reply to a command's words."""
    match words:
        case ["readyz"]:
            return "+OK ready\n" if backend.ready else "-ERR not ready\n"
        case ["telemetry"]:
            return f"+OK\n{backend.telemetry()}.\n"
        case ["exclude", endpoint]:
            return f"+OK {endpoint} is out\n" if await backend.exclude(endpoint) else _unknown(endpoint)
        case ["include", endpoint]:
            return f"+OK {endpoint} is back\n" if await backend.include(endpoint) else _unknown(endpoint)
        case _:
            return "-ERR expected one of: readyz, telemetry, exclude ID, include ID\n"


def _unknown(endpoint: str) -> str:
    """Return the reply for an endpoint that the courier does not know."""
    return f"-ERR no endpoint {endpoint[:80]!r}\n"
