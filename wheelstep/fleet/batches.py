"""Request queues of the voters: bounded batches, at most one in flight per voter. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from wheelstep.fleet.ballots import NEVER_US
from wheelstep.fleet.types import Accept, Prepare, Promise, Refused, Voted, Votes

MAX_BATCH = 256  # requests per batch


class Batches:
    """By voter: queued parts (rounds before renewals), the batch in flight, and the highest log position seen."""

    def __init__(self, voters: Sequence[str], timeout_us: int) -> None:
        self._timeout_us = timeout_us
        self._rounds: dict[str, dict[int, None]] = {voter: {} for voter in voters}
        self._renewals: dict[str, dict[int, None]] = {voter: {} for voter in voters}
        self._in_flight: dict[str, tuple[Votes, int]] = {}
        self.known_places = dict.fromkeys(voters, 0)

    def queue_round(self, part: int, voters: Iterable[str]) -> None:
        """Queue the part for a round at these voters, ahead of renewals."""
        for voter in voters:
            self._rounds[voter][part] = None

    def queue_renewal(self, part: int, voters: Iterable[str]) -> None:
        """Queue the part for a renewal at these voters."""
        for voter in voters:
            self._renewals[voter][part] = None

    def start_batches(self, now_us: int, ask: Callable[[int, str], Prepare | Accept | None]) -> list[tuple[str, Votes]]:
        """Return the batches to send now. `ask` returns the current request of a part for a voter, None if obsolete."""
        batches = []
        for voter in self._rounds:
            asks = [] if voter in self._in_flight else self._fill(voter, ask)
            if asks:
                votes = Votes(tuple(asks), self.known_places[voter])
                self._in_flight[voter] = (votes, now_us)
                batches.append((voter, votes))
        return batches

    def _fill(self, voter: str, ask: Callable[[int, str], Prepare | Accept | None]) -> list[Prepare | Accept]:
        asks: list[Prepare | Accept] = []
        for queue in (self._rounds[voter], self._renewals[voter]):
            while queue and len(asks) < MAX_BATCH:
                part = next(iter(queue))
                del queue[part]
                if (request := ask(part, voter)) is not None:
                    asks.append(request)
        return asks

    def drop_overdue(self, now_us: int) -> list[tuple[str, Votes]]:
        """Return the batches that have timed out, and stop waiting for them."""
        overdue = [(voter, votes) for voter, (votes, sent_us) in self._in_flight.items()
                   if sent_us + self._timeout_us <= now_us]
        for voter, _ in overdue:
            del self._in_flight[voter]
        return overdue

    def complete(self, voter: str, votes: Votes) -> int | None:
        """Return when the batch was sent and stop waiting for it; None if it is not in flight. Compared by identity: an
        equal batch may be an earlier one, whose answer says nothing about later grants."""
        in_flight = self._in_flight.get(voter)
        if in_flight is None or in_flight[0] is not votes:
            return None
        del self._in_flight[voter]
        return in_flight[1]

    def record_place(self, voter: str, voted: Voted) -> None:
        """Record the log position of a voter."""
        self.known_places[voter] = max(self.known_places[voter], voted.place)

    def next_us(self) -> int:
        """Return when action is due; 0 if at once."""
        if any((self._rounds[voter] or self._renewals[voter]) and voter not in self._in_flight
               for voter in self._rounds):
            return 0
        return min((sent_us + self._timeout_us for _, sent_us in self._in_flight.values()), default=NEVER_US)


def answers_match(votes: Votes, voted: Voted) -> bool:
    """Return whether the answers match the requests one by one."""
    return len(votes.asks) == len(voted.answers) and all(
        ask.part == answer.part and (isinstance(answer, Refused) or (
            isinstance(answer, Promise) == isinstance(ask, Prepare) and answer.ballot == ask.ballot))
        for ask, answer in zip(votes.asks, voted.answers, strict=True))
