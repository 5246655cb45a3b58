"""Measures what a round of the decision module costs with many destinations and messages: one message accepted and one
attempt ended, with all slots busy.

    python benchmarks/module_scale.py [--rounds 2000] [--cases 26:1000,1000:20000,10000:20000,10000:100000]

A case is destinations:held messages. After the case 26:1000, the others are compared with it.
"""

from __future__ import annotations

import argparse
import random
import time
from collections import deque

from wheelstep import Sender, Settings
from wheelstep import interface as api
from wheelstep.interface import Outcome

S = 1_000_000
CLASSES = (api.MessageClass(2 * S, 60 * S, api.Effect.KEYED, 1.0, 0.5, 15 * S),
           api.MessageClass(3 * S, 60 * S, api.Effect.UNSAFE, 3.0, 0.3))


def measure(destinations: int, held: int, rounds: int) -> tuple[float, float]:
    """Run so many rounds and return the median and the 99th percentile of their times, in microseconds."""
    sender = Sender(Settings(CLASSES, slots=64, hold_limit=1 << 30, may_probe=True), 1)
    rng = random.Random(1)
    outstanding: deque[tuple[str, str]] = deque()
    now = number = 0

    def feed(events: list[api.Event]) -> None:
        for action in sender.handle(now, events):
            if isinstance(action, api.StartAttempt):
                outstanding.append((action.message, action.endpoint))

    feed([api.MembershipReceived(api.ListKind.WHOLE, tuple(
        api.EndpointInfo(f"e{one}", one) for one in range(destinations)))])

    def accepted() -> api.MessageAccepted:
        nonlocal number
        number += 1
        return api.MessageAccepted(f"m{number}", rng.randrange(2), rng.randrange(destinations), 60 * S)

    while number < held + 64:
        now += 20
        feed([accepted() for _ in range(200)])
    attempts: dict[str, int] = {}
    samples = []
    for _ in range(rounds):
        now += 1_000
        message, endpoint = outstanding.popleft()
        attempt = attempts.get(message, 0)
        events: list[api.Event] = [api.AttemptEnded(message, attempt, endpoint, Outcome.OK, 50_000, True), accepted()]
        began = time.perf_counter()
        feed(events)
        samples.append((time.perf_counter() - began) * 1e6)
    samples.sort()
    return samples[len(samples) // 2], samples[int(len(samples) * 0.99)]


def main() -> None:
    """Measure and print each case."""
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("--rounds", type=int, default=1000)
    options.add_argument("--cases", default="26:0,26:1000,1000:20000,10000:20000,10000:100000")
    given = options.parse_args()
    reference_us = 0.0
    for case in given.cases.split(","):
        destinations, held = map(int, case.split(":"))
        median_us, p99_us = measure(destinations, held, given.rounds if destinations < 5000 else given.rounds // 10)
        if case == "26:1000":
            reference_us = median_us
        beside = f", {median_us / reference_us:.1f} times 26:1000" if reference_us else ""
        print(f"{destinations} destinations, {held} held: {median_us:.0f} us a round, p99 {p99_us:.0f}{beside}",
              flush=True)


if __name__ == "__main__":
    main()
