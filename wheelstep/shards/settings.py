"""Settings of a shard node, the same at all couriers of a fleet. Durations are whole microseconds."""

from __future__ import annotations

from dataclasses import dataclass, field

from wheelstep.fleet.membership import MemberLimits


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """For the settings that operators can change, see `operator.toml`, `[fleet.shards]`."""

    shards: int = 16_384
    load: float = 1.25  # limit of a courier's shards, relative to its share by weight
    guests: int = 64  # maximum number of shards served as guest
    guest_idle_us: int = 30_000_000
    opens_within_us: int = 300_000  # how long a new home waits for learned state
    push_us: int = 5_000_000  # interval of pushes of changed learned state to the next courier
    forms_quiet_us: int = 500_000  # a starting courier takes part once it knows half of its peers and none was
    # new for this time;
    forms_within_us: int = 3_000_000  # after this time, if it knows any other;
    forms_alone_us: int = 10_000_000  # or after this time without any: it is then home of every shard
    settle_us: int = 1_000_000  # how long after its deadline a message that was passed on counts as ended
    dial_us: int = 200_000
    control_dial_us: int = 1_000_000
    members: MemberLimits = field(default_factory=MemberLimits)
