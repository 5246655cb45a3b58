"""What decides about parts asks of whoever holds their content: a daemon's journal and channels, or a simulation's."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Protocol

from wheelstep.moves.types import Piece


class Content(Protocol):
    """A courier's channels and messages, by part. Pieces are told apart by name: "m:" a message, "c:" a position."""

    version: int  # of the state that pieces are written in

    def pieces(self, part: int) -> list[Piece]:
        """All of a part as it stands; from now on `changed` tells what is different."""

    def changed(self, part: int) -> list[Piece]:
        """What has changed since it was last asked; empty data for what is gone."""

    def weight(self, part: int) -> int:
        """About how many pieces there are of it."""

    def under_way(self, part: int) -> int:
        """Calls of the part that have begun and have no outcome yet."""

    def shut(self, part: int) -> None:
        """Take no 202 and begin no attempt for the part until `open`."""

    def open(self, part: int, epoch: int, first: int = 0) -> None:
        """The part is this courier's under this epoch, and nobody else can have had it since `first` (0: since this
        epoch): serve it, what it holds of it included. Where an epoch lies between that and the last that it had or
        adopted, another may have had the part: then positions are missing here."""

    def adopt(self, part: int, epoch: int, pieces: Iterable[Piece]) -> None:
        """Take the pieces of a part that was handed over into this courier's journal; again does no harm."""

    def drop(self, part: int) -> None:
        """Forget the part without telling anybody of its ends: another owes them now."""

    def orphans(self, part: int) -> list[Piece]:
        """Messages of a part that is another's, found on this disk or kept when the lease was lost."""

    def settle(self, part: int, verdicts: Mapping[str, bool]) -> None:
        """What the owner said of orphans, by message: True, it owes them now; False, they end here by a notice."""

    def late(self, part: int, message: str, outcome: str, piece: bytes) -> bool:
        """A former owner tells of a call's outcome, or has found a message: does this courier take it?"""
