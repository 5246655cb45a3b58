"""A process on a machine of the fleet: its event loop, and what the kernel queues for it while it is paused."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from wheelstep.rehearsal.shard_world.loop import VirtualLoop
from wheelstep.rehearsal.shard_world.world import MS, World

MAX_QUEUED_DATAGRAMS = 400  # of a process that doesn't read; later ones are dropped


class ProcessResource(Protocol):
    """A resource that ends with its process, such as a pipe."""

    def close(self) -> None:
        """Close it from within the process."""

    def on_process_end(self, machine_lost: bool) -> None:
        """Handle the end of the process, or with `machine_lost` that of its machine."""


class Process:
    """A process from its start to its end. `zone` is "region/zone"."""

    def __init__(self, world: World, name: str, zone: str, number: int,
                 on_unhandled: Callable[[dict[str, Any]], None] | None = None) -> None:
        self.world, self.name, self.zone = world, name, zone
        self.alive = True
        self.loop = VirtualLoop(world, name, number, world.rng.randrange(10**11), on_unhandled)
        self.pipes: list[ProcessResource] = []
        self.on_end: list[Callable[[bool], None]] = []  # called with whether the machine was lost
        self._backlog: list[tuple[Callable[..., object], tuple[Any, ...]]] = []
        self._queued_datagrams = 0
        self._reading_backlog = False  # continued, but the backlog is not read yet

    @property
    def paused(self) -> bool:
        """Whether SIGSTOP has paused the process."""
        return self.loop.paused

    def start(self, main: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine in the process."""
        self.loop.create_task(main)
        self.loop.call_soon(lambda: None)

    def deliver(self, callback: Callable[..., object], *args: Any, datagram: bool = False) -> None:
        """Call back in the process's next turn; while it is paused, the kernel queues the call."""
        if not self.alive:
            return
        if not self.paused and not self._reading_backlog:
            self.loop.call_soon(callback, *args)
        elif not datagram or self._queued_datagrams < MAX_QUEUED_DATAGRAMS:
            self._queued_datagrams += datagram
            self._backlog.append((callback, args))

    def kill(self, machine_lost: bool = False) -> None:
        """End the process as SIGKILL does; with `machine_lost` its machine goes too, and peers are not informed."""
        if not self.alive:
            return
        self.alive = False
        self.loop.kill()
        self._backlog.clear()
        for pipe in self.pipes:
            pipe.on_process_end(machine_lost)
        for notify in self.on_end:
            notify(machine_lost)

    def pause(self) -> None:
        """Pause the process, as SIGSTOP does."""
        self.loop.paused = True

    def resume(self) -> None:
        """Continue the process, as SIGCONT does: a first part of the backlog, of random length, is read before the
        timers that are due, and the rest right after."""
        if not self.alive or not self.paused:
            return
        backlog, self._backlog, self._queued_datagrams = self._backlog, [], 0
        early_count = self.world.rng.randint(0, len(backlog))
        self.loop.paused, self._reading_backlog = False, True
        for callback, args in backlog[:early_count]:
            self.loop.call_soon(callback, *args)
        self._backlog = backlog[early_count:]  # later arrivals are queued behind it
        self.loop.resume()
        self.world.schedule_after(self.world.rng.randrange(MS // 2), self._read_backlog)

    def _read_backlog(self) -> None:
        if not self.alive or self.paused:
            return
        backlog, self._backlog, self._reading_backlog = self._backlog, [], False
        for callback, args in backlog:
            self.loop.call_soon(callback, *args)
