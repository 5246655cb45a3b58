"""The folders of the shares, and how what is owed moves between layouts: one journal for all, or one a share.

`layout.json` names the generation that counts and its number of shares; it is replaced by rename, which is the commit
point. What a cut-off move left is removed, or finished, at the next start. Generation 0 is the folder itself, as a
courier without workers has it.
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

FILE = "layout.json"
_NO_LIMIT = 1 << 40

log = logging.getLogger(__name__)


class LayoutError(Exception):
    """The folder can't be used; one line."""


@dataclass(frozen=True, slots=True)
class Layout:
    """Which folders count."""

    generation: int  # 0: one journal in the folder itself
    shares: int

    def folder(self, state: Path, share: int) -> Path:
        """Where a share's journal is."""
        return state / f"shares-{self.generation}" / str(share) if self.generation else state


def read(state: Path) -> Layout:
    """The layout that counts. Raises `LayoutError`."""
    path = state / FILE
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
    """Bring the folder to so many shares, 0 for one journal in the folder itself, and return its layout. What is owed
    moves along, each message to the share of its destination, in the order in which it was taken on; cut off anywhere,
    it is done again. Raises `LayoutError` with nothing changed where a process has a part of the folder, where it is
    damaged, or where `limit_bytes` has no room for both copies."""
    now = read(state)
    try:
        _clean(state, now)
        if shares == now.shares and now.generation:
            return now
        if not shares:
            if now.generation:
                _merge(state, now)
            return Layout(0, 1)
        new = Layout(now.generation + 1, shares)
        _move(state, now, new, limit_bytes)
        _commit(state, new)
        _clean(state, new)
        return new
    except FolderInUseError as error:
        raise LayoutError(f"{state}: {error}; expected a folder that no courier uses") from error
    except (OSError, FormatError) as error:
        raise LayoutError(f"{state}: {error}") from error


def _move(state: Path, now: Layout, new: Layout, limit_bytes: int) -> None:
    sources = [Journal(now.folder(state, share), _NO_LIMIT) for share in range(now.shares)
               if now.folder(state, share).is_dir()]
    targets: list[Journal] = []
    try:
        live = sum(source.live for source in sources)
        used = sum(source.used for source in sources)
        if used + live > limit_bytes:
            raise LayoutError(f"{state}: {live} bytes are owed and {used} in use; expected room for another copy "
                              f"within {limit_bytes} bytes before the number of shares changes")
        for share in range(new.shares):
            folder = new.folder(state, share)
            folder.mkdir(parents=True)
            targets.append(Journal(folder, _NO_LIMIT, SyncPolicy.NONE))
        count = 0
        for source in sources:
            # One key's messages of one destination are all in one source, so their order is the source's.
            for message in source.messages.values():
                target = targets[share_of(message.destination, new.shares)]
                if message.id not in target.messages:
                    target.take(_copy(message))
                    count += 1
            for name, value in source.marks.items():
                for target in targets:  # a courier forgets those whose endpoints it is not told of
                    target.mark(name, value)
        for target in targets:
            target.sync_now()
        if count:
            log.info("%d messages moved to %d shares", count, new.shares)
    finally:
        for journal in [*sources, *targets]:
            journal.close()


def _copy(message: StoredMessage) -> StoredMessage:
    return StoredMessage(message.id, message.message_class, message.destination, message.deadline_ms, message.key,
                  message.token, message.resubmitted, message.body, message.attempts, message.ran_ms, message.ran_at,
                  dict(message.out), message.notice)


def _commit(state: Path, layout: Layout) -> None:
    fresh = state / (FILE + ".new")
    with open(fresh, "w", encoding="utf-8") as file:
        json.dump({"generation": layout.generation, "shares": layout.shares}, file)
        file.flush()
        os.fsync(file.fileno())
    os.replace(fresh, state / FILE)
    Folder(state).sync_folder()


def _clean(state: Path, layout: Layout) -> None:
    """Remove what does not count: generations before and after, and the folder's own journal where shares count."""
    for path in state.glob("shares-*"):
        if path.name != f"shares-{layout.generation}":
            shutil.rmtree(path)
    (state / (FILE + ".new")).unlink(missing_ok=True)
    if layout.generation:
        for path in state.iterdir():
            if segment_number_of(path.name) is not None or path.name == OLD_FORMAT_FILE:
                path.unlink()


def _merge(state: Path, now: Layout) -> None:
    """Back to one journal in the folder itself. Its commit point is the removal of `layout.json`: until then a start
    removes what stands in the folder itself, and does it again."""
    merged = Journal(state, _NO_LIMIT)
    sources = []
    try:
        for share in range(now.shares):
            if now.folder(state, share).is_dir():
                sources.append(Journal(now.folder(state, share), _NO_LIMIT))
        for source in sources:
            for message in source.messages.values():
                merged.take(_copy(message))
            for name, value in source.marks.items():
                merged.mark(name, value)
        merged.sync_now()
    finally:
        for journal in [merged, *sources]:
            journal.close()
    (state / FILE).unlink()
    Folder(state).sync_folder()
    _clean(state, Layout(0, 1))
