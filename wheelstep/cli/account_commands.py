"""The `umberchute account` commands. They import only `wheelstep.account`, so no extra is needed."""

from __future__ import annotations

import argparse
import json
from collections.abc import Iterator, Sequence
from dataclasses import asdict
from pathlib import Path
from typing import Any

from wheelstep.account.spans import Cause
from wheelstep.account.tally import Account, AccountBuilder
from wheelstep.account.timeline import MessageTimeline
from wheelstep.cli.exits import OK, InputError

_DESCRIPTIONS = {
    "take": "accepted: class {1}, destination {2}, {4} ms left", "back": "restored from the journal: {4} ms left",
    "door": "rejected at admission: status {2}", "go": "attempt {1} starts at {2}",
    "out": "attempt {1} at {2}: {3} after {4} ms", "end": "undelivered: {1}"}


def run(args: argparse.Namespace) -> int:
    """Run a parsed command and return its exit code.

    Raises `InputError` if a log can't be read, or if none of the logs has lines of the account or mentions the message.
    """
    files = list(_files(args.logs))
    builder = AccountBuilder()
    for file in files:
        read_line = builder.courier(file.name)
        for text in _lines(file):
            read_line(text)
    if args.verb == "trace":
        if args.message not in builder.timelines:
            raise InputError(f"{args.message}: not found in {len(files)} logs; expected a message's id as in the "
                             "couriers' logs")
        _trace(builder.timelines[args.message], args.json)
        return OK
    if not builder.read:
        raise InputError(f"{args.logs[0]}: no account lines in {len(files)} files; expected logs of couriers "
                         "with [account] on = true in the operator's file")
    account = builder.account()
    if args.json:
        print(json.dumps(_as_dict(account, builder.damaged), sort_keys=True))
    else:
        _print_account(account, builder.damaged, args.by)
    return OK


def _files(names: Sequence[str]) -> Iterator[Path]:
    for name in names:
        path = Path(name)
        if path.is_dir():
            yield from sorted(file for file in path.rglob("*") if file.is_file())
        elif path.is_file():
            yield path
        else:
            raise InputError(f"{name}: not found; expected a courier's log, or a folder of logs")


def _lines(file: Path) -> Iterator[str]:
    try:
        with open(file, encoding="utf-8", errors="replace") as lines:
            yield from lines
    except OSError as error:
        raise InputError(f"{file}: can't be read: {error}") from error


def _trace(timeline: MessageTimeline, as_json: bool) -> None:
    """Print one message's lines of all couriers by time."""
    rows = sorted(timeline.lines, key=lambda row: row[:2])
    for at_ms, _, courier, line in rows:
        words = _DESCRIPTIONS[line.kind].format(*line.fields)
        if as_json:
            print(json.dumps({"at_ms": at_ms, "courier": courier, "kind": line.kind, "text": words}))
        else:
            print(f"{(at_ms - rows[0][0]) / 1000:9.3f} s  {courier:8} {words}"
                  + (", over" if line.kind == "out" and line.fields[5] else ""))


def _as_dict(account: Account, damaged: int) -> dict[str, Any]:
    return {
        "messages": account.messages, "pending": account.pending, "worth": round(account.worth, 3),
        "lost": round(account.lost, 3), "how": dict(account.how), "damaged_lines": damaged,
        "causes": _rounded(account.causes), "order_behind": _rounded(account.behind),
        "classes": {name: _rounded(row) for name, row in account.classes.items()},
        "couriers": _rounded(account.couriers),
        "seconds": {second: _rounded(row) for second, row in sorted(account.seconds.items())},
        "fleet": {second: asdict(row) for second, row in sorted(account.fleet.items())}}


def _rounded(row: dict[str, float]) -> dict[str, float]:
    return {name: round(value, 3) for name, value in sorted(row.items(), key=lambda pair: -pair[1])}


def _print_account(account: Account, damaged: int, by: str) -> None:
    share = account.lost / account.worth if account.worth else 0.0
    print(f"{account.messages} messages, worth {account.worth:.1f}; lost {account.lost:.1f} ({share:.1%}); "
          + ", ".join(f"{many} {how}" for how, many in account.how.most_common())
          + (f"; {account.pending} pending" if account.pending else "")
          + (f"; {damaged} damaged lines skipped" if damaged else ""))
    names = list(_rounded(account.causes))
    if by == "cause":
        for name in names:
            print(f"  {account.causes[name]:10.1f}  {account.causes[name] / max(account.lost, 1e-9):6.1%}  {name}")
            for cause, lost in list(_rounded(account.behind).items())[:5] if name == Cause.ORDER.value else ():
                print(f"  {lost:10.1f}          of this behind a message that waited for: {cause}")
    elif by == "class":
        _print_grid("class", names, sorted(account.classes.items()))
    elif by == "courier":
        for courier, lost in list(_rounded(account.couriers).items())[:30]:
            print(f"  {lost:10.1f}  {courier}")
    else:
        _print_grid("second", names, sorted(account.seconds.items()))
    print("fleet: second, calls, rejected, of these without a load report, probes, handshakes, list calls, connections")
    for second, row in sorted(account.fleet.items()):
        print(f"  {second:6} {row.calls:7} {row.refused:7} {row.untold:7} {row.probes:7} {row.handshakes:7} "
              f"{row.lists:7} {row.links:7}")


def _print_grid(head: str, names: Sequence[str], rows: Sequence[tuple[object, dict[str, float]]]) -> None:
    shown = names[:8]
    print(f"  {head:>8} {'all':>8}  " + "  ".join(shown))
    for name, row in rows:
        cells = "  ".join(f"{row.get(cause, 0.0):{len(cause)}.1f}" for cause in shown)
        print(f"  {name!s:>8} {sum(row.values()):8.1f}  {cells}")
