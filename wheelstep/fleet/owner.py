"""A courier's side of the registers: it asks for parts, renews its leases, and gives parts away. No I/O: answers and a
clock go in, batches by voter and events come out.

Every call that has a clock first ends the leases that have run out, so that a process that stood still heeds no answer
before that.
"""

from __future__ import annotations

from wheelstep.fleet.ballots import Event, Gained, Lost, Passed, Phase
from wheelstep.fleet.proposer import Proposer
from wheelstep.fleet.types import Holding

__all__ = ["Event", "Gained", "Lost", "Owner", "Passed"]


class Owner(Proposer):
    """The proposer of one courier for all parts. Call `tick` when `next_us` has come and after every `answered`, send
    what it gives, and tell the outcome of each batch once, with the very `Votes` that went out: `answered(..., None)`
    after `timeout_us` at the latest."""

    # --- what is wished ---

    def want(self, part: int, at_once: bool = False) -> None:
        """Ask for it whenever it is free, until `unwant`. `at_once`: it is free now, whatever was heard before."""
        this = self._parts[part]
        this.wanted = True
        if this.phase is Phase.REST and part not in self._leased:
            self._due(this, 0 if at_once else max(this.due_us, 0))

    def unwant(self, part: int) -> None:
        """Ask no more. What is held is renewed all the same."""
        this = self._parts[part]
        this.wanted = False
        if this.phase in (Phase.PREPARE, Phase.ACCEPT) and not this.goal and not this.keep:
            self._rest(this)

    def release(self, part: int) -> None:
        """Renew no more, and ask no more: the lease runs out."""
        this = self._parts[part]
        this.wanted = this.keep = False
        this.goal = ""
        self._rest(this)

    def give(self, now_us: int, part: int, to: str) -> None:
        """Have the register say that the next epoch is another's, or (`to` being this courier) that it goes on under a
        new one. From now on the old epoch counts no more here, whatever comes of it; it asks until it knows
        (`Passed`, or `Gained`). `ValueError` for a part that this life has never had."""
        self._expire(now_us)
        this = self._parts[part]
        if to != self.me and not this.epoch:
            raise ValueError(f"part {part} was never {self.me}'s to give")
        self._void(part)
        this.given = max(this.epoch, this.given)
        this.goal = to
        this.wanted = to == self.me
        this.tries = 0
        self._rest(this)
        self._due(this, now_us)

    # --- what is known ---

    def epoch(self, part: int, now_us: int) -> int | None:
        """Of the lease, if it surely still runs."""
        return self._epoch[part] if now_us < self._until_us[part] else None

    def leased(self) -> bool:
        """Does it hold any lease, as far as the clock was last told?"""
        return bool(self._leased)

    def until_us(self, part: int) -> int:
        """When the lease ends; 0 without one."""
        return self._until_us[part]

    def holding(self, part: int) -> Holding | None:
        """The newest heard of from any voter; a majority may not have it."""
        newest = self._parts[part].newest()
        return newest if newest.epoch else None

    def decided(self, part: int) -> Holding | None:
        """The newest that a majority is known to have accepted."""
        decided = self._parts[part].decided
        return decided if decided.epoch else None

    def seen(self, voter: str) -> int:
        """The highest place of a voter's log heard of."""
        return self._batches.seen.get(voter, 0)

    def next_us(self) -> int:
        """When to call `tick` next."""
        return min(self._wake_us, self._lapse_us, self._batches.next_us())

    def events(self, now_us: int) -> list[Event]:
        """What has happened since last asked; `answered` gives it as well."""
        self._expire(now_us)
        events, self._events = self._events, []
        return events
