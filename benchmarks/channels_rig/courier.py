"""One courier process, with its configuration, state and log in a folder."""

from __future__ import annotations

import asyncio
import http.client
import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

from wheelstep.rehearsal.standins.platform import Agent

ROOT = Path(__file__).resolve().parents[2]
READY_TIMEOUT_S, STOP_TIMEOUT_S = 60.0, 20.0


class Courier:
    """One courier process.

    `operator` is the text of its operator file, empty for none. `tree` is the checkout of the project whose code runs.
    With `profile`, the courier runs under cProfile, which writes that file at its end.
    """

    def __init__(self, name: str, folder: Path, port: int, agent: Agent, operator: str, tree: Path, seed: int,
                 profile: Path | None) -> None:
        self.address = f"127.0.0.1:{port}"
        (folder / "state").mkdir(parents=True)
        (folder / "config.json").write_text(json.dumps({
            "name": name, "listen": self.address, "discovery": agent.port.address, "seed": f"{seed:x}",
            "limits": {"disk_mb": 200, "sockets": 4096}, "known": agent.full_list(), "settings": {
                "services": [{"name": service, "promise_us": 2_000_000, "deadline_us": 20_000_000, "effect": "once",
                              "group": "all", "by_arrival": False} for service in ("once", "keyed")],
                "specifics": {"calls_out": 512, "per_call": [1], "kind_apart": [False]}, "kinds": ["k"], "areas": ["a"],
                "caps": {"open_cap": 20_000, "most_tries": 12, "conn_idle_us": 10_000_000, "may_duplicate": True,
                         "dial_timeout_us": 1_000_000}, "tick_us": 1000, "rules": {},
                "prices": {"handshake": 0.06, "probe": 0.01}}}))
        profiled = [str(ROOT / "benchmarks/channels_rig/profiled.py"), str(profile)]
        program = profiled if profile else ["-m", "wheelstep.cli"]
        command = [sys.executable, *program, "serve"]
        if operator:
            (folder / "operator.toml").write_text(operator)
            command += ["--operator", str(folder / "operator.toml")]
        self.log = folder / "log"
        with self.log.open("wb") as log:
            self.process = subprocess.Popen(command, cwd=tree, stdin=subprocess.DEVNULL, stdout=log, stderr=log, env={
                **os.environ, "RELAY_CONFIG": f"{folder}/config.json", "RELAY_STATE": f"{folder}/state",
                "PYTHONPATH": str(tree)})

    def get(self, path: str) -> int:
        """Return the status of a GET, or 0 if the courier doesn't answer within 2 seconds."""
        connection = http.client.HTTPConnection(self.address, timeout=2)
        try:
            connection.request("GET", path)
            return connection.getresponse().status
        except OSError:
            return 0
        finally:
            connection.close()

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait until `condition` returns true; it is called in a thread.

        Raises `RuntimeError` with the end of the log if that takes longer than `READY_TIMEOUT_S` or the process ends.
        """
        deadline = time.monotonic() + READY_TIMEOUT_S
        while not await asyncio.to_thread(condition):
            if time.monotonic() > deadline or self.process.poll() is not None:
                raise RuntimeError(f"not ready: {self.log.read_text()[-2000:]}")
            await asyncio.sleep(0.05)

    def proc_value(self, file: str, name: str) -> int:
        """Return the number in the line `name` of the process's file /proc/PID/`file`."""
        lines = Path(f"/proc/{self.process.pid}/{file}").read_text().splitlines()
        return int(next(line for line in lines if line.startswith(f"{name}:")).split()[1])

    def bytes_written(self) -> int:
        """Return how many bytes the process has written to files, without its log."""
        return self.proc_value("io", "wchar") - self.log.stat().st_size

    def stop(self) -> None:
        """Send SIGTERM, then SIGKILL if the process is still there after `STOP_TIMEOUT_S`."""
        self.process.send_signal(signal.SIGTERM)
        try:
            self.process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
