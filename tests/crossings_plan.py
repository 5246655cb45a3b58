"""Random orders of events that can cross at one courier: clients, endpoints, the list, signals. All from a seed."""

from __future__ import annotations

import random
from dataclasses import dataclass

from crossings_clients import SendOptions

ENDPOINTS = {f"e{number}": 1 + number % 4 for number in range(8)}  # and their destinations


@dataclass(frozen=True)
class Step:
    """One event, so long after the one before."""

    after_s: float
    what: str
    name: str = ""
    effect: str = ""
    key: str = ""
    destination: int = 0
    way: SendOptions = SendOptions()

    def __str__(self) -> str:
        way = {name: value for name, value in vars(self.way).items() if value != getattr(SendOptions(), name)}
        return " ".join(filter(None, [f"+{self.after_s * 1e3:.0f}", self.what, self.name, self.effect, self.key,
                                      f"to {self.destination}" if self.destination else "",
                                      str(way or "")]))


def plan(seed: int) -> list[Step]:
    """The order of one seed: traffic and news throughout, and one or two ends of the process among them."""
    rng = random.Random(f"crossings {seed}")
    steps = [_one(rng, f"m{number}") for number in range(150)]
    ends = rng.choice([["TERM"], ["TERM", "again"], ["KILL"], ["KILL", "TERM"], ["TERM", "KILL"], ["UPGRADE"],
                       ["UPGRADE", "UPGRADE"], ["UPGRADE", "KILL"], ["UPGRADE", "TERM"], ["KILL", "UPGRADE"]])
    for place, end in zip(sorted(rng.sample(range(10, 80), len(ends))), ends, strict=True):
        steps.insert(place, Step(0.0, end))
    return steps


def _one(rng: random.Random, name: str) -> Step:
    after_s = rng.choice([0.0, 0.0, 0.002, 0.01, 0.03, 0.06, 0.1])
    if rng.random() < 0.14:
        what = rng.choice(["drain", "remove", "back", "back", "refuse", "hush", "silent", "heard", "mute", "unmute",
                           "HUP", "crowd", "pause"])
        return Step(after_s, what, rng.choice(list(ENDPOINTS)) if what in (
            "drain", "remove", "back", "refuse", "hush") else "")
    effect = rng.choice(["safe", "keyed", "unsafe", "unsafe"])
    key = rng.choice(["", "k0", "k1"]) if effect != "keyed" else ""
    fresh = rng.random() < 0.4
    way = rng.choice([SendOptions(fresh)] * 6 + [
        SendOptions(fresh, held_s=rng.choice([0.0, 0.02, 0.2])),
        SendOptions(fresh, more=b"POST /api/x HTTP/1.1\r\nHost"), SendOptions(fresh, more=b"\r\n"),
        SendOptions(fresh, shut=True), SendOptions(fresh, leave_s=rng.choice([0.0, 0.001, 0.05])),
        SendOptions(fresh, linger_s=rng.choice([0.05, 0.4]))])
    return Step(after_s, "message", name, effect, key, rng.choice(list(ENDPOINTS.values())), way)
