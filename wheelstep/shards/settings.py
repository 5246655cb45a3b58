"""What a shard node is told: the same at all couriers of a fleet. Spans are whole microseconds."""

from __future__ import annotations

from dataclasses import dataclass, field

from wheelstep.fleet.membership import Limits as MemberLimits


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """See `operator.toml`, `[fleet.shards]`, for those that operators set."""

    shards: int = 16_384
    load: float = 1.25  # a courier's shards, over its part by weight, at most
    guests: int = 64  # shards served as a guest, at once
    guest_idle_us: int = 30_000_000
    opens_within_us: int = 300_000  # a new home waits so long for learned state
    push_us: int = 5_000_000  # what changed of the learned state goes to the next courier so often
    forms_quiet_us: int = 500_000  # a courier that starts takes part once it knows half of its peers and has heard of
    # nobody new for this time;
    forms_within_us: int = 3_000_000  # after this one if it knows any other;
    forms_alone_us: int = 10_000_000  # and after this one alone: it is home of everything then
    settle_us: int = 1_000_000  # after its deadline a message that was passed on counts as ended
    dial_us: int = 200_000
    control_dial_us: int = 1_000_000
    members: MemberLimits = field(default_factory=MemberLimits)
