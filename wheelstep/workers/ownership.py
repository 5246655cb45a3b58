"""Who owns what, and what is done about workers that die, hang or keep crashing. No I/O: events and a clock go in,
actions come out.

A destination belongs to a share for good (so that limits, pacers, waits, drains and the order of its keys are seen
whole), and a share to one worker at a time. A share goes to another worker only once the process that had it is
known to have ended.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum

from wheelstep.dividing import part_of

share_of = part_of  # (destination, shares)


def assign(shares: Iterable[int], workers: Sequence[int], before: Mapping[int, int]) -> dict[int, int]:
    """Share to worker: as even as can be (they differ by one at most), with the least moves from `before`. Nothing
    where there are no workers."""
    wanted = sorted(shares)
    if not workers:
        return {}
    least, extra = divmod(len(wanted), len(workers))
    kept: dict[int, list[int]] = {worker: [] for worker in workers}
    loose = []
    for share in wanted:
        if before.get(share) in kept:
            kept[before[share]].append(share)
        else:
            loose.append(share)
    # Those that had most may keep one more than the others.
    order = sorted(workers, key=lambda worker: (-len(kept[worker]), worker))
    room = {worker: least + (place < extra) for place, worker in enumerate(order)}
    for worker in order:
        loose += kept[worker][room[worker]:]
        del kept[worker][room[worker]:]
    loose.sort()
    for worker in sorted(workers):
        while len(kept[worker]) < room[worker]:
            kept[worker].append(loose.pop(0))
    return {share: worker for worker, mine in kept.items() for share in mine}


@dataclass(frozen=True, slots=True)
class Limits:
    """When a worker counts as hung or as one that keeps crashing; seconds."""

    hang_s: float = 3.0  # no heartbeat for so long
    start_s: float = 30.0  # the same until the first one
    crashes: int = 3  # so many within `within_s`, and it is parked
    within_s: float = 30.0
    again_s: float = 0.1  # before a restart, doubled with each further crash within `within_s`
    suspect_at: int = 2  # a share that was there when so many workers were parked is set aside


class State(Enum):
    """Of a worker."""

    DOWN = "down"  # to be started at `Worker.due_s`
    STARTING = "starting"
    UP = "up"
    PARKED = "parked"


@dataclass(frozen=True, slots=True)
class Start:
    """Start the worker's process; it is to open what it owns once it is there."""

    worker: int


@dataclass(frozen=True, slots=True)
class Open:
    """A running worker is to open these shares as well."""

    worker: int
    shares: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Kill:
    """End the worker's process at once."""

    worker: int


@dataclass(frozen=True, slots=True)
class Tell:
    """An operator wants to know."""

    text: str


@dataclass(frozen=True, slots=True)
class Publish:
    """Who owns what has changed: tell all workers."""


Action = Start | Open | Kill | Tell | Publish


@dataclass(slots=True)
class Worker:
    """What is known of one worker."""

    state: State = State.DOWN
    due_s: float = 0.0
    silent_s: float = 0.0
    killed: bool = False
    crashes: deque[float] = field(default_factory=deque)


class Fleet:
    """All workers of one courier, and which shares each one owns."""

    def __init__(self, workers: int, shares: int, limits: Limits) -> None:
        self._limits = limits
        self.workers = {number: Worker() for number in range(workers)}
        self.owners = assign(range(shares), range(workers), {})
        self.hosted: dict[int, int] = {}  # of these, the ones whose worker has opened them
        self.aside: set[int] = set()  # shares that nobody may open: they seem to make workers crash
        self._blame: dict[int, set[int]] = {}  # share -> workers that were parked while they had it
        self._all = range(shares)
        self._ticked_s: float | None = None
        self.stopping = False

    def shares_of(self, worker: int) -> tuple[int, ...]:
        """What it owns."""
        return tuple(sorted(share for share, owner in self.owners.items() if owner == worker))

    def complete(self) -> bool:
        """Is every share that may be open open?"""
        return all(share in self.hosted for share in self._all if share not in self.aside)

    def lost(self) -> bool:
        """Is no worker left?"""
        return all(worker.state is State.PARKED for worker in self.workers.values())

    def tick(self, now_s: float) -> list[Action]:
        """To be called several times a second."""
        # A supervisor that was late itself blames nobody for that: its own lateness counts for 0.5 s at most.
        passed_s = 0.0 if self._ticked_s is None else min(now_s - self._ticked_s, 0.5)
        self._ticked_s = now_s
        if self.stopping:
            return []
        actions: list[Action] = []
        for number, worker in self.workers.items():
            if worker.state is State.DOWN and worker.due_s <= now_s:
                worker.state, worker.silent_s, worker.killed = State.STARTING, 0.0, False
                actions.append(Start(number))
            elif worker.state in (State.STARTING, State.UP) and not worker.killed:
                worker.silent_s += passed_s
                most_s = self._limits.hang_s if worker.state is State.UP else self._limits.start_s
                if worker.silent_s > most_s:
                    worker.killed = True
                    actions += [Tell(f"worker {number} was silent for {worker.silent_s:.1f} s: killed"), Kill(number)]
        return actions

    def heard(self, number: int) -> None:
        """A heartbeat."""
        worker = self.workers[number]
        worker.silent_s = 0.0
        if worker.state is State.STARTING:
            worker.state = State.UP

    def opened(self, number: int, share: int) -> list[Action]:
        """It has opened a share."""
        if self.owners.get(share) != number:
            return [Tell(f"worker {number} opened share {share}, which is not its own: killed"), Kill(number)]
        self.hosted[share] = number
        return [Publish()]

    def died(self, number: int, now_s: float) -> list[Action]:
        """Its process has ended: whatever it had is free."""
        worker = self.workers[number]
        for share in [share for share, host in self.hosted.items() if host == number]:
            del self.hosted[share]
        if self.stopping:
            worker.state = State.PARKED
            return []
        worker.crashes.append(now_s)
        while worker.crashes[0] < now_s - self._limits.within_s:
            worker.crashes.popleft()
        count = len(worker.crashes)
        if count < self._limits.crashes:
            worker.state = State.DOWN
            worker.due_s = now_s + self._limits.again_s * 2 ** (count - 1)
            return [Tell(f"worker {number} ended; started again, {count} of {self._limits.crashes} times within "
                         f"{self._limits.within_s:g} s"), Publish()]
        return self._park(number)

    def _park(self, number: int) -> list[Action]:
        """It keeps crashing: the others take over what it owns, but for shares that crash whoever has them."""
        self.workers[number].state = State.PARKED
        mine = self.shares_of(number)
        actions: list[Action] = [Tell(f"worker {number} keeps crashing: parked; its shares {list(mine)} go to others")]
        for share in mine:
            del self.owners[share]
            self._blame.setdefault(share, set()).add(number)
            if len(self._blame[share]) >= self._limits.suspect_at:
                self.aside.add(share)
                actions.append(Tell(f"share {share} was with {len(self._blame[share])} workers that kept crashing: "
                                    "set aside until the next reload; what it owes stays in its folder"))
        return [*actions, *self._spread()]

    def _spread(self) -> list[Action]:
        """Give shares without an owner to the workers that have least."""
        live = [number for number, worker in self.workers.items() if worker.state is not State.PARKED]
        given: dict[int, list[int]] = {}
        for share in self._all:
            if share not in self.owners and share not in self.aside and live:
                owner = min(live, key=lambda number: (len(self.shares_of(number)), number))
                self.owners[share] = owner
                given.setdefault(owner, []).append(share)
        actions: list[Action] = [Open(owner, tuple(mine)) for owner, mine in given.items()
                                 if self.workers[owner].state in (State.STARTING, State.UP)]
        return [*actions, Publish()]

    def reload(self, now_s: float) -> list[Action]:
        """The operator says that what made workers crash is mended: parked ones start again (without shares, until one
        needs a new owner), and what was set aside is given out."""
        for worker in self.workers.values():
            if worker.state is State.PARKED:
                worker.state, worker.due_s = State.DOWN, now_s
                worker.crashes.clear()
        self.aside.clear()
        self._blame.clear()
        return self._spread()

    def stop(self) -> None:
        """From now on ends are no crashes, and nothing is started or given out."""
        self.stopping = True
