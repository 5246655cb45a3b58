"""Lets a courier's process end by SIGKILL, or stand still by SIGSTOP, at a named point, from within. Only in that
process.

The file that `RIG_POINT` names is there while it is to befall somebody; its text is the signal, a point and a count:
`SIGKILL heard Seal 1`. The first process that comes to its point for the count-th time takes the file away and sends
itself the signal. Points: `sent X`, `heard X` and `answered X` for each message of a move, `voted Accept`, `adopted`,
and `first byte`: right before it is looked whether a call's first byte may be written.
"""

from __future__ import annotations

import os
import signal
from collections import Counter
from pathlib import Path
from typing import Any

from wheelstep.courier.dispatcher import Dispatcher
from wheelstep.courier.endpoint_client import Item
from wheelstep.fleet.errands import PendingOperations
from wheelstep.fleet.node import Node
from wheelstep.fleet.tenure import PartCoordinator
from wheelstep.fleet.types import Accept, Action, Ask, Votes
from wheelstep.moves.giver import Giver
from wheelstep.moves.steps import Act
from wheelstep.moves.types import Move, Moved


def arm(path: Path) -> None:
    """From now on this process looks out for its point."""
    counts: Counter[str] = Counter()
    text = ""

    def reached(point: str) -> None:
        nonlocal text
        try:
            now = path.read_text()
        except OSError:
            return
        if now != text:
            text = now
            counts.clear()
        counts[point] += 1
        sent, _, rest = now.partition(" ")
        wanted, _, count = rest.rpartition(" ")
        if point == wanted and counts[point] >= int(count):
            try:
                path.unlink()
            except FileNotFoundError:
                return  # it has befallen another process
            print(f"\nthe rig signals this process: {now}", flush=True)
            os.kill(os.getpid(), signal.Signals[sent])

    call, asked, gained, answered = PendingOperations.call, Node.asked, PartCoordinator._gained, Giver.handle_answer
    may_start = Dispatcher.may_start

    def sends(self: PendingOperations, member: str, ask: Ask, *more: Any) -> Action:
        reached(f"sent {type(ask).__name__}")
        return call(self, member, ask, *more)

    def hears(self: Node, now_us: int, token: int, sender: str, ask: Ask) -> list[Action]:
        if isinstance(ask, Votes):
            if any(isinstance(one, Accept) for one in ask.asks):
                reached("voted Accept")
        else:
            reached(f"heard {type(ask).__name__}")
        return asked(self, now_us, token, sender, ask)

    def gains(self: PartCoordinator, *given: Any) -> list[Action]:
        if self.taker.sealed_epoch(given[1].part) is not None:
            reached("adopted")
        return gained(self, *given)

    def is_answered(self: Giver, now_us: int, request: Move, moved: Moved | None) -> list[Act]:
        if moved is not None and moved.ok:
            reached(f"answered {type(request).__name__}")
        return answered(self, now_us, request, moved)

    def may_still(self: Dispatcher, endpoint: str, item: Item) -> bool:
        reached("first byte")
        return may_start(self, endpoint, item)

    Dispatcher.may_start = may_still  # type: ignore[method-assign]
    PendingOperations.call = sends  # type: ignore[method-assign, assignment]
    Node.asked = hears  # type: ignore[method-assign]
    PartCoordinator._gained = gains  # type: ignore[method-assign, assignment]
    Giver.handle_answer = is_answered  # type: ignore[method-assign]
