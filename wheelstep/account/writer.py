"""The daemon's side of the account: lines into its log, written as things happen. Nothing is kept and nothing waits."""

from __future__ import annotations

import asyncio
import hashlib
import logging
import os
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from wheelstep.account.lines import write
from wheelstep.interface import Decay, Holdup, LimitReport, MessageClass

GAUGE_S = 0.25

log = logging.getLogger("wheelstep.account")

Gauge = Callable[[], tuple[int, int, int, Sequence[tuple[int, Holdup, int]]]]


class Account:
    """One courier's, from its start on."""

    def __init__(self, courier: str, classes: Mapping[str, MessageClass], decay: Decay) -> None:
        self._salt = os.urandom(16)  # keys are told apart, not told
        self.lists = 0  # calls to discovery since the start
        self._say("head", courier, {
            name: [cls.worth, cls.promise_us // 1000, cls.deadline_us // 1000, cls.late_worth, decay is Decay.HALVES]
            for name, cls in classes.items()})

    def _say(self, kind: str, *fields: Any) -> None:
        log.info(write(time.time_ns() // 1_000_000, kind, *fields))

    def taken(self, message: str, cls: str, destination: int, key: str | None, left_ms: int, again: bool,
              restored: bool = False) -> None:
        """One was answered 202, or was found in the journal. `key`: if it keeps an order."""
        hashed = None if key is None else hashlib.blake2b(key.encode(), digest_size=6, key=self._salt).hexdigest()
        self._say("back" if restored else "take", message, cls, destination, hashed, left_ms, again)

    def turned_away(self, message: str, cls: str, status: int) -> None:
        """Not taken on."""
        self._say("door", message, cls, status)

    def starting(self, message: str, attempt: int, endpoint: str) -> None:
        """An attempt's first byte is about to be written."""
        self._say("go", message, attempt, endpoint)

    def ended(self, message: str, attempt: int, endpoint: str, outcome: str, spent_us: int, over: bool,
              limit: LimitReport | None) -> None:
        """An attempt has its outcome; `over`: the message is delivered with it or was before."""
        told = (None, None) if limit is None else (limit.left, limit.per_s)
        self._say("out", message, attempt, endpoint, outcome, spent_us // 1000, over, *told)

    def final(self, message: str, outcome: str, reason: str) -> None:
        """A message has ended undelivered; `reason` is the value of an `EndReason`."""
        self._say("end", message, outcome, reason)

    def probed(self, endpoint: str, outcome: str) -> None:
        """A probe has its outcome."""
        self._say("probe", endpoint, outcome)

    async def run(self, gauge: Gauge) -> None:
        """Write down what holds messages up, for good. `gauge` gives the slots out, connections open, handshakes
        since the start, and what is held up."""
        while True:
            await asyncio.sleep(GAUGE_S)
            out, links, dials, held = gauge()
            self._say("gauge", out, links, dials, self.lists, [(number, why.value, many) for number, why, many in held])
