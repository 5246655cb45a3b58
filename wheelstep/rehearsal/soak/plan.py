"""What a play of the soak is made of, drawn whole from its seed: settings, traffic, and faults that overlap. No I/O."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Iterator
from typing import Any

from wheelstep.rehearsal.history import Effect
from wheelstep.rehearsal.plan import draw
from wheelstep.rehearsal.planned import Fault, Plan
from wheelstep.rehearsal.scenario import Scenario

RATE_PER_S = 5.0  # messages of each courier
CLOCK_STEPS_S = (-3600.0, -5.0, -0.4, 0.4, 5.0, 3600.0)
COURIER_FAULTS = ("kill", "term", "upgrade", "upgrades", "upgrade-kill", "pause", "reload", "discovery")
PROCESS_INSIDE = ("clock", "sockets", "short", "disk")
"""Faults that need the courier to run under `faulty`."""
ENDPOINT_FAULTS = ("stall", "silent", "hang", "refuse", "shut", "fail", "reset", "spoil", "leave", "replace")
_MS, _S = 1_000, 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Soak:
    """How large a play is, and which kinds of faults it has."""

    couriers: int = 24
    length_s: float = 12.0
    courier_faults: tuple[str, ...] = COURIER_FAULTS
    inside: tuple[str, ...] = PROCESS_INSIDE
    endpoint_faults: tuple[str, ...] = ENDPOINT_FAULTS


def plan(seed: int, soak: Soak) -> Plan:
    """Return the play of one seed."""
    rng = random.Random(f"soak {seed}")
    made = draw("soak", _scenario(rng, soak), seed)
    faults = sorted([*_at_couriers(rng, soak), *_inside(rng, soak), *_at_endpoints(rng, soak, made)],
                    key=lambda fault: fault.at_us)
    last_us = max([made.length_us, *(fault.until_us for fault in faults)])
    return dataclasses.replace(made, faults=tuple(faults), end_us=made.end_us + last_us - made.length_us)


def _scenario(rng: random.Random, soak: Soak) -> Scenario:
    settle_us = rng.choice([300 * _MS, 300 * _MS, 500 * _MS, 1_200 * _MS])
    deadline_us = rng.choice([2, 3, 4]) * _S
    promise_us = rng.choice([300 * _MS, 800 * _MS])

    def cls(name: str, effect: Effect, ordered: bool = False) -> dict[str, Any]:
        return {"name": name, "promise": f"{promise_us}us", "deadline": f"{deadline_us}us", "effect": effect,
                "key_life": "2500ms" if effect is Effect.KEYED else "0us", "ordered": ordered,
                "share": 2.0 if ordered else 1.0}

    limit = {"rate_per_s": soak.couriers * 1.5, "tells_wait": "400ms"}
    partners = [{"name": f"p{number}", "kind": rng.choice(["single", "batch"]), "endpoints": rng.choice([1, 2, 3]),
                 "lanes": 8 + soak.couriers // 2, "queue": 4 * soak.couriers,
                 "pace": f"{rng.choice([20, 60, 150])}ms", "limit": limit if number == 0 else None}
                for number in range(6)]
    return Scenario.model_validate({
        "title": "random overlapping faults", "rule": "all", "length": f"{soak.length_s}s",
        "couriers": soak.couriers, "slots": 24, "hold": 300, "idle": rng.choice(["1500ms", "10s"]), "dial": "800ms",
        "rules": {"settle": f"{settle_us}us", "cold": "4s"},
        "kind": [{"name": "single"}, {"name": "batch", "batch": 5}], "partner": partners,
        "class": [cls("safe", Effect.SAFE), cls("unsafe", Effect.UNSAFE), cls("keyed", Effect.KEYED),
                  cls("ordered-safe", Effect.SAFE, True), cls("ordered-unsafe", Effect.UNSAFE, True)],
        "traffic": {"rate_per_s": RATE_PER_S * soak.couriers, "keys": max(1, soak.couriers // 3), "fresh": 0.2}})


def _span(rng: random.Random, soak: Soak, least_s: float, most_s: float) -> tuple[int, int]:
    at_s = rng.uniform(0.5, soak.length_s)
    return int(at_s * 1e6), int((at_s + rng.uniform(least_s, most_s)) * 1e6)


def _at_couriers(rng: random.Random, soak: Soak) -> Iterator[Fault]:
    """One to three for each courier, whenever they come."""
    for courier in range(soak.couriers):
        for _ in range(rng.choice([1, 2, 3])):
            if not soak.courier_faults:
                return
            kind, who = rng.choice(soak.courier_faults), (courier,)
            at_us, until_us = _span(rng, soak, 0.3, 1.5)
            match kind:
                case "kill" | "term":
                    yield Fault(kind, at_us, at_us + 600 * _MS, couriers=who)
                case "upgrades":  # two new versions in a row
                    yield Fault("upgrade", at_us, at_us, couriers=who)
                    yield Fault("upgrade", at_us + 1, at_us + 1, couriers=who)
                case "upgrade-kill":  # around the moment of the hand-over
                    yield Fault("upgrade", at_us, at_us, couriers=who)
                    killed_us = at_us + int(rng.uniform(0.3, 1.2) * 1e6)
                    yield Fault("kill", killed_us, killed_us + 600 * _MS, couriers=who)
                case "upgrade" | "reload":
                    yield Fault(kind, at_us, at_us, couriers=who)
                case "pause":
                    yield Fault(kind, at_us, at_us + int(rng.uniform(0.03, 0.14) * 1e6), couriers=who)
                case _:
                    yield Fault(kind, at_us, until_us, couriers=who)


def _inside(rng: random.Random, soak: Soak) -> Iterator[Fault]:
    """For half of the couriers: the wall clock steps, sockets and the disk fail for a while."""
    for courier in range(0, soak.couriers, 2):
        for kind in rng.sample(soak.inside, min(len(soak.inside), rng.choice([1, 2]))):
            at_us, until_us = _span(rng, soak, 0.3, 1.2)
            share = {"clock": rng.choice(CLOCK_STEPS_S), "sockets": 0.5, "short": float(rng.choice([1, 7, 100])),
                     "disk": rng.choice([0.3, 1.0])}[kind]
            yield Fault(kind, at_us, at_us if kind == "clock" else until_us, couriers=(courier,), share=share)


def _at_endpoints(rng: random.Random, soak: Soak, made: Plan) -> Iterator[Fault]:
    """One or two for each partner: at all of its endpoints, or one."""
    for partner in made.partners:
        for kind in rng.sample(soak.endpoint_faults, min(len(soak.endpoint_faults), rng.choice([1, 2]))):
            at_us, until_us = _span(rng, soak, 0.5, 3.0)
            names = partner.endpoints if rng.random() < 0.4 else (rng.choice(partner.endpoints),)
            stops = tuple((begin, begin + int(rng.uniform(0.1, 0.4) * 1e6))
                          for begin in range(at_us, until_us, 700 * _MS))
            yield Fault(kind, at_us, until_us, endpoints=names, share=rng.choice([0.1, 0.4, 1.0]),
                        when=rng.choice(["before", "after"]), wait_us=rng.choice([0, 600 * _MS]),
                        stops_us=stops if kind == "stall" else (),
                        told_us=tuple(int(rng.uniform(0.1, 0.3) * 1e6) for _ in range(soak.couriers)))
