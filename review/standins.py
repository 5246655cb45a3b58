"""Stand-ins for a case: endpoints, the platform's agent, clients, and the courier's own processes.

Standard library only. They follow PROTOCOL, DEPLOY and DAYS, and behave like sound ones unless a case sets something
else. Everything is on 127.0.0.1, with free ports and a temporary folder. `Record` keeps what was sent, answered and
run.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
import uuid
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
RESET = "reset"  # an endpoint's answer: the connection is reset after the call's last byte
SILENT = None  # an endpoint's answer: there is none
LONGEST_S = 110.0  # of a case
CLIENT_WAIT_S = 0.4  # a client waits so long for its answer (PROTOCOL, 'Clients to couriers')
Answer = tuple[int, dict[str, str], bytes] | str | None


class CannotRunError(Exception):
    """The case could not be played: nothing is said about the rule."""


class Record:
    """What happened, in order, with seconds since the start."""

    def __init__(self) -> None:
        self._began, self.rows = time.monotonic(), []  # type: float, list[dict[str, Any]]

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began

    def add(self, what: str, **fields: Any) -> float:
        """Add a row and return its time."""
        at = self.now()
        self.rows.append({"t": round(at, 4), "what": what, **fields})
        return at

    def write(self, path: Path) -> None:
        """Write one JSON object a line."""
        path.write_text("".join(json.dumps(row) + "\n" for row in self.rows), encoding="utf-8")


async def read_request(reader: asyncio.StreamReader) -> tuple[str, str, dict[str, str], bytes, float] | None:
    """Return method, target, headers, body and the time of the first byte; None at the end of the connection."""
    first = await reader.read(1)
    if not first:
        return None
    at = time.monotonic()
    head = (first + await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    method, target, _ = head[0].split(" ", 2)
    headers = {name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in head[1:])
               if name}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return method, target, headers, body, at


def response(status: int, headers: dict[str, str] | None = None, body: bytes = b"") -> bytes:
    """Return the bytes of an answer."""
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in (headers or {}).items())]
    if status != 204:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def split_bulk(body: bytes) -> list[tuple[str, str]]:
    """Return id and idempotency key of each message in a call with several."""
    found, at = [], 0
    while at < len(body):
        end = body.index(b"\r\n", at)
        name, token, size = body[at:end].decode().split(" ")
        found.append((name, token))
        at = end + 2 + int(size) + 2
    return found


class Call:
    """One call as an endpoint received it."""

    def __init__(self, ids: list[str], bulk: bool, first_at: float, last_at: float) -> None:
        self.ids, self.bulk, self.first_at, self.last_at = ids, bulk, first_at, last_at
        self.run = False


class Endpoint:
    """An endpoint of destination `block`. `behave` returns the answer to a call; by default 200 after `pace_s`."""

    def __init__(self, record: Record, name: str, block: int, kind: str, pace_s: float = 0.25) -> None:
        self.record, self.name, self.block, self.kind, self.pace_s = record, name, block, kind, pace_s
        self.behave: Callable[[Call], Awaitable[Answer]] = self.fine
        self.calls: list[Call] = []
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20, backlog=512)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def fine(self, call: Call) -> Answer:
        """Run the call and answer 200."""
        await asyncio.sleep(self.pace_s)
        call.run = True
        return 200, {}, "".join(f"{name} delivered\r\n" for name in call.ids).encode() if call.bulk else b""

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (found := await read_request(reader)) is not None:
                method, target, headers, body, first = found
                if method == "GET":
                    self.record.add("probe", endpoint=self.name)
                    writer.write(response(200 if target == "/healthz" else 404))
                    continue
                bulk = target == "/inbox/bulk"
                ids = [name for name, _ in split_bulk(body)] if bulk else [headers["x-request-id"]]
                last = self.record.add("call", endpoint=self.name, ids=ids)
                call = Call(ids, bulk, last - (time.monotonic() - first), last)
                self.calls.append(call)
                answer = await self.behave(call)
                if call.run:
                    self.record.add("run", endpoint=self.name, ids=ids)
                if answer == RESET:
                    self.record.add("reset", endpoint=self.name, ids=ids)
                    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                                               b"\x01\0\0\0\0\0\0\0")
                    writer.transport.abort()
                    return
                if answer is not None and (reader.at_eof() or reader.exception() is not None):
                    self.record.add("nobody there", endpoint=self.name, ids=ids)  # the courier has closed or ended
                    return
                if answer is not None:
                    assert not isinstance(answer, str)
                    self.record.add("answer", endpoint=self.name, ids=ids, status=answer[0])
                    writer.write(response(*answer))
                    await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def close(self) -> None:
        """Close all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


class Agent:
    """The platform's agent of one courier: discovery's list, and the receiver of notices."""

    def __init__(self, record: Record) -> None:
        self.record, self.seq, self.rows = record, 1, {}  # type: Record, int, dict[str, dict[str, Any]]
        self.notices: dict[str, list[tuple[float, str]]] = {}
        self.down = False  # discovery is down: the agent is silent, and still takes notices
        self._waiting: list[asyncio.StreamWriter] = []  # watches that were opened meanwhile
        self._watches: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        self._beats = asyncio.create_task(self._beat())

    def list(self, *endpoints: Endpoint) -> None:
        """Set the whole list before anything runs."""
        for one in endpoints:
            self.rows[one.name] = {"host": one.name, "dial": one.address, "site": "building-a", "class": one.kind,
                                   "block": one.block, "health": "SERVING", "share": 1.0, "born_ms": 0}

    def whole(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"seq": self.seq, "whole": True, "hosts": list(self.rows.values())}

    def change(self, name: str, health: str) -> None:
        """Change the health of a listed endpoint, and tell it on all watches."""
        self.seq += 1
        row = {**self.rows[name], "health": health}
        if health == "DELETED":
            del self.rows[name]
        else:
            self.rows[name] = row
        self.record.add("told", endpoint=name, health=health)
        for writer in self._watches:
            self._line(writer, {"seq": self.seq, "whole": False, "hosts": [row]})

    def set_down(self, down: bool) -> None:
        """Begin or end an outage of discovery. At its end all watches get the whole list."""
        self.down = down
        self.record.add("discovery", down=down)
        if not down:
            for writer in self._waiting:
                self._open(writer)
            self._waiting.clear()

    def _open(self, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self._line(writer, self.whole())
        self._watches.add(writer)

    def _line(self, writer: asyncio.StreamWriter, data: Any) -> None:
        text = (json.dumps(data) if data is not None else "").encode() + b"\n"
        writer.write(b"%x\r\n" % len(text) + text + b"\r\n")

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(2.0)
            for writer in () if self.down else self._watches:
                self._line(writer, None)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (found := await read_request(reader)) is not None:
                method, target, _, body, _ = found
                if method == "POST" and target == "/v1/outcomes":
                    for line in body.splitlines():
                        if line.strip():
                            row = json.loads(line)
                            at = self.record.add("notice", id=row["message"], outcome=row["outcome"])
                            self.notices.setdefault(row["message"], []).append((at, row["outcome"]))
                    writer.write(response(204))
                elif "watch=1" in target and not self.down:
                    self._open(writer)
                elif "watch=1" in target:
                    self._waiting.append(writer)
                elif not self.down:
                    writer.write(response(200, {}, json.dumps(self.whole()).encode()))
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self._watches.discard(writer)
            if writer in self._waiting:
                self._waiting.remove(writer)
            writer.close()

    def close(self) -> None:
        """Close all connections."""
        self._beats.cancel()
        self._server.close()
        for writer in list(self._watches):
            writer.transport.abort()


class Handed:
    """One message that a client handed in."""

    def __init__(self, name: str, cls: str, dest: int, key: str, sent_at: float, deadline_s: float) -> None:
        self.name, self.cls, self.dest, self.key, self.sent_at = name, cls, dest, key, sent_at
        self.due_at, self.status, self.answered_at = sent_at + deadline_s, 0, 0.0  # status 0: no answer

    @property
    def taken(self) -> bool:
        """Whether the courier has answered that it has taken the message on."""
        return self.status in (200, 202)


class Client:
    """Hands messages in: one request at a time on a connection, more connections when all are busy."""

    def __init__(self, record: Record, address: Callable[[], str]) -> None:
        self.record, self._address = record, address
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.handed: dict[str, Handed] = {}

    async def hand_in(self, cls: str, dest: int, key: str = "", deadline_ms: int = 28_000, body: bytes = b"x" * 200,
                      token: bool = False) -> Handed:
        """Hand one message in and wait for the answer, 400 ms at most."""
        name = uuid.uuid4().hex[:16]
        request = (f"POST /api/{key} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: {name}\r\nX-Class: {cls}\r\n"
                   f"X-Deadline-Ms: {deadline_ms}\r\nX-Consignee: dest={dest}\r\n"
                   + (f"Idempotency-Key: {uuid.uuid4().hex}\r\n" if token else "")
                   + f"Content-Length: {len(body)}\r\n\r\n").encode() + body
        one = self.handed[name] = Handed(name, cls, dest, key, self.record.add("hand in", id=name, cls=cls, dest=dest,
                                                                               key=key), deadline_ms / 1e3)
        for again in (False, True):  # once more on a new connection, where the courier closed a kept one meanwhile
            kept, pair = bool(self._idle) and not again, None
            try:
                async with asyncio.timeout(CLIENT_WAIT_S):
                    pair = self._idle.pop() if kept else await self._dial()
                    pair[1].write(request)
                    head = await pair[0].readuntil(b"\r\n\r\n")
                    length = next((int(line.split(b":")[1]) for line in head.lower().split(b"\r\n")
                                   if line.startswith(b"content-length:")), 0)
                    await pair[0].readexactly(length)
                one.status, one.answered_at = int(head[9:12]), self.record.now()
                if b"connection: close" in head.lower():
                    pair[1].close()
                else:
                    self._idle.append(pair)
                break
            except TimeoutError:
                if pair is not None:
                    pair[1].transport.abort()
                break
            except (OSError, asyncio.IncompleteReadError):
                if not kept:
                    break
        self.record.add("heard", id=name, status=one.status)
        return one

    async def _dial(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, _, port = self._address().rpartition(":")
        return await asyncio.open_connection(host, int(port))

    def close(self) -> None:
        """Close the kept connections."""
        for _, writer in self._idle:
            writer.close()
        self._idle.clear()


def free_address() -> str:
    """Return a free address on the loopback interface."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


def settings(**changes: Any) -> dict[str, Any]:
    """Return settings as those of a small deployment (WIRE, 'Settings')."""
    return {
        "accounts": [], "areas": ["building-a", "building-b"], "callers": {"marks_retry": True},
        "caps": {"cancel": True, "conn_idle_us": 10_000_000, "dial_timeout_us": 1_000_000,
                 "max_retry_after_us": 3_000_000, "max_streams": 8, "may_duplicate": True, "may_probe": True,
                 "may_tell": False, "most_tries": 12,
                 "open_cap": 298, "retry_after": False},
        "discovery": "automatic", "family": "deliver", "kinds": ["courier", "venue"], "locality": 0, "peers_total": 2,
        "prices": {"cross_zone": 0.01, "handshake": 0.06, "late_fail": 0.03, "probe": 0.01, "waste": 0.05},
        "report": {"columns": ["x0", "x1"], "source": "inline"},
        "rules": {"answer_slack_us": 20_000, "ask_within_us": 10_000_000, "cold_from": 0.27, "cold_us": 14_000_000,
                  "drain_grace_us": 250_000, "fall_multiple": 1.5, "order_settle_us": 300_000,
                  "overload_for_us": 3_000_000},
        "self_index": 0,
        "services": [
            {"by_arrival": True, "deadline_us": 28_000_000, "effect": "by_key", "group": "all",
             "key_ttl_us": 15_000_000, "late_value": 0.5, "name": "item-status", "promise_us": 2_500_000,
             "streaming": False, "worth": 1.0},
            {"deadline_us": 28_000_000, "effect": "once", "group": "all", "key_ttl_us": 5_000_000, "late_value": 0.3,
             "name": "return-fee", "promise_us": 3_000_000, "streaming": False, "worth": 3.0}],
        "specifics": {"calls_out": 23, "carriage": [0.0, 0.0], "kind_apart": [False, False], "late": "even",
                      "per_call": [5, 1], "refused_price": 0.0},
        "tick_us": 5_000, "weights": "off", "worth_by": "request", **changes}


class Courier:
    """One process of the courier `n1`, started with the `run` command of the deploy file."""

    def __init__(self, record: Record, folder: Path, agent: Agent, listen: str, console: str = "") -> None:
        self.record, self.folder, self.agent, self.listen, self.console = record, folder, agent, listen, console
        self.log: Path = folder / f"log-{uuid.uuid4().hex[:6]}.txt"
        (folder / "state").mkdir(exist_ok=True)
        (folder / "tmp").mkdir(exist_ok=True)

    def write_config(self, info: dict[str, Any]) -> None:
        """Write the configuration's file, replaced by rename."""
        data = {"name": "n1", "listen": self.listen, "discovery": self.agent.address, "seed": "8c1f30d27a5be964",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}, "known": self.agent.whole(),
                "settings": info, **({"console": self.console} if self.console else {})}
        (self.folder / "config.new").write_text(json.dumps(data), encoding="utf-8")
        (self.folder / "config.new").replace(self.folder / "config.json")

    async def start(self, ready_within_s: float = 20.0) -> None:
        """Start the process and wait until it is ready."""
        began = time.monotonic()
        await self.begin()
        until = began + ready_within_s
        while not await self.healthy():
            if self.process.returncode is not None or time.monotonic() > until:
                raise CannotRunError(f"the courier was not ready: {self.log.read_text()[-2000:]}")
            await asyncio.sleep(0.05)
        self.startup_s = time.monotonic() - began
        self.record.add("ready", pid=self.process.pid)

    async def begin(self) -> None:
        """Start the process."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"]
        env = {"PATH": os.environ.get("PATH", "/usr/bin:/bin"), "HOME": str(self.folder),
               "TMPDIR": str(self.folder / "tmp"), "RELAY_NAME": "n1",
               "RELAY_LISTEN": self.listen, "RELAY_DISCOVERY": self.agent.address,
               "RELAY_STATE": str(self.folder / "state"), "RELAY_CONFIG": str(self.folder / "config.json"),
               **({"RELAY_CONSOLE": self.console} if self.console else {})}
        with self.log.open("wb") as log:
            self.process = await asyncio.create_subprocess_exec("/bin/sh", "-c", run, cwd=ROOT, env=env, stdout=log,
                                                                stderr=log)
        self.record.add("start", pid=self.process.pid)

    async def healthy(self) -> bool:
        """Return whether `GET /healthz` answers 200."""
        try:
            async with asyncio.timeout(1.0):
                host, _, port = self.listen.rpartition(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False

    async def call(self, line: str) -> str:
        """Send one line to the second address and return the first line of the reply; empty without one."""
        try:
            async with asyncio.timeout(1.0):
                host, _, port = self.console.rpartition(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(line.encode() + b"\n")
                reply = (await reader.readline()).decode().strip()
                writer.close()
        except (OSError, TimeoutError):
            reply = ""
        if line != "readyz":
            self.record.add("console", pid=self.process.pid, line=line, reply=reply)
        return reply

    async def wait_yes(self, within_s: float = 10.0) -> None:
        """Wait until `readyz` says yes."""
        until = time.monotonic() + within_s
        while not (await self.call("readyz")).startswith("+OK"):
            if time.monotonic() > until:
                raise CannotRunError(f"the courier did not say yes: {self.log.read_text()[-2000:]}")
            await asyncio.sleep(0.05)
        self.record.add("yes", pid=self.process.pid)

    def send(self, number: signal.Signals) -> None:
        """Send a signal."""
        if self.process.returncode is None:
            self.record.add("signal", pid=self.process.pid, signal=number.name)
            self.process.send_signal(number)

    async def end(self) -> None:
        """SIGTERM, and SIGKILL 3.7 s later."""
        self.send(signal.SIGTERM)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(3.7):
                await self.process.wait()
        await self.kill()

    async def kill(self) -> None:
        """SIGKILL, if it still runs."""
        if self.process.returncode is None:
            self.send(signal.SIGKILL)
            await self.process.wait()
        self.record.add("ended", pid=self.process.pid, code=self.process.returncode)


class Scene:
    """What a case uses, and the end of it all."""

    def __init__(self, folder: Path) -> None:
        """`folder` is the case's own: `record.txt` goes there."""
        self.out, self.record = folder, Record()
        self.tmp = Path(tempfile.mkdtemp(prefix="review-"))
        self.agent = Agent(self.record)
        self.endpoints: dict[str, Endpoint] = {}
        self.couriers: list[Courier] = []
        self._opened = False
        self.listen = free_address()
        self.client = Client(self.record, lambda: self.listen)

    def endpoint(self, name: str, block: int, kind: str = "venue", pace_s: float = 0.25) -> Endpoint:
        """Add an endpoint."""
        one = self.endpoints[name] = Endpoint(self.record, name, block, kind, pace_s)
        return one

    async def open(self) -> None:
        """Start endpoints and the platform."""
        for one in self.endpoints.values():
            await one.start()
        await self.agent.start()
        self._opened = True
        self.agent.list(*self.endpoints.values())

    def courier(self, console: bool = True) -> Courier:
        """Return one more process of the courier, not started."""
        one = Courier(self.record, self.tmp, self.agent, self.listen, free_address() if console else "")
        self.couriers.append(one)
        return one

    def delivered(self, name: str) -> float | None:
        """Return when a 200 for the message was written, None if there was none."""
        return next((row["t"] for row in self.record.rows
                     if row["what"] == "answer" and row["status"] == 200 and name in row["ids"]), None)

    def runs(self, name: str) -> list[dict[str, Any]]:
        """Return the runs of a message."""
        return [row for row in self.record.rows if row["what"] == "run" and name in row["ids"]]

    async def close(self) -> None:
        """End every process that was started, and write the record."""
        for one in self.couriers:
            if hasattr(one, "process") and one.process.returncode is None:
                one.process.kill()
                await one.process.wait()
        if self._opened:
            for endpoint in self.endpoints.values():
                endpoint.close()
            self.agent.close()
        self.client.close()
        for one in self.couriers:
            if one.log.exists():
                for line in one.log.read_text(errors="replace").splitlines()[-60:]:
                    self.record.rows.append({"log of": getattr(getattr(one, "process", None), "pid", 0), "line": line})
        self.record.write(self.out / "record.txt")
        shutil.rmtree(self.tmp, ignore_errors=True)


def play(folder: Path, case: Callable[[Scene, bool], Awaitable[list[str]]]) -> int:
    """Play a case: 1 with a line for each breach of the rule, 0 if it held, 2 if the case could not run, also where a
    signal ends it or it fails itself."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def work() -> int:
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):  # what was started is ended then, too
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        scene = Scene(folder)
        try:
            async with asyncio.timeout(LONGEST_S):
                broken = await case(scene, trouble)
        finally:
            await scene.close()
        for line in broken[:20]:
            print(line)
        print(f"{'broken' if broken else 'held'}: {len(broken)} breaches")
        return 1 if broken else 0
    try:
        return asyncio.run(work())
    except (Exception, asyncio.CancelledError) as error:  # 1 would say that the rule was broken
        if not isinstance(error, CannotRunError):
            traceback.print_exc()
        print(f"could not run: {error!r}", file=sys.stderr)
        return 2
