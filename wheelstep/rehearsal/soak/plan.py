"""Draws a run of the soak test from its seed: settings, traffic, and faults that may overlap. No I/O."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Iterator
from typing import Any

from wheelstep.rehearsal.history import Effect
from wheelstep.rehearsal.plan import draw
from wheelstep.rehearsal.planned import Arrival, Fault, Plan
from wheelstep.rehearsal.scenario import Scenario
from wheelstep.rehearsal.soak.settings import CHANGING_CLASS
from wheelstep.rehearsal.standins.process import TERM_TIMEOUT_S

RATE_PER_S = 5.0  # messages submitted to each courier
SETTINGS_RATE_PER_S, SETTINGS_TRAFFIC_S = 15.0, 3.0  # submitted from a SIGHUP on, to a destination that resets calls
SHUTDOWN_RATE_PER_S = 25.0  # submitted to a courier from its SIGTERM until the kill, on connections that are open
CROWD_SHARE = 0.25  # of the runs
CROWD_CONNECTIONS = 100  # idle ones to each courier; its descriptors are then limited to CROWD_SOCKETS
CROWD_SOCKETS = 256
MEMORY_MB = 80  # of each courier, with the other process of an upgrade
MISBEHAVING_SHARE = 0.4  # of the runs: some couriers have a crowd of misbehaving clients for a while
MISBEHAVING_KINDS = ("half-body,short-fields,slow-body", "endless-field", "pipelined", "pipelined-read", "refused-ids",
                     "half-body,endless-field,pipelined-read")
CLOCK_STEPS_S = (-3600.0, -5.0, -0.4, 0.4, 5.0, 3600.0)
COURIER_FAULTS = ("kill", "term", "signals", "upgrade", "upgrades", "upgrade-kill", "pause", "reload", "discovery",
                  "agent-copy", "disk-kill", "start", "settings", "exclude", "upgrade-exclude", "upgrade-settings",
                  "upgrade-settings")  # twice, as little of its traffic meets the moments that matter
IN_PROCESS_FAULTS = ("clock", "sockets", "short", "disk", "transfers", "polls", "opens")
"""Faults inside a courier's process; they need it to run under `faulty`."""
ENDPOINT_FAULTS = ("stall", "silent", "hang", "refuse", "shut", "fail", "reset", "spoil", "copy", "leave", "replace")
CROWD_FAULTS = ("crowd",)
"""Crowds of misbehaving clients; some runs have them."""
_MS, _S = 1_000, 1_000_000
_MAX_OVERLAP_S = 2.0  # the platform asks a new process every 1 to 2 s whether it is ready, then ends the old one


@dataclasses.dataclass(frozen=True, slots=True)
class SoakConfig:
    """The size of a run, and the kinds of faults to draw from. An empty tuple leaves that group of faults out."""

    couriers: int = 24
    length_s: float = 12.0
    courier_faults: tuple[str, ...] = COURIER_FAULTS
    in_process_faults: tuple[str, ...] = IN_PROCESS_FAULTS
    endpoint_faults: tuple[str, ...] = ENDPOINT_FAULTS
    crowd_faults: tuple[str, ...] = CROWD_FAULTS


def draw_plan(seed: int, config: SoakConfig) -> Plan:
    """Return the plan of one seed; the same seed and configuration give the same plan."""
    rng = random.Random(f"soak {seed}")
    base_plan = draw("soak", _scenario(rng, config), seed)
    faults = sorted([*_draw_courier_faults(rng, config, base_plan), *_draw_in_process_faults(rng, config),
                     *_draw_endpoint_faults(rng, config, base_plan), *_draw_crowds(seed, config)],
                    key=lambda fault: fault.at_us)
    arrivals = _with_shutdown_traffic(rng, base_plan.arrivals, faults)
    last_us = max([base_plan.length_us, *(fault.until_us for fault in faults)])
    return dataclasses.replace(
        base_plan, faults=tuple(faults), end_us=base_plan.end_us + last_us - base_plan.length_us,
        arrivals=_with_settings_traffic(rng, arrivals, faults, base_plan),
        crowd=CROWD_CONNECTIONS if rng.random() < CROWD_SHARE else 0)


def courier_limits(plan: Plan) -> dict[str, Any]:
    """Return the limits of the couriers of a plan, as far as they are not the rig's."""
    return {"memory_mb": MEMORY_MB, **({"sockets": CROWD_SOCKETS} if plan.crowd else {})}


def _with_shutdown_traffic(rng: random.Random, arrivals: tuple[Arrival, ...],
                           faults: list[Fault]) -> tuple[Arrival, ...]:
    """Return the arrivals with further ones, like those that the couriers get anyway, from each SIGTERM on."""
    added: list[Arrival] = []
    for fault in faults:
        if fault.kind not in ("term", "signals"):
            continue
        like = [arrival for arrival in arrivals if arrival.courier in fault.couriers]
        for index in range(int(SHUTDOWN_RATE_PER_S * TERM_TIMEOUT_S) if like else 0):
            number = len(arrivals) + len(added)
            template = rng.choice(like)
            added.append(dataclasses.replace(
                template, number=number, at_us=fault.at_us + int(index / SHUTDOWN_RATE_PER_S * 1e6), fresh=False,
                token=None if template.token is None else f"{template.token[:16]}{number:016x}"))
    return tuple(sorted([*arrivals, *added], key=lambda arrival: arrival.at_us))


def _with_settings_traffic(rng: random.Random, arrivals: tuple[Arrival, ...], faults: list[Fault],
                           base_plan: Plan) -> tuple[Arrival, ...]:
    """Return the arrivals with further ones of the class that changes, from each SIGHUP that names endpoints on."""
    added: list[Arrival] = []
    for fault in faults:
        like = [arrival for arrival in arrivals if arrival.courier in fault.couriers and arrival.key is None]
        partner = next((one for one in base_plan.partners if one.endpoints == fault.endpoints), None)
        if fault.kind != "settings" or partner is None or not like:
            continue
        for index in range(int(SETTINGS_RATE_PER_S * SETTINGS_TRAFFIC_S)):
            added.append(dataclasses.replace(
                rng.choice(like), number=len(arrivals) + len(added), message_class=CHANGING_CLASS, token=None,
                destination=partner.destination, at_us=fault.at_us + int(index / SETTINGS_RATE_PER_S * 1e6)))
    return tuple(sorted([*arrivals, *added], key=lambda arrival: arrival.at_us))


def _scenario(rng: random.Random, config: SoakConfig) -> Scenario:
    settle_us = rng.choice([300 * _MS, 300 * _MS, 500 * _MS, 1_200 * _MS])
    deadline_us = rng.choice([2, 3, 4]) * _S
    promise_us = rng.choice([300 * _MS, 800 * _MS])

    def message_class(name: str, effect: Effect, ordered: bool = False) -> dict[str, Any]:
        return {"name": name, "promise": f"{promise_us}us", "deadline": f"{deadline_us}us", "effect": effect,
                "key_life": "2500ms" if effect is Effect.KEYED else "0us", "ordered": ordered,
                "share": 2.0 if ordered else 1.0}

    limit = {"rate_per_s": config.couriers * 1.5, "tells_wait": "400ms"}
    partners = [{"name": f"p{number}", "kind": rng.choice(["single", "batch"]), "endpoints": rng.choice([1, 2, 3]),
                 "lanes": 8 + config.couriers // 2, "queue": 4 * config.couriers,
                 "pace": f"{rng.choice([20, 60, 150])}ms", "limit": limit if number == 0 else None}
                for number in range(6)]
    return Scenario.model_validate({
        "title": "random overlapping faults", "rule": "all", "length": f"{config.length_s}s",
        "couriers": config.couriers, "slots": 24, "hold": 300, "idle": rng.choice(["1500ms", "10s"]), "dial": "800ms",
        "rules": {"settle": f"{settle_us}us", "cold": "4s"},
        "kind": [{"name": "single"}, {"name": "batch", "batch": 5}], "partner": partners,
        "class": [message_class("safe", Effect.SAFE), message_class("unsafe", Effect.UNSAFE),
                  message_class("keyed", Effect.KEYED), message_class(CHANGING_CLASS, Effect.UNSAFE),
                  message_class("ordered-safe", Effect.SAFE, True),
                  message_class("ordered-unsafe", Effect.UNSAFE, True)],
        "traffic": {"rate_per_s": RATE_PER_S * config.couriers, "keys": max(1, config.couriers // 3), "fresh": 0.2}})


def _draw_interval(rng: random.Random, config: SoakConfig, min_s: float, max_s: float) -> tuple[int, int]:
    at_s = rng.uniform(0.5, config.length_s)
    return int(at_s * 1e6), int((at_s + rng.uniform(min_s, max_s)) * 1e6)


def _draw_upgrade(rng: random.Random, at_us: int, targets: tuple[int, ...]) -> Fault:
    """Return an upgrade; `wait_us` is for how long the old process stays once the new one is ready."""
    return Fault("upgrade", at_us, at_us, couriers=targets, wait_us=int(rng.uniform(0.0, _MAX_OVERLAP_S) * 1e6))


def _draw_exclusion(rng: random.Random, at_us: int, targets: tuple[int, ...], base_plan: Plan) -> Fault:
    """Return an exclusion of one endpoint, rather of a destination that has several."""
    partner = max(rng.sample(base_plan.partners, 2), key=lambda one: len(one.endpoints))
    return Fault("exclude", at_us, at_us + int(rng.uniform(1.0, 5.0) * 1e6), couriers=targets,
                 endpoints=(rng.choice(partner.endpoints),))


def _draw_upgrade_with_settings(rng: random.Random, at_us: int, targets: tuple[int, ...],
                                base_plan: Plan) -> Iterator[Fault]:
    """Yield an upgrade with new settings around it, calls that are reset, and in most cases a kill."""
    yield _draw_upgrade(rng, at_us, targets)
    changed_us = max(0, at_us + int(rng.uniform(-0.4, 1.2) * 1e6))
    endpoints = rng.choice(base_plan.partners).endpoints
    yield Fault("settings", changed_us, changed_us, couriers=targets, endpoints=endpoints)
    yield Fault("reset", changed_us, changed_us + 1_500 * _MS, endpoints=endpoints, share=rng.choice([0.4, 1.0]))
    if rng.random() < 0.7:
        killed_us = changed_us + int(rng.uniform(1.6, 3.5) * 1e6)
        yield Fault("kill", killed_us, killed_us + 600 * _MS, couriers=targets)


def _draw_courier_faults(rng: random.Random, config: SoakConfig, base_plan: Plan) -> Iterator[Fault]:
    """Yield one to three faults for each courier, at random times."""
    for courier in range(config.couriers):
        for _ in range(rng.choice([1, 2, 3])):
            if not config.courier_faults:
                return
            kind, targets = rng.choice(config.courier_faults), (courier,)
            at_us, until_us = _draw_interval(rng, config, 0.3, 1.5)
            match kind:
                case "kill" | "term" | "signals":
                    yield Fault(kind, at_us, at_us + 600 * _MS, couriers=targets)
                case "agent-copy":
                    yield Fault(kind, at_us, until_us, couriers=targets, wait_us=rng.choice([0, 5, 30, 200]) * _MS)
                case "upgrades":  # two upgrades in a row
                    yield _draw_upgrade(rng, at_us, targets)
                    yield _draw_upgrade(rng, at_us + 1, targets)
                case "upgrade-kill":  # a kill around the moment of the handover
                    yield _draw_upgrade(rng, at_us, targets)
                    killed_us = at_us + int(rng.uniform(0.3, 1.2) * 1e6)
                    yield Fault("kill", killed_us, killed_us + 600 * _MS, couriers=targets)
                case "disk-kill":  # what the disk did not take is lost, or was written just before
                    yield Fault("disk", at_us, until_us, couriers=targets, share=rng.choice([0.3, 0.7, 1.0]))
                    killed_us = at_us + int(rng.uniform(0.2, 1.2) * (until_us - at_us))
                    yield Fault("kill", killed_us, killed_us + 600 * _MS, couriers=targets)
                case "start":  # calls fail while the process after a kill starts
                    yield Fault("kill", at_us, at_us + 600 * _MS, couriers=targets)
                    failing = rng.choice(("sockets", "disk", "polls", "opens"))
                    yield Fault(failing, at_us + 500 * _MS, at_us + 1_500 * _MS, couriers=targets, share=0.5)
                case "upgrade":
                    yield _draw_upgrade(rng, at_us, targets)
                case "exclude":
                    yield _draw_exclusion(rng, at_us, targets, base_plan)
                case "upgrade-settings":
                    yield from _draw_upgrade_with_settings(rng, at_us, targets, base_plan)
                case "upgrade-exclude":
                    yield _draw_upgrade(rng, at_us, targets)
                    for _ in range(2):
                        yield _draw_exclusion(rng, at_us + int(rng.uniform(0.0, 2.5) * 1e6), targets, base_plan)
                case "reload" | "settings":
                    yield Fault(kind, at_us, at_us, couriers=targets)
                case "pause":
                    yield Fault(kind, at_us, at_us + int(rng.uniform(0.03, 0.14) * 1e6), couriers=targets)
                case _:
                    yield Fault(kind, at_us, until_us, couriers=targets)


def _draw_in_process_faults(rng: random.Random, config: SoakConfig) -> Iterator[Fault]:
    """Yield one or two faults for every other courier: a step of its wall clock, failing or short socket calls for a
    while, a failing disk."""
    for courier in range(0, config.couriers, 2):
        for kind in rng.sample(config.in_process_faults, min(len(config.in_process_faults), rng.choice([1, 2]))):
            at_us, until_us = _draw_interval(rng, config, 0.3, 1.2)
            share = {"clock": rng.choice(CLOCK_STEPS_S), "sockets": 0.5, "short": float(rng.choice([1, 7, 100])),
                     "disk": rng.choice([0.3, 1.0])}.get(kind, rng.choice([0.2, 0.7]))
            yield Fault(kind, at_us, at_us if kind == "clock" else until_us, couriers=(courier,), share=share)


def _draw_crowds(seed: int, config: SoakConfig) -> Iterator[Fault]:
    """Yield crowds of misbehaving clients at one to three couriers of some runs. They have random numbers of their own,
    so that all else of a seed does not depend on them."""
    rng = random.Random(f"crowd {seed}")
    if "crowd" not in config.crowd_faults or rng.random() >= MISBEHAVING_SHARE:
        return
    for courier in rng.sample(range(config.couriers), min(config.couriers, rng.choice([1, 2, 3]))):
        at_us, until_us = _draw_interval(rng, config, 1.0, 4.0)
        yield Fault("crowd", at_us, until_us, couriers=(courier,), worker=rng.choice([20, 120, 400]),
                    when=rng.choice(MISBEHAVING_KINDS))


def _draw_endpoint_faults(rng: random.Random, config: SoakConfig, base_plan: Plan) -> Iterator[Fault]:
    """Yield one or two faults for each partner, at all of its endpoints or at one."""
    for partner in base_plan.partners:
        for kind in rng.sample(config.endpoint_faults, min(len(config.endpoint_faults), rng.choice([1, 2]))):
            at_us, until_us = _draw_interval(rng, config, 0.5, 3.0)
            targets = partner.endpoints if rng.random() < 0.4 else (rng.choice(partner.endpoints),)
            stall_intervals = tuple((begin, begin + int(rng.uniform(0.1, 0.4) * 1e6))
                          for begin in range(at_us, until_us, 700 * _MS))
            yield Fault(kind, at_us, until_us, endpoints=targets, share=rng.choice([0.1, 0.4, 1.0]),
                        when=rng.choice(["before", "after"]), wait_us=rng.choice([0, 600 * _MS]),
                        stops_us=stall_intervals if kind == "stall" else (),
                        told_us=tuple(int(rng.uniform(0.1, 0.3) * 1e6) for _ in range(config.couriers)))
