"""How a call fails at its connection. No I/O."""

from __future__ import annotations


class BrokenError(Exception):
    """The connection could not be made or ended, and nothing of an answer had come."""


class LateError(Exception):
    """A call could not be written whole in its time: its last byte did not go out."""


class LocalError(Exception):
    """This machine refused what a call needs: a socket, a port, a write to its disk. It says nothing of the endpoint,
    and nothing was sent."""
