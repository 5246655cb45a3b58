"""The pause of a channel when its part moves, in virtual time: from the part's shutting at the giver to its opening at
the taker.

    python benchmarks/move_pause.py [--moves 100] [--first-seed 0]

A commit, and the taker's lease after it, take one round to the voters each, and the commit a synced write there; the
taker syncs before each answer, and twice more to adopt. A message takes between the link's delay and half as much
again, a sync `SYNC_US` and, one in twenty, ten times that. No calls are out: a call's own time comes on top. All is
drawn from the seed, which is printed; the last column alone is measured, the most processor time that one decision
took.
"""

from __future__ import annotations

import argparse
import heapq
import random
import time
from itertools import count

from wheelstep.fleet.types import Ownership
from wheelstep.moves.giver import Giver
from wheelstep.moves.steps import Commit, Ended, GiverLimits, SendRequest, TakerLimits
from wheelstep.moves.taker import Taker
from wheelstep.moves.types import Given, Piece, Seal

LINKS_US, RATES, PIECES = (200, 2_000, 20_000), (1, 100, 1_000), (100, 10_000)
SYNC_US, DATA, PART = 1_000, 200, 3  # of a disk; bytes of a piece


class Shelf:
    """A content whose pieces change at a rate for as long as the part is open."""

    version = 1

    def __init__(self, pieces: int, rate: int, draw: random.Random) -> None:
        self.held = {f"m:{number}": draw.randbytes(DATA) for number in range(pieces)}
        self.names, self.rate, self.draw = list(self.held), rate, draw
        self.now_us = self.next_us = 0
        self.is_open = True
        self.changes: set[str] = set()

    def _pass(self) -> None:
        while self.is_open and self.next_us <= self.now_us:
            name = self.draw.choice(self.names)
            self.held[name] = self.draw.randbytes(DATA)
            self.changes.add(name)
            self.next_us += max(1, round(self.draw.expovariate(self.rate / 1_000_000)))

    def pieces(self, part: int) -> list[Piece]:
        self._pass()
        self.changes.clear()
        return [Piece(name, data) for name, data in self.held.items()]

    def changed(self, part: int) -> list[Piece]:
        self._pass()
        changes, self.changes = self.changes, set()
        return [Piece(name, self.held[name]) for name in sorted(changes)]

    def under_way(self, part: int) -> int:
        return 0

    def shut(self, part: int) -> None:
        self._pass()
        self.is_open = False

    def drop(self, part: int) -> None:
        self.held.clear()


def pause_us(seed: int, link_us: int, rate: int, pieces: int) -> tuple[int, int, int, int]:
    """One move: its pause, all of its time, the pieces that went with the `Seal`, and the longest decision in µs."""
    shelf, taker = Shelf(pieces, rate, random.Random(seed)), Taker("t", 1, TakerLimits())
    giver = Giver(PART, 1, "t", shelf, GiverLimits(), 0, "g")  # type: ignore[arg-type]
    heap, order, opened_us, tail, now_us, busy_s = [(0, 0, None)], count(1), -1, 0, 0, 0.0
    draw = random.Random(f"{seed} times")

    def at(links: int, syncs: int, *event: object) -> None:
        delay_us = sum(round(link_us * draw.uniform(1, 1.5)) for _ in range(links))
        delay_us += sum(SYNC_US * (10 if draw.random() < 0.05 else 1) for _ in range(syncs))
        heapq.heappush(heap, (now_us + delay_us, next(order), event))

    while heap and not (giver.over and opened_us >= 0):
        now_us, _, event = heapq.heappop(heap)
        shelf.now_us = now_us
        began = time.thread_time()
        match event:
            case None:
                acts = giver.tick(now_us)
            case "arrive", ask:
                named = isinstance(ask, Given)
                moved, records = taker.handle_request(
                    now_us, "g", ask, Ownership(2, "t") if named else Ownership(1, "g"))
                busy_s = max(busy_s, time.thread_time() - began)
                at(1, bool(records), "answer", ask, moved)
                if named:  # asks the voters, then adopts, notes that, and opens
                    at(2, 2, "open")
                continue
            case "open",:
                opened_us = now_us
                continue
            case "answer", ask, moved:
                acts = giver.handle_answer(now_us, ask, moved)
            case _:
                acts = giver.observe_holding(now_us, 2, "t")
        busy_s = max(busy_s, time.thread_time() - began)
        for act in acts:
            if isinstance(act, SendRequest):
                tail = len(act.request.pieces) if isinstance(act.request, Seal) else tail
                at(1, 0, "arrive", act.request)
            elif isinstance(act, Commit):
                at(2, 1, "decided")
            else:
                assert isinstance(act, Ended) and act.done, act
        if not giver.over and not any(isinstance(act, SendRequest | Commit) for act in acts):
            heapq.heappush(heap, (max(now_us, giver.next_us()), next(order), None))
    return opened_us - giver.shut_us, now_us, tail, round(busy_s * 1_000_000)


def main() -> None:
    """Print the table."""
    options = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    options.add_argument("--moves", type=int, default=100)
    options.add_argument("--first-seed", type=int, default=0)
    given = options.parse_args()
    print(f"seeds {given.first_seed} to {given.first_seed + given.moves - 1}, {given.moves} moves a row, sync "
          f"{SYNC_US / 1000:g} ms, pieces of {DATA} bytes")
    print("link ms | changes/s | pieces | pause ms p50 | p99 | most | whole move ms p50 | most with the Seal | "
          "longest decision ms")
    for link_us in LINKS_US:
        for rate in RATES:
            for pieces in PIECES:
                rows = [pause_us(seed, link_us, rate, pieces)
                        for seed in range(given.first_seed, given.first_seed + given.moves)]
                pauses = sorted(row[0] / 1000 for row in rows)
                p50, p99 = pauses[len(pauses) // 2], pauses[min(len(pauses) - 1, len(pauses) * 99 // 100)]
                whole = sorted(row[1] / 1000 for row in rows)[len(rows) // 2]
                print(f"{link_us / 1000:g} | {rate:,} | {pieces:,} | {p50:.1f} | {p99:.1f} | {pauses[-1]:.1f} | "
                      f"{whole:.0f} | {max(row[2] for row in rows)} | {max(row[3] for row in rows) / 1000:.1f}")


if __name__ == "__main__":
    main()
