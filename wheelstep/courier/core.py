"""The middle: gathers events, asks the decision module, carries its actions out in order. No policy here."""

from __future__ import annotations

import asyncio
import logging
import time
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import astuple, dataclass, replace
from typing import TYPE_CHECKING, Any, Protocol

from wheelstep import Sender
from wheelstep import interface as api
from wheelstep.courier.config import Address, Config
from wheelstep.courier.outlet import Item, Outlet, Result
from wheelstep.courier.rows import Row
from wheelstep.interface import UNRUN, EndpointState, Outcome
from wheelstep.journal import NoRoomError, Stored

if TYPE_CHECKING:  # what is off is not imported
    from wheelstep.account.writer import Account
    from wheelstep.console.figures import Figures
    from wheelstep.recording.writer import Recorder
    from wheelstep.renewal.classes import ClassTable

Told = Callable[[str, Sequence[tuple[Item, Result]]], None]
_PROBE_TIMEOUT_US = 1_500_000
_MOST_EVENTS = 2_000  # go to the module in one turn
_OUT = ":out "  # before an endpoint's id: the mark that it is out by hand
_CLASSES = ":classes"  # the mark of what `ClassTable.store` gives
_MOST_NOTES = 1_000  # endpoints that are noted at the end of the process: a few hundred bytes each
_MOST_OUT = 10_000  # endpoints out by hand
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


class Notices(Protocol):
    """Who is told of ends; once it has heard, `Core.answered`."""

    def owe(self, message: str, outcome: str, retry_ms: int) -> None:
        """Tell of this one as soon as can be."""


@dataclass(frozen=True, slots=True)
class CallsOut:
    """A call under way: where, since when (Unix time), and its messages with their attempts."""

    endpoint: str
    sent_ms: int
    attempts: list[tuple[str, int]]


class Core:
    """One courier's state between its sockets, its journal and the module."""

    def __init__(self, config: Config, journal: Book) -> None:
        self._config, self._s, self._names, self._journal = config, config.settings, config.names, journal
        self._sender = Sender(config.settings, config.seed)
        self._classes = {name: i for i, name in enumerate(config.names.classes)}
        self._table: ClassTable | None = None  # in place of that, once settings have changed
        self._settling: asyncio.TimerHandle | None = None
        self.ordered = {name: cls.ordered for name, cls in zip(self._classes, self._s.classes, strict=True)}
        self._events: list[api.Event] = []
        self._flush: asyncio.Handle | None = None
        self._timers: dict[int, asyncio.TimerHandle] = {}
        self._held: dict[str, Stored] = {}  # what the module holds
        self._numbers: dict[str, int] = {}  # each one's next attempt
        self._settles: set[str] = set()  # written down, and neither begun nor withdrawn
        self._listed: dict[str, api.EndpointInfo] = {}
        self._destinations: set[int] = set()  # those that any list has named
        self.knows_list = False  # has any list been read, also one with nothing in it for this courier?
        self._waits: dict[str | int, float] = {}  # until when nothing may go to a destination or route
        self._unsettled: dict[str, set[str]] = defaultdict(set)  # key -> messages whose notice is owed
        self._settled = asyncio.Event()  # set, and replaced, whenever notices were answered
        self.outlet = Outlet(self, config.dial_timeout_us, config.settings.conn_idle_us, config.names.report,
                             max(16, config.sockets - config.sockets // 3 - _RESERVE))
        self.notices: Notices | None = None
        self.tells_deliveries = False  # are notices owed of what was delivered as well?
        self.recorder: Recorder | None = None
        self.figures: Figures | None = None
        self.account: Account | None = None
        self._out: set[str] = set()  # endpoints out by hand, listed or not
        self.ready = self.stopping = False
        self.frozen = False  # nothing is begun: another process is about to go on from here
        self._tell: Told | None = None  # who owns the messages now, once another process does

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
        self._post(api.MembershipReceived(kind, tuple(self._overruled(info) for info, _ in rows)))

    def _overruled(self, info: api.EndpointInfo) -> api.EndpointInfo:
        """What the module is to know of it: one that is out by hand drains, whatever the list says."""
        if info.endpoint in self._out and info.state is EndpointState.UP:
            return replace(info, state=EndpointState.DRAINING)
        return info

    # --- what operators call for (console.commands.Desk) ---

    def exclude(self, endpoint: str) -> bool:
        """Nothing new goes there until it is put back, also over restarts. False if no such endpoint is known."""
        if endpoint in self._out:
            return True
        if endpoint not in self._listed or len(self._out) >= _MOST_OUT:
            return False
        self._out.add(endpoint)
        self._journal.mark(_OUT + endpoint, 1)
        self.outlet.close_idle(endpoint)
        self._post(api.MembershipReceived(api.ListKind.CHANGES, (self._overruled(self._listed[endpoint]),)))
        log.info("%s is out by hand", endpoint)
        return True

    def include(self, endpoint: str) -> bool:
        """The list counts again. False if no such endpoint is known."""
        if endpoint not in self._out:
            return endpoint in self._listed
        self._out.discard(endpoint)
        self._journal.mark(_OUT + endpoint, None)
        if (info := self._listed.get(endpoint)) is not None:
            self._post(api.MembershipReceived(api.ListKind.CHANGES, (info,)))
        log.info("%s is back by hand", endpoint)
        return True

    def telemetry(self) -> str:
        """The figures, a line each."""
        from wheelstep.console.figures import Figures, Gauges, render
        marks = self._journal.marks
        skipped = sum(name in self._out or bool(marks.get(name, (0, False))[1]) for name in self._listed)
        return render(self.figures or Figures(), Gauges(len(self._held), len(self._listed), skipped), self.ordered)

    def gauge(self) -> tuple[int, int, int, list[tuple[int, api.Holdup, int]]]:
        """Slots out, connections open, handshakes since the start, and what holds messages up."""
        held = self._sender.holdups(time.monotonic_ns() // 1000)
        return len(self.outlet.calls()), self.outlet.links(), self.outlet.dials, held

    # --- settings that change (SIGHUP) ---

    def renew(self, config: Config) -> None:
        """New settings: classes and the number of attempts change now, all else at the next start."""
        from wheelstep.renewal.classes import SETTLE_S, ClassTable, during
        classes = _classes(config)
        if self._table is None:
            if classes == _classes(self._config):
                return
            self._table = ClassTable(_classes(self._config))
        elif self._settling is None and classes == {name: self._table.current(name) for name in self._table.names}:
            return
        self._use(during(self._table, classes))
        if self._settling is not None:
            self._settling.cancel()
        self._settling = asyncio.get_running_loop().call_later(SETTLE_S, self._settle, classes)

    def _settle(self, classes: dict[str, api.MessageClass]) -> None:
        self._settling = None
        self._use(classes)
        log.info("classes from now on: %s", ", ".join(classes))

    def _use(self, classes: dict[str, api.MessageClass]) -> None:
        assert self._table is not None
        held = [(message.message_class, message.seq) for message in self._journal.messages.values()]
        self._table.renew(classes, 1 + max((seq for _, seq in held), default=0), held)
        self._changed(self._table)

    def _changed(self, table: ClassTable) -> None:
        self._journal.mark(_CLASSES, table.store())
        self.ordered.clear()
        self.ordered.update((name, table.current(name).ordered) for name in table.names)
        self._post(api.ClassesChanged(tuple(table.places)))

    def _restore_classes(self, stored: Mapping[str, Any], messages: list[Stored]) -> None:
        """Guards messages of a class that has changed or gone since they were taken on."""
        from wheelstep.renewal.classes import ClassTable
        held = [(message.message_class, message.seq) for message in messages]
        try:
            self._table = ClassTable.restored(stored, _classes(self._config),
                                              1 + max((seq for _, seq in held), default=0), held)
        except (KeyError, IndexError, TypeError, ValueError, AttributeError) as error:
            log.error("what an earlier process knew of classes can't be used: %r", error)
            return
        self._changed(self._table)

    def _class(self, message: Stored) -> int | None:
        """Its class's place in the module's list; None where nobody knows it."""
        if self._table is not None:
            return self._table.place(message.message_class, message.seq)
        return self._classes.get(message.message_class)

    def _unlist(self, endpoint: str) -> None:
        self._listed.pop(endpoint, None)
        if endpoint in self._journal.marks:
            self._journal.mark(endpoint, None)
        self.outlet.unlist(endpoint)

    def full(self) -> bool:
        """Is the hold limit reached? Notices owed count: their number needs a bound too. A process that has handed
        over takes nothing on."""
        return self._tell is not None or len(self._journal.messages) >= self._s.hold_limit

    def serves(self, destination: int) -> bool:
        """Has any list named it? Its endpoints may all be gone just now. Guards against messages that
        nobody could ever deliver."""
        return destination in self._destinations or not (self._destinations or self.knows_list)

    def take(self, message: Stored) -> None:
        """Write a new message down."""
        self._journal.take(message)
        self._settles.add(message.id)

    def durable(self) -> asyncio.Future[None]:
        """Done once what was written is safe by the operator's policy, or `NoRoomError`."""
        return asyncio.ensure_future(self._journal.durable())

    async def safe(self) -> bool:
        """The same for attempts that were written down: False if they are not to be sent."""
        try:
            if self._journal.waits:
                await self._journal.durable()
        except NoRoomError as error:
            log.warning("attempts are not sent: %s", error)
            return False
        return True

    def holds(self, message: str) -> bool:
        """Was it taken on before, and is its end still owed?"""
        return message in self._journal.messages

    def settles(self, message: str) -> bool:
        """Is it written down for a client that has not heard so yet, and may still be withdrawn?"""
        return message in self._settles

    def begin(self, name: str) -> None:
        """Act on a message whose client knows that it was taken on."""
        self._settles.discard(name)
        message = self._journal.messages[name]
        self._hold(message)
        self._post(self._accepted(message, message.resubmitted))

    def withdraw(self, name: str) -> None:
        """Forget a message whose client went before it was answered."""
        self._settles.discard(name)
        self._journal.over(name)

    def handed_in(self, message: Stored, status: int) -> None:
        """Count a refusal, and record it where the operator wants that."""
        if status == 202:
            self._account_for(message)
        elif self.account is not None:
            self.account.turned_away(message.id, message.message_class, status)
        if self.figures is not None and status == 503:
            self.figures.ended(message.message_class, "handed_back")
        if self.recorder is not None:
            self.recorder.note(message.message_class, message.destination, message.key, message.token is not None,
                               message.body, _left_us(message) // 1000, status, message.resubmitted)

    def _account_for(self, message: Stored, restored: bool = False) -> None:
        if self.account is not None:
            self.account.taken(message.id, message.message_class, message.destination, message.key,
                               _left_us(message) // 1000, message.resubmitted, restored)

    @property
    def syncs(self) -> bool:
        """Is there anything to wait for between writing an attempt down and its first byte?"""
        return self._journal.waits

    # --- from one process to the next (wheelstep.upgrade) ---

    def freeze(self) -> None:
        """Begin nothing: calls under way go on, those that have not written a byte end as not sent."""
        self.frozen = True

    def note_all(self) -> None:
        """Write down what a process that goes on from here must know of endpoints, those with most traffic first."""
        notes = self._sender.notes(time.monotonic_ns() // 1000)
        for note in sorted(notes, key=lambda note: -note.health.carried)[:_MOST_NOTES]:
            self._carry_out_one(note, {})

    def thaw(self) -> None:
        """Go on."""
        self.frozen = False
        if self._events and self._flush is None:
            self._flush = asyncio.get_running_loop().call_soon(self._turn)

    def calls_out(self) -> list[CallsOut]:
        """The calls that have begun and have no outcome yet."""
        found = []
        for attempts in self.outlet.calls():
            rows = [(name, number, held.out[number]) for name, number in attempts
                    if (held := self._journal.messages.get(name)) is not None and number in held.out]
            if rows:
                found.append(CallsOut(rows[0][2][1], rows[0][2][0], [(name, number) for name, number, _ in rows]))
        return found

    def waits(self) -> dict[str, int]:
        """Waits in force: microseconds left by endpoint."""
        now = time.monotonic()
        left = {name: self._waits.get(self._route(info), 0.0) - now for name, info in self._listed.items()}
        return {name: int(left_s * 1e6) for name, left_s in left.items() if left_s > 0}

    def rows(self) -> list[Row]:
        """The list as it stands."""
        return [(info, address) for name, info in self._listed.items()
                if (address := self.outlet.address(name)) is not None]

    def hand_over(self, tell: Told) -> None:
        """The messages are another process's now: outcomes are told to it, and nothing is written down here."""
        self._tell = tell
        self._events.clear()
        for timer in self._timers.values():
            timer.cancel()
        self._held.clear()
        for endpoint in self._listed:
            self.outlet.close_idle(endpoint)

    def restore(self, marks: Mapping[str, Any], messages: Iterable[Stored],
                calls: Sequence[CallsOut] = ()) -> None:
        """Take up what a journal holds: the health of endpoints, and the messages in their order. `calls` are still
        out at the process before, which will tell their outcomes."""
        out = {name: (at, number, call) for at, call in enumerate(calls) for name, number in call.attempts}
        now_ms, messages = int(time.time() * 1000), list(messages)
        if _CLASSES in marks:
            self._restore_classes(marks[_CLASSES], messages)
        self._out.update(name.removeprefix(_OUT) for name in marks if name.startswith(_OUT))
        for endpoint in self._out & self._listed.keys():
            self._post(api.MembershipReceived(api.ListKind.CHANGES, (self._overruled(self._listed[endpoint]),)))
        for endpoint, value in list(marks.items()):
            if endpoint.startswith(":"):
                continue
            at_ms, *health = value
            if endpoint in self._listed:
                self._post(api.HealthRestored(endpoint, api.Health(*health), max(0, now_ms - at_ms) * 1000))
            else:
                self._journal.mark(endpoint, None)
        for message in messages:
            if message.notice is not None:
                self._owe(message)
            elif self._class(message) is None:
                log.error("class %r is not known any more: %s fails", message.message_class, message.id)
                self._end(message, "given_up", 0)
            else:
                self._hold(message)
                self._account_for(message, restored=True)
                at, number, call = out.get(message.id, (0, None, None))
                ran = message.may_have_run(but=number)
                self._post(api.MessageRestored(
                    self._accepted(message, resubmitted=True), message.attempts,
                    None if ran is None else _ago_us(ran[0]), self._zone(ran[1]) if ran else 0,
                    None if call is None else api.CallOut(at, call.endpoint, _ago_us(call.sent_ms))))

    def _accepted(self, message: Stored, resubmitted: bool) -> api.MessageAccepted:
        place = self._class(message)
        assert place is not None  # the inlet takes none of an unknown class, nor does `restore`
        return api.MessageAccepted(message.id, place, message.destination,
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
        return held.key if held is not None else None  # only messages that keep an order have one

    def may_start(self, endpoint: str, item: Item) -> bool:
        """May the attempt's first byte still be written?"""
        return item.message in self._held and self.may_probe(endpoint)

    def may_probe(self, endpoint: str) -> bool:
        """May anything new be written there?"""
        info = self._listed.get(endpoint)
        if info is None or info.state is not EndpointState.UP or endpoint in self._out or self.frozen:
            return False
        return time.monotonic() >= self._waits.get(self._route(info), 0.0)

    def written(self, messages: int) -> None:
        """So many were written whole to an endpoint."""
        if self.figures is not None:
            self.figures.upstream_tries += messages

    def starting(self, endpoint: str, items: Sequence[Item]) -> None:
        """Write the attempts down before their first byte."""
        now_ms = int(time.time() * 1000)
        for item in items:
            self._journal.attempt(item.message, item.attempt, now_ms, endpoint)
            if self.account is not None:
                self.account.starting(item.message, item.attempt, endpoint)

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
        if self._tell is not None:
            self._tell(endpoint, results)
            return
        for item, result in results:
            held = self._held.get(item.message)
            if result.outcome is not Outcome.OK:
                log.info("%s attempt %d at %s: %s after %d ms%s", item.message, item.attempt, endpoint,
                         result.outcome.value, result.spent_us // 1000, ", over" if result.over else "")
            complete = result.outcome is Outcome.OK or result.over or held is None
            if self.account is not None:
                self.account.ended(item.message, item.attempt, endpoint, result.outcome.value, result.spent_us,
                                   result.outcome is Outcome.OK or result.over, result.limit)
            if held is not None and complete:
                if self.figures is not None and not result.over:
                    self.figures.passed[held.message_class] += 1
                del self._held[item.message], self._numbers[item.message]
                if self.tells_deliveries:
                    self._journal.end(item.message, "delivered", 0)
                    self._owe(held)
                else:
                    self._journal.over(item.message)
            elif held is not None and item.attempt in held.out:
                self._journal.outcome(item.message, item.attempt, result.outcome not in UNRUN)
            self._post(api.AttemptEnded(
                item.message, item.attempt, endpoint, result.outcome, result.spent_us, complete,
                result.wait_us, result.limit, result.exhausted))

    def probed(self, endpoint: str, result: Result) -> None:
        """The outcome of a probe."""
        if self._tell is not None:
            return
        if self.account is not None:
            self.account.probed(endpoint, result.outcome.value)
        self._post(api.ProbeEnded(endpoint, result.outcome, result.spent_us, result.limit))

    def answered(self, messages: list[str]) -> None:
        """The platform has heard of the end of these."""
        for name in messages:
            if message := self._journal.messages.get(name):
                if message.key in self._unsettled:
                    self._unsettled[message.key].discard(name)
                    if not self._unsettled[message.key]:
                        del self._unsettled[message.key]
                self._journal.over(name)
        self._settled.set()
        self._settled = asyncio.Event()

    # --- the module ---

    def _post(self, event: api.Event) -> None:
        """Gather events for a tick: what goes to one endpoint in one turn shares a call."""
        if self._tell is not None:
            return  # the messages are another process's
        self._events.append(event)
        if self._flush is None:
            self._flush = asyncio.get_running_loop().call_later(self._s.tick_us / 1e6, self._turn)

    def _turn(self) -> None:
        self._flush = None
        if self.stopping or self.frozen:
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
            case api.CloseIdle(endpoint, idle_us):
                self.outlet.close_idle(endpoint, idle_us)
            case api.SetTimer(timer, in_us):  # in place of a later one, which would wake it for nothing
                if timer in self._timers:
                    self._timers[timer].cancel()
                self._timers[timer] = asyncio.get_running_loop().call_later(in_us / 1e6, self._timer, timer)
            case api.Subscribe():
                pass  # the watch is always on
            case api.WriteLog(text):
                log.info("%s", text)
            case api.NoteHealth(endpoint, health) if endpoint in self._listed:
                self._journal.mark(endpoint, [int(time.time() * 1000), *astuple(health)])

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
        if self.figures is not None:
            self.figures.ended(message.message_class, outcome)
        if self.account is not None:
            self.account.final(message.id, outcome)
        self._owe(message)

    def _owe(self, message: Stored) -> None:
        if message.notice is not None and self.notices is not None:
            if message.key is not None and message.notice[0] != "delivered":
                self._unsettled[message.key].add(message.id)
            self.notices.owe(message.id, *message.notice)


def _classes(config: Config) -> dict[str, api.MessageClass]:
    """By name, each with the number of attempts that was in force with it."""
    most = config.settings.max_attempts
    return {name: replace(cls, most_attempts=most)
            for name, cls in zip(config.names.classes, config.settings.classes, strict=True)}


def _ago_us(at_ms: int) -> int:
    return max(0, int(time.time() * 1e6) - at_ms * 1000)


def _left_us(message: Stored) -> int:
    return max(0, message.deadline_ms * 1000 - int(time.time() * 1e6))
