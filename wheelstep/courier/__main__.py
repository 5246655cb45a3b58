"""Start, signals and wiring of one courier."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

import aiohttp

from wheelstep import interface as api
from wheelstep.courier.config import Address, Config, ConfigError, load
from wheelstep.courier.core import Core
from wheelstep.courier.inlet import Inlet
from wheelstep.courier.platform import Notices, Watch, entries
from wheelstep.courier.spread import callers
from wheelstep.journal import FolderInUseError, Journal
from wheelstep.journal.codec import FormatError
from wheelstep.journal.journal import Sync

if TYPE_CHECKING:  # what is off is not imported
    from wheelstep.account.writer import Account
    from wheelstep.console.front import Front
    from wheelstep.operator import Operator
    from wheelstep.recording.writer import Recorder
    from wheelstep.upgrade.giver import Giver
    from wheelstep.upgrade.taker import Taker

_WORK_ON_S = 2.0  # from SIGTERM until no new attempt starts
_CLOSE_S = 2.8  # until clients' connections are ended
_FIRST_LIST_S = 0.2  # the agent beside the courier answers at once, unless discovery is down
_LEAVE_S = 3.2  # until calls still under way are left to the next process

log = logging.getLogger(__name__)


async def serve(config: Config, renewed: asyncio.Event, operator: Operator | None = None) -> None:
    """Run one courier until SIGTERM; `renewed` is set when its configuration is to be read again."""
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, renewed.set)
    terminated = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, terminated.set)
    if config.console is None:
        journal, taker, console = open_journal(config, operator), None, None
    else:
        console = await open_console(config.console)
        if (got := await obtain(config, operator, terminated)) is None:
            console.stop()
            return
        journal, taker = got
    core = Core(config, journal)
    if operator is not None:
        core.recorder, core.account = recorder(operator, config), account(operator, config)
    inlet = Inlet(core, core.ordered, config.sockets // 3, keep=console is not None)
    giver: Giver | None = None
    if console is not None:
        from wheelstep.console.figures import Figures
        core.figures, console.desk = Figures(), core
    async with aiohttp.ClientSession(auto_decompress=False, trust_env=False) as http:
        core.notices = Notices(http, config.discovery, core.answered)
        seq, rows = config.known.get("seq", 0), entries(config.known, config.names)
        if taker is not None and taker.taken.rows:
            seq, rows = taker.taken.seq, taker.taken.rows
        watch = Watch(http, config.discovery, config.names, seq if isinstance(seq, int) else 0, core.listed,
                      callers(config.settings), config.seed)
        core.listed(api.ListKind.RESTORED, rows)
        async with asyncio.TaskGroup() as group:  # a task that dies ends the process with its traceback
            tasks = [group.create_task(work) for work in
                     (core.notices.run(), watch.run(), core.outlet.sweep(), inlet.sweep(),
                      journal.compact_for_good(), follow_config(config, renewed, watch, core.notices, core=core))]
            if core.account is not None:
                tasks.append(group.create_task(core.account.run(core.gauge)))
                watch.account = core.account
            if taker is None:  # what is restored may not go to an endpoint that the list has lost meanwhile
                await watch.told(_FIRST_LIST_S)
            core.restore(journal.marks, journal.messages.values(), taker.taken.calls if taker is not None else ())
            gc.freeze()  # what was restored lives long: a collection that walked it all would stop the loop
            port = await inlet.start(config.listen, taker.taken.listener if taker is not None else None)
            if taker is not None:
                await taker.go_on(core, inlet)
            if console is not None:
                from wheelstep.upgrade.giver import Giver  # noqa: F811

                def close() -> None:
                    for task in tasks:
                        task.cancel()
                    journal.close()
                giver = Giver(config.state, core, inlet, lambda: watch.seq, close)
                giver.start()
            core.ready = True
            log.info("%s serves on %s:%d, %d messages restored; %d slots, holds %d, %d descriptors",
                     config.name, config.listen.host, port, len(journal.messages), config.settings.slots,
                     config.settings.hold_limit, config.sockets)
            await terminated.wait()
            if giver is not None and giver.given:
                await core.outlet.finish(_LEAVE_S)
            else:
                await leave(core, inlet)
            for task in tasks:
                task.cancel()
            if console is not None:
                console.stop()
            if giver is not None:
                giver.stop()
    if core.recorder is not None:
        core.recorder.close()
    if giver is None or not giver.given:
        journal.close()


class _Starting:
    """What operators hear before the courier is there."""

    ready = False

    def telemetry(self) -> str:
        from wheelstep.console.figures import Figures, Gauges, render
        return render(Figures(), Gauges(0, 0, 0), ())

    def exclude(self, endpoint: str) -> bool:
        return False

    def include(self, endpoint: str) -> bool:
        return False


async def open_console(address: Address) -> Front:
    """Where operators call."""
    from wheelstep.console.front import Front
    front = Front(_Starting())
    try:
        await front.start(address)
    except OSError as error:
        raise ConfigError(f"console {address.host}:{address.port}: {error}") from error
    return front


async def obtain(config: Config, operator: Operator | None,
                 terminated: asyncio.Event) -> tuple[Journal, Taker | None] | None:
    """The journal, from the process that has it if there is one; None if this one is to end meanwhile."""
    try:
        return open_journal(config, operator), None
    except ConfigError as error:
        if not isinstance(error.__cause__, FolderInUseError):
            raise
    from wheelstep.upgrade.taker import take_over
    found: list[Journal] = []

    def free() -> bool:
        try:
            found.append(open_journal(config, operator))
        except ConfigError as error:
            if not isinstance(error.__cause__, FolderInUseError):
                raise
        return bool(found)
    taking = asyncio.create_task(take_over(config.state, free))
    ending = asyncio.create_task(terminated.wait())
    await asyncio.wait({taking, ending}, return_when=asyncio.FIRST_COMPLETED)
    ending.cancel()
    if not taking.done():
        taking.cancel()
        return None
    taker = taking.result()
    return (found[0] if found else open_journal(config, operator)), taker


def open_journal(config: Config, operator: Operator | None) -> Journal:
    """Raises `ConfigError` where the folder can't be used."""
    if (config.state / "layout.json").exists():  # guards what workers owe against a courier that would not see it
        raise ConfigError(f"{config.state}: laid out for workers; expected `umberchute serve --workers N`, or "
                          f"`umberchute workers merge {config.state}` first")
    part = operator.journal if operator is not None else None
    try:
        if part is None:
            return Journal(config.state, config.disk_bytes)
        return Journal(config.state, config.disk_bytes, Sync(part.sync), part.sync_within / 1e6,
                       part.segment_kb * 1024)
    except (FolderInUseError, FormatError, OSError) as error:
        raise ConfigError(f"{config.state}: {error}") from error


def recorder(operator: Operator, config: Config) -> Recorder | None:
    """Where the operator's file asks for a record of what is handed in."""
    recording = operator.recording
    if not recording.on or recording.file is None:
        return None
    from wheelstep.recording.format import Head
    from wheelstep.recording.writer import Recorder
    hosts = config.known.get("hosts") or []
    head = Head(config.name, int(time.time() * 1000), dict(config.raw_settings), list(hosts))
    return Recorder(recording.file, head, int(recording.max_mb * 1_000_000), recording.bodies)


def account(operator: Operator, config: Config) -> Account | None:
    """Where the operator's file asks for the account's lines."""
    if not operator.account.on:
        return None
    from wheelstep.account.writer import Account
    classes = dict(zip(config.names.classes, config.settings.classes, strict=True))
    return Account(config.name, classes, config.settings.decay)


class Moves(Protocol):
    """What has its place at discovery."""

    def move(self, discovery: Address) -> None:
        """It is there from now on."""


async def follow_config(config: Config, renewed: asyncio.Event, *places: Moves,
                        heeded: Callable[[], None] = lambda: None, core: Core | None = None) -> None:
    """Read the file again whenever it is said to be new. One that can't be used changes nothing."""
    discovery, raw = config.discovery, config.raw
    while True:
        await renewed.wait()
        renewed.clear()
        from wheelstep.renewal.files import check
        try:
            fresh = load(os.environ, again=True)
            check(fresh.raw, raw)
        except (ConfigError, ValueError) as error:
            log.warning("the new configuration is not used: %.300s", " ".join(str(error).split()))
            if core is not None and core.figures is not None:
                core.figures.load_errors += 1
            continue
        now, raw = fresh.discovery, fresh.raw
        if core is not None:
            core.renew(fresh)
            if core.figures is not None:
                core.figures.loads += 1
        log.info("configuration read again: discovery at %s:%d", now.host, now.port)
        if now != discovery:
            discovery = now
            for place in places:
                place.move(now)
        heeded()


async def leave(core: Core, inlet: Inlet) -> None:
    """Clients hear 503 from the health check, and go on being served on the connections that they have."""
    began = asyncio.get_running_loop().time()
    core.ready = False

    async def until(after_s: float) -> None:
        await asyncio.sleep(max(0.0, began + after_s - asyncio.get_running_loop().time()))

    await until(_WORK_ON_S)
    core.stop()
    await core.outlet.finish(_CLOSE_S - _WORK_ON_S)
    inlet.closing = True
    await until(_CLOSE_S)
    await inlet.stop()
    await core.outlet.finish(max(0.0, began + _LEAVE_S - asyncio.get_running_loop().time()))
    log.info("stopped")


def main(operator_file: str | None = None, workers: int | None = None) -> int:
    """Run the courier that the environment describes, with the operator's file if one is named here or by
    `UMBERCHUTE_OPERATOR`; with so many workers, if any, in place of what the file says."""
    logging.basicConfig(stream=sys.stderr, level=logging.INFO,
                        format="%(asctime)s %(levelname)s %(name)s %(message)s")
    logging.getLogger("aiohttp").setLevel(logging.ERROR)
    renewed = asyncio.Event()
    signal.signal(signal.SIGHUP, lambda *_: renewed.set())  # by default it would kill; before anything slow
    operator: Operator | None = None
    try:
        if path := operator_file or os.environ.get("UMBERCHUTE_OPERATOR"):
            from wheelstep.operator import OperatorError
            from wheelstep.operator import load as load_operator
            try:
                operator = load_operator(path)
            except OperatorError as error:
                raise ConfigError(str(error)) from error
        if workers is None and operator is not None:
            workers = operator.workers.count
        if workers:
            from wheelstep.workers.supervisor import supervise
            return asyncio.run(supervise(load(os.environ), renewed, operator, workers, operator_file))
        asyncio.run(serve(load(os.environ), renewed, operator))
    except ConfigError as error:
        print(f"courier: {' '.join(str(error).split())}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
