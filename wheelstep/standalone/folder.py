"""Endpoints from a watched folder: `NAME.toml` overrides the endpoints of destination NAME in the courier's file.

Writers replace each file by rename. An invalid or deleted file changes nothing and is reported once: a destination
loses its endpoints only by an explicit empty list.
"""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path

from pydantic import ValidationError

from wheelstep.fields import describe_error
from wheelstep.standalone.model import EndpointsPart, Standalone

_MAX_FILE_BYTES = 1 << 20
_Stamp = tuple[int, int, int]  # inode, modification time in nanoseconds, size


@dataclass(slots=True)
class EndpointFolder:
    """The watched folder and the endpoints last read from its files."""

    path: Path
    parts: dict[str, EndpointsPart] = field(default_factory=dict)
    _stamps: dict[str, _Stamp] = field(default_factory=dict)

    def scan(self) -> tuple[bool, list[str]]:
        """Read changed files into `parts`; return whether endpoints changed, and the problems to log. Blocks on disk
        I/O."""
        changed, problems = False, []
        try:
            files = {path.stem: path for path in self.path.iterdir()
                     if path.suffix == ".toml" and not path.name.startswith(".")}
        except OSError as error:
            if self._stamps.get("") != (0, 0, 0):
                problems.append(f"{self.path}: can't be read: {error}; endpoints stay as they are")
            self._stamps[""] = (0, 0, 0)
            return False, problems
        self._stamps.pop("", None)
        for name, path in sorted(files.items()):
            try:
                stat = path.stat()
                stamp = stat.st_ino, stat.st_mtime_ns, stat.st_size
                if self._stamps.get(name) == stamp:
                    continue
                self._stamps[name] = stamp
                part = _read(path, stat.st_size)
            except (OSError, ValueError) as error:
                problems.append(f"{path}: {' '.join(str(error).split())}; its endpoints stay as they are")
                continue
            if self.parts.get(name) != part:
                self.parts[name], changed = part, True
        for name in [name for name in self._stamps if name not in files]:
            del self._stamps[name]
            problems.append(f"{self.path / name}.toml was deleted: its endpoints stay as they are until the next start")
        return changed, problems


def _read(path: Path, size: int) -> EndpointsPart:
    if size > _MAX_FILE_BYTES:
        raise ValueError(f"has {size} bytes; expected {_MAX_FILE_BYTES} at most")
    try:
        return EndpointsPart.model_validate(tomllib.loads(path.read_text(encoding="utf-8")))
    except tomllib.TOMLDecodeError as error:
        raise ValueError(f"{error}; expected TOML") from error
    except ValidationError as error:
        raise ValueError(describe_error(error, "docs/operations/standalone.md")) from error


def merge_endpoints(file_config: Standalone, parts: Mapping[str, EndpointsPart]) -> Standalone:
    """Return the courier's file with the endpoints of `parts` in place of its own. Parts of destinations that the file
    does not have are ignored."""
    if not parts:
        return file_config
    return file_config.model_copy(update={"destinations": {
        name: part.model_copy(update={"endpoints": parts[name].endpoints, "drain": parts[name].drain})
        if name in parts else part for name, part in file_config.destinations.items()}})
