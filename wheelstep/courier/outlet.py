"""Calls to endpoints: connections, the single and the bulk form, probes, and what an answer means.

Nothing is ever sent again behind the caller's back, since an outcome hangs on what was written and when.
"""

from __future__ import annotations

import asyncio
import builtins
import logging
import math
import time
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from dataclasses import dataclass, field, replace
from typing import Protocol

from wheelstep import interface as api
from wheelstep.courier.config import Address
from wheelstep.courier.connection import Answer, BrokenError, Connection
from wheelstep.interface import UNRUN, Outcome

_IDLE_MARGIN_S = 1.5  # an idle connection is given up so long before the endpoint would
_SWEEP_S = 0.5
_ENDS = {"delivered": Outcome.OK, "failed": Outcome.ERROR, "refused": Outcome.FULL,
         "over": Outcome.NOT_SENT, "spent": Outcome.NOT_SENT}

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Item:
    """One message of a call."""

    message: str
    attempt: int
    token: str | None
    body: bytes


@dataclass(frozen=True, slots=True)
class Result:
    """How one message of a call fared."""

    outcome: Outcome
    spent_us: int = 0
    wait_us: int = 0
    limit: api.LimitReport | None = None
    over: bool = False  # the message is over, and nothing more is owed
    exhausted: bool = False  # the message has had all its attempts


class Gate(Protocol):
    """What the outlet asks of its owner."""

    @property
    def syncs(self) -> bool:
        """Is there anything to wait for between writing an attempt down and its first byte?"""

    async def settled(self, items: Sequence[Item]) -> None:
        """Wait until nothing that must come before these messages is still under way."""

    def may_start(self, endpoint: str, item: Item) -> bool:
        """Asked right before the first byte: may it still go there?"""

    def may_probe(self, endpoint: str) -> bool:
        """The same for a probe."""

    def starting(self, endpoint: str, items: Sequence[Item]) -> None:
        """The first byte follows."""

    def written(self, messages: int) -> None:
        """A call with so many was written whole."""

    async def safe(self) -> bool:
        """Wait until the attempts that were written down are safe; False if they are not to be sent."""

    def told_to_wait(self, endpoint: str, wait_us: int) -> None:
        """An answer told to wait."""

    def ended(self, endpoint: str, results: Sequence[tuple[Item, Result]]) -> None:
        """Each message's one outcome."""

    def probed(self, endpoint: str, result: Result) -> None:
        """A probe's one outcome."""


@dataclass(slots=True)
class _Host:
    """An endpoint's address and its idle connections, the one used last at the end."""

    address: Address
    idle: list[Connection] = field(default_factory=list)


class Outlet:
    """All calls and connections of this courier."""

    def __init__(self, gate: Gate, dial_timeout_us: int, conn_idle_us: int, report: tuple[str, ...],
                 most: int = 100) -> None:
        self._gate, self._report = gate, report
        self._most = most  # connections at once: with a call, idle, and being dialled
        self._dial_s = dial_timeout_us / 1e6
        idle_s = conn_idle_us / 1e6 if conn_idle_us else 5.0
        self._idle_s = max(idle_s - _IDLE_MARGIN_S, idle_s / 2)
        self._hosts: dict[str, _Host] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._calls: dict[tuple[str, int], asyncio.Task[None]] = {}
        self.dials = 0  # handshakes begun
        self.sign: Callable[[str, Item], Sequence[tuple[str, str]]] | None = None  # further headers of single calls

    def list(self, endpoint: str, address: Address) -> None:
        """Calls to the endpoint go to this address from now on."""
        host = self._hosts.get(endpoint)
        if host is None or host.address != address:
            self.close_idle(endpoint)
            self._hosts[endpoint] = _Host(address)

    def address(self, endpoint: str) -> Address | None:
        """Where it is, if it is listed."""
        host = self._hosts.get(endpoint)
        return host.address if host is not None else None

    def unlist(self, endpoint: str) -> None:
        """The endpoint is gone."""
        self.close_idle(endpoint)
        self._hosts.pop(endpoint, None)

    def close_idle(self, endpoint: str, idle_us: int = 0) -> None:
        """Close the connections to an endpoint that have been idle for so long."""
        host, since = self._hosts.get(endpoint), time.monotonic() - idle_us / 1e6
        for link in [link for link in host.idle if link.idle_since <= since] if host is not None else ():
            assert host is not None
            host.idle.remove(link)
            link.close()

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
        found: dict[asyncio.Task[None], builtins.list[tuple[str, int]]] = {}
        for attempt, task in self._calls.items():
            found.setdefault(task, []).append(attempt)
        return [*found.values()]

    def carries(self, message: str) -> bool:
        """Is a call with it under way, or about to be?"""
        return any(name == message for name, _ in self._calls)

    def links(self) -> int:
        """Connections: with a call, or being dialled, and idle."""
        return len(self._tasks) + sum(len(host.idle) for host in self._hosts.values())

    async def finish(self, timeout_s: float) -> None:
        """Wait for the calls under way, up to a time."""
        if self._tasks:
            await asyncio.wait(set(self._tasks), timeout=timeout_s)

    async def sweep(self) -> None:
        """Close connections before their endpoint does, so that no call is written to a closing one."""
        while True:
            await asyncio.sleep(_SWEEP_S)
            for host in self._hosts.values():
                for link in list(host.idle):
                    if not self._fresh(link):
                        host.idle.remove(link)
                        link.close()

    def _fresh(self, link: Connection) -> bool:
        return link.usable() and time.monotonic() - link.idle_since < self._idle_s

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
        progress = _Progress()
        live: list[Item] = []

        def request() -> bytes | None:
            # Guards against sends that became wrong while the connection came up: the endpoint drains or is
            # gone, a wait was told, the message is over.
            live[:] = [item for item in items if self._gate.may_start(endpoint, item)]
            if not live:
                return None
            self._gate.starting(endpoint, live)
            further = self.sign(endpoint, live[0]) if self.sign is not None and len(live) == 1 else ()
            return _request(live, self._name(endpoint), max(1, math.ceil((end - time.monotonic()) * 1e3)), further)

        async def work() -> Answer | None:
            await self._gate.settled(items)
            return await self._exchange(endpoint, progress, request, may_write, live)

        async def may_write() -> bool:
            # A sync may take its time: what was right before it is looked at once more.
            return await self._gate.safe() and all(self._gate.may_start(endpoint, item) for item in live)

        outcome, answer = await self._bounded(work, progress, timeout_us)
        for item in items:
            self._calls.pop((item.message, item.attempt), None)
        wait_us, limit = self._told(endpoint, answer)
        fared = dict(zip((item.message for item in live), _fared(outcome, answer, live), strict=True))
        unrun = Result(outcome if outcome in UNRUN else Outcome.NOT_SENT)
        spent_us = int((time.monotonic() - end) * 1e6) + timeout_us
        self._gate.ended(endpoint, [
            (item, replace(fared.get(item.message, unrun), spent_us=spent_us, wait_us=wait_us, limit=limit))
            for item in items])

    async def _probe(self, endpoint: str, timeout_us: int) -> None:
        began = time.monotonic()
        request = f"GET /healthz HTTP/1.1\r\nHost: {self._name(endpoint)}\r\n\r\n".encode()
        progress = _Progress()
        outcome, answer = await self._bounded(
            lambda: self._exchange(endpoint, progress,
                                   lambda: request if self._gate.may_probe(endpoint) else None),
            progress, timeout_us)
        if answer is not None:
            outcome = _status(answer).outcome
        wait_us, limit = self._told(endpoint, answer)
        spent_us = int((time.monotonic() - began) * 1e6)
        self._gate.probed(endpoint, Result(outcome, spent_us, wait_us, limit))

    async def _bounded(self, work: Callable[[], Coroutine[object, object, Answer | None]],
                       progress: _Progress, timeout_us: int) -> tuple[Outcome, Answer | None]:
        """Run an exchange for so long at most. Guards against a call that ends with no outcome at all."""
        try:
            async with asyncio.timeout(max(timeout_us, 0) / 1e6):
                answer = await work()
            return (Outcome.NOT_SENT if answer is None else Outcome.OK), answer
        except TimeoutError:
            return progress.ended_by(Outcome.TIMEOUT), None
        except asyncio.CancelledError:
            return progress.ended_by(Outcome.CANCELLED), None
        except BrokenError:
            return progress.ended_by(Outcome.RESET), None
        except Exception:
            log.exception("a call failed unexpectedly")
            return progress.ended_by(Outcome.RESET), None

    async def _exchange(self, endpoint: str, progress: _Progress,
                        request: Callable[[], bytes | None],
                        may_write: Callable[[], Awaitable[bool]] | None = None,
                        items: Sequence[Item] = ()) -> Answer | None:
        """One request and its answer, or None where there is nothing to send any more."""
        host = self._hosts.get(endpoint)
        if host is None:
            return None
        link = await self._connect(host, progress)
        keep = False
        try:
            wanted = request()
            if wanted is not None and may_write is not None and self._gate.syncs and not await may_write():
                wanted = None
            if wanted is None:
                keep, link.idle_since = True, time.monotonic()
                return None
            progress.link = link
            try:
                await link.send(wanted)
            finally:  # also where it is given up in the turn in which its last byte went out
                if link.written and items:
                    self._gate.written(len(items))
            answer = await link.answer()
            keep = not answer.spoilt and link.next_cycle()
            return answer
        finally:
            if keep and self._hosts.get(endpoint) is host:
                host.idle.append(link)
            else:
                link.close()

    async def _connect(self, host: _Host, progress: _Progress) -> Connection:
        """One that is idle, or a new one, or `BrokenError`."""
        while host.idle:
            link = host.idle.pop()
            if self._fresh(link):
                progress.dialled = True
                return link
            link.close()
        # Guards the descriptors: every task here holds one connection at most.
        if len(self._tasks) > self._most:
            raise BrokenError("too many connections of this courier")
        if self.links() > self._most:
            oldest = min((host for host in self._hosts.values() if host.idle),
                         key=lambda host: host.idle[0].idle_since)
            oldest.idle.pop(0).close()
        progress.dialled = True
        self.dials += 1
        try:
            async with asyncio.timeout(self._dial_s):
                return await Connection.dial(host.address)
        except TimeoutError as error:
            raise BrokenError("no connection in time") from error

    def _name(self, endpoint: str) -> str:
        host = self._hosts.get(endpoint)
        return f"{host.address.host}:{host.address.port}" if host else endpoint

    def _told(self, endpoint: str, answer: Answer | None) -> tuple[int, api.LimitReport | None]:
        """The wait and the report that any answer may carry."""
        if answer is None:
            return 0, None
        wait_us = _wait_us(answer.headers.get("retry-after", ""))
        if wait_us:
            self._gate.told_to_wait(endpoint, wait_us)
        return wait_us, _limit(answer.headers.get("x-load", ""), self._report)


@dataclass(slots=True)
class _Progress:
    """How far an exchange has come; what its end means hangs on it."""

    dialled: bool = False
    link: Connection | None = None  # the call is being written to it, or was

    def ended_by(self, outcome: Outcome) -> Outcome:
        if self.link is not None and self.link.written:
            return outcome
        if outcome is Outcome.CANCELLED or not self.dialled:
            return Outcome.NOT_SENT
        return Outcome.CONNECT_FAILED


def _request(items: Sequence[Item], host: str, wait_ms: int, further: Sequence[tuple[str, str]] = ()) -> bytes:
    """A call, ready to be written. Ids and tokens hold visible ASCII only: the inlet takes no others."""
    if len(items) == 1:
        target, body = "/inbox", items[0].body
        token = items[0].token
        names = f"X-Request-Id: {items[0].message}\r\n" + (f"Idempotency-Key: {token}\r\n" if token is not None else "")
    else:
        target, names = "/inbox/bulk", ""
        body = b"".join(
            f"{item.message} {item.token or '-'} {len(item.body)}\r\n".encode() + item.body + b"\r\n"
            for item in items)
    names += "".join(f"{name}: {value}\r\n" for name, value in further)
    return (f"POST {target} HTTP/1.1\r\nHost: {host}\r\nX-Deadline-Ms: {wait_ms}\r\n{names}"
            f"Content-Length: {len(body)}\r\n\r\n").encode("ascii") + body


def _fared(outcome: Outcome, answer: Answer | None, items: Sequence[Item]) -> list[Result]:
    """How each message of a call fared."""
    if answer is None:
        return [Result(outcome)] * len(items)
    if answer.status != 200 or len(items) < 2:
        return [_status(answer)] * len(items)
    ends: dict[str, str] = {}  # none if it is spoilt; what it says of the last message may be cut off
    for line in answer.body.decode("latin-1").splitlines(keepends=True):
        message, _, end = line.strip().partition(" ")
        if line.endswith("\n"):
            ends[message] = end.strip()
    # A message that the answer passes over, or tells an unknown end of, may have run.
    return [Result(_ENDS.get(ends.get(item.message, ""), Outcome.ERROR),
                   over=ends.get(item.message) == "over", exhausted=ends.get(item.message) == "spent")
            for item in items]


def _status(answer: Answer) -> Result:
    match answer.status:
        case 200:
            return Result(Outcome.OK)
        case 410:
            return Result(Outcome.NOT_SENT, over=True)
        case 504:
            return Result(Outcome.NOT_SENT, exhausted=True)
        case 503 if answer.headers.get("x-line-busy", "0").strip() not in ("", "0"):
            return Result(Outcome.NOT_SENT)
        case 429 | 503:
            return Result(Outcome.FULL)
        case _:  # 500, a spoilt answer, and whatever else: it may have run
            return Result(Outcome.ERROR)


def _wait_us(text: str) -> int:
    try:
        wait_s = float(text)
    except ValueError:
        return 0
    return math.ceil(wait_s * 1e6) if 0 < wait_s < 3600 else 0


def _limit(text: str, fields: tuple[str, ...]) -> api.LimitReport | None:
    values: dict[str, float] = {}
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        try:
            number = float(value)
        except ValueError:
            continue
        if name in fields and math.isfinite(number):
            values[name] = number
    if "x0" not in values:
        return None
    return api.LimitReport(min(max(values["x0"], 0.0), 1.0), max(values.get("x1", 0.0), 0.0))
