"""What one process of a courier tells the next, as far as the order of keys and open calls go. No I/O."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from wheelstep import interface as api
from wheelstep.courier.key_order import KeyOrder
from wheelstep.courier.ports import CallsOut
from wheelstep.journal import Stored


def begun(calls: Sequence[Sequence[tuple[str, int]]], messages: Mapping[str, Stored]) -> list[CallsOut]:
    """Return those calls of which an attempt was written down, and has no outcome yet."""
    found = []
    for attempts in calls:
        rows = [(name, number, held.out[number]) for name, number in attempts
                if (held := messages.get(name)) is not None and number in held.out]
        if rows:
            found.append(CallsOut(rows[0][2][1], rows[0][2][0], [(name, number) for name, number, _ in rows]))
    return found


def follow(order: KeyOrder, settling: Mapping[str, int] | None, all_settled_s: float,
           now_s: float) -> api.KeysSettling | None:
    """Go on with the settle periods of the process before, and return what the module has to know of them.

    `settling` has the keys that settle, with the microseconds left, as that process told. None: it could not tell, and
    an attempt of any key may have ended with it, so that all keys have settled at `all_settled_s`.
    """
    keys = tuple((settling or {}).items())
    order.settle(keys, now_s)
    all_us = 0
    if settling is None and all_settled_s > now_s:
        order.settle_all(all_settled_s)
        all_us = int((all_settled_s - now_s) * 1e6) + 1
    return api.KeysSettling(keys, all_us) if keys or all_us else None
