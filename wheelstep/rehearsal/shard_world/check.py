"""The invariants, held against a run as it goes and at its end. Each fails a run by its name."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from wheelstep.journal import StoredMessage
from wheelstep.rehearsal.shard_world.process import Process
from wheelstep.rehearsal.shard_world.world import MS, S, World

TAKEN_ONCE = "taken at two couriers"
OWED = "neither owes"
ONE_HOP = "forwarded twice"
TOLD_IN_TIME = "sent to a drained endpoint"
IN_ORDER = "key out of order"
ONCE = "unsafe one took effect twice"
GUESTS = "guest forgotten"
AGREED = "homes differ"
REACHABLE = "destination not served"
KNOWN = "listed destination refused"
OWN_ROWS = "rows of others' shards kept"
ERROR = "error"

TOLD_US = 6 * S
SLACK_US = 3 * S // 2


class ViolationError(Exception):
    """An invariant does not hold; the text says which, when and for what."""

    def __init__(self, rule: str, text: str) -> None:
        super().__init__(text)
        self.rule = rule


@dataclass(slots=True)
class _Chain:
    """Messages of one key that heard 202 at one courier, in that order."""

    names: list[str] = field(default_factory=list)
    place: dict[str, int] = field(default_factory=dict)


@dataclass
class Check:
    """Hooks that the world's parts call at the moment in true time."""

    world: World
    late: Callable[[str, str], int] = lambda courier, endpoint: 0
    disks: Callable[[], dict[str, set[str]]] = dict  # what each courier's disk holds
    told: dict[str, tuple[str, StoredMessage]] = field(default_factory=dict)  # heard 202: at which door
    owner: dict[str, str] = field(default_factory=dict)  # who acts on it
    ends: dict[str, str] = field(default_factory=dict)
    handing: dict[str, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))  # ids at each one's door
    found: ViolationError | None = None
    lost: set[str] = field(default_factory=set)  # couriers that never come back
    _chains: dict[tuple[str, str, int], _Chain] = field(default_factory=dict)
    _chain_of: dict[str, _Chain] = field(default_factory=dict)
    _effects: dict[str, int] = field(default_factory=dict)
    _open: dict[str, list[Process]] = field(default_factory=lambda: defaultdict(list))  # calls that run, and whose

    def fail(self, rule: str, *about: object) -> None:
        """This run is over, also where the code under test catches the error."""
        text = " ".join(str(one) for one in about)
        error = ViolationError(rule, f"seed {self.world.seed} at {self.world.now_us / S:.6f} s: {rule}: {text}")
        self.found, self.world.over = self.found or error, True
        raise self.found

    # --- who has it ---

    def took(self, courier: str, message: StoredMessage) -> None:
        """Written down; it may still be withdrawn."""
        self.world.trace(courier, "took", message.id, message.key or "")
        self.world.count["took"] += 1

    def began(self, courier: str, message: StoredMessage, restored: bool = False) -> None:
        """This courier acts on it from now on."""
        self.world.trace(courier, "restored" if restored else "began", message.id)
        other = self.owner.setdefault(message.id, courier)
        if other != courier:
            self.fail(TAKEN_ONCE, f"{message.id} at {courier}, and {other} has begun it")

    def withdrawn(self, courier: str, message: StoredMessage) -> None:
        """Forgotten before it was begun."""
        self.world.trace(courier, "withdrew", message.id)
        if message.id in self.told and message.id not in self.ends and not self._kept(message.id):
            self.fail(OWED, f"{message.id}, answered 202 by {self.told[message.id][0]}, is withdrawn at {courier}")

    def _kept(self, name: str) -> bool:
        return any(name in held for held in self.disks().values())

    def answered(self, courier: str, boot: int, message: StoredMessage, status: int) -> None:
        """A door has said so."""
        self.world.trace(courier, "says", status, message.id)
        self.world.count[f"says {status}"] += 1
        if status == 400:  # all that clients name is on the list throughout
            self.fail(KNOWN, f"{message.destination} handed in as {message.id} at {courier}")
        if status != 202:
            return
        if message.id not in self.ends and not self._kept(message.id):
            self.fail(OWED, f"{message.id}, answered 202 by {courier}, is on no disk")
        self.told.setdefault(message.id, (courier, message))

    def heard(self, courier: str, boot: int, message: StoredMessage) -> None:
        """Its client has heard 202, and hands in the next of its key only then."""
        if message.key is not None and message.id not in self._chain_of:
            chain = self._chains.setdefault((message.key, courier, boot), _Chain())
            chain.place[message.id] = len(chain.names)
            chain.names.append(message.id)
            self._chain_of[message.id] = chain

    def ended(self, courier: str, message: StoredMessage, outcome: str) -> None:
        """Told, and forgotten there."""
        self.world.trace(courier, "ended", message.id, outcome)
        self.world.count[outcome] += 1
        self.ends[message.id] = outcome

    def dropped_owed(self, courier: str, message: StoredMessage) -> None:
        """A courier gives up a destination that it owes a message of."""
        self.fail(OWED, f"{courier} drops destination {message.destination}, and owes {message.id}")

    # --- the hop ---

    def asked(self, courier: str, to: str, name: str) -> None:
        """A courier passes a message on."""
        self.world.trace(courier, "asks", to, name)
        self.world.count["hops"] += 1
        if not self.handing[courier][name]:
            self.fail(ONE_HOP, f"{courier} asks {to} for {name}, and no client hands that in at {courier}")

    # --- partners ---

    def sent(self, process: Process, endpoint: str, message: StoredMessage) -> None:
        """The first byte of a call."""
        name, courier = message.id, process.name
        self.world.trace(courier, "calls", endpoint, name)
        self.world.count["calls"] += 1
        late_us = self.late(courier, endpoint)
        if late_us > TOLD_US + SLACK_US:
            self.fail(TOLD_IN_TIME, f"{courier} calls {endpoint} for {name} {late_us / S:.1f} s after a control "
                                    "machine that it could reach knew that it is off")
        chain = self._chain_of.get(name)
        if chain is not None:
            place = chain.place[name]
            for at, other in enumerate(chain.names):
                if at != place and any(one.alive for one in self._open[other]):
                    self.fail(IN_ORDER, f"{courier} calls for {name} while a call for {other} is out")
                if at < place and other not in self.ends and not self._effects.get(other) and not self._expired(other):
                    self.fail(IN_ORDER, f"{courier} calls for {name} before {other}, which was handed in before")
                if at > place and self._effects.get(other):
                    self.fail(IN_ORDER, f"{courier} calls for {name} after {other}, which was handed in later")
        self._open[name].append(process)

    def _expired(self, name: str) -> bool:
        """Is its time up? It is not called for any more, though a courier that is down may still hold it."""
        return self.world.wall_us() >= self.told[name][1].deadline_ms * MS

    def effect(self, message: StoredMessage) -> None:
        """It takes effect at its destination."""
        self.world.trace("", "effect", message.id)
        self._effects[message.id] = self._effects.get(message.id, 0) + 1
        if message.message_class == "unsafe" and self._effects[message.id] > 1:
            self.fail(ONCE, f"{message.id} takes effect at destination {message.destination} again")

    def call_over(self, process: Process, message: StoredMessage) -> None:
        """A call of it runs no more."""
        self._open[message.id].remove(process)

    # --- the end ---

    def final(self) -> None:
        """After the quiet time."""
        disks = self.disks()
        for name, (courier, _) in self.told.items():
            if name not in self.ends and not any(name in disks[one] for one in self.lost):
                where = [one for one, held in disks.items() if name in held]
                self.fail(OWED, f"{name}, answered 202 by {courier}, has no end; held by {where or 'nobody'}")
