"""Simulates a fleet's membership in virtual time: couriers, links that lose and delay packets or are blocked, and
processes that die or are paused. All is drawn from one seed, and time advances from event to event."""

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
    """`count` couriers in processes "c0", "c1" and so on at addresses "@c0", "@c1" and so on; c0 to c2 are the seeds.
    `loss` is the probability that a packet is lost. With `sealed`, packets are sealed and opened as on the wire, so
    that one of more than 1,200 bytes fails the run."""

    def __init__(self, count: int, seed: int, *, loss: float = 0.0, sealed: bool = False,
                 limits: MemberLimits | None = None) -> None:
        self.rng = random.Random(seed)
        self.now_us, self.loss, self.limits = 0, loss, limits or MemberLimits()
        self.sealed = sealed
        self.couriers: dict[str, Membership] = {}
        self.process_by_address: dict[str, str] = {}
        self.dead: set[str] = set()
        self.paused: dict[str, list[tuple[str, Any]]] = {}  # packets that wait in the socket of a paused process
        self.link_blocked: Callable[[str, str], bool] = lambda sender, receiver: False
        self.notes: list[tuple[int, str, str]] = []
        self.sent: Counter[str] = Counter()
        self.bytes_sent = 0
        self.cpu_s = 0.0
        self.seals: dict[str, PacketSeal] = {}
        self._events: list[tuple[int, int, str, tuple[str, Any] | None]] = []
        self._sequence = 0
        self._next_ticks_us: dict[str, int] = {}
        self.seeds = {f"c{number}": f"@c{number}" for number in range(min(count, 3))}
        for number in range(count):
            self.add(f"c{number}")

    def add(self, process: str, *, name: str = "", incarnation: int = 0) -> Membership:
        """Start a process with one courier, and return it; the courier's name is `name`, or the process's if empty."""
        me = Member(name or process, incarnation, State.ALIVE, f"@{process}", f"http://{process}")
        courier = Membership(me, self.seeds, self.limits, random.Random(self.rng.random()), self.now_us)
        self.couriers[process], self.process_by_address[me.address] = courier, process
        self.seals[process] = PacketSeal(b"k" * 16, "fleet", me.name, self.now_us + 1)
        self.dead.discard(process)
        self._push_event(courier.next_us(), process, None)
        return courier

    def introduce_all(self) -> None:
        """Tell each courier of all others, as they know each other after a start without faults."""
        news = tuple(courier.me for courier in self.couriers.values())
        for process, courier in self.couriers.items():
            first = news[0] if news[0] != courier.me else news[1]
            courier.heard(self.now_us, first.name, first.address, Roll(0, (first, *news)))
            courier.changed()
            self._schedule_tick(process)

    def run(self, seconds: float, until: Callable[[], bool] | None = None, interval_s: float = 0.1) -> float | None:
        """Run for `seconds`, or until a condition holds that is evaluated every `interval_s`. Return the seconds
        passed, None if the condition was given and never held."""
        start_us, next_check_us = self.now_us, self.now_us
        end_us = start_us + round(seconds * SECOND)
        while self._events and self._events[0][0] <= end_us:
            while until is not None and next_check_us <= self._events[0][0]:
                if until():
                    return (next_check_us - start_us) / SECOND
                next_check_us += round(interval_s * SECOND)
            self.now_us, _, process, packet = heapq.heappop(self._events)
            self._handle_event(process, packet)
        self.now_us = end_us
        if until is None or until():
            return seconds
        return None

    def pause(self, process: str) -> None:
        """Pause a process, as SIGSTOP does."""
        self.paused[process] = []

    def resume(self, process: str) -> None:
        """Continue a process, as SIGCONT does: it handles the overdue timer and the last 200 waiting packets, and the
        timer comes first or last at random."""
        waiting = self.paused.pop(process)
        if self.rng.random() < 0.5:
            self._perform(process, self.couriers[process].tick(self.now_us))
        for sender, packet in waiting[-200:]:
            self._handle_event(process, (sender, packet))
        self._schedule_tick(process)

    def state_seen(self, process: str, name: str) -> State | None:
        """Return the state that a process's courier assigns to the courier `name`, None if it doesn't know it."""
        member = self.couriers[process].member(name)
        return None if member is None else member.state

    def all_see(self, names: Iterable[str], states: set[State], by: Iterable[str] | None = None) -> bool:
        """Return whether every running process, or every one of `by`, sees each other courier of `names` in one of the
        `states`."""
        names = list(names)
        return all(self.state_seen(process, name) in states for process in (self.running() if by is None else by)
                   for name in names if self.couriers[process].me.name != name)

    def running(self) -> list[str]:
        """Return the processes that are neither dead nor paused."""
        return [process for process in self.couriers if process not in self.dead and process not in self.paused]

    def death_notes(self) -> list[str]:
        """Return the texts of the notes that declare a member dead."""
        return [text for _, _, text in self.notes if "declared gone" in text]

    def _push_event(self, at_us: int, process: str, packet: tuple[str, Any] | None) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (at_us, self._sequence, process, packet))
        if packet is None:
            self._next_ticks_us[process] = at_us

    def _schedule_tick(self, process: str) -> None:
        due_us = max(self.now_us, self.couriers[process].next_us())
        if self._next_ticks_us.get(process, -1) <= self.now_us or due_us < self._next_ticks_us[process]:
            self._push_event(due_us, process, None)

    def _handle_event(self, process: str, packet: tuple[str, Any] | None) -> None:
        if process in self.dead:
            return
        if process in self.paused:
            if packet is not None:
                self.paused[process].append(packet)
            return
        if packet is None and self._next_ticks_us.get(process) != self.now_us:
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
        self._perform(process, actions)
        self.cpu_s += time.process_time() - began
        self._schedule_tick(process)

    def _perform(self, process: str, actions: list[Action]) -> None:
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
                self.bytes_sent += len(packet)
            receiver = self.process_by_address.get(action.address)
            if receiver is not None and not self.link_blocked(process, receiver) and self.rng.random() >= self.loss:
                self._push_event(self.now_us + self.rng.randint(200, 5_000), receiver, (process, packet))
