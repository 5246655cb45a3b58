"""The fleet's rules, one function each: what it finds in the evidence. No I/O.

Order, epochs and numbers need no limit in time but the slack for sockets, widened by the machine's lateness.
"""

from __future__ import annotations

import bisect
import itertools
from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from wheelstep.rehearsal.fleet.evidence import HANDED_BACK, Breach, Channel, Evidence, FleetRule
from wheelstep.rehearsal.fleet.history import Asked, Heard, Touch

# --- epochs ---


def epochs(seen: Evidence) -> Iterable[Breach]:
    """Each epoch of a part is one courier's, and none begins a call after a newer one has."""
    parts: dict[int, list[Touch]] = defaultdict(list)
    for name, channel in seen.channels.items():
        parts[seen.history.part(name)] += channel.touches
    for part, touches in parts.items():
        touches.sort(key=lambda touch: touch.first_us)
        owners: dict[int, Touch] = {}
        newest: Touch | None = None
        for touch in touches:
            first = owners.setdefault(touch.epoch, touch)
            if first.courier != touch.courier:
                yield _breach(FleetRule.EPOCHS, f"part {part}: two couriers called in one epoch", first, touch)
            if newest is None or touch.epoch > newest.epoch:
                newest = touch
            elif touch.epoch < newest.epoch:
                past_us = touch.first_us - newest.first_us
                if past_us > seen.slack_us + seen.near(touch.first_us):
                    yield _breach(FleetRule.FENCE, f"part {part}: a call began under epoch {touch.epoch} "
                                       f"{past_us / 1e3:.0f} ms after one under epoch {newest.epoch}",
                                       newest, touch)


def _breach(rule: FleetRule, text: str, first: Touch, then: Touch) -> Breach:
    return Breach(rule, then.first_us, text, then.channel, (first.number, then.number),
                  (first.epoch, then.epoch), (first.courier, then.courier))


# --- order ---


def order(seen: Evidence, name: str, channel: Channel) -> Iterable[Breach]:
    """Numbers are begun in their order, and no more of them are out at once than the contract allows."""
    contract = seen.history.contract(name)
    if contract.order == "none":
        return
    most = contract.open if contract.order == "window" else 1
    highest: Touch | None = None
    for place, touch in enumerate(channel.touches):
        if highest is None or touch.number > highest.number:
            highest = touch
        elif touch.number < highest.number and (contract.order != "window" or not any(
                old.number == touch.number for old in channel.touches[:place])):
            yield _breach(FleetRule.ORDER, "a lower number was called after a higher one", highest, touch)
        out = {old.number: old for old in channel.touches[:place]
               if old.number != touch.number and old.ended_us > touch.first_us and not _abandoned(seen, old, touch)}
        if len(out) >= most:
            yield _breach(FleetRule.ORDER, f"called while {len(out)} other calls of the channel were out, "
                               f"{most - 1} may be", next(iter(out.values())), touch)


def _abandoned(seen: Evidence, old: Touch, new: Touch) -> bool:
    """Is the older call one of a courier that was gone, which a later owner can't know of, or one that was closed
    just then? The close may be read after the next call."""
    if old.ended_us - new.first_us <= seen.slack_us and not old.delivered:
        return True
    return old.epoch != new.epoch and seen.was_gone(old.courier, old.first_us, new.first_us)


# --- gaps ---


def gaps(seen: Evidence, name: str, channel: Channel) -> Iterable[Breach]:
    """What comes before a number has ended when it begins, unless the contract lets it be skipped by then."""
    contract = seen.history.contract(name)
    if contract.order not in ("strict", "window") or not channel.touches:
        return
    begun: set[int] = set()
    for touch in channel.touches:
        if touch.number in begun:
            continue
        begun.add(touch.number)
        floor = touch.number - (contract.open if contract.order == "window" else 1)
        for number in range(1, touch.number):
            ended_us = channel.ends.get(number)
            if ended_us is not None and ended_us <= touch.first_us:
                continue
            if contract.order == "window" and number > floor and number in begun:
                continue  # out beside it
            if _lost_sight(seen, channel, number, touch):
                continue
            if contract.gap == "skip" and _waited_us(seen, channel, touch) >= contract.gap_after_us:
                continue
            yield Breach(FleetRule.GAPS, touch.first_us, f"called though {number} had not ended", name,
                         (number, touch.number), (touch.epoch,), (touch.courier,))
            break


def _lost_sight(seen: Evidence, channel: Channel, number: int, touch: Touch) -> bool:
    """Was the number with a courier that was gone since?"""
    return any(seen.was_gone(heard.courier, heard.asked_us, touch.first_us)
               for heard in channel.taken.get(number, ()) if heard.asked_us <= touch.first_us)


def _waited_us(seen: Evidence, channel: Channel, touch: Touch) -> int:
    asked = [row.at_us for row in channel.asked if row.number == touch.number]
    return touch.first_us - min(asked, default=touch.first_us) + seen.slack_us


# --- numbers ---


def numbers(seen: Evidence, name: str, channel: Channel) -> Iterable[Breach]:
    """Each number that was taken on has one message and one end, and is not called again after it."""
    given = {asked.message: asked for asked in channel.asked}
    delivered = {touch.message for touch in channel.touches if touch.delivered}
    for number, heard in channel.taken.items():
        for place, row in enumerate(heard):
            others = [old for old in heard[:place] if old.message != row.message and not _handed_back(seen, old, row)]
            if others:
                yield Breach(FleetRule.NUMBERS, row.at_us, "one number was taken on for two messages", name,
                             (number,), (), (others[0].courier, row.courier))
                break
        for message, row in {row.message: row for row in reversed(heard)}.items():
            if message not in delivered and message not in seen.notices \
                    and (breach := _overdue(seen, name, given[message], row)) is not None:
                yield breach
    by_number: dict[int, list[Touch]] = defaultdict(list)
    for touch in channel.touches:
        by_number[touch.number].append(touch)
        asked = given.get(touch.message)
        if asked is not None and asked.number != touch.number:
            yield Breach(FleetRule.NUMBERS, touch.first_us, f"{touch.message} was handed in under another number",
                         name, (asked.number, touch.number), (touch.epoch,), (touch.courier,))
        told = [row.at_us for row in seen.notices.get(touch.message, ())]
        if told and touch.first_us > min(told) + seen.slack_us + seen.near(touch.first_us):
            yield Breach(FleetRule.NUMBERS, touch.first_us, "called after its end was told", name, (touch.number,),
                         (touch.epoch,), (touch.courier,))
    once = seen.history.contract(name).once
    for touches in by_number.values():
        yield from _doubles(seen, touches, once)


def _handed_back(seen: Evidence, old: Heard, new: Heard) -> bool:
    """Had the older message been handed back by then, so that its number was free again?"""
    return any(notice.outcome == HANDED_BACK and notice.at_us <= new.at_us
               for notice in seen.notices.get(old.message, ()))


def _doubles(seen: Evidence, touches: list[Touch], once: bool) -> Iterable[Breach]:
    for place, touch in enumerate(touches):
        for old in touches[:place]:
            ran = old.delivered or (once and old.fate.value not in ("refused", "over", "spent"))
            if not ran and old.ended_us <= touch.first_us + seen.slack_us:
                continue
            unheard = seen.was_gone(old.courier, old.first_us, old.ended_us + seen.slack_us)
            if unheard and not once:
                continue
            what = "out" if old.ended_us > touch.first_us else "over"
            yield _breach(FleetRule.NUMBERS, f"called again though an earlier call was {what} "
                               f"({old.fate.value})", old, touch)
            break


def _overdue(seen: Evidence, name: str, asked: Asked, heard: Heard) -> Breach | None:
    due_us = asked.deadline_us + seen.figures.answer_slack_us + seen.slack_us
    for gone in sorted(seen.gone[heard.courier], key=lambda row: row.begin_us):
        if not gone.disk and gone.begin_us >= heard.asked_us:
            seen.excused.add(asked.message)
            return None
        if gone.begin_us <= due_us <= gone.end_us + seen.figures.restart_grace_us:
            due_us = gone.end_us + seen.figures.restart_grace_us
    due_us += seen.near(due_us)
    if due_us > seen.history.base.end_us:
        return None
    return Breach(FleetRule.NUMBERS, due_us, "taken on, and neither delivered nor ended by its time", name,
                  (asked.number,), (), (heard.courier,))


# --- owners and positions ---


def owner(seen: Evidence, name: str, channel: Channel) -> Iterable[Breach]:
    """When all is over, exactly one courier serves a channel."""
    last = [row for row in channel.looked if row.last]
    if not last or not channel.taken:
        return
    serving = sorted({row.courier for row in last if row.status == 200})
    if len(serving) != 1:
        yield Breach(FleetRule.OWNER, last[-1].at_us,
                     "in the end nobody serves it" if not serving else "in the end several serve it",
                     name, tuple(sorted(channel.taken)[-1:]), (), tuple(serving))


def positions(seen: Evidence, name: str, channel: Channel) -> Iterable[Breach]:
    """A later question may not be told less than an earlier one was."""
    told = [_Told(row.at_us, row.asked_us, row.next, row.courier) for row in channel.heard if row.next > 0]
    told += [_Told(row.at_us, row.asked_us, row.next, row.courier) for row in channel.looked if row.next > 0]
    told.sort(key=lambda row: row.at_us)
    times = [row.at_us for row in told]
    highest = list(itertools.accumulate(told, _higher))
    for row in told:
        known = bisect.bisect_right(times, row.asked_us)
        if known and highest[known - 1].next > row.next:
            before = highest[known - 1]
            yield Breach(FleetRule.POSITIONS, row.at_us, f"next was {before.next} at {before.at_us / 1e6:.3f} s and is "
                         f"{row.next}", name, (before.next, row.next), (), (before.courier, row.courier))


class _Told(NamedTuple):
    at_us: int
    asked_us: int
    next: int
    courier: str


def _higher(one: _Told, other: _Told) -> _Told:
    return other if other.next > one.next else one
