"""The commands that check files: `config check` and `rehearse verify`."""

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
from wheelstep.rehearsal.report import EXIT_CODES, Screen
from wheelstep.standalone.model import load as load_standalone


def check(args: argparse.Namespace) -> int:
    """Check an operator's file, a configuration, a standalone courier's file or a scenario.

    The kind is told from the suffix and the tables. Each kind's error is raised if the file is invalid, and
    `InputError` if it can't be read or is of no known kind.
    """
    path = Path(args.file)
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
        raise InputError(f"{path}: unknown kind of file; expected .toml (operator's file or scenario) or .json")
    if args.json:
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


def verify(args: argparse.Namespace) -> int:
    """Judge a saved history again, or check a record.

    Returns the verdict's exit code for a history; for a record `BAD_INPUT` if it is damaged, else `OK`. Raises
    `InputError` if the file can't be read or is neither of them, and `HistoryError` for an invalid history.
    """
    path = Path(args.file)
    try:
        with open(path, "rb") as file:
            first = file.read(64)
    except OSError as error:
        raise InputError(f"{path}: can't be read: {error}") from error
    screen = Screen(args.json)
    if first.startswith(b'{"format": "umberchute-history"'):
        with open(path, encoding="utf-8") as lines:
            history = load(lines)
        verdict = judge(history)
        if args.json:
            screen.json(json.loads(verdict.canonical()))
        else:
            for rule, ruling in verdict.rulings.items():
                print(f"{ruling.value:12} {rule.value}")
            for finding in verdict.findings:
                print(f"{finding.rule.name.lower()} {finding.at_us / 1e6:.3f} s {finding.courier}: {finding.text}")
        return EXIT_CODES[verdict.ruling]
    record = playing.read_record(str(path), up_to_damage=True)
    about = {"file": str(path), "messages": len(record.rows), "ended": record.ended or "cut off",
             "damage": record.damage}
    if args.json:
        screen.json(about)
    else:
        print(f"{path}: {len(record.rows)} messages, " + (record.damage or f"complete ({record.ended})"))
    return BAD_INPUT if record.damage else OK
