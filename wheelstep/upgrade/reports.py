"""What the calls of a process still bring after it has handed over: packets to its successor, and their reading there.

The process before sends the packets with `SuccessorReports`; its successor reads them with the functions below.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from wheelstep import interface as api
from wheelstep.courier.call import Contradiction, Item, Result
from wheelstep.courier.core import Core
from wheelstep.interface import Outcome


class SuccessorReports:
    """Sends packets to the successor (`courier.ports.Successor`). `send` queues one, in the order of its calls."""

    def __init__(self, send: Callable[[dict[str, Any]], None]) -> None:
        self._send = send

    def ended(self, endpoint: str, results: Sequence[tuple[Item, Result]]) -> None:
        """Send the outcomes of a call that was in flight at the handover."""
        rows = [[item.message, item.attempt, result.outcome.value, result.spent_us, result.wait_us,
                 [result.limit.left, result.limit.per_s] if result.limit is not None else None,
                 result.over, result.exhausted] for item, result in results]
        unfinished = [[item.message, item.attempt] for item, result in results if result.unfinished]
        self._send({"is": "ended", "endpoint": endpoint, "rows": rows, "unfinished": unfinished})

    def apply_wait(self, endpoint: str, wait_us: int) -> None:
        """Send a wait that an endpoint stated in answer to a call or probe of this process: it binds the successor
        too."""
        self._send({"is": "waits", "rows": [[endpoint, wait_us]]})

    def contradicted(self, contradiction: Contradiction) -> None:
        """Send that the answer to a call of this process was the copy of an earlier one."""
        item = contradiction.item
        self._send({"is": "contradiction", "message": item.message, "attempt": item.attempt, "once": item.once,
                    "believed": contradiction.believed, "found": contradiction.found})


def read_results(head: dict[str, Any]) -> list[tuple[Item, Result]]:
    """Return the outcomes of an `ended` packet."""
    unfinished = head.get("unfinished", ())
    return [(Item(name, number, None, b""), Result(
        Outcome(outcome), spent_us, wait_us, api.LimitReport(*limit) if limit else None, over, exhausted,
        unfinished=[name, number] in unfinished))
        for name, number, outcome, spent_us, wait_us, limit, over, exhausted in head["rows"]]


def apply_contradiction(head: dict[str, Any], core: Core) -> None:
    """Correct what a contradicted answer to a call of the process before led to, or pass that on in turn."""
    item = Item(str(head["message"]), int(head["attempt"]), None, b"", once=bool(head["once"]))
    if core.endpoint_client.on_contradiction is not None:
        core.endpoint_client.on_contradiction(Contradiction(item, int(head["believed"]), int(head["found"])))
