"""Shared by both sides of a move: its steps and limits, the giver's actions for its node, and the digest of a part.
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

PIECE_OVERHEAD = 64  # bytes counted per piece besides its name and data; giver and taker must agree on it
NEVER_US = 1 << 62


class Step(IntEnum):
    """State of a move at its giver; the transition table is in docs/design/channels.md."""

    PLANNED = 0  # until the `Offer` is accepted
    COPYING = 1  # the part is copied while it is still served
    CLOSING = 2  # the part is shut here; changes are sent until calls under way have ended
    HANDING = 3  # the `Seal` was sent and has no answer yet
    COMMITTING = 4  # the register is asked to name the taker
    OPEN = 5  # the register has named the taker
    UNDOING = 6  # the giver asks the register for the part back
    DONE = 7  # the taker has the part, and the copy here is dropped
    UNDONE = 8  # the copy here is kept


@dataclass(frozen=True)
class GiverLimits:
    """The giver's limits for one move."""

    chunk_bytes: int = 64 * 1024  # a larger piece is sent in a chunk of its own
    chunk_pieces: int = 256
    pace_us: int = 2_000  # pause between chunks while the part is still served
    max_tail_pieces: int = 64  # the part is shut once a round has at most this many changed ones
    max_rounds: int = 8  # after so many rounds of changed pieces the part is shut in any case
    call_bound_us: int = 2_000_000  # wait for calls under way once the part is shut
    shut_bound_us: int = 5_000_000  # from shutting the part until the `Seal` is sent
    silence_us: int = 3_000_000  # for one request with all its tries
    max_tries: int = 6  # of one request, with the first
    backoff_us: int = 20_000  # before the second try; doubles with each further one
    max_backoff_us: int = 1_000_000
    poll_us: int = 1_000  # interval of the check for calls under way
    commit_us: int = 1_000_000  # for the register to accept the commit
    undecided_us: int = 60_000_000  # for the register to answer who owns the part


@dataclass(frozen=True)
class TakerLimits:
    """A taker's limits for the parts that are being copied to it."""

    max_parts: int = 8
    max_bytes: int = 64 * 1024 * 1024  # of all copies that are not in the journal yet
    idle_us: int = 60_000_000  # an incomplete copy may be dropped for another part after so long without a message
    again_us: int = 1_000_000  # retry delay that is sent to a giver when there is no room
    parts: int = 1024  # in the fleet, at most


class SendRequest(msgspec.Struct, frozen=True):
    """Send `request` to the taker; its answer, None after a timeout, goes to `Giver.handle_answer` with the request."""

    request: Move


class Commit(msgspec.Struct, frozen=True):
    """Set the register to (epoch + 1, to) if it is still at (epoch, me); the outcome goes to
    `Giver.observe_holding`."""

    part: int
    to: str


class TakeBack(msgspec.Struct, frozen=True):
    """Set the register to (epoch + 1, me) if it is still at (epoch, me); its holding then goes to
    `Giver.observe_holding`."""

    part: int


class Ended(msgspec.Struct, frozen=True):
    """The move has ended; no act follows. `done`: the taker is responsible for the part and this courier has dropped
    its copy. `why` gives the reason for operators."""

    done: bool
    why: str


Act = SendRequest | Commit | TakeBack | Ended


def piece_size(piece: Piece) -> int:
    """Bytes that a piece counts for against the limits."""
    return PIECE_OVERHEAD + len(piece.name) + len(piece.data)


def piece_digest(data: bytes) -> bytes:
    """Digest of one piece's data, 16 bytes."""
    return xxhash.xxh3_128_digest(data)


def update_digests(digests: dict[str, bytes], pieces: Iterable[Piece]) -> None:
    """Update the digests by piece name; a piece with empty data removes its entry."""
    for piece in pieces:
        if piece.data:
            digests[piece.name] = piece_digest(piece.data)
        else:
            digests.pop(piece.name, None)


def part_digest(digests: Mapping[str, bytes]) -> str:
    """Digest of a part from the digests of its pieces, independent of their order; 32 hex digits."""
    whole = xxhash.xxh3_128()
    for name in sorted(digests):
        whole.update(b"%d:" % len(name.encode()))
        whole.update(name.encode())
        whole.update(digests[name])
    return whole.hexdigest()


def take_chunk(waiting: deque[Piece], limits: GiverLimits) -> tuple[Piece, ...]:
    """Remove the next chunk's pieces from `waiting` and return them; at least one, unless none is waiting."""
    chunk: list[Piece] = []
    size = 0
    while waiting and len(chunk) < limits.chunk_pieces:
        size += piece_size(waiting[0])
        if chunk and size > limits.chunk_bytes:
            break
        chunk.append(waiting.popleft())
    return tuple(chunk)
