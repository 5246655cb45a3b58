"""What is told to other members: pieces of news that ride on probes, and rolls for those that are new. No I/O; imports
msgspec and the fleet's types.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Iterable, Sequence

import msgspec

from wheelstep.fleet.roster import Limits
from wheelstep.fleet.types import Member, Roll, SendPacket, State

_encode = msgspec.msgpack.Encoder().encode


class News:
    """Pieces of news, one a member, each told a bounded number of times, those told least first (Das, Gupta, Motivala
    2002, 4.1)."""

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self._pieces: dict[str, tuple[Member, int, int]] = {}  # the member, how often told, bytes

    def __len__(self) -> int:
        return len(self._pieces)

    def add(self, member: Member) -> None:
        """Tell this, in place of what was to be told of the same member."""
        if member.name not in self._pieces and len(self._pieces) >= self._limits.news_most:
            del self._pieces[max(self._pieces, key=lambda name: self._pieces[name][1])]
        self._pieces[member.name] = (member, 0, len(_encode(member)))

    def pick(self, to: str, first: Sequence[Member], members: int) -> tuple[Member, ...]:
        """The news for one packet in a fleet of so many: `first`, then what was told least and has room, but nothing
        of the receiver itself."""
        if not self._pieces:
            return tuple(first)
        picked, room = list(first), self._limits.news_bytes - sum(len(_encode(member)) for member in first)
        named = {to, *(member.name for member in first)}
        times = math.ceil(self._limits.news_times * math.log2(members + 1))
        for name, (member, told, size) in sorted(self._pieces.items(), key=lambda item: item[1][1]):
            if name in named or size > room:
                continue
            picked.append(member)
            room -= size
            if told + 1 < times:
                self._pieces[name] = (member, told + 1, size)
            else:
                del self._pieces[name]
            if room < 16:
                break
        return tuple(picked)


class Rolls:
    """Answers to `Hello`, sent at a bounded pace. Who asks again while its rolls wait gets no second set."""

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self._waiting: deque[SendPacket] = deque()
        self._last: dict[str, int] = {}  # address -> packets that wait for it
        self.due_us: int | None = None

    def answer(self, address: str, first: Sequence[Member], members: Iterable[Member], rng: random.Random,
               now_us: int) -> bool:
        """Queue all members for this address, `first` at the head of each packet. False without room."""
        if address in self._last:
            return False
        head = self._limits.news_bytes - sum(len(_encode(member)) for member in first)
        packets: list[list[Member]] = [list(first)]
        room, named = head, {member.name for member in first}
        rest = [member for member in members if member.name not in named]
        rng.shuffle(rest)  # what is lost on the way is not the same each time
        for member in rest:
            size = len(_encode(member))
            if size > room:
                packets.append(list(first))
                room = head
            packets[-1].append(member)
            room -= size
        if len(self._waiting) + len(packets) > self._limits.rolls_most:
            return False
        left = len(rest)
        for news in packets:
            left -= len(news) - len(first)
            self._waiting.append(SendPacket(address, Roll(left, tuple(news))))
        self._last[address] = len(packets)
        self.due_us = now_us if self.due_us is None else self.due_us
        return True

    def send(self, now_us: int) -> list[SendPacket]:
        """The next packet, if its time has come."""
        if self.due_us is None or now_us < self.due_us:
            return []
        packet = self._waiting.popleft()
        self._last[packet.address] -= 1
        if not self._last[packet.address]:
            del self._last[packet.address]
        self.due_us = now_us + self._limits.rolls_every_us if self._waiting else None
        return [packet]


def suspected(member: Member) -> Member:
    """The same, as one that is to hear of it and to speak up."""
    return msgspec.structs.replace(member, state=State.SUSPECT)
