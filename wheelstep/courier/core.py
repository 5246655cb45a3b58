"""The middle: gathers events, asks the decision module, carries its actions out in order. No policy here."""

from __future__ import annotations

import asyncio
import logging
import time
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from typing import TYPE_CHECKING, Any, Protocol

from wheelstep import Sender
from wheelstep import interface as api
from wheelstep.courier.config import Address, Config
from wheelstep.courier.outlet import Item, Outlet, Result
from wheelstep.courier.platform import Notices
from wheelstep.interface import UNRUN, EndpointState, Outcome
from wheelstep.journal import NoRoomError, Stored

if TYPE_CHECKING:  # what is off is not imported
    from wheelstep.recording.writer import Recorder

_PROBE_TIMEOUT_US = 1_500_000
_MOST_EVENTS = 2_000  # go to the module in one turn
_RESERVE = 32  # descriptors for the journal, discovery, notices, and what asyncio and Python keep open

log = logging.getLogger(__name__)


class Book(Protocol):
    """What is asked of a journal: see `wheelstep.journal.Journal`."""

    @property
    def messages(self) -> dict[str, Stored]: ...

    @property
    def marks(self) -> dict[str, Any]: ...

    @property
    def waits(self) -> bool: ...

    def take(self, message: Stored) -> None: ...

    def attempt(self, message: str, number: int, at_ms: int, endpoint: str) -> None: ...

    def outcome(self, message: str, number: int, may_have_run: bool) -> None: ...

    def end(self, message: str, outcome: str, retry_ms: int) -> None: ...

    def over(self, message: str) -> None: ...

    def mark(self, name: str, value: Any) -> None: ...

    async def durable(self) -> None: ...


class Core:
    """One courier's state between its sockets, its journal and the module."""

    def __init__(self, config: Config, journal: Book) -> None:
        self._s, self._names, self._journal = config.settings, config.names, journal
        self._sender = Sender(config.settings, config.seed)
        self._classes = {name: i for i, name in enumerate(config.names.classes)}
        self._events: list[api.Event] = []
        self._flush: asyncio.Handle | None = None
        self._timers: dict[int, asyncio.TimerHandle] = {}
        self._held: dict[str, Stored] = {}  # what the module holds
        self._numbers: dict[str, int] = {}  # each one's next attempt
        self._listed: dict[str, api.EndpointInfo] = {}
        self._destinations: set[int] = set()  # those that any list has named
        self.knows_list = False  # has any list been read, also one with nothing in it for this courier?
        self._waits: dict[str | int, float] = {}  # until when nothing may go to a destination or route
        self._unsettled: dict[str, set[str]] = defaultdict(set)  # key -> messages whose notice is owed
        self._settled = asyncio.Event()  # set, and replaced, whenever notices were answered
        self.outlet = Outlet(self, config.dial_timeout_us, config.settings.conn_idle_us, config.names.report,
                             max(16, config.sockets - config.sockets // 3 - _RESERVE))
        self.notices: Notices | None = None
        self.recorder: Recorder | None = None
        self.ready = self.stopping = False

    # --- what the sockets tell ---

    def listed(self, kind: api.ListKind, rows: list[tuple[api.EndpointInfo, Address]]) -> None:
        """Discovery's list, or changes to it."""
        if kind is not api.ListKind.CHANGES:
            named = {info.endpoint for info, _ in rows}
            for gone in [name for name in self._listed if name not in named]:
                self._unlist(gone)
        for info, address in rows:
            if info.state is EndpointState.REMOVED:
                self._unlist(info.endpoint)
                continue
            self._listed[info.endpoint] = info
            self._destinations.add(info.destination)
            self.outlet.list(info.endpoint, address)
            if info.state is EndpointState.DRAINING:
                self.outlet.close_idle(info.endpoint)
        self._post(api.MembershipReceived(kind, tuple(info for info, _ in rows)))

    def _unlist(self, endpoint: str) -> None:
        self._listed.pop(endpoint, None)
        if endpoint in self._journal.marks:
            self._journal.mark(endpoint, None)
        self.outlet.unlist(endpoint)

    def full(self) -> bool:
        """Is the hold limit reached? Notices owed count: their number needs a bound too."""
        return len(self._journal.messages) >= self._s.hold_limit

    def serves(self, destination: int) -> bool:
        """Has any list named it? Its endpoints may all be gone just now. Guards against messages that
        nobody could ever deliver."""
        return destination in self._destinations or not (self._destinations or self.knows_list)

    def take(self, message: Stored) -> None:
        """Write a new message down."""
        self._journal.take(message)

    async def durable(self) -> None:
        """Wait until what was written is safe by the operator's policy, or `NoRoomError`."""
        if self._journal.waits:
            await self._journal.durable()

    async def safe(self) -> bool:
        """The same for attempts that were written down: False if they are not to be sent."""
        try:
            await self.durable()
        except NoRoomError as error:
            log.warning("attempts are not sent: %s", error)
            return False
        return True

    def holds(self, message: str) -> bool:
        """Was it taken on before, and is its end still owed?"""
        return message in self._journal.messages

    def begin(self, name: str) -> None:
        """Act on a message whose client knows that it was taken on."""
        message = self._journal.messages[name]
        self._hold(message)
        self._post(self._accepted(message, message.resubmitted))

    def withdraw(self, name: str) -> None:
        """Forget a message whose client went before it was answered."""
        self._journal.over(name)

    def handed_in(self, message: Stored, status: int) -> None:
        """Record it, where the operator wants that."""
        if self.recorder is not None:
            self.recorder.note(message.message_class, message.destination, message.key, message.token is not None,
                               message.body, _left_us(message) // 1000, status, message.resubmitted)

    @property
    def syncs(self) -> bool:
        """Is there anything to wait for between writing an attempt down and its first byte?"""
        return self._journal.waits

    def restore(self, marks: Mapping[str, Any], messages: Iterable[Stored]) -> None:
        """Take up what a journal holds: the health of endpoints, and the messages in their order."""
        now_ms = int(time.time() * 1000)
        for endpoint, (at_ms, *health) in list(marks.items()):
            if endpoint in self._listed:
                self._post(api.HealthRestored(endpoint, api.Health(*health), max(0, now_ms - at_ms) * 1000))
            else:
                self._journal.mark(endpoint, None)
        for message in list(messages):
            if message.notice is not None:
                self._owe(message)
            elif message.message_class not in self._classes:
                log.error("class %r is not known any more: %s fails", message.message_class, message.id)
                self._end(message, "given_up", 0)
            else:
                self._hold(message)
                ran = message.may_have_run()
                self._post(api.MessageRestored(
                    self._accepted(message, resubmitted=True), message.attempts,
                    None if ran is None else max(0, int(time.time() * 1e6) - ran[0] * 1000),
                    self._zone(ran[1]) if ran else 0))

    def _accepted(self, message: Stored, resubmitted: bool) -> api.MessageAccepted:
        return api.MessageAccepted(message.id, self._classes[message.message_class], message.destination,
                                   _left_us(message), message.key, resubmitted)

    def _hold(self, message: Stored) -> None:
        self._held[message.id] = message
        self._numbers[message.id] = message.attempts

    def _zone(self, endpoint: str) -> int:
        info = self._listed.get(endpoint)
        return info.zone if info is not None else -1

    # --- what calls ask and tell (outlet.Gate) ---

    async def settled(self, items: Sequence[Item]) -> None:
        """Guards the order of a key: a message that ended by a notice is over only once that is answered."""
        keys = {key for item in items if (key := self._key(item.message)) is not None}
        while any(self._unsettled.get(key) for key in keys):
            await self._settled.wait()

    def _key(self, message: str) -> str | None:
        held = self._held.get(message)
        if held is None or not self._s.classes[self._classes[held.message_class]].ordered:
            return None
        return held.key

    def may_start(self, endpoint: str, item: Item) -> bool:
        """May the attempt's first byte still be written?"""
        info = self._listed.get(endpoint)
        if info is None or info.state is not EndpointState.UP or item.message not in self._held:
            return False
        return time.monotonic() >= self._waits.get(self._route(info), 0.0)

    def starting(self, endpoint: str, items: Sequence[Item]) -> None:
        """Write the attempts down before their first byte."""
        now_ms = int(time.time() * 1000)
        for item in items:
            self._journal.attempt(item.message, item.attempt, now_ms, endpoint)

    def told_to_wait(self, endpoint: str, wait_us: int) -> None:
        """Nothing more goes there for so long, also of what is being dialled."""
        if info := self._listed.get(endpoint):
            route, now = self._route(info), time.monotonic()
            self._waits = {other: until for other, until in self._waits.items() if until > now}
            self._waits[route] = max(self._waits.get(route, 0.0), now + wait_us / 1e6)

    def _route(self, info: api.EndpointInfo) -> str | int:
        kind = self._s.kinds[min(info.kind, len(self._s.kinds) - 1)]
        return info.endpoint if kind.routes_apart else info.destination

    def ended(self, endpoint: str, results: Sequence[tuple[Item, Result]]) -> None:
        """The outcomes of one call."""
        for item, result in results:
            held = self._held.get(item.message)
            if result.outcome is not Outcome.OK:
                log.info("%s attempt %d at %s: %s after %d ms%s", item.message, item.attempt, endpoint,
                         result.outcome.value, result.spent_us // 1000, ", over" if result.over else "")
            complete = result.outcome is Outcome.OK or result.over or held is None
            if held is not None and complete:
                del self._held[item.message], self._numbers[item.message]
                self._journal.over(item.message)
            elif held is not None and item.attempt in held.out:
                self._journal.outcome(item.message, item.attempt, result.outcome not in UNRUN)
            self._post(api.AttemptEnded(
                item.message, item.attempt, endpoint, result.outcome, result.spent_us, complete,
                result.wait_us, result.limit, result.exhausted))

    def probed(self, endpoint: str, result: Result) -> None:
        """The outcome of a probe."""
        self._post(api.ProbeEnded(endpoint, result.outcome, result.spent_us, result.limit))

    def answered(self, messages: list[str]) -> None:
        """The platform has heard of the end of these."""
        for name in messages:
            if message := self._journal.messages.get(name):
                if message.key is not None:
                    self._unsettled[message.key].discard(name)
                    if not self._unsettled[message.key]:
                        del self._unsettled[message.key]
                self._journal.over(name)
        self._settled.set()
        self._settled = asyncio.Event()

    # --- the module ---

    def _post(self, event: api.Event) -> None:
        """Gather events for a tick: what goes to one endpoint in one turn shares a call."""
        self._events.append(event)
        if self._flush is None:
            self._flush = asyncio.get_running_loop().call_later(self._s.tick_us / 1e6, self._turn)

    def _turn(self) -> None:
        self._flush = None
        if self.stopping:
            return
        events, self._events = self._events[:_MOST_EVENTS], self._events[_MOST_EVENTS:]
        if self._events:  # guards the loop against 100,000 restored messages in one turn
            self._flush = asyncio.get_running_loop().call_soon(self._turn)
        try:
            self._carry_out(self._sender.handle(time.monotonic_ns() // 1000, events))
        except Exception:
            log.exception("a turn failed; its events: %r", events)

    def _carry_out(self, actions: list[api.Action]) -> None:
        calls: dict[str, list[tuple[Item, int]]] = {}
        for action in actions:
            try:
                self._carry_out_one(action, calls)
            except Exception:  # one that fails may not take the others with it
                log.exception("could not carry out %r", action)
                if isinstance(action, api.StartAttempt):  # nor keep its slot
                    self._post(api.AttemptEnded(action.message, 0, action.endpoint, Outcome.NOT_SENT, 0))
        for endpoint, sends in calls.items():
            self._call(endpoint, sends)

    def _carry_out_one(self, action: api.Action, calls: dict[str, list[tuple[Item, int]]]) -> None:
        match action:
            case api.StartAttempt(name, endpoint, timeout_us):
                self._start(name, endpoint, timeout_us, calls)
            case api.Refuse(name, retry_after_us):
                self._final(name, "handed_back", retry_after_us // 1000)
            case api.Fail(name):
                self._final(name, "given_up", 0)
            case api.CancelAttempt(name, attempt):
                self.outlet.cancel(name, attempt)
            case api.Probe(endpoint):
                self.outlet.probe(endpoint, _PROBE_TIMEOUT_US)
            case api.CloseIdle(endpoint):
                self.outlet.close_idle(endpoint)
            case api.SetTimer(timer, in_us):  # in place of a later one, which would wake it for nothing
                if timer in self._timers:
                    self._timers[timer].cancel()
                self._timers[timer] = asyncio.get_running_loop().call_later(in_us / 1e6, self._timer, timer)
            case api.Subscribe():
                pass  # the watch is always on
            case api.WriteLog(text):
                log.info("%s", text)
            case api.NoteHealth(endpoint, health) if endpoint in self._listed:
                self._journal.mark(endpoint, [int(time.time() * 1000), health.sick, health.returning,
                                              health.base, health.rate])

    def _timer(self, timer: int) -> None:
        del self._timers[timer]
        self._post(api.TimerFired(timer))

    def _start(self, name: str, endpoint: str, timeout_us: int,
               calls: dict[str, list[tuple[Item, int]]]) -> None:
        message = self._held[name]
        number = self._numbers[name]
        self._numbers[name] = number + 1
        sends = calls.setdefault(endpoint, [])
        sends.append((Item(name, number, message.token, message.body), timeout_us))
        info = self._listed.get(endpoint)
        kind = self._s.kinds[min(info.kind, len(self._s.kinds) - 1)] if info else api.Kind()
        if len(sends) >= kind.per_call:
            self._call(endpoint, calls.pop(endpoint))

    def _call(self, endpoint: str, sends: list[tuple[Item, int]]) -> None:
        self.outlet.call(endpoint, [item for item, _ in sends], min(timeout_us for _, timeout_us in sends))

    def _final(self, name: str, outcome: str, retry_ms: int) -> None:
        message = self._held.pop(name)
        del self._numbers[name]
        self._end(message, outcome, retry_ms)

    def _end(self, message: Stored, outcome: str, retry_ms: int) -> None:
        self._journal.end(message.id, outcome, retry_ms)
        self._owe(message)

    def _owe(self, message: Stored) -> None:
        if message.notice is not None and self.notices is not None:
            if message.key is not None:
                self._unsettled[message.key].add(message.id)
            self.notices.owe(message.id, *message.notice)


def _left_us(message: Stored) -> int:
    return max(0, message.deadline_ms * 1000 - int(time.time() * 1e6))
