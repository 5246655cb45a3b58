"""Errors of a call at its connection. No I/O."""

from __future__ import annotations


class ConnectionBrokenError(Exception):
    """The connection could not be opened, or ended before any byte of an answer."""


class WriteTimeoutError(Exception):
    """A call could not be written whole in time, and its last byte was not sent."""


class LocalResourceError(Exception):
    """This machine refused a resource: a socket, a port, a write to its disk. Nothing was sent, and the error says
    nothing about the endpoint."""
