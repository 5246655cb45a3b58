"""asyncio's event loop in virtual time: one for each simulated process, all run by one `World`.

Whatever needs a socket, a thread or an executor raises. A turn takes `TURN_US` of virtual time, so that time advances
for a program that polls without a pause, and one that does nothing else is found.
"""

from __future__ import annotations

import asyncio
import contextvars
from collections.abc import Awaitable, Callable, Generator
from typing import Any, TypeVar

from wheelstep.rehearsal.shard_world.world import MS, World

TURN_US = 5
MAX_TURNS = 20_000  # that fit into a tenth of a second

T = TypeVar("T")


class SpinError(Exception):
    """A process runs turn after turn of its loop without a pause."""


class _Selector:
    """A selector without sockets: it never has events."""

    def select(self, timeout: float | None) -> list[Any]:
        return []


class VirtualLoop(asyncio.BaseEventLoop):
    """The event loop of one process. `clock_offset_us` is its clock's distance from true time; `on_unhandled` receives
    the contexts of exceptions that nothing caught."""

    def __init__(self, world: World, name: str = "", number: int = 0, clock_offset_us: int = 0,
                 on_unhandled: Callable[[dict[str, Any]], None] | None = None) -> None:
        super().__init__()
        self.world, self.name, self.number, self.clock_offset_us = world, name, number, clock_offset_us
        self.paused = False  # SIGSTOP
        self.killed = False
        self.turns = 0
        self._on_unhandled = on_unhandled
        self._selector = _Selector()
        self._due_us: int | None = None  # when the next turn is scheduled
        self._last_turn_us = -TURN_US
        self._in_turn = False
        self._spin_window = (0, 0)  # begin of the interval in which turns are counted, and the first turn in it
        self._tasks: list[asyncio.Task[Any]] = []

    # --- time ---

    def time(self) -> float:
        """Return the time of this process's clock, in seconds."""
        return (self.world.now_us + self.clock_offset_us) / 1e6

    def _process_events(self, event_list: list[Any]) -> None:
        """Do nothing: there are no events of sockets."""

    def _write_to_self(self) -> None:
        raise RuntimeError("no threads in virtual time")

    def _schedule_turn(self, true_us: int) -> None:
        due_us = max(true_us, self._last_turn_us + TURN_US, self.world.now_us)
        if not self.killed and (self._due_us is None or due_us < self._due_us):
            self._due_us = due_us
            self.world.schedule_at(due_us, self._run_scheduled_turn, due_us)

    def _run_scheduled_turn(self, due_us: int) -> None:
        if due_us != self._due_us or self.killed:  # an earlier turn has replaced this one
            return
        self._due_us = None
        if not self.paused:
            self.run_turn()

    def run_turn(self) -> None:
        """Run what is due and ready now. Raises `SpinError` if the turns leave no time for anything else."""
        self._last_turn_us = self.world.now_us
        self.turns += 1
        if self._last_turn_us - self._spin_window[0] > 100 * MS:
            self._spin_window = self._last_turn_us, self.turns
        elif self.turns - self._spin_window[1] > MAX_TURNS - 1_000:
            raise SpinError(f"process {self.name} runs its loop without a pause")
        self.world.record_turn(self.number)
        self.world.current_process, self.world.clock_offset_us, self._in_turn = self.name, self.clock_offset_us, True
        previous_loop = asyncio._get_running_loop()
        asyncio._set_running_loop(self)
        try:
            self._run_once()  # type: ignore[attr-defined]
        finally:
            asyncio._set_running_loop(previous_loop)
            self.world.current_process, self._in_turn = "", False
        self._schedule_next_turn()

    def _schedule_next_turn(self) -> None:
        ready: Any = self._ready  # type: ignore[attr-defined]
        scheduled: Any = self._scheduled  # type: ignore[attr-defined]
        if ready:
            self._schedule_turn(self.world.now_us)
        elif scheduled:
            self._schedule_turn(int(scheduled[0].when() * 1e6) + 1 - self.clock_offset_us)

    def resume(self) -> None:
        """Continue after SIGCONT: overdue timers run at once."""
        self.paused = False
        self._schedule_next_turn()

    # --- methods that programs call ---

    def call_soon(self, callback: Callable[..., object], *args: Any,  # type: ignore[override]
                  context: contextvars.Context | None = None) -> asyncio.Handle:
        """Schedule a callback, and a turn of this loop if none is running."""
        handle = super().call_soon(callback, *args, context=context)
        if not self._in_turn and not self.paused:
            self._schedule_turn(self.world.now_us)
        return handle

    def call_at(self, when: float, callback: Callable[..., object], *args: Any,  # type: ignore[override]
                context: contextvars.Context | None = None) -> asyncio.TimerHandle:
        """Schedule a callback at a time of this loop's clock."""
        handle = super().call_at(when, callback, *args, context=context)
        if not self._in_turn and not self.paused:
            self._schedule_turn(int(when * 1e6) + 1 - self.clock_offset_us)
        return handle

    def create_task(self, coro: Generator[Any, None, T] | Any, *, name: object = None,
                    context: contextvars.Context | None = None) -> asyncio.Task[T]:
        """Create a task, and keep it for `dispose`."""
        task: asyncio.Task[T] = super().create_task(coro, name=str(name) if name else "task", context=context)
        task._log_destroy_pending = False  # type: ignore[attr-defined]
        if len(self._tasks) > 64:
            self._tasks = [one for one in self._tasks if not one.done()]
        self._tasks.append(task)
        return task

    def run_in_executor(self, executor: Any, func: Any, *args: Any) -> Any:  # type: ignore[override]
        """Raise RuntimeError: there are no threads in virtual time."""
        raise RuntimeError("no executor in virtual time")

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        """Pass an exception that nothing caught to `on_unhandled`; a killed process reports none."""
        if self._on_unhandled is None:
            super().call_exception_handler(context)
        elif not self.killed:
            self._on_unhandled(context)

    # --- start and end ---

    def run_until_complete(self, future: Awaitable[T]) -> T:  # type: ignore[override]
        """Run the world until `future` is done and return its result. Raises `StuckError` if it never is."""
        task = asyncio.ensure_future(future, loop=self)
        self.world.run_until_done(task.done)
        return task.result()

    def kill(self) -> None:
        """Stop the loop for good. Its tasks are kept until `dispose`, so that garbage collection can't end them at a
        time that differs between runs."""
        self.killed = True

    def dispose(self) -> None:
        """Close all coroutines after the run, and ignore their errors."""
        self.killed = True
        previous_loop = asyncio._get_running_loop()
        asyncio._set_running_loop(self)
        try:
            for task in self._tasks:
                coroutine: Any = task.get_coro()
                if not task.done():
                    try:
                        coroutine.close()
                    except Exception:  # a coroutine that awaits while it is closed must not keep the others open
                        self.world.counts["unruly ends"] += 1
        finally:
            asyncio._set_running_loop(previous_loop)
        self._tasks.clear()
        self.close()
