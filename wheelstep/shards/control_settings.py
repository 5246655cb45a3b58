"""The `[control]` table of a control machine's file. Imported only where a control machine is started."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated

from pydantic import Field, ValidationError

from wheelstep.courier.config import Address
from wheelstep.fields import Table, describe_error
from wheelstep.fleet.settings import Address as AddressText
from wheelstep.fleet.settings import Name, read_key


class ControlError(Exception):
    """The file cannot be used; one line that names the place and what was expected."""


class ControlPart(Table):
    """The settings of a control machine. `shards` must be the same at all members of the fleet."""

    name: Name
    fleet: Name = "fleet"
    key_file: Path
    old_key_files: Annotated[tuple[Path, ...], Field(max_length=4)] = ()  # keys accepted but not used for sealing
    listen: AddressText
    discovery: AddressText
    shards: Annotated[int, Field(ge=1, le=1 << 20)] = 16_384


class Control:
    """The file as read: its table, the keys, and discovery's address."""

    def __init__(self, part: ControlPart, keys: list[bytes], discovery: Address) -> None:
        self.part, self.keys, self.discovery = part, keys, discovery


def read(path: Path) -> Control:
    """Reads and validates the file; key files are relative to it. Raises `ControlError`."""
    try:
        data = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise ControlError(f"{path}: {error}; expected a file in TOML") from error
    if strange := sorted(data.keys() - {"control"}):
        raise ControlError(f"{path}: {strange[0]}: unknown table; expected [control] alone")
    try:
        part = ControlPart.model_validate(data.get("control", {}))
    except ValidationError as error:
        raise ControlError(
            f"{path}: control.{describe_error(error, 'wheelstep/shards/control_settings.py')}") from error
    _address(path, "listen", part.listen)
    return Control(part, [_key(path, name) for name in (part.key_file, *part.old_key_files)],
                   _address(path, "discovery", part.discovery))


def _address(path: Path, name: str, text: str) -> Address:
    try:
        return Address.parse(text)
    except ValueError as error:
        raise ControlError(f"{path}: control.{name}: {error}; expected host:port") from error


def _key(path: Path, name: Path) -> bytes:
    try:
        return read_key(path.parent / name)
    except ValueError as error:
        raise ControlError(f"{path}: control.key_file: {name}: {error}") from error
