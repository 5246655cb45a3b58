"""The ends of messages, for their clients to ask: kept in memory and in a file of the state folder, both bounded.

A line an end; the file is replaced by rename once it holds twice what is kept. The journal owes an end until it is in
the file, so that one cut off by the process's end, or by a full disk, is told again.
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
_MOST_WAITING = 10_000
_AGAIN_S = 1.0  # after a write that failed


@dataclass(frozen=True, slots=True)
class End:
    """How a message ended: `delivered`, `refused` (safe to hand in again, after `retry_ms`) or `failed`; Unix time."""

    end: str
    at_ms: int
    retry_ms: int = 0

    @classmethod
    def now(cls, end: str, retry_ms: int = 0) -> End:
        """It ends at this moment."""
        return cls(end, int(time.time() * 1000), retry_ms)

    def row(self, message: str) -> dict[str, Any]:
        """For a client, or for the file."""
        row: dict[str, Any] = {"message": message, "end": self.end, "at_ms": self.at_ms}
        if self.retry_ms:
            row["retry_in_ms"] = self.retry_ms
        return row


class Ends:
    """The newest `most` ends by name. `settled` is called with names whose end is safe here."""

    FILE = "ends.jsonl"

    def __init__(self, folder: Path, most: int, settled: Callable[[list[str]], None]) -> None:
        self._path, self._most, self._settled = folder / self.FILE, most, settled
        self._ends: OrderedDict[str, End] = OrderedDict()
        self._waiting: dict[str, list[asyncio.Future[None]]] = {}
        self._count = 0  # futures in there
        self._unwritten: list[str] = []
        self._flush: asyncio.Handle | None = None  # a write that is due
        self._lines = 0
        self._read()
        self._file = open(self._path, "ab", buffering=0)  # noqa: SIM115  # open as long as the process

    def _read(self) -> None:
        self._torn = False  # the last line is cut off: the next one begins on a line of its own
        try:
            data = self._path.read_bytes()
        except FileNotFoundError:
            return
        self._torn = bool(data) and not data.endswith(b"\n")
        for line in data.splitlines():
            self._lines += 1
            try:
                row = json.loads(line)
                end = End(str(row["end"]), int(row["at_ms"]), int(row.get("retry_in_ms", 0)))
                self._ends[str(row["message"])] = end
            except (ValueError, KeyError, TypeError):
                log.warning("%s: line %d can't be read and is left out", self._path, self._lines)
        while len(self._ends) > self._most:
            self._ends.popitem(last=False)

    def get(self, message: str) -> End | None:
        """Its end, if it has one that is still kept."""
        return self._ends.get(message)

    def add(self, message: str, end: End) -> None:
        """It has ended. Those who wait for it hear of it once it is written."""
        if message in self._ends:  # told anew after a restart
            asyncio.get_running_loop().call_soon(self._settled, [message])
            return
        self._ends[message] = end
        if len(self._ends) > self._most:
            self._ends.popitem(last=False)
        self._unwritten.append(message)
        if self._flush is None:
            self._flush = asyncio.get_running_loop().call_soon(self.flush)

    def flush(self) -> None:
        """All that ended in a turn goes out in one write."""
        self._flush = None
        names = self._unwritten
        data = b"\n" if self._torn else b""
        data += b"".join(json.dumps(end.row(name)).encode() + b"\n" for name in names if (end := self._ends.get(name)))
        try:
            self._torn = self._file.write(data) < len(data)
            if self._torn:
                raise OSError("only a part could be written")
            self._unwritten = []
            self._lines += len(names)
            if self._lines > 2 * self._most:
                self._renew()
        except OSError as error:  # told all the same: they stay owed in the journal until they are in the file
            log.error("%s: %s; %d ends wait to be written", self._path, error, len(self._unwritten))
            if self._unwritten:
                self._flush = asyncio.get_running_loop().call_later(_AGAIN_S, self.flush)
        if not self._unwritten:
            self._settled(names)
        for name in names:
            for one in self._waiting.pop(name, ()):
                self._count -= 1
                if not one.done():
                    one.set_result(None)

    def _renew(self) -> None:
        fresh = self._path.with_suffix(".new")
        with open(fresh, "wb") as file:
            file.writelines(json.dumps(end.row(name)).encode() + b"\n" for name, end in self._ends.items())
            file.flush()
            os.fsync(file.fileno())  # before the rename, or a power loss could leave neither
        fresh.replace(self._path)
        self._file.close()  # only now: where the rename fails, the old one goes on
        self._file = open(self._path, "ab", buffering=0)  # noqa: SIM115
        self._lines = len(self._ends)

    def wait(self, message: str, most_s: float) -> asyncio.Future[None]:
        """Done once it has its end, or after that time, or at once where too many wait."""
        loop = asyncio.get_running_loop()
        one: asyncio.Future[None] = loop.create_future()
        if self._count >= _MOST_WAITING:
            one.set_result(None)
            return one
        self._waiting.setdefault(message, []).append(one)
        self._count += 1
        timer = loop.call_later(most_s, lambda: None if one.done() else one.set_result(None))

        def over(_: asyncio.Future[None]) -> None:
            timer.cancel()
            waiting = self._waiting.get(message, [])
            if one in waiting:
                waiting.remove(one)
                self._count -= 1
                if not waiting:
                    del self._waiting[message]
        one.add_done_callback(over)
        return one

    def close(self) -> None:
        """What is not written yet is written."""
        if self._flush is not None:
            self._flush.cancel()
            self.flush()
        self._file.close()
