"""Calls to endpoints and probes, each a task of its own, from the first wait to its one outcome.

Nothing is ever sent again behind the caller's back, since an outcome hangs on what was written and when.
`pool` has the connections, `form` the bytes and what an answer means, `call` what is asked of the owner.
"""

from __future__ import annotations

import asyncio
import bisect
import logging
import math
import time
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from dataclasses import replace

from wheelstep import interface as api
from wheelstep.courier import form
from wheelstep.courier.answer import Answer
from wheelstep.courier.call import Gate, Item, Progress, Result
from wheelstep.courier.call_errors import BrokenError, LateError, LocalError
from wheelstep.courier.pool import Pool
from wheelstep.interface import UNRUN, Outcome

__all__ = ["Gate", "Item", "Outlet", "Result"]

_ABANDON_S = 0.2  # for calls that are given up to close their connections: they wait for nothing else

log = logging.getLogger(__name__)


class Outlet(Pool):
    """All calls and connections of this courier."""

    def __init__(self, gate: Gate, dial_timeout_us: int, conn_idle_us: int, report: tuple[str, ...],
                 most: int = 100) -> None:
        super().__init__(dial_timeout_us, conn_idle_us, most)
        self._gate, self._report = gate, report
        self._tasks: set[asyncio.Task[None]] = set()
        self._calls: dict[tuple[str, int], asyncio.Task[None]] = {}
        self.sign: Callable[[str, Item], Sequence[tuple[str, str]]] | None = None  # further headers of single calls

    def call(self, endpoint: str, items: Sequence[Item], timeout_us: int) -> None:
        """Start one call; every item gets its outcome through the gate."""
        task = self._spawn(self._call(endpoint, items, timeout_us))
        task.add_done_callback(lambda task: self._never_began(endpoint, items) if task.cancelled() else None)
        for item in items:
            self._calls[item.message, item.attempt] = task

    def cancel(self, message: str, attempt: int) -> None:
        """Give up the call that carries this attempt, by closing its connection."""
        if task := self._calls.get((message, attempt)):
            task.cancel()

    def probe(self, endpoint: str, timeout_us: int) -> None:
        """Start one probe."""
        self._spawn(self._probe(endpoint, timeout_us))

    def calls(self) -> Sequence[Sequence[tuple[str, int]]]:
        """The calls under way: for each its messages, with their attempts."""
        found: dict[asyncio.Task[None], list[tuple[str, int]]] = {}
        for attempt, task in self._calls.items():
            found.setdefault(task, []).append(attempt)
        return [*found.values()]

    def carries(self, message: str) -> bool:
        """Is a call with it under way, or about to be?"""
        return any(name == message for name, _ in self._calls)

    def links(self) -> int:
        """Connections: with a call, or being dialled, and idle."""
        return len(self._tasks) + self._idle()

    async def finish(self, timeout_s: float) -> None:
        """Wait for the calls under way, up to a time."""
        if self._tasks:
            await asyncio.wait(set(self._tasks), timeout=timeout_s)

    async def abandon(self) -> None:
        """Give up all calls under way and close their connections: nobody is there any more to hear their outcomes."""
        calls = set(self._calls.values())
        for task in calls:
            task.cancel()
        if calls:
            await asyncio.wait(calls, timeout=_ABANDON_S)

    def _spawn(self, work: Coroutine[object, object, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._finished)
        return task

    def _finished(self, task: asyncio.Task[None]) -> None:
        """Guards against a task that dies unheard."""
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            log.error("a call's outcome could not be told", exc_info=error)

    def _never_began(self, endpoint: str, items: Sequence[Item]) -> None:
        """Guards against a call with no outcome: one that is cancelled before its task has run a step."""
        for item in items:
            self._calls.pop((item.message, item.attempt), None)
        self._gate.ended(endpoint, [(item, Result(Outcome.NOT_SENT)) for item in items])

    async def _call(self, endpoint: str, items: Sequence[Item], timeout_us: int) -> None:
        end = time.monotonic() + timeout_us / 1e6
        progress = Progress()
        live: list[Item] = []

        def request() -> bytes | None:
            # Guards against sends that became wrong while the connection came up: the endpoint drains or is
            # gone, a wait was told, the message is over, its time is, or its key may be forgotten.
            live[:] = [item for item in items if self._may_start(endpoint, item)]
            if not live:
                return None
            try:
                self._gate.starting(endpoint, live)
            except OSError as error:
                raise LocalError(f"the journal does not take its attempts: {error}") from error
            further = self.sign(endpoint, live[0]) if self.sign is not None and len(live) == 1 else ()
            return form.request(live, self._name(endpoint), max(1, math.ceil((end - time.monotonic()) * 1e3)), further)

        async def work() -> Answer | None:
            await self._gate.settled(items)
            once = any(item.once for item in items)
            return await self._exchange(endpoint, progress, request, may_write, live, once)

        async def may_write() -> bool:
            # A sync may take its time: what was right before it is looked at once more.
            return await self._gate.safe() and all(self._may_start(endpoint, item) for item in live)

        outcome, answer = await self._bounded(work, progress, timeout_us)
        for item in items:
            self._calls.pop((item.message, item.attempt), None)
        wait_us, limit = self._told(endpoint, answer)
        fared = dict(zip((item.message for item in live), form.fared(outcome, answer, live), strict=True))
        unrun = Result(outcome if outcome in UNRUN else Outcome.NOT_SENT)
        spent_us = int((time.monotonic() - end) * 1e6) + timeout_us
        spoilt = answer is not None and answer.spoilt
        self._gate.ended(endpoint, [
            (item, replace(fared.get(item.message, unrun), spent_us=spent_us, wait_us=wait_us, limit=limit,
                           unfinished=spoilt and item.message in fared))
            for item in items])

    def _may_start(self, endpoint: str, item: Item) -> bool:
        return time.monotonic() < item.until_s and self._gate.may_start(endpoint, item)

    async def _probe(self, endpoint: str, timeout_us: int) -> None:
        began = time.monotonic()
        request = f"GET /healthz HTTP/1.1\r\nHost: {self._name(endpoint)}\r\n\r\n".encode()
        progress = Progress()
        outcome, answer = await self._bounded(
            lambda: self._exchange(endpoint, progress,
                                   lambda: request if self._gate.may_probe(endpoint) else None),
            progress, timeout_us)
        if answer is not None:
            outcome = form.status(answer).outcome
        wait_us, limit = self._told(endpoint, answer)
        spent_us = int((time.monotonic() - began) * 1e6)
        self._gate.probed(endpoint, Result(outcome, spent_us, wait_us, limit))

    async def _bounded(self, work: Callable[[], Coroutine[object, object, Answer | None]],
                       progress: Progress, timeout_us: int) -> tuple[Outcome, Answer | None]:
        """Run an exchange for so long at most. Guards against a call that ends with no outcome at all."""
        try:
            async with asyncio.timeout(max(timeout_us, 0) / 1e6):
                answer = await work()
            return (Outcome.NOT_SENT if answer is None else Outcome.OK), answer
        except TimeoutError:
            return progress.ended_by(Outcome.TIMEOUT), None
        except asyncio.CancelledError:
            return progress.ended_by(Outcome.CANCELLED), None
        except LocalError as error:
            log.warning("a call is not sent: %s", error)
            return Outcome.NOT_SENT, None
        except LateError:
            return Outcome.NOT_SENT, None
        except BrokenError:
            return progress.ended_by(Outcome.RESET), None
        except Exception:
            log.exception("a call failed unexpectedly")
            return progress.ended_by(Outcome.RESET), None

    async def _exchange(self, endpoint: str, progress: Progress,
                        request: Callable[[], bytes | None],
                        may_write: Callable[[], Awaitable[bool]] | None = None,
                        items: Sequence[Item] = (), once: bool = False) -> Answer | None:
        """One request and its answer, or None where there is nothing to send any more."""
        host = self._hosts.get(endpoint)
        if host is None:
            return None
        link = await self._connect(host, progress, len(self._tasks), once)
        keep = False
        try:
            wanted = request()
            if (wanted is not None and may_write is not None and self._gate.syncs
                    and not (await may_write() and link.usable())):  # it may have ended meanwhile
                wanted = None
            if wanted is None:
                keep = True  # its endpoint has seen nothing: it goes on idling for as long as it has
                return None
            progress.link = link
            try:
                await link.send(wanted, min((item.until_s for item in items), default=math.inf))
            finally:  # also where it is given up in the turn in which its last byte went out
                if link.written and items:
                    self._gate.written(len(items))
            answer = await link.answer(alone=len(items) < 2)
            keep = not answer.spoilt and link.next_cycle()
            return answer
        finally:
            if keep and self._hosts.get(endpoint) is host:
                bisect.insort(host.idle, link, key=lambda other: other.idle_since)
            else:
                self._close(host, link, "a call on it ended without an answer" if link.awaits_answer else "not kept")

    def _told(self, endpoint: str, answer: Answer | None) -> tuple[int, api.LimitReport | None]:
        """The wait and the report that any answer may carry; a wait is told at once."""
        wait_us, limit = form.told(answer, self._report)
        if wait_us:
            self._gate.told_to_wait(endpoint, wait_us)
        return wait_us, limit
