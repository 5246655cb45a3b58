"""Voters and couriers in virtual time: lost, late, duplicated and reordered messages; clock drift; processes that
crash, stall, and restart with their disk, an outdated one or none."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable

from tests.voting_hosts import DRIFT, LEASE_US, MARGIN_US, PARTS, STEP_US, Clock, Host, Violation
from wheelstep.fleet.owner import Decided, Gained, Owner
from wheelstep.fleet.register import Voter, replay
from wheelstep.fleet.types import Votes


class Fleet:
    """One run from one seed. Crashed voters `forget` "all" or "some" records; `lag`: a courier with late answers."""

    def __init__(self, seed: int, voters: int = 3, couriers: int = 3, *, voter: type[Voter] = Voter,
                 owner: type[Owner] = Owner, save_first: bool = True, loss: float = 0.05, forget: str = "",
                 lag: str = "") -> None:
        self.rng = random.Random(seed)
        self.now = self._count = 0
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._voter, self._owner, self._save_first, self._forget = voter, owner, save_first, forget
        self._lag, self.loss = lag, loss
        self.cut: set[frozenset[str]] = set()
        self.epochs: dict[tuple[int, int], str] = {}  # (part, epoch) -> owner
        self.last = [0] * PARTS  # highest epoch gained, by part
        self.gained_count = self.decided_count = 0
        self.voters = {f"v{place}": self._host(f"v{place}") for place in range(voters)}
        self.couriers = {f"c{place}": self._host(f"c{place}") for place in range(couriers)}
        for host in self.voters.values():
            self.start_voter(host, 0)
        for host in self.couriers.values():
            self.start_courier(host)

    def _host(self, name: str) -> Host:
        return Host(name, Clock(self.rng.choice([1 - DRIFT, 1.0, 1 + DRIFT, self.rng.uniform(1 - DRIFT, 1 + DRIFT)]),
                                self.rng.randrange(1 << 40)))

    def after(self, delay_us: float, act: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._events, (self.now + int(delay_us), self._count, act))

    # --- processes ---

    def start_voter(self, host: Host, keep: int | None = None) -> None:
        """Start it with the first `keep` records of its disk, None for all."""
        if keep is not None:
            del host.disk[keep:]
        rows = replay(host.disk)
        others = [name for name in self.voters if name != host.name]
        host.generations += 1
        host.generation = host.generations
        host.voter = self._voter(host.name, others, PARTS, LEASE_US, DRIFT, rows if host.disk else None, rows.place,
                                 host.clock.at(self.now))
        self._poll_voter(host, host.generation)

    def start_courier(self, host: Host) -> None:
        """Start a courier with a fresh owner that acquires some parts."""
        host.generations += 1
        host.generation = host.generations
        host.owner = self._owner(host.name, list(self.voters), PARTS, LEASE_US, DRIFT, MARGIN_US,
                                 random.Random(self.rng.random()), host.clock.at(self.now))
        for part in range(PARTS):
            if self.rng.random() < 0.7:
                host.owner.want(part)
        self._poll_courier(host, host.generation)

    def _save(self, host: Host, records: list[bytes], then: Callable[[], None]) -> None:
        if not records:
            return then()
        generation = host.generation

        def saved() -> None:
            if host.generation == generation and host.voter is not None:
                host.disk += records
                host.voter.saved(replay(records).place)
                if self._save_first:
                    then()

        self.after(self.rng.uniform(500, 5_000) * (1 if self._save_first else 20), saved)
        if not self._save_first:
            then()

    def _poll_voter(self, host: Host, generation: int) -> None:
        if host.generation != generation or host.voter is None:
            return
        for name, _ in host.voter.due_requests(host.clock.at(self.now)):
            self._send(host, self.voters[name], lambda other=self.voters[name]: self._request_registers(host, other))
        self.after(STEP_US, lambda: self._poll_voter(host, generation))

    def _request_registers(self, asker: Host, source: Host) -> None:
        if source.voter is None:
            return
        owner = next((host.owner for host in self.couriers.values() if host.name[1:] == source.name[1:]), None)
        stood = source.voter.registers_for(asker.name, owner.known_place(asker.name) if owner else 0)
        generation = asker.generation

        def hear() -> None:
            if asker.generation == generation and asker.voter is not None:
                self._save(asker, asker.voter.on_registers(asker.clock.at(self.now), source.name, stood), lambda: None)

        self._send(source, asker, hear)

    def _poll_courier(self, host: Host, generation: int) -> None:
        if host.generation == generation:
            self._send_due(host)
            self.after(STEP_US, lambda: self._poll_courier(host, generation))

    def _send_due(self, host: Host) -> None:
        if host.owner is None or host.stopped_us > self.now:
            return
        now_us = host.clock.at(self.now)
        for voter, votes in host.owner.tick(now_us):
            self._ask(host, self.voters[voter], votes)
        self._check_events(host, host.owner.events(now_us))

    # --- messages ---

    def _send(self, sender: Host, receiver: Host, act: Callable[[], None]) -> None:
        if self.rng.random() < self.loss or frozenset((sender.name, receiver.name)) in self.cut:
            return
        generation = receiver.generation

        def arrive() -> None:
            if receiver.generation != generation:
                return
            if receiver.stopped_us > self.now:
                self.after(receiver.stopped_us - self.now, arrive)
            else:
                act()

        for _ in range(2 if self.rng.random() < self.loss else 1):
            late = self.rng.random() < 0.03
            near = 140_000 if receiver.name == self._lag else self.rng.expovariate(1 / 5_000)
            self.after(self.rng.uniform(100_000, 1_500_000) if late else near, arrive)

    def _ask(self, host: Host, voter: Host, votes: Votes) -> None:
        generation, done = host.generation, [False]

        def answer(voted: object) -> None:
            if not done[0] and host.generation == generation and host.owner is not None:
                done[0] = True
                self._check_events(host, host.owner.answered(host.clock.at(self.now), voter.name, votes, voted))
                self._send_due(host)

        def heard() -> None:
            if voter.voter is not None:
                voted, records = voter.voter.heard(voter.clock.at(self.now), host.name, votes)
                self._save(voter, records, lambda: self._send(voter, host, lambda: answer(voted)))

        self._send(host, voter, heard)

    # --- invariants ---

    def _check_events(self, host: Host, events: list[object]) -> None:
        for event in events:
            if isinstance(event, Gained):
                self.gained_count += 1
                if event.epoch <= self.last[event.part]:
                    raise Violation(f"epoch {event.epoch} of part {event.part} again or after a later one")
                self.last[event.part] = event.epoch
                self._check_owner(event.part, event.epoch, host.name)
            elif isinstance(event, Decided):
                self.decided_count += 1
                self._check_owner(event.part, event.epoch, event.owner)

    def _check_owner(self, part: int, epoch: int, owner: str) -> None:
        if self.epochs.setdefault((part, epoch), owner) != owner:
            raise Violation(f"epoch {epoch} of part {part} has {owner} and {self.epochs[part, epoch]}")

    def owners(self, part: int) -> list[str]:
        return [host.name for host in self.couriers.values() if host.owner is not None
                and host.owner.epoch(part, host.clock.at(self.now)) is not None]

    def check(self) -> None:
        for part in range(PARTS):
            if len(self.owners(part)) > 1:
                raise Violation(f"part {part} has {self.owners(part)} at {self.now}")

    def advance(self, span_us: int) -> None:
        end = self.now + span_us
        while self._events and self._events[0][0] <= end:
            self.now, _, act = heapq.heappop(self._events)
            act()
            self.check()
        self.now = end

    def _fault(self) -> None:
        """Inject a random fault or a random request of a courier."""
        rng = self.rng
        courier = rng.choice(list(self.couriers.values()))
        voter = rng.choice(list(self.voters.values()))
        kind = rng.choice(["give", "give", "back", "want", "release", "stop", "crash courier", "crash voter", "cut",
                           "heal"])
        owner, part, now_us = courier.owner, rng.randrange(PARTS), courier.clock.at(self.now)
        if owner is not None and courier.stopped_us <= self.now:
            if kind == "give" and owner.epoch(part, now_us) is not None:
                owner.give(now_us, part, rng.choice(list(self.couriers)))
            elif kind == "back" and owner.holding(part) is not None:
                owner.give(now_us, part, courier.name)
            elif kind == "want":
                owner.want(part)
            elif kind == "release":
                owner.release(part)
            elif kind == "stop":
                courier.stopped_us = self.now + rng.randrange(3 * LEASE_US)
        if kind == "crash courier" and courier.generation:
            courier.generation, courier.owner = 0, None
            self.after(rng.randrange(2 * LEASE_US), lambda: courier.generation or self.start_courier(courier))
        elif kind == "crash voter" and all(host.generation for host in self.voters.values()):
            self._crash(voter)
        elif kind == "cut":
            side = set(rng.sample([*self.voters, *self.couriers], rng.randrange(1, 4)))
            self.cut = {frozenset((one, other)) for one in side for other in [*self.voters, *self.couriers]
                        if other not in side}
        elif kind == "heal":
            self.cut = set()

    def _crash(self, host: Host) -> None:
        keep = None
        sound = not any(other.voter is None or other.voter.blank for other in self.voters.values())
        if self._forget == "all" and sound:
            keep = 0
        elif self._forget == "some" and sound and host.name == "v0":
            keep = max(len(host.disk) - self.rng.randrange(1, 6), min(len(host.disk), 2))
            self.cut = set()
        host.generation, host.voter = 0, None
        self.after(self.rng.randrange(LEASE_US), lambda: self.start_voter(host, keep))

    def run(self, spans: int = 40) -> Fleet:
        """Run with faults, then without; then every part must get an owner. Raises `Violation`."""
        self.advance(LEASE_US)
        for _ in range(spans):
            self._fault()
            self.advance(self.rng.randrange(LEASE_US // 2))
        self.cut, self.loss = set(), 0.0
        self.advance(4 * LEASE_US)
        for host in self.couriers.values():
            if host.owner is None:
                self.start_courier(host)
            for part in range(PARTS):
                host.owner.want(part)
        for _ in range(60):
            self.advance(LEASE_US // 2)
            if all(self.owners(part) for part in range(PARTS)):
                return self
        raise Violation("no progress: nobody owns " + str([part for part in range(PARTS) if not self.owners(part)]))
