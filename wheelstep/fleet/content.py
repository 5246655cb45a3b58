"""Interface to the content of parts: the journal and channels of a daemon, or those of a simulation."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Protocol

from wheelstep.moves.types import Piece


class Content(Protocol):
    """Channels and messages of a courier by part. The name of a piece starts with "m:" for a message, "c:" for a
    channel's position; among orphans also "o:" for the outcome of a call."""

    version: int  # of the format of the pieces

    def pieces(self, part: int) -> list[Piece]:
        """Return all pieces of a part, and start recording its changes for `changed`."""

    def changed(self, part: int) -> list[Piece]:
        """Return the pieces changed since the last call; empty data for removed ones."""

    def weight(self, part: int) -> int:
        """Return the approximate number of pieces of the part."""

    def under_way(self, part: int) -> int:
        """Return the number of calls of the part without an outcome yet."""

    def shut(self, part: int) -> None:
        """Accept no message and start no attempt for the part until `open`."""

    def open(self, part: int, epoch: int, first: int = 0) -> None:
        """Serve the part under this epoch, including what is stored of it. No other courier can have owned it since
        `first` (0: since this epoch). If an epoch lies between `first` and the last one owned or adopted here, another
        courier may have owned the part, and positions are missing here."""

    def adopt(self, part: int, epoch: int, pieces: Iterable[Piece]) -> None:
        """Store the pieces of a part that was handed over in the journal. Idempotent."""

    def drop(self, part: int) -> None:
        """Drop the part without reporting outcomes: another courier owes them now."""

    def orphans(self, part: int) -> list[Piece]:
        """Return what must be reported to the owner of a part owned by another courier: positions, then messages stored
        here, then outcomes of calls that ended while the part was shut."""

    def settle(self, part: int, verdicts: Mapping[str, bool]) -> None:
        """Apply the owner's answers by name of the piece: for a message, True means that the owner owes it now, False
        that it ends here with a notification."""

    def late(self, part: int, message: str, outcome: str, piece: bytes) -> bool:
        """Handle a piece named `message` that a former owner reports: a position or a message (`piece`), or a call's
        `outcome`. Return whether it is accepted."""
