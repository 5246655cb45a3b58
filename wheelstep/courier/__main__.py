"""Entry point of a courier: start, signals, and how its parts are connected."""

from __future__ import annotations

import wheelstep.courier.without_tls  # noqa: F401  isort: skip

import asyncio
import faulthandler
import functools
import gc
import logging
import os
import signal
import sys
import time
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING

from wheelstep import interface as api
from wheelstep.courier.address_owners import AddressOwners
from wheelstep.courier.answer_corrections import AnswerCorrections
from wheelstep.courier.client_server import ClientServer
from wheelstep.courier.config import Config, ConfigError, load
from wheelstep.courier.core import Core
from wheelstep.courier.invariants import Invariant
from wheelstep.courier.listener import open_listener
from wheelstep.courier.listing import entries
from wheelstep.courier.memory_budget import MemoryBudget
from wheelstep.courier.notifier import Notifier
from wheelstep.courier.opening import account, obtain_journal, open_console, open_journal_with_retry, recorder
from wheelstep.courier.reload import follow_config, reload_operator_file
from wheelstep.courier.shutdown import SHUTDOWN_S, flush, ignore_signals, leave
from wheelstep.courier.spread import calling_couriers, max_retry_s
from wheelstep.courier.starting import ADDRESS_ERRORS, retry, retry_blocking, run_event_loop
from wheelstep.courier.task_supervision import keep_running
from wheelstep.courier.wall_clock import boot_id, clock
from wheelstep.courier.watch import Watch
from wheelstep.journal import Journal

if TYPE_CHECKING:  # imported at run time only where the feature is on
    from wheelstep.fleet.daemon import FleetDaemon
    from wheelstep.fleet.settings import FleetConfig
    from wheelstep.operator import Operator
    from wheelstep.shards.daemon import ShardDaemon
    from wheelstep.upgrade.owner_commands import OwnerCommands
    from wheelstep.upgrade.source import HandoverSource

# The agent on the same host answers at once (PROTOCOL, 'Discovery') unless discovery is down.
_FIRST_LIST_S = 0.2

log = logging.getLogger(__name__)


async def serve(config: Config, reload_requested: asyncio.Event, operator: Operator | None = None,
                operator_file: str | None = None) -> None:
    """Run one courier until SIGTERM. `reload_requested` is set when the configuration is to be read again."""
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, reload_requested.set)
    terminated = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, terminated.set)
    commands: OwnerCommands | None = None
    if config.console is None:
        journal, target, console = await open_journal_with_retry(config, operator), None, None
    else:
        from wheelstep.upgrade.owner_commands import OwnerCommands  # noqa: F811
        commands = OwnerCommands(config.state, reload_requested.set)
        loop.add_signal_handler(signal.SIGHUP, commands.reload)
        if reload_requested.is_set():  # SIGHUP came before the event loop ran
            commands.reload()
        console = await open_console(config.console, commands)
        if (obtained := await obtain_journal(config, operator, terminated)) is None:
            console.stop()
            return
        journal, target = obtained
    fleet: FleetDaemon | ShardDaemon | None = None
    if operator is not None and operator.fleet is not None:
        fleet = create_fleet_daemon(config, operator.fleet, journal)
    else:  # a fleet's messages move between machines, so all go by their wall clocks
        clock.adopt_offset(journal.marks, journal.mark, await retry("the boot's id", boot_id))
    core = Core(config if fleet is None else fleet.config, journal if fleet is None else fleet.kept)
    if operator is not None:
        core.recorder, core.account = recorder(operator, config), account(operator, config)
    admission, client_api, find_admission = (core, None, None) if fleet is None else fleet.join(core)
    server = ClientServer(admission, core.ordered, config.max_client_connections, find_admission,
                          transferable=console is not None, client_api=client_api,
                          memory=MemoryBudget(config.memory_bytes, journal, has_successors=console is not None))
    if target is not None and target.predecessor is not None:
        server.process_memory.add_process(target.predecessor)
    server.intake.on_unanswered = functools.partial(core.invariants.report_violation, Invariant.ANSWERED)
    source: HandoverSource | None = None
    if commands is not None:
        from wheelstep.console.metrics import Counters
        core.counters = Counters()
        commands.attach(core)

    def reload_fleet() -> None:
        if fleet is not None and operator_file is not None:
            reload_operator_file(operator_file, fleet)

    core.notices = Notifier(config.discovery, core.answered)
    core.endpoint_client.on_contradiction = AnswerCorrections(core).apply
    seq, rows = config.known.get("seq", 0), entries(config.known, config.names)
    if target is not None and target.transferred.rows:
        seq, rows = target.transferred.seq, target.transferred.rows
    owners = AddressOwners(core.listed)
    watch = Watch(config.discovery, config.names, seq if isinstance(seq, int) else 0, owners.listed,
                  calling_couriers(config.settings), config.seed, max_retry_s(config.settings))
    watches = fleet is None or not fleet.lists  # otherwise the fleet's daemon provides the list
    if watches:
        core.endpoints.left.enable(journal.marks)
        owners.listed(api.ListKind.RESTORED, rows)
    async with asyncio.TaskGroup() as group:
        permanent: dict[str, Callable[[], Coroutine[object, object, None]]] = {
            "notifications": core.notices.run, "sweep of endpoints": core.endpoint_client.sweep,
            "sweep of clients": server.sweep, "compaction": journal.run_compaction}
        if watches:
            permanent["watch"] = watch.run
        tasks = [group.create_task(keep_running(name, work)) for name, work in permanent.items()]
        if watches:
            tasks.append(group.create_task(watch.heard(core.endpoints.discovery_heard)))
        if core.account is not None:
            tasks.append(group.create_task(core.account.run(core.gauge)))
            watch.account = core.account
        if target is None and watches:  # restored messages must not go to an endpoint that has left the list since
            await watch.wait_first_answer(_FIRST_LIST_S)
        if fleet is not None:
            fleet.restore()
        else:
            calls, settling = (target.transferred.calls, target.transferred.settling) if target else ((), None)
            core.restore(journal.marks, journal.messages.values(), calls, settling)
            core.ended_messages.restore(target.transferred.ended if target else (), time.monotonic())
        if commands is not None:
            commands.restored(journal.flush)
        follow = functools.partial(follow_config, config, reload_requested, watch, core.notices, core=core,
                                   on_reload=reload_fleet, at_once=target is not None)
        tasks.append(group.create_task(keep_running("configuration", follow)))  # not before classes are restored
        gc.freeze()  # restored objects live long: a full collection that visits them would block the event loop
        listener = target.transferred.listener if target is not None else None
        listener = listener or await retry("the address", lambda: open_listener(config.listen), ADDRESS_ERRORS)
        if target is not None:
            server.queued_since_s = target.transferred.requested_s
        server.intake.find_message = journal.messages.get
        port = await server.start(config.listen, listener)
        if target is not None:
            await target.resume_serving(core, server)
        if commands is not None:
            from wheelstep.upgrade.source import HandoverSource  # noqa: F811

            def close() -> None:
                for task in tasks:
                    task.cancel()
                journal.close()
            source = HandoverSource(config.state, core, server, lambda: watch.seq, journal.flush, close,
                                    commands, target.calls_in_flight if target is not None else list)
            source.start()
        if fleet is not None:
            await fleet.start()
            tasks.append(group.create_task(fleet.run()))
        core.ready = True
        log.info("memory: %s", server.memory.describe())
        log.info("%s serves on %s:%d, %d messages restored; %d slots, holds %d, %d descriptors",
                 config.name, config.listen.host, port, len(journal.messages), config.settings.slots,
                 config.settings.hold_limit, config.max_descriptors)
        await terminated.wait()
        if source is not None:
            source.leave()
        if source is not None and source.handed_over:
            await source.finish(SHUTDOWN_S)
            log.info("stopped after a hand-over; invariants violated: %s", core.invariants.summary())
        else:
            await leave(core, server, fleet.leave() if fleet is not None else None)
            await flush(journal)
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
    if source is None or not source.handed_over:
        journal.close()
    ignore_signals()


def create_fleet_daemon(config: Config, settings: FleetConfig, journal: Journal) -> FleetDaemon | ShardDaemon:
    """Return the daemon of the fleet that the operator's file describes. Raises `ConfigError`."""
    if config.console is not None:
        raise ConfigError("console: given beside fleet.on = true; expected one of them: a fleet's courier is replaced "
                          "by moving its parts")
    if settings.table.shards.on:
        from wheelstep.shards.daemon import ShardDaemon
        return ShardDaemon(config, settings, journal)
    from wheelstep.fleet.daemon import FleetDaemon
    return FleetDaemon(config, settings, journal)


def main(operator_file: str | None = None, workers: int | None = None) -> int:
    """Run the courier that the environment describes and return the exit code. `operator_file` names the operator's
    file (default: `UMBERCHUTE_OPERATOR`), `workers` the number of workers (default: that of the file)."""
    logging.basicConfig(stream=sys.stderr, level=logging.INFO,
                        format="%(asctime)s %(levelname)s %(name)s %(message)s")
    faulthandler.enable()  # a process that a signal ends writes where it was
    reload_requested = asyncio.Event()
    # SIGHUP would end the process by default, so it is handled before anything that takes long.
    signal.signal(signal.SIGHUP, lambda *_: reload_requested.set())
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
            return run_event_loop(supervise(load(os.environ), reload_requested, operator, workers, operator_file))
        config = retry_blocking("the configuration", lambda: load(os.environ))
        run_event_loop(serve(config, reload_requested, operator, path))
    except ConfigError as error:
        print(f"courier: {' '.join(str(error).split())}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
