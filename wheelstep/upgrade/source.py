"""The serving process's side of a handover: hands everything over to a successor that asks."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import socket
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from wheelstep.console.commands import NoOwnerError
from wheelstep.courier.client_server import ClientServer
from wheelstep.courier.core import Core
from wheelstep.courier.local_errors import may_pass
from wheelstep.courier.ports import OpenCall
from wheelstep.courier.rows import write_rows, write_starts
from wheelstep.upgrade import channel as channels
from wheelstep.upgrade.channel import Channel, ConnectionLostError
from wheelstep.upgrade.owner_commands import OwnerCommand, OwnerCommands
from wheelstep.upgrade.reports import SuccessorReports
from wheelstep.upgrade.states import Action, Handover, State

_HANDOVER_TIMEOUT_S = 4.0  # time limit for all steps of a handover
_LISTEN_RETRY_S = 0.1
_FLUSH_TIMEOUT_S = 0.3  # time limit for the disk to take what happened during the handover
_FLUSH_RETRY_S = 0.01
_OUTCOMES_TIMEOUT_S = 0.2  # time limit for sending the last outcomes

log = logging.getLogger(__name__)


class HandoverSource:
    """Waits for a successor for as long as the process serves.

    `flush` writes what the journal's disk has not taken yet and tells whether nothing is left, `close` must stop all
    writes to the journal and close it. `seq` returns the endpoint list's sequence number.
    """

    def __init__(self, folder: Path, core: Core, server: ClientServer, seq: Callable[[], int],
                 flush: Callable[[], bool], close: Callable[[], None], commands: OwnerCommands,
                 inherited_calls: Callable[[], list[OpenCall]] = list) -> None:
        """Prepare; `inherited_calls` returns the calls that the previous process still has in flight."""
        self._inherited_calls = inherited_calls
        self._folder, self._core, self._server, self._seq = folder, core, server, seq
        self._flush, self._close, self._commands = flush, close, commands
        self._handover = Handover()
        self._listener: socket.socket | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._channel: Channel | None = None
        self._time_limit: asyncio.TimerHandle | None = None
        self._listen_retry: asyncio.TimerHandle | None = None
        self._leaving = False

    @property
    def handed_over(self) -> bool:
        """Whether the messages belong to another process now."""
        return self._handover.state in (State.GIVEN, State.DONE)

    def start(self) -> None:
        """Listen for a successor, and try again while the system refuses that. An upgrade waits for it, or until this
        process has ended."""
        if self._leaving:
            return
        try:
            self._listener = channels.listen(self._folder)
        except OSError as error:
            log.warning("cannot listen for a successor, no upgrade under load: %s", error)
            if may_pass(error):
                self._listen_retry = asyncio.get_running_loop().call_later(_LISTEN_RETRY_S, self.start)
            return
        asyncio.get_running_loop().add_reader(self._listener.fileno(), self._accept)

    def _accept(self) -> None:
        """Accept a successor's connection."""
        assert self._listener is not None
        with contextlib.suppress(OSError):
            sock, _ = self._listener.accept()
            made: list[Channel] = []
            made.append(Channel(sock, lambda head, body, fds: self._on_packet(made[0], head, fds),
                                lambda: self._on_lost(made[0])))

    def _on_packet(self, channel: Channel, head: dict[str, Any], descriptors: list[int]) -> None:
        """Process a packet of a successor."""
        for descriptor in descriptors:
            os.close(descriptor)
        match head.get("do"):
            case "take over" if self._leaving or not self._flush():
                channel.close()  # the successor retries until the folder is free, or the disk has all that has happened
            case "take over":
                self._perform(self._handover.requested(channel), channel)
            case "command":
                self._spawn(self._answer_command(channel, OwnerCommand.of_packet(head)))
            case "received":
                self._perform(self._handover.received(channel), channel)
            case "mine":
                self._perform(self._handover.confirmed(channel), channel)

    async def _answer_command(self, channel: Channel, command: OwnerCommand) -> None:
        """Carry out a command that another process passes on. Without success its channel is closed, and it tries
        again."""
        with contextlib.suppress(NoOwnerError):
            if (known := await self._commands.carry_out(command)) is not None:
                return await channel.send({"is": "carried out", "known": known})
        channel.close()

    def _on_lost(self, channel: Channel) -> None:
        """Process the end of a successor's connection."""
        if channel is self._channel and self._handover.state is State.DONE:
            log.warning("the successor has ended: abandoning the calls that are still in flight")
            self._spawn(self._core.endpoint_client.abandon())
        self._perform(self._handover.lost(channel), channel)

    def _perform(self, action: Action, channel: Channel) -> None:
        """Carry out what the state machine decided."""
        match action:
            case Action.PAUSE:
                self._channel = channel
                if (successor := channel.peer_process()) is not None:
                    self._server.process_memory.add_process(successor)
                self._time_limit = asyncio.get_running_loop().call_later(_HANDOVER_TIMEOUT_S, channel.close)
                self._spawn(self._pause(channel))
            case Action.CLOSE:
                self._spawn(self._hand_over(channel))
            case Action.RELEASE:
                self._release()
            case Action.RESUME:
                log.warning("the successor was lost: this process continues to serve")
                self._cancel_time_limit()
                self._core.thaw()
                self._core.ready = not self._leaving
                self._spawn(self._server.resume())
            case Action.RESTART if self._leaving:
                log.error("the successor was lost while it took over: unfinished messages are left to the next process")
            case Action.RESTART:
                log.error("the successor was lost while it took over: restarting from the folder")
                os.execv(sys.executable, [sys.executable, *sys.orig_argv[1:]])
            case Action.REFUSE:
                channel.close()
            case Action.NOTHING:
                pass

    def _spawn(self, step: Any) -> None:
        """Run a step as a task."""
        task = asyncio.get_running_loop().create_task(self._run_step(step))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_step(self, step: Any) -> None:
        """Run a step; if it fails, log it and close the target's connection, which ends the handover."""
        try:
            await step
        except ConnectionLostError as error:
            log.warning("lost the connection to the successor: %s", error)
        except Exception:
            log.exception("a step of the handover failed")
            if self._channel is not None:
                self._channel.close()

    def _cancel_time_limit(self) -> None:
        """Cancel the handover's time limit."""
        if self._time_limit is not None:
            self._time_limit.cancel()

    async def _pause(self, channel: Channel) -> None:
        """Stop serving and send copies of the connections, the listener and the endpoint list."""
        log.info("handing over to a successor")
        self._core.freeze()
        self._core.ready = False
        listener = await self._server.pause()
        for descriptor, idle, raw in self._server.connections():
            await channel.send({"is": "client", "idle": idle}, raw, (descriptor,))
        await channel.send({"is": "listener"}, b"", (listener.fileno(),))
        await channel.send_list({"is": "list", "seq": self._seq()}, write_rows(self._core.rows()))
        await channel.send_list({"is": "starts"}, write_starts(self._core.rows()))
        await channel.send({"is": "connections"})

    async def _wait_flushed(self) -> None:
        """Wait until the disk has all that has happened: the successor reads it there."""
        until_s = time.monotonic() + _FLUSH_TIMEOUT_S
        while not self._flush() and time.monotonic() < until_s:
            await asyncio.sleep(_FLUSH_RETRY_S)

    async def _hand_over(self, channel: Channel) -> None:
        """Close the journal, then send the calls in flight, waits, settling keys and the messages that have ended."""
        self._core.journal_endpoint_health()
        await self._wait_flushed()
        calls = [[call.endpoint, call.sent_ms, call.attempts]
                 for call in [*self._core.calls_out(), *self._inherited_calls()]]
        settling = list(self._core.order.settling(time.monotonic()).items())
        waits = list(self._core.endpoints.waits(time.monotonic()).items())
        self._core.hand_over(SuccessorReports(self._send_report))
        self._close()  # from here on this process writes nothing
        await channel.send_list({"is": "calls"}, calls)
        await channel.send_list({"is": "waits"}, waits)
        await channel.send_list({"is": "settling"}, settling)
        await channel.send_list({"is": "ended messages"}, self._core.ended_messages.ages_us(time.monotonic()))
        log.info("sent to the successor: %d calls in flight, %d waits, %d keys settling",
                 len(calls), len(waits), len(settling))
        await channel.send({"is": "yours"})

    def _release(self) -> None:
        """Close the own descriptors of the connections and listeners."""
        self._cancel_time_limit()
        self._server.close_transferred()
        if self._listener is not None:
            asyncio.get_running_loop().remove_reader(self._listener.fileno())
            self._listener.close()
        log.info("handed over, %d calls still in flight", len(self._core.endpoint_client.calls()))

    def _send_report(self, head: dict[str, Any]) -> None:
        """Queue a packet about calls that were in flight here at the handover."""
        if self._channel is not None:
            self._spawn(self._channel.send(head))

    def leave(self) -> None:
        """Note that this process is to end (SIGTERM).

        A handover under way continues and none begins. One that fails does not resume or restart this process.
        """
        self._leaving = True

    async def finish(self, timeout_s: float) -> None:
        """After the handover, wait up to `timeout_s` seconds for the calls in flight.

        Calls still in flight after that are closed before the successor is told that they have ended.
        """
        await self._core.endpoint_client.finish(timeout_s)
        await self._core.endpoint_client.abandon()
        if self._tasks:
            await asyncio.wait(set(self._tasks), timeout=_OUTCOMES_TIMEOUT_S)

    def stop(self) -> None:
        """Close all sockets and tasks; what a successor has received stays with it."""
        self._cancel_time_limit()
        if self._listen_retry is not None:
            self._listen_retry.cancel()
        if self._listener is not None and self._handover.state is not State.DONE:
            asyncio.get_running_loop().remove_reader(self._listener.fileno())
            self._listener.close()
        for task in self._tasks:
            task.cancel()
        if self._channel is not None:
            self._channel.close()
            self._channel = None
