"""asyncio's event loop in virtual time: one for each simulated process, all driven by one `World`.

It has no sockets, threads or executor; whatever needs one raises `RuntimeError`. An iteration costs `ITERATION_US` of
virtual time, so that a program that polls without a pause makes progress, and one that does nothing else is detected.
"""

from __future__ import annotations

import asyncio
import contextvars
from collections.abc import Awaitable, Callable, Generator
from typing import Any, TypeVar

from wheelstep.rehearsal.shard_world.world import MS, World

ITERATION_US = 5
MAX_ITERATIONS = 20_000  # in 100 ms, which is all of that time

T = TypeVar("T")


class SpinError(Exception):
    """A process runs its loop without a pause for 100 ms."""


class _Selector:
    """The selector of the base loop. It has no sockets, and so no events."""

    def select(self, timeout: float | None) -> list[Any]:
        return []


class VirtualLoop(asyncio.BaseEventLoop):
    """The event loop of one process.

    `offset_us` is the offset of its clock from true time. `on_failure` gets the context of exceptions that no program
    caught; None leaves them to asyncio's handler.
    """

    def __init__(self, world: World, name: str = "", number: int = 0, offset_us: int = 0,
                 on_failure: Callable[[dict[str, Any]], None] | None = None) -> None:
        super().__init__()
        self.world, self.name, self.number, self.offset_us = world, name, number, offset_us
        self.stopped = False  # SIGSTOP
        self.dead = False  # set for good when the process is killed
        self.iterations = 0
        self._on_failure = on_failure
        self._selector = _Selector()
        self._scheduled_us: int | None = None  # when the world runs its next iteration
        self._last_iteration_us = -ITERATION_US
        self._in_iteration = False
        self._spin_window = (0, 0)  # start of the window: time, count of iterations
        self._tasks: list[asyncio.Task[Any]] = []

    # --- time ---

    def time(self) -> float:
        """The time in seconds by this process's clock."""
        return (self.world.now_us + self.offset_us) / 1e6

    def _process_events(self, event_list: list[Any]) -> None:
        """Do nothing: there are no events of sockets."""

    def _write_to_self(self) -> None:
        raise RuntimeError("no threads in virtual time")

    def _schedule(self, true_us: int) -> None:
        due_us = max(true_us, self._last_iteration_us + ITERATION_US, self.world.now_us)
        if not self.dead and (self._scheduled_us is None or due_us < self._scheduled_us):
            self._scheduled_us = due_us
            self.world.call_at(due_us, self._fire, due_us)

    def _fire(self, due_us: int) -> None:
        if due_us != self._scheduled_us or self.dead:  # replaced by an earlier iteration
            return
        self._scheduled_us = None
        if not self.stopped:
            self.run_iteration()

    def run_iteration(self) -> None:
        """Run the callbacks that are due and ready now, and schedule the next iteration.

        Raises `SpinError` if the process iterates without a pause.
        """
        self._last_iteration_us = self.world.now_us
        self.iterations += 1
        if self._last_iteration_us - self._spin_window[0] > 100 * MS:
            self._spin_window = self._last_iteration_us, self.iterations
        elif self.iterations - self._spin_window[1] > MAX_ITERATIONS - 1_000:
            raise SpinError(f"process {self.name} runs its event loop without a pause")
        self.world.record_iteration(self.number)
        self.world.current_name, self.world.offset_us, self._in_iteration = self.name, self.offset_us, True
        previous_loop = asyncio._get_running_loop()
        asyncio._set_running_loop(self)
        try:
            self._run_once()  # type: ignore[attr-defined]
        finally:
            asyncio._set_running_loop(previous_loop)
            self.world.current_name, self._in_iteration = "", False
        self._schedule_next()

    def _schedule_next(self) -> None:
        ready: Any = self._ready  # type: ignore[attr-defined]
        scheduled: Any = self._scheduled  # type: ignore[attr-defined]
        if ready:
            self._schedule(self.world.now_us)
        elif scheduled:
            self._schedule(int(scheduled[0].when() * 1e6) + 1 - self.offset_us)

    def resume(self) -> None:
        """Continue after SIGCONT; timers that came due meanwhile run at once."""
        self.stopped = False
        self._schedule_next()

    # --- the interface of asyncio ---

    def call_soon(self, callback: Callable[..., object], *args: Any,  # type: ignore[override]
                  context: contextvars.Context | None = None) -> asyncio.Handle:
        """Schedule a callback for the next iteration."""
        handle = super().call_soon(callback, *args, context=context)
        if not self._in_iteration and not self.stopped:
            self._schedule(self.world.now_us)
        return handle

    def call_at(self, when: float, callback: Callable[..., object], *args: Any,  # type: ignore[override]
                context: contextvars.Context | None = None) -> asyncio.TimerHandle:
        """Schedule a callback at a time of this process's clock, in seconds."""
        handle = super().call_at(when, callback, *args, context=context)
        if not self._in_iteration and not self.stopped:
            self._schedule(int(when * 1e6) + 1 - self.offset_us)
        return handle

    def create_task(self, coro: Generator[Any, None, T] | Any, *, name: object = None,
                    context: contextvars.Context | None = None) -> asyncio.Task[T]:
        """Start a task. The loop keeps it until `dispose`."""
        task: asyncio.Task[T] = super().create_task(coro, name=str(name) if name else "task", context=context)
        task._log_destroy_pending = False  # type: ignore[attr-defined]
        if len(self._tasks) > 64:
            self._tasks = [one for one in self._tasks if not one.done()]
        self._tasks.append(task)
        return task

    def run_in_executor(self, executor: Any, func: Any, *args: Any) -> Any:  # type: ignore[override]
        """Raise `RuntimeError`: there are no threads in virtual time."""
        raise RuntimeError("no executor in virtual time")

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        """Pass an uncaught exception to `on_failure`; a dead loop drops it."""
        if self._on_failure is None:
            super().call_exception_handler(context)
        elif not self.dead:
            self._on_failure(context)

    # --- the end of the process ---

    def run_until_complete(self, future: Awaitable[T]) -> T:  # type: ignore[override]
        """Run the world until the future is done, and return its result. Raises `StuckError` if it never is."""
        task = asyncio.ensure_future(future, loop=self)
        self.world.run_until_done(task.done)
        return task.result()

    def kill(self) -> None:
        """Run nothing more. The tasks are kept until `dispose`: their garbage collection must not change the run."""
        self.dead = True

    def dispose(self) -> None:
        """Close the loop and the coroutines of its tasks after the run."""
        self.dead = True
        previous_loop = asyncio._get_running_loop()
        asyncio._set_running_loop(self)
        try:
            for task in self._tasks:
                coroutine: Any = task.get_coro()
                if not task.done():
                    try:
                        coroutine.close()
                    except Exception:  # a coroutine may await while it is closed; the others must still be
                        self.world.counts["unruly ends"] += 1
        finally:
            asyncio._set_running_loop(previous_loop)
        self._tasks.clear()
        self.close()
