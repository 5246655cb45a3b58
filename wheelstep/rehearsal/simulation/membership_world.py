"""A fleet's membership in virtual time: couriers, links that lose, delay and are cut, processes that die or stand
still. All from one seed; time goes from event to event."""

from __future__ import annotations

import heapq
import random
import time
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any

from wheelstep.fleet.membership import MemberLimits, Membership
from wheelstep.fleet.packets import DATAGRAM, HigherBoot, PacketSeal
from wheelstep.fleet.types import Action, Member, Note, Roll, SendPacket, State

SECOND = 1_000_000


class World:
    """Couriers "c0" to "c<count-1>" at addresses "@c0" and so on, c0 to c2 as seeds. With `sealed` each packet goes
    through real seals, so that one beyond 1,200 bytes ends the run."""

    def __init__(self, count: int, seed: int, *, loss: float = 0.0, sealed: bool = False,
                 limits: MemberLimits | None = None) -> None:
        self.rng = random.Random(seed)
        self.now_us, self.loss, self.limits = 0, loss, limits or MemberLimits()
        self.sealed = sealed
        self.couriers: dict[str, Membership] = {}
        self.at: dict[str, str] = {}  # address -> name of the process there
        self.dead: set[str] = set()
        self.stopped: dict[str, list[tuple[str, Any]]] = {}  # what waits in the socket of one that stands still
        self.cut: Callable[[str, str], bool] = lambda sender, receiver: False
        self.notes: list[tuple[int, str, str]] = []
        self.sent: Counter[str] = Counter()
        self.bytes = 0
        self.cpu_s = 0.0
        self.seals: dict[str, PacketSeal] = {}
        self._events: list[tuple[int, int, str, tuple[str, Any] | None]] = []
        self._order = 0
        self._ticks: dict[str, int] = {}
        self.seeds = {f"c{number}": f"@c{number}" for number in range(min(count, 3))}
        for number in range(count):
            self.add(f"c{number}")

    def add(self, process: str, *, name: str = "", incarnation: int = 0) -> Membership:
        """Start one; `name` if it is not its address's."""
        me = Member(name or process, incarnation, State.ALIVE, f"@{process}", f"http://{process}")
        courier = Membership(me, self.seeds, self.limits, random.Random(self.rng.random()), self.now_us)
        self.couriers[process], self.at[me.address] = courier, process
        self.seals[process] = PacketSeal(b"k" * 16, "fleet", me.name, self.now_us + 1)
        self.dead.discard(process)
        self._push(courier.next_us(), process, None)
        return courier

    def form(self) -> None:
        """Everybody knows everybody, as after a quiet start."""
        news = tuple(courier.me for courier in self.couriers.values())
        for process, courier in self.couriers.items():
            first = news[0] if news[0] != courier.me else news[1]
            courier.heard(self.now_us, first.name, first.address, Roll(0, (first, *news)))
            courier.changed()
            self._wake(process)

    def run(self, seconds: float, until: Callable[[], bool] | None = None, every_s: float = 0.1) -> float | None:
        """Go on for so long, or until this holds (looked at every `every_s`); the seconds passed, None if it never
        did."""
        start_us, look_us = self.now_us, self.now_us
        end_us = start_us + round(seconds * SECOND)
        while self._events and self._events[0][0] <= end_us:
            while until is not None and look_us <= self._events[0][0]:
                if until():
                    return (look_us - start_us) / SECOND
                look_us += round(every_s * SECOND)
            self.now_us, _, process, packet = heapq.heappop(self._events)
            self._event(process, packet)
        self.now_us = end_us
        if until is None or until():
            return seconds
        return None

    def stop(self, process: str) -> None:
        """SIGSTOP."""
        self.stopped[process] = []

    def wake(self, process: str) -> None:
        """SIGCONT: the timer that is overdue and what waits in the socket, in any order."""
        waiting = self.stopped.pop(process)
        if self.rng.random() < 0.5:
            self._act(process, self.couriers[process].tick(self.now_us))
        for sender, packet in waiting[-200:]:
            self._event(process, (sender, packet))
        self._wake(process)

    def sees(self, process: str, name: str) -> State | None:
        """What one holds true of another."""
        member = self.couriers[process].member(name)
        return None if member is None else member.state

    def all_see(self, names: Iterable[str], states: set[State], by: Iterable[str] | None = None) -> bool:
        """Do all that run (or these) see these names so?"""
        names = list(names)
        return all(self.sees(process, name) in states for process in (self.running() if by is None else by)
                   for name in names if self.couriers[process].me.name != name)

    def running(self) -> list[str]:
        """Processes that neither are dead nor stand still."""
        return [process for process in self.couriers if process not in self.dead and process not in self.stopped]

    def dead_notes(self) -> list[str]:
        """Return the log lines that declare a courier gone."""
        return [text for _, _, text in self.notes if "declared gone" in text]

    def _push(self, at_us: int, process: str, packet: tuple[str, Any] | None) -> None:
        self._order += 1
        heapq.heappush(self._events, (at_us, self._order, process, packet))
        if packet is None:
            self._ticks[process] = at_us

    def _wake(self, process: str) -> None:
        due_us = max(self.now_us, self.couriers[process].next_us())
        if self._ticks.get(process, -1) <= self.now_us or due_us < self._ticks[process]:
            self._push(due_us, process, None)

    def _event(self, process: str, packet: tuple[str, Any] | None) -> None:
        if process in self.dead:
            return
        if process in self.stopped:
            if packet is not None:
                self.stopped[process].append(packet)
            return
        if packet is None and self._ticks.get(process) != self.now_us:
            return
        courier, began = self.couriers[process], time.process_time()
        if packet is None:
            actions = courier.tick(self.now_us)
        elif self.sealed:
            opened = self.seals[process].open(packet[1], DATAGRAM)
            assert not isinstance(opened.payload, HigherBoot)
            actions = courier.heard(self.now_us, opened.sender, f"@{packet[0]}", opened.payload)
        else:
            actions = courier.heard(self.now_us, self.couriers[packet[0]].me.name, f"@{packet[0]}", packet[1])
        self._act(process, actions)
        self.cpu_s += time.process_time() - began
        self._wake(process)

    def _act(self, process: str, actions: list[Action]) -> None:
        courier = self.couriers[process]
        for action in actions:
            if isinstance(action, Note):
                self.notes.append((self.now_us, process, action.text))
                continue
            assert isinstance(action, SendPacket)
            self.sent[type(action.packet).__name__] += 1
            packet: Any = action.packet
            if self.sealed:
                packet = self.seals[process].pack(courier.name_at(action.address), packet)
                self.bytes += len(packet)
            to = self.at.get(action.address)
            if to is not None and not self.cut(process, to) and self.rng.random() >= self.loss:
                self._push(self.now_us + self.rng.randint(200, 5_000), to, (process, packet))
