"""`umberchute`: the daemon, its configuration, and the rehearsal kit, by one command."""

from __future__ import annotations

import argparse
import os
import sys
from collections.abc import Sequence
from pathlib import Path

from wheelstep.cli.exits import BAD_INPUT, INTERRUPTED, OK, InputError


def parser() -> argparse.ArgumentParser:
    """All commands and their options."""
    top = argparse.ArgumentParser(prog="umberchute", description="A courier that owes every message its end.")
    commands = top.add_subparsers(dest="command", required=True, metavar="COMMAND")
    demo = commands.add_parser("demo", help="play a minute: couriers, partners in trouble, and the verdict")
    _common(demo)
    demo.add_argument("--length", type=float, metavar="SECONDS", help="a shorter or longer demo")
    serve = commands.add_parser("serve", help="run the daemon that the RELAY_* environment describes")
    serve.add_argument("--operator", metavar="FILE", help="the operator's own file")
    serve.add_argument("--config", metavar="FILE.toml", help="without the platform: all that the courier is told")
    serve.add_argument("--workers", type=int, metavar="N", help="so many worker processes (0: none)")
    workers = commands.add_parser("workers", help="the folder of a courier with workers, while none runs on it")
    workers_verbs = workers.add_subparsers(dest="verb", required=True, metavar="VERB")
    merge = workers_verbs.add_parser("merge", help="back to one journal, for a courier without workers")
    merge.add_argument("folder", help="RELAY_STATE of a courier that does not run")
    init = commands.add_parser("init", help="write a starting file for a courier without the platform")
    init.add_argument("folder")
    init.add_argument("--listen", default="127.0.0.1:8350", metavar="HOST:PORT", help="where clients will connect")
    keys = commands.add_parser("keys", help="tokens of tenants, keys that calls are signed with")
    key_verbs = keys.add_subparsers(dest="verb", required=True, metavar="VERB")
    new = key_verbs.add_parser("new", help="a tenant's token, and what the file holds of it")
    new.add_argument("--signing", metavar="FILE", help="a key for signatures instead, in a new file of mode 600")
    check_keys = key_verbs.add_parser("check", help="are all keys of a standalone courier's file there and readable?")
    check_keys.add_argument("file")
    config = commands.add_parser("config", help="configuration files")
    config_commands = config.add_subparsers(dest="what", required=True, metavar="WHAT")
    check = config_commands.add_parser("check", help="check an operator's file, a configuration or a scenario")
    check.add_argument("file")
    check.add_argument("--json", action="store_true", help="one JSON object")
    show = config_commands.add_parser("show", help="a standalone courier's file with every default, as JSON")
    show.add_argument("file")
    diff = config_commands.add_parser("diff", help="what a reload would change; exit code 1 if anything")
    diff.add_argument("old")
    diff.add_argument("new")
    config_commands.add_parser("reference", help="all fields of a standalone courier's file, as Markdown")
    rehearse = commands.add_parser("rehearse", help="play scenarios and judge a courier")
    verbs = rehearse.add_subparsers(dest="verb", required=True, metavar="VERB")
    listing = verbs.add_parser("list", help="the shipped scenarios and the broken couriers")
    listing.add_argument("--json", action="store_true", help="a JSON object a line")
    run = verbs.add_parser("run", help="play scenarios")
    run.add_argument("scenarios", nargs="+", metavar="SCENARIO", help="a shipped one's name, or a file")
    _common(run)
    _courier(run)
    run.add_argument("--speed", type=float, default=1.0, help="scale every duration")
    run.add_argument("--repeat", type=int, default=1, help="play each so often")
    run.add_argument("--save", metavar="FILE", help="keep what was seen, for `verify`")
    replay = verbs.add_parser("replay", help="hand in again what a daemon recorded")
    replay.add_argument("record")
    _common(replay)
    _courier(replay)
    replay.add_argument("--speed", type=float, default=1.0, help="scale every duration")
    replay.add_argument("--scenario", help="take partners and faults from this one")
    replay.add_argument("--up-to-damage", action="store_true", help="play what can be read of a damaged record")
    replay.add_argument("--save", metavar="FILE", help="keep what was seen, for `verify`")
    record = verbs.add_parser("record", help="play a scenario and record what the daemon was handed")
    record.add_argument("scenario")
    record.add_argument("record", metavar="FILE")
    record.add_argument("--bodies", action="store_true", help="record the messages' bytes too")
    _common(record)
    verify = verbs.add_parser("verify", help="check a record, or judge a kept history again")
    verify.add_argument("file")
    verify.add_argument("--json", action="store_true", help="one JSON object")
    partners = verbs.add_parser("partners", help="stand-in partners for a standalone courier's file, in the foreground")
    partners.add_argument("file")
    matrix = verbs.add_parser("matrix", help="play every scenario against ours and every broken courier")
    matrix.add_argument("scenarios", nargs="*", metavar="SCENARIO")
    matrix.add_argument("--repeat", type=int, default=1, help="play each pair so often")
    matrix.add_argument("--jobs", type=int, default=4, help="so many at once")
    matrix.add_argument("--own", action="store_true", help="only the broken couriers of each scenario's rule")
    matrix.add_argument("--seed", type=int, default=1)
    matrix.add_argument("--json", action="store_true", help="a JSON object a line")
    journal = commands.add_parser("journal", help="a journal's folder while no courier has it")
    tools = journal.add_subparsers(dest="verb", required=True, metavar="VERB")
    for verb, about in (("inspect", "what it holds"), ("verify", "read every record; exit code 1 if damaged"),
                        ("repair", "bridge damage for good, the damaged files are kept"),
                        ("compact", "write anew what is live")):
        tool = tools.add_parser(verb, help=about)
        tool.add_argument("folder", help="RELAY_STATE of a courier that does not run")
        tool.add_argument("--json", action="store_true", help="one JSON object")
        if verb == "inspect":
            tool.add_argument("--messages", action="store_true", help="each message, without its body")
    account = commands.add_parser("account", help="where worth was lost, from the logs of couriers that tell it")
    kinds = account.add_subparsers(dest="verb", required=True, metavar="VERB")
    shown = kinds.add_parser("show", help="the sums, over all couriers")
    shown.add_argument("logs", nargs="+", metavar="LOG", help="a courier's log, or a folder of them")
    shown.add_argument("--by", choices=["cause", "second", "class", "courier"], default="cause")
    shown.add_argument("--json", action="store_true", help="one JSON object, with all tables")
    trace = kinds.add_parser("trace", help="one message's course through all couriers")
    trace.add_argument("message", metavar="ID")
    trace.add_argument("logs", nargs="+", metavar="LOG", help="a courier's log, or a folder of them")
    trace.add_argument("--json", action="store_true", help="a JSON object a line")
    return top


def _common(to: argparse.ArgumentParser) -> None:
    to.add_argument("--seed", type=int, default=1, help="the same seed draws the same plan")
    to.add_argument("--json", action="store_true", help="JSON in place of tables")


def _courier(to: argparse.ArgumentParser) -> None:
    which = to.add_mutually_exclusive_group()
    which.add_argument("--courier", metavar="COMMAND", help="any program that keeps to the RELAY_* environment")
    which.add_argument("--front", choices=["platform", "standalone"], help="ours, behind this front")
    which.add_argument("--broken", metavar="NAME", help="one of the couriers made to break a rule")


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command and return its exit code."""
    given = parser().parse_args(arguments)
    try:
        if given.command in ("init", "keys") or given.command == "serve" and given.config is not None \
                or given.command == "config" and given.what in ("show", "diff", "reference"):
            return _standalone(given)
        if given.command == "serve":
            if given.operator is None and not any(os.environ.get(name) for name in (
                    "RELAY_CONFIG", "RELAY_STATE", "UMBERCHUTE_OPERATOR")):
                raise InputError("serve: neither RELAY_CONFIG and RELAY_STATE nor --config; expected the platform's "
                                 "environment, or --config FILE.toml (`umberchute init FOLDER` writes one)")
            from wheelstep.courier.__main__ import main as serve
            if given.workers is not None and not 0 <= given.workers <= 64:
                raise InputError(f"--workers: {given.workers}; expected 0 to 64")
            return serve(given.operator, given.workers)
        if given.command == "workers":
            from wheelstep.workers.layout import LayoutError, prepare
            try:
                prepare(Path(given.folder), 0, 0)
            except LayoutError as error:
                raise InputError(str(error)) from error
            return OK
        if given.command == "account":
            from wheelstep.cli import account_commands
            return account_commands.run(given)
        if given.command == "journal":
            from wheelstep.cli import journal_commands
            return journal_commands.run(given)
        try:
            from wheelstep.cli import commands
        except ModuleNotFoundError as error:
            if error.name and error.name.startswith("wheelstep"):
                raise
            raise InputError(f"{error.name} is not installed; expected the extra: "
                             "pip install 'umberchute[rehearsal]'") from error
        return commands.run(given)
    except InputError as error:
        print(f"umberchute: {' '.join(str(error).split())}", file=sys.stderr)
        return BAD_INPUT
    except KeyboardInterrupt:
        print("umberchute: interrupted; nothing is left running", file=sys.stderr)
        return INTERRUPTED
    except BrokenPipeError:  # whoever read the output has gone
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return OK


def _standalone(given: argparse.Namespace) -> int:
    try:
        from wheelstep.standalone.model import FileError
    except ModuleNotFoundError as error:
        if error.name and error.name.startswith("wheelstep"):
            raise
        raise InputError(f"{error.name} is not installed; expected the extra: "
                         "pip install 'umberchute[standalone]'") from error
    from wheelstep.cli import standalone_commands
    try:
        return standalone_commands.run(given)
    except FileError as error:
        raise InputError(str(error)) from error


if __name__ == "__main__":
    sys.exit(main())
