"""What a courier knows of its channels and messages: a real `ChannelTable`, messages beside it, and the simulated
journal that brings both back after a start.

Imports msgspec, `wheelstep.channels`, and its neighbours `disk` and `world`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from wheelstep.channels.book import MARK_PREFIX, ChannelTable
from wheelstep.channels.contracts import part_of, read_contracts
from wheelstep.rehearsal.simulation.disk import File

MOST_CHANNELS = 1_000
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
    """One that is owed, or whose end (`outcome/epoch/courier`) may not have been told yet. `doubt`: it may have run."""

    channel: str
    number: int
    attempts: int = 0
    doubt: bool = False
    end: str = ""
    out: bool = False  # an attempt is under way in this process


class Store:
    """Channels and messages by name. `now_ms` is the process's clock; `boundary` is passed before each record."""

    def __init__(self, file: File, parts: int, now_ms: Callable[[], int], boundary: Callable[[], None]) -> None:
        self.file, self.parts, self.now_ms, self._boundary = file, parts, now_ms, boundary
        self.messages: dict[str, Message] = {}
        self.epochs: dict[int, int] = {}  # part -> the last epoch under which it was opened or adopted here
        self.news: dict[int, dict[str, None]] = {}  # pieces that changed, of parts that are being copied
        self.table = ChannelTable(CONTRACTS, parts, MOST_CHANNELS, now_ms())
        marks: dict[str, Any] = {}
        for record in file.records:
            match decode(record):
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
        owed = {message: held.doubt for message, held in self.messages.items() if not held.end}
        self.cut = self.table.restore(now_ms(), marks, owed)  # their end was cut off after their position's

    def channels(self) -> list[str]:
        """All by name."""
        return [channel for part in range(self.parts) for channel in self.table.channels(part)]

    def of(self, part: int) -> list[str]:
        """Its messages."""
        return [one for one, held in self.messages.items() if part_of(held.channel, self.parts) == part]

    def ended_here(self, message: str, held: Message) -> bool:
        """Does its position say that it had its end? Then it is nobody's any more."""
        position = self.table.position(held.channel)
        return position is not None and position.state(held.number) == "ended" \
            and position.outcome_of(held.number)[0] == message

    def write(self, *record: Any) -> int:
        """A record; gives the place to sync to."""
        self._boundary()
        return self.file.write([encode(record)])

    def flush(self) -> int:
        """Write the positions that have changed; returns the place to sync to."""
        for mark, value in self.table.changed_marks():
            name = mark.removeprefix(MARK_PREFIX)
            if name[0] != " ":
                self._changed(name, "c:" + name)
            self.write("k", mark, value)
        return self.file.place

    def put(self, message: str) -> int:
        """Write a message as it stands."""
        self._changed(self.messages[message].channel, "m:" + message)
        return self.write("m", message, self.message(message))

    def over(self, message: str) -> int:
        """Its end is told, or another owes it: forget it."""
        held = self.messages.pop(message)
        self._changed(held.channel, "m:" + message)
        return self.write("e", message)

    def missed(self, part: int, epoch: int, first: int = 0) -> bool:
        """Can another have had it before this epoch, or before `first`, since this courier last did?"""
        return self.epochs.get(part, 0) + 1 < min(first or epoch, epoch)

    def opened(self, part: int, epoch: int) -> None:
        """Note the epoch; what follows from those before it has been written by now."""
        self.epochs[part] = epoch
        self.write("o", part, epoch)

    def _changed(self, channel: str, name: str) -> None:
        part = part_of(channel, self.parts)
        if part in self.news:
            self.news[part][name] = None

    def message(self, message: str) -> bytes:
        """A message as it travels."""
        held = self.messages[message]
        return encode((held.channel, held.number, held.attempts, held.doubt, held.end))

    def piece(self, name: str) -> bytes:
        """By a piece's name; empty for what is gone."""
        what, key = name[:2], name[2:]
        if what == "c:":
            return self.table.export(key) if self.table.position(key) is not None else b""
        return self.message(key) if key in self.messages else b""
