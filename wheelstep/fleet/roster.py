"""The member table of one courier: precedence of updates, addresses, and detection of two couriers with one name. No
I/O; imports msgspec and the fleet's types.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from wheelstep.fleet.types import Member, State

INCARNATION_LIMIT = 1 << 62  # exclusive upper bound
MAX_NAME_BYTES = 64
MAX_TEXT_BYTES = 64  # of an address, and of a zone
MAX_SERVES_BYTES = 128


@dataclass(frozen=True, slots=True)
class MemberLimits:
    """Limits of membership. "Health" is the local health multiplier, 0 if good."""

    period_us: int = 500_000  # between probes; multiplied by health + 1
    timeout_us: int = 150_000  # before indirect probes; multiplied by health + 1
    indirect: int = 3  # helpers asked for an indirect probe
    suspicion: float = 5.0  # minimum suspicion in periods, multiplied by log10 of the members
    max_suspicion: float = 6.0  # maximum suspicion, as a multiple of the minimum; applies without confirmations
    max_confirmations: int = 3  # by others that shorten a suspicion to its minimum
    max_health: int = 8  # maximum of the health multiplier
    stall_us: int = 300_000  # a tick later than this is a stall of this courier
    max_updates: int = 512  # updates queued for gossip
    sends_per_update: float = 3.0  # sends of each update, multiplied by log2(members + 1)
    max_update_bytes: int = 850  # of updates per packet; with names of 64 bytes the sealed packet is below 1,200
    heal_periods: int = 10  # between attempts to reach a gone member or an unknown seed
    hello_periods: int = 60  # between requests for the whole table of a member
    max_rolls: int = 512  # queued packets, for all receivers
    rolls_every_us: int = 10_000  # between two packets to any receiver
    max_indirect_probes: int = 64  # indirect probes in progress for others
    gone_kept_us: int = 600_000_000  # until a gone member is dropped; also between two log lines about a duplicate name
    max_members: int = 2_048  # in the table, gone ones and this courier included


def is_valid(member: Member) -> bool:
    """Return whether all fields of the member are within their limits."""
    return (0 <= member.incarnation < INCARNATION_LIMIT and 0 < len(member.name.encode()) <= MAX_NAME_BYTES
            and 0 < len(member.address.encode()) <= MAX_TEXT_BYTES and len(member.zone.encode()) <= MAX_TEXT_BYTES
            and len(member.serves.encode()) <= MAX_SERVES_BYTES and 0 <= member.version < 1 << 31
            and math.isfinite(member.weight) and member.weight >= 0)


class Roster:
    """All known members except this courier; gone ones are kept for `gone_kept_us`. The addresses in `seeds` (by name)
    override those that members announce, because each courier may reach another at a different address."""

    def __init__(self, me: str, seeds: Mapping[str, str], limits: MemberLimits) -> None:
        self.seeds = {name: address for name, address in seeds.items() if name != me}
        self._limits = limits
        self._members: dict[str, Member] = {}
        self._present: dict[str, Member] = {}  # those of `_members` that are not gone
        self._gone_us: dict[str, int] = {}  # name -> since when it is gone, oldest first
        self._seed_names = {address: name for name, address in self.seeds.items()}
        self._names_by_address: dict[str, str] = {}  # address -> the last name announced with it
        self.refused: Counter[str] = Counter()  # ignored updates by reason
        self.duplicates: dict[str, str] = {}  # name -> second address announced for it
        self.changed: dict[str, Member] = {}  # by name, since the caller last cleared it

    def get(self, name: str) -> Member | None:
        """Return the member, gone or not; None if it is unknown."""
        return self._members.get(name)

    def present(self) -> Mapping[str, Member]:
        """Return the members that are not gone, by name."""
        return self._present

    def absent(self) -> list[str]:
        """Return the names of gone members and of seeds that are not in the table. They are retried periodically."""
        return [*self._gone_us, *(name for name in self.seeds if name not in self._members)]

    def address_of(self, name: str) -> str:
        """Return the address to send to; "" for an unknown name."""
        if name in self.seeds:
            return self.seeds[name]
        return self._members[name].address if name in self._members else ""

    def name_at(self, address: str) -> str:
        """Return the name of the member at this address; "" if unknown."""
        return self._seed_names.get(address) or self._names_by_address.get(address, "")

    def is_duplicate(self, update: Member) -> bool:
        """Return whether this is a second courier, at another address, with the name of a present member that is not a
        suspect. If so, count it and record its address in `duplicates`."""
        known = self._present.get(update.name)
        if known is None or known.state is State.SUSPECT or known.address == update.address:
            return False
        if update.incarnation < known.incarnation:
            return False  # outdated: from before the member moved
        self.refused["twin"] += 1
        if len(self.duplicates) < self._limits.max_members:
            self.duplicates.setdefault(update.name, update.address)
        return True

    def merge(self, update: Member, now_us: int) -> bool:
        """Apply the update if it overrules what is known. Return whether it should be gossiped on."""
        if not is_valid(update):
            self.refused["malformed"] += 1
            return False
        known = self._members.get(update.name)
        if known is None:
            if not self._make_room():
                self.refused["full"] += 1
                return False
            self._store(update, now_us)
            return update.state is not State.GONE  # else it could circulate for ever: it expires at different times
        if (update.incarnation, update.state) <= (known.incarnation, known.state) or self.is_duplicate(update):
            return False
        if update.incarnation == known.incarnation:
            update = msgspec.structs.replace(known, state=update.state)  # the rest needs a new incarnation
        self._store(update, now_us)
        return True

    def forget(self, now_us: int) -> None:
        """Drop members that have been gone for `gone_kept_us`."""
        while self._gone_us:
            name, since_us = next(iter(self._gone_us.items()))
            if now_us - since_us < self._limits.gone_kept_us:
                return
            self._drop(name)

    def _make_room(self) -> bool:
        if len(self._members) >= self._limits.max_members - 1 and self._gone_us:
            self._drop(next(iter(self._gone_us)))
        return len(self._members) < self._limits.max_members - 1

    def _drop(self, name: str) -> None:
        del self._gone_us[name]
        address = self._members.pop(name).address
        if self._names_by_address.get(address) == name:
            del self._names_by_address[address]

    def _store(self, member: Member, now_us: int) -> None:
        before = self._members.get(member.name)
        if before is not None and before.address != member.address \
                and self._names_by_address.get(before.address) == member.name:
            del self._names_by_address[before.address]
        self._members[member.name] = self.changed[member.name] = member
        self._gone_us.pop(member.name, None)
        if member.state is State.GONE:
            self._gone_us[member.name] = now_us
            self._present.pop(member.name, None)
            self._names_by_address.setdefault(member.address, member.name)
        else:
            self._present[member.name] = member
            self._names_by_address[member.address] = member.name
