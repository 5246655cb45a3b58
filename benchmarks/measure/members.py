"""Measures the memory of a courier's member table and of its seal's replay windows, for several sizes of the fleet: ten
couriers in one process, each of which decodes all members from its own packets.

    python -m benchmarks.measure.members
"""

from __future__ import annotations

import gc
import random

import msgspec

from benchmarks.measure.result import Row, resident_bytes, run_cases
from wheelstep.fleet.membership import MemberLimits, Membership
from wheelstep.fleet.packets import DATAGRAM, PacketSeal
from wheelstep.fleet.types import Member, Ping, Roll, State

SIZES = (100, 300, 600, 1_100)
COURIERS = 10
PACKET_MEMBERS = 10


def member(number: int) -> Member:
    """Return a member whose name and addresses are as long as real ones."""
    place = f"10.{number % 6}.{number // 250 + 10}.{number % 250}"
    return Member(f"courier-{number:04d}", 1, State.ALIVE, f"{place}:7946", f"http://{place}:8080",
                  zone=f"region-{number % 2}/zone-{number % 6}")


def measure_table(couriers: int) -> Row:
    """Measure the memory of one courier in a fleet of this size, in kilobytes."""
    members = [member(number) for number in range(couriers)]
    rolls = [msgspec.msgpack.encode(Roll(0, (members[first], *members[first:first + PACKET_MEMBERS])))
             for first in range(0, couriers, PACKET_MEMBERS)]
    kept = []
    gc.collect()
    base = resident_bytes()
    for number in range(COURIERS):
        me = member(5_000 + number)
        courier, seal = (Membership(me, {}, MemberLimits(), random.Random(number), 0),
                         PacketSeal(b"k" * 16, "fleet", me.name, 1))
        for data in rolls:
            roll = DATAGRAM.decode(data)
            assert isinstance(roll, Roll)
            courier.heard(0, roll.news[0].name, roll.news[0].address, roll)
        for other in members:
            seal.open(PacketSeal(b"k" * 16, "fleet", other.name, 1).pack(me.name, Ping(1, ())), DATAGRAM)
        assert len(courier.members()) == couriers + 1
        kept.append((courier, seal))
    gc.collect()
    return {"memory_kb": (resident_bytes() - base) / COURIERS / 1e3}


if __name__ == "__main__":
    run_cases("before-members", "members", __doc__, [{"couriers": couriers} for couriers in SIZES], measure_table,
              {"couriers_in_process": COURIERS})
