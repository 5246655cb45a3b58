"""This machine refuses what calls need for a second: its disk, its sockets. All is sent soon after, nothing is lost."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Callable
from pathlib import Path

import pytest
from loopback import LIMIT_S, Call, Reply, Scene, run

from wheelstep.rehearsal.soak.control import PAGE, FaultPage

FAILS_S = 1.0
SOON_S = 2.5  # after the machine is well again, on a crowded one too


@contextlib.asynccontextmanager
async def failing(folder: Path, monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[tuple[Scene, FaultPage]]:
    page = FaultPage(folder / "page")
    monkeypatch.setenv(PAGE, str(folder / "page"))
    scene = Scene(folder, console=True)  # single calls
    scene.courier.program = ("wheelstep.rehearsal.soak.faulty",)
    async with scene as s:
        async def slow(call: Call) -> Reply | None:
            await asyncio.sleep(0.3)
            return 200, {}, b""
        s.endpoint.reply = slow
        yield s, page


def messages(scene: Scene) -> list[str]:
    return [call.headers["x-request-id"] for call in scene.endpoint.calls if "x-request-id" in call.headers]


@pytest.mark.parametrize(("begin", "end"), [
    (lambda page: setattr(page, "disk", 1.0), lambda page: setattr(page, "disk", 0.0)),
    (lambda page: setattr(page, "sockets", 1.0), lambda page: setattr(page, "sockets", 0.0))], ids=["disk", "sockets"])
def test_all_are_sent_soon_after(tmp_path: Path, monkeypatch: pytest.MonkeyPatch, begin: Callable[[FaultPage], None],
                                 end: Callable[[FaultPage], None]) -> None:
    async def play() -> None:
        async with failing(tmp_path, monkeypatch) as (s, page):
            accepted = [f"m{number}" for number in range(12)]
            for name in accepted[:6]:
                assert await s.courier.hand_in(name) == 202
            await s.endpoint.wait(1)
            begin(page)
            if not page.sockets:  # a disk that takes nothing: 503 is right; clients without connections can't come
                assert await s.courier.hand_in("refused") == 503
            await asyncio.sleep(FAILS_S)
            end(page)
            for name in accepted[6:]:
                assert await s.courier.hand_in(name) == 202
            well = time.monotonic()
            async with asyncio.timeout(LIMIT_S):
                while not set(accepted) <= set(messages(s)):
                    await asyncio.sleep(0.01)
            assert time.monotonic() - well < SOON_S
            assert len(messages(s)) == len(set(messages(s))) and not s.platform.notices_heard
            assert not any("unexpectedly" in line for line in s.courier.log)
    run(play())


def test_short_reads_and_writes_change_nothing(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def play() -> None:
        async with failing(tmp_path, monkeypatch) as (s, page):
            page.most_bytes = 1
            body = bytes(range(256)) * 4
            assert await s.courier.hand_in("long", body=body) == 202
            calls = await s.endpoint.wait(1)
            assert calls[0].body == body
            async with asyncio.timeout(LIMIT_S):
                while s.courier.process.returncode is None and s.endpoint.open and not s.platform.notices_heard:
                    if await s.courier.hand_in("again") == 202:
                        break
            await s.endpoint.wait(2)
            assert not s.platform.notices_heard
    run(play())


@pytest.mark.parametrize("console", [False, True], ids=["alone", "with a second address"])
def test_a_start_waits_for_a_disk_that_fails_for_a_while(tmp_path: Path, monkeypatch: pytest.MonkeyPatch,
                                                         console: bool) -> None:
    """A kill has left half a record, which has to be cut off first; the disk refuses that for a second."""
    async def play() -> None:
        async with failing(tmp_path, monkeypatch) as (s, page):
            never = asyncio.Event()

            async def hang(call: Call) -> Reply | None:
                await never.wait()
                return None
            s.endpoint.reply = hang
            assert await s.courier.hand_in("owed") == 202
            await s.endpoint.wait(1)
            await s.courier.kill()
            segment = max((tmp_path / "state").glob("*.journal"))
            segment.write_bytes(segment.read_bytes() + segment.read_bytes()[:20])
            if not console:
                s.courier.console = ""
            page.disk = 1.0
            await s.courier.begin()
            await asyncio.sleep(FAILS_S)
            assert s.courier.process.returncode is None
            page.disk = 0.0
            s.courier.address = await asyncio.wait_for(s.courier._serving, LIMIT_S)
            assert (await s.platform.wait_notice("owed"))["outcome"] == "given_up"  # it may have run
            assert await s.courier.hand_in("fresh") == 202
    run(play())
