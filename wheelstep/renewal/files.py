"""May a renewed file of settings take the place of the one in force? No I/O."""

from __future__ import annotations

import math
from collections.abc import Iterator, Mapping
from typing import Any

_OF_ALL = frozenset({"name", "promise_us", "deadline_us", "effect"})  # what every class must have
_OF_SOME = frozenset({"by_arrival", "aim_stretch"})  # keys that a class may have or not
_OF_KEYED = frozenset({"group", "key_ttl_us"})


class RenewalError(ValueError):
    """The file can't be used: where, what was found, what was expected."""


def check(new: Mapping[str, Any], old: Mapping[str, Any]) -> None:
    """Raise `RenewalError` at the first thing that makes `new` unusable in place of `old`, both whole files.
    Guards against files that were cut off or half filled in: what stands in the one in force must stand in the new one,
    as the same kind of thing."""
    for where, found in _missing(new, old, ""):
        raise RenewalError(f"{where}: {found}")
    settings = new["settings"]
    rows, before = settings["services"], old["settings"]["services"]
    if not rows:
        raise RenewalError("settings.services: empty; expected at least one class")
    common = set.intersection(*(set(row) for row in before)) - _OF_SOME
    names: set[str] = set()
    for index, row in enumerate(rows):
        where = f"settings.services[{index}]"
        if not isinstance(row, Mapping):
            raise RenewalError(f"{where}: {row!r:.60}; expected a class")
        expected = _OF_ALL | (common if row.get("effect") == "by_key" else common - _OF_KEYED)
        for key in sorted(expected - set(row)):
            raise RenewalError(f"{where}.{key}: missing; expected a value")
        for key in ("promise_us", "deadline_us"):
            _positive(row[key], f"{where}.{key}")
        if not isinstance(row["name"], str) or not row["name"] or row["name"] in names:
            raise RenewalError(f"{where}.name: {row['name']!r:.60}; expected a name of its own")
        names.add(row["name"])
    if "most_tries" in settings.get("caps", {}):
        _positive(settings["caps"]["most_tries"], "settings.caps.most_tries")


def _missing(new: Any, old: Any, where: str) -> Iterator[tuple[str, str]]:
    for key, value in old.items():
        here = f"{where}.{key}".lstrip(".")
        if key not in new:
            yield here, "missing; expected a value"
        elif isinstance(value, Mapping):
            if here == "known":
                continue  # a list that may be old or none
            if not isinstance(new[key], Mapping):
                yield here, f"{new[key]!r:.60}; expected a table"
            else:
                yield from _missing(new[key], value, here)
        elif isinstance(value, list) != isinstance(new[key], list):
            yield here, f"{new[key]!r:.60}; expected {'a list' if isinstance(value, list) else 'no list'}"


def _positive(value: object, where: str) -> None:
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value) or value <= 0:
        raise RenewalError(f"{where}: {value!r:.60}; expected a positive number")
