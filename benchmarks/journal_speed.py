"""Measures the journal beside SQLite in WAL mode, on one disk: appends, latency, replay, pauses, space.

    python benchmarks/journal_speed.py append [--count 20000]
    python benchmarks/journal_speed.py replay [--records 1000000]
    python benchmarks/journal_speed.py pause [--live 1000,100000,1000000] [--seconds 10]
    python benchmarks/journal_speed.py space

`append`: a message of 300 bytes is accepted, has an attempt, and ends; each record is written (and synced as the policy
says) before the next, as SQLite commits each statement. For `group` 64 writers wait for one sync or commit.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import logging
import random
import resource
import shutil
import sqlite3
import tempfile
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from wheelstep.journal import Journal, NoRoomError, StoredMessage
from wheelstep.journal.durability import SyncPolicy

BODY = random.Random(1).randbytes(300)
WRITERS = 64


def message(number: int) -> StoredMessage:
    """Return the message with this number, as a client submits it."""
    return StoredMessage(f"{number:016x}", "update", number % 100, 1_800_000_000_000, f"key{number % 1000}",
                         f"{number:032x}", False, BODY)


def percentiles(samples: list[float]) -> str:
    """Sort the samples (seconds) and return their percentiles in microseconds as text."""
    samples.sort()
    return ", ".join(f"p{p} {samples[min(len(samples) - 1, int(len(samples) * p / 100))] * 1e6:.0f}"
                     for p in (50, 99, 99.9)) + f", worst {samples[-1] * 1e6:.0f} us"


class SqliteTable:
    """The same records in an SQLite database."""

    def __init__(self, folder: Path, synchronous: str) -> None:
        self.db = sqlite3.connect(folder / "record.db", isolation_level=None, check_same_thread=False)
        self.db.execute("PRAGMA journal_mode=WAL")
        self.db.execute(f"PRAGMA synchronous={synchronous}")
        self.db.execute("CREATE TABLE messages (id TEXT PRIMARY KEY, class TEXT, destination INT, deadline INT, "
                        "key TEXT, token TEXT, body BLOB, attempts INT, ran INT)")

    def take(self, one: StoredMessage) -> None:
        """Insert a message."""
        self.db.execute("INSERT INTO messages VALUES (?,?,?,?,?,?,?,0,NULL)", (
            one.id, one.message_class, one.destination, one.deadline_ms, one.key, one.token, one.body))

    def attempt(self, name: str) -> None:
        """Count an attempt."""
        self.db.execute("UPDATE messages SET attempts = attempts + 1, ran = ? WHERE id = ?", (1, name))

    def delete(self, name: str) -> None:
        """Delete a message that has ended."""
        self.db.execute("DELETE FROM messages WHERE id = ?", (name,))


class Committer:
    """Uses SQLite as the journal is used: many writers on an event loop wait for one commit in another thread."""

    def __init__(self, table: SqliteTable) -> None:
        self._table, self._pool = table, ThreadPoolExecutor(1)
        self._rows: list[tuple[StoredMessage, asyncio.Future[None]]] = []
        self._task: asyncio.Task[None] | None = None

    async def take(self, one: StoredMessage) -> None:
        """Insert a message and return once it is committed."""
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._rows.append((one, waiter))
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._commit())
        await waiter

    async def _commit(self) -> None:
        while self._rows:
            await asyncio.sleep(0)
            rows, self._rows = self._rows, []

            def work(rows: list[tuple[StoredMessage, asyncio.Future[None]]] = rows) -> None:
                self._table.db.execute("BEGIN")
                for one, _ in rows:
                    self._table.take(one)
                self._table.db.execute("COMMIT")

            await asyncio.get_running_loop().run_in_executor(self._pool, work)
            for _, waiter in rows:
                waiter.set_result(None)

    def close(self) -> None:
        """Stop the thread and close the database."""
        self._pool.shutdown()
        self._table.db.close()


def timed(count: int, steps: tuple[Callable[[int], None], ...]) -> tuple[float, list[float]]:
    """Run all steps for each number and return the steps a second, and the seconds that each took."""
    samples = []
    clock = time.perf_counter
    began = clock()
    for number in range(count):
        for step in steps:
            start = clock()
            step(number)
            samples.append(clock() - start)
    return len(samples) / (clock() - began), samples


def append(count: int, root: Path) -> None:
    """Compare each sync policy with SQLite's matching setting; prints the median of three runs."""
    for sync, synchronous, share in ((SyncPolicy.NONE, "OFF", 1), (SyncPolicy.EACH, "FULL", 20)):
        rates = {"journal": [0.0], "sqlite": [0.0]}
        shown = {}
        for turn in range(3):
            folder = Path(tempfile.mkdtemp(dir=root))
            journal = Journal(folder, 10_000_000_000, sync)
            rate, samples = timed(count // share, (
                lambda n: journal.take(message(n)), lambda n: journal.attempt(f"{n:016x}", 0, 5, "e0"),  # noqa: B023
                lambda n: journal.over(f"{n:016x}")))  # noqa: B023
            journal.close()
            rates["journal"].append(rate)
            shown["journal"] = percentiles(samples)
            folder = Path(tempfile.mkdtemp(dir=root))
            table = SqliteTable(folder, synchronous)
            rate, samples = timed(count // share, (
                lambda n: table.take(message(n)), lambda n: table.attempt(f"{n:016x}"),  # noqa: B023
                lambda n: table.delete(f"{n:016x}")))  # noqa: B023
            table.db.close()
            rates["sqlite"].append(rate)
            shown["sqlite"] = percentiles(samples)
            del turn
        ours, theirs = (sorted(rates[name][1:])[1] for name in ("journal", "sqlite"))
        print(f"{sync.value}: journal {ours:.0f} records a second ({shown['journal']})")
        print(f"   SQLite, synchronous={synchronous}: {theirs:.0f} ({shown['sqlite']}); ratio {ours / theirs:.1f}")
    asyncio.run(group(count // 4, root))


async def group(count: int, root: Path) -> None:
    """Compare many writers that share a sync with SQLite, where they share a commit."""
    rates: dict[str, list[float]] = {"journal": [], "sqlite": []}
    for _ in range(3):
        journal = Journal(Path(tempfile.mkdtemp(dir=root)), 10_000_000_000, SyncPolicy.GROUP)

        async def writer(first: int, journal: Journal = journal) -> None:
            for number in range(first, count, WRITERS):
                journal.take(message(number))
                await journal.durable()

        began = time.perf_counter()
        await asyncio.gather(*(writer(first) for first in range(WRITERS)))
        rates["journal"].append(count / (time.perf_counter() - began))
        journal.close()
        table = SqliteTable(Path(tempfile.mkdtemp(dir=root)), "FULL")
        committer = Committer(table)

        async def sqlite_writer(first: int, committer: Committer = committer) -> None:
            for number in range(first, count, WRITERS):
                await committer.take(message(number))

        began = time.perf_counter()
        await asyncio.gather(*(sqlite_writer(first) for first in range(WRITERS)))
        rates["sqlite"].append(count / (time.perf_counter() - began))
        committer.close()
    ours, theirs = (sorted(rates[name])[1] for name in ("journal", "sqlite"))
    print(f"group: journal {ours:.0f} messages a second, {WRITERS} writers; SQLite, synchronous=FULL, the same writers "
          f"sharing commits off the loop: {theirs:.0f}; ratio {ours / theirs:.1f}")


def replay(records: int, root: Path) -> None:
    """Replay a journal of `records` records, a tenth of which are messages without a terminal outcome."""
    folder = Path(tempfile.mkdtemp(dir=root))
    journal = Journal(folder, 100_000_000_000)
    number = 0
    for _ in range(records // 10):
        journal.take(message(number))
        for attempt in range(2):
            journal.attempt(f"{number:016x}", attempt, 5, "e0")
            journal.outcome(f"{number:016x}", attempt, True)
        journal.take(message(number + 1))
        journal.attempt(f"{number + 1:016x}", 0, 5, "e0")
        journal.outcome(f"{number + 1:016x}", 0, False)
        journal.end(f"{number + 1:016x}", "given_up", 0)
        journal.over(f"{number + 1:016x}")
        number += 2
    used = journal.used
    journal.close()
    del journal
    gc.collect()
    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    began = time.perf_counter()
    reopened = Journal(folder, 100_000_000_000)
    took_s = time.perf_counter() - began
    grown = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before
    print(f"replay: {records} records, {used / 1e6:.0f} MB, {len(reopened.messages)} messages unfinished, "
          f"in {took_s:.1f} s: {records / took_s:.0f} records and {used / 1e6 / took_s:.0f} MB a second; "
          f"peak grew by {grown // 1024} MB")
    reopened.close()


async def pause(live: int, seconds: float, root: Path) -> None:
    """Measure how late a timer of the event loop fires while the journal compacts, and messages come and end."""
    logging.getLogger("wheelstep.journal").setLevel(logging.ERROR)
    journal = Journal(Path(tempfile.mkdtemp(dir=root)), 100_000_000_000)
    for number in range(live):
        journal.take(message(number))
    gc.collect()
    gc.freeze()
    late: list[float] = []
    slices = copied = 0

    async def churn() -> None:
        number = live
        while True:
            for _ in range(20):
                journal.take(message(number))
                journal.over(f"{number:016x}")
                number += 1
            await asyncio.sleep(0.01)

    async def compact() -> None:
        nonlocal slices, copied
        while True:
            before = journal.segments
            journal.compact(0.001)
            slices, copied = slices + 1, copied + max(0, before - journal.segments)
            await asyncio.sleep(0.003)

    tasks = [asyncio.create_task(churn()), asyncio.create_task(compact())]
    end = time.perf_counter() + seconds
    while time.perf_counter() < end:
        start = time.perf_counter()
        await asyncio.sleep(0.001)
        late.append(time.perf_counter() - start - 0.001)
    for task in tasks:
        task.cancel()
    print(f"pause: {live} live messages, {slices} slices: the loop's delay {percentiles(late)}", flush=True)
    journal.close()


def space(root: Path) -> None:
    """Measure live bytes over bytes on disk while messages are replaced and the journal is 85% full."""
    limit = 64_000_000
    journal = Journal(Path(tempfile.mkdtemp(dir=root)), limit)
    rng, names, number = random.Random(1), [], 0
    while journal.live < 0.85 * limit:
        journal.take(message(number))
        names.append(f"{number:016x}")
        number += 1
    shares, rejected, most = [], 0, 0
    began = time.perf_counter()
    for turn in range(100_000):
        index = rng.randrange(len(names))
        names[index], names[-1] = names[-1], names[index]
        journal.over(names.pop())
        try:
            journal.take(message(number))
            names.append(f"{number:016x}")
        except NoRoomError:
            rejected += 1
        number += 1
        if journal.wants_compaction() and not turn % 4:
            journal.compact(0.001)
        shares.append(journal.live / journal.used)
        most = max(most, journal.used)
    shares.sort()
    print(f"space: limit {limit / 1e6:.0f} MB, {journal.live / limit:.0%} live, {len(shares)} messages replaced at "
          f"random in {time.perf_counter() - began:.0f} s: live over used {shares[0]:.2f} at least, "
          f"{shares[len(shares) // 2]:.2f} median; {rejected} rejected; "
          f"at most {most / limit:.1%} of the limit")
    journal.close()


def main() -> None:
    """Run one measurement."""
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("what", choices=["append", "replay", "pause", "space"])
    options.add_argument("--count", type=int, default=20_000)
    options.add_argument("--records", type=int, default=1_000_000)
    options.add_argument("--live", default="1000,100000,1000000")
    options.add_argument("--seconds", type=float, default=10.0)
    options.add_argument("--folder", help="on the disk that is to be measured")
    given = options.parse_args()
    root = Path(tempfile.mkdtemp(prefix="journal-speed-", dir=given.folder))
    try:
        if given.what == "append":
            append(given.count, root)
        elif given.what == "replay":
            replay(given.records, root)
        elif given.what == "pause":
            for live in given.live.split(","):
                asyncio.run(pause(int(live), given.seconds, root))
        else:
            space(root)
    finally:
        shutil.rmtree(root)


if __name__ == "__main__":
    main()
