"""A courier starts while the system refuses for a moment what it needs, and knows what the process before it knew."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
from pathlib import Path
from typing import Any

import pytest
from failing_courier import failing_scene
from loopback import LIMIT_S, run

from wheelstep.courier.config import Address
from wheelstep.courier.listener import open_listener
from wheelstep.upgrade import channel
from wheelstep.upgrade.owner_commands import OwnerCommands
from wheelstep.upgrade.source import HandoverSource

SHARE = 0.5  # of the calls, where some of them have to work
FAILS_S = 1.0
SOON_S = 2.5
FIELDS = ("transfer_failure_share", "poll_failure_share", "socket_failure_share", "open_failure_share",
          "disk_failure_share")


# Incident 57, not started: a start gave up at the first error of `open`, `socket`, `bind` or `epoll_create`.
@pytest.mark.parametrize("fails", FIELDS)
def test_a_start_waits_while_the_system_refuses_what_it_needs(
        tmp_path: Path, monkeypatch: pytest.MonkeyPatch, fails: str) -> None:
    async def scenario() -> None:
        async with failing_scene(tmp_path, monkeypatch) as scene:
            assert await scene.courier.hand_in("before") == 202
            await scene.courier.kill()
            scene.courier.listen = scene.courier.address
            setattr(scene.page, fails, 1.0)
            await scene.courier.begin()
            await asyncio.sleep(FAILS_S)
            assert scene.courier.process.returncode is None
            setattr(scene.page, fails, 0.0)
            scene.courier.address = await asyncio.wait_for(scene.courier._serving, LIMIT_S)
            assert await scene.courier.hand_in("after") == 202
            await scene.wait_until(lambda: "after" in scene.called())
    run(scenario())


# Incident 57's class, lost: the boot's id could not be read, and deadlines jumped with a clock that was set.
def test_deadlines_stay_when_the_boot_id_can_not_be_read_at_first(
        tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        async with failing_scene(tmp_path, monkeypatch) as scene:
            scene.default_reply = None
            assert await scene.courier.hand_in("owed", "ordered", "k") == 202
            await scene.wait_until(lambda: "owed" in scene.called())
            await scene.courier.kill()
            scene.courier.listen = scene.courier.address
            scene.page.clock_offset_s, scene.page.open_failure_share = 3600.0, SHARE
            await scene.courier.begin()
            scene.courier.address = await asyncio.wait_for(scene.courier._serving, LIMIT_S)
            scene.page.open_failure_share, scene.default_reply = 0.0, (200, {}, b"")
            with contextlib.suppress(TimeoutError):
                await scene.wait_until(lambda: scene.called().count("owed") > 1, SOON_S)
            assert scene.called().count("owed") == 2 and not scene.platform.notices_heard
    run(scenario())


# Incident 57's class: a process that could not listen for its successor once was never upgraded under load.
def test_a_process_listens_for_a_successor_although_the_system_refused_that_at_first(
        tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    real, refusals = channel.listen, [errno.EINTR, errno.EMFILE]

    def listen(folder: Path) -> socket.socket:
        if refusals:
            raise OSError(refusals.pop(), "refused")
        return real(folder)

    async def scenario() -> None:
        core: Any = None
        server: Any = None
        source = HandoverSource(tmp_path, core, server, lambda: 0, lambda: True, lambda: None,
                                OwnerCommands(tmp_path, lambda: None))
        source.start()
        async with asyncio.timeout(SOON_S):
            while True:
                with contextlib.suppress(OSError):
                    channel.connect(tmp_path).close()
                    break
                await asyncio.sleep(0.01)
        source.stop()
    monkeypatch.setattr(channel, "listen", listen)
    run(scenario())


# Incident 57's class, not started: the option's error was passed over, and the address was in use for a minute.
def test_an_address_that_can_not_be_made_reusable_is_not_bound_without_that(monkeypatch: pytest.MonkeyPatch) -> None:
    def refuse(self: socket.socket, *args: object) -> None:
        raise OSError(errno.ENOBUFS, "no buffers")
    monkeypatch.setattr(socket.socket, "setsockopt", refuse)
    with pytest.raises(OSError) as refused:
        open_listener(Address("127.0.0.1", 0))
    assert refused.value.errno == errno.ENOBUFS
