"""Migration of an old-format journal into a segment. It can be interrupted at any point and run again."""

from __future__ import annotations

import logging

from wheelstep.journal import codec
from wheelstep.journal.disk import Disk
from wheelstep.journal.oldformat import MIGRATION, OLD_FORMAT_FILE
from wheelstep.journal.segments import Log, Segment, segment_file_name
from wheelstep.journal.state import State

log = logging.getLogger("wheelstep.journal")


def migrate_old_format(disk: Disk, segment_log: Log, state: State, fact_segments: dict[str, int],
                       old_fingerprint: str) -> Segment:
    """Write the content of an old-format journal into a new segment, and return the segment, which the log has adopted.

    The segment is written under a temporary name and renamed once it is complete and synced. Raises `OSError`.
    """
    number = segment_log.head.number + 1 if segment_log.segments else 1
    low = segment_log.segments[0].number if segment_log.segments else number
    before = segment_log.head.size if segment_log.segments else 0
    data = codec.header(codec.Header(number, low, before, old_fingerprint))
    parts = [data]
    for message in state.messages.values():
        if not message.segment_number:
            parts.append(codec.take(message))
    for name, value in state.marks.items():
        if name not in fact_segments:
            parts.append(codec.fact(name, value))
    data = b"".join(parts)
    handle = disk.create(MIGRATION)
    try:
        done = 0
        while done < len(data):
            done += disk.write(handle, data[done:])
        disk.sync(handle)
    finally:
        disk.close(handle)
    disk.rename(MIGRATION, segment_file_name(number))
    disk.sync_folder()
    disk.unlink(OLD_FORMAT_FILE)
    disk.sync_folder()
    segment = Segment(number, len(data))
    for message in state.messages.values():
        if not message.segment_number:
            message.segment_number = number
            segment.messages[message.id] = None
    for name in state.marks:
        if name not in fact_segments:
            fact_segments[name] = number
            segment.facts[name] = None
    segment_log.adopt([*segment_log.segments, segment])
    log.info("journal: migrated %d messages from the format of version 0.1", len(segment.messages))
    return segment
