"""Who hears of a message's end where there is no platform: `Ends`, and whoever the file names."""

from __future__ import annotations

import asyncio

from wheelstep.courier.core import Core
from wheelstep.courier.notifier import Notifier
from wheelstep.standalone.ends import End, Ends
from wheelstep.standalone.front import Front, mirrored, tenant_of

_WORDS = {"delivered": "delivered", "handed_back": "refused", "given_up": "failed"}


class Told:
    """In the place of the platform's notices: every end goes to `Ends`, undelivered ones to `notices` as well where
    the file wants that, and its tenant has room again. The journal owes it until all of them have it."""

    def __init__(self, front: Front, core: Core) -> None:
        self._front, self._core = front, core
        self.ends: Ends | None = None
        self.notices: Notifier | None = None
        self._half: set[str] = set()  # one of the two has them; bounded by what may be held

    def settled(self, names: list[str]) -> None:
        """One of them has these."""
        done = []
        for name in names:
            if self.notices is None or name in self._half:
                self._half.discard(name)
                done.append(name)
            else:
                self._half.add(name)
        if done:
            self._core.answered(done)

    def enqueue(self, message: str, outcome: str, retry_ms: int) -> None:
        """It has ended."""
        if mirrored(message):
            asyncio.get_running_loop().call_soon(self._core.answered, [message])
            return
        assert self.ends is not None
        self._front.tenants.over(tenant_of(message))
        self.ends.add(message, End.now(_WORDS[outcome], retry_ms))
        if self.notices is not None:
            if outcome == "delivered":
                self.settled([message])
            else:
                self.notices.enqueue(message, outcome, retry_ms)
