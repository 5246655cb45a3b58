"""Base class of `core.Core`: carries out the decision module's actions and reports outcomes; makes no decisions."""

from __future__ import annotations

import logging
import math
import time
from collections.abc import Callable, Sequence
from dataclasses import astuple, replace
from typing import TYPE_CHECKING

from wheelstep import Sender
from wheelstep import interface as api
from wheelstep.courier.call import Item, Result
from wheelstep.courier.classes import ClassIndex
from wheelstep.courier.config import Config
from wheelstep.courier.decision_loop import AttemptBatches, DecisionLoop
from wheelstep.courier.ended_messages import EndedMessages
from wheelstep.courier.endpoint_client import EndpointClient
from wheelstep.courier.endpoints import Endpoints
from wheelstep.courier.flight_recorder import EventKind, FlightRecorder
from wheelstep.courier.handover_state import calls_in_progress
from wheelstep.courier.invariants import Invariant, Invariants
from wheelstep.courier.key_order import KeyOrder
from wheelstep.courier.outcome_reports import report_outcome
from wheelstep.courier.ports import JournalPort, NotificationSender, OpenCall, Successor
from wheelstep.courier.send_guard import SendGuard
from wheelstep.courier.timeliness import Timeliness, call_timeliness
from wheelstep.courier.wall_clock import clock
from wheelstep.courier.written_ends import notify_when_written
from wheelstep.interface import NEVER_EXECUTED, Outcome
from wheelstep.journal import NoRoomError, StoredMessage

if TYPE_CHECKING:  # optional features are imported only when enabled
    from wheelstep.account.writer import AccountWriter
    from wheelstep.console.metrics import Counters

_PROBE_TIMEOUT_US = 1_500_000

log = logging.getLogger("wheelstep.courier.carrier")


class Dispatcher:
    """The messages that the decision module holds, and their calls."""

    def __init__(self, config: Config, journal: JournalPort) -> None:
        self._config, self._settings, self._journal = config, config.settings, journal
        sender = Sender(config.settings, config.seed)
        self.decision_loop = DecisionLoop(sender, config.settings.tick_us, self._carry_out, self._call)
        self.endpoints = Endpoints(config.settings, journal, self.decision_loop.post)
        self.classes = ClassIndex(config, journal, self.decision_loop.post)
        self.ordered = self.classes.ordered
        self._held: dict[str, StoredMessage] = {}  # messages that the decision module holds
        self._next_attempt: dict[str, int] = {}  # number of each message's next attempt
        self._untried: set[str] = set()  # restored messages, neither tried nor ended since
        self.ended_messages = EndedMessages()
        self.order = KeyOrder(config.settings.order_settle_us / 1e6)
        self.endpoint_client = EndpointClient(self, config.dial_timeout_us, config.settings.conn_idle_us,
                                              config.names.report, config.max_endpoint_connections)
        self.flight_recorder = self.endpoint_client.recorder = FlightRecorder()
        self.invariants = Invariants(self.flight_recorder)
        self._send_guard = SendGuard(self.order, self.invariants)
        self.notices: NotificationSender | None = None
        self.notifies_deliveries = False  # whether deliveries are notified as well
        self.counters: Counters | None = None
        self.account: AccountWriter | None = None
        self.fence: Callable[[str], bool] | None = None  # further permission for a message's first byte
        self.late_outcome: Callable[[Item, Result], None] | None = None  # receives outcomes of messages no longer held
        self._successor: Successor | None = None  # set once another process owns the messages

    @property
    def syncs(self) -> bool:
        """Whether the journal may have to be synced between an attempt's record and its first byte."""
        return self._journal.waits

    async def wait_durable(self) -> bool:
        """Wait until the recorded attempts are durable; return False if they must not be sent."""
        try:
            if self._journal.waits:
                await self._journal.durable()
        except NoRoomError as error:
            log.warning("attempts are not sent, the journal cannot store them: %s", error)
            return False
        return True

    async def wait_for_earlier(self, items: Sequence[Item]) -> None:
        """Keep the order of keys: a message that ended with a notification is complete once that is answered."""
        await self.order.until_answered((item.message for item in items), time.monotonic())

    def may_start(self, endpoint: str, item: Item) -> bool:
        """Return whether the attempt's first byte may still be written."""
        message = self._held.get(item.message)
        return (message is not None and self.may_probe(endpoint)
                and (self.fence is None or self.fence(item.message))
                and self._send_guard.may_send(message, item, time.monotonic()))

    def may_probe(self, endpoint: str) -> bool:
        """Return whether anything new may be written to the endpoint."""
        return not self.decision_loop.frozen and self.endpoints.may_write(endpoint, time.monotonic())

    def messages_written(self, messages: int) -> None:
        """Count messages whose call was written whole."""
        if self.counters is not None:
            self.counters.upstream_tries += messages

    def attempts_starting(self, endpoint: str, items: Sequence[Item]) -> None:
        """Journal the attempts before their first byte."""
        now_ms = clock.now_ms()
        if self._successor is not None:
            self.invariants.report_violation(Invariant.OWNER, f"a call to {endpoint} began after the handover")
        for item in items:
            self._journal.attempt(item.message, item.attempt, now_ms, endpoint)
            self.order.attempt_started(item.message, item.attempt)
            self._untried.discard(item.message)
            self._record(EventKind.ATTEMPT_STARTED, item.message, f"{item.attempt} at {endpoint}")
            if self.account is not None:
                self.account.starting(item.message, item.attempt, endpoint)

    def apply_wait(self, endpoint: str, wait_us: int) -> None:
        """Send nothing more to the endpoint for this long, not even on connections that are being opened."""
        self.endpoints.apply_wait(endpoint, time.monotonic(), wait_us / 1e6)
        if self._successor is not None:
            self._successor.apply_wait(endpoint, wait_us)

    def ended(self, endpoint: str, results: Sequence[tuple[Item, Result]]) -> None:
        """Process the outcomes of one call."""
        if self._successor is not None:
            self._successor.ended(endpoint, results)
            return
        now_s = time.monotonic()
        timely = Timeliness.IN_TIME if self.notifies_deliveries else call_timeliness(
            results, self._held, self._settings)
        for item, result in results:
            self.order.attempt_ended(item.message, item.attempt, result.may_still_run, now_s)
            held = self._held.get(item.message)
            if result.outcome is Outcome.OK and timely is Timeliness.LATE:
                result = replace(result, outcome=Outcome.TIMEOUT)
            complete = result.outcome is Outcome.OK or result.over or held is None
            report_outcome(self.flight_recorder, self.account, endpoint, item, held.key if held else None, result)
            if held is not None and complete:
                if self.counters is not None and not result.over:
                    self.counters.passed[held.message_class] += 1
                del self._held[item.message], self._next_attempt[item.message]
                never_ran = result.over and self.notifies_deliveries
                if never_ran or result.outcome is Outcome.OK and timely is Timeliness.DOUBTFUL:
                    self._journal.end(item.message, "given_up", 0)
                    self._notify_end(held)
                else:
                    self._complete(held, now_s)
            elif held is not None and item.attempt in held.out:
                self._journal.outcome(item.message, item.attempt, result.outcome not in NEVER_EXECUTED)
            self.decision_loop.post(api.AttemptEnded(
                item.message, item.attempt, endpoint, result.outcome, result.spent_us, complete,
                result.wait_us, result.limit, result.exhausted, result.may_still_run))
            if held is None and self.late_outcome is not None:
                self.late_outcome(item, result)

    def _complete(self, message: StoredMessage, now_s: float) -> None:
        self.order.completed(message.id, now_s)
        if self.notifies_deliveries:
            self._journal.end(message.id, "delivered", 0)
            self._notify_end(message)
        else:
            self._forget(message.id, now_s)

    def probed(self, endpoint: str, result: Result) -> None:
        """Process the outcome of a probe."""
        if self._successor is not None:
            return
        if self.account is not None:
            self.account.probed(endpoint, result.outcome.value)
        self.decision_loop.post(api.ProbeEnded(endpoint, result.outcome, result.spent_us, result.limit))

    def answered(self, messages: list[str]) -> None:
        """Forget messages whose notification the platform has answered."""
        now_s = time.monotonic()
        for name in messages:
            if message := self._journal.messages.get(name):
                self.flight_recorder.note(now_s, EventKind.NOTIFIED, name, message.key)
                self.order.completed(name, now_s)
                self._forget(name, now_s)
        self.order.notifications_answered()

    def _forget(self, name: str, now_s: float) -> None:
        self._journal.over(name)
        self.ended_messages.add(name, now_s)

    def calls_out(self) -> list[OpenCall]:
        """Return the calls that have begun and have no outcome yet."""
        return calls_in_progress(self.endpoint_client.calls(), self._journal.messages)

    def _carry_out(self, action: api.Action, batches: AttemptBatches) -> None:
        """Carry out an action; `api.Subscribe` needs nothing, as the watch always runs."""
        match action:
            case api.StartAttempt():
                self._start_attempt(action, batches)
            case api.Refuse(name, retry_after_us, reason):
                self._end_by_module(name, "handed_back", retry_after_us // 1000, reason)
            case api.Fail(name, reason):
                self._end_by_module(name, "given_up", 0, reason)
            case api.CancelAttempt(name, attempt):
                self.endpoint_client.cancel(name, attempt)
            case api.Probe(endpoint):
                self.endpoint_client.probe(endpoint, _PROBE_TIMEOUT_US)
            case api.CloseIdle(endpoint, idle_us):
                self.endpoint_client.close_idle(endpoint, idle_us)
            case api.WriteLog(text):
                log.info("%s", text)
            case api.NoteHealth(endpoint, health) if endpoint in self.endpoints.listed:
                self._journal.mark(endpoint, [clock.now_ms(), *astuple(health)])

    def _start_attempt(self, action: api.StartAttempt, batches: AttemptBatches) -> None:
        name, endpoint = action.message, action.endpoint
        message, number = self._held[name], self._next_attempt[name]
        self._next_attempt[name] = number + 1
        write_until_s = (self.decision_loop.now_us + action.latest_us) / 1e6 if action.latest_us else math.inf
        batch = batches.setdefault(endpoint, [])
        batch.append((Item(name, number, message.token, message.body, write_until_s, action.once), action.timeout_us))
        if len(batch) >= self.endpoints.per_call(endpoint):
            self._call(endpoint, batches.pop(endpoint))

    def _call(self, endpoint: str, batch: Sequence[tuple[Item, int]]) -> None:
        self.endpoint_client.call(endpoint, [item for item, _ in batch], min(timeout_us for _, timeout_us in batch))

    def _end_by_module(self, name: str, outcome: str, retry_ms: int, reason: api.EndReason) -> None:
        self._record(EventKind.COMPLETED, name, f"{outcome}: {reason.value}")
        message = self._held.pop(name)
        del self._next_attempt[name]
        self._untried.discard(name)
        self._end(message, outcome, retry_ms, reason)

    def _record(self, kind: EventKind, message: str = "", detail: str = "") -> None:
        key = held.key if (held := self._held.get(message)) is not None else None  # only ordered classes have keys
        self.flight_recorder.note(time.monotonic(), kind, message, key, detail)

    def _end(self, message: StoredMessage, outcome: str, retry_ms: int,
             reason: api.EndReason = api.EndReason.UNKNOWN) -> None:
        self._journal.end(message.id, outcome, retry_ms)
        if self.counters is not None:
            self.counters.ended(message.message_class, outcome)
        if self.account is not None:
            self.account.ended_undelivered(message.id, outcome, reason.value)
        self._notify_end(message)

    def _notify_end(self, message: StoredMessage) -> None:
        if message.notice is None or self.notices is None:
            return self.order.completed(message.id, time.monotonic())
        if message.notice[0] != "delivered":
            self.order.notification_pending(message.id, message.key)
        notify_when_written(message, self.notices)
