"""A message's deadline passes while its answer arrives, on real sockets: both fall into the same turn of the event
loop.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import threading
import time
from pathlib import Path

import pytest
from loopback import LIMIT_S, host, run
from test_core import configured

from wheelstep import interface as api
from wheelstep.courier.core import Core
from wheelstep.courier.listing import entries
from wheelstep.journal import Journal, StoredMessage

REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


class FakeNotifications:
    """Stands in for the sender of notifications: records what is owed."""

    def __init__(self) -> None:
        self.owed: dict[str, str] = {}

    def enqueue(self, message: str, outcome: str, retry_ms: int) -> None:
        """Record the end of a message."""
        self.owed[message] = outcome


class BlockingEndpoint(threading.Thread):
    """An endpoint on its own thread that answers each call when told to, also while the event loop is blocked."""

    def __init__(self) -> None:
        super().__init__(daemon=True)
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.asked, self.may_answer, self.answered = threading.Event(), threading.Event(), threading.Event()

    def run(self) -> None:
        """Serve each connection on a thread of its own."""
        while True:
            threading.Thread(target=self._serve, args=(self._listener.accept()[0],), daemon=True).start()

    def _serve(self, peer: socket.socket) -> None:
        with contextlib.suppress(OSError):  # a cancelled call
            while peer.recv(65536):
                self.asked.set()
                self.may_answer.wait(LIMIT_S)
                peer.sendall(REPLY)
                self.answered.set()


@pytest.mark.parametrize(("late_s", "cls", "end"), [(0.02, "once", "given_up"), (0.02, "ordered", "handed_back"),
                                                    (-0.7, "once", None), (-0.7, "ordered", None)])
def test_200_read_after_the_deadline_is_not_a_delivery(tmp_path: Path, late_s: float, cls: str,
                                                       end: str | None) -> None:
    """Guards against a 200 that is read after the deadline and counts as a delivery: no notification was sent, and
    the next message of the key was sent at once."""
    async def scenario() -> None:
        config, endpoint = configured(tmp_path), BlockingEndpoint()
        endpoint.start()
        journal, ends = Journal(config.state, config.disk_bytes), FakeNotifications()
        core = Core(config, journal)
        core.notices = ends
        core.listed(api.ListKind.WHOLE, entries({"hosts": [host("e0", endpoint.address)]}, config.names))
        due_s = time.time() + 1.5
        for name, left_s in (("m1", 1.5), ("m2", 20.0))[:2 if cls == "ordered" else 1]:
            core.take(StoredMessage(name, cls, 7, int((time.time() + left_s) * 1000), key="k", token=name))
            core.begin(name)
        await asyncio.to_thread(endpoint.asked.wait, LIMIT_S)
        endpoint.asked.clear()

        def block_loop() -> None:  # the event loop reads nothing and fires no timer until both are due
            time.sleep(max(0.0, due_s + late_s - time.time()))
            endpoint.may_answer.set()
            assert endpoint.answered.wait(LIMIT_S)

        asyncio.get_running_loop().call_soon(block_loop)
        async with asyncio.timeout(LIMIT_S):
            while (held := journal.messages.get("m1")) is not None and held.notice is None:
                await asyncio.sleep(0.001)
            assert ends.owed.get("m1") == end
            if end is not None and cls == "ordered":
                await asyncio.sleep(4 * config.settings.order_settle_us / 1e6)
                assert not endpoint.asked.is_set()  # m1 is complete only once its notification is answered
                core.answered(["m1"])
            if cls == "ordered":
                while not endpoint.asked.is_set():
                    await asyncio.sleep(0.001)
    run(scenario())
