"""Rehearses a large day: 1,000 endpoints, 1,000 messages a second, a third of the destinations with a fault; checked by
the six rules.

    python benchmarks/wide_day.py [--partners 250] [--endpoints 4] [--rate 1000] [--couriers 4] [--seeds 1,2,3]

A third of the destinations has a fault for a third of the time: they hang, refuse or reset connections, or shut with a
wait. The rig has two cores, the couriers have the others.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import resource

from wheelstep.rehearsal import rig
from wheelstep.rehearsal.judge import judge
from wheelstep.rehearsal.plan import draw
from wheelstep.rehearsal.report import worth_share
from wheelstep.rehearsal.scenario import parse
from wheelstep.rehearsal.worth import tally

HEAD = """
title = "A wide day"
rule = "all"
length = "15s"
couriers = {couriers}
slots = 400
hold = 20000
[[class]]
name = "update"
effect = "keyed"
key_life = "20s"
ordered = true
promise = "2s"
deadline = "8s"
[[class]]
name = "pay"
promise = "2s"
deadline = "8s"
worth = 3
[[kind]]
name = "venue"
[traffic]
rate_per_s = {rate}
keys = 20
"""
PARTNER = """
[[partner]]
name = "p{number}"
kind = "venue"
endpoints = {endpoints}
lanes = 20
queue = 200
pace = "40ms"
"""
FAULT = """
[[fault]]
kind = "{kind}"
partner = "p{number}"
at = ["4s", "6s"]
for = "5s"
{more}
"""
FAULT_KINDS = (("hang", ""), ("refuse", ""), ("reset", "share = 0.5\nwhen = \"after\""), ("shut", "wait = \"800ms\""))


def main() -> None:
    """Rehearse each seed and print its verdict and what was delivered."""
    options = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    options.add_argument("--partners", type=int, default=250)
    options.add_argument("--endpoints", type=int, default=4)
    options.add_argument("--rate", type=float, default=1000)
    options.add_argument("--couriers", type=int, default=4)
    options.add_argument("--seeds", default="1,2,3")
    given = options.parse_args()
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 16_384) if hard > 0 else 16_384, hard))
    cores = sorted(os.sched_getaffinity(0))
    os.sched_setaffinity(0, cores[:2])
    command = f"taskset -c {','.join(map(str, cores[2:]))} {rig.OURS}"
    text = HEAD.format(couriers=given.couriers, rate=given.rate) + "".join(
        PARTNER.format(number=number, endpoints=given.endpoints) for number in range(given.partners)) + "".join(
        FAULT.format(kind=FAULT_KINDS[number // 3 % 4][0], number=number, more=FAULT_KINDS[number // 3 % 4][1])
        for number in range(0, given.partners, 3))
    scenario = parse(text, "wide")
    for seed in map(int, given.seeds.split(",")):
        plan = draw("wide", scenario, seed)
        played = asyncio.run(rig.play(plan, command, {"disk_mb": 100, "sockets": 2048}))
        verdict = judge(played.history)
        rows = tally(played.history)
        print(f"seed {seed}: {len(plan.arrivals)} messages, {verdict.ruling.value}, the machine "
              f"{verdict.late_us / 1000:.0f} ms late at most; {worth_share(rows.values()):.1%} of the worth, delivered "
              + ", ".join(f"{row.delivered} of {row.messages} {name}" for name, row in rows.items()), flush=True)
        for finding in verdict.findings[:5]:
            print(f"  {finding.rule.name.lower()} {finding.at_us / 1e6:.3f} s {finding.courier}: {finding.text}")


if __name__ == "__main__":
    main()
