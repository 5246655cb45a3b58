"""Clients of channels: their numbers and connections' epochs, the owner of a part, and positions. The protocol's
hand-in with headers beside it (docs/design/channels.md has them). Sits before the daemon's client server; holds no
sockets.
"""

from __future__ import annotations

import asyncio
import heapq
import json
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from wheelstep.channels.book import Again, Book, Refuse
from wheelstep.channels.contracts import Contracts, channel_name, part_of
from wheelstep.channels.kept import Kept
from wheelstep.channels.position import PositionError, read_number
from wheelstep.channels.serving import Serving
from wheelstep.courier.admission import BadRequestError, Connection, RefusedError
from wheelstep.courier.core import Core
from wheelstep.courier.endpoint_client import Item
from wheelstep.courier.message_request import key_of, read_message
from wheelstep.courier.request import Request
from wheelstep.journal import NoRoomError, StoredMessage

_NUMBER, _SESSION = "x-channel-number", "x-channel-epoch"
_JSON = ("Content-Type", "application/json")
_END_MS = 10  # before its deadline a message that waits is ended

Headers = tuple[tuple[str, str], ...]


class ChannelFront:
    """As `courier.admission.ClientApi`. `owner` tells where a part's owner takes clients ("" if nobody knows) and in
    how many seconds to come again."""

    def __init__(self, classes: Mapping[str, bool], book: Book, serving: Serving, parts: int,
                 now_ms: Callable[[], int], owner: Callable[[int], tuple[str, float]]) -> None:
        self._classes, self._book, self._serving, self._parts = classes, book, serving, parts
        self._now_ms, self._owner = now_ms, owner
        self._next: tuple[str, int] = ("", 0)  # of the message that was offered last

    @property
    def contracts(self) -> Contracts:
        """In force."""
        return self._book.contracts

    def message(self, request: Request) -> StoredMessage:
        """What is handed in. Raises `BadRequestError` and `RefusedError`."""
        message = read_message(request, self._classes)
        key, path = key_of(request.target), request.target.partition("?")[0]
        contract = self.contracts.match(message.message_class, message.destination, key, path)
        number, session = self._given(request, _NUMBER), self._given(request, _SESSION)
        if contract is None:
            if number is not None or session is not None:
                raise BadRequestError("X-Channel-Number and X-Channel-Epoch: no contract is declared for this message")
            return message
        channel = channel_name(contract, message.destination, key)
        self._ours(part_of(channel, self._parts))
        verdict = self._book.offer(self._now_ms(), contract, channel, message.id, number, session)
        match verdict:
            case Again(taken, following, None):
                raise RefusedError(202, "", (("X-Channel-Number", str(taken)), ("X-Channel-Next", str(following))))
            case Again(taken, following, outcome):
                raise RefusedError(200, _line(message=message.id, number=taken, outcome=outcome),
                                   (_JSON, ("X-Channel-Next", str(following))))
            case Refuse("full", following, _):
                raise RefusedError(503, "the channel holds all it can\n",
                                   (("Retry-After", "1"), ("X-Channel-Next", str(following))))
            case Refuse(why, following, epoch):
                raise RefusedError(409, _line(refused=why, channel=channel, number=number, next=following, epoch=epoch),
                                   (_JSON, ("X-Channel-Next", str(following))))
        message.channel, message.number = channel, verdict.number
        self._next = (message.id, verdict.next)
        return message

    def response_headers(self, message: StoredMessage) -> Headers:
        """With a 202: the number that it has and the next one expected."""
        if message.channel is None:
            return ()
        position = self._book.position(message.channel)
        following = position.next if position is not None else self._next[1]
        return (("X-Channel-Number", str(message.number)), ("X-Channel-Next", str(following)))

    def other(self, request: Request, connection: Connection) -> None:
        """`GET /channels/NAME`: a position; changes nothing."""
        path = request.target.partition("?")[0]
        if request.method not in ("GET", "HEAD") or not path.startswith("/channels/"):
            raise BadRequestError("no such path; expected /healthz, /channels/CONTRACT/DESTINATION/KEY, or a message "
                                  "by POST")
        channel = path.removeprefix("/channels/")
        name, _, rest = channel.partition("/")
        if self.contracts.named(name) is None or not rest.partition("/")[0].isdigit():
            raise RefusedError(404, "no such channel; expected CONTRACT/DESTINATION/KEY of a declared contract\n")
        part = part_of(channel, self._parts)
        epoch = self._ours(part)
        position = self._book.position(channel)
        if position.stale if position is not None else self._book.inherited(part):
            raise RefusedError(503, "only a courier that is gone knows this position\n", (("Retry-After", "1"),))
        row: dict[str, Any] = {"channel": channel, "part": part, "part_epoch": epoch, "known": position is not None}
        row |= {"next": 1, "epoch": 0, "held": []} if position is None else {
            "next": position.next, "epoch": position.session, "held": sorted(position.entries)}
        connection.respond(request, 200, json.dumps(row) + "\n", (_JSON, ("X-Channel-Next", str(row["next"]))))

    def taken(self, message: StoredMessage) -> None:
        """Its client has heard."""

    def _given(self, request: Request, header: str) -> int | None:
        if header in request.repeated_headers:
            raise BadRequestError(f"{header} is given twice")
        text = request.headers.get(header)
        try:
            return None if text is None else read_number(text.strip())
        except PositionError as error:
            raise BadRequestError(f"{header}: {error}") from None

    def _ours(self, part: int) -> int:
        """The epoch under which this courier has the part; `RefusedError` with its owner otherwise."""
        if (epoch := self._serving.serving(part)) is not None:
            return epoch
        owner, again_s = self._owner(part)
        where = (("X-Channel-Owner", owner),) if owner else ()
        raise RefusedError(503, "another courier has this channel\n" if owner else "nobody has this channel just now\n",
                           (("Retry-After", f"{again_s:.2f}"), *where))


class ChannelDesk:
    """As `courier.admission.Admission`: what is taken on goes to the module when its contract lets it."""

    def __init__(self, core: Core, kept: Kept, serving: Serving, now_ms: Callable[[], int],
                 wall_ms: Callable[[], int]) -> None:
        self._core, self._kept, self._serving, self._now_ms, self._wall_ms = core, kept, serving, now_ms, wall_ms
        self._ends: list[tuple[int, str]] = []  # by deadline (Unix time): what may end before the module has it
        self._waking: asyncio.TimerHandle | None = None
        kept.moved, kept.taken = self.wake, self.expect

    @property
    def ready(self) -> bool:
        """Does the courier take clients?"""
        return self._core.ready

    @property
    def syncs(self) -> bool:
        """Does `durable` ever wait?"""
        return self._core.syncs

    def full(self) -> bool:
        """Is the hold limit reached?"""
        return self._core.full()

    def serves(self, destination: int) -> bool:
        """Has any list named it?"""
        return self._core.serves(destination)

    def holds(self, message: str) -> bool:
        """Was it taken on before?"""
        return self._core.holds(message)

    def is_unconfirmed(self, message: str) -> bool:
        """May it still be withdrawn?"""
        return self._core.is_unconfirmed(message)

    def durable(self) -> asyncio.Future[None]:
        """Done once it is safe."""
        return self._core.durable()

    def take(self, message: StoredMessage) -> None:
        """Write it down, or raise `NoRoomError`."""
        try:
            self._core.take(message)
        except KeyError as error:  # the offer was made by a turn before: the position may have moved on
            raise NoRoomError(str(error)) from error

    def begin(self, name: str) -> None:
        """Its client knows."""
        message = self._kept.messages.get(name)
        if message is None or message.channel is None:
            if message is not None:
                self._core.begin(name)
            return  # it was handed over with its part meanwhile: another owes it
        self._core.client_answered(name)
        self._kept.book.said(self._now_ms(), name)
        self.wake()

    def withdraw(self, name: str) -> None:
        """Its client went before the answer."""
        self._kept.book.withdraw(self._now_ms(), name)
        self._kept.flush()
        self._core.withdraw(name)
        self.wake()

    def record_answer(self, message: StoredMessage, status: int) -> None:
        """It was handed in, and this is the answer."""
        self._core.record_answer(message, status)

    # --- what waits ---

    def expect(self, message: StoredMessage) -> None:
        """It may end while it waits. Bounded by what is held."""
        heapq.heappush(self._ends, (message.deadline_ms - _END_MS, message.id))
        self.wake()

    def wake(self) -> None:
        """Look at what may go, in the next turn of the loop."""
        self._arm(0.0)

    def _arm(self, in_s: float) -> None:
        loop = asyncio.get_running_loop()
        if self._waking is not None:
            if self._waking.when() <= loop.time() + in_s and not self._waking.cancelled():
                return
            self._waking.cancel()
        self._waking = loop.call_later(in_s, self._look)

    def _look(self) -> None:
        self._waking = None
        wall_ms = self._wall_ms()
        while self._ends and self._ends[0][0] <= wall_ms:
            self._serving.expire(heapq.heappop(self._ends)[1])
        self._serving.pump()
        waits = [self._ends[0][0] - wall_ms] if self._ends else []
        if (next_ms := self._kept.book.next_ms()) is not None:
            waits.append(next_ms - self._now_ms())
        if waits:
            self._arm(max(min(waits), 1) / 1e3)


def signed(kept: Kept, serving: Serving) -> Callable[[str, Item], Sequence[tuple[str, str]]]:
    """Headers for partners: channel, number, and the epoch of its part."""
    def headers(_: str, item: Item) -> Headers:
        message = kept.messages.get(item.message)
        if message is None or message.channel is None:
            return ()
        epoch = serving.serving(kept.part(message))
        return (("X-Channel", message.channel), ("X-Channel-Number", str(message.number)),
                ("X-Channel-Epoch", str(epoch or 0)))
    return headers


def _line(**row: Any) -> str:
    return json.dumps(row) + "\n"
