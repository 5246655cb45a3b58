"""The order of keys as the calls see it: which messages of a key have an end that the platform has not confirmed."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Iterable


class KeyOrder:
    """A message that ended by a notification is complete only once that is answered."""

    def __init__(self) -> None:
        self._unanswered: dict[str, set[str]] = defaultdict(set)  # key -> messages whose notification is not answered
        self._answered = asyncio.Event()  # set, and replaced, whenever notifications were answered

    def notification_pending(self, message: str, key: str) -> None:
        """The platform is to be notified of the end of this one."""
        self._unanswered[key].add(message)

    def notification_answered(self, message: str, key: str | None) -> None:
        """It was."""
        if key in self._unanswered:
            self._unanswered[key].discard(message)
            if not self._unanswered[key]:
                del self._unanswered[key]

    def wake(self) -> None:
        """Let those look again that wait in `until_answered`."""
        self._answered.set()
        self._answered = asyncio.Event()

    async def until_answered(self, keys: Iterable[str]) -> None:
        """Wait until no notification of these keys is pending."""
        wanted = set(keys)
        while any(self._unanswered.get(key) for key in wanted):
            await self._answered.wait()
