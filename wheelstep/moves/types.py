"""What the two sides of a move tell each other; the steps are in docs/design/channels.md. No I/O; imports msgspec
alone.
"""

from __future__ import annotations

import msgspec


class Piece(msgspec.Struct, frozen=True, array_like=True):
    """Something of a part by name ("m:" a message, "c:" a channel's position); a later one replaces it, empty data
    removes it. What the data mean is for the content's owner to know."""

    name: str
    data: bytes


class Offer(msgspec.Struct, frozen=True, array_like=True, tag=20):
    """Will you take this part, which I own since `epoch`? `state` is the version of its pieces, `size` their bytes.
    `attempt` rises with each new offer of a part under one epoch: what is left of an earlier one is told apart."""

    part: int
    epoch: int
    state: int
    pieces: int
    size: int
    attempt: int = 0


class Chunk(msgspec.Struct, frozen=True, array_like=True, tag=21):
    """Pieces, the chunks of a move counted from 0."""

    part: int
    epoch: int
    place: int
    pieces: tuple[Piece, ...]
    attempt: int = 0


class Seal(msgspec.Struct, frozen=True, array_like=True, tag=22):
    """The last pieces; with them the part is whole, and has this digest. Nothing changes any more at the giver."""

    part: int
    epoch: int
    place: int
    digest: str
    pieces: tuple[Piece, ...]
    attempt: int = 0


class Cancel(msgspec.Struct, frozen=True, array_like=True, tag=23):
    """The move is off: forget what you have of it, unless it is whole (then the register decides)."""

    part: int
    epoch: int
    attempt: int = 0


class Given(msgspec.Struct, frozen=True, array_like=True, tag=24):
    """The register says that you own it; `epoch` is the one after the giver's own, under which it was given. `ok` to it
    says: your copy is whole here, or in my journal by now, and you may drop yours. `stands` is the register's epoch
    where the giver has seen a later one only: then it does not know who had `epoch`."""

    part: int
    epoch: int
    stands: int = 0


class Late(msgspec.Struct, frozen=True, array_like=True, tag=25):
    """What became of a call that was out when the part was handed over, or a message that the part's former owner finds
    on its disk (`piece`): the present owner decides by the contract."""

    part: int
    epoch: int  # under which the teller had it
    message: str
    outcome: str  # an `Outcome` value; empty for a found message
    piece: bytes = b""


class Moved(msgspec.Struct, frozen=True, array_like=True, tag=26):
    """The answer to all of these. `ok` false: `why` tells, on one line; `again_us` when to come again, 0 never."""

    part: int
    epoch: int
    ok: bool
    place: int = -1  # of the last chunk that is safe on this disk
    why: str = ""
    again_us: int = 0


Move = Offer | Chunk | Seal | Cancel | Given | Late
