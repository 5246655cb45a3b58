"""The append-only log of what the courier has taken on: replay, room and compaction. No sockets here.

A record is its length, its checksum, a line of JSON and the message's bytes. Live state changes only by
applying records, so what a replay finds is what the process knew. Records reach the operating system before
the call returns; that outlasts the process, also SIGKILL.
"""

from __future__ import annotations

import json
import logging
import os
import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

_HEAD = struct.Struct(">II")
_BLOCK = 512
_LEAST = 64 * 1024  # below this size a file is not worth compacting
_RESERVE = 192 * 1024  # kept for the records that follow on messages which were taken on
_MOST_RECORD = 1 << 20  # a longer length is garbage

log = logging.getLogger(__name__)


class NoRoomError(Exception):
    """The folder can't hold this message as well."""


@dataclass(slots=True)
class Stored:
    """A message that the courier owes its end."""

    id: str
    message_class: str
    destination: int
    deadline_ms: int  # Unix time
    key: str | None = None
    token: str | None = None  # the client's idempotency key
    resubmitted: bool = False
    body: bytes = b""
    attempts: int = 0  # number of the next one
    ran_ms: int | None = None  # when the first attempt that may have run was sent, of those with outcomes
    ran_at: str | None = None  # the endpoint of that one
    out: dict[int, tuple[int, str]] = field(default_factory=dict)  # no outcome yet: when sent, and where
    notice: tuple[str, int] | None = None  # what the platform is still to hear of its end

    def may_have_run(self) -> tuple[int, str] | None:
        """The first attempt that may have run, one without an outcome included: when, and where."""
        known = [(self.ran_ms, self.ran_at or "")] if self.ran_ms is not None else []
        return min([*known, *self.out.values()], default=None)


class Journal:
    """The log in one folder."""

    def __init__(self, folder: Path, limit_bytes: int) -> None:
        self.messages: dict[str, Stored] = {}  # in the order in which they were taken on
        self.marks: dict[str, Any] = {}  # small facts by name, the newest of each
        self._path, self._new = folder / "journal.log", folder / "journal.new"
        self._limit = limit_bytes
        self._live = 0  # about what a compacted file would take
        self._new.unlink(missing_ok=True)  # a compaction that was cut off: the old file still holds all
        self._file = os.open(self._path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)
        data = self._path.read_bytes()
        self._size = 0
        for end, head, body in _records(data):
            self._apply(head, body)
            self._size = end
        if self._size < len(data):  # guards against a torn last record: later ones would hide behind it
            log.warning("journal: dropped %d bytes of a torn record", len(data) - self._size)
            os.ftruncate(self._file, self._size)

    def close(self) -> None:
        """Nothing is buffered here; this only gives the descriptor back."""
        os.close(self._file)

    def take(self, message: Stored) -> None:
        """Take a message on, or raise `NoRoomError` with nothing changed. From then on the one to use is that
        in `messages`, which records change; the one given is a copy."""
        # Guards against large bodies on a small disk: while compacting, the old and the new file both count.
        after = self._live + _cost(message)
        if 2 * after + _RESERVE > self._limit:
            raise NoRoomError(f"{self._live} bytes live of {self._limit}")
        try:
            self._append(_whole(message), message.body)
        except OSError as error:
            raise NoRoomError(str(error)) from error

    def attempt(self, message: str, number: int, at_ms: int, endpoint: str) -> None:
        """An attempt is about to be written to its endpoint; `OSError` if this can't be written first."""
        self._append({"t": "a", "i": message, "n": number, "at": at_ms, "e": endpoint})

    def outcome(self, message: str, number: int, may_have_run: bool) -> None:
        """An attempt has ended, and the message goes on."""
        self._note({"t": "o", "i": message, "n": number, "r": may_have_run})

    def end(self, message: str, outcome: str, retry_ms: int) -> None:
        """The final answer is decided; the platform is still to hear it."""
        self._note({"t": "e", "i": message, "o": outcome, "ms": retry_ms})

    def over(self, message: str) -> None:
        """Delivered, withdrawn, or its notice was answered: nothing more is owed."""
        self._note({"t": "x", "i": message})

    def mark(self, name: str, value: Any) -> None:
        """Remember a small fact; None forgets it."""
        self._note({"t": "k", "i": name, "v": value})

    def _note(self, head: dict[str, Any]) -> None:
        """Append what has happened already. Guards against a full disk: the process goes on with what it
        knows, and only a replay would know less and take an attempt for one that may have run."""
        try:
            self._append(head)
        except OSError:
            log.exception("journal: could not write %r", head)
            self._apply(head, b"")

    def _append(self, head: dict[str, Any], body: bytes = b"") -> None:
        record = _encode(head, body)
        if self._size > _LEAST and (self._size > 3 * self._live
                                    or self._size + self._live + len(record) + _BLOCK > self._limit - _LEAST):
            try:
                self._compact()
            except OSError:
                log.exception("journal: could not compact")
        _write(self._file, record, self._size)
        self._size += len(record)
        self._apply(head, body)

    def _compact(self) -> None:
        """Write what is live to a new file and put it in the old one's place. A few milliseconds at most:
        the disk limit bounds it."""
        self._new.unlink(missing_ok=True)
        data = b"".join([
            *(_encode(_whole(m), b"" if m.notice else m.body) for m in self.messages.values()),
            *(_encode({"t": "k", "i": name, "v": value}, b"") for name, value in self.marks.items())])
        if self._size + len(data) + 2 * _BLOCK > self._limit:
            return
        new = os.open(self._new, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)
        try:
            _write(new, data, 0)
            os.replace(self._new, self._path)
        except OSError:
            os.close(new)
            self._new.unlink(missing_ok=True)
            raise
        os.close(self._file)
        self._file, self._size = new, len(data)

    def _apply(self, head: dict[str, Any], body: bytes) -> None:
        kind, name = head["t"], head["i"]
        if kind == "k":
            self.marks.pop(name, None)
            if head["v"] is not None:
                self.marks[name] = head["v"]
            return
        if kind == "m":
            message = self.messages[name] = _message(head, body)
            self._live += _cost(message)
            return
        known = self.messages.get(name)
        if known is None:
            return
        if kind == "a":
            known.attempts = max(known.attempts, head["n"] + 1)
            known.out[head["n"]] = (head["at"], head["e"])
        elif kind == "o":
            sent = known.out.pop(head["n"], None)
            if sent is not None and head["r"] and (known.ran_ms is None or sent[0] < known.ran_ms):
                known.ran_ms, known.ran_at = sent
        elif kind == "e":
            self._live -= _cost(known)
            known.notice, known.body = (head["o"], head["ms"]), b""
            self._live += _cost(known)
        elif kind == "x":
            self._live -= _cost(self.messages.pop(name))


def _cost(message: Stored) -> int:
    """More than a compacted record takes; names come from clients and may be long."""
    return 512 + len(message.body) + len(message.id) + len(message.key or "") + len(message.token or "")


def _whole(m: Stored) -> dict[str, Any]:
    return {"t": "m", "i": m.id, "c": m.message_class, "d": m.destination, "by": m.deadline_ms, "k": m.key,
            "tk": m.token, "re": m.resubmitted, "n": m.attempts, "rm": m.ran_ms, "ra": m.ran_at,
            "out": {str(n): sent for n, sent in m.out.items()}, "no": m.notice}


def _message(head: dict[str, Any], body: bytes) -> Stored:
    notice = head["no"]
    return Stored(head["i"], head["c"], head["d"], head["by"], head["k"], head["tk"], head["re"], body,
                  head["n"], head["rm"], head["ra"],
                  {int(n): (at, where) for n, (at, where) in head["out"].items()},
                  (notice[0], notice[1]) if notice else None)


def _encode(head: dict[str, Any], body: bytes) -> bytes:
    payload = json.dumps(head, separators=(",", ":")).encode() + b"\n" + body
    return _HEAD.pack(len(payload), zlib.crc32(payload)) + payload


def _records(data: bytes) -> Iterator[tuple[int, dict[str, Any], bytes]]:
    """Every whole record with where it ends; what follows the first broken one can't be told apart."""
    at = 0
    while at + _HEAD.size <= len(data):
        length, checksum = _HEAD.unpack_from(data, at)
        end = at + _HEAD.size + length
        payload = data[at + _HEAD.size:end]
        if length > _MOST_RECORD or end > len(data) or zlib.crc32(payload) != checksum:
            return
        head, _, body = payload.partition(b"\n")
        yield end, json.loads(head), body
        at = end


def _write(file: int, data: bytes, size: int) -> None:
    """Append all of it, or leave the file at `size`: half a record would hide those that follow."""
    try:
        done = 0
        while done < len(data):
            done += os.write(file, data[done:])
    except OSError:
        os.ftruncate(file, size)
        raise
