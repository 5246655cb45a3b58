"""What clients handed in, and what took effect at partners. No I/O."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from wheelstep.rehearsal.plan import Arrival, Partner


@dataclass(frozen=True, slots=True)
class Known:
    """A message that some client handed in, by the id it was given."""

    arrival: Arrival
    body: bytes


class Ledger:
    """What clients handed in, and what took effect at partners."""

    def __init__(self) -> None:
        self.known: dict[str, Known] = {}
        self.effects: Counter[int] = Counter()  # by the planned message's number
        self._keys: dict[tuple[int, str], int] = {}  # keyed: until when a repeat is dropped

    def ran(self, message: str, partner: Partner, now_us: int, key_life_us: int) -> None:
        """A call for this message ran."""
        known = self.known.get(message)
        if known is None:
            return
        token = known.arrival.token
        if token is not None and partner.key_memory:
            if self._keys.get((partner.destination, token), -1) >= now_us:
                return
            self._keys[partner.destination, token] = now_us + key_life_us
        self.effects[known.arrival.number] += 1
