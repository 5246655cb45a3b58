"""Clients of channels on loopback. Each numbers and submits the messages of one channel, follows the owner that an
answer names, retries after Retry-After, and reconnects under a higher session when a courier is silent or gone.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from wheelstep.rehearsal.fleet.history import Asked, FleetHistory, Heard
from wheelstep.rehearsal.fleet.looks import integer_fields
from wheelstep.rehearsal.history import End, Strange
from wheelstep.rehearsal.plan import Arrival, Plan
from wheelstep.rehearsal.standins.clients import CLIENT_TIMEOUT_S, request_bytes, retry_after_us
from wheelstep.rehearsal.standins.partner import Ledger, Submission
from wheelstep.rehearsal.standins.wire import Client

Address = tuple[str, int]
_MAX_REDIRECTS = 3  # in a row, before the client waits
_RECONNECT_DELAY_S = (0.05, 0.15)  # range, after a courier that was silent or gone
_DEFAULT_RETRY_S = 0.2  # after an answer without Retry-After
_MAX_RETRY_S = 1.0
_GAP_FILL_DELAY_S = 0.3  # from a gap until the number left out is submitted


@dataclass(slots=True)
class _ChannelClient:
    """The state of one channel's client."""

    channel: str
    courier: str  # the presumed owner
    next_number: int = 1
    session: int = 1
    connection: Client | None = None
    free_numbers: list[int] = field(default_factory=list)  # numbers that were given up; reused before a new one
    queue: asyncio.Queue[tuple[Arrival, int]] = field(default_factory=asyncio.Queue)  # number 0: the next one


class Clients:
    """The clients of all channels. `addresses` maps each running courier to its client address; the caller updates it
    as couriers start and stop.
    """

    def __init__(self, plan: Plan, contracts: Mapping[str, str], ledger: Ledger, history: FleetHistory,
                 now_us: Callable[[], int], addresses: Mapping[str, Address], gap_share: float, roam: float) -> None:
        self._plan, self._contracts, self._ledger, self._history = plan, contracts, ledger, history
        self._now_us, self._addresses, self._gap_share, self._roam = now_us, addresses, gap_share, roam
        self._rng = random.Random(f"clients/{plan.seed}")
        self._channel_clients: dict[str, _ChannelClient] = {}
        self._accepted: dict[str, tuple[_ChannelClient, Arrival, int]] = {}  # by message
        self._hand_backs: Counter[int] = Counter()  # by planned message's number
        self._tasks: set[asyncio.Task[None]] = set()
        self.pending = 0  # arrivals that are neither accepted nor given up
        self.given_up = 0  # messages that no courier accepted before their deadline
        self.redirected = 0  # how often a named owner was followed

    def add_channels(self, arrivals: tuple[Arrival, ...]) -> None:
        """Create a client for each channel that occurs in `arrivals`."""
        names = sorted(self._addresses)
        for arrival in arrivals:
            channel = f"{self._contracts[arrival.message_class]}/{arrival.destination}/{arrival.key}"
            if channel not in self._channel_clients:
                self._channel_clients[channel] = _ChannelClient(channel, names[len(self._channel_clients) % len(names)])

    @property
    def channels(self) -> list[str]:
        """The names of the channels that have a client."""
        return list(self._channel_clients)

    def start(self) -> None:
        """Start one task for each client."""
        for client in self._channel_clients.values():
            self._tasks.add(asyncio.create_task(self._run(client)))

    def raise_failures(self) -> None:
        """Raise the exception of a client's task that has failed, so that the rehearsal stops with it."""
        for task in self._tasks:
            if task.done() and not task.cancelled():
                task.result()

    def submit(self, arrival: Arrival) -> None:
        """Queue a message for its channel's client. A `gap_share` of them leaves its number out at first: it is queued
        `_GAP_FILL_DELAY_S` later, after higher numbers may have been submitted.
        """
        self.pending += 1
        channel = f"{self._contracts[arrival.message_class]}/{arrival.destination}/{arrival.key}"
        client = self._channel_clients[channel]
        if arrival.luck < self._gap_share:
            number, client.next_number = client.next_number, client.next_number + 1
            asyncio.get_running_loop().call_later(_GAP_FILL_DELAY_S, client.queue.put_nowait, (arrival, number))
        else:
            client.queue.put_nowait((arrival, 0))

    def resubmit(self, message: str, retry_us: int) -> None:
        """Submit an accepted message that was handed back once more, under a new message id and its old number, so that
        the numbers that wait for it can continue. Unknown messages are ignored.
        """
        if (accepted := self._accepted.pop(message, None)) is not None:
            client, arrival, number = accepted
            self.pending += 1
            self._hand_backs[arrival.number] += 1
            asyncio.get_running_loop().call_later(min(retry_us / 1e6, _MAX_RETRY_S), client.queue.put_nowait,
                                                  (arrival, number))

    async def close(self) -> None:
        """Cancel all clients' tasks and close their connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for client in self._channel_clients.values():
            if client.connection is not None:
                client.connection.close()

    async def _run(self, client: _ChannelClient) -> None:
        while True:
            arrival, number = await client.queue.get()
            await self._submit(client, arrival, number)
            self.pending -= 1

    async def _submit(self, client: _ChannelClient, arrival: Arrival, number: int) -> None:
        if not number and client.free_numbers:
            number = client.free_numbers.pop(0)
        reserved = number > 0
        if self._rng.random() < self._roam:
            self._switch_to(client, self._random_other(client.courier))
        time_limit_us = self._plan.figures.classes[arrival.message_class].deadline_us
        deadline_us = self._now_us() + time_limit_us
        message = self._plan.message_id(arrival.number, self._hand_backs[arrival.number])
        body = self._plan.body(arrival)
        self._ledger.submissions[message] = Submission(arrival, body)
        redirects, possibly_accepted = 0, False
        while (left_us := deadline_us - self._now_us()) > 0:
            number = number if reserved else max(number, client.next_number)
            reply, retry_us, answer = await self._attempt(client, arrival, message, body, number, left_us, deadline_us)
            if 200 <= reply.status < 300:
                client.next_number = max(client.next_number, number + 1)
                self._accepted[message] = client, arrival, number
                return
            delay_s = min(retry_us / 1e6, _MAX_RETRY_S) or _DEFAULT_RETRY_S
            if reply.status == 503 and reply.owner and reply.owner != client.courier and redirects < _MAX_REDIRECTS:
                redirects += 1
                self.redirected += 1
                self._switch_to(client, reply.owner)
                continue
            redirects = 0
            if reply.status == 0:
                possibly_accepted = possibly_accepted or reply.end is not End.UNREACHED
                self._switch_to(client, self._random_other(client.courier))
                delay_s = self._rng.uniform(*_RECONNECT_DELAY_S)
            elif reply.status == 409:
                client.session = max(client.session, answer.get("epoch", 0)) + 1
                self._switch_to(client, client.courier)
                if not reserved and not possibly_accepted and reply.next > number:
                    number = client.next_number = reply.next
            elif reply.status != 503:
                self._history.base.add(Strange(self._now_us(), reply.courier, client.channel,
                                               f"a hand-in answered {reply.status}"))
                break
            await asyncio.sleep(delay_s)
        self.given_up += 1
        if reserved:
            client.free_numbers.append(number)

    async def _attempt(self, client: _ChannelClient, arrival: Arrival, message: str, body: bytes, number: int,
                       left_us: int, deadline_us: int) -> tuple[Heard, int, dict[str, int]]:
        asked_us, courier, session = self._now_us(), client.courier, client.session
        channel_headers = f"\r\nX-Channel-Number: {number}\r\nX-Channel-Epoch: {session}\r\n".encode()
        request = request_bytes(arrival, message, body, left_us, "").replace(b"\r\n", channel_headers, 1)
        assert arrival.key is not None
        self._history.add(Asked(asked_us, courier, client.channel, number, session, message, arrival.message_class,
                                arrival.destination, arrival.key, arrival.number, deadline_us))
        end, status, headers, answer = await self._exchange(client, request)
        owner = headers.get("x-channel-owner", "")
        reply = Heard(self._now_us(), asked_us, courier, client.channel, number, message, end, status,
                      _parse_number(headers.get("x-channel-next", "")), self._courier_at(owner) if owner else "")
        self._history.add(reply)
        return reply, retry_after_us(headers.get("retry-after", "")), integer_fields(answer)

    async def _exchange(self, client: _ChannelClient, request: bytes) -> tuple[End, int, dict[str, str], bytes]:
        reached = False
        try:
            async with asyncio.timeout(CLIENT_TIMEOUT_S):
                if client.connection is None or client.connection.closed:
                    client.connection = await Client.dial(*self._addresses.get(client.courier, ("127.0.0.1", 1)))
                reached = True
                answer = await client.connection.exchange(request)
        except TimeoutError:
            return (End.TIMED_OUT if reached else End.UNREACHED), 0, {}, b""
        except OSError:
            return End.UNREACHED, 0, {}, b""
        if answer is None:
            return End.ENDED, 0, {}, b""
        return End.ANSWERED, answer[0], answer[1], answer[2]

    def _switch_to(self, client: _ChannelClient, to: str) -> None:
        """Close the connection and take `to` for the owner; the next connection has a higher session."""
        if client.connection is not None:
            client.connection.close()
            client.connection = None
        client.courier = to
        client.session += 1

    def _random_other(self, name: str) -> str:
        names = sorted(set(self._addresses) - {name}) or [name]
        return self._rng.choice(names)

    def _courier_at(self, address: str) -> str:
        """The courier with this client address; the address itself where there is none."""
        return next((name for name, (host, port) in self._addresses.items() if f"{host}:{port}" == address), address)


def _parse_number(text: str) -> int:
    return int(text) if text.isascii() and text.isdigit() and len(text) < 19 else 0
