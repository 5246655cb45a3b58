"""Clients that submit each message at its time to its courier, or to another courier if that one is down."""

from __future__ import annotations

import asyncio
import random
from collections import Counter

from wheelstep.rehearsal.standins.wire import Client

from .fleet import PORT, Fleet, Member
from .plan import Arrival
from .site import SceneRun

CLIENT_TIMEOUT_S = 0.4  # for connecting and waiting for the answer
MAX_TRIES = 8  # submissions of one message
_RETRY_DELAY_S = (0.33, 1.7)  # shortest and longest delay before the next try


class Clients:
    """All clients of the fleet during one scene."""

    def __init__(self, fleet: Fleet, scene_run: SceneRun, seed: int) -> None:
        self._fleet, self._scene_run, self._rng = fleet, scene_run, random.Random(f"clients {seed}")
        self.accepted_by: dict[int, int] = {}  # message number -> index of the courier that answered 200 or 202
        self.answers: Counter[str] = Counter()
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Submit every message at its time and wait until each is accepted or its tries are used up."""
        loop = asyncio.get_running_loop()
        for message in self._scene_run.messages:
            if (left_s := self._scene_run.started + message.at_s - loop.time()) > 0:
                await asyncio.sleep(left_s)
            task = loop.create_task(self._submit(message))
            self._tasks.add(task)
            task.add_done_callback(self._done)
        while self._tasks:
            await asyncio.wait(self._tasks)

    def _done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            asyncio.get_running_loop().call_exception_handler({"message": "client task failed", "exception": error})

    def close(self) -> None:
        """Cancel all clients that still wait for an answer."""
        for task in self._tasks:
            task.cancel()

    async def _submit(self, message: Arrival) -> None:
        member = self._fleet.members[message.courier]
        for tries in range(MAX_TRIES):
            if not member.up:  # a load balancer would choose another courier
                member = self._rng.choice([one for one in self._fleet.members if one.up])
            status = await self._post(member, message, tries)
            self.answers[str(status or "none")] += 1
            if status in (200, 202):
                self.accepted_by[message.number] = member.index
                return
            await asyncio.sleep(self._rng.uniform(*_RETRY_DELAY_S))
            member = self._rng.choice(self._fleet.members)

    async def _post(self, member: Member, message: Arrival, tries: int) -> int:
        """Return the status of the answer, or 0 without an answer."""
        request_id = f"{self._scene_run.tag}-{message.number}-{tries}"
        body = b"x" * 200
        retry_header = "X-Retry: again\r\n" if tries else ""
        request = (f"POST /api HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: {request_id}\r\nX-Class: update\r\n"
                   f"X-Deadline-Ms: 20000\r\nX-Consignee: dest={message.destination}\r\n"
                   f"Idempotency-Key: t{self._scene_run.tag}{message.number}\r\n{retry_header}"
                   f"Content-Length: {len(body)}\r\n\r\n").encode() + body
        link: Client | None = None
        try:
            async with asyncio.timeout(CLIENT_TIMEOUT_S):
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
