"""Rule 1: every accepted message is delivered or gets one notification, in time."""

from __future__ import annotations

from collections.abc import Iterable

from wheelstep.rehearsal.evidence import Evidence, Message, millis, seconds
from wheelstep.rehearsal.history import End
from wheelstep.rehearsal.verdict import Finding, Rule


def findings(evidence: Evidence) -> Iterable[Finding]:
    """Yield accepted messages with no terminal outcome, a late one or two different notifications, and submissions
    whose connection was closed without an answer while the courier's process ran, also after SIGTERM."""
    for name, message in evidence.messages.items():
        courier = message.submission.courier
        answer = message.answer
        if answer is not None and answer.end is End.ENDED and not _not_running_around(evidence, courier, message):
            yield Finding(Rule.LOST, answer.at_us, courier,
                          "the client's connection was closed without an answer", (name,))
        if not message.accepted:
            continue
        due_us = message.submission.deadline_us + evidence.figures.answer_slack_us + evidence.figures.socket_slack_us
        for begin, end in evidence.unavailable.get(courier, ()):
            if begin <= due_us <= end + evidence.figures.restart_grace_us:
                due_us = end + evidence.figures.restart_grace_us
        due_us += evidence.lateness.around(due_us)
        ended_us = message.outcome_us()
        if ended_us is None and due_us <= evidence.history.end_us:
            yield Finding(Rule.LOST, due_us, courier,
                          f"accepted at {seconds(message.submission.at_us)}, no terminal outcome in time",
                          (name,), tuple(message.calls))
        elif ended_us is not None and ended_us > due_us:
            yield Finding(Rule.LOST, ended_us, courier, f"terminal outcome {millis(ended_us - due_us)} late",
                          (name,), tuple(message.calls))
        outcomes = {notice.outcome for notice in message.notices}
        if len(outcomes) > 1:
            yield Finding(Rule.LOST, message.notices[-1].at_us, courier,
                          f"two different terminal outcomes: {', '.join(sorted(outcomes))}", (name,))


def _not_running_around(evidence: Evidence, courier: str, message: Message) -> bool:
    assert message.answer is not None
    return any(begin - 100_000 <= message.answer.at_us <= end + 100_000
               for begin, end in evidence.not_running.get(courier, ()))
