"""A courier's channels and messages: a real `ChannelTable`, its messages, and the simulated journal from which both are
restored at a start.

Imports msgspec, `wheelstep.channels`, and the neighbouring module `disk`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from wheelstep.channels.book import MARK_PREFIX, ChannelTable
from wheelstep.channels.contracts import part_of, read_contracts
from wheelstep.rehearsal.simulation.disk import RecordFile

MAX_CHANNELS = 1_000
CONTRACTS = read_contracts([
    {"name": "orders", "keys": ["orders*"], "order": "strict", "gap": "hold"},
    {"name": "skips", "keys": ["skips*"], "order": "strict", "gap": "skip", "gap_after": "1s"},
    {"name": "once", "keys": ["once*"], "order": "strict", "gap": "skip", "gap_after": "1s", "repeat": "once"},
    {"name": "wide", "keys": ["wide*"], "order": "window", "open": 3, "gap": "hold"},
    {"name": "last", "keys": ["last*"], "order": "latest"},
])
encode, decode = msgspec.msgpack.encode, msgspec.msgpack.decode


@dataclass(slots=True)
class Message:
    """An accepted message until its end is reported. `end` is "outcome/epoch/courier" once it is decided, and
    `may_have_run` says that a call without a known outcome may have taken effect."""

    channel: str
    number: int
    attempts: int = 0
    may_have_run: bool = False
    end: str = ""
    in_flight: bool = False  # an attempt is under way in this process


class Store:
    """Channels and messages by name. `now_ms` is the process's clock; `pass_boundary` is called before each record is
    written."""

    def __init__(self, file: RecordFile, parts: int, now_ms: Callable[[], int],
                 pass_boundary: Callable[[], None]) -> None:
        self.file, self.parts, self.now_ms, self._pass_boundary = file, parts, now_ms, pass_boundary
        self.messages: dict[str, Message] = {}
        self.epochs: dict[int, int] = {}  # part -> the last epoch under which it was opened or adopted here
        self.changed_pieces: dict[int, dict[str, None]] = {}  # by part, for parts that are being copied
        self.table = ChannelTable(CONTRACTS, parts, MAX_CHANNELS, now_ms())
        marks: dict[str, Any] = {}
        for encoded in file.records:
            match decode(encoded):
                case ["k", mark, None]:
                    marks.pop(mark, None)
                case ["k", mark, value]:
                    marks[mark] = value
                case ["m", message, data]:
                    self.messages[message] = Message(*decode(data))
                case ["e", message]:
                    self.messages.pop(message, None)
                case ["o", part, epoch]:
                    self.epochs[part] = epoch
        owed = {message: record.may_have_run for message, record in self.messages.items() if not record.end}
        # Ends that a crash interrupted: the position was written, the message's end was not.
        self.interrupted_ends = self.table.restore(now_ms(), marks, owed)

    def channels(self) -> list[str]:
        """Return the names of all channels."""
        return [channel for part in range(self.parts) for channel in self.table.channels(part)]

    def messages_of(self, part: int) -> list[str]:
        """Return the messages of a part."""
        return [one for one, record in self.messages.items() if part_of(record.channel, self.parts) == part]

    def has_ended(self, message: str, record: Message) -> bool:
        """Return whether the channel's position says that the message has ended, so that no courier owes it."""
        position = self.table.position(record.channel)
        return position is not None and position.state(record.number) == "ended" \
            and position.outcome_of(record.number)[0] == message

    def write(self, *fields: Any) -> int:
        """Append a record to the journal; return the offset to sync to."""
        self._pass_boundary()
        return self.file.write([encode(fields)])

    def flush(self) -> int:
        """Write the channel table's changes; return the offset to sync to."""
        for mark, value in self.table.changed_marks():
            name = mark.removeprefix(MARK_PREFIX)
            if name[0] != " ":
                self._mark_changed(name, "c:" + name)
            self.write("k", mark, value)
        return self.file.end_offset

    def save_message(self, message: str) -> int:
        """Write a message's present state; return the offset to sync to."""
        self._mark_changed(self.messages[message].channel, "m:" + message)
        return self.write("m", message, self.message(message))

    def remove_message(self, message: str) -> int:
        """Remove a message whose end is reported or which another courier owes; return the offset to sync to."""
        record = self.messages.pop(message)
        self._mark_changed(record.channel, "m:" + message)
        return self.write("e", message)

    def may_have_missed_owner(self, part: int, epoch: int, first_epoch: int = 0) -> bool:
        """Return whether another courier may have owned the part since this one last did: in an epoch before `epoch`,
        or before `first_epoch` if that is given and earlier."""
        return self.epochs.get(part, 0) + 1 < min(first_epoch or epoch, epoch)

    def record_opened(self, part: int, epoch: int) -> None:
        """Record the epoch under which a part was opened or adopted. The caller has written before what followed from
        earlier epochs."""
        self.epochs[part] = epoch
        self.write("o", part, epoch)

    def _mark_changed(self, channel: str, name: str) -> None:
        part = part_of(channel, self.parts)
        if part in self.changed_pieces:
            self.changed_pieces[part][name] = None

    def message(self, message: str) -> bytes:
        """Return a message in the form in which it is stored and handed over."""
        record = self.messages[message]
        return encode((record.channel, record.number, record.attempts, record.may_have_run, record.end))

    def encode_piece(self, name: str) -> bytes:
        """Return the data of the piece of this name; empty for a channel or message that is gone."""
        kind, key = name[:2], name[2:]
        if kind == "c:":
            return self.table.export(key) if self.table.position(key) is not None else b""
        return self.message(key) if key in self.messages else b""
