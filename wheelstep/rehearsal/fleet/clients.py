"""Clients of channels on loopback: each hands its channel's messages in under its own numbers, follows the owner that
it is told, comes again as it is told, and reconnects under a higher session when a courier is silent or gone.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from wheelstep.rehearsal.fleet.history import Asked, FleetHistory, Heard
from wheelstep.rehearsal.fleet.looks import numbers
from wheelstep.rehearsal.history import End, Strange
from wheelstep.rehearsal.plan import Arrival, Plan
from wheelstep.rehearsal.standins.clients import CLIENT_TIMEOUT_S, request_bytes, retry_after_us
from wheelstep.rehearsal.standins.partner import Ledger, Submission
from wheelstep.rehearsal.standins.wire import Client

Address = tuple[str, int]
_HOPS = 3  # owners followed one after another without a rest
_AGAIN_S = (0.05, 0.15)  # after a courier that was silent or gone
_REST_S = 0.2  # after an answer that tells no time
_MOST_REST_S = 1.0
_GAP_S = 0.3  # how much later a number comes whose place is left empty first


@dataclass(slots=True)
class _Line:
    """One channel's client."""

    channel: str
    at: str  # the courier that it takes for the owner
    next: int = 1
    session: int = 1
    link: Client | None = None
    holes: list[int] = field(default_factory=list)  # numbers that were given up: the next messages' come first
    queue: asyncio.Queue[tuple[Arrival, int]] = field(default_factory=asyncio.Queue)  # 0: the next number


class Clients:
    """All clients. `doors` says where each courier that is up takes clients; it changes as couriers come and go."""

    def __init__(self, plan: Plan, contracts: Mapping[str, str], ledger: Ledger, history: FleetHistory,
                 now_us: Callable[[], int], doors: Mapping[str, Address], gap_share: float, roam: float) -> None:
        self._plan, self._contracts, self._ledger, self._history = plan, contracts, ledger, history
        self._now_us, self._doors, self._gap_share, self._roam = now_us, doors, gap_share, roam
        self._rng = random.Random(f"clients/{plan.seed}")
        self._lines: dict[str, _Line] = {}
        self._taken: dict[str, tuple[_Line, Arrival, int]] = {}  # by message
        self._tries: Counter[int] = Counter()  # how often each planned message was handed back
        self._tasks: set[asyncio.Task[None]] = set()
        self.open = 0  # arrivals that are neither taken nor given up
        self.given_up = 0  # messages that nobody took in their time
        self.moved = 0  # how often an owner told was followed

    def lines(self, arrivals: tuple[Arrival, ...]) -> None:
        """A client for each channel that is going to be used."""
        names = sorted(self._doors)
        for arrival in arrivals:
            channel = f"{self._contracts[arrival.message_class]}/{arrival.destination}/{arrival.key}"
            if channel not in self._lines:
                self._lines[channel] = _Line(channel, names[len(self._lines) % len(names)])

    @property
    def channels(self) -> list[str]:
        """Of all lines."""
        return list(self._lines)

    def start(self) -> None:
        """Begin to serve the lines."""
        for line in self._lines.values():
            self._tasks.add(asyncio.create_task(self._run(line)))

    def raise_dead(self) -> None:
        """Guards against a rehearsal that goes on though a client has died."""
        for task in self._tasks:
            if task.done() and not task.cancelled():
                task.result()

    def hand_in(self, arrival: Arrival) -> None:
        """A message for its channel's line. Some leave their place empty first, and come a little later."""
        self.open += 1
        channel = f"{self._contracts[arrival.message_class]}/{arrival.destination}/{arrival.key}"
        line = self._lines[channel]
        if arrival.luck < self._gap_share:
            number, line.next = line.next, line.next + 1
            asyncio.get_running_loop().call_later(_GAP_S, line.queue.put_nowait, (arrival, number))
        else:
            line.queue.put_nowait((arrival, 0))

    def handed_back(self, message: str, retry_us: int) -> None:
        """A message that was taken comes again, as another one: what its number held up goes on with it."""
        if (taken := self._taken.pop(message, None)) is not None:
            line, arrival, number = taken
            self.open += 1
            self._tries[arrival.number] += 1
            asyncio.get_running_loop().call_later(min(retry_us / 1e6, _MOST_REST_S), line.queue.put_nowait,
                                                  (arrival, number))

    async def close(self) -> None:
        """All end, and their connections with them."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for line in self._lines.values():
            if line.link is not None:
                line.link.close()

    async def _run(self, line: _Line) -> None:
        while True:
            arrival, number = await line.queue.get()
            await self._hand_in(line, arrival, number)
            self.open -= 1

    async def _hand_in(self, line: _Line, arrival: Arrival, number: int) -> None:
        if not number and line.holes:
            number = line.holes.pop(0)
        reserved = number > 0
        if self._rng.random() < self._roam:
            self._leave(line, self._another(line.at))
        whole_us = self._plan.figures.classes[arrival.message_class].deadline_us
        deadline_us = self._now_us() + whole_us
        message = self._plan.message_id(arrival.number, self._tries[arrival.number])
        body = self._plan.body(arrival)
        self._ledger.submissions[message] = Submission(arrival, body)
        hops, unclear = 0, False
        while (left_us := deadline_us - self._now_us()) > 0:
            number = number if reserved else max(number, line.next)
            heard, retry_us, answer = await self._try(line, arrival, message, body, number, left_us, deadline_us)
            if 200 <= heard.status < 300:
                line.next = max(line.next, number + 1)
                self._taken[message] = line, arrival, number
                return
            rest_s = min(retry_us / 1e6, _MOST_REST_S) or _REST_S
            if heard.status == 503 and heard.owner and heard.owner != line.at and hops < _HOPS:
                hops += 1
                self.moved += 1
                self._leave(line, heard.owner)
                continue
            hops = 0
            if heard.status == 0:
                unclear = unclear or heard.end is not End.UNREACHED
                self._leave(line, self._another(line.at))
                rest_s = self._rng.uniform(*_AGAIN_S)
            elif heard.status == 409:
                line.session = max(line.session, answer.get("epoch", 0)) + 1
                self._leave(line, line.at)
                if not reserved and not unclear and heard.next > number:
                    number = line.next = heard.next
            elif heard.status != 503:
                self._history.base.add(Strange(self._now_us(), heard.courier, line.channel,
                                               f"a hand-in answered {heard.status}"))
                break
            await asyncio.sleep(rest_s)
        self.given_up += 1
        if reserved:
            line.holes.append(number)

    async def _try(self, line: _Line, arrival: Arrival, message: str, body: bytes, number: int, left_us: int,
                   deadline_us: int) -> tuple[Heard, int, dict[str, int]]:
        asked_us, courier, session = self._now_us(), line.at, line.session
        head = f"\r\nX-Channel-Number: {number}\r\nX-Channel-Epoch: {session}\r\n".encode()
        request = request_bytes(arrival, message, body, left_us, "").replace(b"\r\n", head, 1)
        assert arrival.key is not None
        self._history.add(Asked(asked_us, courier, line.channel, number, session, message, arrival.message_class,
                                arrival.destination, arrival.key, arrival.number, deadline_us))
        end, status, headers, answer = await self._exchange(line, request)
        owner = headers.get("x-channel-owner", "")
        heard = Heard(self._now_us(), asked_us, courier, line.channel, number, message, end, status,
                      _number(headers.get("x-channel-next", "")), self._name(owner) if owner else "")
        self._history.add(heard)
        return heard, retry_after_us(headers.get("retry-after", "")), numbers(answer)

    async def _exchange(self, line: _Line, request: bytes) -> tuple[End, int, dict[str, str], bytes]:
        reached = False
        try:
            async with asyncio.timeout(CLIENT_TIMEOUT_S):
                if line.link is None or line.link.closed:
                    line.link = await Client.dial(*self._doors.get(line.at, ("127.0.0.1", 1)))
                reached = True
                answer = await line.link.exchange(request)
        except TimeoutError:
            return (End.TIMED_OUT if reached else End.UNREACHED), 0, {}, b""
        except OSError:
            return End.UNREACHED, 0, {}, b""
        if answer is None:
            return End.ENDED, 0, {}, b""
        return End.ANSWERED, answer[0], answer[1], answer[2]

    def _leave(self, line: _Line, to: str) -> None:
        """A new connection, under a higher session."""
        if line.link is not None:
            line.link.close()
            line.link = None
        line.at = to
        line.session += 1

    def _another(self, name: str) -> str:
        names = sorted(set(self._doors) - {name}) or [name]
        return self._rng.choice(names)

    def _name(self, address: str) -> str:
        """The courier that takes clients at an address; its text where none does."""
        return next((name for name, (host, port) in self._doors.items() if f"{host}:{port}" == address), address)


def _number(text: str) -> int:
    return int(text) if text.isascii() and text.isdigit() and len(text) < 19 else 0
