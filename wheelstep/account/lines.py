"""The form of the account's lines: a JSON list after a mark, each with its Unix time in ms and its kind first.

| kind | then | told |
| --- | --- | --- |
| head | courier, classes by name: worth, promise ms, deadline ms, late worth, falls by halves | at each start |
| take | message, class, destination, key's hash or null, ms left, handed in before | on its 202 |
| back | the same | for each owed message that a start finds in the journal |
| door | message, class, status | turned away at the door |
| go | message, attempt, endpoint | before an attempt's first byte |
| out | message, attempt, endpoint, outcome, ms spent, over, share of the limit left and limit, or nulls | its outcome |
| end | message, outcome, and since 0.2 the reason | the end told, where it was not delivered |
| probe | endpoint, outcome | |
| gauge | slots out, connections, handshakes, list calls, [[destination, holdup, waiting], ...] | each 250 ms |

Handshakes and list calls are counted from the start. A line that is cut off, or of a later version, is passed over and
counted by who reads it.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

VERSION = 1
MARK = "account: "
LEAST = {"head": 2, "take": 6, "back": 6, "door": 3, "go": 3, "out": 8, "end": 2, "probe": 2, "gauge": 5}
"""The kinds, with the number of their fields."""


class LineError(ValueError):
    """A line with the mark that can't be read."""


@dataclass(frozen=True, slots=True)
class Line:
    """One that was read."""

    at_ms: int
    kind: str
    fields: list[Any]


def write(at_ms: int, kind: str, *fields: Any) -> str:
    """The text of one line, without a prefix of the log's."""
    return MARK + json.dumps([at_ms, kind, *fields], separators=(",", ":"))


def read(text: str) -> Line | None:
    """What a log's line tells, None if it is none of these; raises `LineError`."""
    _, mark, told = text.partition(MARK)
    if not mark:
        return None
    try:
        at_ms, kind, *fields = json.loads(told)
    except (ValueError, TypeError, RecursionError) as error:
        raise LineError(f"{told[:60].strip()!r} is cut off or damaged; expected a JSON list") from error
    if kind not in LEAST or len(fields) < LEAST[kind] or not isinstance(at_ms, int):
        raise LineError(f"{told[:60].strip()!r} is of no known kind; expected one of {', '.join(LEAST)}")
    return Line(at_ms, kind, fields)
