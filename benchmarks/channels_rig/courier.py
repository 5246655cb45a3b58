"""One courier's process, with a file for its configuration, its state and its log in a folder."""

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
READY_S, LEAVE_S = 60.0, 20.0


class Courier:
    """One process. `profile` is the file that cProfile writes."""

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
        """The status of a GET, 0 if nobody answers."""
        line = http.client.HTTPConnection(self.address, timeout=2)
        try:
            line.request("GET", path)
            return line.getresponse().status
        except OSError:
            return 0
        finally:
            line.close()

    async def until(self, holds: Callable[[], bool]) -> None:
        """Raises `RuntimeError` with the log where this does not come to hold, or the process ends."""
        ends = time.monotonic() + READY_S
        while not await asyncio.to_thread(holds):
            if time.monotonic() > ends or self.process.poll() is not None:
                raise RuntimeError(f"not ready: {self.log.read_text()[-2000:]}")
            await asyncio.sleep(0.05)

    def figure(self, file: str, name: str) -> int:
        """A number of the process's own files."""
        lines = Path(f"/proc/{self.process.pid}/{file}").read_text().splitlines()
        return int(next(line for line in lines if line.startswith(f"{name}:")).split()[1])

    def written(self) -> int:
        """Bytes that it has written to files, its log apart."""
        return self.figure("io", "wchar") - self.log.stat().st_size

    def end(self) -> None:
        """SIGTERM, and SIGKILL where that does not end it."""
        self.process.send_signal(signal.SIGTERM)
        try:
            self.process.wait(LEAVE_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
