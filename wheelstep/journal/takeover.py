"""What a journal of the old format holds becomes a segment; it may be cut off anywhere and done again."""

from __future__ import annotations

import logging

from wheelstep.journal import codec
from wheelstep.journal.disk import Disk
from wheelstep.journal.oldformat import OLD_LOG, TAKEOVER
from wheelstep.journal.segments import Log, Segment, name_of
from wheelstep.journal.state import State

log = logging.getLogger("wheelstep.journal")


def take_over(disk: Disk, log_: Log, state: State, fact_home: dict[str, int], old_print: str) -> Segment:
    """Put what a journal of the old format holds into a segment, under another name until it is whole; returns the
    segment, which the log has adopted. Raises `OSError`."""
    number = log_.head.number + 1 if log_.segments else 1
    low = log_.segments[0].number if log_.segments else number
    before = log_.head.size if log_.segments else 0
    data = codec.header(codec.Header(number, low, before, old_print))
    parts = [data]
    for message in state.messages.values():
        if not message.home:
            parts.append(codec.take(message))
    for name, value in state.marks.items():
        if name not in fact_home:
            parts.append(codec.fact(name, value))
    data = b"".join(parts)
    handle = disk.create(TAKEOVER)
    try:
        done = 0
        while done < len(data):
            done += disk.write(handle, data[done:])
        disk.sync(handle)
    finally:
        disk.close(handle)
    disk.rename(TAKEOVER, name_of(number))
    disk.sync_folder()
    disk.unlink(OLD_LOG)
    disk.sync_folder()
    segment = Segment(number, len(data))
    for message in state.messages.values():
        if not message.home:
            message.home = number
            segment.messages[message.id] = None
    for name in state.marks:
        if name not in fact_home:
            fact_home[name] = number
            segment.facts[name] = None
    log_.adopt([*log_.segments, segment])
    log.info("journal: took over %d messages of the old format", len(segment.messages))
    return segment
