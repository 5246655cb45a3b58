"""Reports the ends of messages where there is no platform: to `Ends`, and to the `notify` address of the file."""

from __future__ import annotations

import asyncio

from wheelstep.courier.core import Core
from wheelstep.courier.notifier import Notifier
from wheelstep.standalone.ends import End, Ends
from wheelstep.standalone.front import Front, is_mirror_copy, tenant_of

_END_OF_OUTCOME = {"delivered": "delivered", "handed_back": "refused", "given_up": "failed"}


class EndReporter:
    """Takes the place of the platform's notices. Stores every end in `Ends`, sends undelivered ones to `notices` too if
    the file has `notify`, and releases the tenant's share. The journal owes an end until all of them have it."""

    def __init__(self, front: Front, core: Core) -> None:
        self._front, self._core = front, core
        self.ends: Ends | None = None
        self.notices: Notifier | None = None
        self._half_confirmed: set[str] = set()  # confirmed by one of the two; bounded by the limit of held messages

    def confirm(self, names: list[str]) -> None:
        """Note that `Ends` or `notices` has these ends; tell the core of those that need no more confirmation."""
        confirmed = []
        for name in names:
            if self.notices is None or name in self._half_confirmed:
                self._half_confirmed.discard(name)
                confirmed.append(name)
            else:
                self._half_confirmed.add(name)
        if confirmed:
            self._core.answered(confirmed)

    def enqueue(self, message: str, outcome: str, retry_ms: int) -> None:
        """Report the end of a message."""
        if is_mirror_copy(message):
            asyncio.get_running_loop().call_soon(self._core.answered, [message])
            return
        assert self.ends is not None
        self._front.tenants.release(tenant_of(message))
        self.ends.add(message, End.now(_END_OF_OUTCOME[outcome], retry_ms))
        if self.notices is not None:
            if outcome == "delivered":
                self.confirm([message])
            else:
                self.notices.enqueue(message, outcome, retry_ms)
