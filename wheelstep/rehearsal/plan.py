"""The plan of a rehearsal, drawn whole from the seed before anything starts. No I/O, no clock.

Every duration is divided by `speed`, every rate multiplied by it; only the judge's slack for sockets stays.
"""

from __future__ import annotations

import dataclasses
import hashlib
import json
import math
import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from wheelstep.recording.format import Record, Row
from wheelstep.rehearsal.history import ClassFigures, Effect, Figures
from wheelstep.rehearsal.scenario import ClassPart, FaultPart, LimitPart, PartnerPart, Scenario, ScenarioError

LUCK = 4096  # drawn numbers for what happens by share; used in turn by each endpoint


@dataclass(frozen=True, slots=True)
class Limit:
    """What a partner takes from all couriers together: a rate, or a count in each `window_us`."""

    per_s: float
    window_us: int = 0
    refused_count: bool = False
    wait_us: int = 0
    report: bool = True


@dataclass(frozen=True, slots=True)
class Partner:
    """One destination. `endpoints` are their names."""

    name: str
    destination: int
    kind: int
    endpoints: tuple[str, ...]
    lanes: int
    queue: int
    pace_us: int
    limit: Limit | None = None
    connections: int = 0  # 0: no bound
    run_on: bool = False
    key_memory: bool = True

    @property
    def per_s(self) -> float:
        """What one endpoint does, warm, in calls a second."""
        served = self.lanes * 1e6 / self.pace_us
        return min(served, self.limit.per_s) if self.limit is not None else served


@dataclass(frozen=True, slots=True)
class Arrival:
    """A message that a client hands in; `work` is its share of the partner's pace."""

    at_us: int
    number: int
    courier: int
    message_class: str
    destination: int
    key: str | None
    token: str | None
    size: int
    work: float
    luck: float  # for what a client decides by share
    fresh: bool = False  # on a connection of its own
    deadline_us: int = 0  # the time it has from `at_us`; 0: its class's


PROCESS_FAULTS = ("kill", "term", "pause", "worker-kill", "worker-hang")


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault at endpoints or couriers, from `at_us` until `until_us`."""

    kind: str
    at_us: int
    until_us: int
    endpoints: tuple[str, ...] = ()
    couriers: tuple[int, ...] = ()
    share: float = 1.0
    when: str = "after"
    wait_us: int = 0
    worker: int = 0
    every_us: int = 0
    stops_us: tuple[tuple[int, int], ...] = ()  # stall: from when until when
    told_us: tuple[int, ...] = ()  # until each courier is told


@dataclass(frozen=True, slots=True)
class Plan:
    """All that a rehearsal does by itself."""

    scenario: str
    seed: int
    speed: float
    couriers: int
    length_us: int
    end_us: int  # by then every message's time is up
    ready_within_us: int
    figures: Figures
    settings: dict[str, Any]  # for the couriers, in the form of their configuration
    partners: tuple[Partner, ...]
    arrivals: tuple[Arrival, ...]
    faults: tuple[Fault, ...]
    retries: int
    honour: float
    backoff_us: tuple[int, int]
    crowd: int
    luck: tuple[float, ...]

    def digest(self) -> str:
        """The same for the same plan."""
        data = dataclasses.asdict(self)
        data["figures"]["routes_apart"] = sorted(self.figures.routes_apart)
        text = json.dumps(data, sort_keys=True, separators=(",", ":"))
        return hashlib.sha256(text.encode()).hexdigest()[:16]

    def message_id(self, number: int, tries: int) -> str:
        """New for each time that a message is handed in."""
        return hashlib.blake2b(f"{self.seed}/{number}/{tries}".encode(), digest_size=8).hexdigest()

    def body(self, arrival: Arrival) -> bytes:
        """The message's bytes: any, and the same each time that it is handed in."""
        return random.Random(f"{self.seed}/{arrival.number}").randbytes(arrival.size)


def draw(name: str, scenario: Scenario, seed: int, speed: float = 1.0) -> Plan:
    """The plan of a scenario."""
    scale = _Scale(speed)
    rng = random.Random(f"{name}/{seed}")
    partners = tuple(_partner(scenario, number, part, scale) for number, part in enumerate(scenario.partners))
    arrivals = _arrivals(scenario, partners, random.Random(rng.random()), scale)
    faults = tuple(_fault(scenario, part, partners, random.Random(rng.random()), scale) for part in scenario.faults)
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
        crowd=scenario.traffic.crowd, luck=tuple(rng.random() for _ in range(LUCK)))


@dataclass(frozen=True, slots=True)
class _Scale:
    speed: float

    def time(self, span_us: int) -> int:
        return round(span_us / self.speed)

    def span(self, span_us: tuple[int, int]) -> tuple[int, int]:
        return self.time(span_us[0]), self.time(span_us[1])

    def drawn(self, span_us: tuple[int, int], rng: random.Random) -> int:
        return self.time(round(rng.uniform(*span_us)))


def _partner(scenario: Scenario, number: int, part: PartnerPart, scale: _Scale) -> Partner:
    kinds = [kind.name for kind in scenario.kinds]
    return Partner(
        name=part.name, destination=number + 1, kind=kinds.index(part.kind),
        endpoints=tuple(f"{part.name}-{index}" for index in range(part.endpoints)), lanes=part.lanes,
        queue=part.queue, pace_us=max(1, scale.time(part.pace)), limit=_limit(part.limit, scale),
        connections=part.connections or 0, run_on=part.run_on, key_memory=part.key_memory)


def _limit(part: LimitPart | None, scale: _Scale) -> Limit | None:
    if part is None:
        return None
    return Limit(per_s=part.rate_per_s * scale.speed, window_us=scale.time(part.window or 0),
                 refused_count=part.refused_count, wait_us=scale.time(part.tells_wait or 0), report=part.report)


def lognormal(rng: random.Random, spread: float) -> float:
    """A factor with mean 1 and this deviation."""
    sigma = math.sqrt(math.log(1 + spread * spread))
    return rng.lognormvariate(-sigma * sigma / 2, sigma)


def _arrivals(scenario: Scenario, partners: Sequence[Partner], rng: random.Random,
              scale: _Scale) -> tuple[Arrival, ...]:
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
    # Messages of one key come to one courier.
    courier = rng.randrange(scenario.couriers)
    if key is not None:
        courier = int.from_bytes(hashlib.blake2b(key.encode(), digest_size=4).digest()) % scenario.couriers
    fresh = key is not None and random.Random(key).random() < scenario.traffic.fresh
    token = hashlib.blake2b(f"token/{scenario.title}/{number}".encode(), digest_size=16).hexdigest()
    return Arrival(at_us=at_us, number=number, courier=courier, message_class=cls.name,
                   destination=partner.destination, key=key, token=token if cls.effect is Effect.KEYED else None,
                   size=rng.randint(*cls.size), work=lognormal(rng, part.spread), luck=rng.random(), fresh=fresh)


def _fault(scenario: Scenario, part: FaultPart, partners: Sequence[Partner], rng: random.Random,
           scale: _Scale) -> Fault:
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


def _figures(scenario: Scenario, partners: Sequence[Partner], scale: _Scale) -> Figures:
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


_EFFECTS = {Effect.SAFE: "repeatable", Effect.KEYED: "by_key", Effect.UNSAFE: "once"}


def _settings(scenario: Scenario, figures: Figures, scale: _Scale) -> dict[str, Any]:
    return {
        "services": [{
            "name": name, "promise_us": cls.promise_us, "deadline_us": cls.deadline_us,
            "effect": _EFFECTS[cls.effect], "group": "all", "key_ttl_us": cls.key_life_us or 5_000_000,
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


def replay(record: Record, seed: int, speed: float = 1.0, source: str = "record",
           stage: Scenario | None = None) -> Plan:
    """A plan that hands in what was recorded. Partners and faults come from `stage`, matched by number of the
    destination; without one, partners are made from the recorded list, with twice the room that the record needs.
    Raises `ScenarioError` where the record and the stage don't fit."""
    scale = _Scale(speed)
    rng = random.Random(f"{source}/{seed}")
    settings = json.loads(json.dumps(record.head.settings))
    _scale_settings(settings, speed)
    classes = _recorded_classes(settings)
    rows = [row for row in record.rows if row.message_class in classes]
    length = max((row.at_us for row in rows), default=0)
    if stage is not None:
        partners = tuple(_partner(stage, number, part, scale) for number, part in enumerate(stage.partners))
        faults = tuple(_fault(stage, part, partners, random.Random(rng.random()), scale) for part in stage.faults)
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
        luck=tuple(rng.random() for _ in range(LUCK)))


def _scale_settings(value: Any, speed: float) -> None:
    """Divide every time in the settings, wherever it stands; the module's tick stays the machine's."""
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
    effects = {word: effect for effect, word in _EFFECTS.items()}
    return {row["name"]: ClassFigures(
        effect=effects[row.get("effect", "once")], ordered=bool(row.get("by_arrival")),
        deadline_us=row["deadline_us"], key_life_us=row.get("key_ttl_us", 0), promise_us=row["promise_us"],
        worth=row.get("worth", 1.0), late_worth=row.get("late_value", 0.0)) for row in settings["services"]}


def _recorded_partners(record: Record, rows: Sequence[Row], length_us: int, speed: float) -> tuple[Partner, ...]:
    """One for each destination of the recorded list, with the names and kinds that it gives."""
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
