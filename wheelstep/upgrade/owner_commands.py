"""Commands to a courier, carried out by the process that owns its messages, at whichever process they arrive.

While one process takes over from another, operators may call either, and a signal may reach either. A process that owns
the messages carries a command out itself; any other passes it on over the socket at which the owner waits for a
successor.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path
from typing import Any

from wheelstep.console.commands import NoOwnerError
from wheelstep.console.metrics import Counters, Gauges, render
from wheelstep.courier.core import Core
from wheelstep.upgrade import channel as channels
from wheelstep.upgrade.channel import Channel, ConnectionLostError

_REPLY_LIMIT_S = 0.9  # replies are due within 1 s
_TRY_LIMIT_S = 0.3  # of one request to another process: a version before this one does not answer
_RETRY_S = 0.02
_WRITE_RETRY_S = 0.01

log = logging.getLogger(__name__)


class CommandName(StrEnum):
    """What a command does."""

    EXCLUDE = "exclude"  # an endpoint
    INCLUDE = "include"  # an endpoint
    RELOAD = "reload"  # read the configuration again


@dataclass(frozen=True, slots=True)
class OwnerCommand:
    """One command; `endpoint` is empty where it concerns none."""

    name: CommandName
    endpoint: str = ""

    def packet(self) -> dict[str, Any]:
        """Return the command as the head of a packet."""
        return {"do": "command", "name": self.name.value, "endpoint": self.endpoint}

    @classmethod
    def of_packet(cls, head: dict[str, Any]) -> OwnerCommand:
        """Read the head of a packet. Raises `KeyError` or `ValueError`."""
        return cls(CommandName(head["name"]), str(head["endpoint"]))


class OwnerCommands:
    """The commands of one process (`console.commands.ConsoleBackend`). `folder` is the state folder, `reload` requests
    that this process reads its configuration again."""

    def __init__(self, folder: Path, reload: Callable[[], None]) -> None:
        self._folder, self._reload = folder, reload
        self._core: Core | None = None
        self._flush: Callable[[], bool] | None = None  # set once the core has what the journal holds
        self._passing_on: set[asyncio.Task[bool | None]] = set()

    def attach(self, core: Core) -> None:
        """Show the metrics of this process's core from now on."""
        self._core = core

    def restored(self, flush: Callable[[], bool]) -> None:
        """Note that the core has what the journal holds, and carries commands out until it hands over. `flush` writes
        what the journal's disk has not taken yet and tells whether nothing is left."""
        self._flush = flush

    # --- the console ---

    @property
    def ready(self) -> bool:
        """Whether this process can serve."""
        return self._core is not None and self._core.ready

    def telemetry(self) -> str:
        """Return the metrics of this process, one per line."""
        return render(Counters(), Gauges(0, 0, 0), ()) if self._core is None else self._core.telemetry()

    async def exclude(self, endpoint: str) -> bool:
        """Have the owner exclude an endpoint. False if it is unknown. Raises `NoOwnerError`."""
        return await self._execute(OwnerCommand(CommandName.EXCLUDE, endpoint))

    async def include(self, endpoint: str) -> bool:
        """Have the owner include an endpoint again. False if it is unknown. Raises `NoOwnerError`."""
        return await self._execute(OwnerCommand(CommandName.INCLUDE, endpoint))

    # --- signals ---

    def reload(self) -> None:
        """Have the configuration read again at SIGHUP, here and at the process that owns the messages."""
        self._reload()
        if not self._owns():
            task = asyncio.get_running_loop().create_task(self._pass_on_reload())
            self._passing_on.add(task)
            task.add_done_callback(self._passing_on.discard)

    async def _pass_on_reload(self) -> None:
        try:
            await self._execute(OwnerCommand(CommandName.RELOAD))
        except NoOwnerError as error:
            log.warning("SIGHUP was not passed on: %s", error)

    # --- who carries it out ---

    def _owns(self) -> bool:
        return self._core is not None and self._flush is not None and not self._core.handed_over

    async def carry_out(self, command: OwnerCommand, within_s: float = _REPLY_LIMIT_S) -> bool | None:
        """Carry a command out, and return whether what it names is known, once that outlasts this process. None if
        another process has to do it. Raises `NoOwnerError` if the disk does not take it within a time."""
        known = self._carry_out_in_memory(command)
        until_s = asyncio.get_running_loop().time() + within_s
        while known and self._flush is not None and not self._flush():
            if not self._owns():  # a handover has not waited for the disk any longer
                return None
            if asyncio.get_running_loop().time() >= until_s:
                raise NoOwnerError("the disk does not take it, so that it ends with this process; try again")
            await asyncio.sleep(_WRITE_RETRY_S)
        return known

    def _carry_out_in_memory(self, command: OwnerCommand) -> bool | None:
        if self._core is None or not self._owns():
            return None
        match command.name:
            case CommandName.EXCLUDE:
                return self._core.exclude(command.endpoint)
            case CommandName.INCLUDE:
                return self._core.include(command.endpoint)
            case CommandName.RELOAD:
                self._reload()
                return True

    async def _execute(self, command: OwnerCommand) -> bool:
        """Carry a command out here or at the owner, as soon as there is one. Raises `NoOwnerError`."""
        until_s = asyncio.get_running_loop().time() + _REPLY_LIMIT_S
        while (left_s := until_s - asyncio.get_running_loop().time()) > 0:
            known = await self.carry_out(command, left_s)
            if known is None:
                known = await self._ask_owner(command, min(left_s, _TRY_LIMIT_S))
            if known is not None:
                return known
            await asyncio.sleep(_RETRY_S)
        raise NoOwnerError("no process of this courier has its messages now; try again")

    async def _ask_owner(self, command: OwnerCommand, limit_s: float) -> bool | None:
        """Ask the process at the state folder's socket. None if there is none, or it is not the owner."""
        answer: asyncio.Future[bool | None] = asyncio.get_running_loop().create_future()

        def resolve(known: bool | None) -> None:
            if not answer.done():
                answer.set_result(known)
        try:
            sock = channels.connect(self._folder)
        except OSError:
            return None
        channel = Channel(sock, lambda head, body, descriptors: resolve(head.get("known")), lambda: resolve(None))
        try:
            async with asyncio.timeout(limit_s):
                await channel.send(command.packet())
                return await answer
        except (ConnectionLostError, TimeoutError):
            return None
        finally:
            channel.close()
