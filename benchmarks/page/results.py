"""Reads result files, looks up figures in them, and formats figures. A figure names the run that it comes from; a
figure without a run is "not measured"."""

from __future__ import annotations

import json
import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from benchmarks.slopes import Fit, fit

NOT_MEASURED = "not measured"
SIZE_TOLERANCE = 0.05  # largest relative difference between a run's size and the wanted size


@dataclass(frozen=True, slots=True)
class Figure:
    """A figure with a unit: "bytes", "s", "/s", "bytes/s", "share" (of a core or of all) or "" (a count). `value` is
    None if it was not measured. `source` names the run, and `how` the law or the nearby size that gave the value."""

    value: float | None
    unit: str = ""
    source: str = ""
    how: str = ""

    def __str__(self) -> str:
        return NOT_MEASURED if self.value is None else format_value(self.value, self.unit)

    def times(self, by: float | None, unit: str | None = None) -> Figure:
        """Return the product of the figure and `by`, with another unit if one is given."""
        value = None if self.value is None or by is None else self.value * by
        return replace(self, value=value, unit=self.unit if unit is None else unit)

    def plus(self, *others: Figure) -> Figure:
        """Return the sum of the figures, which is not measured if one of them isn't."""
        parts = [self, *others]
        if any(part.value is None for part in parts):
            return Figure(None, self.unit)
        return Figure(sum(part.value or 0.0 for part in parts), self.unit,
                      ", ".join(dict.fromkeys(part.source for part in parts if part.source)),
                      "; ".join(dict.fromkeys(part.how for part in parts if part.how)))

    def verdict(self, most: float | None) -> str:
        """Return how the figure compares with the budget `most`; empty without a budget."""
        if self.value is None:
            return NOT_MEASURED
        if most is None:
            return ""
        return "within" if self.value <= most else f"**OVER BUDGET by {self.value / most:.1f} times**"


def format_number(value: float) -> str:
    """Format a number with three significant digits, or all of its integer digits."""
    if value == 0 or not math.isfinite(value):
        return f"{value:.0f}"
    digits = max(0, 2 - math.floor(math.log10(abs(value))))
    text = f"{value:,.{digits}f}"
    return text.rstrip("0").rstrip(".") if "." in text else text


def format_value(value: float, unit: str) -> str:
    """Format a value with its unit, scaled to a readable prefix."""
    if unit == "share":
        return f"{format_number(value * 100)}%"
    if unit.startswith("bytes"):
        for step, name in ((1e9, "GB"), (1e6, "MB"), (1e3, "KB")):
            if abs(value) >= step:
                return f"{format_number(value / step)} {name}{unit[5:]}"
        return f"{format_number(value)} {unit}"
    if unit == "s" and 0 < abs(value) < 1:
        return f"{format_number(value * 1e3)} ms" if abs(value) >= 1e-3 else f"{format_number(value * 1e6)} µs"
    if unit == "s" and abs(value) >= 120:
        return f"{format_number(value / 60)} min" if abs(value) < 7_200 else f"{format_number(value / 3_600)} h"
    return f"{format_number(value)} {unit}".rstrip() if unit != "/s" else f"{format_number(value)}/s"


def _value_at(row: Mapping[str, Any], path: str) -> Any:
    found: Any = row
    for part in path.split("."):
        found = found.get(part) if isinstance(found, Mapping) else None
    return found


def number_at(row: Mapping[str, Any], path: str) -> float | None:
    """Return the number at a path of keys joined by dots, or None if there is none."""
    found = _value_at(row, path)
    return float(found) if isinstance(found, int | float) and not isinstance(found, bool) else None


class Results:
    """All result files of a folder, by name without `.json`. `used` collects the names of the files that gave a
    figure."""

    def __init__(self, folder: Path) -> None:
        self.files: dict[str, dict[str, Any]] = {}
        for path in sorted(folder.glob("*.json")):
            self.files[path.stem] = json.loads(path.read_text())
        self.used: dict[str, None] = {}

    def stated(self, name: str) -> float:
        """Return a value that the operators stated. Raises `KeyError` without `stated.json` or the value in it."""
        return float(self.files["stated"][name])

    def rows(self, name: str, **where: Any) -> list[Mapping[str, Any]]:
        """Return the rows of a file that have these values. In a keyword, `__` stands for the dot of a path."""
        return [row for row in self.files.get(name, {}).get("rows", ())
                if all(_value_at(row, key.replace("__", ".")) == value for key, value in where.items())]

    def as_measured(self, name: str, path: str, unit: str = "", by: float = 1.0, **where: Any) -> Figure:
        """Return the figure at `path`, times `by`, in the one row that has these values."""
        rows = self.rows(name, **where)
        value = number_at(rows[0], path) if len(rows) == 1 else None
        if value is None:
            return Figure(None, unit)
        self.used[name] = None
        return Figure(value * by, unit, f"`{name}`")

    def file_value(self, name: str, path: str, unit: str = "", by: float = 1.0) -> Figure:
        """Return the figure at `path` of the file itself, times `by`."""
        value = number_at(self.files.get(name, {}), path)
        if value is None:
            return Figure(None, unit)
        self.used[name] = None
        return Figure(value * by, unit, f"`{name}`")

    def law(self, name: str, over: str, path: str, by: float = 1.0, **where: Any) -> Fit | None:
        """Return how the figure at `path` grows with the variable `over`, or None with fewer than four sizes."""
        points = [(float(row[over]), float(_value_at(row, path)) * by) for row in self.rows(name, **where)
                  if isinstance(_value_at(row, path), int | float)]
        try:
            found = fit(points)
        except ValueError:
            return None
        self.used[name] = None
        return found

    def at_size(self, name: str, over: str, size: float, path: str, unit: str = "", by: float = 1.0,
                **where: Any) -> Figure:
        """Return the figure for the value `size` of the variable `over`: as measured, if there is a run within
        `SIZE_TOLERANCE` of the size; else as the law predicts, which `how` says."""
        near = min((float(row[over]) for row in self.rows(name, **where) if over in row), default=0.0,
                   key=lambda one: abs(one - size))
        at = near if abs(near - size) <= SIZE_TOLERANCE * size else size
        run = self.as_measured(name, path, unit, by, **{over: at}, **where)
        law = self.law(name, over, path, by, **where)
        if run.value is not None:
            how = [f"run at {format_number(at)}"] * (at != size) + [describe_law(law, over, unit)] * (law is not None)
            return replace(run, how="; ".join(how))
        value = None if law is None else law.value(size)
        if law is None or value is None:
            return Figure(None, unit)
        sort = "between runs" if size <= law.largest else "extrapolated"
        return Figure(value, unit, f"`{name}`", f"{sort}: {describe_law(law, over, unit)}")

    def provenance(self) -> list[tuple[str, ...]]:
        """Return the name, commit, load and machine of each file that gave a figure."""
        def text(value: Any) -> str:
            return ", ".join(f"{key} {one}" for key, one in value.items()) if isinstance(value, dict) else str(value)
        return [(name, text(one.get("commit", ""))[:10], *(text(one.get(key, "")) for key in ("load", "machine")))
                for name, one in self.files.items() if name in self.used]


def describe_law(law: Fit | None, over: str, unit: str) -> str:
    """Return the law as text, with its residual and the largest size that was measured."""
    if law is None:
        return NOT_MEASURED
    if law.law == "none":
        return f"no law fits {over} (residual {law.residual:.0%})"
    by = f", {format_value(law.coefficient, unit)} each" if law.law == "linear" else ""
    return f"{law.law} in {over}{by} (residual {law.residual:.1%}, run up to {format_number(law.largest)})"


def markdown_table(headers: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Return a Markdown table."""
    lines = [headers, ["---"] * len(headers), *rows]
    return "\n".join("| " + " | ".join(str(cell) for cell in line) + " |" for line in lines)


Section = Callable[[Results], str]
