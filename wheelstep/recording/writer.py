"""The daemon's side of a recording: a size-limited file, for which no message waits.

A failure to write ends the recording and affects no message.
"""

from __future__ import annotations

import logging
import time
from pathlib import Path
from typing import BinaryIO

from wheelstep.recording.format import Encoder, Head, Row

_BUFFER_BYTES = 64 * 1024
_FLUSH_S = 1.0
_MAX_FILES = 16
_END_RESERVE_BYTES = 64  # bytes reserved for the last line

log = logging.getLogger(__name__)


class Recorder:
    """One recording, from the courier's start until the file is full or closed. Each start uses a new file."""

    def __init__(self, path: Path, head: Head, max_bytes: int, bodies: bool) -> None:
        """Create the file and write its first line. If that fails, it is logged and nothing is recorded."""
        self._max_bytes, self._bodies = max_bytes, bodies
        self._encoder, self._size, self._written_state = Encoder(), 0, 0
        self._began_ns, self._flushed_at = time.monotonic_ns(), 0.0
        self._file: BinaryIO | None = None
        try:
            self._path, self._file = _create(path)
        except OSError as error:
            log.error("recording: could not start: %s", error)
            return
        log.info("recording to %s, %d bytes at most", self._path, max_bytes)
        self._write(self._encoder.head(head))

    def note(self, message_class: str, destination: int, key: str | None, keyed: bool, body: bytes, deadline_ms: int,
             status: int, again: bool) -> None:
        """Record a message that was received and answered with this HTTP status."""
        if self._file is None:
            return
        line = self._encoder.row(Row(
            (time.monotonic_ns() - self._began_ns) // 1000, message_class, destination, key, keyed, len(body),
            deadline_ms, status, again, body if self._bodies else None))
        if self._size + len(line) + _END_RESERVE_BYTES > self._max_bytes:
            self._finish("full")
            return
        self._write(line)

    def _write(self, data: bytes) -> None:
        """Write a line; flush at most once per `_FLUSH_S` seconds."""
        assert self._file is not None
        try:
            self._file.write(data)
            self._size += len(data)
            self._written_state = self._encoder.state()
            if time.monotonic() - self._flushed_at >= _FLUSH_S:
                self._file.flush()
                self._flushed_at = time.monotonic()
        except OSError as error:
            log.error("recording: ended by an error: %s", error)
            self._close_file()

    def close(self) -> None:
        """End the recording because the courier stops."""
        if self._file is not None:
            self._finish("closed")

    def _finish(self, reason: str) -> None:
        """Write the last line and close the file."""
        self._encoder.rewind(self._written_state)  # the checksum already includes a row that did not fit
        assert self._file is not None
        try:
            self._file.write(self._encoder.end(reason))
            self._file.flush()
        except OSError as error:
            log.error("recording: ended by an error: %s", error)
        if reason == "full":
            log.warning("recording: %s is full, recording ends", self._path)
        self._close_file()

    def _close_file(self) -> None:
        """Close the file."""
        file, self._file = self._file, None
        if file is not None:
            try:
                file.close()
            except OSError as error:
                log.error("recording: could not close: %s", error)


def _create(path: Path) -> tuple[Path, BinaryIO]:
    """Create a new file, numbered if the name exists; an existing file is never overwritten. Raises `OSError`."""
    for number in range(_MAX_FILES):
        name = path if not number else path.with_name(f"{path.stem}.{number}{path.suffix}")
        try:
            return name, open(name, "xb", buffering=_BUFFER_BYTES)
        except FileExistsError:
            continue
    raise FileExistsError(f"{path} and {_MAX_FILES - 1} numbered files exist already; expected a free file name")
