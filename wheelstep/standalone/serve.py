"""Start, signals and wiring of a standalone courier."""

from __future__ import annotations

import asyncio
import contextlib
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
from wheelstep.courier.notifier import Notifier
from wheelstep.courier.opening import open_journal
from wheelstep.courier.rows import Row
from wheelstep.courier.shutdown import ignore_signals, leave
from wheelstep.standalone.ends import Ends
from wheelstep.standalone.folder import Folder, merged
from wheelstep.standalone.front import Front, Policy, mirrored, tenant_of
from wheelstep.standalone.model import FileError, Standalone, load
from wheelstep.standalone.rows import changes, rows_of
from wheelstep.standalone.settings import settings
from wheelstep.standalone.signing import KeyFileError, Signer, read_signers
from wheelstep.standalone.told import Told

_SWITCH_S = 0.0005  # for so long the loop waits for a thread that reads a file (5 ms else)
_MOST_ROWS = 100  # told to the core in one turn of the loop
_LOOK_S = 0.5  # between looks at the folder of endpoints
_FIXED = ("name", "listen", "state", "endpoints_from", "notify", "limits", "rules")  # what a reload can't change

log = logging.getLogger("wheelstep.standalone")


def config_of(found: Standalone) -> Config:
    """What the daemon's parts are given. Raises `ConfigError` where the folder can't be made."""
    try:
        found.state.mkdir(parents=True, exist_ok=True)
    except OSError as error:
        raise ConfigError(f"state: {error}; expected a folder that can be made") from error
    return from_data(settings(found), found.state)


def signers_of(path: Path, found: Standalone) -> dict[str, Signer]:
    """Those of its destinations that sign; raises `FileError`."""
    try:
        return read_signers({name: part.sign for name, part in found.destinations.items() if part.sign}, path.parent,
                            os.environ)
    except KeyFileError as error:
        raise FileError(f"{path}: {error}") from error


@dataclass(frozen=True, slots=True)
class _Fresh:
    """What a reload brings, worked out and not yet in use."""

    found: Standalone
    config: Config
    policy: Policy
    signers: dict[str, Signer]
    rows: list[Row]
    changed: list[Row]


class Courier:
    """One standalone courier."""

    def __init__(self, path: Path, found: Standalone) -> None:
        self._path, self._found = path, found
        self._signers = signers_of(path, found)
        self._folder: Folder | None = None
        self._rows: list[Row] = []
        self._changing = asyncio.Lock()
        self.loads = 0  # files taken since the start
        self._config = config_of(found)

    async def serve(self, renewed: asyncio.Event) -> None:
        """Run until SIGTERM. Raises `ConfigError`."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, renewed.set)
        terminated = asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, terminated.set)
        config = self._config
        journal = open_journal(config, None)
        core = self._core = Core(config, journal)
        front = self._front = Front(Policy.of(self._found), core)
        told = Told(front, core)
        try:
            ends = front.ends = told.ends = Ends(config.state, self._found.limits.kept_ends, told.settled)
        except OSError as error:
            raise ConfigError(f"{config.state / Ends.FILE}: {error}") from error
        core.notices, core.notifies_deliveries = told, True
        self._sign()
        for name in journal.messages:
            if not mirrored(name):
                front.tenants.took(tenant_of(name))
        server = ClientServer(core, core.ordered, config.max_descriptors // 3, client_api=front)
        async with contextlib.AsyncExitStack() as stack, asyncio.TaskGroup() as group:
            if self._found.notify is not None:
                import aiohttp
                http = await stack.enter_async_context(aiohttp.ClientSession(auto_decompress=False, trust_env=False))
                told.notices = Notifier(http, Address.parse(self._found.notify), told.settled)
            if self._found.endpoints_from is not None:
                self._folder = Folder(self._found.endpoints_from)
                for text in self._folder.look()[1]:
                    log.error("%s", text)
            first = self._prepare(lambda: self._found)
            self._rows = first.rows
            core.listed(api.ListKind.WHOLE, first.rows)
            front.use(first.policy)
            core.endpoints.knows_list = True
            core.restore(journal.marks, journal.messages.values())
            gc.freeze()  # what was restored lives long: a collection that walked it all would stop the loop
            tasks = [group.create_task(work) for work in (
                core.endpoint_client.sweep(), server.sweep(), journal.run_compaction(), self._follow(renewed))]
            try:
                port = await server.start(config.listen)
            except OSError as error:
                raise ConfigError(f"listen: {self._found.listen}: {error}") from error
            if self._folder is not None:
                tasks.append(group.create_task(self._watch(self._folder)))
            if told.notices is not None:
                tasks.append(group.create_task(told.notices.run()))
            core.ready = True
            log.info("%s serves on %s:%d, %d messages restored", config.name, config.listen.host, port,
                     len(journal.messages))
            await terminated.wait()
            await leave(core, server)
            for task in tasks:
                task.cancel()
        ends.close()
        journal.close()
        ignore_signals()

    async def _change(self, read: Callable[[], Standalone]) -> _Fresh:
        """Read and work out off the loop what changes, then let it count. Raises `FileError`, `ConfigError`."""
        async with self._changing:
            gc.disable()  # a collection in the thread would stop the loop for as long as it walks what is held
            interval = sys.getswitchinterval()
            sys.setswitchinterval(_SWITCH_S)
            try:
                fresh = await asyncio.to_thread(self._prepare, read)
            finally:
                sys.setswitchinterval(interval)
                gc.enable()
            if fresh.found is not self._found:
                for name in _FIXED:
                    if getattr(fresh.found, name) != getattr(self._found, name):
                        log.warning("%s: %s changes at the next start only", self._path, name)
                self._core.renew(fresh.config)
            self._found, self._signers, self._rows = fresh.found, fresh.signers, fresh.rows
            for at in range(0, len(fresh.changed), _MOST_ROWS):
                self._core.listed(api.ListKind.CHANGES, fresh.changed[at:at + _MOST_ROWS])
                await asyncio.sleep(0)
            self._front.use(fresh.policy)
            self._sign()
            return fresh

    def _prepare(self, read: Callable[[], Standalone]) -> _Fresh:
        """All that takes long, without touching what the loop works with."""
        found = read()
        signers = signers_of(self._path, found) if found is not self._found else self._signers
        config = from_data(settings(found), self._config.state)
        if config.names.kinds != self._config.names.kinds:
            raise ConfigError(f"{self._path}: destination: another batch or routes_apart than any had at the start "
                              "needs a restart; expected those that are there")
        whole = found if self._folder is None else merged(found, self._folder.parts)
        rows = rows_of(whole, config.names.kinds)
        return _Fresh(found, config, Policy.of(whole), signers, rows, changes(self._rows, rows))

    async def _watch(self, folder: Folder) -> None:
        """Follow the folder of endpoints, for good."""
        while True:
            await asyncio.sleep(_LOOK_S)
            changed, told = await asyncio.to_thread(folder.look)
            for text in told:
                log.error("%s", text)
            if changed:
                await self._change(lambda: self._found)
                log.info("%s: endpoints have changed", folder.path)

    def _sign(self) -> None:
        """Calls are signed from now on, if any destination's are."""
        self._core.endpoint_client.sign = self._headers if self._signers else None

    def _headers(self, endpoint: str, item: Item) -> Sequence[tuple[str, str]]:
        signer = self._signers.get(endpoint.partition("/")[0])
        return signer.headers(item.message, item.body, int(time.time())) if signer is not None else ()

    async def _follow(self, renewed: asyncio.Event) -> None:
        """Read the file again at each SIGHUP. One that can't be used changes nothing and says where it fails."""
        while True:
            await renewed.wait()
            renewed.clear()
            try:
                found = (await self._change(lambda: load(self._path))).found
            except (FileError, ConfigError) as error:
                log.error("the new file is not used: %s", " ".join(str(error).split()))
                continue
            self.loads += 1
            log.info("%s read again: %d destinations, %d routes, %d tenants", self._path, len(found.destinations),
                     len(found.routes), len(found.tenants))


def main(file: str) -> int:
    """Run the courier that the file describes; 2 and one line where it can't be used."""
    logging.basicConfig(stream=sys.stderr, level=logging.INFO,
                        format="%(asctime)s %(levelname)s %(name)s %(message)s")
    renewed = asyncio.Event()
    signal.signal(signal.SIGHUP, lambda *_: renewed.set())
    path, failed = Path(file), ""
    try:
        asyncio.run(Courier(path, load(path)).serve(renewed))
    except* (FileError, ConfigError) as group:
        error: BaseException = group
        while isinstance(error, BaseExceptionGroup):
            error = error.exceptions[0]
        failed = " ".join(str(error).split())
    if failed:
        print(f"umberchute: {failed}", file=sys.stderr)
    return 2 if failed else 0
