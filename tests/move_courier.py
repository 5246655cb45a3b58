"""A courier of `tests/move_world.py`: a minimal node that handles a giver's acts, a taker's records and register news.
The real node must keep the same order of actions."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from wheelstep.fleet.types import Ownership
from wheelstep.moves.giver import Giver
from wheelstep.moves.steps import Commit, Ended, SendRequest, TakeBack, TakerLimits
from wheelstep.moves.types import Given, Move, Moved, Piece

if TYPE_CHECKING:
    from move_world import World

MS = 1_000
LEASE_US, READ_US, SYNC_US, CALL_TIMEOUT_US, PART = 700 * MS, 150 * MS, MS, 60 * MS, 3


class Store:
    """A `Content` of one strict channel. `disk` survives a crash: "m:N" is b"w" (waiting) or b"o" (a call is or was
    under way), "c:p" the channel's next number."""

    version = 1

    def __init__(self, courier: Courier, disk: dict[str, bytes]) -> None:
        self.courier, self.disk = courier, disk
        self.changes: set[str] = set()
        self.out: set[int] = set()
        self.epoch, self.is_open = 0, False

    def put(self, name: str, data: bytes) -> None:
        self.changes.add(name)
        if data:
            self.disk[name] = data
        else:
            self.disk.pop(name, None)

    def pieces(self, part: int) -> list[Piece]:
        self.changes.clear()
        return [Piece(name, data) for name, data in self.disk.items()]

    def changed(self, part: int) -> list[Piece]:
        changes, self.changes = sorted(self.changes), set()
        return [Piece(name, self.disk.get(name, b"")) for name in changes]

    def under_way(self, part: int) -> int:
        return len(self.out)

    def shut(self, part: int) -> None:
        self.is_open = False

    def open(self, part: int, epoch: int) -> None:
        self.courier.world.opened(self.courier, epoch)
        self.courier.opened = epoch
        self.epoch, self.is_open = epoch, True
        for name in [name for name, data in self.disk.items() if data == b"o" and int(name[2:]) not in self.out]:
            self.put(name, b"")
            self.courier.world.ended_unclear(int(name[2:]))
        self.courier.call()

    def adopt(self, part: int, epoch: int, pieces: Iterable[Piece]) -> None:
        self.disk.clear()
        self.disk.update({piece.name: piece.data for piece in pieces})

    def drop(self, part: int) -> None:
        self.disk.clear()


class Courier:
    """A simulated courier. `log`, `disk` and the newest epoch `opened` survive a crash, all other state does not."""

    def __init__(self, world: World, name: str) -> None:
        self.world, self.name, self.life, self.alive = world, name, 0, True
        self.log: list[bytes] = []
        self.disk: dict[str, bytes] = {}
        self.opened = 0
        self.begin()

    def begin(self) -> None:
        self.taker = self.world.taker_class(self.name, 1, TakerLimits(), list(self.log))
        self.store = Store(self, self.disk)
        self.giver: Giver | None = None
        self.known: Ownership | None = None
        self.lease_us = 0
        self.want = 0  # the epoch requested since the last start
        self.adopting = False
        self.wakes = 0
        self.later(0, self.read)

    def later(self, delay_us: int, do: Callable[[], object]) -> None:
        life = self.life
        self.world.at(delay_us, lambda: do() if self.alive and self.life == life else None)

    def crash(self) -> None:
        if self.alive:
            self.alive, self.life = False, self.life + 1
            self.world.at(self.world.down_us, self.restart)

    def restart(self) -> None:
        self.alive = True
        self.begin()

    # --- serving ---

    def serves(self) -> bool:
        return (self.alive and self.store.is_open and self.world.now_us < self.lease_us
                and self.known == Ownership(self.store.epoch, self.name))

    def submit(self) -> None:
        self.world.check_sole_owner(self)
        number = int(self.disk.get("c:p", b"1"))
        self.store.put(f"m:{number}", b"w")
        self.store.put("c:p", b"%d" % (number + 1))
        self.world.owed.add(number)
        self.world.next = number + 1
        self.call()

    def call(self) -> None:
        waiting = [int(name[2:]) for name, data in self.disk.items() if data == b"w" and name[0] == "m"]
        if self.store.out or not waiting or not self.serves():
            return
        self.world.check_sole_owner(self)
        number = min(waiting)
        self.world.attempts.append(number)
        self.store.out.add(number)
        self.store.put(f"m:{number}", b"o")
        self.later(self.world.call_us if number < 4 else 6 * MS, lambda: self.call_ended(number))

    def call_ended(self, number: int) -> None:
        self.store.out.discard(number)
        if f"m:{number}" in self.disk:
            self.store.put(f"m:{number}", b"")
            self.world.owed.discard(number)
        self.call()

    # --- the register ---

    def read(self) -> None:
        """Every `READ_US`: read the register's holding, which also renews this courier's lease."""
        self.ask(0, "")
        now_us = self.world.now_us
        if self.giver is not None and not self.giver.over and now_us >= self.lease_us:
            self.giver.lease_lost(now_us)
            self.run_giver()
        self.later(READ_US, self.read)

    def ask(self, epoch: int, owner: str) -> None:
        """Request the epoch after `epoch` for `owner`; epoch 0 only reads the holding."""
        now_us = self.world.now_us
        if owner == self.name:
            self.want = epoch + 1
        self.world.register(self, epoch, owner, lambda held: self.receive_holding(held, now_us, epoch == 0))

    def receive_holding(self, held: Ownership, asked_us: int, read: bool) -> None:
        """Handle a holding. Only a read leads to a new request, so that a refused one is not repeated at once."""
        if self.known is not None and held.epoch < self.known.epoch:
            return
        self.known = held
        if held.owner == self.name:
            self.lease_us = max(self.lease_us, asked_us + LEASE_US * 9 // 10)
        records = self.taker.observe_holding(PART, held.epoch, held.owner)
        self.later(SYNC_US if records else 0, lambda: self.apply_holding(held, records, read))

    def apply_holding(self, held: Ownership, records: list[bytes], read: bool) -> None:
        self.log += records
        sealed = self.taker.sealed_epoch(PART)
        if self.giver is not None and not self.giver.over:
            self.run_giver(self.giver.observe_holding(self.world.now_us, held.epoch, held.owner))
        elif self.adopting or self.known != held:
            return
        elif held.owner != self.name:
            if sealed == held.epoch and read:
                self.ask(held.epoch, self.name)  # granted only once the giver's lease has run out
            elif self.disk and read:
                stands = held.epoch if held.epoch > self.opened + 1 else 0
                self.send_request(Given(PART, self.opened + 1, stands),
                                  lambda moved: self.disk.clear() if moved and moved.ok else None)
        elif not (self.store.is_open and self.store.epoch == held.epoch):
            if sealed is not None:
                self.adopting = True
                self.store.adopt(PART, held.epoch, self.taker.pieces(PART))
                self.later(SYNC_US, lambda: self.adopted(held))
            elif self.want == held.epoch:
                self.store.open(PART, held.epoch)
            elif read:
                self.ask(held.epoch, self.name)  # a restarted courier needs newer epochs for its parts

    def adopted(self, held: Ownership) -> None:
        records = self.taker.adopted(PART, held.epoch)
        self.later(SYNC_US, lambda: self.saved(held, records))

    def saved(self, held: Ownership, records: list[bytes]) -> None:
        self.log += records
        self.adopting = False
        if self.known == held:
            self.store.open(PART, held.epoch)

    # --- the move ---

    def give(self, to: str) -> None:
        self.giver = self.world.giver_class(PART, self.store.epoch, to, self.store, self.world.limits,
                                            self.world.now_us, self.name)
        self.run_giver()

    def run_giver(self, acts: list | None = None) -> None:
        giver = self.giver
        for act in giver.tick(self.world.now_us) if acts is None else acts:
            self.later(0, lambda act=act: self.perform(giver, act))
        self.wakes += 1
        wake = self.wakes
        if not giver.over:
            self.later(max(0, giver.next_us() - self.world.now_us),
                       lambda: self.run_giver() if wake == self.wakes else None)

    def perform(self, giver: Giver, act: object) -> None:
        if isinstance(act, SendRequest):
            self.send_request(act.request, lambda moved: self.run_giver(
                giver.handle_answer(self.world.now_us, act.request, moved)))
        elif isinstance(act, Commit):
            self.ask(giver.epoch, act.to)
        elif isinstance(act, TakeBack):
            self.ask(giver.epoch, self.name)
        elif isinstance(act, Ended):
            self.world.ended.append(act)

    def send_request(self, request: Move, on_answer: Callable[[Moved | None], object]) -> None:
        """Send a request; `on_answer` gets its answer, or None after a timeout."""
        waits = [on_answer]
        other = self.world.couriers["t" if self.name == "g" else "g"]
        life = self.life

        def once(moved: Moved | None) -> None:
            if waits and self.life == life:
                waits.pop()(moved)
        self.later(CALL_TIMEOUT_US, lambda: once(None))
        self.world.send(request, other, lambda: other.receive_request(
            self.name, request, lambda moved: self.world.send(moved, self, lambda: once(moved))))

    def receive_request(self, sender: str, request: Move, answer: Callable[[Moved], None]) -> None:
        moved, records = self.taker.handle_request(self.world.now_us, sender, request, self.known)

        def saved() -> None:
            self.log.extend(records)
            answer(moved)
            if isinstance(request, Given) and moved.ok:
                self.ask(0, "")
        self.later(SYNC_US if records else 0, saved)
