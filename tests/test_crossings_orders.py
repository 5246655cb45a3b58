"""Clients' connections: the events of docs/design/crossings.md in random orders, against what has to come of each."""

from __future__ import annotations

import asyncio
import contextlib
import random
import re
import socket
from dataclasses import dataclass, field

import pytest
from client_sockets import Sockets, reset
from loopback import LIMIT_S, run
from test_client_server import request

from wheelstep.courier.client_phases import Phase

EVENTS = ["new", "send", "send", "send", "part", "shut", "reset", "old", "crowd", "syncs", "disk", "turn", "turn"]


@dataclass
class Client:
    """One that sends a request when the one before has its answer."""

    socket: socket.socket
    sent: list[str] = field(default_factory=list)
    rest: bytes = b""  # of a request of which the first part was sent
    heard: bytes = b""
    open: bool = True  # for sending
    over: bool = False  # the end was seen
    gone: bool = False  # it has reset

    def read(self) -> None:
        with contextlib.suppress(BlockingIOError):
            while not self.over and not self.gone:
                data = self.socket.recv(65536)
                self.heard, self.over = self.heard + data, not data

    def send(self, name: str, part: bool) -> None:
        """Whole, or a part, or the rest of one; unless its kernel knows that the connection has ended."""
        self.read()
        if not self.open or self.over or self.gone or self.heard.count(b"HTTP/1.1 ") < len(self.sent):
            return
        data = self.rest or request(name)
        cut = len(data) // 2 if part and not self.rest else len(data)
        self.socket.send(data[:cut])
        if not self.rest:
            self.name = name
        self.rest = data[cut:]
        if not self.rest:
            self.sent.append(self.name)


async def play(seed: int) -> None:
    chance = random.Random(seed)
    async with Sockets(most=60) as s:
        clients = [Client(s.client())]
        for number in range(60):
            one = chance.choice(clients)
            match chance.choice(EVENTS):
                case "new" if len(clients) < 10:
                    clients.append(Client(s.client()))
                case "send" | "part" as how:
                    one.send(f"m{number}", how == "part")
                case "shut" if one.open and not one.gone and not one.over:
                    one.open = False
                    one.socket.shutdown(socket.SHUT_WR)
                case "reset" if not one.gone and chance.random() < 0.3:
                    one.read()
                    one.gone = True
                    reset(one.socket)
                case "old":
                    s.age(chance.choice([Phase.SILENT, Phase.IDLE, Phase.ASKING]))
                    s.all.sweep()
                case "crowd":
                    s.all._make_room()
                case "syncs":
                    s.owner.syncs = not s.owner.syncs
                case "disk":
                    (s.owner.synced.clear if s.owner.synced.is_set() else s.owner.synced.set)()
                case "turn":
                    for _ in range(chance.randrange(1, 5)):
                        await asyncio.sleep(0)
        await s.server.stop()
        async with asyncio.timeout(LIMIT_S):
            while not all(client.over or client.gone for client in clients):
                for client in clients:
                    client.read()
                await asyncio.sleep(0.001)
        for client in clients:
            answers = re.findall(rb"HTTP/1\.1 (\d+)", client.heard)
            if not client.gone:
                assert len(answers) == len(client.sent), (client.sent, client.heard)
            for name, status in zip(client.sent, answers, strict=False):
                assert (status == b"202") == (name in s.owner.begun), (name, status)
                assert status in (b"202", b"503")
        assert sorted(s.owner.taken) == sorted(s.owner.begun)
        assert not s.all.all()


@pytest.mark.parametrize("seed", range(8))
def test_in_any_order_each_whole_request_has_one_answer_that_is_true(
        seed: int, caplog: pytest.LogCaptureFixture) -> None:
    print("seed", seed)
    run(play(seed))
    assert "Traceback" not in caplog.text
