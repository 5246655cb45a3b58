"""Endpoints from a watched folder: `NAME.toml` has those of destination NAME, in place of what the courier's file says.

Each file is replaced by rename. One that can't be used, or has gone, changes nothing and is told once: an empty list of
endpoints has to be said.
"""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path

from pydantic import ValidationError

from wheelstep.fields import describe_error
from wheelstep.standalone.model import EndpointsPart, Standalone

_MOST_BYTES = 1 << 20
_Stamp = tuple[int, int, int]  # inode, time of change in nanoseconds, size


@dataclass(slots=True)
class Folder:
    """What was read of it so far."""

    path: Path
    parts: dict[str, EndpointsPart] = field(default_factory=dict)
    _stamps: dict[str, _Stamp] = field(default_factory=dict)

    def look(self) -> tuple[bool, list[str]]:
        """Did anything change that can be used, and what is to be told. Blocks for as long as the disk takes."""
        changed, told = False, []
        try:
            there = {path.stem: path for path in self.path.iterdir()
                     if path.suffix == ".toml" and not path.name.startswith(".")}
        except OSError as error:
            if self._stamps.get("") != (0, 0, 0):
                told.append(f"{self.path}: can't be read: {error}; endpoints stay as they are")
            self._stamps[""] = (0, 0, 0)
            return False, told
        self._stamps.pop("", None)
        for name, path in sorted(there.items()):
            try:
                stat = path.stat()
                stamp = stat.st_ino, stat.st_mtime_ns, stat.st_size
                if self._stamps.get(name) == stamp:
                    continue
                self._stamps[name] = stamp
                part = _read(path, stat.st_size)
            except (OSError, ValueError) as error:
                told.append(f"{path}: {' '.join(str(error).split())}; its endpoints stay as they are")
                continue
            if self.parts.get(name) != part:
                self.parts[name], changed = part, True
        for name in [name for name in self._stamps if name not in there]:
            del self._stamps[name]
            told.append(f"{self.path / name}.toml has gone: its endpoints stay as they are until the next start")
        return changed, told


def _read(path: Path, size: int) -> EndpointsPart:
    if size > _MOST_BYTES:
        raise ValueError(f"has {size} bytes; expected {_MOST_BYTES} at most")
    try:
        return EndpointsPart.model_validate(tomllib.loads(path.read_text(encoding="utf-8")))
    except tomllib.TOMLDecodeError as error:
        raise ValueError(f"{error}; expected TOML") from error
    except ValidationError as error:
        raise ValueError(describe_error(error, "docs/operations/standalone.md")) from error


def merged(found: Standalone, parts: Mapping[str, EndpointsPart]) -> Standalone:
    """The courier's file with the folder's endpoints in place of its own. Those of a destination that the file does not
    have count for nothing."""
    if not parts:
        return found
    return found.model_copy(update={"destinations": {
        name: part.model_copy(update={"endpoints": parts[name].endpoints, "drain": parts[name].drain})
        if name in parts else part for name, part in found.destinations.items()}})
