"""Histories as files: lines of JSON, of which the first is a header."""

from __future__ import annotations

import dataclasses
import json
from collections.abc import Iterable, Iterator
from typing import Any

from wheelstep.rehearsal.history import (
    Answer,
    Call,
    ClassFigures,
    Effect,
    End,
    Excluded,
    Fate,
    Figures,
    HandIn,
    History,
    How,
    Late,
    Life,
    Notice,
    Outage,
    Probe,
    Strange,
    Told,
    Turn,
)

FORMAT = "umberchute-history"
VERSION = 1

_FACT_TYPES: dict[str, type[Any]] = {kind.__name__: kind for kind in (
    HandIn, Answer, Call, Probe, Told, Excluded, Notice, Life, Outage, Strange, Late)}
_ENUM_FIELDS: dict[str, Any] = {"end": End, "how": How, "turn": Turn, "effect": Effect}


class HistoryError(Exception):
    """A file isn't a valid history; the message names the line."""


def dump(history: History) -> Iterator[str]:
    """Yield the history as lines of JSON without line ends, the header first."""
    figures = dataclasses.asdict(history.figures)
    figures["routes_apart"] = sorted(history.figures.routes_apart)
    yield json.dumps({"format": FORMAT, "version": VERSION, "end_us": history.end_us, "figures": figures})
    for fact in history.facts:
        yield json.dumps([type(fact).__name__, dataclasses.asdict(fact)])


def load(lines: Iterable[str]) -> History:
    """Return the history that `dump` wrote. Raises `HistoryError`."""
    rows = iter(lines)
    try:
        head = json.loads(next(rows))
        if head.get("format") != FORMAT or head.get("version") != VERSION:
            raise HistoryError(f"line 1: no {FORMAT} of version {VERSION}")
        figures = dict(head["figures"])
        figures["classes"] = {name: ClassFigures(**{**row, "effect": Effect(row["effect"])})
                              for name, row in figures["classes"].items()}
        figures["routes_apart"] = frozenset(figures["routes_apart"])
        history = History(Figures(**figures), end_us=head["end_us"])
    except (StopIteration, KeyError, TypeError, ValueError, AttributeError) as error:
        raise HistoryError(f"line 1: no {FORMAT}: {error}") from error
    for number, row in enumerate(rows, 2):
        try:
            name, fields = json.loads(row)
            history.add(_FACT_TYPES[name](**{key: _value(key, value) for key, value in fields.items()}))
        except (KeyError, TypeError, ValueError) as error:
            raise HistoryError(f"line {number}: no fact: {error}") from error
    return history


def _value(key: str, value: Any) -> Any:
    if key in _ENUM_FIELDS and value is not None:
        return _ENUM_FIELDS[key](value)
    if key == "fates":
        return tuple(Fate(item) for item in value)
    return tuple(value) if isinstance(value, list) else value
