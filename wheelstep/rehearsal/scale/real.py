"""Real couriers of a run: the program as an operator starts it, with clients, partners and a journal."""

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
from wheelstep.rehearsal.scale.nursery import die_with_parent
from wheelstep.rehearsal.scale.plan import CLIENTS_PORT, FLEET, PEERS_PORT, Plan, Site
from wheelstep.rehearsal.scale.settings import settings
from wheelstep.rehearsal.standins.wire import Client

_POLL_S = 0.02
_TERM_S = 8.0
_RUNNER = "wheelstep.rehearsal.scale.runner"


class Process:
    """One that is started by a command, with its log, and ends with this process."""

    def __init__(self, folder: Path, name: str, command: list[str], env: dict[str, str]) -> None:
        self.folder, self.name, self._command, self._env = folder, name, command, env
        self.log = folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None

    @property
    def pid(self) -> int:
        """Its number; 0 before its start."""
        return self.process.pid if self.process is not None else 0

    @property
    def up(self) -> bool:
        """Is there a process that has not ended?"""
        return self.process is not None and self.process.returncode is None

    async def spawn(self) -> None:
        """Start it. Raises `OSError`."""
        with open(self.log, "ab") as out:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", _RUNNER, *self._command, stdin=asyncio.subprocess.DEVNULL, stdout=out, stderr=out,
                env=self._env, preexec_fn=die_with_parent, start_new_session=True)

    async def end(self, number: signal.Signals = signal.SIGTERM, within_s: float = _TERM_S) -> bool:
        """A signal, and SIGKILL where it is still there after this time; False if that was needed."""
        if not self.up or self.process is None:
            return True
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)
        try:
            await asyncio.wait_for(self.process.wait(), within_s)
            return True
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
            return False

    def tail(self, most: int = 2_000) -> str:
        """The end of its log."""
        with contextlib.suppress(OSError):
            return self.log.read_text(errors="replace")[-most:]
        return ""

    def figures(self) -> dict[str, float]:
        """What it told of its figures last."""
        with contextlib.suppress(OSError):
            lines = re.findall(r"figures: (.*)", self.log.read_text(errors="replace"))
            if lines:
                return {name: float(value) for name, value in re.findall(r"([a-z][^=]*)=(\d+)", lines[-1])}
        return {}


class RealCourier(Process):
    """One courier over all its lives."""

    def __init__(self, plan: Plan, plan_file: Path, site: Site, folder: Path, env: dict[str, str]) -> None:
        self.site = site
        home = folder / site.name
        (home / "state").mkdir(parents=True)
        self.config = home / "config.json"
        self.config.write_text(json.dumps(_config(plan, site)))
        operator = home / "operator.toml"
        operator.write_text(_operator(plan, site, folder / "fleet.key"))
        own = {**env, "RELAY_NAME": site.name, "RELAY_LISTEN": site.serves, "RELAY_CONFIG": str(self.config),
               "RELAY_DISCOVERY": plan.discovery, "RELAY_STATE": str(home / "state")}
        super().__init__(folder, site.name, [str(plan_file), site.name, "serve", "--operator", str(operator)], own)
        self.idle: list[Client] = []

    async def ready(self, within_s: float) -> bool:
        """Does it take clients?"""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + within_s
        while loop.time() < end_s and self.up:
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(1.0):
                    link = await Client.dial(self.site.ip, CLIENTS_PORT)
                    try:
                        answer = await link.exchange(b"GET /healthz HTTP/1.1\r\nHost: origin.svc\r\n\r\n")
                    finally:
                        link.close()
                if answer is not None and answer[0] == 200:
                    return True
            await asyncio.sleep(_POLL_S)
        return False


class Control(Process):
    """A control machine."""

    def __init__(self, plan: Plan, plan_file: Path, name: str, folder: Path, env: dict[str, str]) -> None:
        path = folder / f"{name}.toml"
        path.write_text(f'[control]\nname = "{name}"\nfleet = "{FLEET}"\nkey_file = "fleet.key"\n'
                        f'listen = "{plan.control_machines()[name]}"\ndiscovery = "{plan.discovery}"\n'
                        f'shards = {plan.shards}\n')
        super().__init__(folder, name, [str(plan_file), name, "control", str(path)], env)


def _config(plan: Plan, site: Site) -> dict[str, Any]:
    return {"name": site.name, "listen": site.serves, "discovery": plan.discovery, "seed": f"{plan.seed:x}",
            "limits": {"cores": 1.0, "memory_mb": 256, "sockets": 2048, "disk_mb": 64},
            "known": {"seq": 0, "whole": True, "hosts": []}, "settings": settings(plan.hollow + plan.real)}


def _operator(plan: Plan, site: Site, key_file: Path) -> str:
    fleet = {"on": True, "name": FLEET, "key_file": str(key_file), "listen": f"{site.ip}:{PEERS_PORT}",
             "zone": site.zone, "probe_every": f"{plan.probe_us // 1000}ms"}
    control = ", ".join(f'{name} = "{address}"' for name, address in plan.control_machines().items())
    return operator_file(fleet, plan.seeds(site.name), ()) + (
        f"\n[fleet.shards]\non = true\ncount = {plan.shards}\nregions = {plan.regions}\ncontrol = {{ {control} }}\n")
