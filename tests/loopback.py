"""A courier's environment on loopback sockets: endpoints, the platform, and the courier's own process."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import signal
import sys
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp
from ports import free_address

from wheelstep.rehearsal.history import Figures, History
from wheelstep.rehearsal.standins import wire
from wheelstep.rehearsal.standins.platform import Agent, row

ROOT = Path(__file__).parent.parent
LIMIT_S = 20.0  # a wait for an event fails after this
Reply = tuple[int, dict[str, str], bytes]


def run(work: Coroutine[Any, Any, None]) -> None:
    asyncio.run(asyncio.wait_for(work, 60))


@dataclass
class Call:
    """One request that an endpoint received; `closed` is set when its connection has ended."""

    target: str
    headers: dict[str, str]
    body: bytes
    connection: int
    closed: asyncio.Event = field(default_factory=asyncio.Event)


class _Link(wire.Server):
    """One connection to an `Endpoint`."""

    def __init__(self, endpoint: Endpoint) -> None:
        super().__init__()
        self._endpoint = endpoint
        self.calls: list[Call] = []

    def on_connect(self) -> None:
        self._endpoint.connections += 1
        self._endpoint.open += 1
        self._number = self._endpoint.connections

    def on_request(self, request: wire.Request) -> None:
        call = Call(request.target, request.headers, request.body, self._number)
        self.calls.append(call)
        self._endpoint.tasks.append(asyncio.create_task(self._reply(call)))

    async def _reply(self, call: Call) -> None:
        await self._endpoint.note(call)
        try:
            answer = await self._endpoint.reply(call)
        except OSError:
            self.abort()
            return
        if answer is not None:
            self.answer(*answer)

    def on_disconnect(self) -> None:
        self._endpoint.open -= 1
        for call in self.calls:
            call.closed.set()


class Endpoint:
    """An endpoint. `reply` returns the answer to a call, or None for no answer; an `OSError` resets the connection."""

    def __init__(self) -> None:
        self.calls: list[Call] = []
        self.connections = self.open = 0
        self.tasks: list[asyncio.Task[None]] = []
        self.reply: Callable[[Call], Awaitable[Reply | None]] = self._fine
        self._news = asyncio.Condition()

    async def _fine(self, call: Call) -> Reply | None:
        return 200, {}, b""

    async def start(self) -> str:
        self.port = wire.Port(lambda: _Link(self))
        await self.port.listen()
        self.address = self.port.address
        return self.address

    async def note(self, call: Call) -> None:
        async with self._news:
            self.calls.append(call)
            self._news.notify_all()

    async def wait(self, calls: int) -> list[Call]:
        async with asyncio.timeout(LIMIT_S), self._news:
            await self._news.wait_for(lambda: len(self.calls) >= calls)
        return self.calls


class Platform(Agent):
    """Discovery and the receiver of notifications: the kit's agent, which lets tests wait for events."""

    def __init__(self) -> None:
        super().__init__("n0", History(Figures({})), lambda: 0, self._hear)
        self.notices_heard: dict[str, dict[str, Any]] = {}
        self._news = asyncio.Condition()
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> str:
        await self.open()
        self.address = self.port.address
        return self.address

    async def stop(self) -> None:
        self.close()

    def list(self, *rows: dict[str, Any]) -> None:
        """Set the full list, before any courier is started."""
        self.hosts = {row["host"]: row for row in rows}

    def push(self, *rows: dict[str, Any]) -> None:
        """Send changes with any rows, also invalid ones."""
        self.seq += 1
        self.broadcast(json.dumps({"seq": self.seq, "whole": False, "hosts": list(rows)}).encode() + b"\n")

    def _hear(self, courier: str, notice: dict[str, Any]) -> None:
        self.notices_heard[notice["message"]] = notice
        self._tell()

    def add_watch(self, connection: Any) -> None:
        super().add_watch(connection)
        self._tell()

    def _tell(self) -> None:
        async def tell() -> None:
            async with self._news:
                self._news.notify_all()
        self._tasks.append(asyncio.create_task(tell()))

    async def wait_notice(self, message: str) -> dict[str, Any]:
        async with asyncio.timeout(LIMIT_S), self._news:
            await self._news.wait_for(lambda: message in self.notices_heard)
        return self.notices_heard[message]

    async def wait_watches(self, count: int) -> None:
        async with asyncio.timeout(LIMIT_S), self._news:
            await self._news.wait_for(lambda: len(self.watch_versions) >= count)


def host(name: str, address: str, block: int = 7, health: str = "SERVING", kind: str = "k") -> dict[str, Any]:
    return row(name, address, block, kind, health)


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
