"""Reading a journal's folder: replay, torn tails, damage, segments that count no more, and a file of the old format.

`read` changes nothing; `mend` does what `read` found to be needed, in an order in which it may be cut off anywhere
and done again.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from wheelstep.journal import codec
from wheelstep.journal.codec import ATTEMPT, END, FACT, HEADER, LOW, OUTCOME, OVER, TAKE, FormatError, Gap, Header
from wheelstep.journal.disk import Disk
from wheelstep.journal.oldformat import OLD_LOG, OLD_NEW, TAKEOVER, fingerprint, old_state
from wheelstep.journal.segments import Segment, name_of, number_of
from wheelstep.journal.state import State, Stored


@dataclass(frozen=True, slots=True)
class Damage:
    """Bytes of a segment that can't be read."""

    file: str
    start: int
    stop: int


@dataclass(slots=True)
class Found:
    """What a folder holds."""

    state: State = field(default_factory=State)
    segments: list[Segment] = field(default_factory=list)
    damage: list[Damage] = field(default_factory=list)
    torn: Damage | None = None  # half a record at the end: cut off, nothing is missing
    stale: list[str] = field(default_factory=list)  # files that count no more
    doubted: set[str] = field(default_factory=set)  # messages that may have run, for all that is known
    bereft: set[str] = field(default_factory=set)  # messages of which only later records were found
    records: int = 0
    size: int = 0
    by_number: dict[int, Segment] = field(default_factory=dict)
    fact_home: dict[str, int] = field(default_factory=dict)
    old: State | None = None  # what a journal of the old format holds that is to be taken over
    old_print: str = ""


def read(disk: Disk) -> Found:
    """Replay a folder. Raises `FormatError` for a newer format, `OSError` from the disk."""
    names = disk.names()
    numbers = sorted(number for name in names if (number := number_of(name)) is not None)
    low = 0
    while True:  # a later segment may tell that an earlier one counts no more: then once more without it
        counted = [number for number in numbers if number >= low]
        found, seen_low = _replay(disk, counted)
        if seen_low <= low or not any(number < seen_low for number in counted):
            break
        low = seen_low
    found.stale += [name_of(number) for number in numbers if number < low]
    found.stale += [name for name in (OLD_NEW, TAKEOVER) if name in names]
    if OLD_LOG in names:
        _read_old(disk, found)
    _lay_doubts(found)
    found.state.in_order()
    return found


def _replay(disk: Disk, numbers: list[int]) -> tuple[Found, int]:
    found, low = Found(), 0
    numbers = list(numbers)
    # A segment at the end with nothing whole in it was only just begun: the one before it is the newest.
    while numbers and all(isinstance(item, Gap) for item in codec.scan(disk.read(name_of(numbers[-1])))):
        found.stale.append(name_of(numbers.pop()))
    data = disk.read(name_of(numbers[0])) if numbers else b""
    for place, number in enumerate(numbers):
        if place and number != numbers[place - 1] + 1:
            _damaged(found, Damage(name_of(numbers[place - 1] + 1), 0, 0))
        last = place + 1 == len(numbers)
        # The header of the next one tells how much of this one counts.
        following = b"" if last else disk.read(name_of(numbers[place + 1]))
        # (It speaks of its neighbour only: where that one is missing, nothing is known of this one's length.)
        neighbours = not last and numbers[place + 1] == number + 1
        before = _before(following, len(data)) if neighbours else len(data)
        low = max(low, _one(found, number, data[:before] if before < len(data) else data, last))
        if before > len(data):
            _damaged(found, Damage(name_of(number), len(data), before))
        data = following
    return found, low


def _before(data: bytes, unknown: int) -> int:
    """What a segment's header says of the one before it."""
    for item in codec.scan(data[:4096]):
        if not isinstance(item, Gap) and isinstance(item[1][1], Header):
            return item[1][1].before
        break
    return unknown


def _one(found: Found, number: int, data: bytes, last: bool) -> int:
    """Replay one segment; returns the lowest segment that it knows to count."""
    segment, low = Segment(number, len(data)), 0
    found.segments.append(segment)
    found.by_number[number] = segment
    for item in codec.scan(data):
        if isinstance(item, Gap):
            where = Damage(name_of(number), item.start, item.stop)
            if item.tail and last:
                found.torn = where
                segment.size = item.start
            else:
                _damaged(found, where)
            continue
        kind, value = item[1]
        found.records += 1
        if kind == HEADER:
            low = max(low, value.low)
            found.old_print = value.taken_over or found.old_print
        elif kind == LOW:
            low = max(low, value)
        else:
            _apply(found, segment, kind, value)
    found.size += segment.size
    return low


def _apply(found: Found, segment: Segment, kind: int, value: Any) -> None:
    state, known = found.state, True
    if kind == TAKE:
        old = state.messages.get(value.id)
        if old is not None:
            found.by_number[old.home].messages.pop(value.id, None)
        value.home = segment.number
        segment.messages[value.id] = None
        state.take(value)
        found.doubted.discard(value.id)  # it is whole again
        found.bereft.discard(value.id)
    elif kind == ATTEMPT:
        known = state.attempt(*value)
    elif kind == OUTCOME:
        known = state.outcome(*value)
    elif kind == END:
        known = state.end(*value)
    elif kind == OVER:
        gone = state.over(value)
        if gone is not None:
            found.by_number[gone.home].messages.pop(value, None)
        found.doubted.discard(value)
        found.bereft.discard(value)
    elif kind == FACT:
        state.mark(*value)
        if (home := found.fact_home.pop(value[0], None)) is not None:
            found.by_number[home].facts.pop(value[0], None)
        if value[1] is not None:
            segment.facts[value[0]] = None
            found.fact_home[value[0]] = segment.number
    if not known:
        found.bereft.add(value[0])


def _damaged(found: Found, where: Damage) -> None:
    """Whatever is owed at this point may have lost an attempt, or its end."""
    found.damage.append(where)
    found.doubted.update(found.state.messages)


def _lay_doubts(found: Found) -> None:
    """What damage may have swallowed counts as having happened: the message may have run. Where the message itself is
    gone and only later records speak of it, its end is still owed: it failed."""
    if not found.damage:
        found.bereft.clear()  # records that came before a copy forward, of messages that are over since
        return
    for name in found.doubted:
        if (message := found.state.messages.get(name)) is not None:
            message.doubt()
    for name in sorted(found.bereft):
        found.state.take(Stored(name, "", 0, 0, attempts=1, ran_ms=0, ran_at="", notice=("given_up", 0),
                                seq=found.state.next_seq))


def _read_old(disk: Disk, found: Found) -> None:
    data = disk.read(OLD_LOG)
    if found.old_print and fingerprint(data) == found.old_print:
        found.stale.append(OLD_LOG)  # taken over already; only its removal is missing
        return
    old = old_state(data)
    found.old, found.old_print = old, fingerprint(data)
    for message in old.messages.values():
        if message.id not in found.state.messages:
            message.seq = found.state.next_seq
            found.state.take(message)
    for name, value in old.marks.items():
        found.state.marks.setdefault(name, value)


def mend(disk: Disk, found: Found) -> None:
    """Cut a torn tail off and remove what counts no more. Done again after a crash it does the same."""
    if found.torn is not None and found.segments and name_of(found.segments[-1].number) == found.torn.file:
        handle = disk.append_to(found.torn.file)
        try:
            disk.truncate(handle, found.torn.start)
            disk.sync(handle)
        finally:
            disk.close(handle)
    for name in found.stale:
        disk.unlink(name)
    if found.stale:
        disk.sync_folder()


__all__ = ["Damage", "FormatError", "Found", "mend", "read"]
