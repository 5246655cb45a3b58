"""Clients of real couriers: every message is followed from its hand-in to its 202, by id; partners tell the rest."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

from wheelstep.rehearsal.scale.plan import CLIENTS_PORT
from wheelstep.rehearsal.scale.real import RealCourier
from wheelstep.rehearsal.scale.settings import DEADLINE_S, KEYS, ORDERED, draw_class
from wheelstep.rehearsal.scale.traffic import PATIENCE_S, TRIES, Draw, Histogram
from wheelstep.rehearsal.standins.wire import Client

_AGAIN_S = (0.33, 1.7)
_BODY = b"x" * 200
_IDLE = 32


@dataclass(slots=True)
class Followed:
    """A message of a client. `doubted`: a hand-in of it was neither taken nor turned away for certain."""

    id: str
    destination: int
    message_class: str
    taken_s: float | None = None
    tries: int = 0
    doubted: bool = False


@dataclass
class Clients:
    """All of them. `couriers` are those that a front deals out."""

    couriers: Sequence[RealCourier]
    draw: Draw
    rng: random.Random
    messages: list[Followed] = field(default_factory=list)
    answers: Counter[str] = field(default_factory=Counter)
    took: Histogram = field(default_factory=Histogram)
    failed_s: float = 0.0
    open: int = 0
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)
    _pace: asyncio.Task[None] | None = None

    def set(self, per_s: float) -> None:
        """So many messages a second in all, from now on."""
        if self._pace is not None:
            self._pace.cancel()
            self._pace = None
        if per_s > 0:
            self._pace = asyncio.create_task(self._run(per_s))

    async def _run(self, per_s: float) -> None:
        loop = asyncio.get_running_loop()
        due_s = loop.time()
        while True:
            due_s += self.rng.expovariate(per_s)
            if (left_s := due_s - loop.time()) > 0:
                await asyncio.sleep(left_s)
            self.hand_in(self.draw.next())

    def hand_in(self, destination: int, courier: RealCourier | None = None) -> Followed:
        """A message for a destination, at this courier first or at any."""
        message = Followed(f"t{len(self.messages)}-{time.monotonic_ns() // 1000:x}-{destination}", destination,
                           draw_class(self.rng))
        self.messages.append(message)
        self.open += 1
        task = asyncio.create_task(self._follow(message, courier))
        self._tasks.add(task)
        task.add_done_callback(self._done)
        return message

    def _done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        self.open -= 1
        if not task.cancelled() and (error := task.exception()) is not None:
            asyncio.get_running_loop().call_exception_handler({"message": "a client died", "exception": error})

    async def settled(self, within_s: float) -> bool:
        """Wait until each that was handed in before has its answer or is given up; more may come meanwhile."""
        before = set(self._tasks)
        if before:
            await asyncio.wait(before, timeout=within_s)
        return all(task.done() for task in before)

    def close(self) -> None:
        """Stop."""
        self.set(0.0)
        for task in self._tasks:
            task.cancel()

    async def _follow(self, message: Followed, courier: RealCourier | None) -> None:
        key = f"/{message.destination}.{self.rng.randrange(KEYS)}" if ORDERED[message.message_class] else ""
        deadline_s = time.monotonic() + DEADLINE_S
        for tries in range(TRIES):
            up = [one for one in self.couriers if one.up]
            at = courier if courier is not None and courier.up and not tries else self.rng.choice(up) if up else None
            left_ms = int((deadline_s - time.monotonic()) * 1000)
            if left_ms <= 0:
                break
            message.tries += 1
            began_s = time.perf_counter()
            status = await self._ask(at, message, key, left_ms, tries) if at is not None else -1
            self.answers[{0: "none", -1: "unreached"}.get(status, str(status))] += 1
            if status in (200, 202):
                message.taken_s = time.monotonic()
                self.took.add(time.perf_counter() - began_s)
                return
            message.doubted = message.doubted or status == 0
            self.failed_s = time.monotonic()
            if status == 400:
                break
            await asyncio.sleep(self.rng.uniform(*_AGAIN_S))
        self.answers["given_up"] += 1

    async def _ask(self, courier: RealCourier, message: Followed, key: str, left_ms: int, tries: int) -> int:
        """The answer's status; 0 for none, -1 where nobody was reached."""
        again = "X-Retry: again\r\n" if tries else ""
        request = (f"POST /api{key} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: {message.id}\r\n"
                   f"X-Class: {message.message_class}\r\nX-Deadline-Ms: {left_ms}\r\n"
                   f"X-Consignee: dest={message.destination}\r\nIdempotency-Key: k{message.id}\r\n{again}"
                   f"Content-Length: {len(_BODY)}\r\n\r\n").encode() + _BODY
        link: Client | None = None
        reached = False
        try:
            async with asyncio.timeout(PATIENCE_S):
                while courier.idle and (link is None or link.closed):
                    link = courier.idle.pop()
                if link is None or link.closed:
                    link = await Client.dial(courier.site.ip, CLIENTS_PORT)
                reached = True
                answer = await link.exchange(request)
        except (OSError, TimeoutError):
            answer = None
        if answer is None:
            if link is not None:
                link.close()
            return 0 if reached else -1
        if link is not None and not link.closed and len(courier.idle) < _IDLE:
            courier.idle.append(link)
        return answer[0]
