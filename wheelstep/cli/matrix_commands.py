"""The `rehearse matrix` command: plays scenarios against our courier and the broken ones."""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import shlex
from collections.abc import Sequence

from wheelstep.cli.exits import OK, InputError
from wheelstep.rehearsal import rig, scenario
from wheelstep.rehearsal.broken import BROKEN_COURIERS
from wheelstep.rehearsal.judge import Ruling
from wheelstep.rehearsal.report import EXIT_CODES, Screen


def matrix(args: argparse.Namespace) -> int:
    """Play each scenario against our courier and the broken ones, several at once, each in its own process.

    Returns the exit code of `Ruling.BROKEN` if our courier broke a rule, else `OK`: broken couriers are expected to.
    """
    names = args.scenarios or [name for name in scenario.shipped() if name not in ("demo", "monday")]
    pairs: list[tuple[str, str]] = []
    for name in names:
        rule = scenario.find(name)[1].rule
        pairs.append((name, ""))
        pairs += [(name, broken) for broken, courier in BROKEN_COURIERS.items()
                  if not args.own or courier.rule.name.lower() == rule]
    found = asyncio.run(_play_all(pairs, args.repeat, args.jobs, args.seed))
    screen = Screen(args.json)
    screen.rows(("scenario", "courier", "kept", "broken", "inconclusive", "rules broken"),
                [(name, broken or "ours", *(str(counts.get(code, 0)) for code in (0, 1, 3)), ", ".join(rules))
                 for (name, broken), (counts, rules) in found.items()])
    wrong = [pair for pair, (counts, _) in found.items() if not pair[1] and counts.get(1)]
    return EXIT_CODES[Ruling.BROKEN] if wrong else OK


async def _play_all(pairs: Sequence[tuple[str, str]], repeat: int, jobs: int,
                    seed: int) -> dict[tuple[str, str], tuple[dict[int, int], list[str]]]:
    semaphore = asyncio.Semaphore(max(1, jobs))
    found: dict[tuple[str, str], tuple[dict[int, int], list[str]]] = {pair: ({}, []) for pair in pairs}

    async def play_pair(pair: tuple[str, str]) -> None:
        command_line = ["rehearse", "run", pair[0], "--json", "--seed", str(seed)]
        command_line += ["--broken", pair[1]] if pair[1] else []
        async with semaphore:
            process = await asyncio.create_subprocess_exec(
                *shlex.split(rig.module_command("wheelstep.cli", *command_line)), stdout=asyncio.subprocess.PIPE,
                stderr=asyncio.subprocess.PIPE, env=os.environ)
            try:
                out, err = await process.communicate()
            finally:
                if process.returncode is None:
                    process.terminate()
                    await process.wait()
        code = process.returncode or 0
        if code not in EXIT_CODES.values():
            raise InputError(f"{pair[0]} against {pair[1] or 'ours'}: {err.decode()[-300:]}")
        counts, rules = found[pair]
        counts[code] = counts.get(code, 0) + 1
        if code == EXIT_CODES[Ruling.BROKEN]:
            for rule, ruling in json.loads(out)["verdict"]["rules"].items():
                if ruling == Ruling.BROKEN.value and rule not in rules:
                    rules.append(rule)

    async with asyncio.TaskGroup() as group:
        for _ in range(repeat):
            for pair in pairs:
                group.create_task(play_pair(pair))
    return found
