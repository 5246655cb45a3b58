"""Measures the pause of a channel when its part moves, in virtual time: from the part's closing at the handover source
to its opening at the target.

    python benchmarks/move_pause.py [--moves 100] [--first-seed 0]

A commit, and the target's lease after it, take one round trip to the voters each, and the commit a synced write there;
the target syncs before each answer, and twice more to adopt the part. A message takes between the link's delay and 1.5
times that, a sync takes `SYNC_US` and, one in twenty, ten times that. No calls are outstanding: a call's own time comes
on top. All is drawn from the seed, which is printed; only the last column is measured, the most processor time that one
decision took.
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
SYNC_US, PIECE_BYTES, PART = 1_000, 200, 3  # a disk's sync, the size of a piece, the number of the part that moves


class ChangingContent:
    """The content of a part, whose pieces change at `rate` a second while the part is open. Implements the content that
    `moves.giver` expects."""

    version = 1

    def __init__(self, pieces: int, rate: int, draw: random.Random) -> None:
        self.held = {f"m:{number}": draw.randbytes(PIECE_BYTES) for number in range(pieces)}
        self.names, self.rate, self.draw = list(self.held), rate, draw
        self.now_us = self.next_us = 0
        self.is_open = True
        self.changes: set[str] = set()

    def _apply_changes(self) -> None:
        while self.is_open and self.next_us <= self.now_us:
            name = self.draw.choice(self.names)
            self.held[name] = self.draw.randbytes(PIECE_BYTES)
            self.changes.add(name)
            self.next_us += max(1, round(self.draw.expovariate(self.rate / 1_000_000)))

    def pieces(self, part: int) -> list[Piece]:
        """Return all pieces; `changed` reports changes from here on."""
        self._apply_changes()
        self.changes.clear()
        return [Piece(name, data) for name, data in self.held.items()]

    def changed(self, part: int) -> list[Piece]:
        """Return the pieces that changed since the last call of `pieces` or `changed`."""
        self._apply_changes()
        changes, self.changes = self.changes, set()
        return [Piece(name, self.held[name]) for name in sorted(changes)]

    def under_way(self, part: int) -> int:
        """Return the number of outstanding calls, which is always 0."""
        return 0

    def shut(self, part: int) -> None:
        """Close the part: its pieces no longer change."""
        self._apply_changes()
        self.is_open = False

    def drop(self, part: int) -> None:
        """Forget all pieces."""
        self.held.clear()


def pause_us(seed: int, link_us: int, rate: int, pieces: int) -> tuple[int, int, int, int]:
    """Simulate one move and return its pause and its whole time (both µs), the number of pieces that went with the
    `Seal`, and the processor time of the longest decision (µs)."""
    content, target = ChangingContent(pieces, rate, random.Random(seed)), Taker("t", 1, TakerLimits())
    source = Giver(PART, 1, "t", content, GiverLimits(), 0, "g")  # type: ignore[arg-type]
    heap, order, opened_us, sealed_pieces, now_us, longest_s = [(0, 0, None)], count(1), -1, 0, 0, 0.0
    draw = random.Random(f"{seed} times")

    def schedule(messages: int, syncs: int, *event: object) -> None:
        delay_us = sum(round(link_us * draw.uniform(1, 1.5)) for _ in range(messages))
        delay_us += sum(SYNC_US * (10 if draw.random() < 0.05 else 1) for _ in range(syncs))
        heapq.heappush(heap, (now_us + delay_us, next(order), event))

    while heap and not (source.over and opened_us >= 0):
        now_us, _, event = heapq.heappop(heap)
        content.now_us = now_us
        began = time.thread_time()
        match event:
            case None:
                actions = source.tick(now_us)
            case "arrive", request:
                committed = isinstance(request, Given)
                answer, records = target.handle_request(
                    now_us, "g", request, Ownership(2, "t") if committed else Ownership(1, "g"))
                longest_s = max(longest_s, time.thread_time() - began)
                schedule(1, bool(records), "answer", request, answer)
                if committed:  # the target asks the voters for its lease, adopts the part, records that, and opens it
                    schedule(2, 2, "open")
                continue
            case "open",:
                opened_us = now_us
                continue
            case "answer", request, answer:
                actions = source.handle_answer(now_us, request, answer)
            case _:
                actions = source.observe_holding(now_us, 2, "t")
        longest_s = max(longest_s, time.thread_time() - began)
        for action in actions:
            if isinstance(action, SendRequest):
                sealed_pieces = len(action.request.pieces) if isinstance(action.request, Seal) else sealed_pieces
                schedule(1, 0, "arrive", action.request)
            elif isinstance(action, Commit):
                schedule(2, 1, "decided")
            else:
                assert isinstance(action, Ended) and action.done, action
        if not source.over and not any(isinstance(action, SendRequest | Commit) for action in actions):
            heapq.heappush(heap, (max(now_us, source.next_us()), next(order), None))
    return opened_us - source.shut_us, now_us, sealed_pieces, round(longest_s * 1_000_000)


def main() -> None:
    """Simulate the moves of each row and print the table."""
    options = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    options.add_argument("--moves", type=int, default=100)
    options.add_argument("--first-seed", type=int, default=0)
    given = options.parse_args()
    print(f"seeds {given.first_seed} to {given.first_seed + given.moves - 1}, {given.moves} moves a row, sync "
          f"{SYNC_US / 1000:g} ms, pieces of {PIECE_BYTES} bytes")
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
