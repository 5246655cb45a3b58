"""Clients on loopback: submit the planned messages on time and submit them again after a rejection or failure."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import defaultdict, deque
from collections.abc import Callable, Coroutine
from dataclasses import dataclass

from wheelstep.rehearsal.history import Answer, Effect, End, HandIn, History
from wheelstep.rehearsal.plan import Arrival, Plan
from wheelstep.rehearsal.standins.ledger import Ledger, Submission
from wheelstep.rehearsal.standins.wire import Client

CLIENT_TIMEOUT_S = 0.4  # for the connection and the answer
_RESUBMIT_DELAY_US = (330_000, 1_700_000)  # range of the delay after a missing answer
_MAX_IDLE_CONNECTIONS = 64  # connections kept open to the courier
_MAX_COPY_DELAY_S = 0.3  # from the answer to a request until its second copy


@dataclass(frozen=True, slots=True)
class ClientHabits:
    """How clients use their connections."""

    rotate: bool = False  # use the open connections in turn, not the one that was used last
    copy_share: float = 0.0  # of the accepted requests, which come a second time on a connection of their own


DEFAULT_HABITS = ClientHabits()


class Clients:
    """All clients of one courier. `submitted` counts their requests; `may_connect` returns whether the platform makes
    new connections now."""

    def __init__(self, plan: Plan, courier: int, ledger: Ledger, history: History, now_us: Callable[[], int],
                 habits: ClientHabits = DEFAULT_HABITS) -> None:
        self._plan, self.name, self._ledger, self._history, self._now_us = plan, f"c{courier}", ledger, history, now_us
        self.address = ("127.0.0.1", 0)
        self.may_connect: Callable[[], bool] = lambda: True
        self.effect_of: Callable[[str], Effect | None] = lambda message_class: None  # where settings change
        self._habits = habits
        self._idle: list[Client] = []
        self._submissions: dict[int, int] = defaultdict(int)
        self._by_id: dict[str, Arrival] = {}
        self._first_submitted_us: dict[int, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._queues: dict[str, deque[tuple[Arrival, str]]] = {}  # by key: waiting for an earlier answer
        self._extra_connections: list[Client] = []
        self.submitted = 0

    async def open_idle_connections(self, count: int) -> None:
        """Open connections that stay idle, like an oversized client pool. Failures to connect are ignored."""
        for _ in range(count):
            with contextlib.suppress(OSError):
                self._extra_connections.append(await Client.dial(*self.address))

    def close(self) -> None:
        """Stop all submissions and close all connections."""
        for task in self._tasks:
            task.cancel()
        for connection in (*self._idle, *self._extra_connections):
            connection.close()

    def submit(self, arrival: Arrival, retry_header: str = "") -> None:
        """Submit a planned message, after earlier messages of its key have their answers.

        `retry_header` is the value of X-Retry; empty for none.
        """
        if arrival.key is None:
            self._start(arrival, retry_header)
        elif arrival.key in self._queues:
            self._queues[arrival.key].append((arrival, retry_header))
        else:
            self._queues[arrival.key] = deque()
            self._start(arrival, retry_header)

    def on_handed_back(self, message: str, retry_us: int) -> None:
        """Submit a message again after its notification `handed_back`; `retry_us` is the suggested delay or 0."""
        arrival = self._by_id.get(message)
        if arrival is not None:
            self._resubmit_later(arrival, retry_us, "1")

    def _start(self, arrival: Arrival, retry_header: str) -> None:
        self._start_task(self._submit_in_order(arrival, retry_header))

    def _start_task(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._report_failure)

    def _report_failure(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            asyncio.get_running_loop().call_exception_handler({"message": "a client task failed", "exception": error})

    async def _submit_in_order(self, arrival: Arrival, retry_header: str) -> None:
        try:
            await self._submit_once(arrival, retry_header)
        finally:
            if arrival.key is not None:
                queue = self._queues[arrival.key]
                if queue:
                    self._start(*queue.popleft())
                else:
                    del self._queues[arrival.key]

    async def _submit_once(self, arrival: Arrival, retry_header: str) -> None:
        now_us = self._now_us()
        number = arrival.number
        whole_us = arrival.deadline_us or self._plan.figures.classes[arrival.message_class].deadline_us
        left_us = self._first_submitted_us.setdefault(number, now_us) + whole_us - now_us
        if left_us <= 0:
            return
        count = self._submissions[number]
        self._submissions[number] += 1
        message = self._plan.message_id(number, count)
        body = self._plan.body(arrival)
        self._by_id[message] = arrival
        self._ledger.submissions[message] = Submission(arrival, body)
        request = request_bytes(arrival, message, body, left_us, retry_header)
        self.submitted += 1
        self._history.add(HandIn(now_us, self.name, message, number, arrival.message_class, arrival.destination,
                                 arrival.key, now_us + left_us, self.effect_of(arrival.message_class)))
        end, status, retry_us = await self._exchange(request, arrival.fresh)
        self._history.add(Answer(self._now_us(), self.name, message, end, status))
        if status == 202 and arrival.luck < self._habits.copy_share:
            self._start_task(self._send_copy(request, arrival.luck / self._habits.copy_share * _MAX_COPY_DELAY_S))
        if status in (429, 503):
            self._resubmit_later(arrival, retry_us, "1")
        elif end is not End.ANSWERED:
            self._resubmit_later(arrival, 0, "again")

    async def _send_copy(self, request: bytes, delay_s: float) -> None:
        """Send a request a second time, and ignore what becomes of it."""
        await asyncio.sleep(delay_s)
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(CLIENT_TIMEOUT_S):
                link = await Client.dial(*self.address)
                try:
                    await link.exchange(request)
                finally:
                    link.close()

    async def _exchange(self, request: bytes, fresh: bool) -> tuple[End, int, int]:
        """Send a request; return how it ended, the status and the wait of Retry-After in microseconds.

        Status and wait are 0 without an answer. A request whose idle connection turns out closed is sent once more.
        """
        for repeat in range(2):
            used = None if fresh or repeat else self._take_idle_connection()
            if used is None and not self.may_connect():
                return End.UNREACHED, 0, 0
            try:
                async with asyncio.timeout(CLIENT_TIMEOUT_S):
                    link = used or await Client.dial(*self.address)
                    answer = await link.exchange(request)
            except TimeoutError:
                return End.TIMED_OUT, 0, 0
            except OSError:
                return End.UNREACHED, 0, 0
            if answer is not None:
                self._release_connection(link, fresh)
                return End.ANSWERED, answer[0], retry_after_us(answer[1].get("retry-after", ""))
            link.close()
            if used is None:
                return End.ENDED, 0, 0
        return End.CROSSED, 0, 0

    def _take_idle_connection(self) -> Client | None:
        while self._idle:
            link = self._idle.pop(0 if self._habits.rotate else -1)
            if not link.closed:
                return link
        return None

    def _release_connection(self, link: Client, fresh: bool) -> None:
        if fresh or link.closed or len(self._idle) >= _MAX_IDLE_CONNECTIONS:
            link.close()
        else:
            self._idle.append(link)

    def _resubmit_later(self, arrival: Arrival, told_wait_us: int, retry_header: str) -> None:
        """Schedule another submission: after a rejection up to the plan's retries, after a missing answer up to two.

        `told_wait_us` replaces the drawn delay for the share of clients that honour it.
        """
        count = self._submissions[arrival.number]
        if count > (self._plan.retries if retry_header == "1" else 2):
            return
        rng = random.Random(f"{self._plan.seed}/{arrival.number}/{count}")
        wait_us = rng.uniform(*(self._plan.backoff_us if retry_header == "1" else
                                tuple(span / self._plan.speed for span in _RESUBMIT_DELAY_US)))
        if told_wait_us and rng.random() < self._plan.honour:
            wait_us = told_wait_us
        asyncio.get_running_loop().call_later(wait_us / 1e6, self.submit, arrival, retry_header)


def request_bytes(arrival: Arrival, message: str, body: bytes, left_us: int, retry_header: str) -> bytes:
    """Return the HTTP request that submits a message with `left_us` until its deadline."""
    path = f"/api/{arrival.key}" if arrival.key is not None else "/api"
    lines = [f"POST {path} HTTP/1.1", "Host: origin.svc", f"X-Request-Id: {message}",
             f"X-Class: {arrival.message_class}", f"X-Deadline-Ms: {max(1, left_us // 1000)}",
             f"X-Consignee: dest={arrival.destination}", f"Content-Length: {len(body)}"]
    if arrival.token is not None:
        lines.append(f"Idempotency-Key: {arrival.token}")
    if retry_header:
        lines.append(f"X-Retry: {retry_header}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def retry_after_us(text: str) -> int:
    """Return the value of Retry-After in microseconds; 0 if it isn't a number of seconds or is negative."""
    try:
        return max(0, round(float(text) * 1e6))
    except ValueError:
        return 0
