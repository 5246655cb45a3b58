"""The commands that look at files: `config check` and `rehearse verify`."""

from __future__ import annotations

import argparse
import json
import tempfile
from pathlib import Path

from wheelstep.cli import playing
from wheelstep.cli.exits import BAD_INPUT, OK, InputError
from wheelstep.operator import load as load_operator
from wheelstep.rehearsal import scenario
from wheelstep.rehearsal.historyfile import load
from wheelstep.rehearsal.judge import judge
from wheelstep.rehearsal.report import EXITS, Screen
from wheelstep.standalone.model import load as load_standalone


def check(given: argparse.Namespace) -> int:
    """Is an operator's file, a configuration, a standalone courier's file or a scenario fine?"""
    path = Path(given.file)
    if path.suffix == ".json":
        what = "configuration"
        _check_configuration(path)
    elif path.suffix == ".toml":
        try:
            head = path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            raise InputError(f"{path}: can't be read: {error}") from error
        if "[[route]]" in head or "[tenant." in head:
            what = "standalone courier"
            load_standalone(path)
        elif "[[partner]]" in head or "[[class]]" in head:
            what = "scenario"
            scenario.parse(head, str(path))
        else:
            what = "operator's file"
            load_operator(str(path))
    else:
        raise InputError(f"{path}: what it is can't be told; expected .toml (operator's file or scenario) or .json")
    if given.json:
        Screen(True).json({"file": str(path), "what": what, "fine": True})
    else:
        print(f"{path}: fine ({what})")
    return OK


def _check_configuration(path: Path) -> None:
    from wheelstep.courier.config import ConfigError
    from wheelstep.courier.config import load as load_config
    with tempfile.TemporaryDirectory() as state:
        try:
            load_config({"RELAY_CONFIG": str(path), "RELAY_STATE": state})
        except ConfigError as error:
            raise InputError(str(error)) from error


def verify(given: argparse.Namespace) -> int:
    """Judge a kept history again, or check a record."""
    path = Path(given.file)
    try:
        with open(path, "rb") as file:
            first = file.read(64)
    except OSError as error:
        raise InputError(f"{path}: can't be read: {error}") from error
    screen = Screen(given.json)
    if first.startswith(b'{"format": "umberchute-history"'):
        with open(path, encoding="utf-8") as lines:
            history = load(lines)
        verdict = judge(history)
        if given.json:
            screen.json(json.loads(verdict.canonical()))
        else:
            for rule, ruling in verdict.rulings.items():
                print(f"{ruling.value:12} {rule.value}")
            for finding in verdict.findings:
                print(f"{finding.rule.name.lower()} {finding.at_us / 1e6:.3f} s {finding.courier}: {finding.text}")
        return EXITS[verdict.ruling]
    record = playing.read(str(path), up_to_damage=True)
    about = {"file": str(path), "messages": len(record.rows), "ended": record.ended or "cut off",
             "damage": record.damage}
    if given.json:
        screen.json(about)
    else:
        print(f"{path}: {len(record.rows)} messages, " + (record.damage or f"whole ({record.ended})"))
    return BAD_INPUT if record.damage else OK
