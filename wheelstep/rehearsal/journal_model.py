"""A model of the journal, and crashes at every boundary of a random history: reload, and compare with the model.

Used by the tests, and by `benchmarks/journal_crashes.py` for long runs.
"""

from __future__ import annotations

import contextlib
import copy
import random
from collections.abc import Sequence
from dataclasses import dataclass

from wheelstep.journal import Journal, NoRoomError, StoredMessage
from wheelstep.journal.durability import SyncPolicy
from wheelstep.rehearsal.faulty_disk import CrashError, FaultyDisk

LIMIT, SEGMENT = 24_000, 1_000
Step = tuple[str, int, int]  # what, which message, a number for what it needs


class MismatchError(Exception):
    """The journal does not hold what the model says; the text has seed and crash point."""


def draw_history(rng: random.Random, steps: int) -> list[Step]:
    """A random history: many short lives, a few long ones, copies forward in between."""
    kinds = ["take"] * 5 + ["attempt"] * 5 + ["outcome"] * 4 + ["end"] * 2 + ["over"] * 4 + ["mark"] + ["compact"] * 4
    return [(rng.choice(kinds), rng.randrange(8), rng.randrange(1 << 16)) for _ in range(steps)]


@dataclass(frozen=True, slots=True)
class View:
    """What must be the same: messages in order, each with what counts for its rules."""

    messages: tuple[tuple[str, int, bytes, bool, str], ...]
    marks: tuple[tuple[str, object], ...]

    @classmethod
    def of(cls, journal: Journal) -> View:
        """Of a journal as it stands."""
        return cls(tuple((m.id, m.attempts, m.body, m.may_have_run() is not None, m.notice[0] if m.notice else "")
                         for m in journal.messages.values()),
                   tuple(sorted(copy.deepcopy(journal.marks).items())))


def play(journal: Journal, step: Step) -> None:
    """One step."""
    what, which, number = step
    name = f"m{which}"
    if what == "take":
        if name not in journal.messages:
            body = bytes([which]) * (number % 400)
            with contextlib.suppress(NoRoomError):
                journal.take(StoredMessage(name, "c", 7, 1000 + number, f"k{which % 3}", None, False, body))
    elif what == "attempt":
        message = journal.messages.get(name)
        if message is not None and message.notice is None:
            journal.attempt(name, message.attempts, number, f"e{number % 3}")
    elif what == "outcome":
        message = journal.messages.get(name)
        if message is not None and message.out:
            journal.outcome(name, min(message.out), bool(number % 2))
    elif what == "end":
        message = journal.messages.get(name)
        if message is not None and message.notice is None:
            journal.end(name, "given_up", number)
    elif what == "over":
        journal.over(name)
    elif what == "mark":
        journal.mark(f"f{which}", None if number % 3 == 0 else number)
    elif what == "compact":
        journal.compact(0.0)


def open_journal(disk: FaultyDisk, sync: SyncPolicy) -> Journal:
    """A small one."""
    return Journal(disk, LIMIT, sync, segment_bytes=SEGMENT)


def crash_everywhere(history: Sequence[Step], sync: SyncPolicy, seed: int, again: bool = True) -> int:
    """Play the history once whole, then crash at each of its operations and compare. Under `SyncPolicy.EACH` the power
    goes, under `SyncPolicy.NONE` the process ends. With `again`, recovery is crashed as well. Returns how many crash
    points there were; raises `MismatchError`."""
    views: list[View] = []
    disk = FaultyDisk(seed)
    journal = open_journal(disk, sync)
    views.append(View.of(journal))
    for step in history:
        play(journal, step)
        views.append(View.of(journal))
    journal.close()
    total = disk.count
    for point in range(1, total + 1):
        disk = FaultyDisk(seed)
        disk.crash_at = point
        done = -1
        try:
            journal = open_journal(disk, sync)
            done = 0
            for step in history:
                play(journal, step)
                done += 1
            journal.close()
        except CrashError:
            pass
        left = disk.after_crash(power=sync is SyncPolicy.EACH)
        if again:
            left = _crash_recovery(left, sync, random.Random(seed * 1_000_003 + point))
        allowed = views[max(done, 0):max(done, 0) + 2]
        found = View.of(open_journal(left, sync))
        if not any(_fits(found, view, sync) for view in allowed):
            raise MismatchError(f"seed {seed}, {sync.value}, crash before operation {point} of {total}, in step "
                                f"{done} {history[done] if 0 <= done < len(history) else ''}:\n found {found}\n"
                                f" allowed {allowed}")
    return total


def _crash_recovery(disk: FaultyDisk, sync: SyncPolicy, rng: random.Random) -> FaultyDisk:
    """Crash once more while the folder is being read and mended."""
    disk.crash_at = rng.randint(1, 4)
    with contextlib.suppress(CrashError):
        open_journal(disk, sync)
    return disk.after_crash(power=sync is SyncPolicy.EACH)


def _fits(found: View, view: View, sync: SyncPolicy) -> bool:
    """The same after a process's end. After a power loss a message may count as one that may have run though it did
    not, never the other way round."""
    if sync is SyncPolicy.NONE:
        return found == view
    if len(found.messages) != len(view.messages) or found.marks != view.marks:
        return False
    return all((a[0], a[1], a[2], a[4]) == (b[0], b[1], b[2], b[4]) and (a[3] or not b[3])
               for a, b in zip(found.messages, view.messages, strict=True))


def crash_between_syncs(history: Sequence[Step], seed: int, every: int = 5) -> int:
    """Under `SyncPolicy.GROUP` with a sync after every few steps: the power goes at each operation. What was synced
    must be there; of what came after it any part may be. Returns how many crash points there were; raises
    `MismatchError`."""
    disk = FaultyDisk(seed)
    views = [View.of(journal := open_journal(disk, SyncPolicy.GROUP))]
    for number, step in enumerate(history):
        play(journal, step)
        views.append(View.of(journal))
        if number % every == every - 1:
            journal.sync_now()
    total = disk.count
    for point in range(1, total + 1):
        disk = FaultyDisk(seed)
        disk.crash_at = point
        done = safe = 0
        with contextlib.suppress(CrashError):
            journal = open_journal(disk, SyncPolicy.GROUP)
            for number, step in enumerate(history):
                play(journal, step)
                done = number + 1
                if number % every == every - 1:
                    journal.sync_now()
                    safe = done
        left = _crash_recovery(disk.after_crash(power=True), SyncPolicy.EACH, random.Random(seed * 7 + point))
        trouble = _unfit(View.of(open_journal(left, SyncPolicy.GROUP)), views[safe:done + 2])
        if trouble:
            raise MismatchError(f"seed {seed}, power lost before operation {point} of {total}, after step {done}, "
                                f"synced at {safe}: {trouble}")
    return total


def _unfit(found: View, since: Sequence[View]) -> str:
    """What is wrong with a state found after a power loss; `since` begins with the one that was synced last."""
    rows = {row[0]: row for row in found.messages}
    held = [{row[0]: row for row in view.messages} for view in since]
    for name in held[0]:
        if not all(name in view for view in held):
            continue  # its end was on its way
        if name not in rows:
            return f"{name} was synced and is gone"
        if all(view[name][3] for view in held) and not rows[name][3]:
            return f"{name} may have run and looks as if it had not"
        if rows[name][2] not in [view[name][2] for view in held]:
            return f"{name} has another body"
    for name in rows:
        if not any(name in view for view in held):
            return f"{name} was over, and is back"
    common = [name for name in held[0] if name in rows and all(name in view for view in held)]
    orders = [[name for name in view if name in common] for view in held]  # one may have ended and come again
    if [name for name in rows if name in common] not in orders:
        return "the order of taking has changed"
    return ""
