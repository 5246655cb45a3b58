"""Actions by which a courier follows the list by shard. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from wheelstep.shards.types import Frame, ListRow


@dataclass(frozen=True, slots=True)
class Dial:
    """Connect to this control machine and report the result to `dialled`."""

    control: str


@dataclass(frozen=True, slots=True)
class Disconnect:
    """Close the connection, or abort connecting; `lost` need not be called."""

    control: str


@dataclass(frozen=True, slots=True)
class Send:
    """Send the frame to this control machine."""

    control: str
    frame: Frame


@dataclass(frozen=True, slots=True)
class RowsChanged:
    """Rows of a shard that changed; removed ones are DELETED. `first`: the shard's rows are known from now on."""

    shard: int
    rows: tuple[ListRow, ...]
    first: bool


@dataclass(frozen=True, slots=True)
class Note:
    """A line for operators."""

    text: str


ListAction = Dial | Disconnect | Send | RowsChanged | Note
