"""Clients: each message at its time to its courier, to another one where that is down."""

from __future__ import annotations

import asyncio
import random
from collections import Counter

from wheelstep.rehearsal.standins.wire import Client

from .fleet import PORT, Fleet, Member
from .plan import Arrival
from .site import Play

PATIENCE_S = 0.4
TRIES = 8
_AGAIN_S = (0.33, 1.7)


class Clients:
    """All clients of the fleet during one play."""

    def __init__(self, fleet: Fleet, play: Play, seed: int) -> None:
        self._fleet, self._play, self._rng = fleet, play, random.Random(f"clients {seed}")
        self.owner: dict[int, int] = {}  # message -> the courier that answered 202
        self.answers: Counter[str] = Counter()
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Hand all in, and wait until each is answered or given up."""
        loop = asyncio.get_running_loop()
        for message in self._play.messages:
            if (left_s := self._play.began + message.at_s - loop.time()) > 0:
                await asyncio.sleep(left_s)
            task = loop.create_task(self._hand_in(message))
            self._tasks.add(task)
            task.add_done_callback(self._done)
        while self._tasks:
            await asyncio.wait(self._tasks)

    def _done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            asyncio.get_running_loop().call_exception_handler({"message": "a client died", "exception": error})

    def close(self) -> None:
        """Stop."""
        for task in self._tasks:
            task.cancel()

    async def _hand_in(self, message: Arrival) -> None:
        member = self._fleet.members[message.courier]
        for tries in range(TRIES):
            if not member.up:  # the front deals out others
                member = self._rng.choice([one for one in self._fleet.members if one.up])
            status = await self._ask(member, message, tries)
            self.answers[str(status or "none")] += 1
            if status in (200, 202):
                self.owner[message.number] = member.index
                return
            await asyncio.sleep(self._rng.uniform(*_AGAIN_S))
            member = self._rng.choice(self._fleet.members)

    async def _ask(self, member: Member, message: Arrival, tries: int) -> int:
        """The answer's status; 0 for none."""
        name = f"{self._play.tag}-{message.number}-{tries}"
        body = b"x" * 200
        again = "X-Retry: again\r\n" if tries else ""
        request = (f"POST /api HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: {name}\r\nX-Class: update\r\n"
                   f"X-Deadline-Ms: 20000\r\nX-Consignee: dest={message.destination}\r\n"
                   f"Idempotency-Key: t{self._play.tag}{message.number}\r\n{again}"
                   f"Content-Length: {len(body)}\r\n\r\n").encode() + body
        link: Client | None = None
        try:
            async with asyncio.timeout(PATIENCE_S):
                while member.idle and (link is None or link.closed):
                    link = member.idle.pop()
                answer = await link.exchange(request) if link is not None and not link.closed else None
                if answer is None:
                    link = await Client.dial(member.host, PORT)
                    answer = await link.exchange(request)
        except (OSError, TimeoutError):
            answer = None
        if answer is None:
            if link is not None:
                link.close()
            return 0
        if link is not None and not link.closed and member.up:
            member.idle.append(link)
        return answer[0]
