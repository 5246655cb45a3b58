"""Random orders of events that can cross, at the real process, judged by what clients, endpoints and platform saw.

`CROSSINGS_SEEDS=1-200 .venv/bin/python -m pytest -q -n 8 tests/test_crossings_property.py` plays that many.
"""

from __future__ import annotations

import asyncio
import os
from pathlib import Path

import pytest
from crossings_judge import about, faults
from crossings_plan import plan
from crossings_world import Play

FIRST, _, LAST = os.environ.get("CROSSINGS_SEEDS", "1-6").partition("-")


@pytest.mark.parametrize("seed", range(int(FIRST), int(LAST or FIRST) + 1))
def test_whatever_crosses_the_courier_keeps_its_word(seed: int, tmp_path: Path) -> None:
    seen = asyncio.run(asyncio.wait_for(Play(seed, tmp_path).run(), 120))
    found = faults(seen)
    told = [line for fault in found for line in (fault, *about(seen, fault))]
    assert not found, "\n".join([f"seed {seed} (CROSSINGS_SEEDS={seed}):", *told, "order:", *seen.order, *seen.log])
    taken = sum(one.status == 202 for one in seen.hand_ins)
    assert taken > 20 and len({one.message for one in seen.calls}) > 15, f"seed {seed}: {taken} taken on"
    print(f"seed {seed}: {taken} of {len(seen.hand_ins)} taken on, {len(seen.calls)} calls, {len(seen.notices)} "
          f"notices, {sum(one.tried > 1 for one in seen.hand_ins)} crossed a connection's end")


@pytest.mark.parametrize(("broken", "what"), [
    ("drops-on-kill", "no end"), ("two-ends", "two ends"), ("pays-after-reset", "unsafe and"),
    ("ignores-keys", "of key")])
def test_a_courier_that_breaks_its_word_is_caught(broken: str, what: str, tmp_path: Path) -> None:
    """In one of some plays: which calls it makes is a matter of milliseconds."""
    seeds = [seed for seed in range(99) if "KILL" in {step.what for step in plan(seed)[:60]}][:4]
    found: list[str] = []
    for seed in seeds:
        folder = tmp_path / str(seed)
        folder.mkdir()
        play = Play(seed, folder, "wheelstep.rehearsal.broken", broken, ends_s=2.0)
        found += faults(asyncio.run(asyncio.wait_for(play.run(), 120)))
        if any(what in fault for fault in found):
            return
    raise AssertionError(f"seeds {seeds}: {found}")
