"""What both sides of a move share: its steps, their limits, what a giver asks of its node, and the digest over a part.
No I/O; imports msgspec, xxhash and the types of moves.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import IntEnum

import msgspec
import xxhash

from wheelstep.moves.types import Move, Piece

OVERHEAD = 64  # bytes that a piece takes beside its name and data, as counted by both sides
NEVER_US = 1 << 62


class Step(IntEnum):
    """Of a move, as its giver has it; docs/design/channels.md has the table."""

    PLANNED = 0
    COPYING = 1
    CLOSING = 2
    HANDING = 3
    COMMITTING = 4
    OPEN = 5  # the register has named the taker
    UNDOING = 6  # the register is asked who has it
    DONE = 7
    UNDONE = 8


@dataclass(frozen=True)
class Limits:
    """Of one move, at its giver."""

    chunk_bytes: int = 64 * 1024  # one larger piece goes alone
    chunk_pieces: int = 256
    pace_us: int = 2_000  # between chunks while the part is served
    tail: int = 64  # a round of so few changes is the last
    rounds: int = 8
    call_bound_us: int = 2_000_000  # for calls under way once the part is shut
    shut_bound_us: int = 5_000_000  # from shutting to the `Seal`
    silence_us: int = 3_000_000  # for one ask with all its tries
    tries: int = 6
    backoff_us: int = 20_000  # doubles with each try
    backoff_most_us: int = 1_000_000
    poll_us: int = 1_000  # how often calls under way are looked at
    commit_us: int = 1_000_000  # for the register to take the commit
    undecided_us: int = 60_000_000  # for the register to say who has the part


@dataclass(frozen=True)
class Room:
    """What a taker keeps at most of parts on their way to it."""

    most_parts: int = 8
    most_bytes: int = 64 * 1024 * 1024
    idle_us: int = 60_000_000  # a copy that isn't whole gives way to another part after so long without a word
    again_us: int = 1_000_000  # what a giver is told where there is no room
    parts: int = 1024  # of the fleet, at most


class Tell(msgspec.Struct, frozen=True):
    """Ask the taker; the answer, or None, goes to `answered` with the same ask."""

    ask: Move


class Commit(msgspec.Struct, frozen=True):
    """Ask the register for (epoch + 1, to), only if it still stands at (epoch, me); the outcome goes to `decided`."""

    part: int
    to: str


class TakeBack(msgspec.Struct, frozen=True):
    """Ask the register for (epoch + 1, me), only if it still stands at (epoch, me); what stands goes to `decided`."""

    part: int


class Ended(msgspec.Struct, frozen=True):
    """The move is over; nothing follows. `done`: the taker owes the part and this courier has dropped it."""

    done: bool
    why: str


Act = Tell | Commit | TakeBack | Ended


def size_of(piece: Piece) -> int:
    """Bytes that a piece counts for."""
    return OVERHEAD + len(piece.name) + len(piece.data)


def mark_of(data: bytes) -> bytes:
    """Digest of one piece's data: 16 bytes."""
    return xxhash.xxh3_128_digest(data)


def mark(marks: dict[str, bytes], pieces: Iterable[Piece]) -> None:
    """Bring the marks up to these pieces."""
    for piece in pieces:
        if piece.data:
            marks[piece.name] = mark_of(piece.data)
        else:
            marks.pop(piece.name, None)


def digest_of(marks: Mapping[str, bytes]) -> str:
    """Digest over a part, by the marks of its pieces, whatever order they came in. 32 hex digits."""
    whole = xxhash.xxh3_128()
    for name in sorted(marks):
        whole.update(b"%d:" % len(name.encode()))
        whole.update(name.encode())
        whole.update(marks[name])
    return whole.hexdigest()


def take(waiting: deque[Piece], limits: Limits) -> tuple[Piece, ...]:
    """The next chunk off the waiting ones."""
    chunk: list[Piece] = []
    size = 0
    while waiting and len(chunk) < limits.chunk_pieces:
        size += size_of(waiting[0])
        if chunk and size > limits.chunk_bytes:
            break
        chunk.append(waiting.popleft())
    return tuple(chunk)
