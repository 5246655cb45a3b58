"""What a scene with a returning endpoint is made of: outage, calls, senders, endpoints, and the judged budget."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from helpers import MS, S

from wheelstep import Sender, Settings
from wheelstep import interface as api

SERVICE_US = 300 * MS
COLD_FROM, COLD_US = 0.27, 14 * S
MULTIPLE, WINDOW_US = 1.5, 3 * S
TOLD_SHARE = 2 / 3  # of the calls of an overload, from senders that knew of the outage: more breaks the rule
FAST_US = 5 * MS  # a refusal, a reset or an error
DEADLINE_US = 12 * S
CLASS = api.MessageClass(2_500 * MS, DEADLINE_US, api.Effect.SAFE, 1.0, 0.5)
DESTINATION = 7
HARMLESS = ("unlucky", "dropped")  # kinds of trouble that are no outage


@dataclass(frozen=True)
class Trouble:
    """An outage. `kind`: `refused`, `reset`, `errors`, `silent`, `hung` (calls are answered after it), `lost` (they are
    reset at its end), `shut` (503), or `most` (`share` of the calls is reset). `unlucky` has the same share, and
    `dropped` resets what is out at its begin; both are no outage: nothing is cold after them.
    `event` happens in the middle of it, `event_at` being its share of the duration."""

    kind: str
    seconds: float
    share: float = 0.75
    event: str = ""  # kill, stop, upgrade, reload, relist, rename, drain
    event_at: float = 0.5
    one_endpoint: bool = False


@dataclass(eq=False)
class Call:
    owner: Owner
    message: str  # empty: a probe
    attempt: int
    endpoint: str
    sent_us: int
    closed: bool = False
    serving: bool = False


@dataclass(eq=False)
class Owner:
    """One sender, and what its process holds of messages."""

    sender: Sender
    due_us: dict[str, int] = field(default_factory=dict)
    attempts: dict[str, int] = field(default_factory=dict)
    ran_us: dict[str, int] = field(default_factory=dict)
    calls: dict[str, Call] = field(default_factory=dict)
    notes: dict[str, tuple[int, api.Health]] = field(default_factory=dict)
    delivered: int = 0
    stopped: bool = False
    told: bool = False  # of a call that failed in the outage, or was refused


class Endpoint:
    """Serves some calls at once, queues `queue` times as many and turns the rest away."""

    def __init__(self, servers: int, queue: int) -> None:
        self.free, self.queue_limit = servers, queue * servers
        self.servers = servers
        self.waiting: deque[Call] = deque()
        self.calls: list[Call] = []
        self.down = False
        self.pushes: list[tuple[int, Owner]] = []  # when calls and probes arrived, and whose they were


def settings(slots: int, senders: int) -> Settings:
    """Return the settings of each of `senders` senders, with so many slots."""
    return Settings(
        classes=(CLASS,), slots=slots, hold_limit=500, senders=max(2, senders), tick_us=5 * MS,
        max_attempts=12, may_probe=True, may_duplicate=True, limits_reported=True, answer_slack_us=5 * MS,
        max_retry_after_us=3 * S, conn_idle_us=10 * S, drain_grace_us=250 * MS, fall_multiple=MULTIPLE,
        overload_for_us=WINDOW_US, cold_from=COLD_FROM, cold_us=COLD_US,
        order_settle_us=300 * MS)


def allowed_calls(fair: float) -> float:
    """Return how many calls a cold endpoint survives where `fair` is what the settings allow it."""
    factor = 3 if fair < 30 else 2
    return fair + factor * math.sqrt(fair) + factor


def worst_window(pushes: Sequence[tuple[int, bool]], back_us: int, capacity_per_s: float,
                 share: Callable[[int], float]) -> tuple[float, int, float, float]:
    """Return the window of cold time with most calls for what is allowed, among those of which over two thirds came
    from senders that had been told of the outage. `pushes` has the time of a call, and whether its sender had."""
    worst = (0.0, 0, 0.0, 0.0)
    end = told = 0
    for index, (begin_us, _) in enumerate(pushes):
        if begin_us - back_us > COLD_US:
            break
        while end < len(pushes) and pushes[end][0] < begin_us + WINDOW_US:
            told += pushes[end][1]
            end += 1
        told_here, told = told, told - pushes[index][1]
        if told_here <= TOLD_SHARE * (end - index):
            continue
        mean_share = sum(share(begin_us + WINDOW_US * step // 30) for step in range(30)) / 30
        allowed = allowed_calls(MULTIPLE * capacity_per_s * WINDOW_US / S * mean_share)
        count = end - index
        worst = max(worst, (count / allowed, count, allowed, (begin_us - back_us) / S))
    return worst
