"""What a courier opens at its start: the journal, from another process if one has it, and what operators want."""

from __future__ import annotations

import asyncio
import errno
import logging
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
    from wheelstep.upgrade.target import HandoverTarget

# What a disk, or the system, says where it can't for a while; anything else is for the operator to mend.
_PASSING = frozenset({errno.EAGAIN, errno.EDQUOT, errno.EINTR, errno.EIO, errno.EMFILE, errno.ENFILE, errno.ENOMEM,
                      errno.ENOSPC})
_DISK_S = 20.0  # a courier that takes over 30 s to be ready has failed (standing test)
_DISK_AGAIN_S = 0.1

log = logging.getLogger(__name__)


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


def _passes(error: ConfigError) -> bool:
    """May opening the folder succeed by and by?"""
    return isinstance(error.__cause__, OSError) and error.__cause__.errno in _PASSING


async def open_patiently(config: Config, operator: Operator | None) -> Journal:
    """The journal, also where the disk fails for a while. Raises `ConfigError` where it goes on failing, or can't be
    used for any other reason."""
    until_s = asyncio.get_running_loop().time() + _DISK_S
    while True:
        try:
            return open_journal(config, operator)
        except ConfigError as error:
            if not _passes(error) or asyncio.get_running_loop().time() >= until_s:
                raise
            log.warning("the folder can't be opened yet: %s", error)
        await asyncio.sleep(_DISK_AGAIN_S)


async def obtain(config: Config, operator: Operator | None,
                 terminated: asyncio.Event) -> tuple[Journal, HandoverTarget | None] | None:
    """The journal, from the process that has it if there is one; None if this one is to end meanwhile."""
    try:
        return await open_patiently(config, operator), None
    except ConfigError as error:
        if not isinstance(error.__cause__, FolderInUseError):
            raise
    from wheelstep.upgrade.target import take_over
    found: list[Journal] = []

    def free() -> bool:
        try:
            found.append(open_journal(config, operator))
        except ConfigError as error:
            if not isinstance(error.__cause__, FolderInUseError) and not _passes(error):
                raise
        return bool(found)
    taking = asyncio.create_task(take_over(config.state, free))
    ending = asyncio.create_task(terminated.wait())
    await asyncio.wait({taking, ending}, return_when=asyncio.FIRST_COMPLETED)
    ending.cancel()
    if not taking.done():
        taking.cancel()
        return None
    target = taking.result()
    return (found[0] if found else await open_patiently(config, operator)), target


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
