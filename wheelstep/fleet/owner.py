"""Ownership of parts by one courier: acquires, renews and transfers leases. No I/O: takes answers and the time, returns
batches by voter, and events.

Every call with a time first expires leases, so that a process that was stalled does so before it handles an answer.
"""

from __future__ import annotations

from wheelstep.fleet.ballots import Decided, Event, Gained, Lost, Phase
from wheelstep.fleet.proposer import Proposer
from wheelstep.fleet.types import Ownership

__all__ = ["Decided", "Event", "Gained", "Lost", "Owner"]


class Owner(Proposer):
    """The proposer of one courier for all parts. Call `tick` at `next_us` and after every `answered`, and send the
    batches it returns. Report the outcome of each batch once, with the same `Votes` object: `answered(..., None)` after
    `timeout_us` at the latest."""

    # --- requests ---

    def want(self, part: int, at_once: bool = False) -> None:
        """Acquire the part whenever it is free, until `unwant`. `at_once`: it is free now; skip the scheduled wait."""
        state = self._parts[part]
        state.wanted = True
        if state.phase is Phase.IDLE and part not in self._leased:
            self._schedule(state, 0 if at_once else max(state.due_us, 0))

    def unwant(self, part: int) -> None:
        """Stop acquiring the part. A lease that is held is still renewed."""
        state = self._parts[part]
        state.wanted = False
        if state.phase in (Phase.PREPARE, Phase.ACCEPT) and not state.transfer_to and not state.keep_lease:
            self._end_round(state)

    def release(self, part: int) -> None:
        """Stop renewing and acquiring the part: its lease expires."""
        state = self._parts[part]
        state.wanted = state.keep_lease = False
        state.transfer_to = ""
        self._end_round(state)

    def give(self, now_us: int, part: int, to: str) -> None:
        """Transfer the part to another courier, or, if `to` is this one, continue it under a new epoch. The old epoch
        ends here at once, whatever the outcome; rounds continue until it is known (`Decided` or `Gained`). Raises
        `ValueError` for a part that this run has never owned."""
        self._expire(now_us)
        state = self._parts[part]
        if to != self.me and not state.epoch:
            raise ValueError(f"part {part} was never owned by {self.me}, cannot transfer it")
        self._drop_lease(part)
        state.transfer_epoch = max(state.epoch, state.transfer_epoch)
        state.transfer_to = to
        state.wanted = to == self.me
        state.failures = 0
        self._end_round(state)
        self._schedule(state, now_us)

    # --- state ---

    def epoch(self, part: int, now_us: int) -> int | None:
        """Return the epoch of the lease; None if it may have expired or there is none."""
        return self._epoch[part] if now_us < self._until_us[part] else None

    def leased(self) -> bool:
        """Return whether any lease is held, as of the last call with a time."""
        return bool(self._leased)

    def until_us(self, part: int) -> int:
        """Return when the lease ends; 0 without one."""
        return self._until_us[part]

    def holding(self, part: int) -> Ownership | None:
        """Return the newest holding reported by any voter, perhaps undecided; None if there is none."""
        newest = self._parts[part].newest()
        return newest if newest.epoch else None

    def decided(self, part: int) -> Ownership | None:
        """Return the newest holding known to be accepted by a majority; None if there is none."""
        decided = self._parts[part].decided
        return decided if decided.epoch else None

    def known_place(self, voter: str) -> int:
        """Return the highest log position known of a voter; 0 if none."""
        return self._batches.known_places.get(voter, 0)

    def next_us(self) -> int:
        """Return when to call `tick` next."""
        return min(self._wake_us, self._first_expiry_us, self._batches.next_us())

    def events(self, now_us: int) -> list[Event]:
        """Return the events since the last call or the last `answered`, which returns them too."""
        self._expire(now_us)
        events, self._events = self._events, []
        return events
