"""Measures what the renewal of all leases costs a voter: one batch of each of 1,100 couriers, decoded, decided and
answered.

    python -m benchmarks.measure.voters
"""

from __future__ import annotations

import time

import msgspec

from benchmarks.measure.result import Row, run_cases
from wheelstep.fleet.register import Voter
from wheelstep.fleet.rows import BEGUN, FLEET_ROW, Rows
from wheelstep.fleet.rows import Row as Register
from wheelstep.fleet.types import Accept, Accepted, Ballot, Ownership, Votes

COURIERS = 1_100
PARTS = (256, 1_024, 4_096, 16_384, 131_072)
LEASE_US = 3_000_000
RENEWAL_INTERVAL_S = 1.0  # a third of a lease


def measure_renewal(parts: int) -> Row:
    """Measure the processor time of one renewal of all parts, the bytes of a courier's request, and the megabytes of
    the voter's whole state."""
    rows = Rows.__new__(Rows)
    rows.rows = {FLEET_ROW: Register(BEGUN)}
    for part in range(parts):
        ballot = Ballot(1, f"c{part % COURIERS}")
        rows.rows[part] = Register(ballot, ballot, Ownership(1, ballot.courier))
    voter = Voter("a", ("b", "c"), parts, LEASE_US, 0.02, rows, 0, 0)
    voter.saved(1 << 40)
    requests = []
    for one in range(min(COURIERS, parts)):
        name = f"c{one}"
        requests.append((name, msgspec.msgpack.encode(Votes(tuple(
            Accept(part, Ballot(1, name), Ownership(1, name)) for part in range(one, parts, COURIERS))))))
    renewed, began = 0, time.process_time()
    for name, data in requests:
        answer, _ = voter.heard(10_000_000, name, msgspec.msgpack.decode(data, type=Votes))
        renewed += sum(isinstance(one, Accepted) for one in answer.answers)
        msgspec.msgpack.encode(answer)
    took_s = time.process_time() - began
    assert renewed == parts
    return {"renewal_ms": took_s * 1e3, "core_share": took_s / RENEWAL_INTERVAL_S,
            "ask_bytes": sum(len(data) for _, data in requests) / len(requests),
            "stand_mb": len(msgspec.msgpack.encode(voter.registers_for("c1"))) / 1e6}


if __name__ == "__main__":
    run_cases("before-voters", "voters", __doc__, [{"parts": parts} for parts in PARTS], measure_renewal,
              {"couriers": COURIERS, "lease_s": LEASE_US / 1e6, "renewal_every_s": RENEWAL_INTERVAL_S})
