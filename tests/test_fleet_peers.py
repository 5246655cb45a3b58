"""The sockets of a fleet and the `[fleet]` table: nothing is imported if it is off, and errors are reported at load."""

from __future__ import annotations

import asyncio
import contextlib
import subprocess
import sys
from pathlib import Path

import pytest

from wheelstep.courier.config import Address
from wheelstep.fleet.packets import PacketSeal
from wheelstep.fleet.peers import Peers
from wheelstep.fleet.types import Answer, Ask, Packet, Ping, Stand, Stood
from wheelstep.operator import OperatorError, load

KEY, OTHER = b"k" * 32, b"o" * 32
LIMIT_S = 20
COPY_DELAY_S = 0.05  # from an answer to its second copy


def test_without_a_fleet_its_modules_are_not_imported() -> None:
    """A courier without a fleet must not need its dependencies."""
    code = ("import sys, wheelstep.courier.__main__; "
            "print([name for name in sys.modules if name.startswith(('wheelstep.fleet', 'wheelstep.channels', "
            "'wheelstep.moves', 'msgspec', 'xxhash', 'pydantic'))])")
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=60, check=True)
    assert done.stdout.strip() == "[]"


def written(folder: Path, fleet: str, more: str = "") -> Path:
    """Write an operator's file with this `[fleet]` table, and a key file."""
    (folder / "fleet.key").write_text(KEY.hex() + "\n")
    path = folder / "operator.toml"
    path.write_text(f"[fleet]\n{fleet}\n{more}")
    return path


GOOD = 'on = true\nkey_file = "fleet.key"\nlisten = "127.0.0.1:0"\nvoters = ["a", "b", "c"]'


def test_valid_table_is_read_and_a_disabled_one_gives_none(tmp_path: Path) -> None:
    """`on = false` must have no effect on the courier."""
    fleet = load(str(written(tmp_path, GOOD, '[[contract]]\nname = "updates"\norder = "strict"\n'))).fleet
    assert fleet.keys == [KEY] and fleet.contracts.names() == ["updates"] and fleet.table.parts == 64
    assert load(str(written(tmp_path, "on = false"))).fleet is None


@pytest.mark.parametrize(("fleet", "more", "told"), [
    ("on = true", "", "fleet.key_file: missing"),
    ('on = true\nkey_file = "fleet.key"', "", "fleet.listen: missing"),
    (GOOD.replace('"c"]', '"b"]'), "", "fleet.voters: ['a', 'b', 'b']; expected 3 or 5 different names"),
    (GOOD.replace(', "c"]', "]"), "", "expected 3 or 5 different names"),
    (GOOD + '\nlease = "100ms"', "", "fleet.lease: "),
    (GOOD + "\nclock_drift = 2", "", "fleet.clock_drift: "),
    (GOOD + '\npeers = { b = "nowhere" }', "", "fleet.peers.b: 'nowhere'"),
    (GOOD + "\nvote = 1", "", "fleet.vote: unknown key"),
    (GOOD.replace("fleet.key", "none.key"), "", "fleet.key_file: "),
    (GOOD, '[[contract]]\nname = "x"\norder = "some"\n', "contract[0].order: 'some'"),
    ("on = false", '[[contract]]\nname = "x"\norder = "strict"\n', "contract: declared while fleet.on is false"),
    (GOOD, "[workers]\ncount = 2\n", "workers.count: 2 beside fleet.on = true"),
])
def test_invalid_table_is_reported_in_one_line(tmp_path: Path, fleet: str, more: str, told: str) -> None:
    """The message names the key, the value found and the value expected."""
    with pytest.raises(OperatorError) as error:
        load(str(written(tmp_path, fleet, more)))
    assert told in str(error.value) and "\n" not in str(error.value)


def test_short_or_invalid_key_is_refused(tmp_path: Path) -> None:
    """A weak key would allow forged packets."""
    path = written(tmp_path, GOOD)
    for text in ("abc", "00" * 31, "no key"):
        (tmp_path / "fleet.key").write_text(text)
        with pytest.raises(OperatorError, match="fleet.key_file"):
            load(str(path))


class Side:
    """The sockets of one courier, and what they received."""

    def __init__(self, name: str, key: bytes = KEY) -> None:
        self.name, self.request_count = name, 0
        self.received: asyncio.Queue[tuple[str, Packet]] = asyncio.Queue()
        self.peers = Peers([key], "fleet", name, 1, lambda: 0, self._on_packet, self._on_request)

    def _on_packet(self, sender: str, _: str, packet: Packet) -> None:
        self.received.put_nowait((sender, packet))

    async def _on_request(self, sender: str, ask: Ask) -> Answer | None:
        self.request_count += 1
        return Stood(False, (), 7)

    async def start(self) -> str:
        """Listen and return the address."""
        await self.peers.start(Address("127.0.0.1", 0))
        assert self.peers._transport is not None
        host, port = self.peers._transport.get_extra_info("sockname")
        return f"{host}:{port}"


def test_peers_exchange_packets_and_an_unknown_key_is_refused() -> None:
    """Each refused packet is counted under its reason and reaches no handler."""
    async def scene() -> None:
        a, b, stranger = Side("a"), Side("b"), Side("a", OTHER)
        sides = (a, b, stranger)
        async with asyncio.timeout(LIMIT_S):
            _, at_b, _ = [await side.start() for side in sides]
            assert await a.peers.ask(at_b, "b", Stand(), 5) == Stood(False, (), 7)
            assert await stranger.peers.ask(at_b, "b", Stand(), 5) is None
            assert await a.peers.ask(at_b, "c", Stand(), 5) is None  # addressed to another courier
            assert b.request_count == 1
            stranger.peers.send(at_b, "b", Ping(1))
            host, port = at_b.rsplit(":", 1)
            assert a.peers._transport is not None
            a.peers._transport.sendto(b"garbage", (host, int(port)))
            sealed = PacketSeal(KEY, "fleet", "c", 1).pack("b", Ping(2))
            a.peers._transport.sendto(sealed[:-1], (host, int(port)))
            a.peers._transport.sendto(sealed, (host, int(port)))
            a.peers._transport.sendto(sealed, (host, int(port)))  # replayed
            a.peers.send(at_b, "b", Ping(3))
            assert await b.received.get() == ("c", Ping(2))
            assert await b.received.get() == ("a", Ping(3))
            assert b.received.empty()
            assert b.peers.datagram_seal.refused == {"version": 1, "seal": 2, "replay": 1}
            assert b.peers.stream_seal.refused == {"seal": 1, "receiver": 1}
            for side in sides:
                await side.peers.close()
    asyncio.run(scene())


def test_answer_that_comes_twice_is_not_read_as_the_next_one() -> None:
    """Incident 54's class: on a kept connection each later request would get the answer of the one before it."""
    async def relay(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        upstream_reader, upstream = await asyncio.open_connection(*upstream_address)

        async def forward_requests() -> None:
            while data := await reader.read(1 << 16):
                upstream.write(data)
            upstream.close()
        forwarding = asyncio.create_task(forward_requests())
        with contextlib.suppress(OSError):
            while data := await upstream_reader.read(1 << 16):
                writer.write(data)
                await asyncio.sleep(COPY_DELAY_S)
                writer.write(data)
        await forwarding
        writer.close()

    async def scene() -> None:
        a, b = Side("a"), Side("b")
        async with asyncio.timeout(LIMIT_S):
            await a.start()
            upstream_address[:] = (await b.start()).split(":")
            server = await asyncio.start_server(relay, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            for _ in range(3):
                assert await a.peers.ask(f"{host}:{port}", "b", Stand(), 5) == Stood(False, (), 7)
            assert a.peers.stream_seal.refused == {} and b.request_count == 3
            server.close()
            for side in (a, b):
                await side.peers.close()
    upstream_address: list[str] = []
    asyncio.run(scene())
