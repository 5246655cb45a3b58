"""Reading a journal's folder: replay, torn tails, damage, segments no longer in use, and an old-format file.

`read` changes nothing; `clean_up` then removes torn and unused data. Both can be interrupted at any point and run
again; for `clean_up` the order of its steps ensures that.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from wheelstep.journal import codec
from wheelstep.journal.codec import ATTEMPT, END, FACT, HEADER, LOW, OUTCOME, OVER, TAKE, FormatError, Gap, Header
from wheelstep.journal.disk import Disk
from wheelstep.journal.oldformat import MIGRATION, OLD_FORMAT_FILE, OLD_REWRITE, fingerprint, read_old_state
from wheelstep.journal.segments import Segment, segment_file_name, segment_number_of
from wheelstep.journal.state import State, StoredMessage


@dataclass(frozen=True, slots=True)
class Damage:
    """Bytes `start` to `stop` of a segment that cannot be read or are missing at its end; 0 to 0: the segment is
    missing.

    Also used for a torn record, which is not damage.
    """

    file: str
    start: int
    stop: int


@dataclass(slots=True)
class RecoveryResult:
    """What reading a folder found."""

    state: State = field(default_factory=State)
    segments: list[Segment] = field(default_factory=list)
    damage: list[Damage] = field(default_factory=list)
    torn: Damage | None = None  # an incomplete record at the end of the log, which loses nothing
    # To delete: segments no longer in use, last segments without a valid record (in neither `damage` nor `torn`),
    # unfinished rewrites, and an old-format file that was migrated already.
    stale: list[str] = field(default_factory=list)
    doubted: set[str] = field(default_factory=set)  # messages that may have run, because damage may hide an attempt
    bodies_lost: set[str] = field(default_factory=set)  # messages whose first record is lost; ended as failed
    records: int = 0
    size: int = 0
    segments_by_number: dict[int, Segment] = field(default_factory=dict)
    fact_segments: dict[str, int] = field(default_factory=dict)
    old: State | None = None  # content of an old-format journal that is to be migrated
    old_fingerprint: str = ""  # of the old-format file, migrated already (`old` is None) or to be; empty: none


def read(disk: Disk) -> RecoveryResult:
    """Replay a folder. Raises `FormatError` for an unknown format or version, `OSError` from the disk.

    Unreadable bytes are no error: see `damage`, `doubted` and `bodies_lost`.
    """
    names = disk.names()
    numbers = sorted(number for name in names if (number := segment_number_of(name)) is not None)
    low = 0
    while True:  # a later segment may state that an earlier one is not in use: repeat without it
        in_use = [number for number in numbers if number >= low]
        result, seen_low = _replay(disk, in_use)
        if seen_low <= low or not any(number < seen_low for number in in_use):
            break
        low = seen_low
    result.stale += [segment_file_name(number) for number in numbers if number < low]
    result.stale += [name for name in (OLD_REWRITE, MIGRATION) if name in names]
    if OLD_FORMAT_FILE in names:
        _add_old_format(disk, result)
    _apply_damage(result)
    result.state.sort_by_seq()
    return result


def _replay(disk: Disk, numbers: list[int]) -> tuple[RecoveryResult, int]:
    """Replay these segments; return the result and the lowest segment number in use that they state."""
    result, low = RecoveryResult(), 0
    numbers = list(numbers)
    # A last segment without a valid record was only just started: the one before it is the newest.
    while numbers and all(isinstance(item, Gap) for item in codec.scan(disk.read(segment_file_name(numbers[-1])))):
        result.stale.append(segment_file_name(numbers.pop()))
    data = disk.read(segment_file_name(numbers[0])) if numbers else b""
    for index, number in enumerate(numbers):
        if index and number != numbers[index - 1] + 1:
            _add_damage(result, Damage(segment_file_name(numbers[index - 1] + 1), 0, 0))
        last = index + 1 == len(numbers)
        # The next segment's header states how many bytes of this one are valid.
        next_data = b"" if last else disk.read(segment_file_name(numbers[index + 1]))
        # That holds only if it directly follows: with a segment missing between, this one's length is unknown.
        neighbours = not last and numbers[index + 1] == number + 1
        before = _stated_length(next_data, len(data)) if neighbours else len(data)
        low = max(low, _replay_segment(result, number, data[:before] if before < len(data) else data, last))
        if before > len(data):
            _add_damage(result, Damage(segment_file_name(number), len(data), before))
        data = next_data
    return result, low


def _stated_length(data: bytes, unknown: int) -> int:
    """Return the valid length of the previous segment as a segment's header states it, or `unknown` without a
    header."""
    for item in codec.scan(data[:4096]):
        if not isinstance(item, Gap) and isinstance(item[1][1], Header):
            return item[1][1].before
        break
    return unknown


def _replay_segment(result: RecoveryResult, number: int, data: bytes, last: bool) -> int:
    """Replay one segment; return the lowest segment number in use that its records state."""
    segment, low = Segment(number, len(data)), 0
    result.segments.append(segment)
    result.segments_by_number[number] = segment
    for item in codec.scan(data):
        if isinstance(item, Gap):
            where = Damage(segment_file_name(number), item.start, item.stop)
            if item.tail and last:
                result.torn = where
                segment.size = item.start
            else:
                _add_damage(result, where)
            continue
        kind, value = item[1]
        result.records += 1
        if kind == HEADER:
            low = max(low, value.low)
            result.old_fingerprint = value.taken_over or result.old_fingerprint
        elif kind == LOW:
            low = max(low, value)
        else:
            _apply(result, segment, kind, value)
    result.size += segment.size
    return low


def _apply(result: RecoveryResult, segment: Segment, kind: int, value: Any) -> None:
    """Apply one record to the state, and track which segment holds each message and fact."""
    state, known = result.state, True
    if kind == TAKE:
        old = state.messages.get(value.id)
        if old is not None:
            result.segments_by_number[old.segment_number].messages.pop(value.id, None)
        value.segment_number = segment.number
        segment.messages[value.id] = None
        state.take(value)
        result.doubted.discard(value.id)  # it is complete again
        result.bodies_lost.discard(value.id)
    elif kind == ATTEMPT:
        known = state.attempt(*value)
    elif kind == OUTCOME:
        known = state.outcome(*value)
    elif kind == END:
        known = state.end(*value)
    elif kind == OVER:
        removed = state.over(value)
        if removed is not None:
            result.segments_by_number[removed.segment_number].messages.pop(value, None)
        result.doubted.discard(value)
        result.bodies_lost.discard(value)
    elif kind == FACT:
        state.mark(*value)
        if (segment_number := result.fact_segments.pop(value[0], None)) is not None:
            result.segments_by_number[segment_number].facts.pop(value[0], None)
        if value[1] is not None:
            segment.facts[value[0]] = None
            result.fact_segments[value[0]] = segment.number
    if not known:
        result.bodies_lost.add(value[0])


def _add_damage(result: RecoveryResult, where: Damage) -> None:
    """Record damage: each message open at this point may have lost the record of an attempt or of its end."""
    result.damage.append(where)
    result.doubted.update(result.state.messages)


def _apply_damage(result: RecoveryResult) -> None:
    """Apply the consequences of damage.

    A message whose attempt records may be lost counts as one that may have run. A message whose own record is lost,
    with only later records left, is ended as failed, since its client is still owed an end.
    """
    if not result.damage:
        result.bodies_lost.clear()  # their messages have finished; the first records went with their segments
        return
    for name in result.doubted:
        if (message := result.state.messages.get(name)) is not None:
            message.mark_possibly_run()
    for name in sorted(result.bodies_lost):
        result.state.take(StoredMessage(name, "", 0, 0, attempts=1, ran_ms=0, ran_at="", notice=("given_up", 0),
                                seq=result.state.next_seq))


def _add_old_format(disk: Disk, result: RecoveryResult) -> None:
    """Add an old-format file to the result, unless it was migrated already."""
    data = disk.read(OLD_FORMAT_FILE)
    if result.old_fingerprint and fingerprint(data) == result.old_fingerprint:
        result.stale.append(OLD_FORMAT_FILE)  # migrated already, only its removal is missing
        return
    old = read_old_state(data)
    result.old, result.old_fingerprint = old, fingerprint(data)
    for message in old.messages.values():
        if message.id not in result.state.messages:
            message.seq = result.state.next_seq
            result.state.take(message)
    for name, value in old.marks.items():
        result.state.marks.setdefault(name, value)


def clean_up(disk: Disk, result: RecoveryResult) -> None:
    """Cut off a torn tail and remove files that are not in use. Idempotent, so that it can be repeated after a
    crash. Raises `OSError`."""
    if (result.torn is not None and result.segments
            and segment_file_name(result.segments[-1].number) == result.torn.file):
        handle = disk.append_to(result.torn.file)
        try:
            disk.truncate(handle, result.torn.start)
            disk.sync(handle)
        finally:
            disk.close(handle)
    for name in result.stale:
        disk.unlink(name)
    if result.stale:
        disk.sync_folder()


__all__ = ["Damage", "FormatError", "RecoveryResult", "clean_up", "read"]
