"""The commands for a standalone courier: `init`, `keys`, `serve --config` and `config show|diff|reference`."""

from __future__ import annotations

import argparse
import json
from pathlib import Path

from wheelstep.cli.exits import BROKEN, OK, InputError
from wheelstep.standalone import start
from wheelstep.standalone.model import load
from wheelstep.standalone.serve import main, signers_of
from wheelstep.standalone.signing import fingerprint


def run(args: argparse.Namespace) -> int:
    """Run a parsed command and return its exit code; `config diff` returns `BROKEN` if a reload would change anything.

    Raises `FileError` for an invalid file and `InputError` for wrong usage.
    """
    if args.command == "serve":
        if args.operator is not None or args.workers:
            raise InputError("serve: --operator and --workers are for the platform's couriers; expected --config alone")
        return main(args.config)
    if args.command == "init":
        folder = Path(args.folder)
        token = start.init(folder, args.listen)
        print(f"{folder / 'umberchute.toml'}: written; the token of tenant first is {token} "
              f"(also in {folder / 'first.token'})")
    elif args.command == "keys" and args.verb == "check":
        path = Path(args.file)
        found = load(path)
        for name, signer in signers_of(path, found).items():
            for place, key in zip(found.destinations[name].sign, signer.keys, strict=True):
                print(f"destination.{name}: {place}: fine, fingerprint {fingerprint(key)}")
    elif args.command == "keys" and args.signing is not None:
        print(f"{args.signing}: written, fingerprint {start.write_key(Path(args.signing))}")
    elif args.command == "keys":
        token, digest = start.new_token()
        print(f"token {token}\nsha256 {digest}")
    elif args.what == "show":
        print(json.dumps(start.as_json(load(Path(args.file))), indent=2))
    elif args.what == "diff":
        lines = list(start.differences(start.as_json(load(Path(args.old))), start.as_json(load(Path(args.new)))))
        print("\n".join(lines) if lines else "nothing changes")
        return BROKEN if lines else OK
    else:
        print(start.reference())
    return OK
