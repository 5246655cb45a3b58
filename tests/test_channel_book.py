"""Compares the channels of a courier with a simple reference model, under random events and with the journal cut off at
any record."""

from __future__ import annotations

import json
from typing import Any

from channel_model import ModelChannel
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from wheelstep.channels.book import Accept, ChannelTable, Duplicate, End, Reject, Release
from wheelstep.channels.contracts import channel_name, read_contracts

TABLES = [
    {"name": "strict", "order": "strict", "ahead": 4},
    {"name": "skip", "order": "strict", "gap": "skip", "gap_after": "50ms", "ahead": 4, "unclear": "rest",
     "rest": "80ms"},
    {"name": "fail", "order": "strict", "gap": "fail", "repeat": "once"},
    {"name": "window", "order": "window", "open": 3, "ahead": 4},
    {"name": "skips", "order": "window", "open": 2, "gap": "skip", "gap_after": "30ms", "ahead": 4, "unclear": "go"},
    {"name": "rests", "order": "window", "open": 2, "ahead": 4, "unclear": "rest", "rest": "60ms"},
    {"name": "latest", "order": "latest", "ahead": 4, "unclear": "rest", "rest": "40ms"},
    {"name": "none", "order": "none", "ahead": 4, "gap": "skip", "gap_after": "60ms"},
]
for table in TABLES:
    table["classes"] = [table["name"]]
CONTRACTS = read_contracts(TABLES)
NAMES = CONTRACTS.names()


class World:
    """Channels with a journal, written in the order that they require."""

    def __init__(self) -> None:
        self.log: list[tuple[Any, ...]] = []
        self.table, self.now = ChannelTable(CONTRACTS, 8, 100, 0), 0

    def write(self, *records: tuple[Any, ...]) -> None:
        self.log += [("mark", name, json.dumps(value)) for name, value in self.table.changed_marks()]
        self.log += records

    def offer(self, name: str, message: str, number: int | None = None, session: int | None = None,
              key: str = "k") -> Accept | Duplicate | Reject:
        contract = CONTRACTS.named(name)
        assert contract is not None
        channel = channel_name(contract, 7, key)
        verdict = self.table.offer(self.now, contract, channel, message, number, session)
        if isinstance(verdict, Accept):
            self.table.take(self.now, channel, message, verdict.number)
            self.write(("take", message))
        self.write()
        return verdict

    def hand_in(self, name: str, message: str, number: int | None = None, **more: Any) -> Accept | Duplicate | Reject:
        verdict = self.offer(name, message, number, **more)
        self.table.client_answered(self.now, message)
        return verdict

    def release(self, now: int | None = None) -> list[Any]:
        self.now = self.now if now is None else now
        found = self.table.release(self.now)
        self.write(*(("over", one.message) for one in found if isinstance(one, End)))
        return [one.message if isinstance(one, Release) else (one.message, one.how) for one in found]

    def end(self, message: str, outcome: str = "delivered", unclear: bool = False) -> None:
        self.table.ended(self.now, message, outcome, unclear)
        self.write(("over", message))

    def attempt_unclear(self, message: str) -> None:
        self.table.attempt_unclear(self.now, message)
        self.log.append(("ran", message))  # an attempt is journalled before its first byte
        self.write()

    def restored(self, records: int | None = None) -> tuple[ChannelTable, dict[str, bool], list[End]]:
        """Restore from the journal's first records. Returns the channels, the owed messages and the ends found."""
        marks: dict[str, Any] = {}
        owed: dict[str, bool] = {}
        for kind, name, *value in self.log[:records]:
            if kind == "mark":
                marks[name] = json.loads(value[0])
            elif kind == "take":
                owed[name] = False
            elif kind == "over":
                owed.pop(name, None)
            elif name in owed:
                owed[name] = True
        table = ChannelTable(CONTRACTS, 8, 100, self.now)
        ends = table.restore(self.now, {name: value for name, value in marks.items() if value is not None}, owed)
        return table, owed, ends


class ChannelMachine(RuleBasedStateMachine):
    """Random hand-ins, ends, withdrawals, waits and crashes of one channel."""

    name = ""

    def __init__(self) -> None:
        super().__init__()
        self.world, self.message_count = World(), 0
        contract = CONTRACTS.named(self.name)
        assert contract is not None
        self.models = {self.name: ModelChannel(contract)}
        self.sessions = dict.fromkeys(NAMES, 0)
        self.confirmed: dict[str, tuple[int, str, int, int]] = {}  # message -> records at 202, contract, number, next
        self.ended_at: dict[str, list[int]] = {}  # message -> records before each end: it may be handed in again
        self.places: dict[str, tuple[str, int]] = {}
        self.nexts = dict.fromkeys(NAMES, 1)

    def draw_message(self, data: Any, *statuses: str) -> tuple[str, int, str] | None:
        found = [(name, number, model.messages[number].message) for name, model in self.models.items()
                 for number in model.numbers_with(*statuses)]
        return data.draw(st.sampled_from(found)) if found else None

    @rule(ahead=st.none() | st.integers(-3, 6) | st.just(0), session=st.none() | st.integers(1, 3), again=st.booleans())
    def hand_in(self, ahead: int | None, session: int | None, again: bool) -> None:
        name, model = self.name, self.models[self.name]
        number = None if ahead is None else model.next() + ahead
        known = model.messages.get(number or 0)
        self.message_count += 1
        message = known.message if again and known is not None and known.message else f"m{self.message_count}"
        expected, expected_number = model.verdict(message, number)
        verdict = self.world.offer(name, message, number, session)
        if session is not None and session < self.sessions[name]:
            assert verdict == Reject("old-session", model.next(), self.sessions[name])
            return
        if isinstance(verdict, Reject):
            assert verdict == Reject(expected, model.next(), self.sessions[name])
            return
        self.sessions[name] = max(self.sessions[name], session or 0)
        if expected == "take":
            model.take(expected_number, message, number is None)
            assert verdict == Accept(expected_number, model.next())
            self.places[message] = (name, expected_number)
        else:
            status = model.messages[expected_number].status
            assert expected == "again" and isinstance(verdict, Duplicate)
            outcome = None if status in ("unconfirmed", "waiting", "out") else status
            assert verdict == Duplicate(expected_number, model.next(), outcome)

    @precondition(lambda self: any(model.numbers_with("unconfirmed") for model in self.models.values()))
    @rule(data=st.data(), confirmed=st.booleans() | st.just(True))
    def answer(self, data: Any, confirmed: bool) -> None:
        name, number, message = self.draw_message(data, "unconfirmed")  # type: ignore[misc]
        model, world = self.models[name], self.world
        if confirmed:
            world.table.client_answered(world.now, message)
            model.messages[number].status = "waiting"
            self.confirmed[message] = (len(world.log), name, number, model.next())
        else:
            world.log.append(("over", message))  # a withdrawal removes the message first
            world.table.withdraw(world.now, message)
            world.write()
            model.withdraw(number)

    @precondition(lambda self: any(model.numbers_with("out") for model in self.models.values()))
    @rule(data=st.data(), outcome=st.sampled_from(["delivered", "delivered", "refused", "failed"]),
          unclear=st.booleans())
    def end(self, data: Any, outcome: str, unclear: bool) -> None:
        name, number, message = self.draw_message(data, "out")  # type: ignore[misc]
        unclear &= outcome == "failed"
        self.models[name].end(self.world.now, number, outcome, unclear)
        self.ended_at.setdefault(message, []).append(len(self.world.log))
        self.world.end(message, outcome, unclear)

    @precondition(lambda self: any(model.numbers_with("out") for model in self.models.values()))
    @rule(data=st.data())
    def attempt_unclear(self, data: Any) -> None:
        name, number, message = self.draw_message(data, "out")  # type: ignore[misc]
        self.models[name].messages[number].may_have_run = True
        self.models[name].begin_rest(self.world.now)
        self.world.attempt_unclear(message)

    @precondition(lambda self: any(model.numbers_with("waiting") for model in self.models.values()))
    @rule(data=st.data())
    def expire(self, data: Any) -> None:
        name, number, message = self.draw_message(data, "waiting")  # type: ignore[misc]
        how = "failed" if self.models[name].messages[number].may_have_run else "refused"
        self.models[name].end(self.world.now, number, how, False)
        self.ended_at.setdefault(message, []).append(len(self.world.log))
        assert self.world.table.expire(self.world.now, message) == End(message, how)
        self.world.write(("over", message))

    @rule(ms=st.sampled_from([1, 10, 30, 100]))
    def wait(self, ms: int) -> None:
        self.world.now += ms

    @rule()
    def crash(self) -> None:
        self.world.table, owed, ends = self.world.restored()
        assert not ends
        for name, model in self.models.items():
            for number in model.numbers_with("unconfirmed"):
                self.confirmed[model.messages[number].message] = (len(self.world.log), name, number, model.next())
            model.crash(self.world.now)

    @invariant()
    def releases_match_the_model(self) -> None:
        world, before = self.world, len(self.world.log)
        mine: dict[str, list[tuple[str, str]]] = {name: [] for name in NAMES}
        for one in world.table.release(world.now):
            name = self.places[one.message][0]
            mine[name].append((one.message, "out" if isinstance(one, Release) else one.how))
            if isinstance(one, End):
                self.ended_at.setdefault(one.message, []).append(before)
                world.write(("over", one.message))
        world.write()
        for name, model in self.models.items():
            assert mine[name] == model.release(world.now), name
            position = world.table.position(f"{name}/7/k")
            assert model.next() == (position.next if position else 1) >= self.nexts[name]
            self.nexts[name] = model.next()
        assert world.table.next_ms() != 0 and (world.table.next_ms() or world.now + 1) > world.now

    def teardown(self) -> None:
        """Cut off the journal after each record: every message confirmed with 202 is owed under the same number, none
        that ended."""
        for records in range(len(self.world.log) + 1):
            table, owed, ends = self.world.restored(records)
            taken = {name: place for place, (kind, name, *_) in enumerate(self.world.log[:records]) if kind == "take"}
            over = {message for message in owed
                    if any(taken[message] < place < records for place in self.ended_at.get(message, ()))}
            assert {end.message for end in ends} == over
            held = {entry.message: entry.unclear for name in NAMES if (known := table.position(f"{name}/7/k"))
                    for entry in known.entries.values()}
            assert held == {message: ran for message, ran in owed.items() if message not in over}
            assert all(table.holds(message) != (message in over) for message in owed)
            for message, (when, name, number, following) in self.confirmed.items():
                if when <= records and taken[message] < when and message not in over and message in owed:
                    assert table.place_of(message) == (f"{name}/7/k", number)
                    position = table.position(f"{name}/7/k")
                    assert position is not None and position.next >= following


def case(contract: str) -> type:
    """Return the test class for one contract."""
    machine = type(f"Machine_{contract}", (ChannelMachine,), {"name": contract}).TestCase
    machine.settings = settings(max_examples=40, stateful_step_count=40, deadline=None, derandomize=True)
    return machine


TestStrict, TestSkip, TestFail, TestWindow = case("strict"), case("skip"), case("fail"), case("window")
TestSkips, TestRests, TestLatest, TestNone = case("skips"), case("rests"), case("latest"), case("none")
