"""What an operator can do with a journal's folder while no courier has it: look, check, repair, compact."""

from __future__ import annotations

import shutil
from collections import Counter
from pathlib import Path
from typing import Any

from wheelstep.journal import recovery
from wheelstep.journal.codec import FormatError
from wheelstep.journal.disk import Folder
from wheelstep.journal.journal import _LEAST_SEGMENT, _MOST_SEGMENT, Journal
from wheelstep.journal.promise import FolderInUseError, Sync
from wheelstep.journal.segments import name_of, rounded

_NO_LIMIT = 1 << 40


class ToolError(Exception):
    """The folder can't be worked on; one line."""


def _read(folder: Path) -> recovery.Found:
    if not folder.is_dir():
        raise ToolError(f"{folder}: no folder; expected a courier's RELAY_STATE")
    disk = Folder(folder)
    try:
        if not disk.lock():
            raise ToolError(f"{folder}: a process has it; expected a folder that no courier uses")
        return recovery.read(disk)
    except (OSError, FormatError) as error:
        raise ToolError(f"{folder}: {error}") from error
    finally:
        disk.unlock()


def inspect(folder: Path, messages: bool = False) -> dict[str, Any]:
    """What the folder holds; with `messages` also each message, without its body. Changes nothing."""
    found = _read(folder)
    state = found.state
    about: dict[str, Any] = {
        "folder": str(folder), "segments": [
            {"file": name_of(one.number), "bytes": one.size, "messages": len(one.messages), "facts": len(one.facts)}
            for one in found.segments],
        "old_format": found.old is not None, "records": found.records, "bytes": found.size,
        "messages": len(state.messages), "live_bytes": state.live,
        "owed_a_notice": sum(one.notice is not None for one in state.messages.values()),
        "may_have_run": sum(one.may_have_run() is not None for one in state.messages.values()),
        "classes": dict(Counter(one.message_class for one in state.messages.values())), "facts": len(state.marks),
        **_damage(found)}
    if messages:
        about["all_messages"] = [
            {"id": one.id, "class": one.message_class, "destination": one.destination, "deadline_ms": one.deadline_ms,
             "key": one.key, "bytes": len(one.body), "attempts": one.attempts, "out": len(one.out),
             "may_have_run": one.may_have_run() is not None, "notice": one.notice[0] if one.notice else None}
            for one in state.messages.values()]
    return about


def _damage(found: recovery.Found) -> dict[str, Any]:
    def row(one: recovery.Damage) -> dict[str, Any]:
        return {"file": one.file, "from": one.start, "to": one.stop}
    return {"damage": [row(one) for one in found.damage], "torn": row(found.torn) if found.torn else None,
            "doubted": sorted(found.doubted & set(found.state.messages)), "text_lost": sorted(found.bereft)}


def verify(folder: Path) -> dict[str, Any]:
    """Read every record; `fine` unless something is damaged. A torn tail is no damage. Changes nothing."""
    found = _read(folder)
    return {"folder": str(folder), "fine": not found.damage, "records": found.records,
            "messages": len(found.state.messages), **_damage(found)}


def _open(folder: Path) -> Journal:
    used = sum(rounded(one.stat().st_size) for one in folder.iterdir() if one.is_file())
    try:
        return Journal(folder, _NO_LIMIT, Sync.NONE,
                       segment_bytes=max(_LEAST_SEGMENT, min(_MOST_SEGMENT, used // 48)))
    except FolderInUseError as error:
        raise ToolError(f"{folder}: a process has it; expected a folder that no courier uses") from error
    except (OSError, FormatError) as error:
        raise ToolError(f"{folder}: {error}") from error


def compact(folder: Path, damaged: bool = False) -> dict[str, Any]:
    """Write anew what is live. Refuses a damaged folder unless told that damage is expected."""
    before = verify(folder)
    if not before["fine"] and not damaged:
        raise ToolError(f"{folder}: it is damaged; expected a whole journal, or `repair`, which keeps damaged files")
    journal = _open(folder)
    try:
        used = journal.used
        journal.compact_all()
        return {"folder": str(folder), "bytes_before": used, "bytes_after": journal.used,
                "messages": len(journal.messages)}
    except OSError as error:
        raise ToolError(f"{folder}: {error}; what it held is still there") from error
    finally:
        journal.close()


def repair(folder: Path) -> dict[str, Any]:
    """Bridge damage for good: the damaged files are kept in `damaged/` inside, and what could be read is written anew,
    with the doubts that damage leaves."""
    found = verify(folder)
    kept = []
    for name in sorted({row["file"] for row in found["damage"]}):
        if (folder / name).exists():
            aside = folder / "damaged"
            aside.mkdir(exist_ok=True)
            shutil.copy2(folder / name, aside / name)
            kept.append(str(aside / name))
    return {**compact(folder, damaged=True), "damage": found["damage"], "doubted": found["doubted"],
            "text_lost": found["text_lost"], "kept": kept}
