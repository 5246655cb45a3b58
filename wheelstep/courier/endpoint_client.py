"""Calls to endpoints and probes, one task each, from the first wait to its single outcome.

Nothing is sent again without the owner's decision, since an outcome depends on what was written and when. `pool`
manages the connections, `form` the wire format and the meaning of answers, `call` the interface to the owner.
"""

from __future__ import annotations

import asyncio
import bisect
import logging
import math
import time
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from dataclasses import replace
from weakref import WeakKeyDictionary

from wheelstep import interface as api
from wheelstep.courier import form
from wheelstep.courier.answer import Answer, status_of
from wheelstep.courier.call import CallOwner, Contradiction, Item, Progress, Result
from wheelstep.courier.call_errors import ConnectionBrokenError, LocalResourceError, WriteTimeoutError
from wheelstep.courier.connection import Connection
from wheelstep.courier.pool import REQUEST_TIMEOUT, ConnectionPool, Host
from wheelstep.courier.reliable_socket import reads_fail
from wheelstep.interface import NEVER_EXECUTED, Outcome

__all__ = ["CallOwner", "EndpointClient", "Item", "Result"]

_ABANDON_S = 0.2  # time for cancelled calls to close their connections; nothing else delays them

log = logging.getLogger("wheelstep.courier.outlet")


class EndpointClient(ConnectionPool):
    """All calls, probes and connections of this courier."""

    def __init__(self, owner: CallOwner, dial_timeout_us: int, conn_idle_us: int, load_fields: tuple[str, ...],
                 max_connections: int = 100) -> None:
        super().__init__(dial_timeout_us, conn_idle_us, max_connections)
        self._owner, self._load_fields = owner, load_fields
        self._tasks: set[asyncio.Task[None]] = set()
        self._tasks_by_attempt: dict[tuple[str, int], asyncio.Task[None]] = {}
        self._single_answers: WeakKeyDictionary[Connection, tuple[Item, int]] = WeakKeyDictionary()  # last call's
        self.on_contradiction: Callable[[Contradiction], None] | None = None
        self.sign: Callable[[str, Item], Sequence[tuple[str, str]]] | None = None  # extra headers of single calls

    def call(self, endpoint: str, items: Sequence[Item], timeout_us: int) -> None:
        """Start one call. The owner receives exactly one outcome for every item."""
        task = self._spawn(self._call(endpoint, items, timeout_us))
        task.add_done_callback(lambda task: self._cancelled_before_start(endpoint, items) if task.cancelled() else None)
        for item in items:
            self._tasks_by_attempt[item.message, item.attempt] = task

    def cancel(self, message: str, attempt: int) -> None:
        """Cancel the call that carries this attempt, which closes its connection."""
        if task := self._tasks_by_attempt.get((message, attempt)):
            task.cancel()

    def probe(self, endpoint: str, timeout_us: int) -> None:
        """Start one probe."""
        self._spawn(self._probe(endpoint, timeout_us))

    def calls(self) -> Sequence[Sequence[tuple[str, int]]]:
        """Return the calls under way: for each its messages, with their attempt numbers."""
        found: dict[asyncio.Task[None], list[tuple[str, int]]] = {}
        for attempt, task in self._tasks_by_attempt.items():
            found.setdefault(task, []).append(attempt)
        return [*found.values()]

    def carries(self, message: str) -> bool:
        """Return whether a call with the message is under way or about to start."""
        return any(name == message for name, _ in self._tasks_by_attempt)

    def connection_count(self) -> int:
        """Return the number of connections: in a call, being opened, and idle."""
        return len(self._tasks) + self._idle_count()

    async def finish(self, timeout_s: float) -> None:
        """Wait for the calls under way, for `timeout_s` at most."""
        if self._tasks:
            await asyncio.wait(set(self._tasks), timeout=timeout_s)

    async def abandon(self) -> None:
        """Cancel all calls and close their connections; nobody is left to receive their outcomes."""
        calls = set(self._tasks_by_attempt.values())
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
        """Log a task that failed, whose error would go unnoticed otherwise."""
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            log.error("a call's outcome could not be reported", exc_info=error)

    def _cancelled_before_start(self, endpoint: str, items: Sequence[Item]) -> None:
        """Report the outcome of a call that was cancelled before its task ran a step; it would have none otherwise."""
        for item in items:
            self._tasks_by_attempt.pop((item.message, item.attempt), None)
        self._owner.ended(endpoint, [(item, Result(Outcome.NOT_SENT)) for item in items])

    async def _call(self, endpoint: str, items: Sequence[Item], timeout_us: int) -> None:
        end = time.monotonic() + timeout_us / 1e6
        progress = Progress()
        ready: list[Item] = []

        def request() -> bytes | None:
            # Repeats the checks, since the attempt may have become wrong while the connection was opened: the
            # endpoint drains or is gone, it asked to wait, the message is over, its time is up, or the endpoint may
            # have forgotten its key.
            ready[:] = [item for item in items if self._may_start(endpoint, item)]
            if not ready:
                return None
            try:
                self._owner.attempts_starting(endpoint, ready)
            except OSError as error:
                raise LocalResourceError(f"the journal cannot take its attempts: {error}") from error
            extra = self.sign(endpoint, ready[0]) if self.sign is not None and len(ready) == 1 else ()
            return form.render(ready, self._netloc(endpoint), max(1, math.ceil((end - time.monotonic()) * 1e3)), extra)

        async def work() -> Answer | None:
            await self._owner.wait_for_earlier(items)
            once = any(item.once for item in items)
            return await self._exchange(endpoint, progress, request, may_write, ready, once)

        async def may_write() -> bool:
            # A sync may take long, so the checks are repeated after it.
            return await self._owner.wait_durable() and all(self._may_start(endpoint, item) for item in ready)

        outcome, answer = await self._run_bounded(work, progress, timeout_us)
        for item in items:
            self._tasks_by_attempt.pop((item.message, item.attempt), None)
        wait_us, limit = self._apply_answer_headers(endpoint, answer)
        results = dict(zip((item.message for item in ready), form.results(outcome, answer, ready), strict=True))
        not_run = Result(outcome if outcome in NEVER_EXECUTED else Outcome.NOT_SENT)
        spent_us = int((time.monotonic() - end) * 1e6) + timeout_us
        malformed = answer is not None and answer.malformed
        self._owner.ended(endpoint, [
            (item, replace(results.get(item.message, not_run), spent_us=spent_us, wait_us=wait_us, limit=limit,
                           unfinished=malformed and item.message in results))
            for item in items])

    def _may_start(self, endpoint: str, item: Item) -> bool:
        now_s = time.monotonic()
        return now_s < item.write_until_s and not reads_fail(now_s) and self._owner.may_start(endpoint, item)

    def _may_probe(self, endpoint: str) -> bool:
        return not reads_fail(time.monotonic()) and self._owner.may_probe(endpoint)

    async def _probe(self, endpoint: str, timeout_us: int) -> None:
        began = time.monotonic()
        request = f"GET /healthz HTTP/1.1\r\nHost: {self._netloc(endpoint)}\r\n\r\n".encode()
        progress = Progress()
        outcome, answer = await self._run_bounded(
            lambda: self._exchange(endpoint, progress,
                                   lambda: request if self._may_probe(endpoint) else None),
            progress, timeout_us)
        if answer is not None:
            outcome = form.status_result(answer).outcome
        wait_us, limit = self._apply_answer_headers(endpoint, answer)
        spent_us = int((time.monotonic() - began) * 1e6)
        self._owner.probed(endpoint, Result(outcome, spent_us, wait_us, limit))

    async def _run_bounded(self, work: Callable[[], Coroutine[object, object, Answer | None]],
                           progress: Progress, timeout_us: int) -> tuple[Outcome, Answer | None]:
        """Run an exchange for `timeout_us` at most, and map every way in which it can end to an outcome."""
        try:
            async with asyncio.timeout(max(timeout_us, 0) / 1e6):
                answer = await work()
            return (Outcome.NOT_SENT if answer is None else Outcome.OK), answer
        except TimeoutError:
            return progress.ended_by(Outcome.TIMEOUT), None
        except asyncio.CancelledError:
            return progress.ended_by(Outcome.CANCELLED), None
        except LocalResourceError as error:
            log.warning("a call is not sent for lack of a local resource: %s", error)
            return Outcome.NOT_SENT, None
        except WriteTimeoutError:
            return Outcome.NOT_SENT, None
        except ConnectionBrokenError:
            return progress.ended_by(Outcome.RESET), None
        except Exception:
            log.exception("a call failed unexpectedly")
            return progress.ended_by(Outcome.RESET), None

    async def _exchange(self, endpoint: str, progress: Progress,
                        request: Callable[[], bytes | None],
                        may_write: Callable[[], Awaitable[bool]] | None = None,
                        items: Sequence[Item] = (), once: bool = False) -> Answer | None:
        """Send one request and return its answer, or None if there is nothing to send any more."""
        host = self._hosts.get(endpoint)
        if host is None:
            return None
        connection = await self._acquire(host, progress, len(self._tasks), once)
        keep = False
        try:
            payload = request()
            if (payload is not None and may_write is not None and self._owner.syncs
                    and not (await may_write() and connection.usable())):  # the connection may have ended meanwhile
                payload = None
            if payload is None:
                keep = True  # the endpoint has received nothing, so the connection's idle time continues
                return None
            progress.connection = connection
            self._single_answers.pop(connection, None)
            for item in items:
                self._record_call(connection, item)
            try:
                await connection.send(payload, min((item.write_until_s for item in items), default=math.inf))
            finally:  # also if the call is cancelled in the turn that writes its last byte
                if connection.written and items:
                    self._owner.messages_written(len(items))
            answer = await connection.read_answer(single=len(items) < 2)
            keep = not answer.malformed and connection.make_idle()
            if len(items) == 1:
                self._single_answers[connection] = items[0], answer.status
            return answer
        finally:
            if keep and self._hosts.get(endpoint) is host and not host.reuse.single_use(time.monotonic()):
                bisect.insort(host.idle, connection, key=lambda other: other.idle_since)
            else:
                self._close(host, connection, "call unanswered" if connection.awaits_answer else "not reusable")
                await asyncio.sleep(0)  # the transport closes its socket in the next turn: no outcome counts before

    def _note_unrequested(self, host: Host, connection: Connection, data: bytes) -> None:
        """Note unrequested bytes; report them if they contradict the answer to the last call."""
        super()._note_unrequested(host, connection, data)
        last, found = self._single_answers.get(connection), status_of(data)
        if self.on_contradiction is None or last is None or found in (None, REQUEST_TIMEOUT) or connection.calls < 2:
            return  # the answer to a connection's first call is its own
        item, believed = last
        if found != believed:
            self.on_contradiction(Contradiction(item, believed, found))

    def _apply_answer_headers(self, endpoint: str, answer: Answer | None) -> tuple[int, api.LimitReport | None]:
        """Return the wait and the load report, which any answer may carry, and report a wait to the owner at once."""
        wait_us, limit = form.wait_and_limit(answer, self._load_fields)
        if wait_us:
            self._owner.apply_wait(endpoint, wait_us)
        return wait_us, limit
