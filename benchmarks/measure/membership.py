"""Measures what membership costs a courier, by the time since all started together and by kind of packet, in virtual
time with real seals. Members have names and addresses as long as real ones, unless short ones are selected.

    python -m benchmarks.measure.membership
"""

from __future__ import annotations

import gc
import random
from collections import Counter

from benchmarks.measure.result import Row, resident_bytes, run_cases
from wheelstep.fleet.membership import QUIET_ROLLS, Membership
from wheelstep.fleet.packets import PacketSeal
from wheelstep.fleet.types import Member, State
from wheelstep.rehearsal.simulation.membership_world import World

SIZES = (30, 100, 300, 600, 1_100)
AFTER_START = (("start", 2), ("early", 20))  # consecutive windows, in virtual seconds
SETTLED = (("settled", 2), ("early", 20), ("quiet", 60))
SEED = 1


class CountingSeal(PacketSeal):
    """A seal that counts the packets and bytes that it packs, by kind of payload."""

    counts: Counter[str]
    sizes: Counter[str]

    def pack(self, to: str, payload: object) -> bytes:
        """Pack and seal a payload, and count it."""
        data = super().pack(to, payload)
        self.counts[type(payload).__name__] += 1
        self.sizes[type(payload).__name__] += len(data)
        return data


class LongNamesWorld(World):
    """A simulated fleet whose members have names, addresses and zones as long as real ones, unless `short`. `counts`
    and `sizes` are the packets and bytes sent, by kind."""

    def __init__(self, count: int, seed: int, short: bool = False, sealed: bool = True) -> None:
        self.counts: Counter[str] = Counter()
        self.sizes: Counter[str] = Counter()
        self._short = short
        super().__init__(count, seed, sealed=sealed)

    def add(self, process: str, *, name: str = "", incarnation: int = 0) -> Membership:
        """Add a courier for this process and return its membership."""
        if self._short:
            courier = super().add(process, name=name, incarnation=incarnation)
        else:
            number = int(process[1:])
            place = f"10.{number % 6}.{number // 250 + 10}.{number % 250}"
            if process in self.seeds:
                self.seeds[process] = f"{place}:7946"
            me = Member(f"courier-{number:04d}", incarnation, State.ALIVE, f"{place}:7946", f"http://{place}:8080",
                        zone=f"region-{number % 2}/zone-{number % 6}")
            seeds = {f"courier-{int(seed[1:]):04d}": address for seed, address in self.seeds.items()}
            courier = Membership(me, seeds, self.limits, random.Random(self.rng.random()), self.now_us)
            self.couriers[process], self.process_by_address[me.address] = courier, process
            self._push_event(courier.next_us(), process, None)
        seal = CountingSeal(b"k" * 16, "fleet", courier.me.name, self.now_us + 1)
        seal.counts, seal.sizes = self.counts, self.sizes
        self.seals[process] = seal
        return courier


def measure_cost(couriers: int, names: str, asks: bool) -> Row:
    """Measure bytes, packets and processor time (µs) of a courier in a second, for each window, in all and by kind.

    `names` is "real" or "short". Without `asks`, couriers assume from the start that they know all members, as they do
    later, and request no `Roll` in their first periods.
    """
    gc.collect()
    base = resident_bytes()
    world = LongNamesWorld(couriers, SEED, names == "short")
    world.introduce_all()
    for courier in world.couriers.values():
        courier._quiet_rolls = courier._quiet_rolls if asks else QUIET_ROLLS
    gc.collect()
    gc.freeze()  # a collection here would go through the objects of all couriers, so it is not counted
    gc.disable()
    row: Row = {}
    for window, seconds in AFTER_START if asks else SETTLED:
        for counter in (world.counts, world.sizes, world.sent):
            counter.clear()
        world.cpu_s = 0.0
        world.run(seconds)
        courier_s = couriers * seconds
        row[window] = {"seconds": seconds, "bytes": sum(world.sizes.values()) / courier_s,
                       "packets": sum(world.counts.values()) / courier_s, "cpu_us": world.cpu_s / courier_s * 1e6,
                       "bytes_by_kind": {kind: size / courier_s for kind, size in sorted(world.sizes.items())},
                       "packets_by_kind": {kind: count / courier_s for kind, count in sorted(world.counts.items())}}
    gc.collect()
    refused = sum(courier.refused["busy"] for courier in world.couriers.values())
    return {**row, "memory_kb": (resident_bytes() - base) / couriers / 1e3, "hellos_refused": refused / couriers}


if __name__ == "__main__":
    run_cases("before-membership", "membership", __doc__,
              [*({"couriers": couriers, "names": "real", "asks": False} for couriers in SIZES),
               *({"couriers": couriers, "names": "short", "asks": asks} for couriers in (300, 600, 1_100)
                 for asks in (True, False))],
              measure_cost, {"windows_asking": AFTER_START, "windows_settled": SETTLED}, SEED)
