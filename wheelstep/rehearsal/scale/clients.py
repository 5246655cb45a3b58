"""The clients of real couriers. Every message is tracked by id from its submission to its 202; the stand-in partners
record its delivery."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

from wheelstep.rehearsal.scale.plan import CLIENTS_PORT
from wheelstep.rehearsal.scale.real import RealCourier
from wheelstep.rehearsal.scale.settings import DEADLINE_S, IS_ORDERED, KEYS_PER_DESTINATION, draw_class
from wheelstep.rehearsal.scale.traffic import CLIENT_TIMEOUT_S, MAX_TRIES, DestinationSampler, Histogram
from wheelstep.rehearsal.standins.wire import Client

_RETRY_DELAY_RANGE_S = (0.33, 1.7)
_BODY = b"x" * 200
_MAX_IDLE_CONNECTIONS = 32


@dataclass(slots=True)
class TrackedMessage:
    """A message of a client. `accepted_s` is the time of its 202 on the monotonic clock, or None; `uncertain` tells
    that a submission got no answer, so that it may or may not have been accepted."""

    id: str
    destination: int
    message_class: str
    accepted_s: float | None = None
    tries: int = 0
    uncertain: bool = False


@dataclass
class Clients:
    """The clients of all real couriers. `couriers` are those to which messages are submitted."""

    couriers: Sequence[RealCourier]
    sampler: DestinationSampler
    rng: random.Random
    messages: list[TrackedMessage] = field(default_factory=list)
    answers: Counter[str] = field(default_factory=Counter)
    answer_times: Histogram = field(default_factory=Histogram)
    last_failure_s: float = 0.0
    unanswered: int = 0
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)
    _rate_task: asyncio.Task[None] | None = None

    def set_rate(self, per_s: float) -> None:
        """Submit `per_s` messages a second in all from now on; 0 submits none."""
        if self._rate_task is not None:
            self._rate_task.cancel()
            self._rate_task = None
        if per_s > 0:
            self._rate_task = asyncio.create_task(self._submit_forever(per_s))

    async def _submit_forever(self, per_s: float) -> None:
        loop = asyncio.get_running_loop()
        due_s = loop.time()
        while True:
            due_s += self.rng.expovariate(per_s)
            if (delay_s := due_s - loop.time()) > 0:
                await asyncio.sleep(delay_s)
            self.submit(self.sampler.next())

    def submit(self, destination: int, courier: RealCourier | None = None) -> TrackedMessage:
        """Submit a message for a destination. The first try goes to `courier` if it is given and up, all others to a
        random one."""
        message = TrackedMessage(f"t{len(self.messages)}-{time.monotonic_ns() // 1000:x}-{destination}", destination,
                                 draw_class(self.rng))
        self.messages.append(message)
        self.unanswered += 1
        task = asyncio.create_task(self._submit_until_answered(message, courier))
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return message

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        self.unanswered -= 1
        if not task.cancelled() and (error := task.exception()) is not None:
            asyncio.get_running_loop().call_exception_handler({"message": "a client's task failed", "exception": error})

    async def wait_answered(self, within_s: float) -> bool:
        """Wait until every message submitted before this call is answered or given up; return False if `within_s`
        passed first. Messages submitted meanwhile are not waited for."""
        pending = set(self._tasks)
        if pending:
            await asyncio.wait(pending, timeout=within_s)
        return all(task.done() for task in pending)

    def close(self) -> None:
        """Stop submitting and cancel all tries."""
        self.set_rate(0.0)
        for task in self._tasks:
            task.cancel()

    async def _submit_until_answered(self, message: TrackedMessage, courier: RealCourier | None) -> None:
        key = (f"/{message.destination}.{self.rng.randrange(KEYS_PER_DESTINATION)}"
               if IS_ORDERED[message.message_class] else "")
        deadline_s = time.monotonic() + DEADLINE_S
        for try_number in range(MAX_TRIES):
            available = [candidate for candidate in self.couriers if candidate.up]
            target = (courier if courier is not None and courier.up and not try_number
                      else self.rng.choice(available) if available else None)
            remaining_ms = int((deadline_s - time.monotonic()) * 1000)
            if remaining_ms <= 0:
                break
            message.tries += 1
            began_s = time.perf_counter()
            status = await self._request(target, message, key, remaining_ms, try_number) if target is not None else -1
            self.answers[{0: "none", -1: "unreached"}.get(status, str(status))] += 1
            if status in (200, 202):
                message.accepted_s = time.monotonic()
                self.answer_times.add(time.perf_counter() - began_s)
                return
            message.uncertain = message.uncertain or status == 0
            self.last_failure_s = time.monotonic()
            if status == 400:
                break
            await asyncio.sleep(self.rng.uniform(*_RETRY_DELAY_RANGE_S))
        self.answers["given_up"] += 1

    async def _request(self, courier: RealCourier, message: TrackedMessage, key: str, remaining_ms: int,
                       try_number: int) -> int:
        """Return the status of the answer; 0 if none came, -1 if no connection was established."""
        retry_header = "X-Retry: again\r\n" if try_number else ""
        request = (f"POST /api{key} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: {message.id}\r\n"
                   f"X-Class: {message.message_class}\r\nX-Deadline-Ms: {remaining_ms}\r\n"
                   f"X-Consignee: dest={message.destination}\r\nIdempotency-Key: k{message.id}\r\n{retry_header}"
                   f"Content-Length: {len(_BODY)}\r\n\r\n").encode() + _BODY
        connection: Client | None = None
        reached = False
        try:
            async with asyncio.timeout(CLIENT_TIMEOUT_S):
                while courier.idle and (connection is None or connection.closed):
                    connection = courier.idle.pop()
                if connection is None or connection.closed:
                    connection = await Client.dial(courier.site.ip, CLIENTS_PORT)
                reached = True
                answer = await connection.exchange(request)
        except (OSError, TimeoutError):
            answer = None
        if answer is None:
            if connection is not None:
                connection.close()
            return 0 if reached else -1
        if connection is not None and not connection.closed and len(courier.idle) < _MAX_IDLE_CONNECTIONS:
            courier.idle.append(connection)
        return answer[0]
