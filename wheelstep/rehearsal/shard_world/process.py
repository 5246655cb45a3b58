"""A process on a machine of the fleet: its loop, and what the kernel keeps for it while it stands still."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from wheelstep.rehearsal.shard_world.loop import VirtualLoop
from wheelstep.rehearsal.shard_world.world import MS, World

QUEUE = 400  # datagrams that wait for a process that does not read


class Ending(Protocol):
    """What the kernel ends with a process."""

    def close(self) -> None:
        """The process ends it."""

    def died(self, vanished: bool) -> None:
        """The process has ended, its machine with it if `vanished`."""


class Process:
    """One life of a named process. `place` is its zone, `region/zone`."""

    def __init__(self, world: World, name: str, place: str, number: int,
                 failed: Callable[[dict[str, Any]], None] | None = None) -> None:
        self.world, self.name, self.place = world, name, place
        self.alive = True
        self.loop = VirtualLoop(world, name, number, world.rng.randrange(10**11), failed)
        self.pipes: list[Ending] = []
        self.on_end: list[Callable[[bool], None]] = []  # told whether the machine went with it
        self._waiting: list[tuple[Callable[..., object], tuple[Any, ...]]] = []
        self._datagrams = 0
        self._held = False  # awake, and not all of that read yet

    @property
    def stopped(self) -> bool:
        """By SIGSTOP."""
        return self.loop.stopped

    def start(self, main: Coroutine[Any, Any, None]) -> None:
        """Run this in it."""
        self.loop.create_task(main)
        self.loop.call_soon(lambda: None)

    def deliver(self, what: Callable[..., object], *given: Any, datagram: bool = False) -> None:
        """From outside, in its next turn; while it stands still the kernel keeps it."""
        if not self.alive:
            return
        if not self.stopped and not self._held:
            self.loop.call_soon(what, *given)
        elif not datagram or self._datagrams < QUEUE:
            self._datagrams += datagram
            self._waiting.append((what, given))

    def kill(self, vanish: bool = False) -> None:
        """SIGKILL; with `vanish` its machine goes too, and nothing tells its peers."""
        if not self.alive:
            return
        self.alive = False
        self.loop.kill()
        self._waiting.clear()
        for pipe in self.pipes:
            pipe.died(vanish)
        for told in self.on_end:
            told(vanish)

    def stop(self) -> None:
        """SIGSTOP."""
        self.loop.stopped = True

    def wake(self) -> None:
        """SIGCONT: some of what waited is read before the timers that are due, the rest right after."""
        if not self.alive or not self.stopped:
            return
        waiting, self._waiting, self._datagrams = self._waiting, [], 0
        early = self.world.rng.randint(0, len(waiting))
        self.loop.stopped, self._held = False, True
        for what, given in waiting[:early]:
            self.loop.call_soon(what, *given)
        self._waiting = waiting[early:]  # what comes meanwhile stands behind them
        self.loop.wake()
        self.world.after(self.world.rng.randrange(MS // 2), self._read)

    def _read(self) -> None:
        if not self.alive or self.stopped:
            return
        waiting, self._waiting, self._held = self._waiting, [], False
        for what, given in waiting:
            self.loop.call_soon(what, *given)
