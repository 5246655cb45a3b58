"""Rule 1: every message that was taken on is delivered, or its one end is told in time."""

from __future__ import annotations

from collections.abc import Iterable

from wheelstep.rehearsal.evidence import Evidence, Message, millis, seconds
from wheelstep.rehearsal.history import End
from wheelstep.rehearsal.verdict import Finding, Rule


def findings(e: Evidence) -> Iterable[Finding]:
    """Messages with no end, a late end, or two."""
    for name, message in e.messages.items():
        courier = message.handed.courier
        answer = message.answer
        if answer is not None and answer.end is End.ENDED and not _died_near(e, courier, message):
            yield Finding(Rule.LOST, answer.at_us, courier,
                          "its client's connection was ended with no answer", (name,))
        if not message.taken:
            continue
        due_us = message.handed.deadline_us + e.figures.answer_slack_us + e.figures.socket_slack_us
        for begin, end in e.away.get(courier, ()):
            if begin <= due_us <= end + e.figures.restart_grace_us:
                due_us = end + e.figures.restart_grace_us
        due_us += e.late.near(due_us)
        ended_us = message.ended_us()
        if ended_us is None and due_us <= e.history.end_us:
            yield Finding(Rule.LOST, due_us, courier,
                          f"taken on at {seconds(message.handed.at_us)}, neither delivered nor ended by its time",
                          (name,), tuple(message.calls))
        elif ended_us is not None and ended_us > due_us:
            yield Finding(Rule.LOST, ended_us, courier, f"ended {millis(ended_us - due_us)} after it was due",
                          (name,), tuple(message.calls))
        outcomes = {notice.outcome for notice in message.notices}
        if len(outcomes) > 1:
            yield Finding(Rule.LOST, message.notices[-1].at_us, courier,
                          f"two ends were told: {', '.join(sorted(outcomes))}", (name,))


def _died_near(e: Evidence, courier: str, message: Message) -> bool:
    assert message.answer is not None
    return any(begin - 100_000 <= message.answer.at_us <= end + 100_000
               for begin, end in e.away.get(courier, ()))
