"""A hollow courier's desk: the real decision module in turns, no journal, and a table in place of partners."""

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
from wheelstep.rehearsal.scale.partners import Counts, Partners
from wheelstep.rehearsal.scale.settings import CLASSES, ORDERED
from wheelstep.shards.types import shard_of

_PROBE_S = 1.5


class HollowDesk:
    """As `courier.admission.Admission` asks. `epoch_s`: the loop's time at the run's start."""

    ready = True
    syncs = False

    def __init__(self, settings: api.Settings, seed: int, shards: int, partners: Partners, counts: Counts,
                 epoch_s: float) -> None:
        self._s, self._shards, self._partners, self._counts, self._epoch_s = settings, shards, partners, counts, epoch_s
        self.decision_loop = DecisionLoop(Sender(settings, seed), settings.tick_us, self._carry_out, self._call)
        self.listed_endpoints: dict[str, api.EndpointInfo] = {}
        self.destinations: Counter[int] = Counter()  # endpoints of each
        self.held: dict[str, StoredMessage] = {}  # taken on; the end is owed
        self._numbers: dict[str, int] = {}
        self._settling: set[str] = set()
        self._calls: dict[tuple[str, int], tuple[asyncio.TimerHandle, str, float]] = {}  # attempts that are out
        self._probes: set[asyncio.TimerHandle] = set()
        self.owed_by_shard: Counter[int] = Counter()
        self.taken = 0
        self.over = False

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time() - self._epoch_s

    # --- courier.admission.Admission ---

    def full(self) -> bool:
        return len(self.held) >= self._s.hold_limit

    def serves(self, destination: int) -> bool:
        return destination in self.destinations

    def take(self, message: StoredMessage) -> None:
        self.held[message.id] = message
        self._settling.add(message.id)
        self.owed_by_shard[shard_of(message.destination, self._shards)] += 1
        self.taken += 1

    def holds(self, message: str) -> bool:
        return message in self.held

    def is_unconfirmed(self, message: str) -> bool:
        return message in self._settling

    def durable(self) -> asyncio.Future[None]:
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        done.set_result(None)
        return done

    def begin(self, name: str) -> None:
        self._settling.discard(name)
        if (message := self.held.get(name)) is not None:
            self._numbers[name] = 0
            left_us = max(0, message.deadline_ms * 1000 - time.time_ns() // 1000)
            self.decision_loop.post(api.MessageAccepted(
                name, CLASSES.index(message.message_class), message.destination, left_us,
                message.key if ORDERED[message.message_class] else None, message.resubmitted))

    def withdraw(self, name: str) -> None:
        self._settling.discard(name)
        if name in self.held:
            self._forget(name)
            self.taken -= 1

    def record_answer(self, message: StoredMessage, status: int) -> None:
        """Nobody records it."""

    # --- the list, whole or in part ---

    def take_list(self, rows: Sequence[tuple[api.EndpointInfo, object]],
                  kind: api.ListKind = api.ListKind.CHANGES) -> None:
        """Changes, or all of it."""
        for info, _ in rows:
            self._unlist(info.endpoint)
            if info.state is not api.EndpointState.REMOVED:
                self.listed_endpoints[info.endpoint] = info
                self.destinations[info.destination] += 1
        self.decision_loop.post(api.MembershipReceived(kind, tuple(info for info, _ in rows)))

    def _unlist(self, endpoint: str) -> None:
        known = self.listed_endpoints.pop(endpoint, None)
        if known is not None:
            self.destinations[known.destination] -= 1
            if not self.destinations[known.destination]:
                del self.destinations[known.destination]

    # --- what the module wants ---

    def _carry_out(self, action: api.Action, calls: AttemptBatches) -> None:
        match action:
            case api.StartAttempt(message, endpoint, timeout_us):
                number = self._numbers[message]
                self._numbers[message] = number + 1
                self._call(endpoint, [(Item(message, number, None, b""), timeout_us)])
            case api.Refuse(message):
                self._counts.end(message, "handed_back")
                self._forget(message)
            case api.Fail(message):
                self._counts.end(message, "given_up")
                self._forget(message)
            case api.CancelAttempt(message, attempt) if (message, attempt) in self._calls:
                handle, endpoint, began_s = self._calls[message, attempt]
                handle.cancel()
                self._ended(Item(message, attempt, None, b""), endpoint, api.Outcome.CANCELLED,
                            self._now_s() - began_s)
            case api.Probe(endpoint):
                self._probe(endpoint)
            case api.CloseIdle(endpoint, idle_us):
                self._partners.close_idle(self._now_s(), endpoint, idle_us / 1e6)

    def _call(self, endpoint: str, sends: Sequence[tuple[Item, int]]) -> None:
        info = self.listed_endpoints.get(endpoint)
        for item, timeout_us in sends:
            if info is None:
                self.decision_loop.post(api.AttemptEnded(item.message, item.attempt, endpoint, api.Outcome.NOT_SENT, 0))
                continue
            outcome, spent_s = self._partners.call(self._now_s(), endpoint, info.destination, timeout_us / 1e6)
            handle = asyncio.get_running_loop().call_later(spent_s, self._ended, item, endpoint, outcome, spent_s)
            self._calls[item.message, item.attempt] = handle, endpoint, self._now_s()

    def _ended(self, item: Item, endpoint: str, outcome: api.Outcome, spent_s: float) -> None:
        del self._calls[item.message, item.attempt]
        self._partners.ended(self._now_s(), endpoint, outcome)
        complete = outcome is api.Outcome.OK or item.message not in self.held
        if outcome is api.Outcome.OK:
            self._counts.delivery(item.message, self._now_s())
            if item.message in self.held:
                self._forget(item.message)
            else:
                self._counts.repeats += 1
        self.decision_loop.post(
            api.AttemptEnded(item.message, item.attempt, endpoint, outcome, int(spent_s * 1e6), complete))

    def _probe(self, endpoint: str) -> None:
        info = self.listed_endpoints.get(endpoint)
        if info is None:
            self.decision_loop.post(api.ProbeEnded(endpoint, api.Outcome.NOT_SENT, 0))
            return
        outcome, spent_s = self._partners.probe(self._now_s(), endpoint, info.destination, _PROBE_S)

        def ended() -> None:
            self._probes.discard(handle)
            self.decision_loop.post(api.ProbeEnded(endpoint, outcome, int(spent_s * 1e6)))
        handle = asyncio.get_running_loop().call_later(spent_s, ended)
        self._probes.add(handle)

    def _forget(self, message: str) -> None:
        shard = shard_of(self.held.pop(message).destination, self._shards)
        self._numbers.pop(message, None)
        self.owed_by_shard[shard] -= 1
        if not self.owed_by_shard[shard]:
            del self.owed_by_shard[shard]

    def end(self) -> None:
        """The courier has gone: nothing more happens. What was not answered yet is forgotten."""
        if self.over:
            return
        self.over = True
        for name in self._settling & self.held.keys():
            del self.held[name]
            self._counts.unsettled += 1
        self.decision_loop.end()
        for handle in [*self._probes, *(handle for handle, _, _ in self._calls.values())]:
            handle.cancel()
        self._calls.clear()

    def sweep(self) -> None:
        """Now and then."""
        self._partners.sweep(self._now_s())
