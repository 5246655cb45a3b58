"""`umberchute init`, `keys`, `serve --config` and `config show|diff|reference`: a courier without the platform."""

from __future__ import annotations

import argparse
import json
from pathlib import Path

from wheelstep.cli.exits import BROKEN, OK, InputError
from wheelstep.standalone import start
from wheelstep.standalone.model import load
from wheelstep.standalone.serve import main, signers_of
from wheelstep.standalone.signing import fingerprint


def run(given: argparse.Namespace) -> int:
    """Carry out a parsed command. Raises `FileError`."""
    if given.command == "serve":
        if given.operator is not None or given.workers:
            raise InputError("serve: --operator and --workers are for the platform's couriers; expected --config alone")
        return main(given.config)
    if given.command == "init":
        folder = Path(given.folder)
        token = start.init(folder, given.listen)
        print(f"{folder / 'umberchute.toml'}: written; the token of tenant first is {token} "
              f"(also in {folder / 'first.token'})")
    elif given.command == "keys" and given.verb == "check":
        path = Path(given.file)
        found = load(path)
        for name, signer in signers_of(path, found).items():
            for place, key in zip(found.destinations[name].sign, signer.keys, strict=True):
                print(f"destination.{name}: {place}: fine, fingerprint {fingerprint(key)}")
    elif given.command == "keys" and given.signing is not None:
        print(f"{given.signing}: written, fingerprint {start.write_key(Path(given.signing))}")
    elif given.command == "keys":
        token, digest = start.new_token()
        print(f"token {token}\nsha256 {digest}")
    elif given.what == "show":
        print(json.dumps(start.as_json(load(Path(given.file))), indent=2))
    elif given.what == "diff":
        lines = list(start.differences(start.as_json(load(Path(given.old))), start.as_json(load(Path(given.new)))))
        print("\n".join(lines) if lines else "nothing changes")
        return BROKEN if lines else OK
    else:
        print(start.reference())
    return OK
