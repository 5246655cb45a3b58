"""What a call's end means, at each step between its first byte written and its answer's first byte.

The transport is under the test's control, so that its end falls into the very turn of the loop in which a byte goes
out. Guards against a doubled fee: a call whose last byte went out passed for one that never ran, where a time-out, a
cancel or a break came before its task had woken up.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

import pytest
from loopback import run
from test_outlet import Owner, item

from wheelstep.courier import pool
from wheelstep.courier.call import Result
from wheelstep.courier.config import Address
from wheelstep.courier.connection import Connection
from wheelstep.courier.outlet import Outlet
from wheelstep.interface import Outcome

S = 1_000_000


class Wire(asyncio.Transport):
    """A transport that writes when the test says so, and tells its protocol as asyncio's does: in the same step."""

    def __init__(self, protocol: Connection) -> None:
        super().__init__()
        self._protocol, self._closing = protocol, False
        self._pair = socket.socketpair()
        self.waiting = b""
        self.wrote = asyncio.Event()
        protocol.connection_made(self)

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        assert high == 0

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self._pair[0]

    def write(self, data: Any) -> None:
        self.waiting += data
        self._protocol.pause_writing()
        self.wrote.set()

    def flush(self, most: int) -> None:
        """So many bytes go out."""
        before, self.waiting = self.waiting, self.waiting[most:]
        if before and not self.waiting:
            self._protocol.resume_writing()

    def lose(self, error: Exception | None) -> None:
        self._closing = True
        self.waiting = b""
        self._protocol.connection_lost(error)

    def is_closing(self) -> bool:
        return self._closing

    def abort(self) -> None:
        if not self._closing:
            self._closing = True
            self.waiting = b""
            asyncio.get_running_loop().call_soon(self._protocol.connection_lost, None)

    def release(self) -> None:
        for end in self._pair:
            end.close()


class Scene:
    """One call on a `Wire`, given up or broken as the test says."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.owner = Owner()
        self.outlet = Outlet(self.owner, S, 10 * S, ())
        self.outlet.list("e0", Address("127.0.0.1", 9))
        self.link = Connection()
        self.wire = Wire(self.link)

        async def dial(address: Address, within_s: float) -> Connection:
            return self.link
        monkeypatch.setattr(pool, "dial", dial)

    async def begin(self) -> None:
        self.outlet.call("e0", [item("m", b"x" * 5000)], 30 * S)
        await self.wire.wrote.wait()
        await asyncio.sleep(0)

    async def end(self, how: str) -> None:
        """In this very turn."""
        task = self.outlet._calls["m", 0]
        if how == "time-out":  # what asyncio's own timer would do now
            timer = next(handle for handle in asyncio.get_running_loop()._scheduled  # type: ignore[attr-defined]
                         if not handle.cancelled() and "Timeout" in repr(handle))
            timer._run()
            timer.cancel()
        elif how == "cancel":
            self.outlet.cancel("m", 0)
        elif how == "reset":
            self.wire.lose(ConnectionResetError())
        else:
            self.wire.lose(None)
        await asyncio.wait([task])

    async def result(self) -> Result:
        self.wire.release()
        return await self.owner.wait("m")


ENDS = {"time-out": Outcome.TIMEOUT, "cancel": Outcome.CANCELLED, "reset": Outcome.RESET, "close": Outcome.RESET}


async def _nothing_yet(scene: Scene) -> None:
    pass


async def _part(scene: Scene) -> None:
    scene.wire.flush(len(scene.wire.waiting) - 1)


async def _whole(scene: Scene) -> None:
    scene.wire.flush(1 << 20)


async def _whole_and_awake(scene: Scene) -> None:
    scene.wire.flush(1 << 20)
    await asyncio.sleep(0)
    await asyncio.sleep(0)


async def _whole_in_two(scene: Scene) -> None:
    await _part(scene)
    await asyncio.sleep(0)
    await _whole(scene)


@pytest.mark.parametrize("how", list(ENDS))
@pytest.mark.parametrize("step", [_nothing_yet, _part])
def test_before_the_last_byte_it_never_ran(step: Callable[[Scene], Any], how: str,
                                           monkeypatch: pytest.MonkeyPatch) -> None:
    async def work() -> None:
        scene = Scene(monkeypatch)
        await scene.begin()
        await step(scene)
        await scene.end(how)
        wanted = Outcome.NOT_SENT if how == "cancel" else Outcome.CONNECT_FAILED
        assert (await scene.result()).outcome is wanted
    run(work())


@pytest.mark.parametrize("how", list(ENDS))
@pytest.mark.parametrize("step", [_whole, _whole_and_awake, _whole_in_two])
def test_from_the_last_byte_on_it_may_have_run(step: Callable[[Scene], Any], how: str,
                                               monkeypatch: pytest.MonkeyPatch) -> None:
    async def work() -> None:
        scene = Scene(monkeypatch)
        await scene.begin()
        await step(scene)
        await scene.end(how)
        assert (await scene.result()).outcome is ENDS[how]
    run(work())


@pytest.mark.parametrize("how", list(ENDS))
def test_the_first_bytes_of_an_answer_prove_that_it_may_have_run(how: str, monkeypatch: pytest.MonkeyPatch) -> None:
    async def work() -> None:
        scene = Scene(monkeypatch)
        await scene.begin()
        await _whole_and_awake(scene)
        scene.link.data_received(b"HTTP/1.1 50")
        await scene.end(how)
        wanted = ENDS[how] if how in ("time-out", "cancel") else Outcome.ERROR
        assert (await scene.result()).outcome is wanted
    run(work())


@pytest.mark.parametrize("how", list(ENDS))
def test_an_answer_that_came_in_the_turn_of_the_end_is_read(how: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards the wait that it tells (a call sent before its end breaks a rule) and the end of the message."""
    async def work() -> None:
        scene = Scene(monkeypatch)
        await scene.begin()
        await _whole_and_awake(scene)
        scene.link.data_received(b"HTTP/1.1 429 no\r\nRetry-After: 0.5\r\nContent-Length: 0\r\n\r\n")
        await scene.end(how)
        result = await scene.result()
        assert (result.outcome, result.wait_us, scene.owner.waits) == (Outcome.FULL, 500_000, [500_000])
    run(work())


def test_a_reused_connection_begins_unwritten(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against the last call's bytes counting for the next one."""
    async def work() -> None:
        scene = Scene(monkeypatch)
        await scene.begin()
        await _whole_and_awake(scene)
        scene.link.data_received(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        assert (await scene.owner.wait("m")).outcome is Outcome.OK
        del scene.owner.results["m"]
        scene.wire.wrote.clear()
        await scene.begin()
        await _part(scene)
        await scene.end("time-out")
        assert (await scene.result()).outcome is Outcome.CONNECT_FAILED
    run(work())
