"""Errors that tell the asking process that nobody has taken the message, so that it may ask again. No I/O."""

from __future__ import annotations

from wheelstep.journal import NoRoomError


class NotAskedError(NoRoomError):
    """Nothing was sent: the other process can't be reached, or too many asks to it are open. Nobody took it."""


class AwayError(NotAskedError):
    """The process that was asked does not serve the destination and has not taken the message."""
