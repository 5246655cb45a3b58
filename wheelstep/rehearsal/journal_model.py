"""Crash tests of the journal: crash at every operation of a random history, reload, and compare with the states before.

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

JOURNAL_BYTES, SEGMENT_BYTES = 24_000, 1_000
Step = tuple[str, int, int]  # kind, number of the message, random argument


class MismatchError(Exception):
    """The recovered journal differs from the expected states; the message has seed and crash point."""


def draw_history(rng: random.Random, steps: int) -> list[Step]:
    """Draw a random history with many short-lived messages, a few long-lived ones and compactions in between."""
    kinds = ["take"] * 5 + ["attempt"] * 5 + ["outcome"] * 4 + ["end"] * 2 + ["over"] * 4 + ["mark"] + ["compact"] * 4
    return [(rng.choice(kinds), rng.randrange(8), rng.randrange(1 << 16)) for _ in range(steps)]


@dataclass(frozen=True, slots=True)
class JournalState:
    """The comparable state of a journal: its messages in order and its marks.

    A message has id, attempts, body, whether it may have run, and its pending outcome or an empty string.
    """

    messages: tuple[tuple[str, int, bytes, bool, str], ...]
    marks: tuple[tuple[str, object], ...]

    @classmethod
    def of(cls, journal: Journal) -> JournalState:
        """Return the state of a journal."""
        return cls(tuple((m.id, m.attempts, m.body, m.may_have_run() is not None, m.notice[0] if m.notice else "")
                         for m in journal.messages.values()),
                   tuple(sorted(copy.deepcopy(journal.marks).items())))


def apply_step(journal: Journal, step: Step) -> None:
    """Apply a step; one that isn't possible in the present state does nothing."""
    kind, index, argument = step
    name = f"m{index}"
    if kind == "take":
        if name not in journal.messages:
            body = bytes([index]) * (argument % 400)
            with contextlib.suppress(NoRoomError):
                journal.take(StoredMessage(name, "c", 7, 1000 + argument, f"k{index % 3}", None, False, body))
    elif kind == "attempt":
        message = journal.messages.get(name)
        if message is not None and message.notice is None:
            journal.attempt(name, message.attempts, argument, f"e{argument % 3}")
    elif kind == "outcome":
        message = journal.messages.get(name)
        if message is not None and message.out:
            journal.outcome(name, min(message.out), bool(argument % 2))
    elif kind == "end":
        message = journal.messages.get(name)
        if message is not None and message.notice is None:
            journal.end(name, "given_up", argument)
    elif kind == "over":
        journal.over(name)
    elif kind == "mark":
        journal.mark(f"f{index}", None if argument % 3 == 0 else argument)
    elif kind == "compact":
        journal.compact(0.0)


def open_journal(disk: FaultyDisk, sync: SyncPolicy) -> Journal:
    """Return a journal with a small limit and small segments."""
    return Journal(disk, JOURNAL_BYTES, sync, segment_bytes=SEGMENT_BYTES)


def crash_everywhere(history: Sequence[Step], sync: SyncPolicy, seed: int, crash_recovery: bool = True) -> int:
    """Crash at each operation of a history, recover and compare; return the number of crash points.

    Under `SyncPolicy.EACH` the power fails, under `SyncPolicy.NONE` the process ends. With `crash_recovery` the
    recovery crashes once too. Raises `MismatchError`.
    """
    states: list[JournalState] = []
    disk = FaultyDisk(seed)
    journal = open_journal(disk, sync)
    states.append(JournalState.of(journal))
    for step in history:
        apply_step(journal, step)
        states.append(JournalState.of(journal))
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
                apply_step(journal, step)
                done += 1
            journal.close()
        except CrashError:
            pass
        left = disk.after_crash(power=sync is SyncPolicy.EACH)
        if crash_recovery:
            left = _crash_recovery(left, sync, random.Random(seed * 1_000_003 + point))
        allowed = states[max(done, 0):max(done, 0) + 2]
        found = JournalState.of(open_journal(left, sync))
        if not any(_matches(found, state, sync) for state in allowed):
            raise MismatchError(f"seed {seed}, {sync.value}, crash before operation {point} of {total}, in step "
                                f"{done} {history[done] if 0 <= done < len(history) else ''}:\n found {found}\n"
                                f" allowed {allowed}")
    return total


def _crash_recovery(disk: FaultyDisk, sync: SyncPolicy, rng: random.Random) -> FaultyDisk:
    """Crash once more while the journal recovers."""
    disk.crash_at = rng.randint(1, 4)
    with contextlib.suppress(CrashError):
        open_journal(disk, sync)
    return disk.after_crash(power=sync is SyncPolicy.EACH)


def _matches(found: JournalState, state: JournalState, sync: SyncPolicy) -> bool:
    """Return whether a recovered state is allowed.

    It must be the same after the end of a process. After a power loss a message that never ran may also be marked as
    possibly run, but not the reverse.
    """
    if sync is SyncPolicy.NONE:
        return found == state
    if len(found.messages) != len(state.messages) or found.marks != state.marks:
        return False
    return all((a[0], a[1], a[2], a[4]) == (b[0], b[1], b[2], b[4]) and (a[3] or not b[3])
               for a, b in zip(found.messages, state.messages, strict=True))


def crash_between_syncs(history: Sequence[Step], seed: int, every: int = 5) -> int:
    """Fail the power at each operation under `SyncPolicy.GROUP`; return the number of crash points.

    A sync follows every `every` steps. Synced steps must be recovered, and any part of the later ones may be. Raises
    `MismatchError`.
    """
    disk = FaultyDisk(seed)
    states = [JournalState.of(journal := open_journal(disk, SyncPolicy.GROUP))]
    for number, step in enumerate(history):
        apply_step(journal, step)
        states.append(JournalState.of(journal))
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
                apply_step(journal, step)
                done = number + 1
                if number % every == every - 1:
                    journal.sync_now()
                    safe = done
        left = _crash_recovery(disk.after_crash(power=True), SyncPolicy.EACH, random.Random(seed * 7 + point))
        trouble = _mismatch(JournalState.of(open_journal(left, SyncPolicy.GROUP)), states[safe:done + 2])
        if trouble:
            raise MismatchError(f"seed {seed}, power lost before operation {point} of {total}, after step {done}, "
                                f"synced at {safe}: {trouble}")
    return total


def _mismatch(found: JournalState, since: Sequence[JournalState]) -> str:
    """Return what is wrong with a state recovered after a power loss, empty if nothing.

    `since` has the states from the last sync on.
    """
    rows = {row[0]: row for row in found.messages}
    held = [{row[0]: row for row in state.messages} for state in since]
    for name in held[0]:
        if not all(name in state for state in held):
            continue  # its removal may or may not have been written
        if name not in rows:
            return f"{name} was synced and is missing"
        if all(state[name][3] for state in held) and not rows[name][3]:
            return f"{name} may have run and is not marked so"
        if rows[name][2] not in [state[name][2] for state in held]:
            return f"{name} has another body"
    for name in rows:
        if not any(name in state for state in held):
            return f"{name} was removed and is back"
    common = [name for name in held[0] if name in rows and all(name in state for state in held)]
    orders = [[name for name in state if name in common] for state in held]  # ids may return
    if [name for name in rows if name in common] not in orders:
        return "the order of the messages has changed"
    return ""
