"""What a fleet is put through: scenes by name, each drawn whole from a seed before anything starts. No I/O."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable, Sequence
from typing import Any

from wheelstep.rehearsal.fleet.faults import Kind, Link, LinkFault, Planned, across
from wheelstep.rehearsal.fleet.history import Contract
from wheelstep.rehearsal.fleet.plan import CLASS, S, Scene, Size, Step
from wheelstep.rehearsal.plan import draw
from wheelstep.rehearsal.scenario import Scenario

Drawn = tuple[tuple[Planned, ...], tuple[Step, ...], dict[str, Any]]


def _calm(names: tuple[str, ...], size: Size, rng: random.Random) -> Drawn:
    return (), (), {}


def _gaps(names: tuple[str, ...], size: Size, rng: random.Random) -> Drawn:
    return (), (), {"gap_share": 0.2}


def _restarted(names: tuple[str, ...], size: Size, rng: random.Random) -> Drawn:
    """Back before anybody else may have its parts."""
    return (), (Step(_early(rng), "kill", _one(names, rng), size.lease_us // 10),), {}


def _killed(names: tuple[str, ...], size: Size, rng: random.Random) -> Drawn:
    return (), (Step(_early(rng), "kill", _one(names, rng), 3 * size.lease_us),), {}


def _wiped(names: tuple[str, ...], size: Size, rng: random.Random) -> Drawn:
    """What only its disk had is gone: a contract that holds gaps would wait for good."""
    contract = Contract("updates", gap="skip", gap_after_us=size.lease_us)
    return (), (Step(_early(rng), "kill", _one(names, rng), 3 * size.lease_us, keep=False),), {"contract": contract}


def _window(names: tuple[str, ...], size: Size, rng: random.Random) -> Drawn:
    faults, steps, _ = _restarted(names, size, rng)
    return faults, steps, {"contract": Contract("updates", order="window", open=4), "gap_share": 0.1}


def _stopped(names: tuple[str, ...], size: Size, rng: random.Random) -> Drawn:
    return (), (Step(_early(rng), "stop", _one(names, rng), 2 * size.lease_us),), {}


def _stopped_long(names: tuple[str, ...], size: Size, rng: random.Random) -> Drawn:
    return (), (Step(_early(rng), "stop", _one(names, rng), 20 * S),), {}


def _frozen(names: tuple[str, ...], size: Size, rng: random.Random) -> Drawn:
    """Between the moment when a call was given out and its first byte, for longer than a lease."""
    point = f"SIGSTOP first byte {rng.randint(1, 6)}"
    return (), (Step(_early(rng), "freeze", "", 4 * size.lease_us, point=point),), {}


def _cut(fault: LinkFault, pick: Callable[[list[str]], tuple[Link, ...]], hold: bool = True) \
        -> Callable[[tuple[str, ...], Size, random.Random], Drawn]:
    """Where gaps are not held, two owners would both call: one that waits for what it has missed calls nothing."""
    def scene(names: tuple[str, ...], size: Size, rng: random.Random) -> Drawn:
        shuffled = list(names)
        rng.shuffle(shuffled)
        more = {} if hold else {"contract": Contract("updates", gap="skip", gap_after_us=S)}
        return (Planned(_early(rng), fault, pick(shuffled), 4 * size.lease_us),), (), more
    return scene


def _lying(names: tuple[str, ...], size: Size, rng: random.Random) -> Drawn:
    voter = rng.choice(names[:3])
    trouble = ((voter, (("RIG_DISK", f"lie fleet {rng.randint(2, 6)}"),)),)
    return (), (Step(_early(rng), "kill", voter, S, trouble=trouble[0][1]),), {"trouble": trouble}


def _slow_clock(names: tuple[str, ...], size: Size, rng: random.Random) -> Drawn:
    """Within the drift that the operator's file allows."""
    return (), (), {"trouble": ((_one(names, rng), (("RIG_CLOCK", f"rate={rng.uniform(0.985, 1.0):.4f}"),)),)}


def _stepped(names: tuple[str, ...], size: Size, rng: random.Random) -> Drawn:
    """The wall clock alone jumps, by less than messages have left."""
    step = rng.choice((-3, 3))
    return (), (), {"trouble": ((_one(names, rng), (("RIG_CLOCK", f"step={step} after={rng.uniform(4, 8):.1f}"),)),)}


def _hung(names: tuple[str, ...], size: Size, rng: random.Random) -> Drawn:
    return (), (), {"trouble": ((rng.choice(names[:3]), (("RIG_DISK", f"hang fleet {rng.randint(2, 6)}"),)),)}


def _swap(killing: bool) -> Callable[[tuple[str, ...], Size, random.Random], Drawn]:
    def scene(names: tuple[str, ...], size: Size, rng: random.Random) -> Drawn:
        """Each in turn leaves; a voter comes back under its name, another machine takes the place of any other. Where
        some are killed, it is one at a point of each one's moves: all points in turn, from one that the seed names."""
        voters = _voters(names)
        first = rng.randrange(len(POINTS))
        steps = []
        for place, name in enumerate(names):
            successor = name if name in voters else f"c{len(names) + place - len(voters)}"
            point = f"SIGKILL {POINTS[(first + place) % len(POINTS)]} {rng.randint(1, 3)}" if killing else ""
            steps.append(Step(S, "swap", name, 2 * size.lease_us, keep=False, successor=successor, point=point))
        return (), tuple(steps), {}
    return scene


# Of `points`, which imports the daemon's decisions and is for couriers' processes alone.
POINTS = ("sent Offer", "answered Offer", "sent Chunk", "sent Seal", "answered Seal", "sent Given", "answered Given",
          "heard Offer", "heard Chunk", "heard Seal", "heard Given", "adopted", "voted Accept")

SCENES: dict[str, Callable[[tuple[str, ...], Size, random.Random], Drawn]] = {
    "calm": _calm, "gaps": _gaps, "restarted": _restarted, "killed": _killed, "wiped": _wiped, "window": _window,
    "stopped": _stopped, "frozen": _frozen,
    "stopped-long": _stopped_long,
    "halves": _cut(LinkFault(Kind.CUT), lambda names: across(names[:len(names) // 2], names[len(names) // 2:])),
    "single": _cut(LinkFault(Kind.CUT), lambda names: across(names[:1], names[1:]), hold=False),
    "thirds": _cut(LinkFault(Kind.CUT), lambda names: across(names[0::3], names[1::3], names[2::3]),
                   hold=False),
    "one-way": _cut(LinkFault(Kind.CUT), lambda names: tuple((names[0], other) for other in names[1:])),
    "one-link": _cut(LinkFault(Kind.CUT), lambda names: ((names[0], names[1]),)),
    "stalled": _cut(LinkFault(Kind.STALL), lambda names: ((names[0], names[1]), (names[1], names[0]))),
    "lossy": _cut(LinkFault(Kind.DROP, share=0.3), lambda names: across(*([name] for name in names))),
    "spoilt": _cut(LinkFault(Kind.CORRUPT, share=0.1), lambda names: across(*([name] for name in names))),
    "lying": _lying, "hung": _hung, "slow-clock": _slow_clock,
    "stepped": _stepped, "swap": _swap(False), "swap-slow": _swap(False),
    "swap-killed": _swap(True),
}
# What a scene needs to show what it is there for: clients that come to both sides of a cut, calls that take long or
# have to come again.
_SIZES: dict[str, dict[str, Any]] = {
    **dict.fromkeys(("halves", "single", "thirds", "one-way", "frozen"), {"roam": 0.5}),
    "swap-slow": {"pace_us": 200_000},
}


def _early(rng: random.Random) -> int:
    return rng.randint(1000, 2500) * 1000


def _one(names: Sequence[str], rng: random.Random) -> str:
    return rng.choice(names)


def _voters(names: Sequence[str]) -> tuple[str, ...]:
    return tuple(names[:5 if len(names) >= 5 else 3])


def stage(name: str, seed: int, size: Size) -> Scene:
    """The scene of this name, drawn from its seed. Raises `KeyError` where there is none."""
    rng = random.Random(f"{name}/{seed}")
    size = dataclasses.replace(size, **_SIZES.get(name, {}))
    names = tuple(f"c{index}" for index in range(size.couriers))
    faults, steps, more = SCENES[name](names, size, rng)
    ever = sorted({*names, *(step.successor for step in steps if step.successor)}, key=lambda one: int(one[1:]))
    swaps = sum(step.what == "swap" for step in steps)
    ends = [fault.at_us + fault.for_us + S for fault in faults] + [step.at_us + step.for_us + S for step in steps]
    length_us = max([size.length_us, swaps * (2 * size.lease_us + 3 * S), *ends])
    drawn = draw(name, _scenario(name, size, length_us), seed)
    arrivals = tuple(dataclasses.replace(arrival, key=_key(seed, arrival.number, size))
                     for arrival in drawn.arrivals)
    plan = dataclasses.replace(drawn, couriers=int(ever[-1][1:]) + 1, arrivals=arrivals,
                               settings={**drawn.settings, "peers_total": size.couriers})
    return Scene(name, seed, tuple(ever), len(names), _voters(names), size.lease_us, 16,
                 more.pop("contract", Contract("updates")), plan, faults, steps, roam=size.roam, **more)


def _key(seed: int, number: int, size: Size) -> str:
    return f"k{random.Random(f'{seed}/{number}').randrange(size.channels)}"


def _scenario(name: str, size: Size, length_us: int) -> Scenario:
    return Scenario.model_validate({
        "title": f"A fleet: {name}", "rule": "order", "length": f"{length_us}us", "hold": 4000, "slots": 64,
        "class": [{"name": CLASS, "effect": "keyed", "key_life": "60s", "ordered": True, "promise": "2s",
                   "deadline": f"{size.deadline_us}us"}],
        "kind": [{"name": "venue"}],
        "partner": [{"name": "beta", "kind": "venue", "endpoints": 2, "lanes": 64, "queue": 256,
                     "pace": f"{size.pace_us}us"}],
        "traffic": {"rate_per_s": size.rate_per_s, "keys": size.channels}})
