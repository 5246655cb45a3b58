"""Forks couriers from one process that has imported them: `python nursery.py`, in the courier's tree.

Each line on stdin is an object of environment variables and the file of the log; the answer is the new process's
number. Couriers share what was imported, so that hundreds fit where each alone would need 25 MB. They share the seed
of string hashes too. All end with this process.
"""

from __future__ import annotations

import contextlib
import ctypes
import gc
import json
import os
import signal
import sys

_PR_SET_PDEATHSIG = 1


def die_with_parent() -> None:
    """Guards against couriers that stay where their parent is killed (Linux)."""
    with contextlib.suppress(OSError, AttributeError):
        ctypes.CDLL(None).prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


def _courier(env: dict[str, str], log: str) -> None:
    os.setsid()
    die_with_parent()
    signal.signal(signal.SIGCHLD, signal.SIG_DFL)
    os.environ.update(env)
    for number, path, flags in ((0, os.devnull, os.O_RDONLY), (1, log, os.O_WRONLY | os.O_APPEND | os.O_CREAT)):
        os.dup2(os.open(path, flags, 0o644), number)
    os.dup2(1, 2)
    code = 1
    try:
        from wheelstep.courier.__main__ import main
        code = main()
    finally:
        sys.stderr.flush()
        os._exit(code)


def _serve() -> None:
    import wheelstep.courier.__main__  # noqa: F401 - what all share
    signal.signal(signal.SIGCHLD, signal.SIG_IGN)  # the kernel forgets them as they end
    gc.collect()
    gc.freeze()
    for line in sys.stdin:
        asked = json.loads(line)
        if (pid := os.fork()) == 0:
            _courier(asked["env"], asked["log"])
        print(pid, flush=True)


if __name__ == "__main__":
    _serve()
