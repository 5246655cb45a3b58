"""Patches of couriers that ignore the votes, leases or epochs of ownership."""

from __future__ import annotations

from wheelstep.channels.serving import ChannelService
from wheelstep.fleet.owner import Owner
from wheelstep.fleet.proposer import Proposer


def needs_no_majority() -> None:
    """Patch the proposer so that one voter's accept is enough to own a part."""
    init = Proposer.__init__

    def alone(self: Proposer, *given: object, **named: object) -> None:
        init(self, *given, **named)  # type: ignore[arg-type]
        self._majority = 1

    Proposer.__init__ = alone  # type: ignore[method-assign]


def outlives_lease() -> None:
    """Patch ownership so that a lease counts after its end, until a newer owner is heard of."""
    Proposer._expire = lambda self, now_us: None  # type: ignore[method-assign]
    Owner.epoch = lambda self, part, now_us: self._epoch[part] or None  # type: ignore[method-assign]


def ignores_epoch() -> None:
    """Patch the check before a call's first byte so that it passes whoever owns the part by then."""
    ChannelService.may_send = lambda self, name: True  # type: ignore[method-assign]
