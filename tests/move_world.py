"""Two couriers `g` and `t` and a register in virtual time: `g` gives one part to `t` while clients submit messages.
The invariants are asserted whenever a courier serves. The same arguments give the same run."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count

from move_courier import LEASE_US, MS, PART, Courier

from wheelstep.fleet.types import Ownership
from wheelstep.moves.giver import Giver
from wheelstep.moves.steps import Ended, GiverLimits
from wheelstep.moves.taker import Taker

LIMITS = GiverLimits(chunk_pieces=3, pace_us=1 * MS, max_tail_pieces=2, max_rounds=3, call_bound_us=40 * MS,
                     shut_bound_us=400 * MS, silence_us=300 * MS, max_tries=3, backoff_us=10 * MS, poll_us=2 * MS,
                     commit_us=80 * MS, undecided_us=3_000 * MS)
START_US, AFTER_US, END_US = 20 * MS, 60 * MS, 3_500 * MS


class World:
    """`crash` maps the number of an event since the move's start to the couriers that crash before it ("g", "t" or
    "gt"), for `down_us`. `fault` returns the fault of a message from its number and content: "", "lost", "dup" (sent
    again later) or "late". `register_fault` does so for a register request from its sender, time and owner; "unheard"
    means done, but its answer is lost. `call_us` is the length of the first calls, one of which is under way when the
    part is shut."""

    def __init__(self, crash: dict[int, str] | None = None, down_us: int = 50 * MS,
                 fault: Callable[[int, object], str] = lambda number, message: "",
                 register_fault: Callable[[str, int, str], str] = lambda asker, now_us, owner: "",
                 call_us: int = 6 * MS, link_us: int = MS, limits: GiverLimits = LIMITS,
                 giver_class: type[Giver] = Giver, taker_class: type[Taker] = Taker) -> None:
        self.crash, self.down_us, self.fault, self.register_fault = crash or {}, down_us, fault, register_fault
        self.call_us, self.link_us, self.limits = call_us, link_us, limits
        self.giver_class, self.taker_class = giver_class, taker_class
        self.now_us, self.events, self.messages = 0, 0, 0  # events are counted from the move's start
        self.move_events = 0  # events until `AFTER_US` after its end
        self._heap: list[tuple[int, int, Callable[[], object]]] = []
        self._order = count()
        self.holding, self.lease_us, self.owners = Ownership(1, "g"), LEASE_US, {1: "g"}
        self.top = 0  # the newest epoch under which a courier has served
        self.owed: set[int] = set()
        self.next = 1  # the channel's next number after the newest 202
        self.attempts: list[int] = []
        self.unclear: set[int] = set()
        self.opens: list[tuple[int, str, int]] = []
        self.ended: list[Ended] = []
        self.ended_us = -1
        self.couriers = {name: Courier(self, name) for name in "gt"}
        g = self.couriers["g"]
        g.known, g.lease_us = self.holding, LEASE_US * 9 // 10
        g.store.open(PART, 1)

    def at(self, delay_us: int, do: Callable[[], object]) -> None:
        heapq.heappush(self._heap, (self.now_us + delay_us, next(self._order), do))

    def run(self, end_us: int = END_US) -> World:
        """Submit every 7 ms for 310 ms, then every 500 ms; the move begins at `START_US`."""
        for when_us in [*range(0, 310 * MS, 7 * MS), *range(310 * MS, end_us, 500 * MS), end_us]:
            self.at(when_us, self.submit)
        self.at(START_US, lambda: self.couriers["g"].give("t"))
        moving = False
        while self._heap and self._heap[0][0] <= end_us + 100 * MS:
            now_us, _, do = heapq.heappop(self._heap)
            self.now_us = now_us
            moving = moving or now_us >= START_US
            if moving:
                for name in self.crash.get(self.events, ""):
                    self.couriers[name].crash()
                self.events += 1
            if self.ended_us < 0 or now_us < self.ended_us + AFTER_US:
                self.move_events = self.events
            if self.ended_us < 0 and self.ended:
                self.ended_us = now_us
            do()
        return self

    def submit(self) -> None:
        for courier in self.couriers.values():
            if courier.serves():
                return courier.submit()

    def send(self, message: object, to: Courier, arrive: Callable[[], object]) -> None:
        fault = self.fault(self.messages, message)
        self.messages += 1
        for delay_us in {"": (0,), "lost": (), "dup": (0, 250 * MS), "late": (250 * MS,)}[fault]:
            self.at(self.link_us + delay_us, lambda: arrive() if to.alive else None)

    def register(self, asker: Courier, epoch: int, owner: str, heard: Callable[[Ownership], object]) -> None:
        """Grant `owner` the epoch after `epoch` if that is current and no lease forbids it; return the holding."""
        fault = self.register_fault(asker.name, self.now_us, owner)
        life = asker.life
        delay_us = self.link_us + (150 * MS if fault == "late" else 0)

        def arrive() -> None:
            if self.holding.epoch == epoch and (asker.name == self.holding.owner or self.now_us >= self.lease_us):
                self.holding = Ownership(epoch + 1, owner)
                self.owners[epoch + 1] = owner
                self.lease_us = self.now_us + LEASE_US
            elif self.holding.owner == asker.name:
                self.lease_us = self.now_us + LEASE_US
            held = self.holding
            if fault != "unheard":
                self.at(self.link_us, lambda: heard(held) if asker.alive and asker.life == life else None)
        if fault != "lost":
            self.at(delay_us, arrive)

    # --- invariants ---

    def check_sole_owner(self, courier: Courier) -> None:
        """Checked when a 202 is sent or the first byte of an attempt is written: only the owner serves."""
        epoch = courier.store.epoch
        assert [each.name for each in self.couriers.values() if each.serves()] == [courier.name], "two serve"
        assert epoch >= self.top and self.owners[epoch] == courier.name, f"{courier.name} serves under {epoch}"
        self.top = epoch

    def ended_unclear(self, number: int) -> None:
        self.owed.discard(number)
        self.unclear.add(number)

    def opened(self, courier: Courier, epoch: int) -> None:
        assert self.holding == Ownership(epoch, courier.name), (
            f"{courier.name} opens {epoch}, but {self.holding} stands")
        here = {int(name[2:]) for name in courier.disk if name[0] == "m"}
        assert self.owed <= here, f"{courier.name} opens {epoch} without {sorted(self.owed - here)}"
        position = int(courier.disk.get("c:p", b"1"))
        assert position >= self.next, f"{courier.name} opens {epoch} at {position}, the channel stood at {self.next}"
        again = {number for number in self.attempts if courier.disk.get(f"m:{number}") == b"w"}
        assert not again, f"{courier.name} opens {epoch}, and would send {sorted(again)} again"
        self.opens.append((self.now_us, courier.name, epoch))

    def check_settled(self) -> None:
        """Checked at the end: one courier serves, nothing is owed, and no courier keeps remains of the move."""
        serving = [courier for courier in self.couriers.values() if courier.serves()]
        assert len(serving) == 1, f"nobody serves; {self.holding}"
        assert not self.owed, f"still owed: {sorted(self.owed)}"
        assert self.attempts == sorted(set(self.attempts)), "twice, or out of order"
        for courier in self.couriers.values():
            assert courier.giver is None or courier.giver.over
            assert courier.taker.sealed_epoch(PART) is None, f"{courier.name} keeps a whole copy"
            assert courier in serving or not courier.disk, f"{courier.name} keeps pieces of a part that is another's"
