"""The supervisor: starts the workers, watches discovery for all of them, and performs the actions of `ownership`."""

from __future__ import annotations

import asyncio
import json
import logging
import os
import signal
import socket
import sys
from collections.abc import Iterable, Sequence
from typing import TYPE_CHECKING, Any

from wheelstep import interface as api
from wheelstep.courier.address_owners import AddressOwners
from wheelstep.courier.config import Address, Config
from wheelstep.courier.listing import entries
from wheelstep.courier.reload import follow_config
from wheelstep.courier.rows import Row, write_rows
from wheelstep.courier.shutdown import ignore_signals
from wheelstep.courier.spread import calling_couriers, max_retry_s
from wheelstep.courier.watch import Watch
from wheelstep.workers import ownership
from wheelstep.workers.frames import FrameConnection
from wheelstep.workers.layout import Layout
from wheelstep.workers.ownership import WorkerPool, share_of

if TYPE_CHECKING:
    pass

_TICK_S = 0.1
_STOP_TIMEOUT_S = 3.4  # a worker that is still running after this is killed

log = logging.getLogger("wheelstep.workers")


class AllParkedError(Exception):
    """No worker is left, as each keeps crashing and is parked."""


class Supervisor:
    """Runs the worker processes of one courier. `listener` is the socket for clients, which the workers share;
    `sockets` the folder of the Unix sockets over which they forward to each other."""

    def __init__(self, config: Config, layout: Layout, pool: WorkerPool, listener: socket.socket, sockets: str,
                 operator_file: str | None) -> None:
        self._config, self._layout, self._pool = config, layout, pool
        self._listener, self._sockets, self._operator_file = listener, sockets, operator_file
        self._rows: dict[str, Row] = {info.endpoint: (info, address)
                                      for info, address in entries(config.known, config.names)}
        self._share_by_destination: dict[int, int] = {}
        self._processes: dict[int, asyncio.subprocess.Process] = {}
        self._controls: dict[int, FrameConnection] = {}
        self._discovery = config.discovery
        self._ready = False  # all shares were open once, and every worker knew where
        self._view_version = 0
        self._known_view: dict[int, int] = {}  # by worker: the version that it has acknowledged
        self._worker_ended = asyncio.Event()

    async def run(self, reload_requested: asyncio.Event) -> None:
        """Run until SIGTERM or SIGINT. `reload_requested`: set to have the configuration read again. Raises
        `AllParkedError`, in an exception group, once no worker is left."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, reload_requested.set)
        terminated = asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, terminated.set)
        seq = self._config.known.get("seq", 0)
        async with asyncio.TaskGroup() as self._group:
            watch = Watch(self._config.discovery, self._config.names, seq if isinstance(seq, int) else 0,
                          AddressOwners(self._on_list).listed, calling_couriers(self._config.settings),
                          self._config.seed, max_retry_s(self._config.settings))
            tasks = [self._group.create_task(work) for work in (
                self._tick(), watch.run(),
                follow_config(self._config, reload_requested, watch, self, on_applied=self._reload))]
            await terminated.wait()
            await self._stop_workers()
            for task in tasks:
                task.cancel()
        log.info("stopped")
        ignore_signals()

    # --- discovery list ---

    def _on_list(self, kind: api.ListKind, rows: list[Row]) -> None:
        if kind is not api.ListKind.CHANGES:
            self._rows.clear()
        for info, address in rows:
            if info.state is api.EndpointState.REMOVED:
                self._rows.pop(info.endpoint, None)
            else:
                self._rows[info.endpoint] = info, address
        for number, control in self._controls.items():
            mine = self._rows_of(number, rows)
            if mine or kind is not api.ListKind.CHANGES:
                control.send({"do": "list", "kind": kind.value, "rows": write_rows(mine)})
        self._publish()

    def _rows_of(self, number: int, rows: Iterable[Row]) -> list[Row]:
        mine = set(self._pool.shares_of(number))
        return [row for row in rows if self._share_of(row[0].destination) in mine]

    def _share_of(self, destination: int) -> int:
        if destination not in self._share_by_destination:
            self._share_by_destination[destination] = share_of(destination, self._layout.shares)
        return self._share_by_destination[destination]

    # --- workers ---

    async def _tick(self) -> None:
        while True:
            self._perform(self._pool.tick(asyncio.get_running_loop().time()))
            if self._pool.all_parked():
                raise AllParkedError("all workers are parked, as each keeps crashing")
            await asyncio.sleep(_TICK_S)

    def _perform(self, actions: Sequence[ownership.Action]) -> None:
        for action in actions:
            match action:
                case ownership.Start(number):
                    self._group.create_task(self._run_worker(number))
                case ownership.Open(number, shares):
                    self._send_open(number, shares)
                case ownership.Kill(number):
                    if (process := self._processes.get(number)) is not None and process.returncode is None:
                        process.kill()
                case ownership.Warn(text):
                    log.warning("%s", text)
                case ownership.Publish():
                    self._publish()

    async def _run_worker(self, number: int) -> None:
        """Run a worker's process from its start to its end."""
        ours, theirs = socket.socketpair(socket.AF_UNIX)
        description = {"number": number, "workers": len(self._pool.workers), "shares": self._layout.shares,
                "generation": self._layout.generation, "listener": self._listener.fileno(),
                "control": theirs.fileno(), "sockets": self._sockets, "operator": self._operator_file,
                "parent": os.getpid()}
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "wheelstep.workers.worker", str(number),
            pass_fds=(theirs.fileno(), self._listener.fileno()),
            env={**os.environ, "UMBERCHUTE_WORKER": json.dumps(description)})
        theirs.close()
        self._processes[number] = process
        control = FrameConnection(lambda head, body: self._on_worker_frame(number, head), lambda: None)
        await asyncio.get_running_loop().create_unix_connection(lambda: control, sock=ours)
        self._controls[number] = control
        if self._pool.stopping:
            control.send({"do": "leave"})
        control.send({"do": "discovery", "host": self._discovery.host, "port": self._discovery.port})
        self._send_view(control)
        # Shares are read only now, as some may have been assigned since its start (found by tests/test_ownership.py).
        self._send_open(number, self._pool.shares_of(number))
        code = await process.wait()
        control.close()
        del self._controls[number], self._processes[number]
        self._known_view.pop(number, None)
        if not self._pool.stopping:
            log.error("worker %d ended with %d", number, code)
        self._perform(self._pool.died(number, asyncio.get_running_loop().time()))
        self._worker_ended.set()

    def _send_open(self, number: int, shares: Sequence[int]) -> None:
        """Tell a worker to open shares. If it is not connected yet, `_run_worker` does so later."""
        if (control := self._controls.get(number)) is not None and shares:
            control.send({"do": "open", "shares": list(shares),
                          "rows": write_rows(self._rows_of(number, self._rows.values()))})

    def _on_worker_frame(self, number: int, head: dict[str, Any]) -> None:
        self._pool.heartbeat(number)
        match head["is"]:
            case "open":
                self._perform(self._pool.opened(number, int(head["share"])))
            case "view":
                self._known_view[number] = int(head["version"])
                self._check_ready()

    def _check_ready(self) -> None:
        """Serve from the moment on in which all shares are open and every worker knows the owners: one that does not
        would refuse messages for shares of the others."""
        if self._ready or not self._pool.all_open():
            return
        if any(self._known_view.get(number) != self._view_version for number in self._pool.running()):
            return
        self._ready = True
        log.info("%s serves on %s:%d with %d workers, %d shares", self._config.name, self._config.listen.host,
                 self._listener.getsockname()[1], len(self._pool.workers), self._layout.shares)
        self._publish()

    def _publish(self) -> None:
        self._view_version += 1
        for control in self._controls.values():
            self._send_view(control)

    def _send_view(self, control: FrameConnection) -> None:
        control.send({"do": "view", "version": self._view_version, "owners": self._pool.opened_by,
                      "ready": self._ready and not self._pool.stopping, "knows": bool(self._rows)})

    # --- reload and shutdown ---

    def move(self, discovery: Address) -> None:
        """Make the workers send their notices to another address from now on."""
        self._discovery = discovery
        for control in self._controls.values():
            control.send({"do": "discovery", "host": discovery.host, "port": discovery.port})

    def _reload(self) -> None:
        self._perform(self._pool.reload(asyncio.get_running_loop().time()))

    async def _stop_workers(self) -> None:
        self._pool.stop()
        self._publish()
        for control in self._controls.values():
            control.send({"do": "leave"})
        try:
            async with asyncio.timeout(_STOP_TIMEOUT_S):
                while self._processes:
                    self._worker_ended.clear()
                    await self._worker_ended.wait()
        except TimeoutError:
            for number, process in self._processes.items():
                log.error("worker %d did not stop in time: killed", number)
                process.kill()
