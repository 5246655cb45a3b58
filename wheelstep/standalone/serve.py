"""Startup, signal handling, wiring and reloads of a standalone courier."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path

from wheelstep import interface as api
from wheelstep.courier.call import Item
from wheelstep.courier.client_server import ClientServer
from wheelstep.courier.config import Address, Config, ConfigError, from_data
from wheelstep.courier.core import Core
from wheelstep.courier.memory_budget import MemoryBudget
from wheelstep.courier.notifier import Notifier
from wheelstep.courier.opening import open_journal
from wheelstep.courier.rows import Row
from wheelstep.courier.shutdown import ignore_signals, leave
from wheelstep.courier.starting import run_event_loop
from wheelstep.standalone.ends import OutcomeStore
from wheelstep.standalone.folder import EndpointFolder, merge_endpoints
from wheelstep.standalone.front import Policy, StandaloneClientApi, is_mirror_copy, tenant_of
from wheelstep.standalone.model import FileError, Standalone, load
from wheelstep.standalone.rows import changes, rows_of
from wheelstep.standalone.settings import settings
from wheelstep.standalone.signing import KeyFileError, Signer, read_signers
from wheelstep.standalone.told import OutcomeReporter

_SWITCH_INTERVAL_S = 0.0005  # bounds the loop's wait for a thread that reads a file (default: 5 ms)
_ROWS_PER_TURN = 100  # passed to the core in one turn of the loop
_SCAN_INTERVAL_S = 0.5  # between scans of the folder of endpoints
_RESTART_ONLY = ("name", "listen", "state", "endpoints_from", "notify", "limits", "rules")  # not changed by a reload

log = logging.getLogger("wheelstep.standalone")


def config_of(file_config: Standalone) -> Config:
    """Return the core's configuration and create the state folder. Raises `ConfigError`."""
    try:
        file_config.state.mkdir(parents=True, exist_ok=True)
    except OSError as error:
        raise ConfigError(f"state: {error}; expected a folder that can be created") from error
    return from_data(settings(file_config), file_config.state)


def signers_of(path: Path, file_config: Standalone) -> dict[str, Signer]:
    """Return the signers of the destinations that have keys. Raises `FileError`."""
    try:
        return read_signers({name: part.sign for name, part in file_config.destinations.items() if part.sign},
                            path.parent, os.environ)
    except KeyFileError as error:
        raise FileError(f"{path}: {error}") from error


@dataclass(frozen=True, slots=True)
class _PreparedReload:
    """The result of reading the file or folder, prepared and not yet applied."""

    file_config: Standalone
    config: Config
    policy: Policy
    signers: dict[str, Signer]
    rows: list[Row]
    changed: list[Row]


class Courier:
    """One standalone courier and its current configuration."""

    def __init__(self, path: Path, file_config: Standalone) -> None:
        self._path, self._file_config = path, file_config
        self._signers = signers_of(path, file_config)
        self._folder: EndpointFolder | None = None
        self._rows: list[Row] = []
        self._reload_lock = asyncio.Lock()
        self.loads = 0  # successful reloads at SIGHUP since the start
        self._config = config_of(file_config)

    async def serve(self, reload_requested: asyncio.Event) -> None:
        """Run until SIGTERM or SIGINT; reload when the event is set. Raises `ConfigError`."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, reload_requested.set)
        terminated = asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, terminated.set)
        config = self._config
        journal = open_journal(config, None)
        core = self._core = Core(config, journal)
        client_api = self._client_api = StandaloneClientApi(Policy.of(self._file_config), core)
        reporter = OutcomeReporter(client_api, core)
        try:
            outcomes = client_api.outcomes = reporter.outcomes = OutcomeStore(
                config.state, self._file_config.limits.kept_ends, reporter.confirm)
        except OSError as error:
            raise ConfigError(f"{config.state / OutcomeStore.FILE}: {error}") from error
        core.notices, core.notifies_deliveries = reporter, True
        self._update_signing()
        for name in journal.messages:
            if not is_mirror_copy(name):
                client_api.tenants.hold(tenant_of(name))
        server = ClientServer(core, core.ordered, config.max_client_connections, client_api=client_api,
                              memory=MemoryBudget(config.memory_bytes, journal))
        async with asyncio.TaskGroup() as group:
            if self._file_config.notify is not None:
                reporter.notices = Notifier(Address.parse(self._file_config.notify), reporter.confirm)
            if self._file_config.endpoints_from is not None:
                self._folder = EndpointFolder(self._file_config.endpoints_from)
                for text in self._folder.scan()[1]:
                    log.error("%s", text)
            first = self._prepare(lambda: self._file_config)
            self._rows = first.rows
            core.listed(api.ListKind.WHOLE, first.rows)
            client_api.use(first.policy)
            core.endpoints.knows_list = True
            core.restore(journal.marks, journal.messages.values())
            gc.freeze()  # restored messages are long-lived: a collection that traverses them all would stall the loop
            tasks = [group.create_task(work) for work in (
                core.endpoint_client.sweep(), server.sweep(), journal.run_compaction(),
                self._reload_on_signal(reload_requested))]
            try:
                port = await server.start(config.listen)
            except OSError as error:
                raise ConfigError(f"listen: {self._file_config.listen}: {error}") from error
            if self._folder is not None:
                tasks.append(group.create_task(self._watch(self._folder)))
            if reporter.notices is not None:
                tasks.append(group.create_task(reporter.notices.run()))
            core.ready = True
            log.info("%s serves on %s:%d, %d messages restored", config.name, config.listen.host, port,
                     len(journal.messages))
            await terminated.wait()
            await leave(core, server)
            for task in tasks:
                task.cancel()
        outcomes.close()
        journal.close()
        ignore_signals()

    async def _reload(self, read: Callable[[], Standalone]) -> _PreparedReload:
        """Read and prepare a reload in a thread, then apply it on the loop. Raises `FileError` or `ConfigError`."""
        async with self._reload_lock:
            gc.disable()  # a collection in the thread would stall the loop while it traverses the held messages
            interval = sys.getswitchinterval()
            sys.setswitchinterval(_SWITCH_INTERVAL_S)
            try:
                reload = await asyncio.to_thread(self._prepare, read)
            finally:
                sys.setswitchinterval(interval)
                gc.enable()
            if reload.file_config is not self._file_config:
                for name in _RESTART_ONLY:
                    if getattr(reload.file_config, name) != getattr(self._file_config, name):
                        log.warning("%s: %s has changed, which takes effect at the next start only", self._path, name)
                self._core.renew(reload.config)
            self._file_config, self._signers, self._rows = reload.file_config, reload.signers, reload.rows
            for at in range(0, len(reload.changed), _ROWS_PER_TURN):
                self._core.listed(api.ListKind.CHANGES, reload.changed[at:at + _ROWS_PER_TURN])
                await asyncio.sleep(0)
            self._client_api.use(reload.policy)
            self._update_signing()
            return reload

    def _prepare(self, read: Callable[[], Standalone]) -> _PreparedReload:
        """Do the slow part of a reload, without changing any state that the loop uses."""
        file_config = read()
        signers = signers_of(self._path, file_config) if file_config is not self._file_config else self._signers
        config = from_data(settings(file_config), self._config.state)
        if config.names.kinds != self._config.names.kinds:
            raise ConfigError(f"{self._path}: destination: a combination of batch and routes_apart that none had at "
                              "the start needs a restart; expected one of those in use")
        merged = file_config if self._folder is None else merge_endpoints(file_config, self._folder.parts)
        rows = rows_of(merged, config.names.kinds)
        return _PreparedReload(file_config, config, Policy.of(merged), signers, rows, changes(self._rows, rows))

    async def _watch(self, folder: EndpointFolder) -> None:
        """Apply changes in the folder of endpoints until cancelled."""
        while True:
            await asyncio.sleep(_SCAN_INTERVAL_S)
            changed, problems = await asyncio.to_thread(folder.scan)
            for text in problems:
                log.error("%s", text)
            if changed:
                await self._reload(lambda: self._file_config)
                log.info("%s: endpoints have changed", folder.path)

    def _update_signing(self) -> None:
        """Install the signature headers in the endpoint client, if any destination signs."""
        self._core.endpoint_client.sign = self._signature_headers if self._signers else None

    def _signature_headers(self, endpoint: str, item: Item) -> Sequence[tuple[str, str]]:
        signer = self._signers.get(endpoint.partition("/")[0])
        return signer.headers(item.message, item.body, int(time.time())) if signer is not None else ()

    async def _reload_on_signal(self, reload_requested: asyncio.Event) -> None:
        """Read the file again at each SIGHUP. An invalid file is logged and changes nothing."""
        while True:
            await reload_requested.wait()
            reload_requested.clear()
            try:
                file_config = (await self._reload(lambda: load(self._path))).file_config
            except (FileError, ConfigError) as error:
                log.error("reload failed, the previous configuration stays in use: %s", " ".join(str(error).split()))
                continue
            self.loads += 1
            log.info("%s read again: %d destinations, %d routes, %d tenants", self._path, len(file_config.destinations),
                     len(file_config.routes), len(file_config.tenants))


def main(file: str) -> int:
    """Run the courier of the file. Returns 0, or 2 after a line on stderr if the file can't be used."""
    logging.basicConfig(stream=sys.stderr, level=logging.INFO,
                        format="%(asctime)s %(levelname)s %(name)s %(message)s")
    reload_requested = asyncio.Event()
    signal.signal(signal.SIGHUP, lambda *_: reload_requested.set())
    path, failure = Path(file), ""
    try:
        run_event_loop(Courier(path, load(path)).serve(reload_requested))
    except* (FileError, ConfigError) as group:
        error: BaseException = group
        while isinstance(error, BaseExceptionGroup):
            error = error.exceptions[0]
        failure = " ".join(str(error).split())
    if failure:
        print(f"umberchute: {failure}", file=sys.stderr)
    return 2 if failure else 0
