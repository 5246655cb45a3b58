"""What a courier opens at its start: the console, the journal (taken over from another process if one has it), and the
recording and the account that the operator's file asks for."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING

from wheelstep.courier.config import Address, Config, ConfigError
from wheelstep.courier.local_errors import may_pass
from wheelstep.courier.starting import Patience, retry
from wheelstep.journal import FolderInUseError, Journal
from wheelstep.journal.codec import FormatError
from wheelstep.journal.durability import SyncPolicy

if TYPE_CHECKING:  # imported at run time only where the feature is on
    from wheelstep.account.writer import AccountWriter
    from wheelstep.console.commands import ConsoleBackend
    from wheelstep.console.front import ConsoleServer
    from wheelstep.operator import Operator
    from wheelstep.recording.writer import Recorder
    from wheelstep.upgrade.target import HandoverTarget

log = logging.getLogger(__name__)


async def open_console(address: Address, backend: ConsoleBackend) -> ConsoleServer:
    """Start the console for operators. Raises `ConfigError` if it can't listen."""
    from wheelstep.console.front import ConsoleServer
    front, patience = ConsoleServer(backend), Patience()
    while True:
        try:
            await front.start(address)
            return front
        except OSError as error:
            failed = ConfigError(f"console {address.host}:{address.port}: {error}")
            failed.__cause__ = error
        await asyncio.sleep(patience.check("the console's address", failed))


async def open_journal_with_retry(config: Config, operator: Operator | None) -> Journal:
    """Open the journal, and try again while the disk fails. Raises `ConfigError` if that takes too long, or if the
    folder can't be used for another reason."""
    return await retry("the folder", lambda: open_journal(config, operator))


async def obtain_journal(config: Config, operator: Operator | None,
                         terminated: asyncio.Event) -> tuple[Journal, HandoverTarget | None] | None:
    """Open the journal, taken over from the process that has it if there is one. None if `terminated` was set while it
    waited for that process. Raises `ConfigError`."""
    try:
        return await open_journal_with_retry(config, operator), None
    except ConfigError as error:
        if not isinstance(error.__cause__, FolderInUseError):
            raise
    from wheelstep.upgrade.target import take_over
    opened: list[Journal] = []

    def try_open() -> bool:
        try:
            opened.append(open_journal(config, operator))
        except ConfigError as error:
            if not isinstance(error.__cause__, FolderInUseError) and not may_pass(error):
                raise
        return bool(opened)
    takeover = asyncio.create_task(take_over(config.state, try_open))
    termination = asyncio.create_task(terminated.wait())
    await asyncio.wait({takeover, termination}, return_when=asyncio.FIRST_COMPLETED)
    termination.cancel()
    if not takeover.done():
        takeover.cancel()
        return None
    target = takeover.result()
    return (opened[0] if opened else await open_journal_with_retry(config, operator)), target


def open_journal(config: Config, operator: Operator | None) -> Journal:
    """Open the journal in the state folder. Raises `ConfigError` if the folder can't be used."""
    part = operator.journal if operator is not None else None
    try:
        if (config.state / "layout.json").exists():  # a courier without workers would not see those messages
            raise ConfigError(f"{config.state}: laid out for workers; expected `umberchute serve --workers N`, or "
                              f"`umberchute workers merge {config.state}` first")
        if part is None:
            return Journal(config.state, config.disk_bytes)
        return Journal(config.state, config.disk_bytes, SyncPolicy(part.sync), part.sync_within / 1e6,
                       part.segment_kb * 1024)
    except (FolderInUseError, FormatError, OSError) as error:
        raise ConfigError(f"{config.state}: {error}") from error


def recorder(operator: Operator, config: Config) -> Recorder | None:
    """Return the recorder of messages that clients hand in; None if the operator's file does not ask for it."""
    recording = operator.recording
    if not recording.on or recording.file is None:
        return None
    from wheelstep.recording.format import Head
    from wheelstep.recording.writer import Recorder
    hosts = config.known.get("hosts") or []
    head = Head(config.name, int(time.time() * 1000), dict(config.raw_settings), list(hosts))
    return Recorder(recording.file, head, int(recording.max_mb * 1_000_000), recording.bodies)


def account(operator: Operator, config: Config) -> AccountWriter | None:
    """Return the writer of the account's log lines; None if the operator's file does not ask for them."""
    if not operator.account.on:
        return None
    from wheelstep.account.writer import AccountWriter
    classes = dict(zip(config.names.classes, config.settings.classes, strict=True))
    return AccountWriter(config.name, classes, config.settings.decay)
