"""The console: commands, metrics, and endpoints excluded by hand."""

from __future__ import annotations

import asyncio
from collections import Counter
from pathlib import Path

import pytest
from loopback import LIMIT_S, Endpoint, Scene, host, run

from wheelstep.console.commands import NoOwnerError, reply
from wheelstep.console.front import MAX_CONNECTIONS, ConsoleServer
from wheelstep.console.metrics import Counters, Gauges, render
from wheelstep.courier.config import Address


class ConsoleBackend:
    ready = True

    def __init__(self) -> None:
        self.out: set[str] = set()

    def telemetry(self) -> str:
        return "app.loads:0|c\n"

    async def exclude(self, endpoint: str) -> bool:
        if endpoint == "orphan":
            raise NoOwnerError("no process")
        await asyncio.sleep(0)  # as for a command that another process carries out
        self.out.add(endpoint)
        return endpoint == "e0"

    async def include(self, endpoint: str) -> bool:
        self.out.discard(endpoint)
        return endpoint == "e0"


@pytest.mark.parametrize(("line", "start"), [
    (b"readyz", b"+OK"), (b"readyz\r", b"+OK"), (b"telemetry", b"+OK\napp.loads:0|c\n.\n"),
    (b"exclude e0", b"+OK"), (b"include e0", b"+OK"), (b"exclude nobody", b"-ERR"), (b"include nobody", b"-ERR"),
    (b"exclude orphan", b"-ERR no process"),
    (b"exclude", b"-ERR"), (b"readyz now", b"-ERR"), (b"", b"-ERR"), (b"\xff\x00", b"-ERR"), (b"READYZ", b"-ERR")])
def test_every_line_has_one_reply(line: bytes, start: bytes) -> None:
    answer = asyncio.run(reply(line, ConsoleBackend()))
    assert answer.startswith(start) and answer.endswith(b"\n")


def test_figures_name_every_class() -> None:
    figures = Counters(passed=Counter({"a": 2, "gone": 1}), upstream_tries=4)
    lines = render(figures, Gauges(3, 2, 1), ("a", "b")).splitlines()
    assert "app.passed.a:2|c" in lines and "app.passed.b:0|c" in lines and "app.passed.gone:1|c" in lines
    assert "app.upstream_tries:4|c" in lines and "app.in_progress:3|g" in lines and len(lines) == 13


def test_callers_that_never_finish_do_not_keep_others_out() -> None:
    async def scene() -> None:
        front = ConsoleServer(ConsoleBackend())
        port = await front.start(Address("127.0.0.1", 0))

        async def call(*parts: bytes) -> bytes:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            for part in parts:
                writer.write(part)
                await asyncio.sleep(0.005)
            async with asyncio.timeout(LIMIT_S):
                return await reader.read()
        slow = [await asyncio.open_connection("127.0.0.1", port) for _ in range(2 * MAX_CONNECTIONS)]
        for _, writer in slow:
            writer.write(b"read")
        assert await call(b"rea", b"dyz\n") == b"+OK ready\n"
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"exclude e0")  # its end is that of the caller's input, and the reply still comes
        writer.write_eof()
        assert await reader.read() == b"+OK e0 is out\n"
        assert await call(b"x" * 4000) == b"-ERR expected one of: readyz, telemetry, exclude ID, include ID\n"
        assert len(front._connections) <= MAX_CONNECTIONS
        front.stop()
        for _, writer in slow:
            writer.close()
    run(scene())


def test_an_excluded_endpoint_gets_no_message_until_it_is_included(tmp_path: Path) -> None:
    """Whatever the endpoint list says, and after SIGKILL."""
    async def scene() -> None:
        async with Scene(tmp_path, console=True) as s:
            other = Endpoint()
            await s.platform.wait_watches(1)
            s.platform.change(host("e1", await other.start()))
            async with asyncio.timeout(LIMIT_S):
                while (await s.courier.figures())["known_endpoints"] < 2:
                    await asyncio.sleep(0.01)
            assert (await s.courier.call("exclude nobody")).startswith("-ERR")
            for _ in range(2):
                assert (await s.courier.call("exclude e0")).startswith("+OK")
            assert (await s.courier.figures())["skipped_endpoints"] == 1
            s.platform.change(host("e0", s.endpoint.address))
            async def passed(count: int) -> None:
                async with asyncio.timeout(LIMIT_S):
                    while (await s.courier.figures())["passed.once"] < count:
                        await asyncio.sleep(0.01)
            for number in range(3):
                assert await s.courier.hand_in(f"a{number}") == 202
            await passed(3)
            await s.courier.kill()
            await s.courier.start()
            for number in range(3):
                assert await s.courier.hand_in(f"b{number}") == 202
            await passed(3)  # each process counts from 0
            assert s.endpoint.calls == []
            assert (await s.courier.call("include e0")).startswith("+OK")  # one command undoes two exclusions
            s.platform.change(host("e1", other.address, health="DELETED"))
            assert await s.courier.hand_in("c") == 202
            await s.endpoint.wait(1)
            await passed(4)
            figures = await s.courier.figures()
            assert (figures["skipped_endpoints"], figures["upstream_tries"], figures["in_progress"]) == (0, 4, 0)
    run(scene())


def test_a_console_that_cannot_listen_is_one_line(tmp_path: Path) -> None:
    async def scene() -> None:
        async with Scene(tmp_path, console=True) as s:
            second = s.courier.successor()
            second.folder = tmp_path / "second"
            (second.folder / "state").mkdir(parents=True)
            second.console = s.courier.console
            await second.begin()
            assert await asyncio.wait_for(second.process.wait(), LIMIT_S) == 1
            await second._reading
            assert len(second.log) == 1 and "console 127.0.0.1" in second.log[0]
            second._serving.exception()
    run(scene())
