"""What the end of a call means at each step between its first byte written and its answer's first byte.

The test controls the transport, so that the call ends in the same turn of the event loop in which a byte is
written. Guards against a repeated payment: a call whose last byte was written counted as never run if a time-out, a
cancel or a broken connection came before its task had woken up.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

import pytest
from endpoint_clients import FakeOwner, item
from loopback import run

from wheelstep.courier import pool
from wheelstep.courier.call import Result
from wheelstep.courier.config import Address
from wheelstep.courier.connection import Connection
from wheelstep.courier.endpoint_client import EndpointClient
from wheelstep.interface import Outcome

S = 1_000_000


class ManualTransport(asyncio.Transport):
    """A transport that writes when the test says so, and reports that to its protocol in the same step, as
    asyncio's does."""

    def __init__(self, protocol: Connection) -> None:
        super().__init__()
        self._protocol, self._closing = protocol, False
        self._pair = socket.socketpair()
        self.waiting = b""
        self.wrote = asyncio.Event()
        protocol.connection_made(self)

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Check the limit that the connection sets."""
        assert high == 0

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return a real socket, which the connection polls."""
        return self._pair[0]

    def write(self, data: Any) -> None:
        """Keep the data waiting, as for a slow endpoint."""
        self.waiting += data
        self._protocol.pause_writing()
        self.wrote.set()

    def flush(self, most: int) -> None:
        """Write up to `most` of the waiting bytes."""
        before, self.waiting = self.waiting, self.waiting[most:]
        if before and not self.waiting:
            self._protocol.resume_writing()

    def lose(self, error: Exception | None) -> None:
        """End the connection in this step."""
        self._closing = True
        self.waiting = b""
        self._protocol.connection_lost(error)

    def is_closing(self) -> bool:
        """Return whether the connection has ended or is about to."""
        return self._closing

    def abort(self) -> None:
        """Close the connection; the protocol hears of it in the next turn, as from asyncio."""
        if not self._closing:
            self._closing = True
            self.waiting = b""
            asyncio.get_running_loop().call_soon(self._protocol.connection_lost, None)

    def release(self) -> None:
        """Close the socket pair."""
        for end in self._pair:
            end.close()


class CallScenario:
    """One call on a `ManualTransport`, cancelled or broken as the test says."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.owner = FakeOwner()
        self.client = EndpointClient(self.owner, S, 10 * S, ())
        self.client.set_address("e0", Address("127.0.0.1", 9))
        self.connection = Connection()
        self.transport = ManualTransport(self.connection)

        async def dial(address: Address, timeout_s: float) -> Connection:
            return self.connection
        monkeypatch.setattr(pool, "dial", dial)

    async def begin(self) -> None:
        """Start the call and wait until it is written to the transport."""
        self.client.call("e0", [item("m", b"x" * 5000)], 30 * S)
        await self.transport.wrote.wait()
        await asyncio.sleep(0)

    async def end(self, how: str) -> None:
        """End the call in the current turn."""
        task = self.client._tasks_by_attempt["m", 0]
        if how == "time-out":  # as asyncio's own timer would do now
            timer = next(handle for handle in asyncio.get_running_loop()._scheduled  # type: ignore[attr-defined]
                         if not handle.cancelled() and "Timeout" in repr(handle))
            timer._run()
            timer.cancel()
        elif how == "cancel":
            self.client.cancel("m", 0)
        elif how == "reset":
            self.transport.lose(ConnectionResetError())
        else:
            self.transport.lose(None)
        await asyncio.wait([task])

    async def result(self) -> Result:
        """Return the call's result."""
        self.transport.release()
        return await self.owner.wait("m")


ENDS = {"time-out": Outcome.TIMEOUT, "cancel": Outcome.CANCELLED, "reset": Outcome.RESET, "close": Outcome.RESET}


async def _nothing_yet(scenario: CallScenario) -> None:
    pass


async def _part(scenario: CallScenario) -> None:
    scenario.transport.flush(len(scenario.transport.waiting) - 1)


async def _whole(scenario: CallScenario) -> None:
    scenario.transport.flush(1 << 20)


async def _whole_and_awake(scenario: CallScenario) -> None:
    scenario.transport.flush(1 << 20)
    await asyncio.sleep(0)
    await asyncio.sleep(0)


async def _whole_in_two(scenario: CallScenario) -> None:
    await _part(scenario)
    await asyncio.sleep(0)
    await _whole(scenario)


@pytest.mark.parametrize("how", list(ENDS))
@pytest.mark.parametrize("step", [_nothing_yet, _part])
def test_call_ended_before_its_last_byte_counts_as_not_run(step: Callable[[CallScenario], Any], how: str,
                                                           monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a call that counts as run, and is not repeated, though its last byte was never written."""
    async def work() -> None:
        scenario = CallScenario(monkeypatch)
        await scenario.begin()
        await step(scenario)
        await scenario.end(how)
        wanted = Outcome.NOT_SENT if how == "cancel" else Outcome.CONNECT_FAILED
        assert (await scenario.result()).outcome is wanted
    run(work())


@pytest.mark.parametrize("how", list(ENDS))
@pytest.mark.parametrize("step", [_whole, _whole_and_awake, _whole_in_two])
def test_call_ended_after_its_last_byte_counts_as_may_have_run(step: Callable[[CallScenario], Any], how: str,
                                                               monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a call that counts as never run, and is repeated, though its last byte was written in the turn
    in which it ended."""
    async def work() -> None:
        scenario = CallScenario(monkeypatch)
        await scenario.begin()
        await step(scenario)
        await scenario.end(how)
        assert (await scenario.result()).outcome is ENDS[how]
    run(work())


@pytest.mark.parametrize("how", list(ENDS))
def test_call_ended_after_a_partial_answer_counts_as_may_have_run(how: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a connection that breaks in the middle of an answer and counts as not run."""
    async def work() -> None:
        scenario = CallScenario(monkeypatch)
        await scenario.begin()
        await _whole_and_awake(scenario)
        scenario.connection.data_received(b"HTTP/1.1 50")
        await scenario.end(how)
        wanted = ENDS[how] if how in ("time-out", "cancel") else Outcome.ERROR
        assert (await scenario.result()).outcome is wanted
    run(work())


@pytest.mark.parametrize("how", list(ENDS))
def test_answer_received_in_the_turn_that_ends_the_call_is_used(how: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against losing the wait that the answer asks for (a call sent before its end breaks a rule), and the
    message's outcome."""
    async def work() -> None:
        scenario = CallScenario(monkeypatch)
        await scenario.begin()
        await _whole_and_awake(scenario)
        scenario.connection.data_received(b"HTTP/1.1 429 no\r\nRetry-After: 0.5\r\nContent-Length: 0\r\n\r\n")
        await scenario.end(how)
        result = await scenario.result()
        assert (result.outcome, result.wait_us, scenario.owner.waits) == (Outcome.FULL, 500_000, [500_000])
    run(work())


def test_reused_connection_starts_with_nothing_written(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a call that counts as written because of the previous call's bytes."""
    async def work() -> None:
        scenario = CallScenario(monkeypatch)
        await scenario.begin()
        await _whole_and_awake(scenario)
        scenario.connection.data_received(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        assert (await scenario.owner.wait("m")).outcome is Outcome.OK
        del scenario.owner.results["m"]
        scenario.transport.wrote.clear()
        await scenario.begin()
        await _part(scenario)
        await scenario.end("time-out")
        assert (await scenario.result()).outcome is Outcome.CONNECT_FAILED
    run(work())
