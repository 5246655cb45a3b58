"""Destinations divided among couriers, as runs show it: the scale run's files, the ring's, the list's, the hop's."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from benchmarks.page.results import Figure, Results


@dataclass(frozen=True, slots=True)
class After:
    """As `parts.Before`."""

    results: Results

    def runs(self, couriers: int | None = None, destinations: int | None = None, divided: bool = True) -> list[str]:
        """Scale runs of this size, by file name."""
        found = []
        for name, one in self.results.files.items():
            given: Mapping[str, Any] = one.get("parameters", {})
            if (one.get("what") == "scale_run" and couriers in (None, given.get("couriers"))
                    and destinations in (None, given.get("destinations"))
                    and bool(given.get("divided", True)) is divided):
                found.append(name)
        return found

    def quiet(self, couriers: int, destinations: int, field: str, unit: str = "", by: float = 1.0,
              divided: bool = True) -> Figure:
        """Of the quiet spell, in the scale run of this size."""
        runs = self.runs(couriers, destinations, divided)
        return self.results.top(runs[-1], f"quiet.{field}", unit, by) if runs else Figure(None, unit)

    def fault(self, kind: str) -> tuple[str, Mapping[str, Any]] | None:
        """The first fault of this kind in the largest scale run that has one, with the run's name."""
        runs = sorted(self.runs(), key=lambda name: -float(self.results.files[name]["parameters"].get("couriers", 0)))
        for name in runs:
            for fault in self.results.files[name].get("faults", ()):
                if fault.get("kind") == kind:
                    return name, fault
        return None
