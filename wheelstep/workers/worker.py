"""A worker process: runs the shares that its supervisor assigns, serves clients, and forwards to other workers."""

from __future__ import annotations

import wheelstep.courier.without_tls  # noqa: F401  isort: skip

import asyncio
import contextlib
import ctypes
import json
import logging
import os
import signal
import socket
import sys
import time
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

from wheelstep import interface as api
from wheelstep.courier.admission import Admission
from wheelstep.courier.answer_corrections import AnswerCorrections
from wheelstep.courier.client_server import ClientServer
from wheelstep.courier.config import Address, Config, ConfigError, load
from wheelstep.courier.core import Core
from wheelstep.courier.memory_budget import MemoryBudget
from wheelstep.courier.notifier import Notifier
from wheelstep.courier.opening import account, open_journal, recorder
from wheelstep.courier.rows import Row, read_rows
from wheelstep.courier.shutdown import leave
from wheelstep.courier.starting import run_event_loop
from wheelstep.forwarding.client import RemoteAdmission
from wheelstep.journal import FolderInUseError, Journal
from wheelstep.workers.between import OwnerSide, forward_client
from wheelstep.workers.closed import ClosedAdmission
from wheelstep.workers.frames import FrameConnection
from wheelstep.workers.journals import Journals
from wheelstep.workers.layout import Layout
from wheelstep.workers.ownership import share_of
from wheelstep.workers.parts import worker_config

if TYPE_CHECKING:
    from wheelstep.operator import Operator

HEARTBEAT_S = 0.25
_MAX_BUFFERED_BYTES = 64 * 1024  # waiting for the supervisor; with more, no heartbeat is sent
_LOCK_TIMEOUT_S = 5.0  # an earlier process that has the folder may take this long to end
_PR_SET_PDEATHSIG = 1

log = logging.getLogger(__name__)


class Worker(ClosedAdmission):
    """One worker. To the client server, its `ready` tells whether the whole courier is ready. `paths`: Unix sockets of
    all workers, by number."""

    def __init__(self, config: Config, layout: Layout, number: int, paths: list[str],
                 operator: Operator | None) -> None:
        self._config, self._layout, self._number, self._operator = config, layout, number, operator
        self._share_by_endpoint: dict[str, int] = {}  # endpoint -> share
        self._journals = Journals(self._share_of, self._share_by_endpoint.get)
        self._core = Core(config, self._journals)
        self._core.classes.partitions = self._journals
        self._opening: set[int] = set()
        self._owners: dict[int, int] = {}
        self._clients = {other: forward_client(path) for other, path in enumerate(paths) if other != number}
        self._path = paths[number]
        self._share_by_destination: dict[int, int] = {}  # destination -> share, a cache
        self._leaving = asyncio.Event()
        self._knows_owners = asyncio.Event()
        self._control = FrameConnection(self._on_supervisor_frame, self._on_supervisor_lost)
        if operator is not None:
            self._core.recorder, self._core.account = recorder(operator, config), account(operator, config)

    # --- for the client server ---

    def find(self, destination: int) -> Admission:
        """Return what admits the messages of a destination: this worker's core, one that forwards to the owner, or one
        that refuses as the share is not open."""
        share = self._share_of(destination)
        if share in self._journals:
            return self._core
        owner = self._owners.get(share)
        return ClosedAdmission() if owner is None or owner == self._number else RemoteAdmission(self._clients[owner])

    def _share_of(self, destination: int) -> int:
        if destination not in self._share_by_destination:
            if len(self._share_by_destination) > 100_000:  # bounds the cache, as clients may name any number
                self._share_by_destination.clear()
            self._share_by_destination[destination] = share_of(destination, self._layout.shares)
        return self._share_by_destination[destination]

    def _own_core(self, destination: int) -> Core | None:
        return self._core if self._share_of(destination) in self._journals else None

    # --- frames of the supervisor ---

    def _on_supervisor_frame(self, head: dict[str, Any], body: bytes) -> None:
        match head["do"]:
            case "open":
                self._apply_list(api.ListKind.CHANGES, read_rows(head["rows"]))
                for number in head["shares"]:
                    if number not in self._opening and number not in self._journals:
                        self._opening.add(number)
                        self._group.create_task(self._open_share(number))
            case "list":
                self._apply_list(api.ListKind(head["kind"]), read_rows(head["rows"]))
            case "view":
                self._owners = {int(share): worker for share, worker in head["owners"].items()}
                self._core.endpoints.knows_list = self._core.endpoints.knows_list or head["knows"]
                self.ready = head["ready"] and not self._leaving.is_set()
                self._knows_owners.set()
                self._control.send({"is": "view", "version": head["version"]})
            case "discovery":
                self._notices.move(Address(head["host"], head["port"]))
            case "leave":
                self._leaving.set()

    def _on_supervisor_lost(self) -> None:
        """Exit unless leaving, as a worker that runs on would compete with those of a new supervisor."""
        if not self._leaving.is_set():
            log.error("lost the connection to the supervisor; exiting")
            os._exit(1)

    def _apply_list(self, kind: api.ListKind, rows: list[Row]) -> None:
        """Apply rows of the list. The supervisor sends only those of this worker's shares."""
        if kind is not api.ListKind.CHANGES:
            self._share_by_endpoint.clear()
        self._share_by_endpoint.update((info.endpoint, self._share_of(info.destination)) for info, _ in rows)
        self._core.listed(kind, rows)
        for info, _ in rows:
            if info.state is api.EndpointState.REMOVED:
                self._share_by_endpoint.pop(info.endpoint, None)

    async def _open_share(self, number: int) -> None:
        """Open a share. An error ends the process, and the supervisor decides what follows."""
        began = time.monotonic()
        journal = await self._open_journal(replace(
            self._config, state=self._layout.folder(self._config.state, number),
            disk_bytes=self._config.disk_bytes // self._layout.shares))
        self._journals.add(number, journal)
        self._opening.discard(number)
        self._core.restore(journal.marks, journal.messages.values(), owned_since_s=time.monotonic(),
                           partition=number)
        self._tasks.append(self._group.create_task(journal.run_compaction(), name=f"compaction of share {number}"))
        log.info("share %d is open after %d ms, %d messages restored", number, (time.monotonic() - began) * 1e3,
                 len(journal.messages))
        self._control.send({"is": "open", "share": number})

    async def _open_journal(self, config: Config) -> Journal:
        """Open a journal in another thread, so that other shares keep running. Waits a while for a locked folder."""
        config.state.mkdir(parents=True, exist_ok=True)
        until = time.monotonic() + _LOCK_TIMEOUT_S
        while True:
            try:
                return await asyncio.get_running_loop().run_in_executor(None, open_journal, config, self._operator)
            except ConfigError as error:
                if not isinstance(error.__cause__, FolderInUseError) or time.monotonic() > until:
                    raise
            await asyncio.sleep(0.05)

    async def _send_heartbeats(self) -> None:
        while True:
            if self._control.buffered_bytes < _MAX_BUFFERED_BYTES:  # so they don't pile up for a stalled supervisor
                self._control.send({"is": "beat"})
            await asyncio.sleep(HEARTBEAT_S)

    # --- the process ---

    async def run(self, control: socket.socket, listener: socket.socket) -> None:
        """Run until the supervisor sends `leave` or SIGTERM arrives."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._leaving.set)
        ordered = [cls.ordered for cls in self._config.settings.classes]
        server = ClientServer(self, dict(zip(self._config.names.classes, ordered, strict=True)),
                              self._config.max_client_connections, self.find,
                              memory=MemoryBudget(self._config.memory_bytes, self._journals))
        with contextlib.suppress(FileNotFoundError):
            os.unlink(self._path)
        async with asyncio.TaskGroup() as self._group:
            self._notices = self._core.notices = Notifier(self._config.discovery, self._core.answered)
            self._core.endpoint_client.on_contradiction = AnswerCorrections(self._core).apply
            peer_server = await loop.create_unix_server(lambda: OwnerSide(self._own_core).connection, self._path)
            self._tasks = [self._group.create_task(work) for work in (
                self._send_heartbeats(), server.sweep(), self._notices.run(), self._core.endpoint_client.sweep())]
            if self._core.account is not None:
                self._tasks.append(self._group.create_task(self._core.account.run(self._core.gauge)))
            await loop.create_unix_connection(lambda: self._control, sock=control)
            await self._knows_owners.wait()  # before, every client would be refused
            await server.start(self._config.listen, listener)
            await self._leaving.wait()
            self.ready = False
            await leave(self._core, server)
            peer_server.close()
            for client in self._clients.values():
                client.close()
            for task in self._tasks:
                task.cancel()
            self._control.close()
        if self._core.recorder is not None:
            self._core.recorder.close()
        self._journals.close()


def main() -> int:
    """Run the worker that `UMBERCHUTE_WORKER` describes; only a supervisor starts it. Returns the exit code: 0, or 1 if
    the supervisor has ended already."""
    description = json.loads(os.environ["UMBERCHUTE_WORKER"])
    # The kernel kills this process when its supervisor ends, even if it hangs or is stopped, so that it does not keep
    # its folders locked. Linux only; elsewhere the end of the control connection ends the process, later.
    with contextlib.suppress(OSError, AttributeError):
        ctypes.CDLL(None).prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)
    if os.getppid() != description["parent"]:
        return 1
    for number in (signal.SIGHUP, signal.SIGINT):  # the supervisor handles them
        signal.signal(number, signal.SIG_IGN)
    logging.basicConfig(stream=sys.stderr, level=logging.INFO,
                        format=f"%(asctime)s %(levelname)s worker {description['number']} %(name)s %(message)s")
    operator: Operator | None = None
    if description["operator"]:
        from wheelstep.operator import load as load_operator
        operator = load_operator(description["operator"])
    layout = Layout(description["generation"], description["shares"])
    config = worker_config(load(os.environ), description["number"], description["workers"])
    paths = [str(Path(description["sockets"]) / str(number)) for number in range(description["workers"])]
    control, listener = socket.socket(fileno=description["control"]), socket.socket(fileno=description["listener"])

    async def work() -> None:
        await Worker(config, layout, description["number"], paths, operator).run(control, listener)
    run_event_loop(work())
    return 0


if __name__ == "__main__":
    sys.exit(main())
