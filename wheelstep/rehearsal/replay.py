"""Makes a plan from a record, with a scenario's partners or partners made to fit. No I/O, no clock."""

from __future__ import annotations

import hashlib
import json
import math
import random
from collections.abc import Sequence
from typing import Any

from wheelstep.recording.format import Record, Row
from wheelstep.rehearsal.history import ClassFigures, Figures
from wheelstep.rehearsal.plan import EFFECT_SETTINGS, RANDOM_NUMBERS, Scale, fault_of, lognormal, partner_of
from wheelstep.rehearsal.planned import Arrival, Partner, Plan
from wheelstep.rehearsal.scenario import Scenario, ScenarioError


def replay(record: Record, seed: int, speed: float = 1.0, source: str = "record",
           scenario: Scenario | None = None) -> Plan:
    """Return a plan that submits the messages of a record; those of classes missing from its settings are left out.

    Partners and faults come from `scenario`, matched by the number of the destination. Without a scenario, partners
    are made from the recorded endpoint list, with at least twice the capacity that the record needs. Raises
    `ScenarioError` if a recorded destination has no partner.
    """
    scale = Scale(speed)
    rng = random.Random(f"{source}/{seed}")
    settings = json.loads(json.dumps(record.head.settings))
    _scale_settings(settings, speed)
    classes = _recorded_classes(settings)
    rows = [row for row in record.rows if row.message_class in classes]
    length = max((row.at_us for row in rows), default=0)
    if scenario is not None:
        partners = tuple(partner_of(scenario, number, part, scale) for number, part in enumerate(scenario.partners))
        faults = tuple(fault_of(scenario, part, partners, random.Random(rng.random()), scale)
                       for part in scenario.faults)
    else:
        partners, faults = _recorded_partners(record, rows, length, speed), ()
    known = {partner.destination for partner in partners}
    if missing := sorted({row.destination for row in rows} - known):
        raise ScenarioError(f"{source}: destination {missing[0]} has no partner; expected one of {sorted(known)}")
    arrivals = []
    for number, row in enumerate(rows):
        token = hashlib.blake2b(f"token/{source}/{number}".encode(), digest_size=16).hexdigest()
        arrivals.append(Arrival(
            at_us=scale.time(row.at_us), number=number, courier=0, message_class=row.message_class,
            destination=row.destination, key=row.key, token=token if row.keyed else None, size=row.size,
            work=lognormal(rng, 0.3), luck=rng.random(), deadline_us=scale.time(row.deadline_ms * 1000)))
    rules = settings.get("rules", {})
    figures = Figures(
        classes=classes, drain_grace_us=int(rules.get("drain_grace_us", 250_000)),
        fall_multiple=float(rules.get("fall_multiple", 1.5)),
        overload_for_us=int(rules.get("overload_for_us", 3_000_000)), cold_from=float(rules.get("cold_from", 0.27)),
        cold_us=int(rules.get("cold_us", 14_000_000)), order_settle_us=int(rules.get("order_settle_us", 300_000)),
        routes_apart=frozenset(partner.destination for partner in partners
                               if (settings["specifics"].get("kind_apart") or [False])[partner.kind]))
    last_us = max([scale.time(length), *(fault.until_us for fault in faults)])
    longest_us = max([cls.deadline_us for cls in classes.values()] + [row.deadline_us for row in arrivals])
    return Plan(
        scenario=source, seed=seed, speed=speed, couriers=1, length_us=scale.time(length),
        end_us=last_us + longest_us + figures.answer_slack_us + figures.restart_grace_us + 500_000,
        ready_within_us=30_000_000, figures=figures, settings=settings, partners=partners, arrivals=tuple(arrivals),
        faults=faults, retries=0, honour=1.0, backoff_us=scale.span((200_000, 600_000)), crowd=0,
        luck=tuple(rng.random() for _ in range(RANDOM_NUMBERS)))


def _scale_settings(value: Any, speed: float) -> None:
    """Divide every time in the settings, at any depth, by `speed`, except for the interval of the core's tick: it
    depends on the machine."""
    if isinstance(value, dict):
        for name, item in value.items():
            if name.endswith("_us") and name != "tick_us" and isinstance(item, int | float):
                value[name] = round(item / speed)
            else:
                _scale_settings(item, speed)
    elif isinstance(value, list):
        for item in value:
            _scale_settings(item, speed)


def _recorded_classes(settings: dict[str, Any]) -> dict[str, ClassFigures]:
    effects = {word: effect for effect, word in EFFECT_SETTINGS.items()}
    return {row["name"]: ClassFigures(
        effect=effects[row.get("effect", "once")], ordered=bool(row.get("by_arrival")),
        deadline_us=row["deadline_us"], key_life_us=row.get("key_ttl_us", 0), promise_us=row["promise_us"],
        worth=row.get("worth", 1.0), late_worth=row.get("late_value", 0.0)) for row in settings["services"]}


def _recorded_partners(record: Record, rows: Sequence[Row], length_us: int, speed: float) -> tuple[Partner, ...]:
    """Return a partner for each destination of the recorded list, with its names and kinds."""
    kinds = record.head.settings.get("kinds") or [""]
    hosts: dict[int, list[dict[str, Any]]] = {}
    for host in record.head.hosts:
        hosts.setdefault(int(host["block"]), []).append(host)
    counts: dict[int, int] = {}
    for row in rows:
        counts[row.destination] = counts.get(row.destination, 0) + 1
    partners = []
    for destination, entries in sorted(hosts.items()):
        per_s = counts.get(destination, 0) * 1e6 / max(length_us, 1_000_000)
        pace_us = 120_000
        lanes = max(4, math.ceil(2 * per_s * pace_us / 1e6 / len(entries)))
        kind = entries[0].get("class")
        partners.append(Partner(
            name=f"destination-{destination}", destination=destination,
            kind=kinds.index(kind) if kind in kinds else 0, endpoints=tuple(str(row["host"]) for row in entries),
            lanes=lanes, queue=4 * lanes, pace_us=max(1, round(pace_us / speed))))
    return tuple(partners)
