"""A fork server: forks couriers from one process that has imported their code. `python nursery.py`, run in the
courier's tree.

Each line on stdin is a JSON object with the environment variables (`env`) and the log file (`log`); the answer is the
id of the new process. Couriers share the memory of the imported code, so that hundreds fit where each alone would need
25 MB. They share the seed of string hashes too. All end with this process.
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


def set_parent_death_signal() -> None:
    """Ask the kernel to kill this process when its parent dies, so that no courier outlives the rig (Linux only)."""
    with contextlib.suppress(OSError, AttributeError):
        ctypes.CDLL(None).prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


def _run_courier(env: dict[str, str], log: str) -> None:
    os.setsid()
    set_parent_death_signal()
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
    import wheelstep.courier.__main__  # noqa: F401 - imported once, shared by all forked couriers
    signal.signal(signal.SIGCHLD, signal.SIG_IGN)  # the kernel reaps ended couriers
    gc.collect()
    gc.freeze()
    for line in sys.stdin:
        request = json.loads(line)
        if (pid := os.fork()) == 0:
            _run_courier(request["env"], request["log"])
        print(pid, flush=True)


if __name__ == "__main__":
    _serve()
