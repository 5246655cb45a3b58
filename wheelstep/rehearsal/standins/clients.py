"""Clients on loopback: hand messages in at the planned time, wait 400 ms, and come again as their kind does."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import defaultdict, deque
from collections.abc import Callable

from wheelstep.rehearsal.history import Answer, End, HandIn, History
from wheelstep.rehearsal.plan import Arrival, Plan
from wheelstep.rehearsal.standins.ledger import Known, Ledger
from wheelstep.rehearsal.standins.wire import Client

PATIENCE_S = 0.4  # a client waits so long for its answer
_AGAIN_US = (330_000, 1_700_000)  # after a courier that died or did not answer
_MOST_IDLE = 64  # connections kept to a courier


class Clients:
    """All clients of one courier."""

    def __init__(self, plan: Plan, courier: int, ledger: Ledger, history: History, now_us: Callable[[], int]) -> None:
        self._plan, self.name, self._ledger, self._history, self._now_us = plan, f"c{courier}", ledger, history, now_us
        self.address = ("127.0.0.1", 0)
        self._idle: list[Client] = []
        self._tries: dict[int, int] = defaultdict(int)
        self._by_id: dict[str, Arrival] = {}
        self._born_us: dict[int, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._lines: dict[str, deque[tuple[Arrival, str]]] = {}  # by key: one after another
        self._crowd: list[Client] = []
        self.asked = 0

    async def crowd(self, count: int) -> None:
        """Open connections that stand idle, as a pool does that was made too large."""
        for _ in range(count):
            with contextlib.suppress(OSError):
                self._crowd.append(await Client.dial(*self.address))

    def close(self) -> None:
        """Stop handing in, and close all connections."""
        for task in self._tasks:
            task.cancel()
        for connection in (*self._idle, *self._crowd):
            connection.close()

    def hand_in(self, arrival: Arrival, mark: str = "") -> None:
        """Hand a planned message in, after those of its key that still wait for their answer."""
        if arrival.key is None:
            self._spawn(arrival, mark)
        elif arrival.key in self._lines:
            self._lines[arrival.key].append((arrival, mark))
        else:
            self._lines[arrival.key] = deque()
            self._spawn(arrival, mark)

    def handed_back(self, message: str, retry_us: int) -> None:
        """The platform tells that a message may come again."""
        arrival = self._by_id.get(message)
        if arrival is not None:
            self._come_again(arrival, retry_us, "1")

    def _spawn(self, arrival: Arrival, mark: str) -> None:
        task = asyncio.create_task(self._ask(arrival, mark))
        self._tasks.add(task)
        task.add_done_callback(self._done)

    def _done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            asyncio.get_running_loop().call_exception_handler({"message": "a client died", "exception": error})

    async def _ask(self, arrival: Arrival, mark: str) -> None:
        try:
            await self._try(arrival, mark)
        finally:
            if arrival.key is not None:
                line = self._lines[arrival.key]
                if line:
                    self._spawn(*line.popleft())
                else:
                    del self._lines[arrival.key]

    async def _try(self, arrival: Arrival, mark: str) -> None:
        now_us = self._now_us()
        number = arrival.number
        whole_us = arrival.deadline_us or self._plan.figures.classes[arrival.message_class].deadline_us
        left_us = self._born_us.setdefault(number, now_us) + whole_us - now_us
        if left_us <= 0:
            return
        tries = self._tries[number]
        self._tries[number] += 1
        message = self._plan.message_id(number, tries)
        body = self._plan.body(arrival)
        self._by_id[message] = arrival
        self._ledger.known[message] = Known(arrival, body)
        request = _request(arrival, message, body, left_us, mark)
        self.asked += 1
        self._history.add(HandIn(now_us, self.name, message, number, arrival.message_class, arrival.destination,
                                 arrival.key, now_us + left_us))
        end, status, retry_us = await self._exchange(request, arrival.fresh)
        self._history.add(Answer(self._now_us(), self.name, message, end, status))
        if status in (429, 503):
            self._come_again(arrival, retry_us, "1")
        elif end is not End.ANSWERED:
            self._come_again(arrival, 0, "again")

    async def _exchange(self, request: bytes, fresh: bool) -> tuple[End, int, int]:
        """How it ended, the status, and the wait told in microseconds."""
        for attempt in range(2):
            used = None if fresh or attempt else self._pop()
            try:
                async with asyncio.timeout(PATIENCE_S):
                    link = used or await Client.dial(*self.address)
                    answer = await link.ask(request)
            except TimeoutError:
                return End.TIMED_OUT, 0, 0
            except OSError:
                return End.UNREACHED, 0, 0
            if answer is not None:
                self._keep(link, fresh)
                return End.ANSWERED, answer[0], _retry_us(answer[1].get("retry-after", ""))
            link.close()
            if used is None:
                return End.ENDED, 0, 0
        return End.CROSSED, 0, 0

    def _pop(self) -> Client | None:
        while self._idle:
            link = self._idle.pop()
            if not link.gone:
                return link
        return None

    def _keep(self, link: Client, fresh: bool) -> None:
        if fresh or link.gone or len(self._idle) >= _MOST_IDLE:
            link.close()
        else:
            self._idle.append(link)

    def _come_again(self, arrival: Arrival, told_us: int, mark: str) -> None:
        """After a refusal as often as clients do; after a courier that died or was silent, twice at most."""
        tries = self._tries[arrival.number]
        if tries > (self._plan.retries if mark == "1" else 2):
            return
        rng = random.Random(f"{self._plan.seed}/{arrival.number}/{tries}")
        wait_us = rng.uniform(*(self._plan.backoff_us if mark == "1" else
                                tuple(span / self._plan.speed for span in _AGAIN_US)))
        if told_us and rng.random() < self._plan.honour:
            wait_us = told_us
        asyncio.get_running_loop().call_later(wait_us / 1e6, self.hand_in, arrival, mark)


def _request(arrival: Arrival, message: str, body: bytes, left_us: int, mark: str) -> bytes:
    path = f"/api/{arrival.key}" if arrival.key is not None else "/api"
    lines = [f"POST {path} HTTP/1.1", "Host: origin.svc", f"X-Request-Id: {message}",
             f"X-Class: {arrival.message_class}", f"X-Deadline-Ms: {max(1, left_us // 1000)}",
             f"X-Consignee: dest={arrival.destination}", f"Content-Length: {len(body)}"]
    if arrival.token is not None:
        lines.append(f"Idempotency-Key: {arrival.token}")
    if mark:
        lines.append(f"X-Retry: {mark}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def _retry_us(text: str) -> int:
    try:
        return max(0, round(float(text) * 1e6))
    except ValueError:
        return 0
