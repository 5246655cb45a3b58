"""The submitted messages and their effects at partners. No I/O."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from wheelstep.rehearsal.plan import Arrival, Partner


@dataclass(frozen=True, slots=True)
class Submission:
    """A message as a client submitted it, stored by the id of the submission."""

    arrival: Arrival
    body: bytes


class Ledger:
    """All submissions by message id, and how often each planned message took effect at its partner."""

    def __init__(self) -> None:
        self.submissions: dict[str, Submission] = {}
        self.effects: Counter[int] = Counter()  # by the planned message's number
        self._keys: dict[tuple[int, str], int] = {}  # by destination and token: until when repeats are dropped

    def record_execution(self, message: str, partner: Partner, now_us: int, key_life_us: int) -> None:
        """Record that a call for a message ran at a partner.

        A repeat of a token within `key_life_us` has no further effect if the partner remembers keys. An unknown
        message is ignored.
        """
        known = self.submissions.get(message)
        if known is None:
            return
        token = known.arrival.token
        if token is not None and partner.key_memory:
            if self._keys.get((partner.destination, token), -1) >= now_us:
                return
            self._keys[partner.destination, token] = now_us + key_life_us
        self.effects[known.arrival.number] += 1
