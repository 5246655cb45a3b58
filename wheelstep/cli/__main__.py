"""Entry point of `umberchute`: parses the arguments and dispatches to the command."""

from __future__ import annotations

import argparse
import os
import sys
from collections.abc import Sequence
from pathlib import Path

from wheelstep.cli.exits import BAD_INPUT, INTERRUPTED, OK, InputError


def build_parser() -> argparse.ArgumentParser:
    """Return the parser for all commands and their options."""
    root = argparse.ArgumentParser(prog="umberchute", description="Deliver messages to endpoints of destinations.")
    commands = root.add_subparsers(dest="command", required=True, metavar="COMMAND")
    demo = commands.add_parser("demo", help="play a one-minute rehearsal with failing partners and print the verdict")
    _add_common_options(demo)
    demo.add_argument("--length", type=float, metavar="SECONDS", help="length of the demo, 8 to 600")
    serve = commands.add_parser("serve", help="run the daemon as configured by the RELAY_* environment")
    serve.add_argument("--operator", metavar="FILE", help="the operator's file (TOML)")
    serve.add_argument("--config", metavar="FILE.toml", help="configuration of a standalone courier")
    serve.add_argument("--workers", type=int, metavar="N", help="number of worker processes, 0 to 64 (0: none)")
    workers = commands.add_parser("workers", help="maintain the state of a stopped courier with workers")
    workers_verbs = workers.add_subparsers(dest="verb", required=True, metavar="VERB")
    merge = workers_verbs.add_parser("merge", help="merge the workers' journals into one")
    merge.add_argument("folder", help="RELAY_STATE of a stopped courier")
    init = commands.add_parser("init", help="write a first configuration file for a standalone courier")
    init.add_argument("folder")
    init.add_argument("--listen", default="127.0.0.1:8350", metavar="HOST:PORT", help="address for clients")
    keys = commands.add_parser("keys", help="manage tokens of tenants and signing keys")
    key_verbs = keys.add_subparsers(dest="verb", required=True, metavar="VERB")
    new = key_verbs.add_parser("new", help="generate a tenant's token and the digest for the configuration file")
    new.add_argument("--signing", metavar="FILE", help="generate a signing key instead, in a new file of mode 600")
    check_keys = key_verbs.add_parser("check", help="check that all keys of a standalone courier's file can be read")
    check_keys.add_argument("file")
    config = commands.add_parser("config", help="check and show configuration files")
    config_commands = config.add_subparsers(dest="what", required=True, metavar="WHAT")
    check = config_commands.add_parser("check", help="check an operator's file, a configuration or a scenario")
    check.add_argument("file")
    check.add_argument("--json", action="store_true", help="one JSON object")
    show = config_commands.add_parser("show", help="print a standalone courier's file with all defaults, as JSON")
    show.add_argument("file")
    diff = config_commands.add_parser("diff", help="print what a reload would change; exit code 1 if anything would")
    diff.add_argument("old")
    diff.add_argument("new")
    config_commands.add_parser("reference", help="print all fields of a standalone courier's file, as Markdown")
    rehearse = commands.add_parser("rehearse", help="play scenarios against a courier and judge it")
    verbs = rehearse.add_subparsers(dest="verb", required=True, metavar="VERB")
    listing = verbs.add_parser("list", help="list the shipped scenarios and the broken couriers")
    listing.add_argument("--json", action="store_true", help="a JSON object a line")
    run = verbs.add_parser("run", help="play scenarios")
    run.add_argument("scenarios", nargs="+", metavar="SCENARIO", help="name of a shipped scenario, or a file")
    _add_common_options(run)
    _add_courier_options(run)
    run.add_argument("--speed", type=float, default=1.0, help="divide every duration by this, 0.05 to 100")
    run.add_argument("--repeat", type=int, default=1, help="how many times to play each")
    run.add_argument("--save", metavar="FILE", help="write the history to a file, for `verify`")
    replay = verbs.add_parser("replay", help="submit the messages of a record again")
    replay.add_argument("record")
    _add_common_options(replay)
    _add_courier_options(replay)
    replay.add_argument("--speed", type=float, default=1.0, help="divide every duration by this, 0.05 to 100")
    replay.add_argument("--scenario", help="take partners and faults from this scenario")
    replay.add_argument("--up-to-damage", action="store_true", help="play the readable part of a damaged record")
    replay.add_argument("--save", metavar="FILE", help="write the history to a file, for `verify`")
    record = verbs.add_parser("record", help="play a scenario and record the messages submitted to the daemon")
    record.add_argument("scenario")
    record.add_argument("record", metavar="FILE")
    record.add_argument("--bodies", action="store_true", help="record the messages' bodies too")
    _add_common_options(record)
    verify = verbs.add_parser("verify", help="check a record, or judge a saved history again")
    verify.add_argument("file")
    verify.add_argument("--json", action="store_true", help="one JSON object")
    partners = verbs.add_parser("partners", help="run stand-in partners for a standalone courier's file")
    partners.add_argument("file")
    matrix = verbs.add_parser("matrix", help="play every scenario against our courier and every broken one")
    matrix.add_argument("scenarios", nargs="*", metavar="SCENARIO")
    matrix.add_argument("--repeat", type=int, default=1, help="how many times to play each pair")
    matrix.add_argument("--jobs", type=int, default=4, help="how many to play at once")
    matrix.add_argument("--own", action="store_true", help="only the broken couriers of each scenario's rule")
    matrix.add_argument("--seed", type=int, default=1)
    matrix.add_argument("--json", action="store_true", help="a JSON object a line")
    journal = commands.add_parser("journal", help="inspect and maintain a journal while no courier uses it")
    tools = journal.add_subparsers(dest="verb", required=True, metavar="VERB")
    for verb, about in (("inspect", "show its content"), ("verify", "read every record; exit code 1 if damaged"),
                        ("repair", "skip damaged records permanently; the damaged files are kept"),
                        ("compact", "rewrite the live records and drop the rest")):
        tool = tools.add_parser(verb, help=about)
        tool.add_argument("folder", help="RELAY_STATE of a stopped courier")
        tool.add_argument("--json", action="store_true", help="one JSON object")
        if verb == "inspect":
            tool.add_argument("--messages", action="store_true", help="list each message, without its body")
    account = commands.add_parser("account", help="report where worth was lost, from couriers' logs")
    kinds = account.add_subparsers(dest="verb", required=True, metavar="VERB")
    shown = kinds.add_parser("show", help="print the sums over all couriers")
    shown.add_argument("logs", nargs="+", metavar="LOG", help="a courier's log, or a folder of them")
    shown.add_argument("--by", choices=["cause", "second", "class", "courier"], default="cause")
    shown.add_argument("--json", action="store_true", help="one JSON object, with all tables")
    trace = kinds.add_parser("trace", help="print one message's events in all couriers")
    trace.add_argument("message", metavar="ID")
    trace.add_argument("logs", nargs="+", metavar="LOG", help="a courier's log, or a folder of them")
    trace.add_argument("--json", action="store_true", help="a JSON object a line")
    return root


def _add_common_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--seed", type=int, default=1, help="random seed; the same seed gives the same plan")
    parser.add_argument("--json", action="store_true", help="print JSON instead of tables")


def _add_courier_options(parser: argparse.ArgumentParser) -> None:
    choice = parser.add_mutually_exclusive_group()
    choice.add_argument("--courier", metavar="COMMAND", help="any program that implements the RELAY_* environment")
    choice.add_argument("--front", choices=["platform", "standalone"], help="our courier behind this front")
    choice.add_argument("--broken", metavar="NAME", help="a courier that breaks a rule on purpose")


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command and return its exit code. Errors are printed on one line to standard error."""
    args = build_parser().parse_args(arguments)
    try:
        if args.command in ("init", "keys") or args.command == "serve" and args.config is not None \
                or args.command == "config" and args.what in ("show", "diff", "reference"):
            return _run_standalone(args)
        if args.command == "serve":
            if args.operator is None and not any(os.environ.get(name) for name in (
                    "RELAY_CONFIG", "RELAY_STATE", "UMBERCHUTE_OPERATOR")):
                raise InputError("serve: neither RELAY_CONFIG and RELAY_STATE nor --config; expected the platform's "
                                 "environment, or --config FILE.toml (`umberchute init FOLDER` writes one)")
            from wheelstep.courier.__main__ import main as serve
            if args.workers is not None and not 0 <= args.workers <= 64:
                raise InputError(f"--workers: {args.workers}; expected 0 to 64")
            return serve(args.operator, args.workers)
        if args.command == "workers":
            from wheelstep.workers.layout import LayoutError, prepare
            try:
                prepare(Path(args.folder), 0, 0)
            except LayoutError as error:
                raise InputError(str(error)) from error
            return OK
        if args.command == "account":
            from wheelstep.cli import account_commands
            return account_commands.run(args)
        if args.command == "journal":
            from wheelstep.cli import journal_commands
            return journal_commands.run(args)
        try:
            from wheelstep.cli import commands
        except ModuleNotFoundError as error:
            if error.name and error.name.startswith("wheelstep"):
                raise
            raise InputError(f"{error.name} is not installed; expected the extra: "
                             "pip install 'umberchute[rehearsal]'") from error
        return commands.run(args)
    except InputError as error:
        print(f"umberchute: {' '.join(str(error).split())}", file=sys.stderr)
        return BAD_INPUT
    except KeyboardInterrupt:
        print("umberchute: interrupted; nothing is left running", file=sys.stderr)
        return INTERRUPTED
    except BrokenPipeError:  # the reader of the output has exited
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return OK


def _run_standalone(args: argparse.Namespace) -> int:
    try:
        from wheelstep.standalone.model import FileError
    except ModuleNotFoundError as error:
        if error.name and error.name.startswith("wheelstep"):
            raise
        raise InputError(f"{error.name} is not installed; expected the extra: "
                         "pip install 'umberchute[standalone]'") from error
    from wheelstep.cli import standalone_commands
    try:
        return standalone_commands.run(args)
    except FileError as error:
        raise InputError(str(error)) from error


if __name__ == "__main__":
    sys.exit(main())
