"""What goes to each voter next, in batches with a bound, one under way at a time. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from wheelstep.fleet.ballots import NEVER_US
from wheelstep.fleet.types import Accept, Prepare, Promise, Refused, Voted, Votes

BATCH = 256  # asks to one voter at once


class Batches:
    """By voter: parts to ask about (rounds go before renewals), the batch under way, and the highest place heard of."""

    def __init__(self, voters: Sequence[str], timeout_us: int) -> None:
        self._timeout_us = timeout_us
        self._rounds: dict[str, dict[int, None]] = {voter: {} for voter in voters}
        self._renewals: dict[str, dict[int, None]] = {voter: {} for voter in voters}
        self._out: dict[str, tuple[Votes, int]] = {}
        self.seen = dict.fromkeys(voters, 0)

    def ask(self, part: int, voters: Iterable[str]) -> None:
        """Of these, as soon as can be."""
        for voter in voters:
            self._rounds[voter][part] = None

    def renew(self, part: int, voters: Iterable[str]) -> None:
        """Of these, after what is asked for."""
        for voter in voters:
            self._renewals[voter][part] = None

    def ready(self, now_us: int, ask: Callable[[int, str], Prepare | Accept | None]) -> list[tuple[str, Votes]]:
        """The batches to send now; `ask` says what a part has to ask of a voter by now."""
        batches = []
        for voter in self._rounds:
            asks = [] if voter in self._out else self._fill(voter, ask)
            if asks:
                votes = Votes(tuple(asks), self.seen[voter])
                self._out[voter] = (votes, now_us)
                batches.append((voter, votes))
        return batches

    def _fill(self, voter: str, ask: Callable[[int, str], Prepare | Accept | None]) -> list[Prepare | Accept]:
        asks: list[Prepare | Accept] = []
        for queue in (self._rounds[voter], self._renewals[voter]):
            while queue and len(asks) < BATCH:
                part = next(iter(queue))
                del queue[part]
                if (one := ask(part, voter)) is not None:
                    asks.append(one)
        return asks

    def overdue(self, now_us: int) -> list[tuple[str, Votes]]:
        """Batches under way for too long; they are given up."""
        late = [(voter, votes) for voter, (votes, sent_us) in self._out.items() if sent_us + self._timeout_us <= now_us]
        for voter, _ in late:
            del self._out[voter]
        return late

    def take(self, voter: str, votes: Votes) -> int | None:
        """When this batch went out, if it is the one under way. The very one: an equal one may be an earlier one, whose
        answer says nothing of what was granted since."""
        out = self._out.get(voter)
        if out is None or out[0] is not votes:
            return None
        del self._out[voter]
        return out[1]

    def heard(self, voter: str, voted: Voted) -> None:
        """A voter's place."""
        self.seen[voter] = max(self.seen[voter], voted.place)

    def next_us(self) -> int:
        """When there is something to do; 0 for now."""
        if any((self._rounds[voter] or self._renewals[voter]) and voter not in self._out for voter in self._rounds):
            return 0
        return min((sent_us + self._timeout_us for _, sent_us in self._out.values()), default=NEVER_US)


def matching(votes: Votes, voted: Voted) -> bool:
    """Are these answers to these asks?"""
    return len(votes.asks) == len(voted.answers) and all(
        ask.part == answer.part and (isinstance(answer, Refused) or (
            isinstance(answer, Promise) == isinstance(ask, Prepare) and answer.ballot == ask.ballot))
        for ask, answer in zip(votes.asks, voted.answers, strict=True))
