"""The folders of the shares, and the migration of messages between layouts: one journal in all, or one per share (a
share is a fixed subset of the destinations).

`layout.json` names the valid generation and its number of shares. It is replaced by rename, which is the commit point.
The remains of an interrupted migration are removed, or it is completed, at the next start. Generation 0 is the folder
itself, as a courier without workers uses it.
"""

from __future__ import annotations

import json
import logging
import os
import shutil
from dataclasses import dataclass
from pathlib import Path

from wheelstep.journal import FolderInUseError, Journal, StoredMessage
from wheelstep.journal.codec import FormatError
from wheelstep.journal.disk import Folder
from wheelstep.journal.durability import SyncPolicy
from wheelstep.journal.oldformat import OLD_FORMAT_FILE
from wheelstep.journal.segments import segment_number_of
from wheelstep.workers.ownership import share_of

LAYOUT_FILE = "layout.json"
_NO_LIMIT = 1 << 40

log = logging.getLogger(__name__)


class LayoutError(Exception):
    """The folder can't be used; the text is one line for operators."""


@dataclass(frozen=True, slots=True)
class Layout:
    """Which folders are valid: those of one generation, one folder per share."""

    generation: int  # 0: one journal in the folder itself
    shares: int

    def folder(self, state: Path, share: int) -> Path:
        """Return the folder of a share's journal. `state`: folder of the courier."""
        return state / f"shares-{self.generation}" / str(share) if self.generation else state


def read_layout(state: Path) -> Layout:
    """Return the valid layout: that of a courier without workers if there is no layout file. Raises `LayoutError` if
    the file is invalid."""
    path = state / LAYOUT_FILE
    try:
        data = json.loads(path.read_text(encoding="utf-8"))
        layout = Layout(int(data["generation"]), int(data["shares"]))
    except FileNotFoundError:
        return Layout(0, 1)
    except (OSError, ValueError, KeyError, TypeError) as error:
        raise LayoutError(f"{path}: {error!r}; expected the file as umberchute wrote it") from error
    if layout.generation < 0 or layout.shares < 1:
        raise LayoutError(f"{path}: {layout}; expected the file as umberchute wrote it")
    return layout


def prepare(state: Path, shares: int, limit_bytes: int) -> Layout:
    """Migrate the folder to `shares` shares, 0 for one journal in the folder itself, and return its layout. Each
    message moves to the share of its destination, in the order of acceptance. A migration that was interrupted is done
    again; its remains are removed first. Raises `LayoutError`, with the valid layout unchanged, if a journal to migrate
    is in use by another process or damaged, or if `limit_bytes` has no room for both copies (not checked for 0
    shares)."""
    current = read_layout(state)
    try:
        _remove_stale(state, current)
        if shares == current.shares and current.generation:
            return current
        if not shares:
            if current.generation:
                _merge(state, current)
            return Layout(0, 1)
        new = Layout(current.generation + 1, shares)
        _move(state, current, new, limit_bytes)
        _commit(state, new)
        _remove_stale(state, new)
        return new
    except FolderInUseError as error:
        raise LayoutError(f"{state}: {error}; expected a folder that no courier uses") from error
    except (OSError, FormatError) as error:
        raise LayoutError(f"{state}: {error}") from error


def _move(state: Path, current: Layout, new: Layout, limit_bytes: int) -> None:
    sources = [Journal(current.folder(state, share), _NO_LIMIT) for share in range(current.shares)
               if current.folder(state, share).is_dir()]
    targets: list[Journal] = []
    try:
        live = sum(source.live for source in sources)
        used = sum(source.used for source in sources)
        if used + live > limit_bytes:
            raise LayoutError(f"{state}: {live} bytes of messages and {used} in use; expected room for another copy "
                              f"within {limit_bytes} bytes before the number of shares changes")
        for share in range(new.shares):
            folder = new.folder(state, share)
            folder.mkdir(parents=True)
            targets.append(Journal(folder, _NO_LIMIT, SyncPolicy.NONE))
        count = 0
        for source in sources:
            # All messages of a destination and key are in one source, so this keeps their order.
            for message in source.messages.values():
                target = targets[share_of(message.destination, new.shares)]
                if message.id not in target.messages:
                    target.take(_copy(message))
                    count += 1
            for name, value in source.marks.items():
                for target in targets:  # a courier drops the marks of endpoints that are not listed
                    target.mark(name, value)
        for target in targets:
            target.sync_now()
        if count:
            log.info("moved %d messages to %d shares", count, new.shares)
    finally:
        for journal in [*sources, *targets]:
            journal.close()


def _copy(message: StoredMessage) -> StoredMessage:
    return StoredMessage(message.id, message.message_class, message.destination, message.deadline_ms, message.key,
                  message.token, message.resubmitted, message.body, message.attempts, message.ran_ms, message.ran_at,
                  dict(message.out), message.notice)


def _commit(state: Path, layout: Layout) -> None:
    temporary = state / (LAYOUT_FILE + ".new")
    with open(temporary, "w", encoding="utf-8") as file:
        json.dump({"generation": layout.generation, "shares": layout.shares}, file)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary, state / LAYOUT_FILE)
    Folder(state).sync_folder()


def _remove_stale(state: Path, layout: Layout) -> None:
    """Remove all other generations; with shares, that includes the journal in the folder itself."""
    for path in state.glob("shares-*"):
        if path.name != f"shares-{layout.generation}":
            shutil.rmtree(path)
    (state / (LAYOUT_FILE + ".new")).unlink(missing_ok=True)
    if layout.generation:
        for path in state.iterdir():
            if segment_number_of(path.name) is not None or path.name == OLD_FORMAT_FILE:
                path.unlink()


def _merge(state: Path, current: Layout) -> None:
    """Merge the shares into one journal in the folder itself. The removal of `layout.json` is the commit point: if
    interrupted before, the next call of `prepare` removes the journal in the folder itself and merges again."""
    merged = Journal(state, _NO_LIMIT)
    sources = []
    try:
        for share in range(current.shares):
            if current.folder(state, share).is_dir():
                sources.append(Journal(current.folder(state, share), _NO_LIMIT))
        for source in sources:
            for message in source.messages.values():
                merged.take(_copy(message))
            for name, value in source.marks.items():
                merged.mark(name, value)
        merged.sync_now()
    finally:
        for journal in [merged, *sources]:
            journal.close()
    (state / LAYOUT_FILE).unlink()
    Folder(state).sync_folder()
    _remove_stale(state, Layout(0, 1))
