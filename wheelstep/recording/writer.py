"""The daemon's side of a record: a bounded file that nothing waits for. A failure ends the record, never a message."""

from __future__ import annotations

import logging
import time
from pathlib import Path
from typing import BinaryIO

from wheelstep.recording.format import Encoder, Head, Row

_BUFFER = 64 * 1024
_FLUSH_S = 1.0
_MOST_FILES = 16
_END_ROOM = 64  # bytes kept for the last line

log = logging.getLogger(__name__)


class Recorder:
    """One file, from the courier's start until it is full or closed. Each start has a file of its own."""

    def __init__(self, path: Path, head: Head, most_bytes: int, bodies: bool) -> None:
        self._most, self._bodies = most_bytes, bodies
        self._encoder, self._size, self._written = Encoder(), 0, 0
        self._began_ns, self._flushed_at = time.monotonic_ns(), 0.0
        self._file: BinaryIO | None = None
        try:
            self._path, self._file = _create(path)
        except OSError as error:
            log.error("recording: not begun: %s", error)
            return
        log.info("recording to %s, %d bytes at most", self._path, most_bytes)
        self._write(self._encoder.head(head))

    def note(self, message_class: str, destination: int, key: str | None, keyed: bool, body: bytes, deadline_ms: int,
             status: int, again: bool) -> None:
        """A message was handed in and answered with this status."""
        if self._file is None:
            return
        line = self._encoder.row(Row(
            (time.monotonic_ns() - self._began_ns) // 1000, message_class, destination, key, keyed, len(body),
            deadline_ms, status, again, body if self._bodies else None))
        if self._size + len(line) + _END_ROOM > self._most:
            self._finish("full")
            return
        self._write(line)

    def _write(self, data: bytes) -> None:
        assert self._file is not None
        try:
            self._file.write(data)
            self._size += len(data)
            self._written = self._encoder.state()
            if time.monotonic() - self._flushed_at >= _FLUSH_S:
                self._file.flush()
                self._flushed_at = time.monotonic()
        except OSError as error:
            log.error("recording: ended by an error: %s", error)
            self._drop()

    def close(self) -> None:
        """The courier stops."""
        if self._file is not None:
            self._finish("closed")

    def _finish(self, why: str) -> None:
        self._encoder.rewind(self._written)  # a row that found no room is part of the sum already
        assert self._file is not None
        try:
            self._file.write(self._encoder.end(why))
            self._file.flush()
        except OSError as error:
            log.error("recording: ended by an error: %s", error)
        if why == "full":
            log.warning("recording: %s is full, nothing more is recorded", self._path)
        self._drop()

    def _drop(self) -> None:
        file, self._file = self._file, None
        if file is not None:
            try:
                file.close()
            except OSError as error:
                log.error("recording: could not close: %s", error)


def _create(path: Path) -> tuple[Path, BinaryIO]:
    """A new file; one that is there already is never written over."""
    for number in range(_MOST_FILES):
        name = path if not number else path.with_name(f"{path.stem}.{number}{path.suffix}")
        try:
            return name, open(name, "xb", buffering=_BUFFER)
        except FileExistsError:
            continue
    raise FileExistsError(f"{path} and {_MOST_FILES - 1} more are there already; expected room for a new one")
