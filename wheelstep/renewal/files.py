"""Validation of a new settings file against the one in force. No I/O."""

from __future__ import annotations

import math
from collections.abc import Iterator, Mapping
from typing import Any

_REQUIRED_KEYS = frozenset({"name", "promise_us", "deadline_us", "effect"})  # keys that every class must have
_OPTIONAL_KEYS = frozenset({"by_arrival", "aim_stretch"})  # keys that are optional even if all classes have them
_KEYED_ONLY_KEYS = frozenset({"group", "key_ttl_us"})


class RenewalError(ValueError):
    """The file cannot be used: key, what was found, what was expected."""


def check(new: Mapping[str, Any], old: Mapping[str, Any]) -> None:
    """Raise `RenewalError` at the first reason why `new` cannot replace `old`; both are whole files.

    Rejects files that were cut off or half filled in: every key of the old file's tables must be in the new one, as a
    table, list or single value as before. The contents of `known` and of lists other than `services` are not compared.
    """
    for where, found in _missing(new, old, ""):
        raise RenewalError(f"{where}: {found}")
    settings = new["settings"]
    rows, before = settings["services"], old["settings"]["services"]
    if not rows:
        raise RenewalError("settings.services: empty; expected at least one class")
    common = set.intersection(*(set(row) for row in before)) - _OPTIONAL_KEYS
    names: set[str] = set()
    for index, row in enumerate(rows):
        where = f"settings.services[{index}]"
        if not isinstance(row, Mapping):
            raise RenewalError(f"{where}: {row!r:.60}; expected a table with a class's settings")
        expected = _REQUIRED_KEYS | (common if row.get("effect") == "by_key" else common - _KEYED_ONLY_KEYS)
        for key in sorted(expected - set(row)):
            raise RenewalError(f"{where}.{key}: missing; expected a value")
        for key in ("promise_us", "deadline_us"):
            _require_positive(row[key], f"{where}.{key}")
        if not isinstance(row["name"], str) or not row["name"] or row["name"] in names:
            raise RenewalError(f"{where}.name: {row['name']!r:.60}; expected a unique, non-empty name")
        names.add(row["name"])
    if "most_tries" in settings.get("caps", {}):
        _require_positive(settings["caps"]["most_tries"], "settings.caps.most_tries")


def _missing(new: Any, old: Any, where: str) -> Iterator[tuple[str, str]]:
    """Yield key and error for each key that is missing, or is not a table or list as before."""
    for key, value in old.items():
        path = f"{where}.{key}".lstrip(".")
        if key not in new:
            yield path, "missing; expected a value"
        elif isinstance(value, Mapping):
            if path == "known":
                continue  # contents are not compared: an endpoint list may be outdated or empty
            if not isinstance(new[key], Mapping):
                yield path, f"{new[key]!r:.60}; expected a table"
            else:
                yield from _missing(new[key], value, path)
        elif isinstance(value, list) != isinstance(new[key], list):
            yield path, f"{new[key]!r:.60}; expected {'a list' if isinstance(value, list) else 'no list'}"


def _require_positive(value: object, where: str) -> None:
    """Raise `RenewalError` unless the value is a finite positive number."""
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value) or value <= 0:
        raise RenewalError(f"{where}: {value!r:.60}; expected a positive number")
