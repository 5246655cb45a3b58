"""A process on a machine of the fleet: its event loop, and what the kernel queues for it while it is stopped."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from wheelstep.rehearsal.shard_world.loop import VirtualLoop
from wheelstep.rehearsal.shard_world.world import MS, World

MAX_WAITING_DATAGRAMS = 400  # queued for a stopped process; further ones are dropped


class ProcessPipe(Protocol):
    """A connection of a process, as the kernel sees it when the process ends."""

    def close(self) -> None:
        """Close it from the process."""

    def process_ended(self, vanished: bool) -> None:
        """The process has ended; with `vanished`, its machine has failed too."""


class Process:
    """One run of a named process, in a zone `region/zone`."""

    def __init__(self, world: World, name: str, zone: str, number: int,
                 on_failure: Callable[[dict[str, Any]], None] | None = None) -> None:
        self.world, self.name, self.zone = world, name, zone
        self.alive = True
        self.loop = VirtualLoop(world, name, number, world.rng.randrange(10**11), on_failure)
        self.pipes: list[ProcessPipe] = []
        self.end_callbacks: list[Callable[[bool], None]] = []  # called with whether the machine failed too
        self._queued: list[tuple[Callable[..., object], tuple[Any, ...]]] = []
        self._datagrams = 0
        self._draining = False  # resumed, and the queue not read to its end yet

    @property
    def stopped(self) -> bool:
        """Whether it is stopped by SIGSTOP."""
        return self.loop.stopped

    def start(self, main: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine in this process."""
        self.loop.create_task(main)
        self.loop.call_soon(lambda: None)

    def deliver(self, callback: Callable[..., object], *args: Any, datagram: bool = False) -> None:
        """Call a callback in the next iteration, for an event from outside.

        It is queued while the process is stopped, and dropped if the process is dead, or if it is a datagram and too
        many are queued.
        """
        if not self.alive:
            return
        if not self.stopped and not self._draining:
            self.loop.call_soon(callback, *args)
        elif not datagram or self._datagrams < MAX_WAITING_DATAGRAMS:
            self._datagrams += datagram
            self._queued.append((callback, args))

    def kill(self, vanish: bool = False) -> None:
        """Kill it by SIGKILL. With `vanish` its machine fails too, and its peers hear nothing of the end."""
        if not self.alive:
            return
        self.alive = False
        self.loop.kill()
        self._queued.clear()
        for pipe in self.pipes:
            pipe.process_ended(vanish)
        for callback in self.end_callbacks:
            callback(vanish)

    def stop(self) -> None:
        """Stop it by SIGSTOP."""
        self.loop.stopped = True

    def resume(self) -> None:
        """Continue it by SIGCONT. A random part of the queue is read before the timers that are due, the rest after."""
        if not self.alive or not self.stopped:
            return
        queued, self._queued, self._datagrams = self._queued, [], 0
        read_first = self.world.rng.randint(0, len(queued))
        self.loop.stopped, self._draining = False, True
        for callback, args in queued[:read_first]:
            self.loop.call_soon(callback, *args)
        self._queued = queued[read_first:]  # events that come meanwhile are queued behind them
        self.loop.resume()
        self.world.call_after(self.world.rng.randrange(MS // 2), self._deliver_rest)

    def _deliver_rest(self) -> None:
        if not self.alive or self.stopped:
            return
        queued, self._queued, self._draining = self._queued, [], False
        for callback, args in queued:
            self.loop.call_soon(callback, *args)
