"""An answer that has to wait for something else, such as a sync of the journal."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

log = logging.getLogger(__name__)


class PendingAnswer:
    """What the current answer of a connection waits for, if anything."""

    def __init__(self) -> None:
        self._work: asyncio.Future[None] | None = None

    def __bool__(self) -> bool:
        return self._work is not None

    def start(self, work: asyncio.Future[None], on_done: Callable[[asyncio.Future[None]], None],
              on_failure: Callable[[], None], on_finished: Callable[[], None]) -> None:
        """Call `on_done` once `work` is done, `on_failure` if that raises, and `on_finished` after either."""
        def done(work: asyncio.Future[None]) -> None:
            self._work = None
            try:
                on_done(work)
            except Exception:
                log.exception("a request failed unexpectedly")
                on_failure()
            on_finished()
        self._work = work
        work.add_done_callback(done)

    def cancel(self) -> None:
        """Stop waiting: the answer is what is known now."""
        if self._work is not None:
            self._work.cancel()
