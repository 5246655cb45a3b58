"""Runs the decision module in turns: collects events for one tick, passes them on, and has the resulting actions
carried out in order. Makes no decisions itself.
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

_MAX_EVENTS = 2_000  # events passed to the decision module in one turn

AttemptBatches = dict[str, list[tuple[Item, int]]]
"""Attempts that start in this turn, by endpoint, with their time-outs; those to one endpoint share a call."""

log = logging.getLogger("wheelstep.courier.turns")


class DecisionLoop:
    """Passes events to the decision module. `carry_out` executes one action, collecting attempts in the batches;
    `call` starts a call."""

    def __init__(self, sender: Sender, tick_us: int, carry_out: Callable[[api.Action, AttemptBatches], None],
                 call: Callable[[str, Sequence[tuple[Item, int]]], None]) -> None:
        self.sender, self._tick_s, self._carry_out_action, self._call = sender, tick_us / 1e6, carry_out, call
        self._events: list[api.Event] = []
        self._next_turn: asyncio.Handle | None = None
        self._timers: dict[int, asyncio.TimerHandle] = {}
        self.now_us = 0  # time passed to the decision module last; its actions' times count from here
        self.stopping = False  # this process starts nothing more
        self.frozen = False  # suspended, as another process is about to take over
        self.closed = False  # another process owns the messages

    def post(self, event: api.Event) -> None:
        """Queue an event for the next turn. Waiting for a tick lets attempts to one endpoint share a call."""
        if self.closed:
            return
        self._events.append(event)
        if self._next_turn is None:
            self._next_turn = asyncio.get_running_loop().call_later(self._tick_s, self._run_turn)

    def thaw(self) -> None:
        """Resume after a suspension."""
        self.frozen = False
        if self._events and self._next_turn is None:
            self._next_turn = asyncio.get_running_loop().call_soon(self._run_turn)

    def end(self) -> None:
        """Stop for good: drop queued events and cancel timers."""
        self.closed = True
        self._events.clear()
        for timer in self._timers.values():
            timer.cancel()

    def _run_turn(self) -> None:
        self._next_turn = None
        if self.stopping or self.frozen:
            return
        events, self._events = self._events[:_MAX_EVENTS], self._events[_MAX_EVENTS:]
        if self._events:  # keeps 100,000 restored messages from blocking the event loop in one turn
            self._next_turn = asyncio.get_running_loop().call_soon(self._run_turn)
        try:
            self.now_us = time.monotonic_ns() // 1000
            self._carry_out_all(self.sender.handle(self.now_us, events))
        except Exception:
            log.exception("a turn failed in the decision module; its events: %r", events)

    def _carry_out_all(self, actions: list[api.Action]) -> None:
        batches: AttemptBatches = {}
        for action in actions:
            try:
                if isinstance(action, api.SetTimer):
                    self._set_timer(action)
                else:
                    self._carry_out_action(action, batches)
            except Exception:  # a failed action must not prevent the others
                log.exception("could not carry out %r", action)
                if isinstance(action, api.StartAttempt):  # nor must it keep its slot
                    self.post(api.AttemptEnded(action.message, 0, action.endpoint, Outcome.NOT_SENT, 0))
        for endpoint, batch in batches.items():
            self._call(endpoint, batch)

    def _set_timer(self, action: api.SetTimer) -> None:
        """Set a timer in place of one with the same number, whose later wake-up would be needless."""
        if action.timer in self._timers:
            self._timers[action.timer].cancel()
        self._timers[action.timer] = asyncio.get_running_loop().call_later(
            action.in_us / 1e6, self._timer_fired, action.timer)

    def _timer_fired(self, timer: int) -> None:
        del self._timers[timer]
        self.post(api.TimerFired(timer))
