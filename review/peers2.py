"""Stand-ins for the cases of the second review: endpoints, the platform, clients, and the courier's own process.

Written from the protocol and deployment pages, on the standard library alone. Everything listens on loopback addresses,
on free ports. All stand-ins of a case run in one process, which writes what it saw to the case's `record.txt`.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes: the rule held, was broken, the case couldn't run
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMIT_S = 110.0  # of a whole case

Reply = tuple[int, dict[str, str], bytes]


class CannotRunError(Exception):
    """The scene of the case did not come about."""


class Record:
    """The record of a case: one line for each thing that was sent, answered or run, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the case began."""
        return time.monotonic() - self._began

    def line(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():9.4f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


async def read_head(reader: asyncio.StreamReader) -> tuple[list[str], dict[str, str]]:
    """Return the words of the first line and the headers of a request or an answer."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {name.strip().lower(): value.strip()
               for name, _, value in (line.partition(":") for line in head[1:] if line)}
    return head[0].split(" ", 2), headers


def render(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return an answer's bytes."""
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in headers.items()),
             f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


class Call:
    """One call that an endpoint got: its messages by id, and the times of its first and last byte."""

    def __init__(self, endpoint: str, target: str, headers: dict[str, str], body: bytes, at: float) -> None:
        self.endpoint, self.target, self.headers, self.body, self.at = endpoint, target, headers, body, at
        self.messages = _messages(target, headers, body)


def _messages(target: str, headers: dict[str, str], body: bytes) -> list[str]:
    if target == "/inbox":
        return [headers["x-request-id"]]
    found, rest = [], body
    while rest:
        line, _, rest = rest.partition(b"\r\n")
        name, _, size = line.decode().split(" ")
        found.append(name)
        rest = rest[int(size) + 2:]
    return found


class Endpoint:
    """An endpoint. `reply` returns the answer to a call; None for none at all. `reset` as an answer resets the
    connection after the call's last byte."""

    def __init__(self, name: str, record: Record, delay_s: float = 0.02) -> None:
        self.name, self.record, self.delay_s = name, record, delay_s
        self.calls: list[Call] = []
        self.reply: Callable[[Call], Awaitable[Reply | str | None]] = self._fine
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def _fine(self, call: Call) -> Reply | str | None:
        await asyncio.sleep(self.delay_s)
        return self.delivered(call)

    @staticmethod
    def delivered(call: Call) -> Reply:
        """Return the answer that says that all messages of a call are delivered."""
        if call.target == "/inbox":
            return 200, {}, b""
        return 200, {}, b"".join(f"{name} delivered\r\n".encode() for name in call.messages)

    async def start(self) -> str:
        """Listen on a free port and return the address."""
        self._server, self.address = await listen(self._serve)
        return self.address

    async def start_again(self) -> None:
        """Listen at the same address again."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                words, headers = await read_head(reader)
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                if words[0] != "POST" or words[1] not in ("/inbox", "/inbox/bulk"):
                    writer.write(render(200 if words[1] == "/healthz" else 404, {}, b""))
                    continue
                call = Call(self.name, words[1], headers, body, self.record.now())
                self.calls.append(call)
                self.record.line(f"{self.name} got {words[1]} with {' '.join(call.messages)}")
                answer = await self.reply(call)
                if answer is None:
                    continue
                if isinstance(answer, str):
                    self.record.line(f"{self.name} resets {' '.join(call.messages)}")
                    writer.get_extra_info("socket").setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
                    writer.transport.abort()
                    return
                self.record.line(f"{self.name} answers {answer[0]} {answer[1] or ''} to {' '.join(call.messages)}")
                writer.write(render(*answer))
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


class Platform:
    """Discovery's agent and the receiver of notices, at one address. While `silent` it accepts connections and says
    nothing about the list; notices are answered as ever."""

    def __init__(self, name: str, record: Record) -> None:
        self.name, self.record = name, record
        self.hosts: dict[str, dict[str, Any]] = {}
        self.seq, self.silent, self.address = 1, False, ""
        self.notices: dict[str, tuple[float, dict[str, Any]]] = {}
        self.told: dict[str, tuple[float, str]] = {}  # endpoint: when the courier was told last, and its state
        self.watches: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._beat: asyncio.Task[None] | None = None

    def whole(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"seq": self.seq, "whole": True, "hosts": list(self.hosts.values())}

    def change(self, *rows: dict[str, Any]) -> None:
        """Apply changes and write them to the open watches."""
        self.seq += 1
        for row in rows:
            if row["health"] == "DELETED":
                self.hosts.pop(row["host"], None)
            else:
                self.hosts[row["host"]] = row
        self._write({"seq": self.seq, "whole": False, "hosts": list(rows)})

    def _write(self, found: dict[str, Any]) -> None:
        for watch in self.watches:
            self._line(watch, json.dumps(found).encode() + b"\n")
            for row in found["hosts"]:
                if self.told.get(row["host"], (0.0, "SERVING"))[1] != row["health"]:
                    self.told[row["host"]] = self.record.now(), row["health"]
        changed = [f"{row['host']} {row['health']}" for row in found["hosts"]]
        if self.watches and not found["whole"]:
            text = ", ".join(changed[:8]) + (f" and {len(changed) - 8} more" if len(changed) > 8 else "")
            self.record.line(f"{self.name} tells {text}")

    @staticmethod
    def _line(writer: asyncio.StreamWriter, data: bytes) -> None:
        writer.write(b"%x\r\n" % len(data) + data + b"\r\n")

    async def start(self) -> str:
        """Listen on a free port and return the address."""
        self._server, self.address = await listen(self._serve)
        self._beat = asyncio.create_task(self._beats())
        return self.address

    async def _beats(self) -> None:
        while True:
            await asyncio.sleep(2.0)
            for watch in self.watches if not self.silent else ():
                self._line(watch, b"\n")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                words, headers = await read_head(reader)
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                path, _, query = words[1].partition("?")
                if words[0] == "POST" and path == "/v1/outcomes":
                    for line in body.splitlines():
                        found = json.loads(line)
                        self.notices.setdefault(found["message"], (self.record.now(), found))
                        self.record.line(f"{self.name} gets the notice {found['outcome']} for {found['message']}")
                    writer.write(b"HTTP/1.1 204 X\r\n\r\n")
                elif self.silent:
                    self.record.line(f"{self.name} is silent on {words[1]}")
                elif path == "/v1/servers" and "watch=1" in query:
                    writer.write(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n")
                    self._line(writer, json.dumps(self.whole()).encode() + b"\n")
                    self.watches.add(writer)
                    self.record.line(f"{self.name} answers a watch with list {self.seq}, {len(self.hosts)} entries")
                else:
                    writer.write(render(200, {}, json.dumps(self.whole()).encode()))
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            self.watches.discard(writer)
            writer.close()

    def refuse_new(self) -> None:
        """Take no new connection."""
        if self._server is not None:
            self._server.close()
        self.record.line(f"{self.name} takes no new connection")

    def stop(self) -> None:
        """Take no new connection, and close the open ones."""
        if self._beat is not None:
            self._beat.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


def row(host: str, dial: str, block: int, health: str = "SERVING", kind: str = "k", site: str = "a") -> dict[str, Any]:
    """Return an entry of the list."""
    return {"host": host, "dial": dial, "site": site, "class": kind, "block": block, "health": health, "share": 1.0,
            "born_ms": 0}


_SLICE = 1_000  # ports that one case has to itself
_slice: list[socket.socket] = []  # holds the first port of this case's slice, so that no other case takes from it
_given_ports: set[int] = set()


def _first_port() -> int:
    """Return the first port of this case's slice. The slices lie below the ports that the system gives to outgoing
    connections, so that a port stays free for the case."""
    while not _slice:
        held = socket.socket()
        try:
            held.bind(("127.0.0.1", 20_000 + _SLICE * random.SystemRandom().randrange(12)))
            held.listen(1)
            _slice.append(held)
        except OSError:
            held.close()
    return int(_slice[0].getsockname()[1])


def free_port() -> int:
    """Return a port that is free now."""
    first = _first_port()
    while True:
        port = first + random.SystemRandom().randrange(1, _SLICE)
        if port in _given_ports:
            continue
        _given_ports.add(port)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return port
        if len(_given_ports) >= _SLICE - 1:
            raise CannotRunError("no port is free")


async def listen(serve: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
                 ) -> tuple[asyncio.Server, str]:
    """Listen on a free port; return the server and its address."""
    while True:
        port = free_port()
        with contextlib.suppress(OSError):
            return await asyncio.start_server(serve, "127.0.0.1", port), f"127.0.0.1:{port}"


def settings(services: list[dict[str, Any]], slots: int = 16, hold: int = 100, per_call: int = 1) -> dict[str, Any]:
    """Return the settings of a small deployment with these classes."""
    return {
        "services": services, "kinds": ["k"], "areas": ["a"], "peers_total": 2, "locality": 0, "self_index": 0,
        "specifics": {"calls_out": slots, "per_call": [per_call], "kind_apart": [False], "late": "even"},
        "report": {"columns": ["x0", "x1"], "source": "inline"}, "discovery": "automatic", "weights": "off",
        "caps": {"open_cap": hold, "most_tries": 12, "conn_idle_us": 10_000_000, "dial_timeout_us": 1_000_000,
                 "may_duplicate": True, "may_probe": True, "retry_after": False, "max_retry_after_us": 3_000_000},
        "rules": {"order_settle_us": 300_000, "cold_us": 14_000_000, "cold_from": 0.27, "fall_multiple": 1.5,
                  "overload_for_us": 3_000_000, "drain_grace_us": 250_000, "answer_slack_us": 5_000},
        "tick_us": 5_000,
    }


def service(name: str, effect: str, promise_ms: int = 2_500, deadline_ms: int = 12_000, ordered: bool = False,
            worth: float = 1.0) -> dict[str, Any]:
    """Return a class of the settings."""
    found: dict[str, Any] = {"name": name, "promise_us": promise_ms * 1000, "deadline_us": deadline_ms * 1000,
                             "effect": effect, "worth": worth, "late_value": 0.5, "streaming": False,
                             "by_arrival": ordered}
    if effect == "by_key":
        found |= {"group": "all", "key_ttl_us": 15_000_000}
    return found


class Courier:
    """One courier as on the platform: started by the `run` command of the deploy file."""

    def __init__(self, name: str, folder: Path, record: Record, config: dict[str, Any], console: bool = False,
                 operator: Path | None = None) -> None:
        self.name, self.folder, self.record, self.operator = name, folder, record, operator
        self.listen = f"127.0.0.1:{free_port()}"
        self.console = f"127.0.0.1:{free_port()}" if console else ""
        self.config = {"name": name, "listen": self.listen, "seed": "8c1f30d27a5be964",
                       "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}, **config,
                       **({"console": self.console} if console else {})}
        self.process: asyncio.subprocess.Process | None = None
        self.log: list[str] = []
        self._reading: asyncio.Task[None] | None = None
        (folder / "state").mkdir(parents=True, exist_ok=True)
        (folder / "tmp").mkdir(exist_ok=True)

    def successor(self) -> Courier:
        """Return a new version on the same folder and addresses, with a second address of its own; not started."""
        after = Courier(self.name, self.folder, self.record, {}, True, self.operator)
        after.listen = self.listen
        after.config = {**self.config, "console": after.console}
        return after

    def write_config(self) -> None:
        """Replace the file of the configuration."""
        (self.folder / "config.new").write_text(json.dumps(self.config), encoding="utf-8")
        (self.folder / "config.new").replace(self.folder / "config.json")

    async def start(self) -> None:
        """Start the process."""
        if not (self.folder / "config.json").exists():
            self.write_config()
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"]
        env = {"PATH": os.environ.get("PATH", ""), "RELAY_NAME": self.name, "RELAY_LISTEN": self.listen,
               "RELAY_DISCOVERY": self.config["discovery"], "RELAY_STATE": str(self.folder / "state"),
               "RELAY_CONFIG": str(self.folder / "config.json"), "TMPDIR": str(self.folder / "tmp"),
               **({"RELAY_CONSOLE": self.console} if self.console else {}),
               **({"UMBERCHUTE_OPERATOR": str(self.operator)} if self.operator else {})}
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.DEVNULL, stderr=asyncio.subprocess.PIPE)
        _started.append(self.process)
        self.record.line(f"process {self.process.pid} of {self.name} is started, discovery {self.config['discovery']}")
        self._reading = asyncio.create_task(self._read())

    async def _read(self) -> None:
        assert self.process is not None and self.process.stderr is not None
        while data := await self.process.stderr.readline():
            self.log.append(data.decode("utf-8", "replace").rstrip())
            for seen, event in self._awaited:
                if seen in self.log[-1]:
                    event.set()

    @property
    def _awaited(self) -> list[tuple[str, asyncio.Event]]:
        return self.__dict__.setdefault("_events", [])

    def on_log(self, text: str) -> asyncio.Event:
        """Return an event that is set once a later line of the log has this text."""
        event = asyncio.Event()
        self._awaited.append((text, event))
        return event

    async def ready(self, within_s: float = 30.0) -> None:
        """Wait until the courier answers that it is ready."""
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection(*self.listen.split(":"))
                    try:
                        writer.write(b"GET /healthz HTTP/1.1\r\nHost: origin.svc\r\n\r\n")
                        words, _ = await read_head(reader)
                    finally:
                        writer.close()
                    if words[1] == "200":
                        self.record.line(f"{self.name} is ready")
                        return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{self.name} is not ready: {self.log[-3:]}")

    async def call(self, line: str) -> str:
        """Send one line to the second address and return the reply."""
        async with asyncio.timeout(2.0):
            reader, writer = await asyncio.open_connection(*self.console.split(":"))
            try:
                writer.write(line.encode() + b"\n")
                return (await reader.read()).decode()
            finally:
                writer.close()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process that `run` started."""
        assert self.process is not None
        self.record.line(f"{number.name} to process {self.process.pid} of {self.name}")
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def ended(self, within_s: float = 10.0) -> int:
        """Wait until the process has ended and return its code."""
        assert self.process is not None
        return await asyncio.wait_for(self.process.wait(), within_s)

    async def hand_in(self, message: str, cls: str, dest: int, deadline_ms: int, key: str = "",
                      token: str | None = None, body: bytes = b"{}") -> int:
        """Hand in one message on a connection of its own, as a client does; 0 if there was no answer in 400 ms."""
        path = f"/api/{key}" if key else "/api/"
        head = [f"POST {path} HTTP/1.1", "Host: origin.svc", f"X-Request-Id: {message}", f"X-Class: {cls}",
                f"X-Deadline-Ms: {deadline_ms}", f"X-Consignee: dest={dest}", f"Content-Length: {len(body)}"]
        if token is not None:
            head.append(f"Idempotency-Key: {token}")
        status = 0
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            reader, writer = await asyncio.open_connection(*self.listen.split(":"))
            try:
                async with asyncio.timeout(0.4):
                    writer.write("\r\n".join([*head, "", ""]).encode() + body)
                    words, headers = await read_head(reader)
                    await reader.readexactly(int(headers.get("content-length", "0")))
                    status = int(words[1])
            finally:
                writer.close()
        keyed = f" of key {key}" if key else ""
        self.record.line(f"client hands in {message}{keyed} ({cls}, dest {dest}): {status or 'no answer'}")
        return status


_started: list[asyncio.subprocess.Process] = []


async def start_process(record: Record, what: str, *command: str) -> asyncio.subprocess.Process:
    """Start a stand-in that needs a process of its own; it is ended with the case at the latest."""
    process = await asyncio.create_subprocess_exec(*command, stdin=asyncio.subprocess.DEVNULL)
    _started.append(process)
    record.line(f"process {process.pid} is {what}")
    return process


def run_case(folder: Path, case: Callable[[Record, Path], Coroutine[Any, Any, str]]) -> None:
    """Run a case and exit. `case` returns what broke the rule, an empty text if it held."""
    record = Record(folder)
    work = Path(tempfile.mkdtemp(prefix="review-"))
    code = NOT_RUN

    async def bounded() -> str:
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            async with asyncio.timeout(LIMIT_S):
                return await case(record, work)
        finally:
            for process in _started:
                if process.returncode is None:
                    with contextlib.suppress(ProcessLookupError):
                        process.kill()
            for process in _started:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(process.wait(), 5)
    try:
        record.line(f"TROUBLE={int(TROUBLE)}")
        broken = asyncio.run(bounded())
        verdict, code = (f"broken: {broken}", BROKEN) if broken else ("held", HELD)
    except BaseException as error:  # also a fault of the script: it must not look like a broken rule
        verdict = f"could not run: {error!r}"
    record.line(f"verdict: {verdict}")
    record.close()
    shutil.rmtree(work, ignore_errors=True)
    print(f"verdict: {verdict}")
    sys.exit(code)
