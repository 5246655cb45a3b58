"""Draws the plan of a rehearsal from a scenario and a seed, completely before the start. No I/O, no clock.

Durations are divided by `speed` and rates multiplied by it, except for the judge's slack for sockets.
"""

from __future__ import annotations

import hashlib
import math
import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from wheelstep.rehearsal.history import ClassFigures, Effect, Figures
from wheelstep.rehearsal.planned import PROCESS_FAULTS, Arrival, Fault, Limit, Partner, Plan
from wheelstep.rehearsal.scenario import ClassPart, FaultPart, LimitPart, PartnerPart, Scenario

__all__ = ["EFFECT_SETTINGS", "RANDOM_NUMBERS", "Arrival", "Fault", "Limit", "Partner", "Plan", "Scale", "draw",
           "lognormal", "fault_of", "partner_of"]

RANDOM_NUMBERS = 4096  # count of numbers for events with a probability, used in turn by each endpoint
EFFECT_SETTINGS = {Effect.SAFE: "repeatable", Effect.KEYED: "by_key", Effect.UNSAFE: "once"}  # in couriers' settings


def draw(name: str, scenario: Scenario, seed: int, speed: float = 1.0) -> Plan:
    """Return the plan of a scenario; the same arguments give the same plan."""
    scale = Scale(speed)
    rng = random.Random(f"{name}/{seed}")
    partners = tuple(partner_of(scenario, number, part, scale) for number, part in enumerate(scenario.partners))
    arrivals = _arrivals(scenario, partners, random.Random(rng.random()), scale)
    faults = tuple(fault_of(scenario, part, partners, random.Random(rng.random()), scale) for part in scenario.faults)
    length_us = scale.time(scenario.length)
    figures = _figures(scenario, partners, scale)
    longest_us = max(cls.deadline_us for cls in figures.classes.values())
    last_us = max([length_us, *(fault.until_us for fault in faults if fault.kind in PROCESS_FAULTS)])
    return Plan(
        scenario=name, seed=seed, speed=speed, couriers=scenario.couriers, length_us=length_us,
        end_us=last_us + longest_us + figures.answer_slack_us + figures.restart_grace_us + 500_000,
        ready_within_us=scenario.ready_within, figures=figures, settings=_settings(scenario, figures, scale),
        partners=partners, arrivals=arrivals, faults=faults, retries=scenario.traffic.retries,
        honour=scenario.traffic.honour, backoff_us=scale.span(scenario.traffic.backoff),
        crowd=scenario.traffic.crowd, luck=tuple(rng.random() for _ in range(RANDOM_NUMBERS)))


@dataclass(frozen=True, slots=True)
class Scale:
    """Scales a scenario's times and rates to a speed."""

    speed: float

    def time(self, span_us: int) -> int:
        """Return a duration at this speed."""
        return round(span_us / self.speed)

    def span(self, span_us: tuple[int, int]) -> tuple[int, int]:
        """Return a range of durations at this speed."""
        return self.time(span_us[0]), self.time(span_us[1])

    def drawn(self, span_us: tuple[int, int], rng: random.Random) -> int:
        """Draw a duration from a range."""
        return self.time(round(rng.uniform(*span_us)))


def partner_of(scenario: Scenario, number: int, part: PartnerPart, scale: Scale) -> Partner:
    """Return a scenario's partner; its destination is `number` + 1."""
    kinds = [kind.name for kind in scenario.kinds]
    return Partner(
        name=part.name, destination=number + 1, kind=kinds.index(part.kind),
        endpoints=tuple(f"{part.name}-{index}" for index in range(part.endpoints)), lanes=part.lanes,
        queue=part.queue, pace_us=max(1, scale.time(part.pace)), limit=_limit(part.limit, scale),
        connections=part.connections or 0, run_on=part.run_on, key_memory=part.key_memory)


def _limit(part: LimitPart | None, scale: Scale) -> Limit | None:
    if part is None:
        return None
    return Limit(per_s=part.rate_per_s * scale.speed, window_us=scale.time(part.window or 0),
                 refused_count=part.refused_count, wait_us=scale.time(part.tells_wait or 0), report=part.report)


def lognormal(rng: random.Random, spread: float) -> float:
    """Draw a log-normal factor with mean 1 and the standard deviation `spread`."""
    sigma = math.sqrt(math.log(1 + spread * spread))
    return rng.lognormvariate(-sigma * sigma / 2, sigma)


def _arrivals(scenario: Scenario, partners: Sequence[Partner], rng: random.Random,
              scale: Scale) -> tuple[Arrival, ...]:
    traffic = scenario.traffic
    for_class = {cls.name: [number for number, part in enumerate(scenario.partners)
                            if not cls.kinds or part.kind in cls.kinds] for cls in scenario.classes}
    rows: list[Arrival] = []
    at_us = 0.0
    gap_us = 1e6 / traffic.rate_per_s
    while (at_us := at_us + rng.expovariate(1 / gap_us)) < scenario.length:
        cls = rng.choices(scenario.classes, [cls.share for cls in scenario.classes])[0]
        choice = for_class[cls.name]
        number = rng.choices(choice, [scenario.partners[index].share for index in choice])[0]
        count = traffic.clump_size if rng.random() < traffic.clumps / traffic.clump_size else 1
        for extra in range(count):
            rows.append(_arrival(scenario, cls, partners[number], scenario.partners[number],
                                 scale.time(round(at_us + extra * 2_000)), len(rows), rng))
    return tuple(sorted(rows, key=lambda row: row.at_us))


def _arrival(scenario: Scenario, cls: ClassPart, partner: Partner, part: PartnerPart, at_us: int, number: int,
             rng: random.Random) -> Arrival:
    key = f"{partner.name}.{rng.randrange(scenario.traffic.keys)}" if cls.ordered else None
    # Messages of one key are submitted to one courier.
    courier = rng.randrange(scenario.couriers)
    if key is not None:
        courier = int.from_bytes(hashlib.blake2b(key.encode(), digest_size=4).digest()) % scenario.couriers
    fresh = key is not None and random.Random(key).random() < scenario.traffic.fresh
    token = hashlib.blake2b(f"token/{scenario.title}/{number}".encode(), digest_size=16).hexdigest()
    return Arrival(at_us=at_us, number=number, courier=courier, message_class=cls.name,
                   destination=partner.destination, key=key, token=token if cls.effect is Effect.KEYED else None,
                   size=rng.randint(*cls.size), work=lognormal(rng, part.spread), luck=rng.random(), fresh=fresh)


def fault_of(scenario: Scenario, part: FaultPart, partners: Sequence[Partner], rng: random.Random,
             scale: Scale) -> Fault:
    """Return a scenario's fault with its times drawn."""
    at_us = scale.drawn(part.at, rng)
    until_us = at_us + scale.drawn(part.lasts or (0, 0), rng)
    endpoints: tuple[str, ...] = ()
    for partner in partners:
        if partner.name == part.partner:
            endpoints = partner.endpoints if part.endpoint is None else (partner.endpoints[part.endpoint],)
    couriers = range(scenario.couriers) if part.courier is None else [part.courier]
    stops: list[tuple[int, int]] = []
    if part.kind == "stall":
        every_us, pause = scale.time(part.every or 2_000_000), part.pause or (200_000, 500_000)
        begin = at_us
        while begin < until_us:
            stops.append((begin, begin + scale.drawn(pause, rng)))
            begin += every_us
    told = part.told_after or scenario.told_after
    return Fault(kind=part.kind, at_us=at_us, until_us=until_us, endpoints=endpoints, couriers=tuple(couriers),
                 share=1.0 if part.share is None else part.share, when=part.when or "after",
                 wait_us=scale.time(part.wait or 0), worker=part.worker or 0, stops_us=tuple(stops),
                 told_us=tuple(scale.drawn(told, rng) for _ in range(scenario.couriers)))


def _figures(scenario: Scenario, partners: Sequence[Partner], scale: Scale) -> Figures:
    rules = scenario.rules
    return Figures(
        classes={cls.name: ClassFigures(
            effect=cls.effect, ordered=cls.ordered, deadline_us=scale.time(cls.deadline),
            key_life_us=scale.time(cls.key_life), promise_us=scale.time(cls.promise), worth=cls.worth,
            late_worth=cls.late_worth) for cls in scenario.classes},
        drain_grace_us=scale.time(rules.drain_grace), fall_multiple=rules.fall_multiple,
        overload_for_us=scale.time(rules.fall_for), cold_from=rules.cold_from, cold_us=scale.time(rules.cold),
        order_settle_us=scale.time(rules.settle),
        routes_apart=frozenset(partner.destination for partner in partners
                               if scenario.kinds[partner.kind].routes_apart))


def _settings(scenario: Scenario, figures: Figures, scale: Scale) -> dict[str, Any]:
    return {
        "services": [{
            "name": name, "promise_us": cls.promise_us, "deadline_us": cls.deadline_us,
            "effect": EFFECT_SETTINGS[cls.effect], "group": "all", "key_ttl_us": cls.key_life_us or 5_000_000,
            "by_arrival": cls.ordered, "worth": cls.worth, "late_value": cls.late_worth}
            for name, cls in figures.classes.items()],
        "kinds": [kind.name for kind in scenario.kinds], "areas": ["a"], "locality": 0,
        "peers_total": scenario.couriers,
        "specifics": {"calls_out": scenario.slots, "per_call": [kind.batch for kind in scenario.kinds],
                      "kind_apart": [kind.routes_apart for kind in scenario.kinds], "late": "even"},
        "report": {"columns": ["x0", "x1"], "source": "inline"},
        "caps": {"open_cap": scenario.hold, "most_tries": scenario.max_attempts,
                 "conn_idle_us": scale.time(scenario.idle), "dial_timeout_us": scale.time(scenario.dial),
                 "may_duplicate": True, "may_probe": scenario.probes, "cancel": True, "retry_after": True,
                 "max_retry_after_us": scale.time(3_000_000)},
        "rules": {"order_settle_us": figures.order_settle_us, "cold_us": figures.cold_us,
                  "cold_from": figures.cold_from, "fall_multiple": figures.fall_multiple,
                  "overload_for_us": figures.overload_for_us, "drain_grace_us": figures.drain_grace_us,
                  "answer_slack_us": 20_000},
        "prices": {"handshake": 0.06, "probe": 0.01}, "tick_us": 5000,
    }
