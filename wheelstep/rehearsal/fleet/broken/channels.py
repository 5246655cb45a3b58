"""Couriers that don't keep channels' positions."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from wheelstep.channels.line import Line
from wheelstep.channels.shelf import MARK, Shelf
from wheelstep.channels.terms import End


def forgets_position() -> None:
    """A process that starts reads no position."""
    restore = Shelf.restore

    def without(self: Shelf, now_ms: int, marks: Mapping[str, Any], owed: Mapping[str, bool]) -> list[End]:
        return restore(self, now_ms, {name: value for name, value in marks.items() if not name.startswith(MARK)}, owed)

    Shelf.restore = without  # type: ignore[method-assign]


def skips_gaps() -> None:
    """A number that is missing is passed over at once, whatever the contract says."""
    Line._in_the_way = lambda self, now_ms, gap: gap is not None  # type: ignore[method-assign]
