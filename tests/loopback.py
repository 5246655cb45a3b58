"""A courier's environment on loopback sockets: endpoints, the platform, and the courier's own process."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import signal
import sys
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

import aiohttp
from loopback_peers import LIMIT_S, Call, Endpoint, Platform, Reply, host
from ports import free_address

__all__ = ["ALONE", "LIMIT_S", "ROOT", "SETTINGS", "Call", "Courier", "Endpoint", "Platform", "Reply", "Scene",
           "free_address", "host", "run", "started"]

ROOT = Path(__file__).parent.parent


def run(work: Coroutine[Any, Any, None]) -> None:
    asyncio.run(asyncio.wait_for(work, 60))


SETTINGS: dict[str, Any] = {
    "services": [
        {"name": "ordered", "promise_us": 2000000, "deadline_us": 20000000, "effect": "by_key",
         "group": "all", "key_ttl_us": 15000000, "by_arrival": True},
        {"name": "once", "promise_us": 2000000, "deadline_us": 20000000, "effect": "once"}],
    "specifics": {"calls_out": 16, "per_call": [5], "kind_apart": [False]},
    "kinds": ["k"], "areas": ["a"], "report": {"columns": ["x0", "x1"], "source": "inline"},
    "caps": {"open_cap": 100, "most_tries": 12, "conn_idle_us": 10000000, "dial_timeout_us": 1000000,
             "may_duplicate": True, "may_probe": True},
    "rules": {"order_settle_us": 300000, "cold_us": 10000000, "cold_from": 0.3, "fall_multiple": 1.5,
              "overload_for_us": 3000000, "drain_grace_us": 250000},
    "tick_us": 5000,
}
ALONE: dict[str, Any] = {**SETTINGS, "specifics": {**SETTINGS["specifics"], "per_call": [1]}}  # one message per call


started: list[asyncio.subprocess.Process] = []  # couriers of the running test; conftest.py kills those left


class Courier:
    """A courier in a process of its own; `address` changes with each start."""

    program: tuple[str, ...] = ("wheelstep.courier",)

    def __init__(self, folder: Path, platform: Platform, settings: dict[str, Any] | None = None,
                 operator: Path | None = None, disk_mb: float = 3, console: bool = False) -> None:
        self.folder, self.platform, self.operator, self.disk_mb = folder, platform, operator, disk_mb
        self.settings, self.listen = settings or SETTINGS, "127.0.0.1:0"
        self.console = free_address() if console else ""
        self.log: list[str] = []
        (folder / "state").mkdir(exist_ok=True)

    def successor(self) -> Courier:
        """Return another process of the same courier, not started, at the same address."""
        after = Courier(self.folder, self.platform, self.settings, self.operator, self.disk_mb, console=True)
        after.listen = self.address
        return after

    async def call(self, line: str) -> str:
        """Send one command to the console and return its reply."""
        reader, writer = await asyncio.open_connection(*self.console.rsplit(":", 1))
        writer.write(line.encode() + b"\n")
        async with asyncio.timeout(LIMIT_S):
            reply = await reader.read()
        writer.close()
        return reply.decode()

    async def figures(self) -> dict[str, int]:
        """Return the metrics of `telemetry`, without the prefix of their names."""
        lines = (await self.call("telemetry")).splitlines()
        assert lines[0] == "+OK" and lines[-1] == "."
        return {name.removeprefix("app."): int(value.partition("|")[0])
                for name, _, value in (line.partition(":") for line in lines[1:-1])}

    async def wait_console(self) -> None:
        """Wait until the process answers commands, whatever it answers."""
        async with asyncio.timeout(LIMIT_S):
            while True:
                with contextlib.suppress(OSError):
                    if await self.call("readyz"):
                        return
                await asyncio.sleep(0.001)

    async def wait_ready(self) -> None:
        async with asyncio.timeout(LIMIT_S):
            while True:
                with contextlib.suppress(OSError):
                    if (await self.call("readyz")).startswith("+OK"):
                        return
                await asyncio.sleep(0.01)

    def config(self, platform: Platform) -> str:
        return json.dumps({
            "name": "n0", "listen": self.listen, "discovery": platform.address,
            "seed": "8c1f30d27a5be964", "limits": {"disk_mb": self.disk_mb}, "settings": self.settings,
            "known": platform.full_list(), **({"console": self.console} if self.console else {})})

    def renew(self, text: str) -> None:
        """Replace the configuration's file and send SIGHUP."""
        (self.folder / "config.new").write_text(text)
        (self.folder / "config.new").replace(self.folder / "config.json")
        self.process.send_signal(signal.SIGHUP)

    async def wait_log(self, text: str, count: int = 1) -> None:
        async with asyncio.timeout(LIMIT_S):
            while sum(text in line for line in self.log) < count:
                await asyncio.sleep(0.01)

    async def start(self) -> None:
        await self.begin()
        self.address = await asyncio.wait_for(self._serving, LIMIT_S)

    async def begin(self) -> None:
        """Start the process without waiting until it serves."""
        (self.folder / "config.json").write_text(self.config(self.platform))
        env = {**os.environ, "RELAY_CONFIG": str(self.folder / "config.json"),
               "RELAY_STATE": str(self.folder / "state"), "RELAY_DISCOVERY": self.platform.address}
        if self.operator is not None:
            env["UMBERCHUTE_OPERATOR"] = str(self.operator)
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", *self.program, cwd=ROOT, env=env, stderr=asyncio.subprocess.PIPE)
        started.append(self.process)
        self._serving: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        self._reading = asyncio.create_task(self._read_log(self._serving))

    async def _read_log(self, serving: asyncio.Future[str]) -> None:
        assert self.process.stderr is not None
        while line := (await self.process.stderr.readline()).decode():
            self.log.append(line)
            if (found := re.search(r"serves on (\S+:\d+)", line)) and not serving.done():
                serving.set_result(found[1])
        if not serving.done():
            serving.set_exception(RuntimeError("".join(self.log)))

    async def kill(self) -> None:
        self.process.kill()
        await self.process.wait()
        await self._reading

    async def terminate(self) -> int:
        self.process.terminate()
        code = await asyncio.wait_for(self.process.wait(), LIMIT_S)
        await self._reading
        return code

    async def hand_in(self, message: str, cls: str = "once", key: str = "", body: bytes = b"x",
                      **headers: str) -> int:
        return (await self.hand_in_answer(message, cls, key, body, **headers))[0]

    async def hand_in_answer(self, message: str, cls: str = "once", key: str = "", body: bytes = b"x",
                             **headers: str) -> tuple[int, dict[str, str]]:
        given = {"X-Request-Id": message, "X-Class": cls, "X-Deadline-Ms": "20000", "X-Consignee": "dest=7",
                 **{name.replace("_", "-"): value for name, value in headers.items()}}
        if cls == "ordered":
            given.setdefault("Idempotency-Key", f"token-{message}")
        path = f"/api/{key}" if key else "/api"
        async with aiohttp.ClientSession() as http, http.post(
                f"http://{self.address}{path}", data=body, headers=given) as answer:
            await answer.read()
            return answer.status, dict(answer.headers)


class Scene:
    """A platform, one endpoint of destination 7, and a courier, started and stopped as a context manager."""

    def __init__(self, folder: Path, operator: Path | None = None, disk_mb: float = 3,
                 console: bool = False, settings: dict[str, Any] | None = None) -> None:
        self.platform, self.endpoint = Platform(), Endpoint()
        # `Endpoint` gives one answer for the whole call, which is no outcome of each message in a bulk call.
        settings = settings or (ALONE if console else None)
        self.courier = Courier(folder, self.platform, settings, operator, disk_mb, console)

    async def __aenter__(self) -> Scene:
        await self.platform.start()
        self.platform.list(host("e0", await self.endpoint.start()))
        await self.courier.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        if self.courier.process.returncode is None:
            await self.courier.kill()
        await self.platform.stop()
