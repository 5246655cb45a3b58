"""Measures what held messages cost: in the decision module, in the journal's state, on disk, and in the journal's
recovery.

    python -m benchmarks.measure.held
"""

from __future__ import annotations

import gc
import random
import tempfile
import time
from pathlib import Path

from benchmarks.measure.result import Row, resident_bytes, run_cases
from wheelstep import Sender, Settings
from wheelstep import interface as api
from wheelstep.journal import Journal, StoredMessage

S = 1_000_000
DESTINATIONS = 14_000
BODY_BYTES = 212
SIZES = (10_000, 50_000, 100_000, 200_000)
CLASSES = (api.MessageClass(2 * S, 60 * S, api.Effect.KEYED, 1.0, 0.5, 15 * S),)


def measure_module(held: int) -> Row:
    """Let the module accept `held` messages for 14,000 destinations that don't answer, then measure decisions with one
    new message each."""
    sender, rng = Sender(Settings(CLASSES, slots=64, hold_limit=1 << 30, may_probe=True), 1), random.Random(1)
    sender.handle(0, [api.MembershipReceived(api.ListKind.WHOLE, tuple(
        api.EndpointInfo(f"s-{number:08x}", number) for number in range(DESTINATIONS)))])
    gc.collect()
    base, began, now_us = resident_bytes(), time.process_time(), 2_000
    for first in range(0, held, 500):
        now_us += 20
        sender.handle(now_us, [api.MessageAccepted(f"m{first + one:014d}", 0, rng.randrange(DESTINATIONS), 3_600 * S)
                               for one in range(500)])
    row = {"memory_bytes": (resident_bytes() - base) / held, "take_us": (time.process_time() - began) / held * 1e6}
    decisions_s = []
    for one in range(300):
        now_us += 20_000
        began = time.process_time()
        sender.handle(now_us, [api.MessageAccepted(f"x{one}", 0, rng.randrange(DESTINATIONS), 3_600 * S)])
        decisions_s.append(time.process_time() - began)
    return {**row, "turn_ms": sum(decisions_s) / len(decisions_s) * 1e3, "worst_turn_ms": max(decisions_s) * 1e3}


def measure_journal(held: int) -> Row:
    """Write `held` messages to a journal, then close it and open it again."""
    body = random.Random(1).randbytes(BODY_BYTES)
    with tempfile.TemporaryDirectory(prefix="held-") as name:
        folder = Path(name)
        journal = Journal(folder, 10**11)
        gc.collect()
        base, began = resident_bytes(), time.process_time()
        for one in range(held):
            journal.take(StoredMessage(f"{one:016x}", "update", one % 140_000, 1_800_000_000_000, f"key{one % 1_000}",
                                       f"{one:032x}", False, bytes(body)))
        row = {"memory_bytes": (resident_bytes() - base) / held, "disk_bytes": journal.used / held,
               "take_us": (time.process_time() - began) / held * 1e6}
        journal.close()
        del journal
        gc.collect()
        began = time.process_time()
        reopened = Journal(folder, 10**11)
        took_s = time.process_time() - began
        assert len(reopened.messages) == held
        reopened.close()
    return {**row, "recovery_s": took_s}


def measure_case(held: int, part: str) -> Row:
    """Measure the part "module" or "journal" with `held` messages."""
    return measure_module(held) if part == "module" else measure_journal(held)


if __name__ == "__main__":
    run_cases("before-held", "held", __doc__,
              [{"held": held, "part": part} for part in ("module", "journal") for held in SIZES], measure_case,
              {"destinations": DESTINATIONS, "body": BODY_BYTES})
