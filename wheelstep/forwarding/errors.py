"""Ends of an ask that its asker may act on. No I/O."""

from __future__ import annotations

from wheelstep.journal import NoRoomError


class NotAskedError(NoRoomError):
    """Nothing was sent: the other can't be reached, or too much is under way to it. Nobody has taken the message."""


class AwayError(NotAskedError):
    """Who was asked does not serve the destination, and has taken nothing."""
