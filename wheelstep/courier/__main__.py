"""Start, signals and wiring of one courier."""

from __future__ import annotations

import asyncio
import functools
import gc
import logging
import os
import signal
import sys
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

import aiohttp

from wheelstep import interface as api
from wheelstep.courier.client_server import ClientServer
from wheelstep.courier.config import Address, Config, ConfigError, load
from wheelstep.courier.core import Core
from wheelstep.courier.invariants import Invariant
from wheelstep.courier.leaving import LEAVE_S, deafen, leave
from wheelstep.courier.listing import entries
from wheelstep.courier.notices import Notices
from wheelstep.courier.opening import account, obtain, open_console, open_patiently, recorder
from wheelstep.courier.spread import callers, longest_s
from wheelstep.courier.wall_clock import clock
from wheelstep.courier.watch import Watch
from wheelstep.journal import Journal

if TYPE_CHECKING:  # what is off is not imported
    from wheelstep.fleet.daemon import FleetDaemon
    from wheelstep.fleet.settings import Fleet
    from wheelstep.operator import Operator
    from wheelstep.shards.daemon import ShardDaemon
    from wheelstep.upgrade.source import HandoverSource

_FIRST_LIST_S = 0.2  # the agent beside the courier answers at once (PROTOCOL, 'Discovery') unless discovery is down

log = logging.getLogger(__name__)


async def serve(config: Config, renewed: asyncio.Event, operator: Operator | None = None,
                operator_file: str | None = None) -> None:
    """Run one courier until SIGTERM; `renewed` is set when its configuration is to be read again."""
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, renewed.set)
    terminated = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, terminated.set)
    if config.console is None:
        journal, target, console = await open_patiently(config, operator), None, None
    else:
        console = await open_console(config.console)
        if (got := await obtain(config, operator, terminated)) is None:
            console.stop()
            return
        journal, target = got
    fleet: FleetDaemon | ShardDaemon | None = None
    if operator is not None and operator.fleet is not None:
        fleet = join(config, operator.fleet, journal)
    else:  # messages of a fleet go to other machines, by the wall clocks of all
        clock.follow(journal.marks, journal.mark)
    core = Core(config if fleet is None else fleet.config, journal if fleet is None else fleet.kept)
    if operator is not None:
        core.recorder, core.account = recorder(operator, config), account(operator, config)
    desk, front, find = (core, None, None) if fleet is None else fleet.join(core)
    server = ClientServer(desk, core.ordered, config.sockets // 3, find, keep=console is not None, front=front)
    server.unanswered = functools.partial(core.invariants.violated, Invariant.ANSWERED)
    source: HandoverSource | None = None
    if console is not None:
        from wheelstep.console.figures import Figures
        core.figures, console.desk = Figures(), core

    def again() -> None:
        if fleet is not None and operator_file is not None:
            reread(operator_file, fleet)

    async with aiohttp.ClientSession(auto_decompress=False, trust_env=False) as http:
        core.notices = Notices(http, config.discovery, core.answered)
        seq, rows = config.known.get("seq", 0), entries(config.known, config.names)
        if target is not None and target.transferred.rows:
            seq, rows = target.transferred.seq, target.transferred.rows
        watch = Watch(config.discovery, config.names, seq if isinstance(seq, int) else 0, core.listed,
                      callers(config.settings), config.seed, longest_s(config.settings))
        watches = fleet is None or not fleet.lists  # else the fleet tells which endpoints there are
        if watches:
            core.listed(api.ListKind.RESTORED, rows)
        async with asyncio.TaskGroup() as group:  # a task that dies ends the process with its traceback
            tasks = [group.create_task(work) for work in
                     (core.notices.run(), core.outlet.sweep(), server.sweep(), journal.compact_for_good(),
                      follow_config(config, renewed, watch, core.notices, core=core, again=again),
                      *([watch.run()] if watches else []))]
            if core.account is not None:
                tasks.append(group.create_task(core.account.run(core.gauge)))
                watch.account = core.account
            if target is None and watches:  # what is restored may not go to an endpoint that has left the list since
                await watch.told(_FIRST_LIST_S)
            if fleet is not None:
                fleet.restore()
            else:
                calls, settling = (target.transferred.calls, target.transferred.settling) if target else ((), None)
                core.restore(journal.marks, journal.messages.values(), calls, settling)
            gc.freeze()  # what was restored lives long: a collection that walked it all would stop the loop
            port = await server.start(config.listen, target.transferred.listener if target is not None else None)
            if target is not None:
                await target.go_on(core, server)
            if console is not None:
                from wheelstep.upgrade.source import HandoverSource  # noqa: F811

                def close() -> None:
                    for task in tasks:
                        task.cancel()
                    journal.close()
                source = HandoverSource(config.state, core, server, lambda: watch.seq, close,
                                        target.still_out if target is not None else list)
                source.start()
            if fleet is not None:
                await fleet.start()
                tasks.append(group.create_task(fleet.run()))
            core.ready = True
            log.info("%s serves on %s:%d, %d messages restored; %d slots, holds %d, %d descriptors",
                     config.name, config.listen.host, port, len(journal.messages), config.settings.slots,
                     config.settings.hold_limit, config.sockets)
            await terminated.wait()
            if source is not None:
                source.leave()
            if source is not None and source.given:
                await source.finish(LEAVE_S)
                log.info("stopped after a hand-over; invariants violated: %s", core.invariants.summary())
            else:
                await leave(core, server, fleet.leave() if fleet is not None else None)
            if fleet is not None:
                await fleet.close()
            for task in tasks:
                task.cancel()
            if console is not None:
                console.stop()
            if source is not None:
                source.stop()
    if core.recorder is not None:
        core.recorder.close()
    if source is None or not source.given:
        journal.close()
    deafen()


def join(config: Config, found: Fleet, journal: Journal) -> FleetDaemon | ShardDaemon:
    """The fleet that the operator's file describes. Raises `ConfigError`."""
    if config.console is not None:
        raise ConfigError("console: given beside fleet.on = true; expected one of them: a fleet's courier is replaced "
                          "by moving its parts")
    if found.part.shards.on:
        from wheelstep.shards.daemon import ShardDaemon
        return ShardDaemon(config, found, journal)
    from wheelstep.fleet.daemon import FleetDaemon
    return FleetDaemon(config, found, journal)


def reread(path: str, fleet: FleetDaemon | ShardDaemon) -> None:
    """The operator's file again: its contracts change. One that can't be used changes nothing."""
    from wheelstep.operator import OperatorError
    from wheelstep.operator import load as load_operator
    try:
        found = load_operator(path).fleet
    except OperatorError as error:
        log.warning("the new operator's file is not used: %.300s", " ".join(str(error).split()))
        return
    if found is not None:
        fleet.renew(found)


class Moves(Protocol):
    """What has its place at discovery."""

    def move(self, discovery: Address) -> None:
        """It is there from now on."""


async def follow_config(config: Config, renewed: asyncio.Event, *places: Moves,
                        heeded: Callable[[], None] = lambda: None, core: Core | None = None,
                        again: Callable[[], None] = lambda: None) -> None:
    """Read the file again whenever it is said to be new. One that can't be used changes nothing."""
    discovery, raw = config.discovery, config.raw
    while True:
        await renewed.wait()
        renewed.clear()
        again()
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
        path = operator_file or os.environ.get("UMBERCHUTE_OPERATOR")
        if path:
            from wheelstep.operator import OperatorError
            from wheelstep.operator import load as load_operator
            try:
                operator = load_operator(path)
            except OperatorError as error:
                raise ConfigError(str(error)) from error
        if workers is None and operator is not None:
            workers = operator.workers.count
        if workers:
            from wheelstep.workers.start import supervise
            return asyncio.run(supervise(load(os.environ), renewed, operator, workers, operator_file))
        asyncio.run(serve(load(os.environ), renewed, operator, path))
    except ConfigError as error:
        print(f"courier: {' '.join(str(error).split())}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
