"""Events that cross a handover: an outcome, the end of either process and SIGTERM, at each step."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest
from loopback import LIMIT_S, Call, Reply, Scene, run

from wheelstep.journal import Journal
from wheelstep.upgrade.channel import Channel, connect

STEPS = {"offered": ("take over", "connections"), "given": ("received", "yours")}


def own_address() -> str:
    """Return an address that only this process uses: a free port on 127.0.0.1 may be taken by another before it is
    bound."""
    with socket.socket() as found:
        found.bind((f"127.9.{os.getpid() >> 8 & 255}.{os.getpid() & 255 or 1}", 0))
        return "{}:{}".format(*found.getsockname())


class Successor:
    """A process that takes over step by step, driven by the test."""

    def __init__(self, folder: Path) -> None:
        self.packets: list[dict[str, Any]] = []
        self.lost = asyncio.Event()
        self._arrived = asyncio.Event()
        self.channel = Channel(connect(folder), self._note, self.lost.set)

    def _note(self, head: dict[str, Any], body: bytes, descriptors: list[int]) -> None:
        for descriptor in descriptors:
            os.close(descriptor)
        self.packets.append(head)
        self._arrived.set()

    def rows(self, kind: str) -> list[Any]:
        """Return the rows of all packets of one kind."""
        return [row for head in self.packets if head["is"] == kind for row in head["rows"]]

    async def wait(self, kind: str) -> None:
        """Wait for a packet of this kind."""
        async with asyncio.timeout(LIMIT_S):
            while not any(head["is"] == kind for head in self.packets):
                self._arrived.clear()
                await self._arrived.wait()

    async def reach(self, step: str) -> None:
        """Go through the handover up to this step."""
        for name, (says, hears) in STEPS.items():
            await self.channel.send({"do": says})
            await self.wait(hears)
            if name == step:
                return


@contextlib.asynccontextmanager
async def calling(folder: Path) -> AsyncIterator[tuple[Scene, asyncio.Event]]:
    """Run a courier with the call of message `m` in flight; it is answered once the event is set."""
    scene, answer = Scene(folder, console=True), asyncio.Event()
    scene.courier.console = own_address()
    async with scene as s:
        async def late(call: Call) -> Reply | None:
            await answer.wait()
            return 200, {}, b""
        s.endpoint.reply = late
        assert await s.courier.hand_in("m") == 202
        await s.endpoint.wait(1)
        yield s, answer


@pytest.mark.parametrize("step", STEPS)
def test_an_outcome_belongs_to_whoever_owns_the_message_when_it_comes(tmp_path: Path, step: str) -> None:
    async def play() -> None:
        async with calling(tmp_path) as (s, answer):
            successor = Successor(tmp_path / "state")
            await successor.reach(step)
            answer.set()
            if step == "offered":
                while not (await s.courier.figures())["passed.once"]:
                    await asyncio.sleep(0.01)
                await successor.channel.send({"do": "received"})
                await successor.wait("yours")
                assert not successor.rows("calls")
            else:
                await successor.wait("ended")
                assert [row[:3] for row in successor.rows("ended")] == [["m", 0, "ok"]]
                assert [row[2] for row in successor.rows("calls")] == [[["m", 0]]]
            journal = Journal(tmp_path / "state", 3_000_000)  # the folder is unlocked
            assert ("m" in journal.messages) == (step == "given")
            journal.close()
            successor.channel.close()
    run(play())


@pytest.mark.parametrize("step", STEPS)
def test_sigterm_during_a_handover_whose_successor_is_lost_ends_the_process(tmp_path: Path, step: str) -> None:
    """It must not become ready again or restart: its unfinished messages are left to the next process."""
    async def play() -> None:
        async with calling(tmp_path) as (s, answer):
            successor = Successor(tmp_path / "state")
            await successor.reach(step)
            s.courier.process.send_signal(signal.SIGTERM)
            with contextlib.suppress(OSError):  # so that SIGTERM is processed before the loss
                for _ in range(20):
                    await s.courier.call("readyz")
            successor.channel.close()
            ready = []
            with contextlib.suppress(OSError):
                while s.courier.process.returncode is None:
                    ready.append((await s.courier.call("readyz")).startswith("+OK"))
                    await asyncio.sleep(0.01)
            assert await asyncio.wait_for(s.courier.process.wait(), 5) == 0 and not any(ready)
            log = "".join(s.courier.log)
            assert "Traceback" not in log and "restarting from the folder" not in log
            await s.courier.start()
            assert (await s.platform.wait_notice("m"))["outcome"] == "given_up"  # it may have run
    run(play())


def test_a_terminating_process_refuses_a_handover(tmp_path: Path) -> None:
    async def play() -> None:
        async with calling(tmp_path) as (s, answer):
            s.courier.process.send_signal(signal.SIGTERM)
            while (await s.courier.call("readyz")).startswith("+OK"):
                await asyncio.sleep(0.01)
            successor = Successor(tmp_path / "state")
            with contextlib.suppress(Exception):
                await successor.channel.send({"do": "take over"})
            await asyncio.wait_for(successor.lost.wait(), LIMIT_S)
            assert not successor.packets
            answer.set()
            assert await asyncio.wait_for(s.courier.process.wait(), LIMIT_S) == 0
    run(play())


def test_a_successor_whose_predecessor_is_killed_starts_from_the_folder(tmp_path: Path) -> None:
    """The giver is stopped before it answers the first step, and then killed."""
    async def play() -> None:
        async with calling(tmp_path) as (s, answer):
            after = s.courier.successor()
            after.listen, after.console = s.courier.listen, own_address()
            s.courier.process.send_signal(signal.SIGSTOP)
            await after.begin()
            link = tmp_path / "state" / "successor"
            while not _asked(link):
                await asyncio.sleep(0.01)
            await s.courier.kill()
            after.address = await asyncio.wait_for(after._serving, LIMIT_S)
            answer.set()
            assert (await s.platform.wait_notice("m"))["outcome"] == "given_up"
            assert await after.hand_in("n") == 202
            await s.endpoint.wait(2)
            assert await after.terminate() == 0 and len(s.endpoint.calls) == 2
    run(play())


def _asked(link: Path) -> bool:
    """Return whether an unaccepted connection waits at the socket; the kernel lists it with the socket's path."""
    lines = [line.split() for line in Path("/proc/net/unix").read_text().splitlines()]
    return sum(line[-1].endswith(f"/{link.name}") and line[5] != "01" for line in lines if len(line) == 8) > 0


def test_a_wait_in_a_probe_answer_after_the_handover_binds_the_successor(tmp_path: Path) -> None:
    """The probe was in flight at the old process, so only that process receives the wait."""
    async def play() -> None:
        scene, answer = Scene(tmp_path, console=True), asyncio.Event()
        scene.courier.console = own_address()
        async with scene as s:
            async def reply(call: Call) -> Reply | None:
                if call.target == "/healthz":
                    await answer.wait()
                    return 429, {"Retry-After": "7"}, b""
                raise OSError

            s.endpoint.reply = reply
            assert await s.courier.hand_in("m") == 202
            await s.endpoint.wait(1)
            assert await s.courier.hand_in("n") == 202  # waits for the endpoint, which is probed first
            async with asyncio.timeout(LIMIT_S):
                while not any(call.target == "/healthz" for call in s.endpoint.calls):
                    await asyncio.sleep(0.01)
            successor = Successor(tmp_path / "state")
            await successor.reach("given")
            assert not successor.rows("waits")
            answer.set()
            async with asyncio.timeout(LIMIT_S):
                while not successor.rows("waits"):
                    await asyncio.sleep(0.01)
            assert successor.rows("waits") == [["e0", 7_000_000]]
            successor.channel.close()
    run(play())
