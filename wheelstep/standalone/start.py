"""Implements `umberchute init`, `umberchute keys new` and `umberchute config show|diff|reference`."""

from __future__ import annotations

import hashlib
import os
import secrets
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

from pydantic import BaseModel

from wheelstep.standalone.model import FileError, Standalone, parse
from wheelstep.standalone.signing import fingerprint, new_key, read_key

STARTER = '''# A standalone courier. `umberchute config check FILE` checks this file; SIGHUP reloads it.

listen = "{listen}"
state = "state"                  # relative to this file
endpoints_from = "endpoints"     # watched; NAME.toml has the endpoints of destination NAME

[class.payment]                  # a repeated delivery does harm: no retry after an attempt with an unclear outcome
effect = "unsafe"
aim = "2s"
deadline = "30s"
worth = 3

[class.update]                   # partners ignore a repeat by its Idempotency-Key; messages of one key stay in order
effect = "keyed"
ordered = true

[destination.alpha]
# endpoints = ["10.0.0.5:8080"]  # used while the folder has no file for it

[destination.beta]

[[route]]                        # the first match is used
path = "/beta/*"
to = "beta"

[[route]]
to = "alpha"

[tenant.first]
tokens = ["{digest}"]   # SHA-256 of the token that `init` printed
'''


def new_token() -> tuple[str, str]:
    """Generate a bearer token; return it and its SHA-256 in hex, which the file stores."""
    token = secrets.token_urlsafe(24)
    return token, hashlib.sha256(token.encode()).hexdigest()


def write_key(path: Path) -> str:
    """Write a new signing key to a new file with mode 600 and return its fingerprint. Raises `FileError`."""
    key = new_key()
    _write({path: (key + "\n", 0o600)})
    return fingerprint(read_key(f"file:{path.name}", path.parent, {}))


def _write(files: Mapping[Path, tuple[str, int]]) -> None:
    """Create files with their texts and modes. Raises `FileError`, also if a file exists already."""
    for path, (text, mode) in files.items():
        try:
            descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, mode)
            with os.fdopen(descriptor, "w", encoding="utf-8") as file:
                file.write(text)
        except FileExistsError as error:
            raise FileError(f"{path}: already exists; expected a new name") from error
        except OSError as error:
            raise FileError(f"{path}: {error}; expected a writable folder") from error


def init(folder: Path, listen: str = "127.0.0.1:8350") -> str:
    """Write a starter file, its tenant's token and an empty folder for endpoints; return the token. Raises `FileError`,
    also if a file exists."""
    token, digest = new_token()
    text = STARTER.format(digest=digest, listen=listen)
    parse(text, "--listen")
    try:
        (folder / "endpoints").mkdir(parents=True, exist_ok=True)
    except OSError as error:
        raise FileError(f"{folder}: {error}; expected a folder that can be created") from error
    _write({folder / "umberchute.toml": (text, 0o644),
            folder / "first.token": (token + "\n", 0o600)})
    return token


def as_json(file_config: Standalone) -> dict[str, Any]:
    """Return the file with all defaults, as JSON types. Only the number of tokens is shown."""
    data: dict[str, Any] = file_config.model_dump(mode="json", by_alias=True)
    for tenant in data["tenant"].values():
        tenant["tokens"] = f"{len(tenant['tokens'])} of them"
    return data


def differences(old: Any, new: Any, at: str = "") -> Iterator[str]:
    """Yield a line for each value that differs between two results of `as_json`; `at` is the path of the values in the
    file."""
    if isinstance(old, dict) and isinstance(new, dict):
        for name in [*old, *(name for name in new if name not in old)]:
            path = f"{at}.{name}" if at else name
            if name not in new:
                yield f"{path}: removed"
            elif name not in old:
                yield f"{path}: new: {new[name]}"
            else:
                yield from differences(old[name], new[name], path)
    elif isinstance(old, list) and isinstance(new, list) and len(old) == len(new):
        for index, (old_item, new_item) in enumerate(zip(old, new, strict=True)):
            yield from differences(old_item, new_item, f"{at}[{index}]")
    elif old != new:
        yield f"{at}: {old} -> {new}"


def reference() -> str:
    """Return Markdown tables of all fields of the file, made from the model, as in docs/operations/standalone.md."""
    lines: list[str] = []

    def table(part: type[BaseModel], title: str) -> None:
        lines.extend([f"### {title}", "", (part.__doc__ or "").split("\n")[0], "",
                      "| field | default | description |", "| --- | --- | --- |"])
        for name, info in part.model_fields.items():
            if info.description is None:
                continue
            default = "required" if info.is_required() else _format_default(info.default)
            lines.append(f"| `{info.alias or name}` | {default} | {info.description} |")
        lines.append("")

    from wheelstep.standalone import model
    for part, title in ((model.Standalone, "The file itself"), (model.LimitsPart, "`[limits]`"),
                        (model.RulesPart, "`[rules]`"),
                        (model.ClassPart, "`[class.NAME]`"), (model.DestinationPart, "`[destination.NAME]`"),
                        (model.RoutePart, "`[[route]]`"), (model.TenantPart, "`[tenant.NAME]`")):
        table(part, title)
    return "\n".join(lines)


def _format_default(value: object) -> str:
    if value is None or value == () or value == {}:
        return "none"
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, int) and value >= 1_000_000 and value % 1_000_000 == 0:
        return f"`\"{value // 1_000_000}s\"`"
    return f"`{value}`"
