"""The table of a fleet's members as one courier sees it: which news overrules which, who has which address, and two
couriers of one name. No I/O; imports msgspec and the fleet's types.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from wheelstep.fleet.types import Member, State

INCARNATIONS = 1 << 62  # incarnations are below this
NAME_BYTES = 64
TEXT_BYTES = 64  # of an address and a zone
SERVES_BYTES = 128


@dataclass(frozen=True, slots=True)
class Limits:
    """Of membership. Multiples of the period are by the fleet's size and one's own health where said so."""

    period_us: int = 500_000  # one probe; times the health plus one
    timeout_us: int = 150_000  # until others are asked to check; times the health plus one
    indirect: int = 3  # so many others
    suspicion: float = 5.0  # periods, times log10 of the members, before a suspect that others confirm is gone
    suspicion_most: float = 6.0  # times that where nobody confirms
    confirmations: int = 3  # by others that make it shortest
    awareness_most: int = 8  # health is 0 to this
    stall_us: int = 300_000  # a tick so late means that this courier stood still
    news_most: int = 512  # pieces kept to be told
    news_times: float = 3.0  # each piece is told so often, times log2 of the members
    news_bytes: int = 850  # in a packet; with names of 64 bytes the sealed packet is below 1,200
    heal_periods: int = 10  # between tries to reach one that seems gone, or a seed
    hello_periods: int = 60  # between looks into another's whole table
    rolls_most: int = 512  # packets waiting to be sent
    rolls_every_us: int = 10_000  # between two of them
    errands_most: int = 64  # checks under way for others
    gone_kept_us: int = 600_000_000
    members_most: int = 2_048


def fit(member: Member) -> bool:
    """Is it a member that may be kept and told on?"""
    return (0 <= member.incarnation < INCARNATIONS and 0 < len(member.name.encode()) <= NAME_BYTES
            and 0 < len(member.address.encode()) <= TEXT_BYTES and len(member.zone.encode()) <= TEXT_BYTES
            and len(member.serves.encode()) <= SERVES_BYTES and 0 <= member.version < 1 << 31
            and math.isfinite(member.weight) and member.weight >= 0)


class Roster:
    """Everybody but oneself, those that are gone for `gone_kept_us`. `seeds` (name to address) go before the addresses
    that members tell of themselves: each courier may see another under an address of its own."""

    def __init__(self, me: str, seeds: Mapping[str, str], limits: Limits) -> None:
        self.seeds = {name: address for name, address in seeds.items() if name != me}
        self._limits = limits
        self._known: dict[str, Member] = {}
        self._here: dict[str, Member] = {}  # of these, the ones that are not gone
        self._gone_us: dict[str, int] = {}  # since when, the longest first
        self._fixed = {address: name for name, address in self.seeds.items()}
        self._names: dict[str, str] = {}  # address -> the name that was told last
        self.refused: Counter[str] = Counter()
        self.twins: dict[str, str] = {}  # a name that was told under a second address -> that address
        self.changed: dict[str, Member] = {}

    def get(self, name: str) -> Member | None:
        """What is known of it, gone or not."""
        return self._known.get(name)

    def here(self) -> Mapping[str, Member]:
        """Those that are not gone."""
        return self._here

    def lost(self) -> list[str]:
        """Those that are gone, and seeds that are not here: worth a try now and then."""
        return [*self._gone_us, *(name for name in self.seeds if name not in self._known)]

    def address_of(self, name: str) -> str:
        """Where to send to; "" for names that nobody has told."""
        if name in self.seeds:
            return self.seeds[name]
        return self._known[name].address if name in self._known else ""

    def name_at(self, address: str) -> str:
        """Who is reached there, as far as known; "" else."""
        return self._fixed.get(address) or self._names.get(address, "")

    def twin(self, told: Member) -> bool:
        """Is this a second courier under the name of one that is here and not suspected? Counted."""
        known = self._here.get(told.name)
        if known is None or known.state is State.SUSPECT or known.address == told.address:
            return False
        if told.incarnation < known.incarnation:
            return False  # old news of before it moved
        self.refused["twin"] += 1
        if len(self.twins) < self._limits.members_most:
            self.twins.setdefault(told.name, told.address)
        return True

    def take(self, told: Member, now_us: int) -> bool:
        """Keep what is told, if it overrules what is known. Is it worth telling on?"""
        if not fit(told):
            self.refused["malformed"] += 1
            return False
        known = self._known.get(told.name)
        if known is None:
            if not self._room():
                self.refused["full"] += 1
                return False
            self._keep(told, now_us)
            return told.state is not State.GONE  # else it might go round for ever, as some forget earlier than others
        if (told.incarnation, told.state) <= (known.incarnation, known.state) or self.twin(told):
            return False
        if told.incarnation == known.incarnation:
            told = msgspec.structs.replace(known, state=told.state)  # only itself changes the rest, by a new one
        self._keep(told, now_us)
        return True

    def forget(self, now_us: int) -> None:
        """Drop those that have been gone for long."""
        while self._gone_us:
            name, since_us = next(iter(self._gone_us.items()))
            if now_us - since_us < self._limits.gone_kept_us:
                return
            self._drop(name)

    def _room(self) -> bool:
        if len(self._known) >= self._limits.members_most - 1 and self._gone_us:
            self._drop(next(iter(self._gone_us)))
        return len(self._known) < self._limits.members_most - 1

    def _drop(self, name: str) -> None:
        del self._gone_us[name]
        address = self._known.pop(name).address
        if self._names.get(address) == name:
            del self._names[address]

    def _keep(self, member: Member, now_us: int) -> None:
        before = self._known.get(member.name)
        if before is not None and before.address != member.address and self._names.get(before.address) == member.name:
            del self._names[before.address]
        self._known[member.name] = self.changed[member.name] = member
        self._gone_us.pop(member.name, None)
        if member.state is State.GONE:
            self._gone_us[member.name] = now_us
            self._here.pop(member.name, None)
            self._names.setdefault(member.address, member.name)
        else:
            self._here[member.name] = member
            self._names[member.address] = member.name
