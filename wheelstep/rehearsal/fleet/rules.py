"""The rules of a fleet: each function yields the breaches that it finds in the evidence. No I/O.

Order, epochs and numbers allow no time but the slack for sockets, plus the machine's lateness at that moment.
"""

from __future__ import annotations

import bisect
import itertools
from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from wheelstep.rehearsal.fleet.evidence import HANDED_BACK, Breach, ChannelFacts, Evidence, FleetRule
from wheelstep.rehearsal.fleet.history import Asked, Heard, Touch

# --- epochs ---


def check_epochs(evidence: Evidence) -> Iterable[Breach]:
    """Yield calls of two couriers in one epoch of a part, and calls begun in an epoch after the part's first call in a
    newer one.
    """
    parts: dict[int, list[Touch]] = defaultdict(list)
    for name, channel in evidence.channels.items():
        parts[evidence.history.part_of(name)] += channel.calls
    for part, calls in parts.items():
        calls.sort(key=lambda call: call.first_us)
        first_calls: dict[int, Touch] = {}
        newest: Touch | None = None
        for call in calls:
            first = first_calls.setdefault(call.epoch, call)
            if first.courier != call.courier:
                yield _breach_between(FleetRule.EPOCHS, f"part {part}: two couriers called in one epoch", first, call)
            if newest is None or call.epoch > newest.epoch:
                newest = call
            elif call.epoch < newest.epoch:
                behind_us = call.first_us - newest.first_us
                if behind_us > evidence.slack_us + evidence.lateness_near(call.first_us):
                    yield _breach_between(FleetRule.FENCE, f"part {part}: a call began under epoch {call.epoch} "
                                          f"{behind_us / 1e3:.0f} ms after one under epoch {newest.epoch}",
                                          newest, call)


def _breach_between(rule: FleetRule, text: str, first: Touch, then: Touch) -> Breach:
    return Breach(rule, then.first_us, text, then.channel, (first.number, then.number),
                  (first.epoch, then.epoch), (first.courier, then.courier))


# --- order ---


def check_order(evidence: Evidence, name: str, channel: ChannelFacts) -> Iterable[Breach]:
    """Yield calls that begin out of the order of their numbers, and calls that exceed the number that the contract
    allows to be open at once.
    """
    contract = evidence.history.contract_of(name)
    if contract.order == "none":
        return
    max_open = contract.open if contract.order == "window" else 1
    highest: Touch | None = None
    for index, call in enumerate(channel.calls):
        if highest is None or call.number > highest.number:
            highest = call
        elif call.number < highest.number and (contract.order != "window" or not any(
                old.number == call.number for old in channel.calls[:index])):
            yield _breach_between(FleetRule.ORDER, "a lower number was called after a higher one", highest, call)
        open_calls = {old.number: old for old in channel.calls[:index]
                      if old.number != call.number and old.ended_us > call.first_us
                      and not _abandoned(evidence, old, call)}
        if len(open_calls) >= max_open:
            yield _breach_between(FleetRule.ORDER,
                                  f"called while {len(open_calls)} other calls of the channel were out, "
                                  f"{max_open - 1} may be", next(iter(open_calls.values())), call)


def _abandoned(evidence: Evidence, old: Touch, new: Touch) -> bool:
    """Return whether the older call doesn't count as open: its courier was unavailable, so that a later owner can't
    know of the call, or it was closed within the slack, as a partner may read the close after the next call.
    """
    if old.ended_us - new.first_us <= evidence.slack_us and not old.delivered:
        return True
    return old.epoch != new.epoch and evidence.was_unavailable(old.courier, old.first_us, new.first_us)


# --- gaps ---


def check_gaps(evidence: Evidence, name: str, channel: ChannelFacts) -> Iterable[Breach]:
    """Yield calls that begin while a lower number has not ended, unless that was called in the same window, was lost
    with its courier, or may be skipped by then under the contract."""
    contract = evidence.history.contract_of(name)
    if contract.order not in ("strict", "window") or not channel.calls:
        return
    started: set[int] = set()
    for call in channel.calls:
        if call.number in started:
            continue
        started.add(call.number)
        window_start = call.number - (contract.open if contract.order == "window" else 1)
        for number in range(1, call.number):
            ended_us = channel.outcome_times.get(number)
            if ended_us is not None and ended_us <= call.first_us:
                continue
            if contract.order == "window" and number > window_start and number in started:
                continue  # called within the same window
            if _lost_with_courier(evidence, channel, number, call):
                continue
            if contract.gap == "skip" and _waited_us(evidence, channel, call) >= contract.gap_after_us:
                continue
            yield Breach(FleetRule.GAPS, call.first_us, f"called though {number} had not ended", name,
                         (number, call.number), (call.epoch,), (call.courier,))
            break


def _lost_with_courier(evidence: Evidence, channel: ChannelFacts, number: int, call: Touch) -> bool:
    """Return whether a courier that had accepted the number was unavailable between then and `call`."""
    return any(evidence.was_unavailable(reply.courier, reply.asked_us, call.first_us)
               for reply in channel.accepted.get(number, ()) if reply.asked_us <= call.first_us)


def _waited_us(evidence: Evidence, channel: ChannelFacts, call: Touch) -> int:
    """Return the time from a number's first submission to `call`, plus the slack."""
    asked = [row.at_us for row in channel.submissions if row.number == call.number]
    return call.first_us - min(asked, default=call.first_us) + evidence.slack_us


# --- numbers ---


def check_numbers(evidence: Evidence, name: str, channel: ChannelFacts) -> Iterable[Breach]:
    """Yield numbers that were accepted for two messages, accepted messages without an end, calls under a number that is
    not the message's, calls after the number's end, and repeated calls that are not allowed.
    """
    submission_of = {asked.message: asked for asked in channel.submissions}
    delivered = {call.message for call in channel.calls if call.delivered}
    for number, replies in channel.accepted.items():
        for index, row in enumerate(replies):
            others = [old for old in replies[:index]
                      if old.message != row.message and not _was_handed_back(evidence, old, row)]
            if others:
                yield Breach(FleetRule.NUMBERS, row.at_us, "one number was taken on for two messages", name,
                             (number,), (), (others[0].courier, row.courier))
                break
        for message, row in {row.message: row for row in reversed(replies)}.items():
            if message not in delivered and message not in evidence.notices \
                    and (breach := _overdue(evidence, name, submission_of[message], row)) is not None:
                yield breach
    by_number: dict[int, list[Touch]] = defaultdict(list)
    for call in channel.calls:
        by_number[call.number].append(call)
        asked = submission_of.get(call.message)
        if asked is not None and asked.number != call.number:
            yield Breach(FleetRule.NUMBERS, call.first_us, f"{call.message} was handed in under another number",
                         name, (asked.number, call.number), (call.epoch,), (call.courier,))
        reported = [row.at_us for row in evidence.notices.get(call.message, ())]
        if reported and call.first_us > min(reported) + evidence.slack_us + evidence.lateness_near(call.first_us):
            yield Breach(FleetRule.NUMBERS, call.first_us, "called after its end was told", name, (call.number,),
                         (call.epoch,), (call.courier,))
    once = evidence.history.contract_of(name).once
    for calls in by_number.values():
        yield from _repeated_calls(evidence, calls, once)


def _was_handed_back(evidence: Evidence, old: Heard, new: Heard) -> bool:
    """Return whether the older message had been handed back by the time of the new reply, which frees its number."""
    return any(notice.outcome == HANDED_BACK and notice.at_us <= new.at_us
               for notice in evidence.notices.get(old.message, ()))


def _repeated_calls(evidence: Evidence, calls: list[Touch], once: bool) -> Iterable[Breach]:
    """Yield calls of one number after one that was delivered, was still open, or, under `once`, may have run."""
    for index, call in enumerate(calls):
        for old in calls[:index]:
            ran = old.delivered or (once and old.fate.value not in ("refused", "over", "spent"))
            if not ran and old.ended_us <= call.first_us + evidence.slack_us:
                continue
            courier_unavailable = evidence.was_unavailable(old.courier, old.first_us, old.ended_us + evidence.slack_us)
            if courier_unavailable and not once:
                continue
            what = "out" if old.ended_us > call.first_us else "over"
            yield _breach_between(FleetRule.NUMBERS, f"called again though an earlier call was {what} "
                                  f"({old.fate.value})", old, call)
            break


def _overdue(evidence: Evidence, name: str, asked: Asked, reply: Heard) -> Breach | None:
    """Return the breach of an accepted message without an end; None if it is not due yet, or was lost with a disk."""
    due_us = asked.deadline_us + evidence.figures.answer_slack_us + evidence.slack_us
    for gone in sorted(evidence.unavailable[reply.courier], key=lambda row: row.begin_us):
        if not gone.disk and gone.begin_us >= reply.asked_us:
            evidence.lost_with_disk.add(asked.message)
            return None
        if gone.begin_us <= due_us <= gone.end_us + evidence.figures.restart_grace_us:
            due_us = gone.end_us + evidence.figures.restart_grace_us
    due_us += evidence.lateness_near(due_us)
    if due_us > evidence.history.base.end_us:
        return None
    return Breach(FleetRule.NUMBERS, due_us, "taken on, and neither delivered nor ended by its time", name,
                  (asked.number,), (), (reply.courier,))


# --- owners and positions ---


def check_owner(evidence: Evidence, name: str, channel: ChannelFacts) -> Iterable[Breach]:
    """Yield a channel with accepted messages that no courier, or more than one, serves at the end of the rehearsal."""
    last = [row for row in channel.position_reads if row.last]
    if not last or not channel.accepted:
        return
    serving = sorted({row.courier for row in last if row.status == 200})
    if len(serving) != 1:
        yield Breach(FleetRule.OWNER, last[-1].at_us,
                     "in the end nobody serves it" if not serving else "in the end several serve it",
                     name, tuple(sorted(channel.accepted)[-1:]), (), tuple(serving))


def check_positions(evidence: Evidence, name: str, channel: ChannelFacts) -> Iterable[Breach]:
    """Yield reports of a position that are lower than one received before the later question was asked."""
    reported = [_ReportedPosition(row.at_us, row.asked_us, row.next, row.courier)
                for row in channel.replies if row.next > 0]
    reported += [_ReportedPosition(row.at_us, row.asked_us, row.next, row.courier)
                 for row in channel.position_reads if row.next > 0]
    reported.sort(key=lambda row: row.at_us)
    times = [row.at_us for row in reported]
    highest = list(itertools.accumulate(reported, _higher))
    for row in reported:
        known = bisect.bisect_right(times, row.asked_us)
        if known and highest[known - 1].next > row.next:
            before = highest[known - 1]
            yield Breach(FleetRule.POSITIONS, row.at_us, f"next was {before.next} at {before.at_us / 1e6:.3f} s and is "
                         f"{row.next}", name, (before.next, row.next), (), (before.courier, row.courier))


class _ReportedPosition(NamedTuple):
    at_us: int
    asked_us: int
    next: int
    courier: str


def _higher(one: _ReportedPosition, other: _ReportedPosition) -> _ReportedPosition:
    return other if other.next > one.next else one
