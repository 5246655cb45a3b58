"""`umberchute journal`: needs nothing but the journal's package."""

from __future__ import annotations

import argparse
import json
from pathlib import Path
from typing import Any

from wheelstep.cli.exits import BROKEN, OK, InputError
from wheelstep.journal import tools


def run(given: argparse.Namespace) -> int:
    """Carry out a parsed command: 0 fine, 1 damaged, 2 where the folder can't be worked on."""
    folder = Path(given.folder)
    try:
        if given.verb == "inspect":
            found = tools.inspect(folder, given.messages)
        else:
            found = {"verify": tools.verify, "repair": tools.repair, "compact": tools.compact}[given.verb](folder)
    except tools.ToolError as error:
        raise InputError(str(error)) from error
    if given.json:
        print(json.dumps(found, sort_keys=True))
    else:
        _show(found)
    return BROKEN if given.verb == "verify" and not found["fine"] else OK


def _show(found: dict[str, Any]) -> None:
    for name, value in found.items():
        if isinstance(value, list):
            print(f"{name.replace('_', ' ')}: {len(value)}")
            _table(value)
        else:
            print(f"{name.replace('_', ' ')}: {'none' if value is None else value}")


def _table(rows: list[Any]) -> None:
    """Rows under one heading, in columns as wide as their widest cell; plain values one a line."""
    if not rows or not isinstance(rows[0], dict):
        for row in rows:
            print(f"  {row}")
        return
    lines = [list(rows[0]), *([str(cell) for cell in row.values()] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    for line in lines:
        print("  " + "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip())
