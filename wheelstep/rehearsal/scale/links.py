"""The cuts between zones, kept in a small file that every process of a run maps into memory. So a cut takes effect in
all processes as soon as it is written, without a message to any of them."""

from __future__ import annotations

import mmap
from collections.abc import Callable, Sequence
from pathlib import Path


class Links:
    """The one-way delays and the cuts between zones, which have names of the form `region/zone`. An unknown zone ("")
    has no delay and is never cut."""

    def __init__(self, path: Path, zones: Sequence[str], zone_delay_s: float, region_delay_s: float) -> None:
        self._index = {zone: number for number, zone in enumerate(zones)}
        size = len(zones) ** 2
        if not path.exists() or path.stat().st_size != size:
            path.write_bytes(bytes(size))
        with open(path, "r+b") as file:
            self._cut_flags = mmap.mmap(file.fileno(), size)
        self._delays_s = {(one, other): 0.0 if one == other else
                       zone_delay_s if one.partition("/")[0] == other.partition("/")[0] else region_delay_s
                       for one in zones for other in zones}

    def delay_s(self, one: str, other: str) -> float:
        """Return the one-way delay in seconds."""
        return self._delays_s.get((one, other), 0.0)

    def is_cut(self, one: str, other: str) -> bool:
        """Return whether the connection from `one` to `other` is cut."""
        first, second = self._index.get(one), self._index.get(other)
        return first is not None and second is not None and self._cut_flags[first * len(self._index) + second] != 0

    def set_cut(self, cut: bool, matches: Callable[[str, str], bool]) -> None:
        """Cut (True) or restore (False) the connections, in both directions, between all pairs of zones for which
        `matches` returns True."""
        for one, first in self._index.items():
            for other, second in self._index.items():
                if one != other and (matches(one, other) or matches(other, one)):
                    self._cut_flags[first * len(self._index) + second] = cut

    def close(self) -> None:
        """Unmap the file."""
        self._cut_flags.close()


def in_different_regions(one: str, other: str) -> bool:
    """Return whether two zones are in different regions; for `Links.set_cut`."""
    return one.partition("/")[0] != other.partition("/")[0]
