"""The format of the account's lines: a JSON list after a marker, with Unix time in ms and kind as its first values.

| kind | further values | written |
| --- | --- | --- |
| head | courier, classes by name: worth, promise ms, deadline ms, late worth, falls by halves | at each start |
| take | message, class, destination, key's hash or null, ms left, handed in before | on its 202 |
| back | the same | for each unfinished message that a start finds in the journal |
| door | message, class, status | on refusing a message |
| go | message, attempt, endpoint | before an attempt's first byte |
| out | message, attempt, endpoint, outcome, ms spent, over, share of the limit left and limit, or nulls | its outcome |
| end | message, outcome, and since 0.2 the reason | on an end without delivery |
| probe | endpoint, outcome | after a probe |
| gauge | slots out, connections, handshakes, list calls, [[destination, wait reason, waiting], ...] | each 250 ms |

Handshakes and list calls are counted from the start. A reader skips and counts lines that are cut off or of a later
version.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

VERSION = 1
MARKER = "account: "
MIN_FIELDS = {"head": 2, "take": 6, "back": 6, "door": 3, "go": 3, "out": 8, "end": 2, "probe": 2, "gauge": 5}
"""The kinds of lines, with their minimum number of fields."""


class LineError(ValueError):
    """A line with the marker that cannot be read."""


@dataclass(frozen=True, slots=True)
class Line:
    """A line that was read."""

    at_ms: int
    kind: str
    fields: list[Any]


def write(at_ms: int, kind: str, *fields: Any) -> str:
    """Return the text of one line, without the log's own prefix."""
    return MARKER + json.dumps([at_ms, kind, *fields], separators=(",", ":"))


def read(text: str) -> Line | None:
    """Parse a log line; None if it is not one of the account's. Raises `LineError`."""
    _, marker, payload = text.partition(MARKER)
    if not marker:
        return None
    try:
        at_ms, kind, *fields = json.loads(payload)
    except (ValueError, TypeError, RecursionError) as error:
        raise LineError(f"{payload[:60].strip()!r} is cut off or damaged; expected a JSON list") from error
    if kind not in MIN_FIELDS or len(fields) < MIN_FIELDS[kind] or not isinstance(at_ms, int):
        raise LineError(f"{payload[:60].strip()!r} has an unknown kind or too few fields; expected one of "
                        f"{', '.join(MIN_FIELDS)}")
    return Line(at_ms, kind, fields)
