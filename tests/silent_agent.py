"""A stand-in for discovery's agent with scripted faults: each watch that is opened behaves as the next word of a
script.
"""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import Callable, Iterable
from typing import Any

from loopback import LIMIT_S, host

from wheelstep import interface as api
from wheelstep.courier.config import Address, Names
from wheelstep.courier.watch import Watch
from wheelstep.rehearsal.standins.wire import Port, Request, Server

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
HEARTBEAT_S = 2.0


def changes(seq: int, whole: bool = False, **fields: Any) -> dict[str, Any]:
    """Return a list of discovery with one endpoint, named after the version."""
    return {"seq": seq, "whole": whole, "hosts": [host(f"e{seq}", "127.0.0.1:1")], **fields}


class Clock:
    """The event loop's time, less the time for which it was blocked: a busy machine must not count as a late
    courier."""

    blocked_s = 0.0

    @classmethod
    async def run(cls) -> None:
        """Measure for good how long the event loop is blocked."""
        loop = asyncio.get_running_loop()
        while True:
            until_s = loop.time() + 0.05
            await asyncio.sleep(0.05)
            cls.blocked_s += max(0.0, loop.time() - until_s - 0.01)

    @classmethod
    def now_s(cls) -> float:
        """Return the loop's time without the blocked time."""
        return asyncio.get_running_loop().time() - cls.blocked_s


class AgentConnection(Server):
    """One connection of a courier. Words: `well` (list and heartbeats), `mute` (no head), `head` (nothing after the
    head), `dribble` (every 0.2 s a byte of a line that never ends), `half` (half a line), `spaces` (every 0.2 s a
    space, no line end), `full` (503), `break` (a reset)."""

    def __init__(self, agent: SilentAgent) -> None:
        super().__init__()
        self.agent, self.word, self.posts = agent, "", 0
        self._task: asyncio.Task[None] | None = None

    def on_request(self, request: Request) -> None:
        """Record a notification, or open a watch with the script's next word."""
        if request.method == "POST":
            self.posts += 1
            self.agent.noticed(self, request.body)
            self.agent.news.set()
            return
        self.agent.opened.append((self, int(request.target.rpartition("=")[2])))
        self.agent.at.append(asyncio.get_running_loop().time())
        self.agent.news.set()
        self.play(next(self.agent.script, self.agent.last))

    def play(self, word: str) -> None:
        """Behave as the word says from now on."""
        self.word = word
        if word in ("full", "break"):
            self.answer(503) if word == "full" else self.abort()
        elif word != "mute":
            self.write(HEAD)
            if word in ("well", "half"):
                line = json.dumps(changes(self.agent.seq, whole=True)).encode() + b"\n"
                self.say(line if word == "well" else line[:40])
            if word in ("well", "dribble", "spaces"):
                self._task = asyncio.create_task(self._keep_sending(word))

    async def _keep_sending(self, word: str) -> None:
        self.say(b'{"seq":9,"x":"' if word == "dribble" else b" ")
        while True:
            await asyncio.sleep(HEARTBEAT_S if word == "well" else 0.2)
            self.say({"well": b"\n", "dribble": b"a"}.get(word, b" "))

    def say(self, data: bytes) -> None:
        """Send the data as one chunk."""
        if data:
            self.write(b"%x\r\n%s\r\n" % (len(data), data))

    def hush(self) -> None:
        """Send nothing more, and keep the connection open."""
        if self._task is not None:
            self._task.cancel()

    def on_disconnect(self) -> None:
        """Stop sending on a closed connection."""
        self.hush()
        self.agent.news.set()


class SilentAgent:
    """An agent whose watches follow the words in the order of their opening; the last word is for all further ones."""

    def __init__(self, *script: str) -> None:
        self.script, self.last, self.seq = iter(script), script[-1] if script else "well", 1
        self.links: list[AgentConnection] = []
        self.opened: list[tuple[AgentConnection, int]] = []  # watches, with the version that each starts from
        self.at: list[float] = []  # when each was opened
        self.news = asyncio.Event()
        self.noticed: Callable[[AgentConnection, bytes], object] = self._take
        self.accepts_posts, self.accepted_posts = True, list[bytes]()
        self.port = Port(self._link)

    def _link(self) -> AgentConnection:
        self.links.append(AgentConnection(self))
        return self.links[-1]

    def _take(self, link: AgentConnection, body: bytes) -> None:
        if self.accepts_posts:
            self.accepted_posts.append(body)
            link.answer(204)

    def full_list(self) -> dict[str, Any]:
        """Return the full list, as in a courier's configuration."""
        return changes(self.seq, whole=True)

    async def start(self) -> Address:
        """Listen; return the address."""
        await self.port.listen()
        self.address = self.port.address
        return Address.parse(self.port.address)

    async def until(self, what: Callable[[], object]) -> None:
        """Wait until the condition holds."""
        async with asyncio.timeout(LIMIT_S):
            while not what():
                self.news.clear()
                await self.news.wait()

    def alive(self) -> list[AgentConnection]:
        """Return the open watches."""
        return [link for link in dict.fromkeys(link for link, _ in self.opened) if not link.closed]

    async def fill(self) -> list[socket.socket]:
        """Let connections hang, neither opened nor refused, until the returned sockets are closed and the port
        listens."""
        self.port.refuse()
        self.port.drop_connections()
        fillers = []
        for _ in range(3):
            fillers.append(filler := socket.socket())
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port.port))
        return fillers

    def close(self) -> None:
        """Close the listener and all connections."""
        for link in self.links:
            link.hush()
            link.abort()
        self.port.close()


class Follower:
    """A watch in this process, with the lists it received."""

    def __init__(self, address: Address, couriers: int = 1, seed: int = 0, seq: int = 0) -> None:
        self.heard: list[tuple[api.ListKind, list[str]]] = []
        self.news = asyncio.Event()
        self.watch = Watch(address, Names((), (), (), ()), seq, self._listed, couriers, seed)
        self._task = asyncio.create_task(self.watch.run())

    def _listed(self, kind: api.ListKind, rows: Iterable[tuple[api.EndpointInfo, Address]]) -> None:
        self.heard.append((kind, [info.endpoint for info, _ in rows]))
        self.news.set()

    async def until(self, seq: int, limit_s: float = LIMIT_S) -> float:
        """Wait until the version is known; return when that was."""
        async with asyncio.timeout(limit_s):
            while self.watch.seq != seq:
                self.news.clear()
                await self.news.wait()
        return asyncio.get_running_loop().time()

    async def stop(self) -> None:
        """End the watch."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
