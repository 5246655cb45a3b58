"""Which zones are cut from each other just now, in a small file that all processes of a run have mapped: a cut is in
force everywhere in the moment that it is written, and no process has to be told.
"""

from __future__ import annotations

import mmap
from collections.abc import Callable, Sequence
from pathlib import Path


class Links:
    """`delay_s(one, other)`: one way, by zones written `region/zone`. Unknown zones ("") are near and never cut."""

    def __init__(self, path: Path, zones: Sequence[str], zone_delay_s: float, region_delay_s: float) -> None:
        self._index = {zone: number for number, zone in enumerate(zones)}
        size = len(zones) ** 2
        if not path.exists() or path.stat().st_size != size:
            path.write_bytes(bytes(size))
        with open(path, "r+b") as file:
            self._map = mmap.mmap(file.fileno(), size)
        self._delay = {(one, other): 0.0 if one == other else
                       zone_delay_s if one.partition("/")[0] == other.partition("/")[0] else region_delay_s
                       for one in zones for other in zones}

    def delay_s(self, one: str, other: str) -> float:
        """One way."""
        return self._delay.get((one, other), 0.0)

    def is_cut(self, one: str, other: str) -> bool:
        """Does nothing get from one to the other?"""
        first, second = self._index.get(one), self._index.get(other)
        return first is not None and second is not None and self._map[first * len(self._index) + second] != 0

    def set(self, cut: bool, apart: Callable[[str, str], bool]) -> None:
        """Cut, or join, all pairs of zones that this holds for."""
        for one, first in self._index.items():
            for other, second in self._index.items():
                if one != other and (apart(one, other) or apart(other, one)):
                    self._map[first * len(self._index) + second] = cut

    def close(self) -> None:
        """Let go of the file."""
        self._map.close()


def between_regions(one: str, other: str) -> bool:
    """For `Links.set`."""
    return one.partition("/")[0] != other.partition("/")[0]
