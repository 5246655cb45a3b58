"""asyncio's event loop in virtual time: one for each simulated process, all played by one `World`.

No sockets, no threads, no executor: whatever would need one raises. A turn costs `TURN_US` of virtual time, so a
program that polls without a pause gets on, and one that does nothing else is found.
"""

from __future__ import annotations

import asyncio
import contextvars
from collections.abc import Awaitable, Callable, Generator
from typing import Any, TypeVar

from wheelstep.rehearsal.shard_world.world import MS, World

TURN_US = 5
MOST_TURNS = 20_000  # in a tenth of a second: all of its time

T = TypeVar("T")


class SpinError(Exception):
    """A process does nothing but turn its loop."""


class _Selector:
    """What the loop asks for events of sockets: there are none."""

    def select(self, timeout: float | None) -> list[Any]:
        return []


class VirtualLoop(asyncio.BaseEventLoop):
    """`offset_us`: how far its clock is from true time. `failed` hears of what no program caught."""

    def __init__(self, world: World, name: str = "", number: int = 0, offset_us: int = 0,
                 failed: Callable[[dict[str, Any]], None] | None = None) -> None:
        super().__init__()
        self.world, self.name, self.number, self.offset_us = world, name, number, offset_us
        self.stopped = False  # SIGSTOP
        self.dead = False  # never again
        self.turns = 0
        self._failed = failed
        self._selector = _Selector()
        self._due_us: int | None = None  # when the world is to give it a turn
        self._last_us = -TURN_US
        self._inside = False
        self._watched = (0, 0)  # since when, from which turn on
        self._tasks: list[asyncio.Task[Any]] = []

    # --- time ---

    def time(self) -> float:
        """Seconds, by this process's clock."""
        return (self.world.now_us + self.offset_us) / 1e6

    def _process_events(self, event_list: list[Any]) -> None:
        """None come."""

    def _write_to_self(self) -> None:
        raise RuntimeError("no threads in virtual time")

    def _arm(self, true_us: int) -> None:
        due_us = max(true_us, self._last_us + TURN_US, self.world.now_us)
        if not self.dead and (self._due_us is None or due_us < self._due_us):
            self._due_us = due_us
            self.world.at(due_us, self._fire, due_us)

    def _fire(self, due_us: int) -> None:
        if due_us != self._due_us or self.dead:  # an earlier turn took its place
            return
        self._due_us = None
        if not self.stopped:
            self.turn()

    def turn(self) -> None:
        """What is due and ready now."""
        self._last_us = self.world.now_us
        self.turns += 1
        if self._last_us - self._watched[0] > 100 * MS:
            self._watched = self._last_us, self.turns
        elif self.turns - self._watched[1] > MOST_TURNS - 1_000:
            raise SpinError(f"process {self.name} turns its loop without a pause")
        self.world.stamp(self.number)
        self.world.who, self.world.offset_us, self._inside = self.name, self.offset_us, True
        before = asyncio._get_running_loop()
        asyncio._set_running_loop(self)
        try:
            self._run_once()  # type: ignore[attr-defined]
        finally:
            asyncio._set_running_loop(before)
            self.world.who, self._inside = "", False
        self._next()

    def _next(self) -> None:
        ready: Any = self._ready  # type: ignore[attr-defined]
        scheduled: Any = self._scheduled  # type: ignore[attr-defined]
        if ready:
            self._arm(self.world.now_us)
        elif scheduled:
            self._arm(int(scheduled[0].when() * 1e6) + 1 - self.offset_us)

    def wake(self) -> None:
        """After SIGCONT: whatever was due is, at once."""
        self.stopped = False
        self._next()

    # --- what programs ask ---

    def call_soon(self, callback: Callable[..., object], *args: Any,  # type: ignore[override]
                  context: contextvars.Context | None = None) -> asyncio.Handle:
        handle = super().call_soon(callback, *args, context=context)
        if not self._inside and not self.stopped:
            self._arm(self.world.now_us)
        return handle

    def call_at(self, when: float, callback: Callable[..., object], *args: Any,  # type: ignore[override]
                context: contextvars.Context | None = None) -> asyncio.TimerHandle:
        handle = super().call_at(when, callback, *args, context=context)
        if not self._inside and not self.stopped:
            self._arm(int(when * 1e6) + 1 - self.offset_us)
        return handle

    def create_task(self, coro: Generator[Any, None, T] | Any, *, name: object = None,
                    context: contextvars.Context | None = None) -> asyncio.Task[T]:
        task: asyncio.Task[T] = super().create_task(coro, name=str(name) if name else "task", context=context)
        task._log_destroy_pending = False  # type: ignore[attr-defined]
        if len(self._tasks) > 64:
            self._tasks = [one for one in self._tasks if not one.done()]
        self._tasks.append(task)
        return task

    def run_in_executor(self, executor: Any, func: Any, *args: Any) -> Any:  # type: ignore[override]
        raise RuntimeError("no executor in virtual time")

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        if self._failed is None:
            super().call_exception_handler(context)
        elif not self.dead:
            self._failed(context)

    # --- its life ---

    def run_until_complete(self, future: Awaitable[T]) -> T:  # type: ignore[override]
        """Play the world until it is done. Raises `StuckError` if it never is."""
        task = asyncio.ensure_future(future, loop=self)
        self.world.run_till(task.done)
        return task.result()

    def kill(self) -> None:
        """Nothing of it runs from now on. What it held is kept until `bury`: when Python collects it shall not tell."""
        self.dead = True

    def bury(self) -> None:
        """After the run: its coroutines end, unheard."""
        self.dead = True
        before = asyncio._get_running_loop()
        asyncio._set_running_loop(self)
        try:
            for task in self._tasks:
                coroutine: Any = task.get_coro()
                if not task.done():
                    try:
                        coroutine.close()
                    except Exception:  # guards the others: one may await while it is being ended
                        self.world.count["unruly ends"] += 1
        finally:
            asyncio._set_running_loop(before)
        self._tasks.clear()
        self.close()
