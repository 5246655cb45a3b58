"""Reads the courier's configuration, at its start and again on SIGHUP. Invalid input gives a one-line `ConfigError`."""

from __future__ import annotations

import json
import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from wheelstep import interface as api
from wheelstep.simhost import WireError, settings_from

_STATES = {"SERVING": api.EndpointState.UP, "DRAINING": api.EndpointState.DRAINING,
           "DELETED": api.EndpointState.REMOVED}
ROW_ERRORS = (KeyError, TypeError, ValueError, AttributeError, OverflowError, RecursionError)


class ConfigError(Exception):
    """The configuration can't be used."""


@dataclass(frozen=True, slots=True)
class Address:
    """A TCP address."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Address:
        """Parse "host:port"; an IPv6 host may stand in brackets. Raises `ValueError`."""
        host, _, port = text.rpartition(":")
        if not host or not port.isdigit() or not 0 <= int(port) <= 65535:
            raise ValueError(f"{text!r} is no host:port address")
        return cls(host.strip("[]"), int(port))


@dataclass(frozen=True, slots=True)
class Names:
    """The names that the settings list; the protocol uses them where the decision module uses their indices."""

    classes: tuple[str, ...]
    kinds: tuple[str, ...]
    zones: tuple[str, ...]
    report: tuple[str, ...]

    def parse_row(self, row: Mapping[str, Any]) -> tuple[api.EndpointInfo, Address]:
        """Parse one row of discovery's list. An unknown kind or zone counts as the first one. Raises one of
        `ROW_ERRORS` if the row can't be parsed."""
        state = _STATES[row["health"]]
        info = api.EndpointInfo(
            endpoint=str(row["host"]), destination=int(row["block"]),
            kind=_index(self.kinds, row.get("class")), zone=_index(self.zones, row.get("site")),
            state=state, weight=float(row.get("share", 1.0)),
            born_ms=int(row.get("born_ms", 0)))
        return info, Address.parse(str(row["dial"]))


def _index(names: tuple[str, ...], name: object) -> int:
    return names.index(name) if name in names else 0


# Descriptors for the journal, discovery, notifications, and what asyncio and Python keep open.
_RESERVED_FDS = 32
_MIN_ENDPOINT_CONNECTIONS = 16
_MEGABYTE = 1_000_000  # the smaller of the usual two


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of a courier."""

    name: str
    listen: Address
    discovery: Address
    state: Path  # the folder of the journal
    seed: int  # of random numbers; hexadecimal in the file
    disk_bytes: int  # that the journal may use
    max_descriptors: int  # limit on descriptors
    memory_bytes: int | None  # limit on the process's resident memory; None: the settings name none
    known: Mapping[str, Any]  # the list of endpoints in the file, empty without a valid `hosts` list
    settings: api.Settings
    raw_settings: Mapping[str, Any]  # as they stand in the file
    names: Names
    dial_timeout_us: int
    console: Address | None = None  # where the console listens; None: there is none
    raw: Mapping[str, Any] = field(default_factory=dict, repr=False)  # the whole file

    @property
    def max_client_connections(self) -> int:
        """The limit on connections of clients: a third of the descriptors."""
        return self.max_descriptors // 3

    @property
    def max_endpoint_connections(self) -> int:
        """The limit on connections to endpoints: what clients and reserved descriptors leave."""
        return max(_MIN_ENDPOINT_CONNECTIONS, self.max_descriptors - self.max_client_connections - _RESERVED_FDS)


def load(environ: Mapping[str, str], again: bool = False) -> Config:
    """Read the configuration file named by `RELAY_CONFIG`, with the state folder named by `RELAY_STATE`. A file that is
    read `again` is newer than the environment, so its discovery address precedes `RELAY_DISCOVERY`; `RELAY_LISTEN` and
    `RELAY_CONSOLE` always precede the file. Raises `ConfigError`."""
    path, state = environ.get("RELAY_CONFIG"), environ.get("RELAY_STATE")
    if not path or not state:
        raise ConfigError("RELAY_CONFIG and RELAY_STATE must be set")
    try:
        data = json.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(f"{path}: {error}") from error
    if not Path(state).is_dir():
        raise ConfigError(f"RELAY_STATE: {state} is no folder; expected an existing one")
    return from_data(data, Path(state), path, environ, again)


def from_data(data: Mapping[str, Any], state: Path, source: str = "configuration",
              environ: Mapping[str, str] | None = None, again: bool = False) -> Config:
    """Return the configuration from the parsed content of a file. `source` names the file in a `ConfigError`."""
    try:
        return _config(data, state, environ or {}, again)
    except KeyError as error:
        raise ConfigError(f"{source}: missing {error.args[0]!r}") from error
    except (WireError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise ConfigError(f"{source}: {error}") from error


def _memory_bytes(memory_mb: object) -> int | None:
    """Return a limit given in megabytes in bytes. Raises `ValueError`."""
    if memory_mb is None:
        return None
    if isinstance(memory_mb, bool) or not isinstance(memory_mb, int | float) or not 0 < memory_mb < math.inf:
        raise ValueError(f"limits.memory_mb: found {memory_mb!r}; expected a positive number of megabytes")
    return int(memory_mb * _MEGABYTE)


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
        max_descriptors=int(limits.get("sockets", 256)),
        memory_bytes=_memory_bytes(limits.get("memory_mb")),
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
