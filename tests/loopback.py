"""What surrounds a courier, on loopback sockets: endpoints, the platform, and the courier's own process."""

from __future__ import annotations

import asyncio
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
import h11
from aiohttp import web

ROOT = Path(__file__).parent.parent
LIMIT_S = 20.0  # a wait for an event that takes longer has failed
Reply = tuple[int, dict[str, str], bytes]


def run(work: Coroutine[Any, Any, None]) -> None:
    asyncio.run(asyncio.wait_for(work, 60))


@dataclass
class Call:
    """One request as an endpoint read it; `closed` is set once its connection has ended."""

    target: str
    headers: dict[str, str]
    body: bytes
    connection: int
    closed: asyncio.Event = field(default_factory=asyncio.Event)


class Endpoint:
    """An endpoint; `reply` gives the answer to each call, None hangs, an exception breaks the connection."""

    def __init__(self) -> None:
        self.calls: list[Call] = []
        self.connections = self.open = 0
        self.reply: Callable[[Call], Awaitable[Reply | None]] = self._fine
        self._news = asyncio.Condition()

    async def _fine(self, call: Call) -> Reply | None:
        return 200, {}, b""

    async def start(self) -> str:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self.address

    async def wait(self, calls: int) -> list[Call]:
        async with asyncio.timeout(LIMIT_S), self._news:
            await self._news.wait_for(lambda: len(self.calls) >= calls)
        return self.calls

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.open += 1
        number, http, call = self.connections, h11.Connection(h11.SERVER), None
        try:
            while (call := await self._read(http, reader, number)) is not None:
                async with self._news:
                    self.calls.append(call)
                    self._news.notify_all()
                answer = await self.reply(call)
                if answer is None:
                    await reader.read()  # until the courier closes
                    return
                status, headers, body = answer
                head = h11.Response(status_code=status,
                                    headers=[*headers.items(), ("Content-Length", str(len(body)))])
                writer.write((http.send(head) or b"") + (http.send(h11.Data(data=body)) or b"")
                             + (http.send(h11.EndOfMessage()) or b""))
                await writer.drain()
                http.start_next_cycle()
        except (OSError, h11.RemoteProtocolError):
            pass
        finally:
            self.open -= 1
            writer.transport.abort()
            for earlier in self.calls:
                if earlier.connection == number:
                    earlier.closed.set()

    async def _read(self, http: h11.Connection, reader: asyncio.StreamReader, number: int) -> Call | None:
        head, body = None, b""
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await reader.read(65536))
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                assert head is not None
                headers = {k.decode().lower(): v.decode() for k, v in head.headers}
                return Call(head.target.decode(), headers, body, number)
            else:
                return None


class Platform:
    """Discovery and the place for notices."""

    def __init__(self) -> None:
        self.hosts: list[dict[str, Any]] = []
        self.seq = 1
        self.notices: dict[str, dict[str, Any]] = {}
        self.takes_notices = True
        self.asked_after: list[int] = []
        self._lines: asyncio.Queue[bytes] = asyncio.Queue()
        self._news = asyncio.Condition()

    async def start(self) -> str:
        app = web.Application()
        app.router.add_get("/v1/servers", self._watch)
        app.router.add_post("/v1/outcomes", self._outcomes)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1, handler_cancellation=True)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        self.address = f"127.0.0.1:{self._runner.addresses[0][1]}"
        return self.address

    async def stop(self) -> None:
        await self._runner.cleanup()

    def push(self, *rows: dict[str, Any]) -> None:
        self.seq += 1
        self._lines.put_nowait(
            json.dumps({"seq": self.seq, "whole": False, "hosts": list(rows)}).encode() + b"\n")

    def say(self, line: bytes) -> None:
        self._lines.put_nowait(line)

    async def wait_notice(self, message: str) -> dict[str, Any]:
        async with asyncio.timeout(LIMIT_S), self._news:
            await self._news.wait_for(lambda: message in self.notices)
        return self.notices[message]

    async def wait_watches(self, count: int) -> None:
        async with asyncio.timeout(LIMIT_S), self._news:
            await self._news.wait_for(lambda: len(self.asked_after) >= count)

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        answer = web.StreamResponse()
        await answer.prepare(request)
        await answer.write(
            json.dumps({"seq": self.seq, "whole": True, "hosts": self.hosts}).encode() + b"\n")
        async with self._news:
            self.asked_after.append(int(request.query["after"]))
            self._news.notify_all()
        while True:
            await answer.write(await self._lines.get())

    async def _outcomes(self, request: web.Request) -> web.Response:
        if not self.takes_notices:
            return web.Response(status=503)
        lines = [json.loads(line) for line in (await request.read()).splitlines()]
        async with self._news:
            self.notices.update({line["message"]: line for line in lines})
            self._news.notify_all()
        return web.Response(status=204)


def host(name: str, address: str, block: int = 7, health: str = "SERVING", kind: str = "k") -> dict[str, Any]:
    return {"host": name, "dial": address, "site": "a", "class": kind, "block": block, "health": health,
            "share": 1.0, "born_ms": 0}


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


class Courier:
    """The real process; `address` changes with each start."""

    def __init__(self, folder: Path, platform: Platform, settings: dict[str, Any] | None = None) -> None:
        self.folder, self.platform = folder, platform
        self.settings = settings or SETTINGS
        self.log: list[str] = []
        (folder / "state").mkdir()

    def config(self, platform: Platform) -> str:
        return json.dumps({
            "name": "n0", "listen": "127.0.0.1:0", "discovery": platform.address,
            "seed": "8c1f30d27a5be964", "limits": {"disk_mb": 3}, "settings": self.settings,
            "known": {"seq": platform.seq, "whole": True, "hosts": platform.hosts}})

    def renew(self, text: str) -> None:
        """Replace the file of the configuration and tell the courier."""
        (self.folder / "config.new").write_text(text)
        (self.folder / "config.new").replace(self.folder / "config.json")
        self.process.send_signal(signal.SIGHUP)

    async def wait_log(self, text: str, count: int = 1) -> None:
        async with asyncio.timeout(LIMIT_S):
            while sum(text in line for line in self.log) < count:
                await asyncio.sleep(0.01)

    async def start(self) -> None:
        (self.folder / "config.json").write_text(self.config(self.platform))
        env = {**os.environ, "RELAY_CONFIG": str(self.folder / "config.json"),
               "RELAY_STATE": str(self.folder / "state"), "RELAY_DISCOVERY": self.platform.address}
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "wheelstep.courier", cwd=ROOT, env=env, stderr=asyncio.subprocess.PIPE)
        serving: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        self._reading = asyncio.create_task(self._read_log(serving))
        self.address = await asyncio.wait_for(serving, LIMIT_S)

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
        given = {"X-Request-Id": message, "X-Class": cls, "X-Deadline-Ms": "20000", "X-Consignee": "dest=7",
                 **{name.replace("_", "-"): value for name, value in headers.items()}}
        if cls == "ordered":
            given.setdefault("Idempotency-Key", f"token-{message}")
        path = f"/api/{key}" if key else "/api"
        async with aiohttp.ClientSession() as http, http.post(
                f"http://{self.address}{path}", data=body, headers=given) as answer:
            await answer.read()
            return answer.status


class Scene:
    """A platform, one endpoint of destination 7, and a courier."""

    def __init__(self, folder: Path) -> None:
        self.platform, self.endpoint = Platform(), Endpoint()
        self.courier = Courier(folder, self.platform)

    async def __aenter__(self) -> Scene:
        await self.platform.start()
        self.platform.hosts = [host("e0", await self.endpoint.start())]
        await self.courier.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        if self.courier.process.returncode is None:
            await self.courier.kill()
        await self.platform.stop()
