"""Field types of TOML files: units and one-line errors. Only imported where such a file is read."""

from __future__ import annotations

import re
from typing import Annotated

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, ValidationError

_UNITS = {"us": 1, "ms": 1_000, "s": 1_000_000, "min": 60_000_000, "h": 3_600_000_000}
_TIME = re.compile(r"(\d+(?:\.\d+)?) ?(us|ms|s|min|h)")


def read_time(value: object) -> int:
    """Return whole microseconds of a text such as "250ms". Raises `ValueError`."""
    if isinstance(value, str) and (found := _TIME.fullmatch(value.strip())):
        return round(float(found[1]) * _UNITS[found[2]])
    raise ValueError(f'{value!r} is no time; expected a number with a unit, such as "250ms", "2s" or "1.5min"')


def _read_range(value: object) -> tuple[int, int]:
    """Return a range in whole microseconds of one duration or a list of two. Raises `ValueError`."""
    parts = value if isinstance(value, list) else [value, value]
    if len(parts) != 2:
        raise ValueError(f"{value!r} is no time or range; expected \"2s\" or [\"1s\", \"2s\"]")
    low, high = (read_time(part) for part in parts)
    if low > high:
        raise ValueError(f"the range {value!r} runs backwards; expected [least, most]")
    return low, high


Duration = Annotated[int, BeforeValidator(read_time)]
DurationRange = Annotated[tuple[int, int], BeforeValidator(_read_range)]
Share = Annotated[float, Field(ge=0, le=1)]
Count = Annotated[int, Field(ge=1, le=100_000)]


class Table(BaseModel):
    """A table of such a file; unknown keys are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True)


def describe_error(error: ValidationError, where_to_look: str) -> str:
    """Describe a validation error's first problem on one line: key, what was found and what was expected."""
    first = error.errors(include_url=False)[0]
    where = "".join(f"[{part}]" if isinstance(part, int) else f".{part}" for part in first["loc"]).lstrip(".")
    match first["type"]:
        case "extra_forbidden":
            return f"{where}: unknown key; expected one of those in {where_to_look}"
        case "missing":
            return f"{where}: missing; expected a value"
        case "value_error":
            text = str(first["msg"]).removeprefix("Value error, ")
            return f"{where}: {text}" if where else text
    return f"{where}: {repr(first.get('input'))[:80]}; expected: {first['msg']}"
