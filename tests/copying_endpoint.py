"""An endpoint that sends each answer to a call a second time, as a proxy with a fault may, and records its calls."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from loopback import LIMIT_S

from wheelstep.rehearsal.standins import wire


@dataclass(frozen=True, slots=True)
class PlannedAnswer:
    """The answer to one call."""

    status: int = 200
    delay_s: float = 0.0
    copy_delay_s: float | None = None  # from the answer to its second copy; None: it comes once


@dataclass(slots=True)
class ReceivedCall:
    """One call as the endpoint saw it. Times are the event loop's."""

    message: str
    received_at: float
    answered_at: float = float("inf")
    status: int = 0  # 0: not answered yet

    @property
    def refused(self) -> bool:
        """Whether the answer said that the message was not run."""
        return self.status in (429, 503)


LOAD_REPORT = {"X-Load": "x0=0.9,x1=1000"}  # a high limit: a refusal hardly delays the next call


class CopyingEndpoint:
    """`plan` returns the answer to a message's call; the second argument is the number of its calls before."""

    def __init__(self, plan: Callable[[str, int], PlannedAnswer]) -> None:
        self._plan = plan
        self.calls: list[ReceivedCall] = []

    async def start(self) -> str:
        """Listen; return the address."""
        self._port = wire.Port(lambda: _Connection(self))
        await self._port.listen()
        return self._port.address

    def close(self) -> None:
        """Stop listening."""
        self._port.close()

    def calls_of(self, message: str) -> list[ReceivedCall]:
        """Return the calls of a message, oldest first."""
        return [call for call in self.calls if call.message == message]

    def delivered(self, message: str) -> bool:
        """Return whether a call of the message was answered with 200."""
        return any(call.status == 200 for call in self.calls_of(message))

    def receive(self, message: str) -> tuple[ReceivedCall, PlannedAnswer]:
        """Record a call and return its planned answer."""
        planned = self._plan(message, len(self.calls_of(message)))
        call = ReceivedCall(message, asyncio.get_running_loop().time())
        self.calls.append(call)
        return call, planned

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait until the condition holds. Raises `TimeoutError`."""
        async with asyncio.timeout(LIMIT_S):
            while not condition():
                await asyncio.sleep(0.002)


class _Connection(wire.Server):
    """One connection to the endpoint."""

    def __init__(self, endpoint: CopyingEndpoint) -> None:
        super().__init__()
        self._endpoint = endpoint

    def on_request(self, request: wire.Request) -> None:
        if request.method != "POST":
            self.answer(200)
            return
        call, planned = self._endpoint.receive(request.headers["x-request-id"])
        asyncio.get_running_loop().call_later(planned.delay_s, self._answer_call, call, planned)

    def _answer_call(self, call: ReceivedCall, planned: PlannedAnswer) -> None:
        if self.closed:
            return
        loop = asyncio.get_running_loop()
        call.status, call.answered_at = planned.status, loop.time()
        self.answer(planned.status, LOAD_REPORT)
        if planned.copy_delay_s is not None:
            loop.call_later(planned.copy_delay_s, self.answer, planned.status, LOAD_REPORT)
