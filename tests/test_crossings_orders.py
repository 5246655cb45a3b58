"""Client connections: the events of docs/design/crossings.md in random orders, with a check of their outcomes."""

from __future__ import annotations

import asyncio
import contextlib
import random
import re
import socket
from dataclasses import dataclass, field

import pytest
from client_sockets import SocketScene, reset
from loopback import LIMIT_S, run
from test_client_server import request

from wheelstep.courier.client_phases import Phase

EVENTS = ["new", "send", "send", "send", "part", "shut", "reset", "old", "crowd", "syncs", "disk", "turn", "turn"]


@dataclass
class Client:
    """A client that sends a request once the one before is answered."""

    socket: socket.socket
    sent: list[str] = field(default_factory=list)
    rest: bytes = b""  # the unsent part of a request
    received: bytes = b""
    open: bool = True  # has not half-closed
    ended: bool = False  # has seen the end of the connection
    was_reset: bool = False  # has sent a reset

    def read(self) -> None:
        """Read all that has come."""
        with contextlib.suppress(BlockingIOError):
            while not self.ended and not self.was_reset:
                data = self.socket.recv(65536)
                self.received, self.ended = self.received + data, not data

    def send(self, name: str, part: bool) -> None:
        """Send a request, a part or the rest of one, unless the connection is known to have ended."""
        self.read()
        if not self.open or self.ended or self.was_reset or self.received.count(b"HTTP/1.1 ") < len(self.sent):
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
    """Play random events with up to ten clients, stop the server, and check the answers and messages."""
    rng = random.Random(seed)
    async with SocketScene(max_connections=60) as s:
        clients = [Client(s.client())]
        for number in range(60):
            one = rng.choice(clients)
            match rng.choice(EVENTS):
                case "new" if len(clients) < 10:
                    clients.append(Client(s.client()))
                case "send" | "part" as how:
                    one.send(f"m{number}", how == "part")
                case "shut" if one.open and not one.was_reset and not one.ended:
                    one.open = False
                    one.socket.shutdown(socket.SHUT_WR)
                case "reset" if not one.was_reset and rng.random() < 0.3:
                    one.read()
                    one.was_reset = True
                    reset(one.socket)
                case "old":
                    s.age(rng.choice([Phase.SILENT, Phase.IDLE, Phase.ASKING]))
                    s.connections.sweep()
                case "crowd":
                    s.connections._make_room()
                case "syncs":
                    s.admission.syncs = not s.admission.syncs
                case "disk":
                    (s.admission.synced.clear if s.admission.synced.is_set() else s.admission.synced.set)()
                case "turn":
                    for _ in range(rng.randrange(1, 5)):
                        await asyncio.sleep(0)
        await s.server.stop()
        async with asyncio.timeout(LIMIT_S):
            while not all(client.ended or client.was_reset for client in clients):
                for client in clients:
                    client.read()
                await asyncio.sleep(0.001)
        for client in clients:
            answers = re.findall(rb"HTTP/1\.1 (\d+)", client.received)
            if not client.was_reset:
                assert len(answers) == len(client.sent), (client.sent, client.received)
            for name, status in zip(client.sent, answers, strict=False):
                assert (status == b"202") == (name in s.admission.begun), (name, status)
                assert status in (b"202", b"503")
        assert sorted(s.admission.taken) == sorted(s.admission.begun)
        assert not s.connections.all()


@pytest.mark.parametrize("seed", range(8))
def test_in_any_order_of_events_each_complete_request_has_one_true_answer(
        seed: int, caplog: pytest.LogCaptureFixture) -> None:
    """Guards against a missing or second answer, and against a 202 for a message that is not kept."""
    print("seed", seed)
    run(play(seed))
    assert "Traceback" not in caplog.text
