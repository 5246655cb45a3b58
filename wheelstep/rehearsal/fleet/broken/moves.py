"""Couriers that move a channel while its call is out."""

from __future__ import annotations

from wheelstep.moves.giver import Giver


def moves_with_a_call_out() -> None:
    """No call is waited for before a part is handed over."""
    Giver._calls_done = lambda self, now_us: True  # type: ignore[method-assign]
