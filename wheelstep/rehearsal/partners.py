"""Stand-in partners in the foreground, for trying out a standalone courier.

Each destination of the courier's file gets one endpoint at a free port, whose address is written to the folder
`endpoints_from` of the file. The endpoints answer 200 to everything and print a line per message.
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
        """Print the message and answer 200."""
        if request.target.startswith("/inbox"):
            print(f"{self._name}: {request.headers.get('x-request-id', 'a bulk call')}, {len(request.body)} bytes",
                  flush=True)
        self.answer(200)


async def serve(file: Path) -> None:
    """Serve until SIGTERM or Ctrl-C. Raises `FileError` for an invalid file or a folder that can't be written."""
    found = load(file)
    folder = found.endpoints_from
    if folder is None:
        raise FileError(f"{file}: endpoints_from: missing; expected a folder for the partners' addresses")
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
