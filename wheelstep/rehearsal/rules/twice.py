"""Rule 2: a message that may have run is sent again only if a repeat is harmless."""

from __future__ import annotations

from collections.abc import Iterable

from wheelstep.rehearsal.evidence import Evidence, Message, millis, seconds
from wheelstep.rehearsal.history import Effect
from wheelstep.rehearsal.verdict import Finding, Rule


def findings(evidence: Evidence) -> Iterable[Finding]:
    """Yield calls and notifications that may lead to a second effect of an unsafe or keyed message."""
    for name, message in evidence.messages.items():
        figures = evidence.figures.classes.get(message.submission.message_class)
        if figures is None or not message.calls:
            continue
        courier = message.submission.courier
        effect = message.submission.effect or figures.effect
        if effect is Effect.UNSAFE:
            yield from _unsafe(evidence, name, courier, message)
        elif effect is Effect.KEYED:
            yield from _keyed(evidence, name, courier, message, figures.key_life_us)


def _unsafe(evidence: Evidence, name: str, courier: str, message: Message) -> Iterable[Finding]:
    for number, call in enumerate(message.calls):
        earlier = [one for one in message.calls[:number] if not message.never_ran(one, call.last_us)]
        if earlier:
            yield Finding(Rule.TWICE, call.last_us, courier,
                          f"sent again although the call at {seconds(earlier[0].last_us)} may have run "
                          f"({earlier[0].how.value}, {message.fate(earlier[0]).value})",
                          (name,), (earlier[0], call))
            break
    answer = message.answer
    if answer is not None and answer.status in (429, 503):
        first = message.calls[0]
        yield Finding(Rule.TWICE, first.last_us, courier, f"sent although its client got {answer.status}",
                      (name,), (first,))
    for notice in message.notices:
        if notice.outcome != "handed_back":
            continue
        ran = [call for call in message.calls
               if call.last_us <= notice.at_us and not message.never_ran(call, notice.at_us)]
        later = [call for call in message.calls if call.first_us > notice.at_us + evidence.figures.socket_slack_us]
        if ran:
            yield Finding(Rule.TWICE, notice.at_us, courier,
                          "handed back as safe to repeat although a call may have run", (name,), tuple(ran[:1]))
        elif later:
            yield Finding(Rule.TWICE, later[0].last_us, courier, "sent after it was handed back", (name,),
                          tuple(later[:1]))


def _keyed(evidence: Evidence, name: str, courier: str, message: Message, life_us: int) -> Iterable[Finding]:
    ran = [call for call in message.calls if not message.never_ran(call, evidence.history.end_us)]
    if not ran:
        return
    until_us = ran[0].last_us + life_us + evidence.figures.socket_slack_us
    for call in message.calls:
        if call.last_us > until_us + evidence.lateness.around(call.last_us):
            yield Finding(Rule.TWICE, call.last_us, courier,
                          f"sent again {millis(call.last_us - ran[0].last_us)} after a call that may have run; "
                          f"the key lives for {millis(life_us)}", (name,), (ran[0], call))
            return
