"""The admission of a hollow courier: the real decision module and decision loop without a journal, and a table in place
of partners."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Sequence

from wheelstep import Sender
from wheelstep import interface as api
from wheelstep.courier.call import Item
from wheelstep.courier.decision_loop import AttemptBatches, DecisionLoop
from wheelstep.journal import StoredMessage
from wheelstep.rehearsal.scale.partners import CallCounts, PartnerTable
from wheelstep.rehearsal.scale.settings import CLASSES, IS_ORDERED
from wheelstep.shards.types import shard_of

_PROBE_TIMEOUT_S = 1.5


class HollowAdmission:
    """Implements `courier.admission.Admission` in memory. `epoch_s` is the loop's time at the run's start."""

    ready = True
    syncs = False

    def __init__(self, settings: api.Settings, seed: int, shards: int, partners: PartnerTable, counts: CallCounts,
                 epoch_s: float) -> None:
        self._settings, self._shards, self._partners, self._counts, self._epoch_s = (
            settings, shards, partners, counts, epoch_s)
        self.decision_loop = DecisionLoop(Sender(settings, seed), settings.tick_us, self._execute, self._start_calls)
        self.listed_endpoints: dict[str, api.EndpointInfo] = {}
        self.destinations: Counter[int] = Counter()  # number of endpoints of each destination
        self.held: dict[str, StoredMessage] = {}  # messages that have not ended, by id
        self._next_attempts: dict[str, int] = {}
        self._unconfirmed: set[str] = set()
        # (message, attempt) -> (timer of its end, endpoint, start in seconds since the run's start)
        self._calls_in_flight: dict[tuple[str, int], tuple[asyncio.TimerHandle, str, float]] = {}
        self._probes_in_flight: set[asyncio.TimerHandle] = set()
        self.held_by_shard: Counter[int] = Counter()
        self.accepted = 0
        self.stopped = False

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time() - self._epoch_s

    # --- courier.admission.Admission ---

    def full(self) -> bool:
        """Return whether the hold limit is reached."""
        return len(self.held) >= self._settings.hold_limit

    def serves(self, destination: int) -> bool:
        """Return whether an endpoint of the destination is listed."""
        return destination in self.destinations

    def take(self, message: StoredMessage) -> None:
        """Hold a message, unconfirmed until `begin`."""
        self.held[message.id] = message
        self._unconfirmed.add(message.id)
        self.held_by_shard[shard_of(message.destination, self._shards)] += 1
        self.accepted += 1

    def holds(self, message: str) -> bool:
        """Return whether a message is held."""
        return message in self.held

    def is_unconfirmed(self, message: str) -> bool:
        """Return whether a message was taken and neither begun nor withdrawn."""
        return message in self._unconfirmed

    def durable(self) -> asyncio.Future[None]:
        """Return a future that is already done, as there is no journal to sync."""
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        done.set_result(None)
        return done

    def begin(self, name: str) -> None:
        """Start delivering a message; does nothing if it is not held."""
        self._unconfirmed.discard(name)
        if (message := self.held.get(name)) is not None:
            self._next_attempts[name] = 0
            left_us = max(0, message.deadline_ms * 1000 - time.time_ns() // 1000)
            self.decision_loop.post(api.MessageAccepted(
                name, CLASSES.index(message.message_class), message.destination, left_us,
                message.key if IS_ORDERED[message.message_class] else None, message.resubmitted))

    def withdraw(self, name: str) -> None:
        """Forget a message; does nothing if it is not held."""
        self._unconfirmed.discard(name)
        if name in self.held:
            self._remove(name)
            self.accepted -= 1

    def record_answer(self, message: StoredMessage, status: int) -> None:
        """Do nothing: there is no history."""

    # --- the list of endpoints ---

    def apply_list(self, rows: Sequence[tuple[api.EndpointInfo, object]],
                  kind: api.ListKind = api.ListKind.CHANGES) -> None:
        """Apply rows of the list, which are changes or the whole list."""
        for info, _ in rows:
            self._remove_row(info.endpoint)
            if info.state is not api.EndpointState.REMOVED:
                self.listed_endpoints[info.endpoint] = info
                self.destinations[info.destination] += 1
        self.decision_loop.post(api.MembershipReceived(kind, tuple(info for info, _ in rows)))

    def _remove_row(self, endpoint: str) -> None:
        known = self.listed_endpoints.pop(endpoint, None)
        if known is not None:
            self.destinations[known.destination] -= 1
            if not self.destinations[known.destination]:
                del self.destinations[known.destination]

    # --- actions of the decision module ---

    def _execute(self, action: api.Action, calls: AttemptBatches) -> None:
        match action:
            case api.StartAttempt(message, endpoint, timeout_us):
                next_attempt = self._next_attempts[message]
                self._next_attempts[message] = next_attempt + 1
                self._start_calls(endpoint, [(Item(message, next_attempt, None, b""), timeout_us)])
            case api.Refuse(message):
                self._counts.record_end(message, "handed_back")
                self._remove(message)
            case api.Fail(message):
                self._counts.record_end(message, "given_up")
                self._remove(message)
            case api.CancelAttempt(message, attempt) if (message, attempt) in self._calls_in_flight:
                handle, endpoint, began_s = self._calls_in_flight[message, attempt]
                handle.cancel()
                self._finish_call(Item(message, attempt, None, b""), endpoint, api.Outcome.CANCELLED,
                            self._now_s() - began_s)
            case api.Probe(endpoint):
                self._start_probe(endpoint)
            case api.CloseIdle(endpoint, idle_us):
                self._partners.close_idle(self._now_s(), endpoint, idle_us / 1e6)

    def _start_calls(self, endpoint: str, items: Sequence[tuple[Item, int]]) -> None:
        info = self.listed_endpoints.get(endpoint)
        for item, timeout_us in items:
            if info is None:
                self.decision_loop.post(api.AttemptEnded(item.message, item.attempt, endpoint, api.Outcome.NOT_SENT, 0))
                continue
            outcome, spent_s = self._partners.begin_call(self._now_s(), endpoint, info.destination, timeout_us / 1e6)
            handle = asyncio.get_running_loop().call_later(spent_s, self._finish_call, item, endpoint, outcome, spent_s)
            self._calls_in_flight[item.message, item.attempt] = handle, endpoint, self._now_s()

    def _finish_call(self, item: Item, endpoint: str, outcome: api.Outcome, spent_s: float) -> None:
        del self._calls_in_flight[item.message, item.attempt]
        self._partners.end_call(self._now_s(), endpoint, outcome)
        complete = outcome is api.Outcome.OK or item.message not in self.held
        if outcome is api.Outcome.OK:
            self._counts.record_delivery(item.message, self._now_s())
            if item.message in self.held:
                self._remove(item.message)
            else:
                self._counts.repeats += 1
        self.decision_loop.post(
            api.AttemptEnded(item.message, item.attempt, endpoint, outcome, int(spent_s * 1e6), complete))

    def _start_probe(self, endpoint: str) -> None:
        info = self.listed_endpoints.get(endpoint)
        if info is None:
            self.decision_loop.post(api.ProbeEnded(endpoint, api.Outcome.NOT_SENT, 0))
            return
        outcome, spent_s = self._partners.probe(self._now_s(), endpoint, info.destination, _PROBE_TIMEOUT_S)

        def ended() -> None:
            self._probes_in_flight.discard(handle)
            self.decision_loop.post(api.ProbeEnded(endpoint, outcome, int(spent_s * 1e6)))
        handle = asyncio.get_running_loop().call_later(spent_s, ended)
        self._probes_in_flight.add(handle)

    def _remove(self, message: str) -> None:
        shard = shard_of(self.held.pop(message).destination, self._shards)
        self._next_attempts.pop(message, None)
        self.held_by_shard[shard] -= 1
        if not self.held_by_shard[shard]:
            del self.held_by_shard[shard]

    def stop(self) -> None:
        """Stop for good, as the courier has ended; further calls do nothing. Unconfirmed messages are forgotten, all
        other held messages stay in `held`."""
        if self.stopped:
            return
        self.stopped = True
        for name in self._unconfirmed & self.held.keys():
            del self.held[name]
            self._counts.unsettled += 1
        self.decision_loop.end()
        for handle in [*self._probes_in_flight, *(handle for handle, _, _ in self._calls_in_flight.values())]:
            handle.cancel()
        self._calls_in_flight.clear()

    def sweep(self) -> None:
        """Forget connections past their idle timeout; called about once a second."""
        self._partners.sweep(self._now_s())
