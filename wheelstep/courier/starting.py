"""Starts go on while the system refuses for a moment what a process needs: files, descriptors, its address."""

from __future__ import annotations

import asyncio
import errno
import logging
import time
from collections.abc import Callable, Coroutine
from typing import TypeVar

from wheelstep.courier.config import ConfigError
from wheelstep.courier.local_errors import START_ERRORS, may_pass
from wheelstep.courier.reliable_selector import ReliableSelector

START_TIMEOUT_S = 20.0  # a courier that takes over 30 s to be ready has failed (standing test)
_RETRY_S = 0.05
ADDRESS_ERRORS = START_ERRORS | {errno.EADDRINUSE}
"""Of the address where clients connect: the process before this one may not have ended quite yet."""

Result = TypeVar("Result")

log = logging.getLogger(__name__)


class Patience:
    """The time limit of a start, and the errors that may pass meanwhile."""

    def __init__(self, errors: frozenset[int] = START_ERRORS) -> None:
        self._errors, self._until_s = errors, time.monotonic() + START_TIMEOUT_S

    def check(self, what: str, error: OSError | ConfigError) -> float:
        """Return the seconds to wait before the next try. Raises the error if that is of no use."""
        if not may_pass(error, self._errors) or time.monotonic() >= self._until_s:
            raise error
        log.warning("%s can't be opened yet: %s", what, error)
        return _RETRY_S


def retry_blocking(what: str, action: Callable[[], Result]) -> Result:
    """Return the result of an action, repeated while it fails for a reason that may pass. Raises its last error."""
    patience = Patience()
    while True:
        try:
            return action()
        except (OSError, ConfigError) as error:
            time.sleep(patience.check(what, error))


async def retry(what: str, action: Callable[[], Result], errors: frozenset[int] = START_ERRORS) -> Result:
    """As `retry_blocking`, in the event loop. `errors` may pass."""
    patience = Patience(errors)
    while True:
        try:
            return action()
        except (OSError, ConfigError) as error:
            await asyncio.sleep(patience.check(what, error))


def run_event_loop(main: Coroutine[object, object, Result]) -> Result:
    """Run a coroutine in a new event loop that survives failing system calls, and return its result. Raises `OSError`
    if no loop can be had in time."""
    with asyncio.Runner(loop_factory=create_event_loop) as runner:
        return runner.run(main)


def create_event_loop() -> asyncio.AbstractEventLoop:
    """Return a new event loop that survives failing system calls. Raises `OSError` if none can be had in time."""
    return retry_blocking("the event loop", lambda: asyncio.SelectorEventLoop(ReliableSelector()))
