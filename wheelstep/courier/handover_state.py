"""What a process of a courier takes over from the one before: open calls and settling keys. No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from wheelstep import interface as api
from wheelstep.courier.key_order import KeyOrder
from wheelstep.courier.left_endpoints import LEFT_MARK
from wheelstep.courier.ports import OpenCall
from wheelstep.courier.wall_clock import CLOCK_MARK
from wheelstep.journal import StoredMessage


def calls_in_progress(calls: Sequence[Sequence[tuple[str, int]]],
                      messages: Mapping[str, StoredMessage]) -> list[OpenCall]:
    """Return the calls of which an attempt is in the journal without an outcome. `calls` has the messages and attempt
    numbers of each."""
    found = []
    for attempts in calls:
        rows = [(name, number, held.out[number]) for name, number in attempts
                if (held := messages.get(name)) is not None and number in held.out]
        if rows:
            found.append(OpenCall(rows[0][2][1], rows[0][2][0], [(name, number) for name, number, _ in rows]))
    return found


def was_used(marks: Iterable[str]) -> bool:
    """Return whether a process has used this folder before, given the names of the journal's marks. The clock's and
    those of endpoints that discovery names are written at the start, before anything is restored."""
    return any(name != CLOCK_MARK and not name.startswith(LEFT_MARK) for name in marks)


def continue_settling(order: KeyOrder, settling: Mapping[str, int] | None, all_settled_s: float,
           now_s: float) -> api.KeysSettling | None:
    """Continue the settle periods of the process before, and return the event for the decision module, None if no key
    settles.

    `settling` has the settling keys and the microseconds left, as that process reported them. None: it could not
    report, and any key may have had an attempt until its end, so that all keys settle until `all_settled_s`.
    """
    keys = tuple((settling or {}).items())
    order.settle(keys, now_s)
    all_us = 0
    if settling is None and all_settled_s > now_s:
        order.settle_all(all_settled_s)
        all_us = int((all_settled_s - now_s) * 1e6) + 1
    return api.KeysSettling(keys, all_us) if keys or all_us else None
