"""The daemon's side of the account: writes one log line per event. Lines are written at once and not buffered here.

`wheelstep.account.lines` lists the kinds of lines.
"""

from __future__ import annotations

import asyncio
import hashlib
import logging
import os
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from wheelstep.account.lines import write
from wheelstep.interface import Decay, LimitReport, MessageClass, WaitReason

GAUGE_S = 0.25

log = logging.getLogger("wheelstep.account")

Gauge = Callable[[], tuple[int, int, int, Sequence[tuple[int, WaitReason, int]]]]


class AccountWriter:
    """Writes one courier's lines, from its start on."""

    def __init__(self, courier: str, classes: Mapping[str, MessageClass], decay: Decay) -> None:
        """Write the first line."""
        self._salt = os.urandom(16)  # hash keys, so that the log distinguishes them without containing them
        self.lists = 0  # calls to discovery since the start
        self._write_line("head", courier, {
            name: [cls.worth, cls.promise_us // 1000, cls.deadline_us // 1000, cls.late_worth, decay is Decay.HALVES]
            for name, cls in classes.items()})

    def _write_line(self, kind: str, *fields: Any) -> None:
        """Write one line."""
        log.info(write(time.time_ns() // 1_000_000, kind, *fields))

    def taken(self, message: str, cls: str, destination: int, key: str | None, left_ms: int, again: bool,
              restored: bool = False) -> None:
        """Write a "take" line: a message was answered 202; `restored`: a "back" line, it was found in the journal.

        `left_ms` is the time to its deadline, `again` whether it had been handed in or accepted before
        (`resubmitted`); `key` is set only if it keeps an order.
        """
        hashed = None if key is None else hashlib.blake2b(key.encode(), digest_size=6, key=self._salt).hexdigest()
        self._write_line("back" if restored else "take", message, cls, destination, hashed, left_ms, again)

    def turned_away(self, message: str, cls: str, status: int) -> None:
        """Write a "door" line: a message was refused on receipt with this HTTP status."""
        self._write_line("door", message, cls, status)

    def starting(self, message: str, attempt: int, endpoint: str) -> None:
        """Write a "go" line: an attempt's first byte is about to be written."""
        self._write_line("go", message, attempt, endpoint)

    def ended(self, message: str, attempt: int, endpoint: str, outcome: str, spent_us: int, over: bool,
              limit: LimitReport | None) -> None:
        """Write an "out" line: an attempt has an outcome. `over` is true if it delivered its message, or the endpoint
        answered that the message is over already."""
        told = (None, None) if limit is None else (limit.left, limit.per_s)
        self._write_line("out", message, attempt, endpoint, outcome, spent_us // 1000, over, *told)

    def ended_undelivered(self, message: str, outcome: str, reason: str) -> None:
        """Write an "end" line: a message has ended undelivered; `reason` is the value of an `EndReason`. A delivered
        one has no such line."""
        self._write_line("end", message, outcome, reason)

    def probed(self, endpoint: str, outcome: str) -> None:
        """Write a "probe" line: a probe has an outcome."""
        self._write_line("probe", endpoint, outcome)

    async def run(self, gauge: Gauge) -> None:
        """Write a "gauge" line every `GAUGE_S` seconds; never returns.

        `gauge` returns calls in progress, open connections, handshakes since the start, and by destination why and how
        many messages wait. The line also has `lists`.
        """
        while True:
            await asyncio.sleep(GAUGE_S)
            out, links, dials, held = gauge()
            self._write_line("gauge", out, links, dials, self.lists,
                             [(number, why.value, many) for number, why, many in held])
