"""The judge: reads what the stand-ins saw and says for each rule whether it was kept, and what proves it.

No I/O, nothing of the daemon, neither its log nor its state. A limit in time is widened by how late the machine
ran around it; when it ran later than `MOST_LATE_US` nothing is said at all.
"""

from __future__ import annotations

import bisect
import json
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from wheelstep.rehearsal import warmth
from wheelstep.rehearsal.history import (
    NEVER_RAN,
    Answer,
    Call,
    Effect,
    End,
    Fate,
    HandIn,
    History,
    How,
    Late,
    Life,
    Notice,
    Outage,
    Probe,
    Strange,
    Told,
    Turn,
)

MOST_LATE_US = 150_000
_NEAR_US = 1_000_000  # lateness counts for what happens so near to it
_MOST_FINDINGS = 50  # kept for each rule


class Rule(StrEnum):
    """The six rules, and the form that every courier keeps to."""

    LOST = "no message is lost"
    TWICE = "no effect happens twice"
    DRAINS = "drains are kept"
    RETURNS = "a returning destination is not pushed over"
    ORDER = "order is kept"
    WAITS = "waits are heeded"
    FORM = "the courier runs and passes messages on as they came"


class Ruling(StrEnum):
    """What was found of a rule."""

    KEPT = "kept"
    BROKEN = "broken"
    INCONCLUSIVE = "inconclusive"


@dataclass(frozen=True, slots=True)
class Finding:
    """One breach: where in time, what, and the messages and calls that prove it."""

    rule: Rule
    at_us: int
    courier: str
    text: str
    messages: tuple[str, ...] = ()
    calls: tuple[Call, ...] = ()


@dataclass(frozen=True, slots=True)
class Verdict:
    """What the judge says. `late_us` is the most that the machine ran late, and who."""

    rulings: dict[Rule, Ruling]
    findings: tuple[Finding, ...]
    late_us: int
    late_who: str

    @property
    def ruling(self) -> Ruling:
        """Of all rules together."""
        for ruling in (Ruling.INCONCLUSIVE, Ruling.BROKEN):
            if ruling in self.rulings.values():
                return ruling
        return Ruling.KEPT

    def canonical(self, **about: str | int) -> str:
        """The verdict alone as canonical JSON: no figure in it hangs on the machine."""
        rules = {rule.name.lower(): ruling.value for rule, ruling in self.rulings.items()}
        return json.dumps({**about, "verdict": self.ruling.value, "rules": rules}, sort_keys=True,
                          separators=(",", ":"))


@dataclass(slots=True)
class _Message:
    """All that was seen of one message id."""

    handed: HandIn
    answer: Answer | None = None
    calls: list[Call] = field(default_factory=list)  # by their last byte
    notices: list[Notice] = field(default_factory=list)

    @property
    def taken(self) -> bool:
        return self.answer is not None and self.answer.status in (200, 202)

    def delivered_us(self) -> int | None:
        """When a first line with 200 was written for it."""
        return min((call.ended_us for call in self.calls if self.fate(call) is Fate.DELIVERED), default=None)

    def fate(self, call: Call) -> Fate:
        return call.fates[call.messages.index(self.handed.message)]

    def ended_us(self) -> int | None:
        """When its one end stood: delivered, or its notice answered."""
        ends = [notice.at_us for notice in self.notices]
        if (delivered := self.delivered_us()) is not None:
            ends.append(delivered)
        return min(ends, default=None)

    def never_ran(self, call: Call, by_us: int) -> bool:
        """Did the courier know by then that this call had not run?"""
        return self.fate(call) in NEVER_RAN and call.ended_us <= by_us


class _Lateness:
    """How late the machine ran around a time."""

    def __init__(self, facts: Iterable[Late]) -> None:
        self._rows = sorted((fact.at_us, fact.late_us, fact.who) for fact in facts)
        self.most_us, self.who = max(((late, who) for _, late, who in self._rows), default=(0, ""))

    def near(self, at_us: int) -> int:
        begin = bisect.bisect_left(self._rows, (at_us - _NEAR_US,))
        end = bisect.bisect_right(self._rows, (at_us + _NEAR_US,))
        return max((late for _, late, _ in self._rows[begin:end]), default=0)


def judge(history: History) -> Verdict:
    """The verdict on a history."""
    court = _Court(history)
    findings = court.findings()
    rulings = {}
    for rule in Rule:
        broken = any(finding.rule is rule for finding in findings)
        rulings[rule] = Ruling.BROKEN if broken else Ruling.KEPT
    if court.late.most_us > MOST_LATE_US:
        rulings = dict.fromkeys(Rule, Ruling.INCONCLUSIVE)
    return Verdict(rulings, tuple(findings), court.late.most_us, court.late.who)


class _Court:
    def __init__(self, history: History) -> None:
        self._h, self._f = history, history.figures
        self.late = _Lateness(fact for fact in history.facts if isinstance(fact, Late))
        self._messages: dict[str, _Message] = {}
        self._calls: list[Call] = []
        self._probes: list[Probe] = []
        self._told: dict[tuple[str, str], list[Told]] = defaultdict(list)
        self._lives: dict[str, list[Life]] = defaultdict(list)
        self._outages: list[Outage] = []
        self._strange: list[Strange] = []
        self._sort()
        self._away = {courier: _away(lives, history.end_us) for courier, lives in self._lives.items()}

    def _sort(self) -> None:
        notices: list[Notice] = []
        answers: list[Answer] = []
        for fact in self._h.facts:
            match fact:
                case HandIn():
                    self._messages.setdefault(fact.message, _Message(fact))
                case Answer():
                    answers.append(fact)
                case Call():
                    self._calls.append(fact)
                case Probe():
                    self._probes.append(fact)
                case Told():
                    self._told[fact.courier, fact.endpoint].append(fact)
                case Notice():
                    notices.append(fact)
                case Life():
                    self._lives[fact.courier].append(fact)
                case Outage():
                    self._outages.append(fact)
                case Strange():
                    self._strange.append(fact)
        self._calls.sort(key=lambda call: call.last_us)
        for told in self._told.values():
            told.sort(key=lambda row: row.at_us)
        for lives in self._lives.values():
            lives.sort(key=lambda row: row.at_us)
        for answer in sorted(answers, key=lambda row: row.at_us):
            if (message := self._messages.get(answer.message)) is not None:
                message.answer = answer
        for call in self._calls:
            for name in call.messages:
                if (message := self._messages.get(name)) is not None:
                    message.calls.append(call)
        for notice in sorted(notices, key=lambda row: row.at_us):
            if (message := self._messages.get(notice.message)) is not None:
                message.notices.append(notice)

    def findings(self) -> list[Finding]:
        """All breaches, in order of time, so many of each rule at most."""
        found = [*self._form(), *self._lost(), *self._twice(), *self._drains(), *self._returns(), *self._order(),
                 *self._waits()]
        found.sort(key=lambda finding: finding.at_us)
        counts: dict[Rule, int] = defaultdict(int)
        kept = []
        for finding in found:
            counts[finding.rule] += 1
            if counts[finding.rule] <= _MOST_FINDINGS:
                kept.append(finding)
        return kept

    # --- the form ---

    def _form(self) -> Iterable[Finding]:
        for fact in self._strange:
            yield Finding(Rule.FORM, fact.at_us, fact.courier, f"{fact.what} at {fact.endpoint}")
        for courier, lives in self._lives.items():
            for life in lives:
                if life.turn is Turn.CRASHED:
                    yield Finding(Rule.FORM, life.at_us, courier, f"ended by itself, exit code {life.code}")
                elif life.turn is Turn.NEVER_READY:
                    yield Finding(Rule.FORM, life.at_us, courier, "was not ready in time")
                elif life.turn is Turn.EXITED and life.code > 0:
                    yield Finding(Rule.FORM, life.at_us, courier, f"left with exit code {life.code}")

    # --- rule 1 ---

    def _lost(self) -> Iterable[Finding]:
        for name, message in self._messages.items():
            courier = message.handed.courier
            answer = message.answer
            if answer is not None and answer.end is End.ENDED and not self._died_near(courier, message):
                yield Finding(Rule.LOST, answer.at_us, courier,
                              "its client's connection was ended with no answer", (name,))
            if not message.taken:
                continue
            due_us = message.handed.deadline_us + self._f.answer_slack_us + self._f.socket_slack_us
            for begin, end in self._away.get(courier, ()):
                if begin <= due_us <= end + self._f.restart_grace_us:
                    due_us = end + self._f.restart_grace_us
            due_us += self.late.near(due_us)
            ended_us = message.ended_us()
            if ended_us is None and due_us <= self._h.end_us:
                yield Finding(Rule.LOST, due_us, courier,
                              f"taken on at {_s(message.handed.at_us)}, neither delivered nor ended by its time",
                              (name,), tuple(message.calls))
            elif ended_us is not None and ended_us > due_us:
                yield Finding(Rule.LOST, ended_us, courier, f"ended {_ms(ended_us - due_us)} after it was due",
                              (name,), tuple(message.calls))
            outcomes = {notice.outcome for notice in message.notices}
            if len(outcomes) > 1:
                yield Finding(Rule.LOST, message.notices[-1].at_us, courier,
                              f"two ends were told: {', '.join(sorted(outcomes))}", (name,))

    def _died_near(self, courier: str, message: _Message) -> bool:
        assert message.answer is not None
        return any(begin - 100_000 <= message.answer.at_us <= end + 100_000
                   for begin, end in self._away.get(courier, ()))

    # --- rule 2 ---

    def _twice(self) -> Iterable[Finding]:
        for name, message in self._messages.items():
            figures = self._f.classes.get(message.handed.message_class)
            if figures is None or not message.calls:
                continue
            courier = message.handed.courier
            if figures.effect is Effect.UNSAFE:
                yield from self._unsafe(name, courier, message)
            elif figures.effect is Effect.KEYED:
                yield from self._keyed(name, courier, message, figures.key_life_us)

    def _unsafe(self, name: str, courier: str, message: _Message) -> Iterable[Finding]:
        for number, call in enumerate(message.calls):
            earlier = [one for one in message.calls[:number] if not message.never_ran(one, call.last_us)]
            if earlier:
                yield Finding(Rule.TWICE, call.last_us, courier,
                              f"sent again though the call at {_s(earlier[0].last_us)} may have run "
                              f"({earlier[0].how.value}, {message.fate(earlier[0]).value})",
                              (name,), (earlier[0], call))
                break
        answer = message.answer
        if answer is not None and answer.status in (429, 503):
            first = message.calls[0]
            yield Finding(Rule.TWICE, first.last_us, courier, f"sent though its client was told {answer.status}",
                          (name,), (first,))
        for notice in message.notices:
            if notice.outcome != "handed_back":
                continue
            ran = [call for call in message.calls
                   if call.last_us <= notice.at_us and not message.never_ran(call, notice.at_us)]
            later = [call for call in message.calls if call.first_us > notice.at_us + self._f.socket_slack_us]
            if ran:
                yield Finding(Rule.TWICE, notice.at_us, courier,
                              "handed back, safe to come again, though a call may have run", (name,), tuple(ran[:1]))
            elif later:
                yield Finding(Rule.TWICE, later[0].last_us, courier, "sent after it was handed back", (name,),
                              tuple(later[:1]))

    def _keyed(self, name: str, courier: str, message: _Message, life_us: int) -> Iterable[Finding]:
        ran = [call for call in message.calls if not message.never_ran(call, self._h.end_us)]
        if not ran:
            return
        until_us = ran[0].last_us + life_us + self._f.socket_slack_us
        for call in message.calls:
            if call.last_us > until_us + self.late.near(call.last_us):
                yield Finding(Rule.TWICE, call.last_us, courier,
                              f"sent again {_ms(call.last_us - ran[0].last_us)} after a call that may have run; "
                              f"the key is known for {_ms(life_us)}", (name,), (ran[0], call))
                return

    # --- rule 3 ---

    def _drains(self) -> Iterable[Finding]:
        for call in self._calls:
            rows = self._told.get((call.courier, call.endpoint), [])
            before = [row for row in rows if row.at_us <= call.first_us]
            since_us: int | None = None
            for row in before:
                if row.state == "SERVING":
                    since_us = None
                elif since_us is None:
                    since_us = row.at_us
            if since_us is None:
                continue
            for begin, end in self._away.get(call.courier, ()):  # a process that stands still hears nothing
                if begin <= since_us <= end:
                    since_us = end
            until_us = since_us + self._f.drain_grace_us + self._f.socket_slack_us + self.late.near(call.first_us)
            if call.first_us > until_us:
                yield Finding(Rule.DRAINS, call.first_us, call.courier,
                              f"a call began at {call.endpoint} {_ms(call.first_us - since_us)} after it was told "
                              f"to be {before[-1].state}", call.messages, (call,))

    # --- rule 4 ---

    def _returns(self) -> Iterable[Finding]:
        pushes: dict[str, list[tuple[int, float, str]]] = defaultdict(list)
        failed: dict[int, list[tuple[int, str, str]]] = defaultdict(list)  # by destination: when, who, where
        for call in self._calls:
            pushes[call.endpoint].append((call.last_us, warmth.weight(len(call.messages)), call.courier))
            if any(fate is not Fate.DELIVERED for fate in call.fates):
                failed[call.destination].append((call.ended_us, call.courier, call.endpoint))
        for probe in self._probes:
            pushes[probe.endpoint].append((probe.at_us, 1.0, probe.courier))
            if not probe.fine:
                failed[probe.destination].append((probe.at_us, probe.courier, probe.endpoint))
        for outage in self._outages:
            apart = outage.destination in self._f.routes_apart
            # What failed as the outage began or ended is read by its time at the endpoint.
            knew = {who for at_us, who, where in failed[outage.destination]
                    if outage.start_us <= at_us <= outage.end_us and (not apart or where == outage.endpoint)}
            rows = sorted(pushes[outage.endpoint])
            over = warmth.overload([(at_us, work) for at_us, work, _ in rows], outage.end_us, outage.per_s,
                                   self._f.fall_multiple, self._f.overload_for_us, self._f.cold_from,
                                   self._f.cold_us)
            if over is None:
                continue
            begin_us, total, most = over
            span = [row for row in rows if begin_us <= row[0] < begin_us + self._f.overload_for_us]
            came = sum(work for _, work, _ in span)
            by_knowing = sum(work for _, work, who in span if who in knew)
            if by_knowing >= came * 2 / 3:
                yield Finding(Rule.RETURNS, begin_us, ",".join(sorted(knew)),
                              f"{outage.endpoint} came back at {_s(outage.end_us)} and got {total:.1f} calls within "
                              f"{_ms(self._f.overload_for_us)}, it bears {most:.1f}; {by_knowing / came:.0%} came "
                              "from couriers that had seen it fail")

    # --- rule 5 ---

    def _order(self) -> Iterable[Finding]:
        lines: dict[tuple[str, str], list[_Message]] = defaultdict(list)
        for message in self._messages.values():
            figures = self._f.classes.get(message.handed.message_class)
            if figures is not None and figures.ordered and message.handed.key is not None and message.taken:
                lines[message.handed.courier, message.handed.key].append(message)
        for (courier, key), line in lines.items():
            line.sort(key=lambda message: message.handed.at_us)
            for number, message in enumerate(line):
                for call in message.calls:
                    if (finding := self._overtakes(courier, key, line[:number], message, call)) is not None:
                        yield finding
                        break

    def _overtakes(self, courier: str, key: str, earlier: list[_Message], message: _Message,
                   call: Call) -> Finding | None:
        name = message.handed.message
        for other in earlier:
            pair = (other.handed.message, name)
            ended_us = other.ended_us()
            if ended_us is None or ended_us > call.first_us:
                return Finding(Rule.ORDER, call.first_us, courier,
                               f"key {key}: sent while an earlier message was not over", pair, (call,))
            for old in other.calls:
                if old.last_us > call.first_us:
                    continue
                if old.ended_us > call.first_us or old.how is How.OPEN:
                    return Finding(Rule.ORDER, call.first_us, courier,
                                   f"key {key}: sent while a call for an earlier message had no outcome", pair,
                                   (old, call))
                # The endpoint sees a close later than the courier made it, so the rest may look shorter.
                rest_us = self._f.order_settle_us - self._f.socket_slack_us - self.late.near(call.first_us)
                if old.how in (How.CLOSED, How.RESET) and call.first_us < old.ended_us + rest_us:
                    return Finding(Rule.ORDER, call.first_us, courier,
                                   f"key {key}: sent {_ms(call.first_us - old.ended_us)} after a call for an earlier "
                                   f"message broke, the key rests for {_ms(self._f.order_settle_us)}", pair,
                                   (old, call))
        return None

    # --- rule 6 ---

    def _waits(self) -> Iterable[Finding]:
        told: dict[tuple[str, int | str], list[Call]] = defaultdict(list)
        sent: dict[tuple[str, int | str], list[tuple[int, str, Call | None]]] = defaultdict(list)

        def route(destination: int, endpoint: str) -> int | str:
            return endpoint if destination in self._f.routes_apart else destination

        for call in self._calls:
            at = call.courier, route(call.destination, call.endpoint)
            if call.wait_us and call.how is How.ANSWERED:
                told[at].append(call)
            sent[at].append((call.last_us, call.endpoint, call))
        for probe in self._probes:
            sent[probe.courier, route(probe.destination, probe.endpoint)].append((probe.at_us, probe.endpoint, None))
        for at, calls in told.items():
            rows = sorted(sent[at], key=lambda row: row[0])
            times = [row[0] for row in rows]
            for call in calls:
                from_us = call.ended_us + self._f.wait_grace_us + self._f.socket_slack_us
                from_us += self.late.near(call.ended_us)
                until_us = call.ended_us + call.wait_us
                for begin, _ in self._away.get(at[0], ()):  # a restart ends a wait
                    if begin >= call.ended_us:
                        until_us = min(until_us, begin)
                first = bisect.bisect_right(times, from_us)
                if first < len(rows) and times[first] < until_us:
                    at_us, endpoint, other = rows[first]
                    yield Finding(Rule.WAITS, at_us, at[0],
                                  f"{'a call' if other else 'a probe'} came to {endpoint} "
                                  f"{_ms(at_us - call.ended_us)} after a wait of {_ms(call.wait_us)} was told",
                                  other.messages if other else (), (call, other) if other else (call,))


def _away(lives: list[Life], end_us: int) -> list[tuple[int, int]]:
    """When a courier was being restarted or stood still: from the signal until it was ready or went on."""
    spans: list[tuple[int, int]] = []
    since_us: int | None = None
    for life in lives:
        if life.turn in (Turn.KILLED, Turn.TERMINATED, Turn.PAUSED, Turn.CRASHED, Turn.PART_DOWN) and since_us is None:
            since_us = life.at_us
        elif life.turn in (Turn.READY, Turn.RESUMED, Turn.PART_UP) and since_us is not None:
            spans.append((since_us, life.at_us))
            since_us = None
    if since_us is not None:
        spans.append((since_us, end_us))
    return spans


def _s(at_us: int) -> str:
    return f"{at_us / 1e6:.3f} s"


def _ms(span_us: int) -> str:
    return f"{span_us / 1e3:.0f} ms"
