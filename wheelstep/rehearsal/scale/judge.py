"""Was any message of a client lost or doubled? No I/O.

A message that was answered 202 is delivered, or ended by a notice. It is delivered once; where its owner was killed
while a call was out, a repeat is within the rules of every class but `once`. A message of which a hand-in got no answer
may have been taken there and somewhere else: such doubles are counted apart.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

_BEFORE_S, _AFTER_S = 0.5, 0.1  # of a kill: calls whose answers it may have swallowed


class Message(Protocol):
    """What a client knows."""

    id: str
    message_class: str
    taken_s: float | None
    doubted: bool


@dataclass
class Verdict:
    """Counts; the first few ids of what is wrong."""

    handed_in: int = 0
    taken: int = 0
    delivered: int = 0
    ended_by_notice: int = 0
    lost: int = 0
    lost_with_machine: int = 0
    doubled: int = 0
    doubled_in_doubt: int = 0
    repeated_at_kill: int = 0
    wrong: tuple[str, ...] = ()


def judge(messages: Sequence[Message], delivered: Mapping[str, Sequence[float]], ended: Collection[str],
          kills_s: Sequence[float], gone: Collection[str]) -> Verdict:
    """`delivered`: when, in the run's seconds; `kills_s`: when processes were killed or lost; `gone`: what was owed by
    machines that are lost for good."""
    found = Verdict(handed_in=len(messages))
    wrong: list[str] = []
    for message in messages:
        at = sorted(delivered.get(message.id, ()))
        found.taken += message.taken_s is not None
        if at:
            found.delivered += 1
        elif message.id in ended:
            found.ended_by_notice += 1
        elif message.taken_s is not None and message.id in gone:
            found.lost_with_machine += 1
        elif message.taken_s is not None:
            found.lost += 1
            wrong.append(f"{message.id} lost")
        if len(at) < 2:
            continue
        if message.message_class != "once" and all(_near(one, kills_s) for one in at[:-1]):
            found.repeated_at_kill += 1
        elif message.doubted:
            found.doubled_in_doubt += 1
        else:
            found.doubled += 1
            wrong.append(f"{message.id} doubled")
    found.wrong = tuple(wrong[:10])
    return found


def _near(at_s: float, kills_s: Sequence[float]) -> bool:
    return any(kill_s - _BEFORE_S <= at_s <= kill_s + _AFTER_S for kill_s in kills_s)
