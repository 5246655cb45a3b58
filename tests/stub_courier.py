"""Couriers that are none of ours, for the kit to catch: `python stub_courier.py WHAT`, in the RELAY_* environment.

`nothing` answers 202 and does nothing; `crowd` opens thousands of connections to the first endpoint first;
`spender` calls for a message that nobody handed in; `plain` delivers each message once, without a journal.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import sys
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.request import Request, urlopen

CONFIG = json.loads(Path(os.environ["RELAY_CONFIG"]).read_text())
HOSTS = CONFIG["known"]["hosts"]


def deliver(message: str, destination: int, body: bytes) -> None:
    dial = next(row["dial"] for row in HOSTS if row["block"] == destination)
    with contextlib.suppress(OSError):
        urlopen(Request(f"http://{dial}/inbox", body, {"X-Request-Id": message}, method="POST"), timeout=5).read()


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def _say(self, status: int) -> None:
        self.send_response(status)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def do_GET(self) -> None:
        self._say(200)

    def do_POST(self) -> None:
        body = self.rfile.read(int(self.headers["Content-Length"]))
        self._say(202)
        if sys.argv[1] == "spender":
            deliver("made-up", 1, b"x")
        elif sys.argv[1] == "plain":
            deliver(self.headers["X-Request-Id"], int(self.headers["X-Consignee"].removeprefix("dest=")), body)

    def log_message(self, *_: object) -> None:
        pass


async def crowd() -> None:
    host, port = HOSTS[0]["dial"].split(":")
    kept = []
    for _ in range(2_500):
        with contextlib.suppress(OSError):
            kept.append(await asyncio.open_connection(host, int(port)))


if __name__ == "__main__":
    if sys.argv[1] == "crowd":
        asyncio.run(crowd())
    where, number = os.environ["RELAY_LISTEN"].split(":")
    ThreadingHTTPServer.request_queue_size = 256
    ThreadingHTTPServer((where, int(number)), Handler).serve_forever()
