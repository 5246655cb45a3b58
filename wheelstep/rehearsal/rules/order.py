"""Rule 5: messages of a key in an ordered class go out one after another."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from wheelstep.rehearsal.evidence import Evidence, Message, millis
from wheelstep.rehearsal.history import Call, How
from wheelstep.rehearsal.verdict import Finding, Rule


def findings(e: Evidence) -> Iterable[Finding]:
    """Calls that overtook an earlier message of their key."""
    lines: dict[tuple[str, str], list[Message]] = defaultdict(list)
    for message in e.messages.values():
        figures = e.figures.classes.get(message.handed.message_class)
        if figures is not None and figures.ordered and message.handed.key is not None and message.taken:
            lines[message.handed.courier, message.handed.key].append(message)
    for (courier, key), line in lines.items():
        line.sort(key=lambda message: message.handed.at_us)
        for number, message in enumerate(line):
            for call in message.calls:
                if (finding := _overtakes(e, courier, key, line[:number], message, call)) is not None:
                    yield finding
                    break


def _overtakes(e: Evidence, courier: str, key: str, earlier: list[Message], message: Message,
               call: Call) -> Finding | None:
    name = message.handed.message
    for other in earlier:
        pair = (other.handed.message, name)
        ended_us = other.ended_us()
        if ended_us is None or ended_us > call.first_us:
            return Finding(Rule.ORDER, call.first_us, courier,
                           f"key {key}: sent while an earlier message was not over", pair, (call,))
        for old in other.calls:
            if old.last_us > call.first_us:
                continue
            if old.ended_us > call.first_us or old.how is How.OPEN:
                return Finding(Rule.ORDER, call.first_us, courier,
                               f"key {key}: sent while a call for an earlier message had no outcome", pair,
                               (old, call))
            # The endpoint sees a close later than the courier made it, so the rest may look shorter.
            rest_us = e.figures.order_settle_us - e.figures.socket_slack_us - e.late.near(call.first_us)
            if old.how in (How.CLOSED, How.RESET) and call.first_us < old.ended_us + rest_us:
                return Finding(Rule.ORDER, call.first_us, courier,
                               f"key {key}: sent {millis(call.first_us - old.ended_us)} after a call for an earlier "
                               f"message broke, the key rests for {millis(e.figures.order_settle_us)}", pair,
                               (old, call))
    return None
