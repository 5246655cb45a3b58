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
        self._delays_s = {(source, target): 0.0 if source == target else
                          zone_delay_s if source.partition("/")[0] == target.partition("/")[0] else region_delay_s
                          for source in zones for target in zones}

    def delay_s(self, source: str, target: str) -> float:
        """Return the one-way delay from `source` to `target` in seconds."""
        return self._delays_s.get((source, target), 0.0)

    def is_cut(self, source: str, target: str) -> bool:
        """Return whether nothing gets from `source` to `target`."""
        source_index, target_index = self._index.get(source), self._index.get(target)
        return (source_index is not None and target_index is not None
                and self._cut_flags[source_index * len(self._index) + target_index] != 0)

    def set_cut(self, cut: bool, matches: Callable[[str, str], bool]) -> None:
        """Cut (True) or restore (False) the connections, in both directions, between all pairs of zones for which
        `matches` returns True."""
        for source, source_index in self._index.items():
            for target, target_index in self._index.items():
                if source != target and (matches(source, target) or matches(target, source)):
                    self._cut_flags[source_index * len(self._index) + target_index] = cut

    def close(self) -> None:
        """Unmap the file."""
        self._cut_flags.close()


def in_different_regions(source: str, target: str) -> bool:
    """Return whether two zones are in different regions; for `Links.set_cut`."""
    return source.partition("/")[0] != target.partition("/")[0]
