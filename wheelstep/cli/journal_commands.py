"""The `umberchute journal` commands. They import only `wheelstep.journal`, so no extra is needed."""

from __future__ import annotations

import argparse
import json
from pathlib import Path
from typing import Any

from wheelstep.cli.exits import BROKEN, OK, InputError
from wheelstep.journal import tools


def run(args: argparse.Namespace) -> int:
    """Run a parsed command; return `OK`, or `BROKEN` if `verify` found damage.

    Raises `InputError` if the folder is in use, not a journal's or can't be read or written, or if the journal is too
    damaged for the command.
    """
    folder = Path(args.folder)
    try:
        if args.verb == "inspect":
            result = tools.inspect(folder, args.messages)
        else:
            result = {"verify": tools.verify, "repair": tools.repair, "compact": tools.compact}[args.verb](folder)
    except tools.ToolError as error:
        raise InputError(str(error)) from error
    if args.json:
        print(json.dumps(result, sort_keys=True))
    else:
        _print(result)
    return BROKEN if args.verb == "verify" and not result["fine"] else OK


def _print(result: dict[str, Any]) -> None:
    for name, value in result.items():
        if isinstance(value, list):
            print(f"{name.replace('_', ' ')}: {len(value)}")
            _print_rows(value)
        else:
            print(f"{name.replace('_', ' ')}: {'none' if value is None else value}")


def _print_rows(rows: list[Any]) -> None:
    """Print rows under one heading, with columns as wide as their widest cell; plain values one per line."""
    if not rows or not isinstance(rows[0], dict):
        for row in rows:
            print(f"  {row}")
        return
    lines = [list(rows[0]), *([str(cell) for cell in row.values()] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    for line in lines:
        print("  " + "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip())
