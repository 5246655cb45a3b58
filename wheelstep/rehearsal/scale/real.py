"""The real processes of a run: couriers as an operator starts them, with clients, partners and a journal, and control
machines."""

from __future__ import annotations

import asyncio
import contextlib
import json
import re
import signal
import sys
from pathlib import Path
from typing import Any

from wheelstep.rehearsal.fleet.courier import operator_file
from wheelstep.rehearsal.scale.nursery import kill_with_parent
from wheelstep.rehearsal.scale.plan import CLIENTS_PORT, FLEET_NAME, PEERS_PORT, Plan, Site
from wheelstep.rehearsal.scale.settings import courier_settings
from wheelstep.rehearsal.standins.wire import Client

_POLL_INTERVAL_S = 0.02
_TERM_TIMEOUT_S = 8.0
_RUNNER = "wheelstep.rehearsal.scale.runner"


class LoggedProcess:
    """A process that is started through `runner` with a log file of its own, and is killed when this process ends."""

    def __init__(self, folder: Path, name: str, command: list[str], env: dict[str, str]) -> None:
        self.folder, self.name, self._command, self._env = folder, name, command, env
        self.log = folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None

    @property
    def pid(self) -> int:
        """The process id; 0 before the start."""
        return self.process.pid if self.process is not None else 0

    @property
    def up(self) -> bool:
        """Whether the process was started and has not ended."""
        return self.process is not None and self.process.returncode is None

    async def spawn(self) -> None:
        """Start the process; its output is appended to the log. Raises `OSError`."""
        with open(self.log, "ab") as out:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", _RUNNER, *self._command, stdin=asyncio.subprocess.DEVNULL, stdout=out, stderr=out,
                env=self._env, preexec_fn=kill_with_parent, start_new_session=True)

    async def stop(self, signal_number: signal.Signals = signal.SIGTERM, within_s: float = _TERM_TIMEOUT_S) -> bool:
        """Send a signal and wait up to `within_s` for the end. Return False if SIGKILL was needed after that."""
        if not self.up or self.process is None:
            return True
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(signal_number)
        try:
            await asyncio.wait_for(self.process.wait(), within_s)
            return True
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
            return False

    def tail(self, max_chars: int = 2_000) -> str:
        """Return the last `max_chars` characters of the log; empty if it can't be read."""
        with contextlib.suppress(OSError):
            return self.log.read_text(errors="replace")[-max_chars:]
        return ""

    def figures(self) -> dict[str, float]:
        """Return the figures that the process logged last, by name; empty if there are none."""
        with contextlib.suppress(OSError):
            lines = re.findall(r"figures: (.*)", self.log.read_text(errors="replace"))
            if lines:
                return {name: float(value) for name, value in re.findall(r"([a-z][^=]*)=(\d+)", lines[-1])}
        return {}


class RealCourier(LoggedProcess):
    """A real courier. A restart keeps the object, the address and the state folder."""

    def __init__(self, plan: Plan, plan_file: Path, site: Site, folder: Path, env: dict[str, str]) -> None:
        self.site = site
        directory = folder / site.name
        (directory / "state").mkdir(parents=True)
        self.config = directory / "config.json"
        self.config.write_text(json.dumps(_courier_config(plan, site)))
        operator_path = directory / "operator.toml"
        operator_path.write_text(_operator_toml(plan, site, folder / "fleet.key"))
        courier_env = {**env, "RELAY_NAME": site.name, "RELAY_LISTEN": site.serves, "RELAY_CONFIG": str(self.config),
                       "RELAY_DISCOVERY": plan.discovery, "RELAY_STATE": str(directory / "state")}
        super().__init__(folder, site.name, [str(plan_file), site.name, "serve", "--operator", str(operator_path)],
                         courier_env)
        self.idle: list[Client] = []

    async def ready(self, within_s: float) -> bool:
        """Wait until the courier answers its health check with 200. Return False if it ended or `within_s` passed
        first."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + within_s
        while loop.time() < end_s and self.up:
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(1.0):
                    connection = await Client.dial(self.site.ip, CLIENTS_PORT)
                    try:
                        answer = await connection.exchange(b"GET /healthz HTTP/1.1\r\nHost: origin.svc\r\n\r\n")
                    finally:
                        connection.close()
                if answer is not None and answer[0] == 200:
                    return True
            await asyncio.sleep(_POLL_INTERVAL_S)
        return False


class ControlMachine(LoggedProcess):
    """A real control machine."""

    def __init__(self, plan: Plan, plan_file: Path, name: str, folder: Path, env: dict[str, str]) -> None:
        control_path = folder / f"{name}.toml"
        control_path.write_text(f'[control]\nname = "{name}"\nfleet = "{FLEET_NAME}"\nkey_file = "fleet.key"\n'
                        f'listen = "{plan.control_machines()[name]}"\ndiscovery = "{plan.discovery}"\n'
                        f'shards = {plan.shards}\n')
        super().__init__(folder, name, [str(plan_file), name, "control", str(control_path)], env)


def _courier_config(plan: Plan, site: Site) -> dict[str, Any]:
    return {"name": site.name, "listen": site.serves, "discovery": plan.discovery, "seed": f"{plan.seed:x}",
            "limits": {"cores": 1.0, "memory_mb": 256, "sockets": 2048, "disk_mb": 64},
            "known": {"seq": 0, "whole": True, "hosts": []}, "settings": courier_settings(plan.hollow + plan.real)}


def _operator_toml(plan: Plan, site: Site, key_file: Path) -> str:
    fleet = {"on": True, "name": FLEET_NAME, "key_file": str(key_file), "listen": f"{site.ip}:{PEERS_PORT}",
             "zone": site.zone, "probe_every": f"{plan.probe_us // 1000}ms"}
    control = ", ".join(f'{name} = "{address}"' for name, address in plan.control_machines().items())
    return operator_file(fleet, plan.seeds(site.name), ()) + (
        f"\n[fleet.shards]\non = true\ncount = {plan.shards}\nregions = {plan.regions}\ncontrol = {{ {control} }}\n")
