"""Builds a real `Node` on a simulated machine, with settings scaled to the length of a run.

Imports `wheelstep.fleet`, `wheelstep.moves` and neighbouring modules.
"""

from __future__ import annotations

import random

from wheelstep.fleet.node import Node
from wheelstep.fleet.placing import NodeSettings
from wheelstep.fleet.roster import MemberLimits
from wheelstep.fleet.types import Member, State
from wheelstep.moves.steps import GiverLimits, TakerLimits
from wheelstep.moves.swap import EvacuationLimits
from wheelstep.rehearsal.simulation.content import SimContent
from wheelstep.rehearsal.simulation.machine import Machine
from wheelstep.rehearsal.simulation.run import Setup
from wheelstep.rehearsal.simulation.world import MS, S


def node_settings(setup: Setup) -> NodeSettings:
    """Return a node's settings, with durations that suit a run of half a minute."""
    return NodeSettings(
        setup.names()[:setup.voters], setup.parts, setup.lease_us, setup.drift_ppm / 1_000_000, 50 * MS,
        probation_us=2 * S, members=MemberLimits(heal_periods=4, hello_periods=20, gone_kept_us=600 * S),
        moves=GiverLimits(call_bound_us=300 * MS, silence_us=S, commit_us=500 * MS), room=TakerLimits(idle_us=5 * S),
        leaving=EvacuationLimits(pause_us=200 * MS, max_pause_us=S, timeout_us=8 * S))


def make_node(machine: Machine, content: SimContent, setup: Setup, fleet: dict[str, Machine]) -> Node:
    """Return the node of a machine that starts, restored from the log on the machine's disk."""
    name = machine.name
    me = Member(name, machine.boot, State.ALIVE, machine.address, f"{name}:80")
    seeds = {other.name: other.address for other in fleet.values() if other is not machine}
    rng = random.Random(f"{machine.world.seed} {name} {machine.boot}")
    return Node(me, node_settings(setup), seeds, content, list(machine.disk.log.records), rng, machine.local_us())
