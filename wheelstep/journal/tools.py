"""Operator commands on a journal's folder that no courier uses: inspect, verify, compact, repair."""

from __future__ import annotations

import shutil
from collections import Counter
from pathlib import Path
from typing import Any

from wheelstep.journal import recovery
from wheelstep.journal.codec import FormatError
from wheelstep.journal.disk import Folder
from wheelstep.journal.durability import FolderInUseError, SyncPolicy
from wheelstep.journal.journal import _MAX_SEGMENT_BYTES, _MIN_SEGMENT_BYTES, Journal
from wheelstep.journal.segments import rounded_to_blocks, segment_file_name

_NO_LIMIT = 1 << 40


class ToolError(Exception):
    """The folder cannot be processed; the text is one line."""


def _recover(folder: Path) -> recovery.RecoveryResult:
    """Read the folder under its lock. Raises `ToolError`."""
    if not folder.is_dir():
        raise ToolError(f"{folder}: no folder; expected a courier's RELAY_STATE folder")
    disk = Folder(folder)
    try:
        if not disk.lock():
            raise ToolError(f"{folder}: in use by another process; expected a folder that no courier uses")
        return recovery.read(disk)
    except (OSError, FormatError) as error:
        raise ToolError(f"{folder}: {error}") from error
    finally:
        disk.unlock()


def inspect(folder: Path, messages: bool = False) -> dict[str, Any]:
    """Describe the folder's content; with `messages` also each message, without its body. Changes nothing."""
    result = _recover(folder)
    state = result.state
    report: dict[str, Any] = {
        "folder": str(folder), "segments": [
            {"file": segment_file_name(one.number), "bytes": one.size, "messages": len(one.messages),
             "facts": len(one.facts)}
            for one in result.segments],
        "old_format": result.old is not None, "records": result.records, "bytes": result.size,
        "messages": len(state.messages), "live_bytes": state.live,
        "owed_a_notice": sum(one.notice is not None for one in state.messages.values()),
        "may_have_run": sum(one.may_have_run() is not None for one in state.messages.values()),
        "classes": dict(Counter(one.message_class for one in state.messages.values())), "facts": len(state.marks),
        **_damage_report(result)}
    if messages:
        report["all_messages"] = [
            {"id": one.id, "class": one.message_class, "destination": one.destination, "deadline_ms": one.deadline_ms,
             "key": one.key, "bytes": len(one.body), "attempts": one.attempts, "out": len(one.out),
             "may_have_run": one.may_have_run() is not None, "notice": one.notice[0] if one.notice else None}
            for one in state.messages.values()]
    return report


def _damage_report(result: recovery.RecoveryResult) -> dict[str, Any]:
    """Return the damage as JSON-ready values."""

    def row(one: recovery.Damage) -> dict[str, Any]:
        return {"file": one.file, "from": one.start, "to": one.stop}
    return {"damage": [row(one) for one in result.damage], "torn": row(result.torn) if result.torn else None,
            "doubted": sorted(result.doubted & set(result.state.messages)), "text_lost": sorted(result.bodies_lost)}


def verify(folder: Path) -> dict[str, Any]:
    """Read every record. `fine` is false if something is damaged; a torn tail is not damage. Changes nothing."""
    result = _recover(folder)
    return {"folder": str(folder), "fine": not result.damage, "records": result.records,
            "messages": len(result.state.messages), **_damage_report(result)}


def _open_journal(folder: Path) -> Journal:
    """Open the folder as a journal without a size limit. Raises `ToolError`."""
    used = sum(rounded_to_blocks(one.stat().st_size) for one in folder.iterdir() if one.is_file())
    try:
        return Journal(folder, _NO_LIMIT, SyncPolicy.NONE,
                       segment_bytes=max(_MIN_SEGMENT_BYTES, min(_MAX_SEGMENT_BYTES, used // 48)))
    except FolderInUseError as error:
        raise ToolError(f"{folder}: in use by another process; expected a folder that no courier uses") from error
    except (OSError, FormatError) as error:
        raise ToolError(f"{folder}: {error}") from error


def compact(folder: Path, damaged: bool = False) -> dict[str, Any]:
    """Rewrite the live records only. Refuses a damaged folder unless `damaged` is true."""
    before = verify(folder)
    if not before["fine"] and not damaged:
        raise ToolError(f"{folder}: damaged; expected an undamaged journal (`repair` rewrites it and keeps the damaged "
                        "files)")
    journal = _open_journal(folder)
    try:
        used = journal.used
        journal.compact_all()
        return {"folder": str(folder), "bytes_before": used, "bytes_after": journal.used,
                "messages": len(journal.messages)}
    except OSError as error:
        raise ToolError(f"{folder}: {error}; its messages are kept") from error
    finally:
        journal.close()


def repair(folder: Path) -> dict[str, Any]:
    """Rewrite a damaged folder with what could be read, and keep the damaged files in `damaged/` inside it.

    Messages that damage affects count as ones that may have run, or are ended as failed.
    """
    result = verify(folder)
    kept = []
    for name in sorted({row["file"] for row in result["damage"]}):
        if (folder / name).exists():
            aside = folder / "damaged"
            aside.mkdir(exist_ok=True)
            shutil.copy2(folder / name, aside / name)
            kept.append(str(aside / name))
    return {**compact(folder, damaged=True), "damage": result["damage"], "doubted": result["doubted"],
            "text_lost": result["text_lost"], "kept": kept}
