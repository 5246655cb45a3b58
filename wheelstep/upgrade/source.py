"""The process that serves: hands everything over to a successor that asks."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import socket
import sys
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

from wheelstep.courier.call import Item, Result
from wheelstep.courier.client_server import ClientServer
from wheelstep.courier.core import Core
from wheelstep.courier.ports import CallsOut
from wheelstep.courier.rows import write_rows
from wheelstep.upgrade import channel as channels
from wheelstep.upgrade.channel import Channel, LostError
from wheelstep.upgrade.states import Action, Handover, State

_TAKES_S = 4.0  # for a successor to go through all steps
_TELL_S = 0.2  # for it to take the last outcomes

log = logging.getLogger(__name__)


class HandoverSource:
    """Waits for a successor, for good. `close` ends all that writes to the journal, and closes it."""

    def __init__(self, folder: Path, core: Core, server: ClientServer, seq: Callable[[], int],
                 close: Callable[[], None], elsewhere: Callable[[], list[CallsOut]] = list) -> None:
        """`elsewhere` gives the calls that the process before this one still has out."""
        self._elsewhere = elsewhere
        self._folder, self._core, self._server, self._seq, self._close = folder, core, server, seq, close
        self._handover = Handover()
        self._listener: socket.socket | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._channel: Channel | None = None
        self._limit: asyncio.TimerHandle | None = None
        self._leaving = False

    @property
    def given(self) -> bool:
        """Are the messages another process's?"""
        return self._handover.state in (State.GIVEN, State.DONE)

    def start(self) -> None:
        """Listen. Without the socket, an upgrade waits until this process has ended."""
        try:
            self._listener = channels.listen(self._folder)
        except OSError as error:
            log.warning("no upgrade under load: %s", error)
            return
        asyncio.get_running_loop().add_reader(self._listener.fileno(), self._accept)

    def _accept(self) -> None:
        assert self._listener is not None
        with contextlib.suppress(OSError):
            link, _ = self._listener.accept()
            made: list[Channel] = []
            made.append(Channel(link, lambda head, body, fds: self._heard(made[0], head, fds),
                                lambda: self._lost(made[0])))

    def _heard(self, channel: Channel, head: dict[str, Any], descriptors: list[int]) -> None:
        for descriptor in descriptors:
            os.close(descriptor)
        match head.get("do"):
            case "take over" if self._leaving:
                channel.close()  # it asks until the folder is free
            case "take over":
                self._act(self._handover.asked(channel), channel)
            case "received":
                self._act(self._handover.received(channel), channel)
            case "mine":
                self._act(self._handover.mine(channel), channel)

    def _lost(self, channel: Channel) -> None:
        if channel is self._channel and self._handover.state is State.DONE:
            log.warning("the successor has ended: calls that are still out are given up")
            self._spawn(self._core.outlet.abandon())
        self._act(self._handover.lost(channel), channel)

    def _act(self, what: Action, channel: Channel) -> None:
        match what:
            case Action.PAUSE:
                self._channel = channel
                self._limit = asyncio.get_running_loop().call_later(_TAKES_S, channel.close)
                self._spawn(self._pause(channel))
            case Action.CLOSE:
                self._spawn(self._give(channel))
            case Action.LET_GO:
                self._let_go()
            case Action.RESUME:
                log.warning("the successor was lost: this process goes on")
                self._end_limit()
                self._core.thaw()
                self._core.ready = not self._leaving
                self._spawn(self._server.resume())
            case Action.BEGIN_ANEW if self._leaving:
                log.error("the successor was lost while it took over: what is owed is left to the next process")
            case Action.BEGIN_ANEW:
                log.error("the successor was lost while it took over: beginning anew from the folder")
                os.execv(sys.executable, [sys.executable, *sys.orig_argv[1:]])
            case Action.REFUSE:
                channel.close()
            case Action.NOTHING:
                pass

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(self._guarded(work))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _guarded(self, work: Any) -> None:
        """Guards against a step that fails unheard: the target's connection ends, and with it the handover."""
        try:
            await work
        except LostError as error:
            log.warning("the successor does not answer: %s", error)
        except Exception:
            log.exception("a step of the handover failed")
            if self._channel is not None:
                self._channel.close()

    def _end_limit(self) -> None:
        if self._limit is not None:
            self._limit.cancel()

    async def _pause(self, channel: Channel) -> None:
        log.info("a successor takes over")
        self._core.freeze()
        self._core.ready = False
        listener = await self._server.pause()
        for descriptor, idle, raw in self._server.connections():
            await channel.send({"is": "client", "idle": idle}, raw, (descriptor,))
        await channel.send({"is": "listener"}, b"", (listener.fileno(),))
        await channel.send_list({"is": "list", "seq": self._seq()}, write_rows(self._core.rows()))
        await channel.send({"is": "connections"})

    async def _give(self, channel: Channel) -> None:
        self._core.note_all()
        calls = [[call.endpoint, call.sent_ms, call.attempts]
                 for call in [*self._core.calls_out(), *self._elsewhere()]]
        settling = list(self._core.order.settling(time.monotonic()).items())
        waits = list(self._core.waits().items())
        self._core.hand_over(self._tell, self._tell_wait)
        self._close()  # from here on nothing is written by this process
        await channel.send_list({"is": "calls"}, calls)
        await channel.send_list({"is": "waits"}, waits)
        await channel.send_list({"is": "settling"}, settling)
        log.info("told: %d calls out, %d waits, %d keys settling", len(calls), len(waits), len(settling))
        await channel.send({"is": "yours"})

    def _let_go(self) -> None:
        self._end_limit()
        self._server.let_go()
        if self._listener is not None:
            asyncio.get_running_loop().remove_reader(self._listener.fileno())
            self._listener.close()
        log.info("handed over, %d calls still out", len(self._core.outlet.calls()))

    def _tell(self, endpoint: str, results: Sequence[tuple[Item, Result]]) -> None:
        """Outcomes of calls that this process still had out."""
        rows = [[item.message, item.attempt, result.outcome.value, result.spent_us, result.wait_us,
                 [result.limit.left, result.limit.per_s] if result.limit is not None else None,
                 result.over, result.exhausted] for item, result in results]
        unfinished = [[item.message, item.attempt] for item, result in results if result.unfinished]
        if self._channel is not None:
            head = {"is": "ended", "endpoint": endpoint, "rows": rows, "unfinished": unfinished}
            self._spawn(self._channel.send(head))

    def _tell_wait(self, endpoint: str, wait_us: int) -> None:
        """An answer to a call or probe that was out told a wait: it binds the successor too."""
        if self._channel is not None:
            self._spawn(self._channel.send({"is": "waits", "rows": [[endpoint, wait_us]]}))

    def leave(self) -> None:
        """This process is to end (SIGTERM): a handover under way goes on, none begins, and one that fails brings
        nothing back. Guards against a process that is ready again, or begins anew, after it was told to end."""
        self._leaving = True

    async def finish(self, timeout_s: float) -> None:
        """After the hand-over: wait for the calls under way, so long at most. Those that are still out then are closed
        before the successor hears that they have ended."""
        await self._core.outlet.finish(timeout_s)
        await self._core.outlet.abandon()
        if self._tasks:
            await asyncio.wait(set(self._tasks), timeout=_TELL_S)

    def stop(self) -> None:
        """Close everything; what a successor has stays its."""
        self._end_limit()
        if self._listener is not None and self._handover.state is not State.DONE:
            asyncio.get_running_loop().remove_reader(self._listener.fileno())
            self._listener.close()
        for task in self._tasks:
            task.cancel()
        if self._channel is not None:
            self._channel.close()
            self._channel = None
