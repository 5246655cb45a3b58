"""The module's turns: gathers events for a tick, hands them in, and has its actions carried out in order. No policy
here.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Sequence

from wheelstep import Sender
from wheelstep import interface as api
from wheelstep.courier.call import Item
from wheelstep.interface import Outcome

_MOST_EVENTS = 2_000  # go to the module in one turn

Sends = dict[str, list[tuple[Item, int]]]
"""Attempts that begin in this turn, by endpoint, with their time-outs: what goes to one endpoint shares a call."""

log = logging.getLogger(__name__)


class Turns:
    """`carry_out` does one action (attempts are gathered in the sends), `call` starts a call."""

    def __init__(self, sender: Sender, tick_us: int, carry_out: Callable[[api.Action, Sends], None],
                 call: Callable[[str, Sequence[tuple[Item, int]]], None]) -> None:
        self.sender, self._tick_s, self._one, self._call = sender, tick_us / 1e6, carry_out, call
        self._events: list[api.Event] = []
        self._flush: asyncio.Handle | None = None
        self._timers: dict[int, asyncio.TimerHandle] = {}
        self.now_us = 0  # the moment that the module was told last: what its actions tell counts from here
        self.stopping = False  # nothing more is begun by this process
        self.frozen = False  # nor for now: another process is about to go on from here
        self.over = False  # the messages are another process's

    def post(self, event: api.Event) -> None:
        """Gather events for a tick: what goes to one endpoint in one turn shares a call."""
        if self.over:
            return
        self._events.append(event)
        if self._flush is None:
            self._flush = asyncio.get_running_loop().call_later(self._tick_s, self._turn)

    def thaw(self) -> None:
        """Go on."""
        self.frozen = False
        if self._events and self._flush is None:
            self._flush = asyncio.get_running_loop().call_soon(self._turn)

    def end(self) -> None:
        """For good."""
        self.over = True
        self._events.clear()
        for timer in self._timers.values():
            timer.cancel()

    def _turn(self) -> None:
        self._flush = None
        if self.stopping or self.frozen:
            return
        events, self._events = self._events[:_MOST_EVENTS], self._events[_MOST_EVENTS:]
        if self._events:  # guards the loop against 100,000 restored messages in one turn
            self._flush = asyncio.get_running_loop().call_soon(self._turn)
        try:
            self.now_us = time.monotonic_ns() // 1000
            self._carry_out(self.sender.handle(self.now_us, events))
        except Exception:
            log.exception("a turn failed; its events: %r", events)

    def _carry_out(self, actions: list[api.Action]) -> None:
        calls: Sends = {}
        for action in actions:
            try:
                if isinstance(action, api.SetTimer):
                    self._set(action)
                else:
                    self._one(action, calls)
            except Exception:  # one that fails may not take the others with it
                log.exception("could not carry out %r", action)
                if isinstance(action, api.StartAttempt):  # nor keep its slot
                    self.post(api.AttemptEnded(action.message, 0, action.endpoint, Outcome.NOT_SENT, 0))
        for endpoint, sends in calls.items():
            self._call(endpoint, sends)

    def _set(self, action: api.SetTimer) -> None:
        """In place of a later one, which would wake it for nothing."""
        if action.timer in self._timers:
            self._timers[action.timer].cancel()
        self._timers[action.timer] = asyncio.get_running_loop().call_later(
            action.in_us / 1e6, self._timer, action.timer)

    def _timer(self, timer: int) -> None:
        del self._timers[timer]
        self.post(api.TimerFired(timer))
