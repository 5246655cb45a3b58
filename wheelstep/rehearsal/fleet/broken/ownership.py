"""Couriers that don't keep to what the registers say."""

from __future__ import annotations

from wheelstep.channels.serving import ChannelService
from wheelstep.fleet.owner import Owner
from wheelstep.fleet.proposer import Proposer


def needs_no_majority() -> None:
    """One voter's yes is enough to have a part."""
    init = Proposer.__init__

    def alone(self: Proposer, *given: object, **named: object) -> None:
        init(self, *given, **named)  # type: ignore[arg-type]
        self._majority = 1

    Proposer.__init__ = alone  # type: ignore[method-assign]


def outlives_lease() -> None:
    """A lease that has run out counts until another's is heard of."""
    Proposer._expire = lambda self, now_us: None  # type: ignore[method-assign]
    Owner.epoch = lambda self, part, now_us: self._epoch[part] or None  # type: ignore[method-assign]


def ignores_epoch() -> None:
    """What has once been given out is sent, whoever has the part by now."""
    ChannelService.may_send = lambda self, name: True  # type: ignore[method-assign]
