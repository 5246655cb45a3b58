"""What a courier opens at its start: the journal, from another process if one has it, and what operators want."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from wheelstep.courier.config import Address, Config, ConfigError
from wheelstep.journal import FolderInUseError, Journal
from wheelstep.journal.codec import FormatError
from wheelstep.journal.promise import Sync

if TYPE_CHECKING:  # what is off is not imported
    from wheelstep.account.writer import Account
    from wheelstep.console.front import Front
    from wheelstep.operator import Operator
    from wheelstep.recording.writer import Recorder
    from wheelstep.upgrade.taker import Taker


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
