"""Keeps the courier's permanent tasks running."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Coroutine

_RESTART_S = 0.1

log = logging.getLogger(__name__)


async def keep_running(name: str, work: Callable[[], Coroutine[object, object, None]]) -> None:
    """Run a task until it returns or is cancelled, and start it again whenever it fails. An error in one task must not
    end the process: what it owes would have to wait for the next one."""
    while True:
        try:
            return await work()
        except Exception:
            log.exception("task %s failed and is started again", name)
            await asyncio.sleep(_RESTART_S)
