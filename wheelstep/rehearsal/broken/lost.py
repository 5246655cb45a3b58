"""Couriers that lose messages."""

from __future__ import annotations

import json

from wheelstep.courier.core import Core
from wheelstep.courier.notifier import Notifier, PostResult
from wheelstep.journal import Journal
from wheelstep.journal.segments import Log, Segment


def answers_only() -> None:
    """Answer 202 and never start a message."""
    Core.begin = lambda self, name: None  # type: ignore[method-assign]


def drops_on_kill() -> None:
    """Keep accepted messages in memory only."""

    def append(self: Log, data: bytes) -> Segment:
        if not self.segments:
            self.roll()
        return self.segments[-1]

    Log.append = append  # type: ignore[method-assign]


def drops_on_term() -> None:
    """Empty the journal at an orderly shutdown."""
    close = Journal.close

    def empty(self: Journal) -> None:
        for name in self._disk.names():
            self._disk.unlink(name)
        close(self)

    Journal.close = empty  # type: ignore[method-assign]


def two_ends() -> None:
    """Send each notification twice, the second time with the other outcome."""
    post = Notifier._post

    async def twice(self: Notifier, body: bytes) -> PostResult:
        lines = [json.loads(line) for line in body.splitlines()]
        for line in lines:
            line["outcome"] = "given_up" if line["outcome"] == "handed_back" else "handed_back"
        return await post(self, body + b"".join(json.dumps(line).encode() + b"\n" for line in lines))

    Notifier._post = twice  # type: ignore[method-assign]
