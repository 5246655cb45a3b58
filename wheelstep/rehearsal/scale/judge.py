"""Checks that no client's message was lost or delivered twice. No I/O.

A message answered 202 must be delivered or ended by a notice, and be delivered once. If a courier was killed during a
call, a repeat is allowed for every class but `once`. A message with an unanswered submission may have been accepted
there and elsewhere, so its duplicates are counted apart.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

_BEFORE_KILL_S, _AFTER_KILL_S = 0.5, 0.1  # window around a kill in which the answer to a call may be lost


class Message(Protocol):
    """What a client knows of a message it submitted; see `clients.TrackedMessage`."""

    id: str
    message_class: str
    accepted_s: float | None
    uncertain: bool


@dataclass
class DeliveryReport:
    """Counts of messages, and the first ten problems in `wrong`. `doubled` are faults; `doubled_in_doubt` and
    `repeated_at_kill` are allowed."""

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


def check_deliveries(messages: Sequence[Message], delivered: Mapping[str, Sequence[float]], ended: Collection[str],
                     kills_s: Sequence[float], lost_with_machines: Collection[str]) -> DeliveryReport:
    """Compare messages with their deliveries and ends. `delivered` holds the delivery times by message id, `kills_s`
    the times at which processes were killed or lost power, both in seconds since the run's start; `ended` the ids that
    ended undelivered; `lost_with_machines` the ids held by couriers that lost power."""
    report = DeliveryReport(handed_in=len(messages))
    problems: list[str] = []
    for message in messages:
        delivered_s = sorted(delivered.get(message.id, ()))
        report.taken += message.accepted_s is not None
        if delivered_s:
            report.delivered += 1
        elif message.id in ended:
            report.ended_by_notice += 1
        elif message.accepted_s is not None and message.id in lost_with_machines:
            report.lost_with_machine += 1
        elif message.accepted_s is not None:
            report.lost += 1
            problems.append(f"{message.id} lost")
        if len(delivered_s) < 2:
            continue
        if message.message_class != "once" and all(_is_near_kill(at_s, kills_s) for at_s in delivered_s[:-1]):
            report.repeated_at_kill += 1
        elif message.uncertain:
            report.doubled_in_doubt += 1
        else:
            report.doubled += 1
            problems.append(f"{message.id} doubled")
    report.wrong = tuple(problems[:10])
    return report


def _is_near_kill(at_s: float, kills_s: Sequence[float]) -> bool:
    return any(kill_s - _BEFORE_KILL_S <= at_s <= kill_s + _AFTER_KILL_S for kill_s in kills_s)
