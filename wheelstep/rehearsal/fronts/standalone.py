"""A standalone courier for the rig: `python -m wheelstep.rehearsal.fronts.standalone`.

The rig's configuration is translated into an operator's file; each change of discovery's list rewrites the file by
rename and reloads it. The rig's clients send no token and belong to the open tenant; notifications have the platform's
format.
"""

from __future__ import annotations

import asyncio
import json
import logging
import os
import sys
from collections.abc import Mapping
from typing import Any

from wheelstep import interface as api
from wheelstep.courier.config import Address, Config, load
from wheelstep.courier.listing import entries
from wheelstep.courier.rows import Row
from wheelstep.courier.watch import Watch
from wheelstep.standalone import model, serve

_EFFECTS = {"repeatable": "safe", "by_key": "keyed", "once": "unsafe"}


def operator_file(config: Config, rows: Mapping[str, Row]) -> str:
    """Return the operator's file that is equivalent to the rig's configuration and the list's rows."""
    settings: Mapping[str, Any] = config.raw_settings
    caps, rules, specifics = settings.get("caps", {}), settings.get("rules", {}), settings["specifics"]
    lines = [f"listen = {_text(f'{config.listen.host}:{config.listen.port}')}",
             f"notify = {_text(f'{config.discovery.host}:{config.discovery.port}')}",
             f"state = {_text(str(config.state))}",
             "[limits]", f"held = {caps['open_cap']}", f"slots = {specifics['calls_out']}",
             f"attempts = {caps['most_tries']}", f"descriptors = {config.max_descriptors}",
             f"disk_mb = {config.disk_bytes / 1e6}", f"idle = {_time(caps['conn_idle_us'])}",
             f"dial = {_time(config.dial_timeout_us)}",
             "[rules]", f"settle = {_time(rules['order_settle_us'])}", f"cold = {_time(rules['cold_us'])}",
             f"cold_from = {float(rules['cold_from'])}", f"fall_multiple = {float(rules['fall_multiple'])}",
             f"fall_for = {_time(rules['overload_for_us'])}", f"drain_grace = {_time(rules['drain_grace_us'])}",
             f"probes = {json.dumps(bool(caps.get('may_probe')))}"]
    for row in settings["services"]:
        lines += [f"[class.{row['name']}]", f"effect = {_text(_EFFECTS[row['effect']])}",
                  f"aim = {_time(row['promise_us'])}", f"deadline = {_time(row['deadline_us'])}",
                  f"worth = {float(row['worth'])}", f"late_worth = {float(row['late_value'])}",
                  f"key_life = {_time(row['key_ttl_us'])}", f"ordered = {json.dumps(bool(row['by_arrival']))}"]
    # A destination stays when its last endpoint is removed: its accepted messages wait for another.
    destinations: dict[int, list[Row]] = {}
    for entry in rows.values():
        destinations.setdefault(entry[0].destination, []).append(entry)
    for number, group in sorted(destinations.items()):
        kind = group[0][0].kind
        listed = [row for row in group if row[0].state is not api.EndpointState.REMOVED]
        draining = [row for row in listed if row[0].state is api.EndpointState.DRAINING]
        lines += [f"[destination.d{number}]", f"endpoints = {_addresses(listed)}", f"drain = {_addresses(draining)}",
                  f"batch = {specifics['per_call'][kind]}",
                  f"routes_apart = {json.dumps(bool(specifics['kind_apart'][kind]))}"]
    for number in sorted(destinations):
        lines += ["[[route]]", f"headers = {{ X-Consignee = {_text(f'dest={number}')} }}",
                  f"to = {_text(f'd{number}')}"]
    return "\n".join([*lines, "[tenant.all]", "open = true", "plain_names = true",
                      "rate_per_s = 100000", "burst = 100000", ""])


def _text(value: str) -> str:
    return json.dumps(value)


def _time(duration_us: int) -> str:
    return _text(f"{duration_us}us")


def _addresses(rows: list[Row]) -> str:
    return json.dumps([f"{address.host}:{address.port}" for _, address in rows])


class Front:
    """A standalone courier whose file follows discovery's list."""

    def __init__(self, config: Config) -> None:
        self._config = config
        self._path = config.state.parent / "standalone.toml"
        self._rows: dict[str, Row] = {info.endpoint: (info, address)
                                      for info, address in entries(config.known, config.names)}
        self._reload = asyncio.Event()
        self._write()

    def _write(self) -> None:
        temporary = self._path.with_suffix(".new")
        temporary.write_text(operator_file(self._config, self._rows), encoding="utf-8")
        temporary.replace(self._path)

    def _apply_list(self, kind: api.ListKind, rows: list[tuple[api.EndpointInfo, Address]]) -> None:
        if kind is not api.ListKind.CHANGES:
            present = {info.endpoint for info, _ in rows}
            self._rows = {name: row if name in present else (api.EndpointInfo(
                name, row[0].destination, row[0].kind, state=api.EndpointState.REMOVED), row[1])
                for name, row in self._rows.items()}
        self._rows.update((info.endpoint, (info, address)) for info, address in rows)
        self._write()
        self._reload.set()

    async def run(self) -> None:
        """Serve until SIGTERM."""
        courier = serve.Courier(self._path, model.load(self._path))
        async with asyncio.TaskGroup() as group:
            watch = Watch(self._config.discovery, self._config.names, 0, self._apply_list)
            watching = group.create_task(watch.run())
            await courier.serve(self._reload)
            watching.cancel()


def main() -> int:
    """Run the courier that the RELAY_* environment describes."""
    logging.basicConfig(stream=sys.stderr, level=logging.INFO,
                        format="%(asctime)s %(levelname)s %(name)s %(message)s")

    async def work() -> None:
        await Front(load(os.environ)).run()
    asyncio.run(work())
    return 0


if __name__ == "__main__":
    sys.exit(main())
