"""A stand-in for the agent that misbehaves at will: each watch that is opened goes by the next word of a script."""

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
    return {"seq": seq, "whole": whole, "hosts": [host(f"e{seq}", "127.0.0.1:1")], **fields}


class Clock:
    """The loop's time less that in which the loop stood still: a crowded machine is no lateness of what is tested."""

    stood_s = 0.0

    @classmethod
    async def run(cls) -> None:
        loop = asyncio.get_running_loop()
        while True:
            until_s = loop.time() + 0.05
            await asyncio.sleep(0.05)
            cls.stood_s += max(0.0, loop.time() - until_s - 0.01)

    @classmethod
    def now_s(cls) -> float:
        return asyncio.get_running_loop().time() - cls.stood_s


class Link(Server):
    """One connection of a courier. Words: `well` (list and heartbeats), `mute` (no head), `head` (nothing after it),
    `dribble` (a byte every 0.2 s of a line that never ends), `half` (half a line), `spaces` (dribbled, no line end),
    `full` (503), `break` (a reset)."""

    def __init__(self, agent: SilentAgent) -> None:
        super().__init__()
        self.agent, self.word, self.posts = agent, "", 0
        self._task: asyncio.Task[None] | None = None

    def requested(self, request: Request) -> None:
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
        """Go on like that."""
        self.word = word
        if word in ("full", "break"):
            self.answer(503) if word == "full" else self.abort()
        elif word != "mute":
            self.write(HEAD)
            if word in ("well", "half"):
                line = json.dumps(changes(self.agent.seq, whole=True)).encode() + b"\n"
                self.say(line if word == "well" else line[:40])
            if word in ("well", "dribble", "spaces"):
                self._task = asyncio.create_task(self._go_on(word))

    async def _go_on(self, word: str) -> None:
        self.say(b'{"seq":9,"x":"' if word == "dribble" else b" ")
        while True:
            await asyncio.sleep(HEARTBEAT_S if word == "well" else 0.2)
            self.say({"well": b"\n", "dribble": b"a"}.get(word, b" "))

    def say(self, data: bytes) -> None:
        if data:
            self.write(b"%x\r\n%s\r\n" % (len(data), data))

    def hush(self) -> None:
        """Nothing more, and the connection stays."""
        if self._task is not None:
            self._task.cancel()

    def lost(self) -> None:
        self.hush()
        self.agent.news.set()


class SilentAgent:
    """Words for the watches in the order of their opening; the last one is for all further."""

    def __init__(self, *script: str) -> None:
        self.script, self.last, self.seq = iter(script), script[-1] if script else "well", 1
        self.links: list[Link] = []
        self.opened: list[tuple[Link, int]] = []  # watches, with the version that each asks after
        self.at: list[float] = []  # when each was
        self.news = asyncio.Event()
        self.noticed: Callable[[Link, bytes], object] = self._take
        self.takes, self.taken = True, list[bytes]()
        self.port = Port(self._link)

    def _link(self) -> Link:
        self.links.append(Link(self))
        return self.links[-1]

    def _take(self, link: Link, body: bytes) -> None:
        if self.takes:
            self.taken.append(body)
            link.answer(204)

    def whole(self) -> dict[str, Any]:
        """What a courier finds in its configuration."""
        return changes(self.seq, whole=True)

    async def start(self) -> Address:
        await self.port.listen()
        self.address = self.port.address
        return Address.parse(self.port.address)

    async def until(self, what: Callable[[], object]) -> None:
        async with asyncio.timeout(LIMIT_S):
            while not what():
                self.news.clear()
                await self.news.wait()

    def alive(self) -> list[Link]:
        """The watches that are open."""
        return [link for link in dict.fromkeys(link for link, _ in self.opened) if not link.gone]

    async def fill(self) -> list[socket.socket]:
        """From now on connections neither come up nor are refused, until the sockets are closed and it listens."""
        self.port.refuse()
        self.port.hush()
        fillers = []
        for _ in range(3):
            fillers.append(filler := socket.socket())
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port.port))
        return fillers

    def close(self) -> None:
        for link in self.links:
            link.hush()
            link.abort()
        self.port.close()


class Follower:
    """A watch in this process, and what it has listed."""

    def __init__(self, address: Address, couriers: int = 1, seed: int = 0, seq: int = 0) -> None:
        self.heard: list[tuple[api.ListKind, list[str]]] = []
        self.news = asyncio.Event()
        self.watch = Watch(address, Names((), (), (), ()), seq, self._listed, couriers, seed)
        self._task = asyncio.create_task(self.watch.run())

    def _listed(self, kind: api.ListKind, rows: Iterable[tuple[api.EndpointInfo, Address]]) -> None:
        self.heard.append((kind, [info.endpoint for info, _ in rows]))
        self.news.set()

    async def until(self, seq: int, limit_s: float = LIMIT_S) -> float:
        """Wait until that version is known; when it was."""
        async with asyncio.timeout(limit_s):
            while self.watch.seq != seq:
                self.news.clear()
                await self.news.wait()
        return asyncio.get_running_loop().time()

    async def stop(self) -> None:
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
