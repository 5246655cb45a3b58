"""Clients of channels: message numbers, connection epochs, the owner of a part, and positions. Extends the hand-in
protocol with headers, which docs/design/channels.md describes. Used by the daemon's client server; has no sockets."""

from __future__ import annotations

import asyncio
import heapq
import json
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from wheelstep.channels.book import ChannelTable, Duplicate, Reject
from wheelstep.channels.contracts import Contracts, channel_name, part_of
from wheelstep.channels.kept import ChannelJournal
from wheelstep.channels.position import PositionError, read_number
from wheelstep.channels.serving import ChannelService
from wheelstep.courier.admission import BadRequestError, Connection, RefusedError
from wheelstep.courier.core import Core
from wheelstep.courier.endpoint_client import Item
from wheelstep.courier.message_request import key_of, read_message
from wheelstep.courier.request import Request
from wheelstep.journal import NoRoomError, StoredMessage

_NUMBER_HEADER, _EPOCH_HEADER = "x-channel-number", "x-channel-epoch"
_JSON_HEADER = ("Content-Type", "application/json")
_EXPIRY_MARGIN_MS = 10  # a waiting message is ended this long before its deadline

Headers = tuple[tuple[str, str], ...]


class ChannelClientApi:
    """Implements `courier.admission.ClientApi`. `owner` returns the client address of a part's owner ("" if unknown)
    and the delay before a retry in seconds."""

    def __init__(self, classes: Mapping[str, bool], table: ChannelTable, service: ChannelService, parts: int,
                 now_ms: Callable[[], int], owner: Callable[[int], tuple[str, float]]) -> None:
        self._classes, self._table, self._service, self._parts = classes, table, service, parts
        self._now_ms, self._owner = now_ms, owner
        self._last_next: tuple[str, int] = ("", 0)  # last message offered, and the next number after it

    @property
    def contracts(self) -> Contracts:
        """The contracts in force."""
        return self._table.contracts

    def message(self, request: Request) -> StoredMessage:
        """Return the message that a request hands in. Raises `BadRequestError`, and `RefusedError` with the answer for
        a repeated or rejected message, or for a part that this courier does not serve."""
        message = read_message(request, self._classes)
        key, path = key_of(request.target), request.target.partition("?")[0]
        contract = self.contracts.match(message.message_class, message.destination, key, path)
        number, session = self._number_from(request, _NUMBER_HEADER), self._number_from(request, _EPOCH_HEADER)
        if contract is None:
            if number is not None or session is not None:
                raise BadRequestError("X-Channel-Number and X-Channel-Epoch: no contract is declared for this message")
            return message
        channel = channel_name(contract, message.destination, key)
        self._require_served(part_of(channel, self._parts))
        verdict = self._table.offer(self._now_ms(), contract, channel, message.id, number, session)
        match verdict:
            case Duplicate(taken, following, None):
                raise RefusedError(202, "", (("X-Channel-Number", str(taken)), ("X-Channel-Next", str(following))))
            case Duplicate(taken, following, outcome):
                raise RefusedError(200, _json_line(message=message.id, number=taken, outcome=outcome),
                                   (_JSON_HEADER, ("X-Channel-Next", str(following))))
            case Reject("full", following, _):
                raise RefusedError(503, "the channel holds all it can\n",
                                   (("Retry-After", "1"), ("X-Channel-Next", str(following))))
            case Reject(why, following, epoch):
                raise RefusedError(409, _json_line(refused=why, channel=channel, number=number, next=following,
                                                   epoch=epoch),
                                   (_JSON_HEADER, ("X-Channel-Next", str(following))))
        message.channel, message.number = channel, verdict.number
        self._last_next = (message.id, verdict.next)
        return message

    def response_headers(self, message: StoredMessage) -> Headers:
        """Return the headers of the 202: the message's number and the next one expected. Empty without a channel."""
        if message.channel is None:
            return ()
        position = self._table.position(message.channel)
        following = position.next if position is not None else self._last_next[1]
        return (("X-Channel-Number", str(message.number)), ("X-Channel-Next", str(following)))

    def other(self, request: Request, connection: Connection) -> None:
        """Answer `GET /channels/NAME` with the channel's position, without changing it. Raises `BadRequestError` and
        `RefusedError`."""
        path = request.target.partition("?")[0]
        if request.method not in ("GET", "HEAD") or not path.startswith("/channels/"):
            raise BadRequestError("no such path; expected /healthz, /channels/CONTRACT/DESTINATION/KEY, or a message "
                                  "by POST")
        channel = path.removeprefix("/channels/")
        name, _, rest = channel.partition("/")
        if self.contracts.named(name) is None or not rest.partition("/")[0].isdigit():
            raise RefusedError(404, "no such channel; expected CONTRACT/DESTINATION/KEY of a declared contract\n")
        part = part_of(channel, self._parts)
        epoch = self._require_served(part)
        position = self._table.position(channel)
        if position.stale if position is not None else self._table.inherited(part):
            raise RefusedError(503, "only a courier that is gone knows this position\n", (("Retry-After", "1"),))
        row: dict[str, Any] = {"channel": channel, "part": part, "part_epoch": epoch, "known": position is not None}
        row |= {"next": 1, "epoch": 0, "held": []} if position is None else {
            "next": position.next, "epoch": position.session, "held": sorted(position.entries)}
        connection.respond(request, 200, json.dumps(row) + "\n", (_JSON_HEADER, ("X-Channel-Next", str(row["next"]))))

    def taken(self, message: StoredMessage) -> None:
        """Do nothing: the 202 needs no further step."""

    def _number_from(self, request: Request, header: str) -> int | None:
        """Return the number in a header, or None without the header. Raises `BadRequestError`."""
        if header in request.repeated_headers:
            raise BadRequestError(f"{header} is given twice")
        text = request.headers.get(header)
        try:
            return None if text is None else read_number(text.strip())
        except PositionError as error:
            raise BadRequestError(f"{header}: {error}") from None

    def _require_served(self, part: int) -> int:
        """Return the epoch under which this courier serves the part. Raises `RefusedError`, with the owner's address if
        known."""
        if (epoch := self._service.served_epoch(part)) is not None:
            return epoch
        owner, retry_s = self._owner(part)
        where = (("X-Channel-Owner", owner),) if owner else ()
        raise RefusedError(503, "another courier has this channel\n" if owner else "nobody has this channel just now\n",
                           (("Retry-After", f"{retry_s:.2f}"), *where))


class ChannelAdmission:
    """Implements `courier.admission.Admission`: an accepted message goes to the decision module when its contract
    allows it."""

    def __init__(self, core: Core, journal: ChannelJournal, service: ChannelService, now_ms: Callable[[], int],
                 wall_ms: Callable[[], int]) -> None:
        self._core, self._journal, self._service, self._now_ms, self._wall_ms = core, journal, service, now_ms, wall_ms
        self._deadlines: list[tuple[int, str]] = []  # heap of (Unix time, message): when to end it unless released
        self._timer: asyncio.TimerHandle | None = None
        journal.on_change, journal.on_message = self.wake, self.watch_deadline

    @property
    def ready(self) -> bool:
        """Whether the courier is ready for clients."""
        return self._core.ready

    @property
    def syncs(self) -> bool:
        """Whether a message is answered only after `durable` is done."""
        return self._core.syncs

    def full(self) -> bool:
        """Return whether the hold limit is reached."""
        return self._core.full()

    def serves(self, destination: int) -> bool:
        """Return whether discovery has ever listed the destination."""
        return self._core.serves(destination)

    def holds(self, message: str) -> bool:
        """Return whether a message was accepted before and has not ended."""
        return self._core.holds(message)

    def is_unconfirmed(self, message: str) -> bool:
        """Return whether a message may still be withdrawn."""
        return self._core.is_unconfirmed(message)

    def durable(self) -> asyncio.Future[None]:
        """Return a future that is done once what was written is durable."""
        return self._core.durable()

    def take(self, message: StoredMessage) -> None:
        """Write a message to the journal. Raises `NoRoomError`, also if the channel has changed since the offer."""
        try:
            self._core.take(message)
        except KeyError as error:  # the offer was made in an earlier turn: the position may have changed since
            raise NoRoomError(str(error)) from error

    def begin(self, name: str) -> None:
        """Start delivering a message, as its client has been told that it is accepted."""
        message = self._journal.messages.get(name)
        if message is None or message.channel is None:
            if message is not None:
                self._core.begin(name)
            return  # handed over with its part in the meantime: another courier owes it
        self._core.client_answered(name)
        self._journal.table.client_answered(self._now_ms(), name)
        self.wake()

    def withdraw(self, name: str) -> None:
        """Forget a message whose client was not told that it is accepted."""
        self._journal.table.withdraw(self._now_ms(), name)
        self._journal.flush()
        self._core.withdraw(name)
        self.wake()

    def record_answer(self, message: StoredMessage, status: int) -> None:
        """Record the status with which a message was answered."""
        self._core.record_answer(message, status)

    # --- waiting messages ---

    def watch_deadline(self, message: StoredMessage) -> None:
        """Watch the deadline of a message, which may pass before its release. The entry stays until the deadline."""
        heapq.heappush(self._deadlines, (message.deadline_ms - _EXPIRY_MARGIN_MS, message.id))
        self.wake()

    def wake(self) -> None:
        """Release what is due in the next turn of the event loop."""
        self._set_timer(0.0)

    def _set_timer(self, in_s: float) -> None:
        """Run `_run` after this delay, unless it is due earlier."""
        loop = asyncio.get_running_loop()
        if self._timer is not None:
            if self._timer.when() <= loop.time() + in_s and not self._timer.cancelled():
                return
            self._timer.cancel()
        self._timer = loop.call_later(in_s, self._run)

    def _run(self) -> None:
        """End messages whose deadline has come, release those that are due, and set the timer for the next."""
        self._timer = None
        wall_ms = self._wall_ms()
        while self._deadlines and self._deadlines[0][0] <= wall_ms:
            self._service.expire(heapq.heappop(self._deadlines)[1])
        self._service.dispatch_due()
        delays_ms = [self._deadlines[0][0] - wall_ms] if self._deadlines else []
        if (next_ms := self._journal.table.next_ms()) is not None:
            delays_ms.append(next_ms - self._now_ms())
        if delays_ms:
            self._set_timer(max(min(delays_ms), 1) / 1e3)


def channel_headers(journal: ChannelJournal,
                    service: ChannelService) -> Callable[[str, Item], Sequence[tuple[str, str]]]:
    """Return a function that gives the headers of a call to an endpoint: channel, number, and the epoch of its part."""
    def headers(_: str, item: Item) -> Headers:
        message = journal.messages.get(item.message)
        if message is None or message.channel is None:
            return ()
        epoch = service.served_epoch(journal.part_of(message))
        return (("X-Channel", message.channel), ("X-Channel-Number", str(message.number)),
                ("X-Channel-Epoch", str(epoch or 0)))
    return headers


def _json_line(**row: Any) -> str:
    """Return a JSON object on one line."""
    return json.dumps(row) + "\n"
