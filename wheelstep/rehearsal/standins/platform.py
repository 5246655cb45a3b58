"""The platform on loopback: discovery's agent and the receiver of notifications, one address per courier."""

from __future__ import annotations

import asyncio
import functools
import json
import urllib.parse
from collections.abc import Callable
from typing import Any

from wheelstep.rehearsal.history import History, Notice, Strange, Told
from wheelstep.rehearsal.standins.wire import Port, Request, Server

_HEARTBEAT_S = 2.0  # interval of empty lines on a watch
_ASSUMED_TOLD_US = 6_000_000  # a change counts as told after this time, even with no watch or discovery down
OUTCOMES = ("given_up", "handed_back")
Row = dict[str, Any]


def row(host: str, dial: str, block: int, kind: str, health: str = "SERVING", site: str = "a") -> Row:
    """Return an endpoint's row of discovery's list: `dial` is its address, `block` its destination."""
    return {"host": host, "dial": dial, "site": site, "class": kind, "block": block, "health": health, "share": 1.0,
            "born_ms": 0}


class Agent:
    """Discovery's agent of one courier. `on_notice` is called with each accepted notification.

    `down` stops lists and changes on watches, but a list request without a watch is still answered. With
    `accepts_notices` off, notifications are answered 503. With `copy_delay_s`, answers to notifications and lines of
    watches are sent a second time after that delay.
    """

    def __init__(self, courier: str, history: History, now_us: Callable[[], int],
                 on_notice: Callable[[str, dict[str, Any]], None] | None = None) -> None:
        self.courier, self._history, self._now_us, self._on_notice = courier, history, now_us, on_notice
        self.hosts: dict[str, Row] = {}  # the present list, without unsent changes
        self.seq = 1
        self.down = False
        self.accepts_notices = True
        self.copy_delay_s: float | None = None
        self.watch_versions: list[int] = []  # the version that each watch asked to start after
        self._unsent: list[Row] = []  # changes made while discovery was down
        self._watches: set[_Connection] = set()
        self._told: dict[str, str] = {}
        self.port = Port(lambda: _Connection(self))
        self._heartbeats: asyncio.Task[None] | None = None

    async def open(self) -> None:
        """Listen and send heartbeats."""
        await self.port.listen()
        self._heartbeats = asyncio.create_task(self._send_heartbeats())

    def close(self) -> None:
        """Reset all watches and release the port."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        for watch in list(self._watches):
            watch.abort()
        self.port.close()

    def full_list(self) -> dict[str, Any]:
        """Return the full list, as in a courier's configuration."""
        return {"seq": self.seq, "whole": True, "hosts": list(self.hosts.values())}

    def change(self, *rows: Row) -> None:
        """Apply changes and send them to all watches, now or after `restore`."""
        if self.down:
            self._unsent += rows
            loop = asyncio.get_running_loop()
            for changed in rows:
                loop.call_later(_ASSUMED_TOLD_US / 1e6, self._record_told, changed)
            return
        self.seq += 1
        for changed in rows:
            if changed["health"] == "DELETED":
                self.hosts.pop(changed["host"], None)
            else:
                self.hosts[changed["host"]] = changed
            if self._watches:
                self._record_told(changed)
            else:
                asyncio.get_running_loop().call_later(_ASSUMED_TOLD_US / 1e6, self._record_told, changed)
        self.broadcast(json.dumps({"seq": self.seq, "whole": False, "hosts": list(rows)}).encode() + b"\n")

    def _record_told(self, changed: Row) -> None:
        """Record that the courier was told of a change, or counts as told."""
        if self._told.get(changed["host"]) != changed["health"]:
            self._told[changed["host"]] = changed["health"]
            self._history.add(Told(self._now_us(), self.courier, changed["host"], changed["health"]))

    def restore(self) -> None:
        """Bring discovery back: send the full list to new watches, then the unsent changes to all."""
        self.down = False
        for watch in self._watches:
            watch.start()
        if self._unsent:
            rows, self._unsent = self._unsent, []
            self.change(*rows)

    def broadcast(self, line: bytes) -> None:
        """Send a line to every watch; the content isn't checked."""
        for watch in self._watches:
            watch.send_line(line)

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(_HEARTBEAT_S)
            if not self.down:
                for watch in self._watches:
                    watch.send_line(b"\n")

    def add_watch(self, connection: _Connection) -> None:
        """Add a watch; the full list is sent first unless discovery is down."""
        self._watches.add(connection)
        self.watch_versions.append(connection.after)
        if not self.down:
            connection.start()

    def remove_watch(self, connection: _Connection) -> None:
        """Remove a watch whose connection has closed."""
        self._watches.discard(connection)

    def send_full_list(self, connection: _Connection) -> None:
        """Send the full list on a watch, and record what it tells."""
        for host in self.hosts.values():
            self._record_told(host)
        for name, state in list(self._told.items()):
            if name not in self.hosts and state != "DELETED":
                self._record_told({"host": name, "health": "DELETED"})
        connection.send_line(json.dumps(self.full_list()).encode() + b"\n")

    def accept_notices(self, body: bytes) -> int:
        """Record notifications and return the status to answer: 204, 400 if malformed, 503 if not accepted."""
        if not self.accepts_notices:
            return 503
        try:
            lines = [json.loads(line) for line in body.splitlines() if line.strip()]
            taken = [(str(line["message"]), str(line["outcome"]), int(line.get("retry_in_ms", 0))) for line in lines]
            if any(outcome not in OUTCOMES for _, outcome, _ in taken):
                raise ValueError("no such outcome")
        except (ValueError, KeyError, TypeError) as error:
            self._history.add(Strange(self._now_us(), self.courier, "the platform",
                                      f"a malformed notification: {error}"))
            return 400
        now_us = self._now_us()
        for (message, outcome, retry_ms), line in zip(taken, lines, strict=True):
            self._history.add(Notice(now_us, self.courier, message, outcome, retry_ms * 1000))
            if self._on_notice is not None:
                self._on_notice(self.courier, line)
        return 204


class _Connection(Server):
    """One connection of a courier to its agent; `after` is the version that a watch starts after."""

    def __init__(self, agent: Agent) -> None:
        super().__init__()
        self._agent = agent
        self._started = False
        self.after = 0

    def on_request(self, request: Request) -> None:
        """Accept notifications, open a watch, or answer with the full list."""
        path, _, query = request.target.partition("?")
        if request.method == "POST" and path == "/v1/outcomes":
            self._send_twice(functools.partial(self.answer, self._agent.accept_notices(request.body)))
        elif request.method == "GET" and path == "/v1/servers" and "watch=1" in query:
            self.after = int(urllib.parse.parse_qs(query).get("after", ["0"])[0] or 0)
            self._agent.add_watch(self)
        elif request.method == "GET" and path == "/v1/servers":
            self.answer(200, {"Content-Type": "application/json"}, json.dumps(self._agent.full_list()).encode())
        else:
            self.answer(404)

    def start(self) -> None:
        """Send the response's head and the full list, once."""
        if not self._started:
            self._started = True
            self.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._agent.send_full_list(self)

    def send_line(self, data: bytes) -> None:
        """Send one line on the watch if it has started."""
        if self._started:
            self._send_twice(functools.partial(self.write, f"{len(data):x}\r\n".encode() + data + b"\r\n"))

    def _send_twice(self, send: Callable[[], None]) -> None:
        """Send, and send again later while the agent copies what it sends."""
        send()
        if self._agent.copy_delay_s is not None:
            asyncio.get_running_loop().call_later(self._agent.copy_delay_s, send)

    def on_disconnect(self) -> None:
        """Remove the watch."""
        self._agent.remove_watch(self)
