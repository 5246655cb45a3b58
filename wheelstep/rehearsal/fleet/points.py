"""Makes a courier's process send itself SIGKILL or SIGSTOP at a named point. Runs in that process only.

The file that `RIG_POINT` names exists while a signal is pending. Its text is the signal, a point and a count, such as
`SIGKILL heard Seal 1`. The first process that reaches the point for the count-th time removes the file and sends itself
the signal. Points: `sent X`, `heard X` and `answered X` for each message X of a move, `voted Accept`, `adopted`, and
`first byte`, which is right before the check whether a call's first byte may be written.
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


def install(path: Path) -> None:
    """Patch the daemon's classes so that this process counts its points and obeys the file at `path`."""
    counts: Counter[str] = Counter()
    last_instruction = ""

    def signal_at(point: str) -> None:
        nonlocal last_instruction
        try:
            instruction = path.read_text()
        except OSError:
            return
        if instruction != last_instruction:
            last_instruction = instruction
            counts.clear()
        counts[point] += 1
        signal_name, _, point_and_count = instruction.partition(" ")
        wanted_point, _, count = point_and_count.rpartition(" ")
        if point == wanted_point and counts[point] >= int(count):
            try:
                path.unlink()
            except FileNotFoundError:
                return  # another process has taken the signal
            print(f"\nthe rig signals this process: {instruction}", flush=True)
            os.kill(os.getpid(), signal.Signals[signal_name])

    original_call, original_asked, original_gained, original_answered = (
        PendingOperations.call, Node.asked, PartCoordinator._gained, Giver.handle_answer)
    original_may_start = Dispatcher.may_start

    def counted_call(self: PendingOperations, member: str, ask: Ask, *more: Any) -> Action:
        signal_at(f"sent {type(ask).__name__}")
        return original_call(self, member, ask, *more)

    def counted_asked(self: Node, now_us: int, token: int, sender: str, ask: Ask) -> list[Action]:
        if isinstance(ask, Votes):
            if any(isinstance(inner, Accept) for inner in ask.asks):
                signal_at("voted Accept")
        else:
            signal_at(f"heard {type(ask).__name__}")
        return original_asked(self, now_us, token, sender, ask)

    def counted_gained(self: PartCoordinator, *given: Any) -> list[Action]:
        if self.taker.sealed_epoch(given[1].part) is not None:
            signal_at("adopted")
        return original_gained(self, *given)

    def counted_answered(self: Giver, now_us: int, request: Move, moved: Moved | None) -> list[Act]:
        if moved is not None and moved.ok:
            signal_at(f"answered {type(request).__name__}")
        return original_answered(self, now_us, request, moved)

    def counted_may_start(self: Dispatcher, endpoint: str, item: Item) -> bool:
        signal_at("first byte")
        return original_may_start(self, endpoint, item)

    Dispatcher.may_start = counted_may_start  # type: ignore[method-assign]
    PendingOperations.call = counted_call  # type: ignore[method-assign, assignment]
    Node.asked = counted_asked  # type: ignore[method-assign]
    PartCoordinator._gained = counted_gained  # type: ignore[method-assign, assignment]
    Giver.handle_answer = counted_answered  # type: ignore[method-assign]
