"""Kills a courier under load with SIGKILL again and again while its journal compacts, and checks the rehearsal's rules.

    python benchmarks/journal_kills.py [--kills 100] [--jobs 5]

Each rehearsal kills its courier ten times. Its disk is so small, and its messages so large, that the journal compacts
all the time: the highest number of a segment at the end tells how many were begun.
"""

from __future__ import annotations

import argparse
import asyncio
import re
import tempfile
from concurrent.futures import ProcessPoolExecutor

from wheelstep.rehearsal import rig
from wheelstep.rehearsal.history import Life, Turn
from wheelstep.rehearsal.judge import judge
from wheelstep.rehearsal.plan import draw
from wheelstep.rehearsal.scenario import parse
from wheelstep.rehearsal.standins.process import Courier

KILLS = 10  # in a rehearsal
HEAD = """
title = "Killed while compacting"
rule = "lost"
length = "30s"
slots = 40
hold = 400
[[class]]
name = "update"
effect = "keyed"
key_life = "15s"
ordered = true
promise = "1s"
deadline = "6s"
size = [1000, 4000]
[[class]]
name = "pay"
promise = "1s"
deadline = "6s"
worth = 3
size = [1000, 4000]
[[kind]]
name = "firm"
batch = 3
[[partner]]
name = "alpha"
kind = "firm"
endpoints = 2
lanes = 20
pace = "60ms"
[[partner]]
name = "beta"
kind = "firm"
lanes = 4
pace = "150ms"
[traffic]
rate_per_s = 150
keys = 60
"""
KILL = '[[fault]]\nkind = "kill"\nat = ["{at:.1f}s", "{to:.1f}s"]\nfor = "600ms"\n'


def rehearse(seed: int) -> tuple[str, int, int, int, list[str]]:
    """Run one rehearsal. Returns verdict, kills, segments begun, lateness of the machine (µs) and first findings."""
    text = HEAD + "".join(KILL.format(at=1.5 + number * 2.8, to=2.3 + number * 2.8) for number in range(KILLS))
    plan = draw("journal-kills", parse(text, "journal-kills"), seed)
    newest = 0
    stop = Courier.stop

    async def record_newest_segment(self: Courier) -> None:
        nonlocal newest
        numbers = [int(found[1]) for path in (self._folder / "state").iterdir()
                   if (found := re.fullmatch(r"(\d{8})\.journal", path.name))]
        newest = max([newest, *numbers])
        await stop(self)

    Courier.stop = record_newest_segment  # type: ignore[method-assign]
    with tempfile.TemporaryDirectory():
        played = asyncio.run(rig.play(plan, limits={"disk_mb": 1.0}))
    verdict = judge(played.history)
    kills = sum(isinstance(fact, Life) and fact.turn is Turn.KILLED for fact in played.history.facts)
    return (verdict.ruling.value, kills, newest, verdict.late_us,
            [f"{finding.rule.name}: {finding.text}" for finding in verdict.findings[:3]])


def main() -> None:
    """Run as many rehearsals as there must be kills, and print their verdicts."""
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("--kills", type=int, default=100)
    options.add_argument("--jobs", type=int, default=5)
    given = options.parse_args()
    with ProcessPoolExecutor(given.jobs) as pool:
        played = list(pool.map(rehearse, range(-(-given.kills // KILLS))))
    for seed, (ruling, kills, segments, late_us, findings) in enumerate(played):
        print(f"seed {seed}: {ruling}, {kills} kills, {segments} segments begun, late {late_us // 1000} ms "
              + "; ".join(findings))
    print(f"{sum(row[1] for row in played)} kills, {sum(row[2] for row in played)} segments begun; "
          f"{sum(row[0] == 'kept' for row in played)} of {len(played)} rehearsals kept all rules")


if __name__ == "__main__":
    main()
