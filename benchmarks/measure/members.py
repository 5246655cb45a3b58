"""The memory of a courier's table of members, with the windows of its seal, by the fleet's size: ten couriers in one
process, each having heard everybody in packets of its own.

    python -m benchmarks.measure.members
"""

from __future__ import annotations

import gc
import random

import msgspec

from benchmarks.measure.result import Row, measure, resident
from wheelstep.fleet.membership import MemberLimits, Membership
from wheelstep.fleet.packets import DATAGRAM, PacketSeal
from wheelstep.fleet.types import Member, Ping, Roll, State

SIZES = (100, 300, 600, 1_100)
COURIERS = 10
PACKET = 10  # members in one


def member(number: int) -> Member:
    """With names as long as an operator's."""
    place = f"10.{number % 6}.{number // 250 + 10}.{number % 250}"
    return Member(f"courier-{number:04d}", 1, State.ALIVE, f"{place}:7946", f"http://{place}:8080",
                  zone=f"region-{number % 2}/zone-{number % 6}")


def table(couriers: int) -> Row:
    """Kilobytes a courier."""
    everybody = [member(number) for number in range(couriers)]
    rolls = [msgspec.msgpack.encode(Roll(0, (everybody[first], *everybody[first:first + PACKET])))
             for first in range(0, couriers, PACKET)]
    kept = []
    gc.collect()
    base = resident()
    for number in range(COURIERS):
        me = member(5_000 + number)
        courier, seal = (Membership(me, {}, MemberLimits(), random.Random(number), 0),
                         PacketSeal(b"k" * 16, "fleet", me.name, 1))
        for data in rolls:
            roll = DATAGRAM.decode(data)
            assert isinstance(roll, Roll)
            courier.heard(0, roll.news[0].name, roll.news[0].address, roll)
        for other in everybody:
            seal.open(PacketSeal(b"k" * 16, "fleet", other.name, 1).pack(me.name, Ping(1, ())), DATAGRAM)
        assert len(courier.members()) == couriers + 1
        kept.append((courier, seal))
    gc.collect()
    return {"memory_kb": (resident() - base) / COURIERS / 1e3}


if __name__ == "__main__":
    measure("before-members", "members", __doc__, [{"couriers": couriers} for couriers in SIZES], table,
            {"couriers_in_process": COURIERS})
