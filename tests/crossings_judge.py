"""What was seen of one courier at a crossing of events, and whether it kept its word. No I/O, nothing of the courier.

Times are seconds by the one clock of the test process, which has all clients, endpoints and the platform. They are used
for what came before what; a limit in time is nowhere judged, so a slow machine changes no verdict.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field

MOST_CROSSED = 3  # requests in a play may cross the end of their connection, which nobody can rule out
SURE_S = 1.0  # whoever has stood ready for so long has read what was written to it
SETTLE_S = 0.3  # a key settles so long after a call that may still run (the settings' `order_settle_us`)
SLACK_S = 0.05  # PROTOCOL: each time limit is so much longer on sockets; what ends is seen later than it was done


@dataclass
class HandIn:
    """A message as its client handed it in, maybe twice: `status` is the last answer, 0 where none came."""

    message: str
    effect: str  # safe, keyed or unsafe
    key: str = ""
    destination: int = 0
    begun_at: float = 0.0
    whole_at: float = 0.0  # the last byte was written; 0: never
    status: int = 0
    heard_at: float = 0.0
    ended_at: float = 0.0  # the courier ended the connection with no answer
    fresh: bool = True  # no request was answered on this connection before
    left: bool = False  # its client went away
    tried: int = 1

    @property
    def over_at(self) -> float:
        """Nothing of it happened later at its client."""
        return max(self.begun_at, self.whole_at, self.ended_at, self.heard_at)


@dataclass
class Call:
    """A call whose last byte an endpoint read; `status` is that of the first line it wrote, 0 where it wrote none."""

    message: str
    endpoint: str
    first_at: float
    last_at: float
    status: int = 0
    told_at: float = 0.0
    broken: bool = False  # the endpoint ended or reset the connection, so that its answer may be lost
    closed_at: float = 0.0  # the connection has ended

    @property
    def ran(self) -> bool:
        return self.status not in (429, 503)


@dataclass
class Seen:
    """All of one play. `away` are the spans from a signal until the courier served again."""

    hand_ins: list[HandIn] = field(default_factory=list)
    calls: list[Call] = field(default_factory=list)
    notices: list[tuple[float, str, str]] = field(default_factory=list)  # when, message, outcome
    away: list[tuple[float, float]] = field(default_factory=list)
    killed: list[float] = field(default_factory=list)
    exits: list[int] = field(default_factory=list)  # after SIGTERM
    log: list[str] = field(default_factory=list)
    order: list[str] = field(default_factory=list)  # the events in the order in which they were begun

    def owed(self) -> set[str]:
        """Answered 202, and no end yet."""
        return ({one.message for one in self.hand_ins if one.status in (200, 202)}
                - {call.message for call in self.calls if call.status == 200}
                - {name for _, name, _ in self.notices})

    def gone_near(self, at: float) -> bool:
        """Return whether the process was away then, or within `SURE_S` before or after."""
        return any(begin - SURE_S <= at <= end + SURE_S for begin, end in self.away)

    def killed_near(self, one: HandIn) -> bool:
        """Return whether the process was killed during the hand-in or within `SURE_S` of it: its answer may be lost."""
        return any(one.begun_at - SURE_S <= at <= one.over_at + SURE_S for at in self.killed)


@dataclass
class _Message:
    handed: HandIn
    calls: list[Call] = field(default_factory=list)
    notices: list[tuple[float, str]] = field(default_factory=list)

    @property
    def over_at(self) -> float | None:
        """Delivered, or its notice answered."""
        ends = [call.told_at for call in self.calls if call.status == 200] + [at for at, _ in self.notices]
        return min(ends, default=None)


def faults(seen: Seen) -> list[str]:
    """Each with the message and the cause; none where all was kept."""
    messages = {handed.message: _Message(handed) for handed in seen.hand_ins}
    for call in seen.calls:
        messages[call.message].calls.append(call)
    for at, name, outcome in seen.notices:
        messages[name].notices.append((at, outcome))
    found = [f"exit code {code} after SIGTERM" for code in seen.exits if code]
    found += [f"the log has {line.strip()!r}" for line in seen.log if "Traceback" in line or "unexpectedly" in line]
    for message in messages.values():
        found += [f"{message.handed.message}: {what}" for rule in (_answer, _end, _once)
                  for what in rule(seen, message)]
    crossed = [one for one in seen.hand_ins if one.tried > 1 or one.ended_at]
    crossed = [one for one in crossed if not seen.killed_near(one)]
    if len(crossed) > MOST_CROSSED:
        found.append(f"no answer to {len(crossed)} requests whose connection was ended: "
                     + ", ".join(one.message for one in crossed))
    return found + list(_order(messages))


def about(seen: Seen, fault: str) -> list[str]:
    """All that was seen of the message that a fault begins with, times from the first hand-in on."""
    name, start = fault.partition(":")[0], min((one.begun_at for one in seen.hand_ins if one.begun_at), default=0.0)
    rows: list[tuple[float, str]] = [(at, f"told {outcome}") for at, one, outcome in seen.notices if one == name]
    for handed in seen.hand_ins:
        if handed.message == name:
            rows += [(handed.begun_at, f"handed in ({handed.tried} times)"), (handed.whole_at, "last byte"),
                     (handed.heard_at, f"heard {handed.status}"), (handed.ended_at, "its connection ended")]
    for call in seen.calls:
        if call.message == name:
            rows += [(call.first_at, f"call at {call.endpoint}"), (call.told_at, f"answered {call.status}"),
                     (call.closed_at, "that connection ended")]
    rows += [(at, "KILL") for at in seen.killed] + [(begin, "signal") for begin, _ in seen.away]
    rows += [(end, "serves again") for _, end in seen.away]
    return [f"  {at - start:.3f} {what}" for at, what in sorted(rows) if at] if len(rows) > 2 else []


def _answer(seen: Seen, message: _Message) -> Iterator[str]:
    """Every request whose last byte was read gets an answer."""
    handed = message.handed
    if handed.status or handed.left or seen.killed_near(handed):
        return
    if message.calls or message.notices:
        yield "no answer to its client, though it was taken on"
    elif handed.whole_at and not handed.ended_at:
        yield "no answer, and its connection stays open"
    elif handed.whole_at and handed.ended_at - handed.whole_at > SURE_S:
        yield f"no answer, its connection ended {handed.ended_at - handed.whole_at:.1f} s after its last byte"


def _end(seen: Seen, message: _Message) -> Iterator[str]:
    """What was answered 202 is delivered, or refused, or failed: one of them."""
    if message.handed.status not in (200, 202):
        if message.handed.status and message.calls:
            yield f"called for, though its client was told {message.handed.status}"
        return
    if message.over_at is None:
        yield f"answered 202, no end; {len(message.calls)} calls"
    outcomes = [outcome for _, outcome in message.notices]
    if len(set(outcomes)) > 1:  # the same one may come again: it is told until its answer is heard
        yield f"two ends: {outcomes}"
    for call in message.calls:
        later = [at for at, _ in message.notices if at > call.told_at + SURE_S]
        if call.status == 200 and later and not call.broken and not seen.gone_near(call.told_at) \
                and (not call.closed_at or call.closed_at > call.told_at + SURE_S):
            yield f"{outcomes[0]}, though it was delivered before"


def _once(seen: Seen, message: _Message) -> Iterator[str]:
    """No unsafe message is called for once it may have run, nor handed back then."""
    if message.handed.effect != "unsafe":
        return
    ran = [call for call in message.calls if call.ran]
    if len(ran) > 1:
        yield (f"unsafe and called for {len(ran)} times: at {ran[0].endpoint} ({ran[0].status}), then "
               f"{ran[1].last_at - ran[0].last_at:.3f} s later at {ran[1].endpoint}")
    if ran and any(outcome == "handed_back" for _, outcome in message.notices):
        yield "unsafe and handed back, though a call had come whole"


def _order(messages: dict[str, _Message]) -> Iterator[str]:
    """A call for a message of a key comes once those before it are over."""
    lines: dict[str, list[_Message]] = defaultdict(list)
    for message in messages.values():
        if message.handed.key and message.handed.status in (200, 202):
            lines[message.handed.key].append(message)
    for key, line in lines.items():
        line.sort(key=lambda message: message.handed.whole_at)
        for number, message in enumerate(line):
            first = min((call.first_at for call in message.calls), default=None)
            for other in line[:number]:
                if first is not None and other.over_at is not None and first < other.over_at:
                    yield (f"{message.handed.message}: of key {key}, called for {other.over_at - first:.3f} s before "
                           f"{other.handed.message} was over")
                if first is not None:
                    yield from _settled(message.handed.message, key, first, other)


def _settled(message: str, key: str, first: float, other: _Message) -> Iterator[str]:
    """Every call for a message before has had its outcome by then, and the key has settled."""
    for call in other.calls:
        if call.last_at > first or call.status:
            continue
        if not call.closed_at or call.closed_at > first:
            yield f"{message}: of key {key}, called for while a call for {other.handed.message} was open"
        elif first < call.closed_at + SETTLE_S - SLACK_S:
            yield (f"{message}: of key {key}, called for {first - call.closed_at:.3f} s after a call for "
                   f"{other.handed.message} had broken")
