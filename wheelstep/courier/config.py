"""What the courier is told at its start, and again on SIGHUP; what makes no sense is one plain line."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from wheelstep import interface as api
from wheelstep.simhost import WireError, settings_from

_STATES = {"SERVING": api.EndpointState.UP, "DRAINING": api.EndpointState.DRAINING,
           "DELETED": api.EndpointState.REMOVED}
UNREADABLE = (KeyError, TypeError, ValueError, AttributeError, OverflowError, RecursionError)


class ConfigError(Exception):
    """The configuration can't be used."""


@dataclass(frozen=True, slots=True)
class Address:
    """A TCP address."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Address:
        host, _, port = text.rpartition(":")
        if not host or not port.isdigit() or not 0 <= int(port) <= 65535:
            raise ValueError(f"{text!r} is no host:port")
        return cls(host.strip("[]"), int(port))


@dataclass(frozen=True, slots=True)
class Names:
    """The names that the settings list; on the sockets they stand where the module has numbers."""

    classes: tuple[str, ...]
    kinds: tuple[str, ...]
    zones: tuple[str, ...]
    report: tuple[str, ...]

    def entry(self, row: Mapping[str, Any]) -> tuple[api.EndpointInfo, Address]:
        """One line of discovery's list; raises what `UNREADABLE` lists if it can't be read."""
        state = _STATES[row["health"]]
        info = api.EndpointInfo(
            endpoint=str(row["host"]), destination=int(row["block"]),
            kind=_index(self.kinds, row.get("class")), zone=_index(self.zones, row.get("site")),
            state=state, weight=float(row.get("share", 1.0)))
        return info, Address.parse(str(row["dial"]))


def _index(names: tuple[str, ...], name: object) -> int:
    return names.index(name) if name in names else 0


@dataclass(frozen=True, slots=True)
class Config:
    """All that the courier is told."""

    name: str
    listen: Address
    discovery: Address
    state: Path
    seed: int
    disk_bytes: int
    sockets: int
    known: Mapping[str, Any]
    settings: api.Settings
    raw_settings: Mapping[str, Any]  # as they stand in the file
    names: Names
    dial_timeout_us: int
    console: Address | None = None  # where operators call, if anywhere
    raw: Mapping[str, Any] = field(default_factory=dict, repr=False)  # the whole file


def load(environ: Mapping[str, str], again: bool = False) -> Config:
    """Read the file that `RELAY_CONFIG` names, and the folder that `RELAY_STATE` names. When the file is read
    again it is newer than the environment, so its discovery counts."""
    path, state = environ.get("RELAY_CONFIG"), environ.get("RELAY_STATE")
    if not path or not state:
        raise ConfigError("RELAY_CONFIG and RELAY_STATE must be set")
    try:
        data = json.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(f"{path}: {error}") from error
    if not Path(state).is_dir():
        raise ConfigError(f"RELAY_STATE: {state} is no folder")
    return from_data(data, Path(state), path, environ, again)


def from_data(data: Mapping[str, Any], state: Path, source: str = "configuration",
              environ: Mapping[str, str] | None = None, again: bool = False) -> Config:
    """The same from what a file holds; `source` names it in a `ConfigError`."""
    try:
        return _config(data, state, environ or {}, again)
    except KeyError as error:
        raise ConfigError(f"{source}: missing {error.args[0]!r}") from error
    except (WireError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise ConfigError(f"{source}: {error}") from error


def _config(data: Mapping[str, Any], state: Path, environ: Mapping[str, str], again: bool) -> Config:
    info, limits, known = data["settings"], data.get("limits", {}), data.get("known")
    settings = settings_from(info)
    api.check_settings(settings)
    return Config(
        name=str(data.get("name", "courier")),
        listen=Address.parse(environ.get("RELAY_LISTEN") or data["listen"]),
        discovery=Address.parse(not again and environ.get("RELAY_DISCOVERY") or data["discovery"]),
        state=state,
        seed=int(str(data.get("seed", "0")), 16),
        disk_bytes=int(float(limits.get("disk_mb", 3)) * 1_000_000),
        sockets=int(limits.get("sockets", 256)),
        known=known if isinstance(known, dict) and isinstance(known.get("hosts"), list) else {},
        settings=settings,
        raw_settings=info,
        names=Names(
            classes=tuple(row.get("name", str(i)) for i, row in enumerate(info["services"])),
            kinds=tuple(info.get("kinds", ())), zones=tuple(info.get("areas", ())),
            report=tuple(info.get("report", {}).get("columns") or ())),
        dial_timeout_us=int(info.get("caps", {}).get("dial_timeout_us") or 1_000_000),
        console=Address.parse(console) if (console := environ.get("RELAY_CONSOLE") or data.get("console")) else None,
        raw=data,
    )
