"""A courier's process, started by a command or forked by the nursery: the two look alike to the fleet."""

from __future__ import annotations

import asyncio
import json
import os
import select
import shlex
import subprocess
import sys
from pathlib import Path
from typing import Protocol

from .nursery import die_with_parent

FORK = "fork"  # in place of a command
_NURSERY_S = 30.0  # the nursery has imported all, or has forked, by then


class Process(Protocol):
    """What a fleet needs of it."""

    pid: int

    def poll(self) -> int | None:
        """None while it runs."""

    def wait(self) -> int:
        """Wait for its end."""


class Starter:
    """Starts couriers by `command` in `tree`; closes to no process left of its own."""

    def __init__(self, command: str, tree: Path) -> None:
        self._command, self._tree = command, tree
        self._nursery: subprocess.Popen[bytes] | None = None
        self._turn = asyncio.Lock()

    async def start(self, env: dict[str, str], log: Path) -> Process:
        """A new process with these variables added; its output goes to the end of `log`. Raises `OSError`."""
        whole = {**os.environ, "PYTHONPATH": str(self._tree), **env}
        if self._command != FORK:
            with open(log, "ab") as out:
                return subprocess.Popen(shlex.split(self._command), cwd=self._tree, env=whole, stdin=subprocess.DEVNULL,
                                        stdout=out, stderr=out, start_new_session=True, preexec_fn=die_with_parent)
        async with self._turn:
            if self._nursery is None:
                self._nursery = subprocess.Popen(
                    [sys.executable, str(Path(__file__).with_name("nursery.py"))], cwd=self._tree, env=whole,
                    stdin=subprocess.PIPE, stdout=subprocess.PIPE, start_new_session=True, preexec_fn=die_with_parent)
            async with asyncio.timeout(_NURSERY_S):
                line = await asyncio.to_thread(self._ask, json.dumps({"env": env, "log": str(log)}).encode() + b"\n")
        if not line:
            raise OSError("the nursery has ended")
        return _Forked(int(line))

    def _ask(self, asked: bytes) -> bytes:
        assert self._nursery is not None and self._nursery.stdin is not None and self._nursery.stdout is not None
        self._nursery.stdin.write(asked)
        self._nursery.stdin.flush()
        return self._nursery.stdout.readline()

    def close(self) -> None:
        """The nursery ends, and with it what it forked."""
        if self._nursery is not None:
            self._nursery.kill()
            self._nursery.communicate()


class _Forked:
    """A process that is not our child. A descriptor stands for it, since its number may be given again."""

    def __init__(self, pid: int) -> None:
        self.pid = pid
        self._ended = select.poll()
        self._descriptor = os.pidfd_open(pid)
        self._ended.register(self._descriptor, select.POLLIN)
        self._over = False

    def poll(self) -> int | None:
        return self._look(0)

    def wait(self) -> int:
        return self._look(None) or 0

    def _look(self, wait_ms: int | None) -> int | None:
        if not self._over and self._ended.poll(wait_ms):
            self._over = True
            os.close(self._descriptor)
        return 0 if self._over else None
