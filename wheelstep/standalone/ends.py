"""Terminal outcomes ("ends") of messages for client queries, kept in memory and in a file of the state folder, both
bounded.

The file has one JSON line per outcome and is compacted, by rename, once it has over twice as many lines as outcomes are
kept. The journal owes an outcome until it is in the file, so one lost to a crash or a full disk is reported again.
"""

from __future__ import annotations

import asyncio
import json
import logging
import os
import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

log = logging.getLogger(__name__)
_MAX_WAITERS = 10_000
_RETRY_DELAY_S = 1.0  # after a failed write


@dataclass(frozen=True, slots=True)
class TerminalOutcome:
    """How a message ended: `delivered`, `refused` (safe to submit again after `retry_ms` milliseconds) or `failed`."""

    end: str
    at_ms: int  # Unix time
    retry_ms: int = 0

    @classmethod
    def now(cls, outcome: str, retry_ms: int = 0) -> TerminalOutcome:
        """Create an outcome with the current time."""
        return cls(outcome, int(time.time() * 1000), retry_ms)

    def row(self, message: str) -> dict[str, Any]:
        """Return the JSON object that is sent to clients and stored in the file."""
        row: dict[str, Any] = {"message": message, "end": self.end, "at_ms": self.at_ms}
        if self.retry_ms:
            row["retry_in_ms"] = self.retry_ms
        return row


class OutcomeStore:
    """Keeps the newest `capacity` outcomes by message name; calls `on_written` with names whose outcomes are in the
    file."""

    FILE = "ends.jsonl"

    def __init__(self, folder: Path, capacity: int, on_written: Callable[[list[str]], None]) -> None:
        self._path, self._capacity, self._on_written = folder / self.FILE, capacity, on_written
        self._outcomes: OrderedDict[str, TerminalOutcome] = OrderedDict()
        self._waiters: dict[str, list[asyncio.Future[None]]] = {}
        self._waiter_count = 0  # futures in `_waiters`
        self._unwritten: list[str] = []
        self._flush_handle: asyncio.Handle | None = None  # the scheduled write, if any
        self._line_count = 0
        self._read()
        self._file = open(self._path, "ab", buffering=0)  # noqa: SIM115  # closed by close()

    def _read(self) -> None:
        self._torn = False  # whether the file ends in a partial line, so that the next write starts with a line break
        try:
            data = self._path.read_bytes()
        except FileNotFoundError:
            return
        self._torn = bool(data) and not data.endswith(b"\n")
        for line in data.splitlines():
            self._line_count += 1
            try:
                row = json.loads(line)
                outcome = TerminalOutcome(str(row["end"]), int(row["at_ms"]), int(row.get("retry_in_ms", 0)))
                self._outcomes[str(row["message"])] = outcome
            except (ValueError, KeyError, TypeError):
                log.warning("%s: line %d is not a valid record and is skipped", self._path, self._line_count)
        while len(self._outcomes) > self._capacity:
            self._outcomes.popitem(last=False)

    def get(self, message: str) -> TerminalOutcome | None:
        """Return the outcome of the message, or None if it has none or it is no longer kept."""
        return self._outcomes.get(message)

    def add(self, message: str, outcome: TerminalOutcome) -> None:
        """Record an outcome and schedule its write; waiters are notified after the write is tried, even if it fails."""
        if message in self._outcomes:  # reported again after a restart
            asyncio.get_running_loop().call_soon(self._on_written, [message])
            return
        self._outcomes[message] = outcome
        if len(self._outcomes) > self._capacity:
            self._outcomes.popitem(last=False)
        self._unwritten.append(message)
        if self._flush_handle is None:
            self._flush_handle = asyncio.get_running_loop().call_soon(self.flush)

    def flush(self) -> None:
        """Write all unwritten outcomes in one write; if it fails, retry it after `_RETRY_DELAY_S`."""
        self._flush_handle = None
        names = self._unwritten
        data = b"\n" if self._torn else b""
        data += b"".join(json.dumps(outcome.row(name)).encode() + b"\n"
                         for name in names if (outcome := self._outcomes.get(name)))
        try:
            self._torn = self._file.write(data) < len(data)
            if self._torn:
                raise OSError("short write: only part of the data was written")
            self._unwritten = []
            self._line_count += len(names)
            if self._line_count > 2 * self._capacity:
                self._compact()
        except OSError as error:  # waiters are notified all the same; the journal owes what is not written
            log.error("%s: %s; %d message outcomes are not written yet", self._path, error, len(self._unwritten))
            if self._unwritten:
                self._flush_handle = asyncio.get_running_loop().call_later(_RETRY_DELAY_S, self.flush)
        if not self._unwritten:
            self._on_written(names)
        for name in names:
            for waiter in self._waiters.pop(name, ()):
                self._waiter_count -= 1
                if not waiter.done():
                    waiter.set_result(None)

    def _compact(self) -> None:
        new_path = self._path.with_suffix(".new")
        with open(new_path, "wb") as file:
            file.writelines(json.dumps(outcome.row(name)).encode() + b"\n" for name, outcome in self._outcomes.items())
            file.flush()
            os.fsync(file.fileno())  # before the rename, or a power loss could leave neither old nor new file
        new_path.replace(self._path)
        self._file.close()  # after the rename: if that fails, the old file stays in use
        self._file = open(self._path, "ab", buffering=0)  # noqa: SIM115
        self._line_count = len(self._outcomes)

    def wait(self, message: str, timeout_s: float) -> asyncio.Future[None]:
        """Return a future that is done at the outcome or timeout, or at once if there are `_MAX_WAITERS` already."""
        loop = asyncio.get_running_loop()
        waiter: asyncio.Future[None] = loop.create_future()
        if self._waiter_count >= _MAX_WAITERS:
            waiter.set_result(None)
            return waiter
        self._waiters.setdefault(message, []).append(waiter)
        self._waiter_count += 1
        timer = loop.call_later(timeout_s, lambda: None if waiter.done() else waiter.set_result(None))

        def remove_waiter(_: asyncio.Future[None]) -> None:
            timer.cancel()
            waiters = self._waiters.get(message, [])
            if waiter in waiters:
                waiters.remove(waiter)
                self._waiter_count -= 1
                if not waiters:
                    del self._waiters[message]
        waiter.add_done_callback(remove_waiter)
        return waiter

    def close(self) -> None:
        """Write what is scheduled, then close the file."""
        if self._flush_handle is not None:
            self._flush_handle.cancel()
            self.flush()
        self._file.close()
