"""What held messages cost: in the module, in the journal's state, on disk, and until the journal has recovered.

    python -m benchmarks.measure.held
"""

from __future__ import annotations

import gc
import random
import tempfile
import time
from pathlib import Path

from benchmarks.measure.result import Row, measure, resident
from wheelstep import Sender, Settings
from wheelstep import interface as api
from wheelstep.journal import Journal, StoredMessage

S = 1_000_000
DESTINATIONS = 14_000
BODY = 212  # bytes
SIZES = (10_000, 50_000, 100_000, 200_000)
CLASSES = (api.MessageClass(2 * S, 60 * S, api.Effect.KEYED, 1.0, 0.5, 15 * S),)


def in_module(held: int) -> Row:
    """So many messages to 14,000 destinations that answer nothing yet; then turns with one new message each."""
    sender, rng = Sender(Settings(CLASSES, slots=64, hold_limit=1 << 30, may_probe=True), 1), random.Random(1)
    sender.handle(0, [api.MembershipReceived(api.ListKind.WHOLE, tuple(
        api.EndpointInfo(f"s-{number:08x}", number) for number in range(DESTINATIONS)))])
    gc.collect()
    base, began, now_us = resident(), time.process_time(), 2_000
    for first in range(0, held, 500):
        now_us += 20
        sender.handle(now_us, [api.MessageAccepted(f"m{first + one:014d}", 0, rng.randrange(DESTINATIONS), 3_600 * S)
                               for one in range(500)])
    row = {"memory_bytes": (resident() - base) / held, "take_us": (time.process_time() - began) / held * 1e6}
    turns = []
    for one in range(300):
        now_us += 20_000
        began = time.process_time()
        sender.handle(now_us, [api.MessageAccepted(f"x{one}", 0, rng.randrange(DESTINATIONS), 3_600 * S)])
        turns.append(time.process_time() - began)
    return {**row, "turn_ms": sum(turns) / len(turns) * 1e3, "worst_turn_ms": max(turns) * 1e3}


def in_journal(held: int) -> Row:
    """So many messages taken, the journal closed and opened again."""
    body = random.Random(1).randbytes(BODY)
    with tempfile.TemporaryDirectory(prefix="held-") as name:
        folder = Path(name)
        journal = Journal(folder, 10**11)
        gc.collect()
        base, began = resident(), time.process_time()
        for one in range(held):
            journal.take(StoredMessage(f"{one:016x}", "update", one % 140_000, 1_800_000_000_000, f"key{one % 1_000}",
                                f"{one:032x}", False, bytes(body)))
        row = {"memory_bytes": (resident() - base) / held, "disk_bytes": journal.used / held,
               "take_us": (time.process_time() - began) / held * 1e6}
        journal.close()
        del journal
        gc.collect()
        began = time.process_time()
        again = Journal(folder, 10**11)
        took_s = time.process_time() - began
        assert len(again.messages) == held
        again.close()
    return {**row, "recovery_s": took_s}


def case(held: int, part: str) -> Row:
    """`part`: "module" or "journal"."""
    return in_module(held) if part == "module" else in_journal(held)


if __name__ == "__main__":
    measure("before-held", "held", __doc__, [{"held": held, "part": part} for part in ("module", "journal")
                                             for held in SIZES], case, {"destinations": DESTINATIONS, "body": BODY})
