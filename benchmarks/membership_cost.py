"""Simulates a fleet's membership in virtual time with real seals, and measures what it costs a courier and how well it
detects deaths: packets, bytes and CPU for each courier and second without faults; then the time until all others know
of a death; then false suspicions and false deaths, each with 0 and 10% of the packets lost. All from one seed, which is
printed.

    python benchmarks/membership_cost.py --couriers 3 30 300 --seed 1
"""

from __future__ import annotations

import argparse
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from wheelstep.fleet.types import State  # noqa: E402
from wheelstep.rehearsal.simulation.membership_world import World  # noqa: E402


def cost(couriers: int, seed: int, seconds: float) -> str:
    """Return what a courier sends and uses in a second, without faults and packet loss, as text."""
    world = World(couriers, seed, sealed=True)
    world.introduce_all()
    world.run(2)
    world.sent.clear()
    world.bytes_sent, world.cpu_s = 0, 0.0
    world.run(seconds)
    each = couriers * seconds
    return (f"packets {world.sent.total() / each:.2f}/s, bytes {world.bytes_sent / each:.0f}/s, "
            f"CPU {world.cpu_s / each * 1e6:.0f} us/s")


def deaths(couriers: int, seed: int, count: int, loss: float) -> str:
    """Let `count` couriers die one after another and return, as text, how soon all others know of each.

    A courier dies once all know of the death before. A new fleet is simulated when less than 90% of the couriers, or
    fewer than three, are left.
    """
    took: list[float] = []
    undetected = 0
    world = World(couriers, seed, loss=loss)
    world.introduce_all()
    world.run(3)
    for number in range(count):
        if len(world.running()) < max(3, couriers * 0.9):
            world = World(couriers, seed + 1_000 * number, loss=loss)
            world.introduce_all()
            world.run(3)
        victim = world.rng.choice(world.running())
        world.dead.add(victim)
        unaware = set(world.running())

        def all_know(world: World = world, victim: str = victim, unaware: set[str] = unaware) -> bool:
            unaware.difference_update(
                [process for process in unaware if world.state_seen(process, victim) is State.GONE])
            return not unaware

        seconds = world.run(120, all_know)
        if seconds is None:
            undetected += 1
        else:
            took.append(seconds)
    took.sort()
    if not took:
        return f"none of {count} deaths was known to all within 120 s"
    return (f"death known to all after p50 {took[len(took) // 2]:.1f} s, p99 {took[int(len(took) * 0.99)]:.1f} s, "
            f"most {took[-1]:.1f} s ({count} deaths, {undetected} not within 120 s)")


def false_alarms(couriers: int, seed: int, seconds: float, loss: float) -> str:
    """Return, as text, how many suspicions were refuted and how many couriers were declared dead while none dies."""
    world = World(couriers, seed, loss=loss)
    world.introduce_all()
    world.run(seconds)
    refuted = sum(courier.me.incarnation for courier in world.couriers.values())
    hours = couriers * seconds / 3_600
    return (f"{refuted} false suspicions ({refuted / hours:.1f} a courier an hour), {len(world.death_notes())} false "
            f"verdicts in {hours:.1f} courier hours, packets {world.sent.total() / couriers / seconds:.2f}/s")


def main() -> None:
    """Simulate each number of couriers and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--couriers", type=int, nargs="+", default=[3, 30, 300])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60, help="virtual seconds for the cost")
    parser.add_argument("--deaths", type=int, default=50)
    parser.add_argument("--quiet", type=float, default=300, help="virtual seconds for false suspicions")
    args = parser.parse_args()
    print(f"seed {args.seed}")
    for couriers in args.couriers:
        began = time.monotonic()
        print(f"{couriers} couriers: {cost(couriers, args.seed, args.seconds)}", flush=True)
        for loss in (0.0, 0.1):
            print(f"{couriers} couriers, {loss:.0%} lost: {deaths(couriers, args.seed, args.deaths, loss)}", flush=True)
            print(f"{couriers} couriers, {loss:.0%} lost: {false_alarms(couriers, args.seed, args.quiet, loss)}",
                  flush=True)
        print(f"{couriers} couriers: took {time.monotonic() - began:.0f} s", flush=True)


if __name__ == "__main__":
    main()
