"""Rule 5: messages of one key in an ordered class are sent one after another."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from wheelstep.rehearsal.evidence import Evidence, Message, millis
from wheelstep.rehearsal.history import Call, How
from wheelstep.rehearsal.verdict import Finding, Rule


def findings(evidence: Evidence) -> Iterable[Finding]:
    """Yield the first call of each message that overtook an earlier message of its key."""
    queues: dict[tuple[str, str], list[Message]] = defaultdict(list)
    for message in evidence.messages.values():
        figures = evidence.figures.classes.get(message.submission.message_class)
        if figures is not None and figures.ordered and message.submission.key is not None and message.accepted:
            queues[message.submission.courier, message.submission.key].append(message)
    for (courier, key), queue in queues.items():
        queue.sort(key=lambda message: message.submission.at_us)
        for number, message in enumerate(queue):
            for call in message.calls:
                if (finding := _overtakes(evidence, courier, key, queue[:number], message, call)) is not None:
                    yield finding
                    break


def _overtakes(evidence: Evidence, courier: str, key: str, earlier: list[Message], message: Message,
               call: Call) -> Finding | None:
    name = message.submission.message
    for other in earlier:
        pair = (other.submission.message, name)
        ended_us = other.outcome_us()
        if ended_us is None or ended_us > call.first_us:
            return Finding(Rule.ORDER, call.first_us, courier,
                           f"key {key}: sent before an earlier message had its terminal outcome", pair, (call,))
        for old in other.calls:
            if old.last_us > call.first_us:
                continue
            if old.ended_us > call.first_us or old.how is How.OPEN:
                return Finding(Rule.ORDER, call.first_us, courier,
                               f"key {key}: sent while a call of an earlier message was in progress", pair,
                               (old, call))
            # The endpoint sees a close later than the courier makes it, so the pause may look shorter here.
            pause_us = evidence.figures.order_settle_us - evidence.figures.socket_slack_us \
                - evidence.lateness.around(call.first_us)
            if old.how in (How.CLOSED, How.RESET) and call.first_us < old.ended_us + pause_us:
                return Finding(Rule.ORDER, call.first_us, courier,
                               f"key {key}: sent {millis(call.first_us - old.ended_us)} after a call of an earlier "
                               f"message broke off; expected {millis(evidence.figures.order_settle_us)}", pair,
                               (old, call))
    return None
