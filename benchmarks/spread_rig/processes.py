"""A courier's process, started by a command or by the fork server in `nursery.py`, with one interface for both."""

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

from .nursery import set_parent_death_signal

FORK = "fork"  # stands in place of a command and selects the fork server
_FORK_TIMEOUT_S = 30.0  # for an answer of the fork server, whose first one includes its imports


class Process(Protocol):
    """The process operations that a fleet uses."""

    pid: int

    def poll(self) -> int | None:
        """Return None while the process runs, and an exit status afterwards."""

    def wait(self) -> int:
        """Wait for the end of the process and return an exit status."""


class Starter:
    """Starts couriers by `command` with `tree` as the working directory and the import path."""

    def __init__(self, command: str, tree: Path) -> None:
        self._command, self._tree = command, tree
        self._fork_server: subprocess.Popen[bytes] | None = None
        self._fork_lock = asyncio.Lock()  # one request to the fork server at a time

    async def start(self, env: dict[str, str], log: Path) -> Process:
        """Start a process with these environment variables added and its output appended to `log`.

        Raises `OSError` if it can't be started, and `TimeoutError` if the fork server doesn't answer.
        """
        environment = {**os.environ, "PYTHONPATH": str(self._tree), **env}
        if self._command != FORK:
            with open(log, "ab") as out:
                return subprocess.Popen(
                    shlex.split(self._command), cwd=self._tree, env=environment, stdin=subprocess.DEVNULL, stdout=out,
                    stderr=out, start_new_session=True, preexec_fn=set_parent_death_signal)
        async with self._fork_lock:
            if self._fork_server is None:
                self._fork_server = subprocess.Popen(
                    [sys.executable, str(Path(__file__).with_name("nursery.py"))], cwd=self._tree, env=environment,
                    stdin=subprocess.PIPE, stdout=subprocess.PIPE, start_new_session=True,
                    preexec_fn=set_parent_death_signal)
            async with asyncio.timeout(_FORK_TIMEOUT_S):
                line = await asyncio.to_thread(
                    self._request, json.dumps({"env": env, "log": str(log)}).encode() + b"\n")
        if not line:
            raise OSError("the fork server (nursery.py) has ended")
        return _ForkedProcess(int(line))

    def _request(self, request: bytes) -> bytes:
        assert (self._fork_server is not None and self._fork_server.stdin is not None
                and self._fork_server.stdout is not None)
        self._fork_server.stdin.write(request)
        self._fork_server.stdin.flush()
        return self._fork_server.stdout.readline()

    def close(self) -> None:
        """Kill the fork server, and with it the processes that it forked."""
        if self._fork_server is not None:
            self._fork_server.kill()
            self._fork_server.communicate()


class _ForkedProcess:
    """A process that is not a child of this one. It is watched through a pidfd, because its id may be reused. Its exit
    status is unknown: 0 stands for any end."""

    def __init__(self, pid: int) -> None:
        self.pid = pid
        self._poller = select.poll()
        self._descriptor = os.pidfd_open(pid)
        self._poller.register(self._descriptor, select.POLLIN)
        self._has_ended = False

    def poll(self) -> int | None:
        """Return None while the process runs, and 0 afterwards."""
        return self._poll_end(0)

    def wait(self) -> int:
        """Wait for the end of the process and return 0."""
        return self._poll_end(None) or 0

    def _poll_end(self, wait_ms: int | None) -> int | None:
        if not self._has_ended and self._poller.poll(wait_ms):
            self._has_ended = True
            os.close(self._descriptor)
        return 0 if self._has_ended else None
