"""Messages between giver and taker of a move; docs/design/channels.md describes the steps. No I/O; imports msgspec
only.
"""

from __future__ import annotations

import msgspec


class Piece(msgspec.Struct, frozen=True, array_like=True):
    """One named item of a part: "m:..." is a message, "c:..." a channel's position. A later piece of the same name
    replaces it, empty data remove it. The data are opaque here; only the `Content` interprets them."""

    name: str
    data: bytes


class Offer(msgspec.Struct, frozen=True, array_like=True, tag=20):
    """Offers a part that the sender has owned since `epoch`. `state` is the format version of its pieces, `pieces`
    their number and `size` their bytes at the time of the offer. `attempt` rises with each new offer of a part under
    one epoch, so that late messages of an earlier offer are recognised."""

    part: int
    epoch: int
    state: int
    pieces: int
    size: int
    attempt: int = 0


class Chunk(msgspec.Struct, frozen=True, array_like=True, tag=21):
    """Some pieces of the part; `place` numbers the chunks of an offer from 0, and the `Seal` after them."""

    part: int
    epoch: int
    place: int
    pieces: tuple[Piece, ...]
    attempt: int = 0


class Seal(msgspec.Struct, frozen=True, array_like=True, tag=22):
    """The last pieces of the part. `digest` covers the whole part, which no longer changes at the giver."""

    part: int
    epoch: int
    place: int
    digest: str
    pieces: tuple[Piece, ...]
    attempt: int = 0


class Cancel(msgspec.Struct, frozen=True, array_like=True, tag=23):
    """Cancels the move: the taker drops its copy unless it is whole; then the register decides who owns the part."""

    part: int
    epoch: int
    attempt: int = 0


class Given(msgspec.Struct, frozen=True, array_like=True, tag=24):
    """Tells the taker that the register names it as owner; `epoch` is the giver's own epoch plus one. The answer `ok`
    means that the taker holds the whole copy, or has it in its journal, and the giver may drop its own. `stands` is the
    register's epoch if the giver has seen only a later one and does not know who owned `epoch`; else 0."""

    part: int
    epoch: int
    stands: int = 0


class Late(msgspec.Struct, frozen=True, array_like=True, tag=25):
    """Reports the outcome of a call that was under way when the part was handed over, or a message that the part's
    former owner found on its disk (`piece`). The present owner decides by the channel's contract what follows."""

    part: int
    epoch: int  # under which the sender owned the part
    message: str
    outcome: str  # an `Outcome` value; empty for a message found on disk
    piece: bytes = b""


class Moved(msgspec.Struct, frozen=True, array_like=True, tag=26):
    """The answer to each of these messages. If `ok` is false, `why` gives the reason on one line and `again_us` the
    delay before a retry, 0 for no retry."""

    part: int
    epoch: int
    ok: bool
    place: int = -1  # of the last chunk stored durably; -1 for none
    why: str = ""
    again_us: int = 0


Move = Offer | Chunk | Seal | Cancel | Given | Late
