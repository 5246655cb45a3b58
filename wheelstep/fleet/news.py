"""Dissemination: member updates piggybacked on probes, and rolls (the whole member table) for joining couriers. No I/O;
imports msgspec and the fleet's types.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Iterable, Sequence

import msgspec

from wheelstep.fleet.roster import MemberLimits
from wheelstep.fleet.types import Member, Roll, SendPacket, State

_encode = msgspec.msgpack.Encoder().encode


class News:
    """Gossip queue with at most one update per member. Each update is sent a bounded number of times, the least sent
    first (Das, Gupta, Motivala 2002, 4.1)."""

    def __init__(self, limits: MemberLimits) -> None:
        self._limits = limits
        self._updates: dict[str, tuple[Member, int, int]] = {}  # the member, times sent, bytes

    def __len__(self) -> int:
        return len(self._updates)

    def add(self, member: Member) -> None:
        """Queue the update, replacing one of the same member. A full queue drops the most sent update."""
        if member.name not in self._updates and len(self._updates) >= self._limits.max_updates:
            del self._updates[max(self._updates, key=lambda name: self._updates[name][1])]
        self._updates[member.name] = (member, 0, len(_encode(member)))

    def select(self, to: str, first: Sequence[Member], members: int) -> tuple[Member, ...]:
        """Return the updates for one packet to `to` in a fleet of `members`: `first`, then the least sent updates that
        fit, except those of the receiver."""
        if not self._updates:
            return tuple(first)
        selected, free_bytes = list(first), self._limits.max_update_bytes - sum(
            len(_encode(member)) for member in first)
        excluded = {to, *(member.name for member in first)}
        max_times = math.ceil(self._limits.sends_per_update * math.log2(members + 1))
        for name, (member, times_sent, size) in sorted(self._updates.items(), key=lambda item: item[1][1]):
            if name in excluded or size > free_bytes:
                continue
            selected.append(member)
            free_bytes -= size
            if times_sent + 1 < max_times:
                self._updates[name] = (member, times_sent + 1, size)
            else:
                del self._updates[name]
            if free_bytes < 16:
                break
        return tuple(selected)


class Rolls:
    """Queue of answers to `Hello`, sent at a bounded rate. A repeated request is refused while its rolls are queued."""

    def __init__(self, limits: MemberLimits) -> None:
        self._limits = limits
        self._queue: deque[SendPacket] = deque()
        self._queued_count: dict[str, int] = {}  # by address
        self.due_us: int | None = None

    def enqueue(self, address: str, first: Sequence[Member], members: Iterable[Member], rng: random.Random,
               now_us: int) -> bool:
        """Queue packets with all members for this address, each starting with `first`. Return False if there is no room
        or packets for this address are queued."""
        if address in self._queued_count:
            return False
        initial_free_bytes = self._limits.max_update_bytes - sum(len(_encode(member)) for member in first)
        packets: list[list[Member]] = [list(first)]
        free_bytes, excluded = initial_free_bytes, {member.name for member in first}
        rest = [member for member in members if member.name not in excluded]
        rng.shuffle(rest)  # so that packet loss does not hit the same members each time
        for member in rest:
            size = len(_encode(member))
            if size > free_bytes:
                packets.append(list(first))
                free_bytes = initial_free_bytes
            packets[-1].append(member)
            free_bytes -= size
        if len(self._queue) + len(packets) > self._limits.max_rolls:
            return False
        remaining = len(rest)
        for news in packets:
            remaining -= len(news) - len(first)
            self._queue.append(SendPacket(address, Roll(remaining, tuple(news))))
        self._queued_count[address] = len(packets)
        self.due_us = now_us if self.due_us is None else self.due_us
        return True

    def pop_due(self, now_us: int) -> list[SendPacket]:
        """Return the next packet if it is due, as a list of at most one."""
        if self.due_us is None or now_us < self.due_us:
            return []
        packet = self._queue.popleft()
        self._queued_count[packet.address] -= 1
        if not self._queued_count[packet.address]:
            del self._queued_count[packet.address]
        self.due_us = now_us + self._limits.rolls_every_us if self._queue else None
        return [packet]


def as_suspect(member: Member) -> Member:
    """Return the member in state SUSPECT, which prompts it to refute."""
    return msgspec.structs.replace(member, state=State.SUSPECT)
