"""The platform on loopback: discovery's agent and the place for notices, one address for each courier."""

from __future__ import annotations

import asyncio
import json
import urllib.parse
from collections.abc import Callable
from typing import Any

from wheelstep.rehearsal.history import History, Notice, Strange, Told
from wheelstep.rehearsal.standins.wire import Port, Request, Server

_ALIVE_S = 2.0  # an empty line so often on a watch
_TOLD_LATEST_US = 6_000_000  # a change counts as told so long after it, whether or not it arrived
OUTCOMES = ("given_up", "handed_back")
Row = dict[str, Any]


def row(host: str, dial: str, block: int, kind: str, health: str = "SERVING", site: str = "a") -> Row:
    """A line of discovery's list."""
    return {"host": host, "dial": dial, "site": site, "class": kind, "block": block, "health": health, "share": 1.0,
            "born_ms": 0}


class Agent:
    """What one courier sees of the platform. `heard` is called with each notice that is answered."""

    def __init__(self, courier: str, history: History, now_us: Callable[[], int],
                 heard: Callable[[str, dict[str, Any]], None] | None = None) -> None:
        self.courier, self._history, self._now_us, self._heard = courier, history, now_us, heard
        self.hosts: dict[str, Row] = {}  # the list as this courier last had it
        self.seq = 1
        self.down = False
        self.takes_notices = True
        self.asked_after: list[int] = []  # the version that each watch began with
        self._unsent: list[Row] = []  # changes that came while discovery was down
        self._watches: set[_Connection] = set()
        self._told: dict[str, str] = {}
        self.port = Port(lambda: _Connection(self))
        self._alive: asyncio.Task[None] | None = None

    async def open(self) -> None:
        """Listen."""
        await self.port.listen()
        self._alive = asyncio.create_task(self._stay_alive())

    def close(self) -> None:
        """For good."""
        if self._alive is not None:
            self._alive.cancel()
        for watch in list(self._watches):
            watch.abort()
        self.port.close()

    def whole(self) -> dict[str, Any]:
        """The whole list, as a courier finds it in its configuration."""
        return {"seq": self.seq, "whole": True, "hosts": list(self.hosts.values())}

    def change(self, *rows: Row) -> None:
        """Tell of changes, now or when discovery is back."""
        if self.down:
            self._unsent += rows
            loop = asyncio.get_running_loop()
            for changed in rows:
                loop.call_later(_TOLD_LATEST_US / 1e6, self._note, changed)
            return
        self.seq += 1
        for changed in rows:
            if changed["health"] == "DELETED":
                self.hosts.pop(changed["host"], None)
            else:
                self.hosts[changed["host"]] = changed
            if self._watches:
                self._note(changed)
            else:
                asyncio.get_running_loop().call_later(_TOLD_LATEST_US / 1e6, self._note, changed)
        self.say(json.dumps({"seq": self.seq, "whole": False, "hosts": list(rows)}).encode() + b"\n")

    def _note(self, changed: Row) -> None:
        """It was told, or counts as told."""
        if self._told.get(changed["host"]) != changed["health"]:
            self._told[changed["host"]] = changed["health"]
            self._history.add(Told(self._now_us(), self.courier, changed["host"], changed["health"]))

    def back(self) -> None:
        """Discovery is up again."""
        self.down = False
        for watch in self._watches:
            watch.begin()
        if self._unsent:
            rows, self._unsent = self._unsent, []
            self.change(*rows)

    def say(self, line: bytes) -> None:
        """Write a line to every watch, whatever it holds."""
        for watch in self._watches:
            watch.line(line)

    async def _stay_alive(self) -> None:
        while True:
            await asyncio.sleep(_ALIVE_S)
            if not self.down:
                for watch in self._watches:
                    watch.line(b"\n")

    def watch(self, connection: _Connection) -> None:
        """A courier asks to be told; it hears the whole list first."""
        self._watches.add(connection)
        self.asked_after.append(connection.after)
        if not self.down:
            connection.begin()

    def unwatch(self, connection: _Connection) -> None:
        """Its connection has ended."""
        self._watches.discard(connection)

    def send_whole(self, connection: _Connection) -> None:
        """Write the list as it stands."""
        for host in self.hosts.values():
            self._note(host)
        for name, state in list(self._told.items()):
            if name not in self.hosts and state != "DELETED":
                self._note({"host": name, "health": "DELETED"})
        connection.line(json.dumps(self.whole()).encode() + b"\n")

    def notices(self, body: bytes) -> int:
        """Take notices; the status to answer."""
        if not self.takes_notices:
            return 503
        try:
            lines = [json.loads(line) for line in body.splitlines() if line.strip()]
            taken = [(str(line["message"]), str(line["outcome"]), int(line.get("retry_in_ms", 0))) for line in lines]
            if any(outcome not in OUTCOMES for _, outcome, _ in taken):
                raise ValueError("no such outcome")
        except (ValueError, KeyError, TypeError) as error:
            self._history.add(Strange(self._now_us(), self.courier, "the platform", f"a bad notice: {error}"))
            return 400
        now_us = self._now_us()
        for (message, outcome, retry_ms), line in zip(taken, lines, strict=True):
            self._history.add(Notice(now_us, self.courier, message, outcome, retry_ms * 1000))
            if self._heard is not None:
                self._heard(self.courier, line)
        return 204


class _Connection(Server):
    """One connection of a courier to its agent."""

    def __init__(self, agent: Agent) -> None:
        super().__init__()
        self._agent = agent
        self._begun = False
        self.after = 0

    def requested(self, request: Request) -> None:
        path, _, query = request.target.partition("?")
        if request.method == "POST" and path == "/v1/outcomes":
            self.answer(self._agent.notices(request.body))
        elif request.method == "GET" and path == "/v1/servers" and "watch=1" in query:
            self.after = int(urllib.parse.parse_qs(query).get("after", ["0"])[0] or 0)
            self._agent.watch(self)
        elif request.method == "GET" and path == "/v1/servers":
            self.answer(200, {"Content-Type": "application/json"}, json.dumps(self._agent.whole()).encode())
        else:
            self.answer(404)

    def begin(self) -> None:
        """The head and the whole list, once."""
        if not self._begun:
            self._begun = True
            self.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._agent.send_whole(self)

    def line(self, data: bytes) -> None:
        """One line of the watch, if it has begun."""
        if self._begun:
            self.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")

    def lost(self) -> None:
        self._agent.unwatch(self)
