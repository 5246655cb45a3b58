"""Measures the cost of the channel table alone: messages offered, released and ended a second with 1 to 100,000
channels, beside a plain dict of deques that keeps the order and nothing else.

    python benchmarks/channel_door.py [--messages 100000] [--rounds 3] [--journal]

Both run in turn in one process; the best round of each counts. `--journal` also collects the marks after every step and
encodes them, as a courier that stores them must. A round offers `messages` messages, in batches over all channels, and
ends all of them; both get them in the same order.
"""

from __future__ import annotations

import argparse
import json
import random
import time
from collections import deque

from wheelstep.channels.book import Accept, ChannelTable, Release
from wheelstep.channels.contracts import read_contracts
from wheelstep.channels.terms import Contract

_BATCH = 100  # messages
_TABLES = [{"name": "strict", "order": "strict", "classes": ["strict"]},
          {"name": "window", "order": "window", "open": 8, "classes": ["window"]},
          {"name": "none", "order": "none", "classes": ["none"]}]


def table_round(contract: Contract, names: list[str], journal: bool) -> tuple[float, int]:
    """Run one message for each channel in `names` through a channel table and return the seconds that took, and the
    bytes of its marks (0 without `journal`)."""
    table, written, ended = ChannelTable(read_contracts(_TABLES), 64, 200_000, 0), 0, 0

    def encode_marks() -> None:
        nonlocal written
        if journal:
            written += sum(len(json.dumps(value)) for _, value in table.changed_marks())

    began = time.perf_counter()
    for start in range(0, len(names), _BATCH):
        for index in range(start, min(start + _BATCH, len(names))):
            channel, message = names[index], f"m{index}"
            verdict = table.offer(start, contract, channel, message, None, None)
            assert isinstance(verdict, Accept), verdict
            table.take(start, channel, message, verdict.number)
            encode_marks()
            table.client_answered(start, message)
        while released := table.release(start):
            for one in released:
                assert isinstance(one, Release)
                assert table.may_send(start, one.message)
                table.ended(start, one.message, "delivered", False)
                encode_marks()
                ended += 1
        if not journal:
            table.changed_marks()
    assert ended == len(names)
    return time.perf_counter() - began, written


def plain_round(names: list[str]) -> float:
    """Do the same with a dict of deques, where a message of a channel starts when the one before has ended. Returns
    seconds."""
    queues: dict[str, deque[str]] = {}
    ended = 0
    began = time.perf_counter()
    for start in range(0, len(names), _BATCH):
        ready = []
        for index in range(start, min(start + _BATCH, len(names))):
            queue = queues.setdefault(names[index], deque())
            queue.append(f"m{index}")
            if len(queue) == 1:
                ready.append(queue)
        while ready:
            queue = ready.pop()
            queue.popleft()
            ended += 1
            if queue:
                ready.append(queue)
    assert ended == len(names)
    return time.perf_counter() - began



def main() -> None:
    """Print a line for each contract and number of channels."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--messages", type=int, default=100_000)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--journal", action="store_true")
    given = parser.parse_args()
    contracts = read_contracts(_TABLES)
    print(f"seed {given.seed}, {given.messages} messages, best of {given.rounds}"
          f"{', with marks encoded' if given.journal else ''}")
    print(f"{'contract':>8} {'channels':>8} {'table/s':>10} {'us each':>8} {'plain/s':>10} {'ratio':>7} "
          f"{'bytes each':>10}")
    for name in contracts.names():
        contract = contracts.named(name)
        assert contract is not None
        for channels in (1, 1_000, 100_000):
            rng = random.Random(given.seed)
            names = [f"{name}/7/{rng.randrange(channels)}" for _ in range(given.messages)]
            sizes: list[int] = []

            def time_table(contract: Contract = contract, names: list[str] = names, sizes: list[int] = sizes) -> float:
                seconds, written = table_round(contract, names, given.journal)
                sizes.append(written)
                return seconds

            both = [(time_table(), plain_round(names)) for _ in range(given.rounds)]
            table_s, plain_s = (min(times) for times in zip(*both, strict=True))
            print(f"{name:>8} {channels:>8} {given.messages / table_s:>10.0f} {table_s / given.messages * 1e6:>8.1f} "
                  f"{given.messages / plain_s:>10.0f} {plain_s / table_s:>7.3f} {sizes[0] / given.messages:>10.0f}",
                  flush=True)


if __name__ == "__main__":
    main()
