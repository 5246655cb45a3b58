"""Result files, figures out of them, and how a figure is written. A figure knows the run that it comes from; what no
run has given is "not measured"."""

from __future__ import annotations

import json
import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from benchmarks.slopes import Fit, fit

NOT_MEASURED = "not measured"
NEAR = 0.05  # a run so near to a size counts as one of it


@dataclass(frozen=True, slots=True)
class Figure:
    """A figure in a unit: "bytes", "s", "/s", "bytes/s", "share" (of a core or of all) or "" (a count). `how` says by
    which law a figure was told for a size that was not run."""

    value: float | None
    unit: str = ""
    source: str = ""
    how: str = ""

    def __str__(self) -> str:
        return NOT_MEASURED if self.value is None else written(self.value, self.unit)

    def times(self, by: float | None, unit: str | None = None) -> Figure:
        """The same, so many times."""
        value = None if self.value is None or by is None else self.value * by
        return replace(self, value=value, unit=self.unit if unit is None else unit)

    def plus(self, *others: Figure) -> Figure:
        """The sum; unknown if a part is."""
        parts = [self, *others]
        if any(part.value is None for part in parts):
            return Figure(None, self.unit)
        return Figure(sum(part.value or 0.0 for part in parts), self.unit,
                      ", ".join(dict.fromkeys(part.source for part in parts if part.source)),
                      "; ".join(dict.fromkeys(part.how for part in parts if part.how)))

    def verdict(self, most: float | None) -> str:
        """Beside a budget."""
        if self.value is None:
            return NOT_MEASURED
        if most is None:
            return ""
        return "within" if self.value <= most else f"**OVER BUDGET by {self.value / most:.1f} times**"


def plain(value: float) -> str:
    """Three digits, more where it is 1,000 or above."""
    if value == 0 or not math.isfinite(value):
        return f"{value:.0f}"
    digits = max(0, 2 - math.floor(math.log10(abs(value))))
    text = f"{value:,.{digits}f}"
    return text.rstrip("0").rstrip(".") if "." in text else text


def written(value: float, unit: str) -> str:
    """A figure with its unit, in steps of a thousand."""
    if unit == "share":
        return f"{plain(value * 100)}%"
    if unit.startswith("bytes"):
        for step, name in ((1e9, "GB"), (1e6, "MB"), (1e3, "KB")):
            if abs(value) >= step:
                return f"{plain(value / step)} {name}{unit[5:]}"
        return f"{plain(value)} {unit}"
    if unit == "s" and 0 < abs(value) < 1:
        return f"{plain(value * 1e3)} ms" if abs(value) >= 1e-3 else f"{plain(value * 1e6)} µs"
    if unit == "s" and abs(value) >= 120:
        return f"{plain(value / 60)} min" if abs(value) < 7_200 else f"{plain(value / 3_600)} h"
    return f"{plain(value)} {unit}".rstrip() if unit != "/s" else f"{plain(value)}/s"


def _get(row: Mapping[str, Any], path: str) -> Any:
    found: Any = row
    for part in path.split("."):
        found = found.get(part) if isinstance(found, Mapping) else None
    return found


def number_at(row: Mapping[str, Any], path: str) -> float | None:
    """A number inside, by names with dots between; None for all else."""
    found = _get(row, path)
    return float(found) if isinstance(found, int | float) and not isinstance(found, bool) else None


class Results:
    """All result files of a folder, by name without `.json`."""

    def __init__(self, folder: Path) -> None:
        self.files: dict[str, dict[str, Any]] = {}
        for path in sorted(folder.glob("*.json")):
            self.files[path.stem] = json.loads(path.read_text())
        self.used: dict[str, None] = {}

    def stated(self, name: str) -> float:
        """Of the size that is stated; without the file nothing can be said."""
        return float(self.files["stated"][name])

    def rows(self, name: str, **where: Any) -> list[Mapping[str, Any]]:
        """The rows of a file that have these values."""
        return [row for row in self.files.get(name, {}).get("rows", ())
                if all(_get(row, key.replace("__", ".")) == value for key, value in where.items())]

    def at(self, name: str, path: str, unit: str = "", by: float = 1.0, **where: Any) -> Figure:
        """A figure as it was run: the one row with these values."""
        rows = self.rows(name, **where)
        value = number_at(rows[0], path) if len(rows) == 1 else None
        if value is None:
            return Figure(None, unit)
        self.used[name] = None
        return Figure(value * by, unit, f"`{name}`")

    def top(self, name: str, path: str, unit: str = "", by: float = 1.0) -> Figure:
        """A figure that stands in the file beside its rows."""
        value = number_at(self.files.get(name, {}), path)
        if value is None:
            return Figure(None, unit)
        self.used[name] = None
        return Figure(value * by, unit, f"`{name}`")

    def law(self, name: str, over: str, path: str, by: float = 1.0, **where: Any) -> Fit | None:
        """How a figure grows with one variable; None without four sizes."""
        points = [(float(row[over]), float(_get(row, path)) * by) for row in self.rows(name, **where)
                  if isinstance(_get(row, path), int | float)]
        try:
            found = fit(points)
        except ValueError:
            return None
        self.used[name] = None
        return found

    def told(self, name: str, over: str, size: float, path: str, unit: str = "", by: float = 1.0,
             **where: Any) -> Figure:
        """A figure at a size: as run, if that size was, or one within 5% of it; else by the law, and said so."""
        near = min((float(row[over]) for row in self.rows(name, **where) if over in row), default=0.0,
                   key=lambda one: abs(one - size))
        at = near if abs(near - size) <= NEAR * size else size
        run = self.at(name, path, unit, by, **{over: at}, **where)
        law = self.law(name, over, path, by, **where)
        if run.value is not None:
            how = [f"run at {plain(at)}"] * (at != size) + [slope(law, over, unit)] * (law is not None)
            return replace(run, how="; ".join(how))
        value = None if law is None else law.value(size)
        if law is None or value is None:
            return Figure(None, unit)
        sort = "between runs" if size <= law.largest else "extrapolated"
        return Figure(value, unit, f"`{name}`", f"{sort}: {slope(law, over, unit)}")

    def machine(self) -> list[tuple[str, ...]]:
        """Of each file that gave a figure: name, commit, load, machine."""
        def words(value: Any) -> str:
            return ", ".join(f"{key} {one}" for key, one in value.items()) if isinstance(value, dict) else str(value)
        return [(name, words(one.get("commit", ""))[:10], *(words(one.get(key, "")) for key in ("load", "machine")))
                for name, one in self.files.items() if name in self.used]


def slope(law: Fit | None, over: str, unit: str) -> str:
    """A law in words, with residual and the largest size that was run."""
    if law is None:
        return NOT_MEASURED
    if law.law == "none":
        return f"no law fits {over} (residual {law.residual:.0%})"
    by = f", {written(law.by, unit)} each" if law.law == "linear" else ""
    return f"{law.law} in {over}{by} (residual {law.residual:.1%}, run up to {plain(law.largest)})"


def table(heads: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """In Markdown."""
    lines = [heads, ["---"] * len(heads), *rows]
    return "\n".join("| " + " | ".join(str(cell) for cell in line) + " |" for line in lines)


Section = Callable[[Results], str]
