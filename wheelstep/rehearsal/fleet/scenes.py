"""The scenes of a fleet's rehearsals by name. Each is drawn completely from a seed before anything starts. No I/O."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable, Sequence
from typing import Any

from wheelstep.rehearsal.fleet.faults import FaultKind, Link, LinkFault, PlannedFault, links_across
from wheelstep.rehearsal.fleet.history import Contract
from wheelstep.rehearsal.fleet.plan import MESSAGE_CLASS, S, Scene, SceneSize, Step
from wheelstep.rehearsal.plan import draw
from wheelstep.rehearsal.scenario import Scenario

SceneParts = tuple[tuple[PlannedFault, ...], tuple[Step, ...], dict[str, Any]]


def _calm(names: tuple[str, ...], size: SceneSize, rng: random.Random) -> SceneParts:
    return (), (), {}


def _gaps(names: tuple[str, ...], size: SceneSize, rng: random.Random) -> SceneParts:
    return (), (), {"gap_share": 0.2}


def _restarted(names: tuple[str, ...], size: SceneSize, rng: random.Random) -> SceneParts:
    """One courier is killed and restarted before another may take over its parts."""
    return (), (Step(_early_us(rng), "kill", _pick(names, rng), size.lease_us // 10),), {}


def _killed(names: tuple[str, ...], size: SceneSize, rng: random.Random) -> SceneParts:
    return (), (Step(_early_us(rng), "kill", _pick(names, rng), 3 * size.lease_us),), {}


def _wiped(names: tuple[str, ...], size: SceneSize, rng: random.Random) -> SceneParts:
    """One courier loses its disk. The contract skips gaps: one that holds them would wait forever for what is lost."""
    contract = Contract("updates", gap="skip", gap_after_us=size.lease_us)
    return (), (Step(_early_us(rng), "kill", _pick(names, rng), 3 * size.lease_us, keep=False),), {"contract": contract}


def _window(names: tuple[str, ...], size: SceneSize, rng: random.Random) -> SceneParts:
    faults, steps, _ = _restarted(names, size, rng)
    return faults, steps, {"contract": Contract("updates", order="window", open=4), "gap_share": 0.1}


def _stopped(names: tuple[str, ...], size: SceneSize, rng: random.Random) -> SceneParts:
    return (), (Step(_early_us(rng), "stop", _pick(names, rng), 2 * size.lease_us),), {}


def _stopped_long(names: tuple[str, ...], size: SceneSize, rng: random.Random) -> SceneParts:
    return (), (Step(_early_us(rng), "stop", _pick(names, rng), 20 * S),), {}


def _frozen(names: tuple[str, ...], size: SceneSize, rng: random.Random) -> SceneParts:
    """One courier stops between the dispatch of a call and its first byte, for longer than a lease."""
    point = f"SIGSTOP first byte {rng.randint(1, 6)}"
    return (), (Step(_early_us(rng), "freeze", "", 4 * size.lease_us, point=point),), {}


def _cut(fault: LinkFault, pick: Callable[[list[str]], tuple[Link, ...]], hold: bool = True) \
        -> Callable[[tuple[str, ...], SceneSize, random.Random], SceneParts]:
    """Return a scene with one fault of the links that `pick` chooses from the shuffled names.

    Without `hold` the contract skips gaps, so that two owners at once would both call: an owner that holds gaps calls
    nothing while it waits for numbers that the other has accepted.
    """
    def scene(names: tuple[str, ...], size: SceneSize, rng: random.Random) -> SceneParts:
        shuffled = list(names)
        rng.shuffle(shuffled)
        overrides = {} if hold else {"contract": Contract("updates", gap="skip", gap_after_us=S)}
        return (PlannedFault(_early_us(rng), fault, pick(shuffled), 4 * size.lease_us),), (), overrides
    return scene


def _lying(names: tuple[str, ...], size: SceneSize, rng: random.Random) -> SceneParts:
    voter = rng.choice(names[:3])
    trouble = ((voter, (("RIG_DISK", f"lie fleet {rng.randint(2, 6)}"),)),)
    return (), (Step(_early_us(rng), "kill", voter, S, trouble=trouble[0][1]),), {"trouble": trouble}


def _slow_clock(names: tuple[str, ...], size: SceneSize, rng: random.Random) -> SceneParts:
    """One courier's clock runs slow, within the drift that the operator's file allows."""
    return (), (), {"trouble": ((_pick(names, rng), (("RIG_CLOCK", f"rate={rng.uniform(0.985, 1.0):.4f}"),)),)}


def _stepped(names: tuple[str, ...], size: SceneSize, rng: random.Random) -> SceneParts:
    """One courier's wall clock jumps, by less than the messages' remaining time."""
    step = rng.choice((-3, 3))
    return (), (), {"trouble": ((_pick(names, rng), (("RIG_CLOCK", f"step={step} after={rng.uniform(4, 8):.1f}"),)),)}


def _hung(names: tuple[str, ...], size: SceneSize, rng: random.Random) -> SceneParts:
    return (), (), {"trouble": ((rng.choice(names[:3]), (("RIG_DISK", f"hang fleet {rng.randint(2, 6)}"),)),)}


def _swap(killing: bool) -> Callable[[tuple[str, ...], SceneSize, random.Random], SceneParts]:
    def scene(names: tuple[str, ...], size: SceneSize, rng: random.Random) -> SceneParts:
        """Each courier in turn leaves. A voter comes back under its name; any other is replaced by a new courier.

        With `killing`, one courier is killed at a point of each swap's moves: all points in turn, from a random one.
        """
        voters = _voters(names)
        first = rng.randrange(len(POINTS))
        steps = []
        for index, name in enumerate(names):
            successor = name if name in voters else f"c{len(names) + index - len(voters)}"
            point = f"SIGKILL {POINTS[(first + index) % len(POINTS)]} {rng.randint(1, 3)}" if killing else ""
            steps.append(Step(S, "swap", name, 2 * size.lease_us, keep=False, successor=successor, point=point))
        return (), tuple(steps), {}
    return scene


# The points of moves. `points` can't be imported here: it imports the daemon and is for couriers' processes only.
POINTS = ("sent Offer", "answered Offer", "sent Chunk", "sent Seal", "answered Seal", "sent Given", "answered Given",
          "heard Offer", "heard Chunk", "heard Seal", "heard Given", "adopted", "voted Accept")

SCENES: dict[str, Callable[[tuple[str, ...], SceneSize, random.Random], SceneParts]] = {
    "calm": _calm, "gaps": _gaps, "restarted": _restarted, "killed": _killed, "wiped": _wiped, "window": _window,
    "stopped": _stopped, "frozen": _frozen,
    "stopped-long": _stopped_long,
    "halves": _cut(LinkFault(FaultKind.CUT),
                   lambda names: links_across(names[:len(names) // 2], names[len(names) // 2:])),
    "single": _cut(LinkFault(FaultKind.CUT), lambda names: links_across(names[:1], names[1:]), hold=False),
    "thirds": _cut(LinkFault(FaultKind.CUT), lambda names: links_across(names[0::3], names[1::3], names[2::3]),
                   hold=False),
    "one-way": _cut(LinkFault(FaultKind.CUT), lambda names: tuple((names[0], other) for other in names[1:])),
    "one-link": _cut(LinkFault(FaultKind.CUT), lambda names: ((names[0], names[1]),)),
    "stalled": _cut(LinkFault(FaultKind.STALL), lambda names: ((names[0], names[1]), (names[1], names[0]))),
    "lossy": _cut(LinkFault(FaultKind.DROP, share=0.3), lambda names: links_across(*([name] for name in names))),
    "spoilt": _cut(LinkFault(FaultKind.CORRUPT, share=0.1), lambda names: links_across(*([name] for name in names))),
    "lying": _lying, "hung": _hung, "slow-clock": _slow_clock,
    "stepped": _stepped, "swap": _swap(False), "swap-slow": _swap(False),
    "swap-killed": _swap(True),
}
# Sizes that a scene needs for its purpose: clients that reach both sides of a cut, and calls that take long or are
# repeated.
_SIZE_OVERRIDES: dict[str, dict[str, Any]] = {
    **dict.fromkeys(("halves", "single", "thirds", "one-way", "frozen"), {"roam": 0.5}),
    "swap-slow": {"pace_us": 200_000},
}


def _early_us(rng: random.Random) -> int:
    return rng.randint(1000, 2500) * 1000


def _pick(names: Sequence[str], rng: random.Random) -> str:
    return rng.choice(names)


def _voters(names: Sequence[str]) -> tuple[str, ...]:
    return tuple(names[:5 if len(names) >= 5 else 3])


def draw_scene(name: str, seed: int, size: SceneSize) -> Scene:
    """Draw the scene of this name from its seed. Raises `KeyError` if there is no such scene."""
    rng = random.Random(f"{name}/{seed}")
    size = dataclasses.replace(size, **_SIZE_OVERRIDES.get(name, {}))
    names = tuple(f"c{index}" for index in range(size.couriers))
    faults, steps, overrides = SCENES[name](names, size, rng)
    all_names = sorted({*names, *(step.successor for step in steps if step.successor)}, key=lambda name: int(name[1:]))
    swaps = sum(step.what == "swap" for step in steps)
    ends = [fault.at_us + fault.for_us + S for fault in faults] + [step.at_us + step.for_us + S for step in steps]
    length_us = max([size.length_us, swaps * (2 * size.lease_us + 3 * S), *ends])
    drawn_plan = draw(name, _scenario(name, size, length_us), seed)
    arrivals = tuple(dataclasses.replace(arrival, key=_key(seed, arrival.number, size))
                     for arrival in drawn_plan.arrivals)
    plan = dataclasses.replace(drawn_plan, couriers=int(all_names[-1][1:]) + 1, arrivals=arrivals,
                               settings={**drawn_plan.settings, "peers_total": size.couriers})
    return Scene(name, seed, tuple(all_names), len(names), _voters(names), size.lease_us, 16,
                 overrides.pop("contract", Contract("updates")), plan, faults, steps, roam=size.roam, **overrides)


def _key(seed: int, number: int, size: SceneSize) -> str:
    return f"k{random.Random(f'{seed}/{number}').randrange(size.channels)}"


def _scenario(name: str, size: SceneSize, length_us: int) -> Scenario:
    return Scenario.model_validate({
        "title": f"A fleet: {name}", "rule": "order", "length": f"{length_us}us", "hold": 4000, "slots": 64,
        "class": [{"name": MESSAGE_CLASS, "effect": "keyed", "key_life": "60s", "ordered": True, "promise": "2s",
                   "deadline": f"{size.deadline_us}us"}],
        "kind": [{"name": "venue"}],
        "partner": [{"name": "beta", "kind": "venue", "endpoints": 2, "lanes": 64, "queue": 256,
                     "pace": f"{size.pace_us}us"}],
        "traffic": {"rate_per_s": size.rate_per_s, "keys": size.channels}})
