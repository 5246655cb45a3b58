"""Patches of couriers that lose channels' positions or skip numbers."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from wheelstep.channels.line import ChannelQueue
from wheelstep.channels.shelf import MARK_PREFIX, ChannelStore
from wheelstep.channels.terms import End


def forgets_position() -> None:
    """Patch the journal's replay so that a starting process restores no position."""
    restore = ChannelStore.restore

    def without(self: ChannelStore, now_ms: int, marks: Mapping[str, Any], owed: Mapping[str, bool]) -> list[End]:
        return restore(self, now_ms, {name: value for name, value in marks.items()
                                      if not name.startswith(MARK_PREFIX)}, owed)

    ChannelStore.restore = without  # type: ignore[method-assign]


def skips_gaps() -> None:
    """Patch the channel's queue so that it skips a missing number at once, whatever the contract says."""
    ChannelQueue._may_skip_gap = lambda self, now_ms, gap: gap is not None  # type: ignore[method-assign]
