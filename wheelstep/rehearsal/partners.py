"""Stand-in partners alone, in the foreground: what a new courier of one's own is tried against.

Each destination of a courier's file gets one endpoint, at a port that the system gives; the folder of endpoints that
the file names is told where. They answer 200 to all and print a line for each message.
"""

from __future__ import annotations

import asyncio
import json
import signal
from pathlib import Path

from wheelstep.rehearsal.standins.wire import Port, Request, Server
from wheelstep.standalone.model import FileError, load


class _Partner(Server):
    def __init__(self, name: str) -> None:
        super().__init__()
        self._name = name

    def on_request(self, request: Request) -> None:
        """Take it."""
        if request.target.startswith("/inbox"):
            print(f"{self._name}: {request.headers.get('x-request-id', 'a bulk call')}, {len(request.body)} bytes",
                  flush=True)
        self.answer(200)


async def serve(file: Path) -> None:
    """Until SIGTERM or Ctrl-C. Raises `FileError`."""
    found = load(file)
    folder = found.endpoints_from
    if folder is None:
        raise FileError(f"{file}: endpoints_from: missing; expected a folder where the partners' ports are told")
    ended = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, ended.set)
    try:
        folder.mkdir(parents=True, exist_ok=True)
        for name in found.destinations:
            port = Port(lambda name=name: _Partner(name))  # type: ignore[misc]
            await port.listen()
            fresh = folder / f".{name}.new"
            fresh.write_text(f"endpoints = {json.dumps([port.address])}\n", encoding="utf-8")
            fresh.replace(folder / f"{name}.toml")
            print(f"{name} serves on {port.address}", flush=True)
    except OSError as error:
        raise FileError(f"{folder}: {error}; expected a folder that can be written") from error
    await ended.wait()
