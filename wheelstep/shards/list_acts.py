"""What a courier is to do so that it follows the list by shard. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from wheelstep.shards.types import Frame, ListRow


@dataclass(frozen=True, slots=True)
class Dial:
    """Connect to this control machine and tell `dialled`."""

    control: str


@dataclass(frozen=True, slots=True)
class HangUp:
    """End the connection, or the attempt; `lost` need not be told."""

    control: str


@dataclass(frozen=True, slots=True)
class Tell:
    """Send."""

    control: str
    frame: Frame


@dataclass(frozen=True, slots=True)
class Changed:
    """Rows of a shard that changed; those that are gone are DELETED. `first`: the shard is known from now on."""

    shard: int
    rows: tuple[ListRow, ...]
    first: bool


@dataclass(frozen=True, slots=True)
class Note:
    """A line for the operators."""

    text: str


ListAct = Dial | HangUp | Tell | Changed | Note
