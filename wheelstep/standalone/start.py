"""What `umberchute init`, `umberchute keys new` and `umberchute config show|diff|reference` print and write."""

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

STARTER = '''# A courier of one's own. `umberchute config check FILE` tells what is wrong; at SIGHUP it is read again.

listen = "{listen}"
state = "state"                  # beside this file
endpoints_from = "endpoints"     # NAME.toml there has the endpoints of destination NAME, and is watched

[class.payment]                  # a second delivery does harm: one try whose outcome is unclear is the last
effect = "unsafe"
aim = "2s"
deadline = "30s"
worth = 3

[class.update]                   # partners drop a repeat by its Idempotency-Key; one key keeps its order
effect = "keyed"
ordered = true

[destination.alpha]
# endpoints = ["10.0.0.5:8080"]  # where the folder has no file for it

[destination.beta]

[[route]]                        # the first that matches counts
path = "/beta/*"
to = "beta"

[[route]]
to = "alpha"

[tenant.first]
tokens = ["{digest}"]   # of the token that `init` printed
'''


def new_token() -> tuple[str, str]:
    """A bearer token and the sha256 that a file holds of it."""
    token = secrets.token_urlsafe(24)
    return token, hashlib.sha256(token.encode()).hexdigest()


def write_key(path: Path) -> str:
    """A new key for signatures, in a new file that only its owner can read; its fingerprint. Raises `FileError`."""
    key = new_key()
    _write({path: (key + "\n", 0o600)})
    return fingerprint(read_key(f"file:{path.name}", path.parent, {}))


def _write(files: Mapping[Path, tuple[str, int]]) -> None:
    """New files with their modes; nothing is overwritten."""
    for path, (text, mode) in files.items():
        try:
            handle = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, mode)
            with os.fdopen(handle, "w", encoding="utf-8") as file:
                file.write(text)
        except FileExistsError as error:
            raise FileError(f"{path}: is there already; expected a new name") from error
        except OSError as error:
            raise FileError(f"{path}: {error}; expected a folder that can be written") from error


def init(folder: Path, listen: str = "127.0.0.1:8350") -> str:
    """Write a starting file and the token of its tenant; the token. Raises `FileError`: nothing is overwritten."""
    token, digest = new_token()
    text = STARTER.format(digest=digest, listen=listen)
    parse(text, "--listen")
    try:
        (folder / "endpoints").mkdir(parents=True, exist_ok=True)
    except OSError as error:
        raise FileError(f"{folder}: {error}; expected a folder that can be made") from error
    _write({folder / "umberchute.toml": (text, 0o644),
            folder / "first.token": (token + "\n", 0o600)})
    return token


def plain(found: Standalone) -> dict[str, Any]:
    """The file with every default, as JSON's types; tokens are left out."""
    data: dict[str, Any] = found.model_dump(mode="json", by_alias=True)
    for tenant in data["tenant"].values():
        tenant["tokens"] = f"{len(tenant['tokens'])} of them"
    return data


def differences(old: Any, new: Any, at: str = "") -> Iterator[str]:
    """A line for each value that differs: what a reload would change."""
    if isinstance(old, dict) and isinstance(new, dict):
        for name in [*old, *(name for name in new if name not in old)]:
            where = f"{at}.{name}" if at else name
            if name not in new:
                yield f"{where}: gone"
            elif name not in old:
                yield f"{where}: new: {new[name]}"
            else:
                yield from differences(old[name], new[name], where)
    elif isinstance(old, list) and isinstance(new, list) and len(old) == len(new):
        for number, (one, other) in enumerate(zip(old, new, strict=True)):
            yield from differences(one, other, f"{at}[{number}]")
    elif old != new:
        yield f"{at}: {old} -> {new}"


def reference() -> str:
    """All fields of the file as Markdown tables, from the model."""
    lines: list[str] = []

    def table(part: type[BaseModel], title: str) -> None:
        lines.extend([f"### {title}", "", (part.__doc__ or "").split("\n")[0], "",
                      "| field | default | what |", "| --- | --- | --- |"])
        for name, info in part.model_fields.items():
            if info.description is None:
                continue
            default = "must be given" if info.is_required() else _shown(info.default)
            lines.append(f"| `{info.alias or name}` | {default} | {info.description} |")
        lines.append("")

    from wheelstep.standalone import model
    for part, title in ((model.Standalone, "The file itself"), (model.LimitsPart, "`[limits]`"),
                        (model.RulesPart, "`[rules]`"),
                        (model.ClassPart, "`[class.NAME]`"), (model.DestinationPart, "`[destination.NAME]`"),
                        (model.RoutePart, "`[[route]]`"), (model.TenantPart, "`[tenant.NAME]`")):
        table(part, title)
    return "\n".join(lines)


def _shown(value: object) -> str:
    if value is None or value == () or value == {}:
        return "none"
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, int) and value >= 1_000_000 and value % 1_000_000 == 0:
        return f"`\"{value // 1_000_000}s\"`"
    return f"`{value}`"
