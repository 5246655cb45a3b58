"""Decides which worker owns which share, and how to react to workers that die, hang or keep crashing. No I/O: events
and clock readings go in, actions come out.

A destination always belongs to the same share (so that its limits, pacers, waits, drains and the order of its keys are
kept in one place), and a share to one worker at a time. A share is given to another worker only once the process that
had it is known to have ended.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum

from wheelstep.dividing import part_of

share_of = part_of  # (destination, number of shares) -> share


def assign(shares: Iterable[int], workers: Sequence[int], before: Mapping[int, int]) -> dict[int, int]:
    """Assign shares to workers: evenly (numbers differ by one at most), with the fewest moves from `before`, the former
    worker of each share. Returns the worker of each share; empty without workers."""
    ordered_shares = sorted(shares)
    if not workers:
        return {}
    least, extra = divmod(len(ordered_shares), len(workers))
    kept: dict[int, list[int]] = {worker: [] for worker in workers}
    unassigned = []
    for share in ordered_shares:
        if before.get(share) in kept:
            kept[before[share]].append(share)
        else:
            unassigned.append(share)
    # The remainder goes to the workers that had the most shares, which saves moves.
    order = sorted(workers, key=lambda worker: (-len(kept[worker]), worker))
    room = {worker: least + (place < extra) for place, worker in enumerate(order)}
    for worker in order:
        unassigned += kept[worker][room[worker]:]
        del kept[worker][room[worker]:]
    unassigned.sort()
    for worker in sorted(workers):
        while len(kept[worker]) < room[worker]:
            kept[worker].append(unassigned.pop(0))
    return {share: worker for worker, owned in kept.items() for share in owned}


@dataclass(frozen=True, slots=True)
class SupervisionLimits:
    """When a worker counts as hung, or as one that keeps crashing."""

    hang_s: float = 3.0  # without a heartbeat
    start_s: float = 30.0  # without the first heartbeat after its start
    crashes: int = 3  # within `crash_window_s`; then the worker is parked
    crash_window_s: float = 30.0
    restart_delay_s: float = 0.1  # doubled by each further crash within `crash_window_s`
    quarantine_at: int = 2  # number of parked workers that owned a share, at which it is set aside


class WorkerState(Enum):
    """State of a worker."""

    DOWN = "down"  # starts at `WorkerRecord.due_s`
    STARTING = "starting"
    UP = "up"
    PARKED = "parked"  # not started again before the next reload


@dataclass(frozen=True, slots=True)
class Start:
    """Start the worker's process, which then opens the shares that it owns."""

    worker: int


@dataclass(frozen=True, slots=True)
class Open:
    """Make a running worker open these further shares."""

    worker: int
    shares: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Kill:
    """Kill the worker's process."""

    worker: int


@dataclass(frozen=True, slots=True)
class Warn:
    """Log a warning for operators."""

    text: str


@dataclass(frozen=True, slots=True)
class Publish:
    """Tell all workers which shares are open where, as that has changed."""


Action = Start | Open | Kill | Warn | Publish


@dataclass(slots=True)
class WorkerRecord:
    """Known state of one worker."""

    state: WorkerState = WorkerState.DOWN
    due_s: float = 0.0  # clock time of the next start, while DOWN
    silent_s: float = 0.0  # since its last frame, or its start
    killed: bool = False  # for its silence; the end of its process is not known yet
    crashes: deque[float] = field(default_factory=deque)  # clock times within the crash window


class WorkerPool:
    """All workers of one courier and the shares that each owns. Times are in seconds of the caller's clock."""

    def __init__(self, workers: int, shares: int, limits: SupervisionLimits) -> None:
        self._limits = limits
        self.workers = {number: WorkerRecord() for number in range(workers)}
        self.owners = assign(range(shares), range(workers), {})
        self.opened_by: dict[int, int] = {}  # share -> the worker that has opened it
        self.quarantined: set[int] = set()  # shares that no worker may open, as they seem to crash workers
        self._parked_owners: dict[int, set[int]] = {}  # share -> workers that were parked while they owned it
        self._all_shares = range(shares)
        self._last_tick_s: float | None = None
        self.stopping = False

    def shares_of(self, worker: int) -> tuple[int, ...]:
        """Return the shares that a worker owns, open or not."""
        return tuple(sorted(share for share, owner in self.owners.items() if owner == worker))

    def all_open(self) -> bool:
        """Return whether all shares are open, except those that are set aside."""
        return all(share in self.opened_by for share in self._all_shares if share not in self.quarantined)

    def running(self) -> list[int]:
        """Return the workers whose processes run, or are being started."""
        return [number for number, worker in self.workers.items()
                if worker.state in (WorkerState.STARTING, WorkerState.UP)]

    def all_parked(self) -> bool:
        """Return whether all workers are parked, so that none is left."""
        return all(worker.state is WorkerState.PARKED for worker in self.workers.values())

    def tick(self, now_s: float) -> list[Action]:
        """Start workers that are due and kill those that hang. Called several times a second."""
        # At most 0.5 s a tick, so that a supervisor that was stalled itself kills no worker for it.
        passed_s = 0.0 if self._last_tick_s is None else min(now_s - self._last_tick_s, 0.5)
        self._last_tick_s = now_s
        if self.stopping:
            return []
        actions: list[Action] = []
        for number, worker in self.workers.items():
            if worker.state is WorkerState.DOWN and worker.due_s <= now_s:
                worker.state, worker.silent_s, worker.killed = WorkerState.STARTING, 0.0, False
                actions.append(Start(number))
            elif worker.state in (WorkerState.STARTING, WorkerState.UP) and not worker.killed:
                worker.silent_s += passed_s
                limit_s = self._limits.hang_s if worker.state is WorkerState.UP else self._limits.start_s
                if worker.silent_s > limit_s:
                    worker.killed = True
                    actions += [Warn(f"worker {number} was silent for {worker.silent_s:.1f} s: killed"), Kill(number)]
        return actions

    def heartbeat(self, number: int) -> None:
        """Note a frame of a worker, which counts as a heartbeat."""
        worker = self.workers[number]
        worker.silent_s = 0.0
        if worker.state is WorkerState.STARTING:
            worker.state = WorkerState.UP

    def opened(self, number: int, share: int) -> list[Action]:
        """Note that a worker has opened a share. One that it does not own gets the worker killed."""
        if self.owners.get(share) != number:
            return [Warn(f"worker {number} opened share {share}, which it does not own: killed"), Kill(number)]
        self.opened_by[share] = number
        return [Publish()]

    def died(self, number: int, now_s: float) -> list[Action]:
        """Note that a worker's process has ended, so that its shares are open no more. The worker is restarted, or
        parked if it keeps crashing."""
        worker = self.workers[number]
        for share in [share for share, host in self.opened_by.items() if host == number]:
            del self.opened_by[share]
        if self.stopping:
            worker.state = WorkerState.PARKED
            return []
        worker.crashes.append(now_s)
        while worker.crashes[0] < now_s - self._limits.crash_window_s:
            worker.crashes.popleft()
        count = len(worker.crashes)
        if count < self._limits.crashes:
            worker.state = WorkerState.DOWN
            worker.due_s = now_s + self._limits.restart_delay_s * 2 ** (count - 1)
            return [Warn(f"worker {number} ended; started again, {count} of {self._limits.crashes} times within "
                         f"{self._limits.crash_window_s:g} s"), Publish()]
        return self._park(number)

    def _park(self, number: int) -> list[Action]:
        """Give the worker's shares to others, and set aside shares that seem to crash every worker that owns them."""
        self.workers[number].state = WorkerState.PARKED
        owned = self.shares_of(number)
        actions: list[Action] = [Warn(f"worker {number} keeps crashing: parked; its shares {list(owned)} go to others")]
        for share in owned:
            del self.owners[share]
            self._parked_owners.setdefault(share, set()).add(number)
            if len(self._parked_owners[share]) >= self._limits.quarantine_at:
                self.quarantined.add(share)
                actions.append(Warn(f"share {share} was owned by {len(self._parked_owners[share])} workers that kept "
                                    "crashing: set aside until the next reload; its messages stay in its folder"))
        return [*actions, *self._assign_free_shares()]

    def _assign_free_shares(self) -> list[Action]:
        """Give shares without an owner to the workers that own the fewest."""
        live = [number for number, worker in self.workers.items() if worker.state is not WorkerState.PARKED]
        given: dict[int, list[int]] = {}
        for share in self._all_shares:
            if share not in self.owners and share not in self.quarantined and live:
                owner = min(live, key=lambda number: (len(self.shares_of(number)), number))
                self.owners[share] = owner
                given.setdefault(owner, []).append(share)
        actions: list[Action] = [Open(owner, tuple(owned)) for owner, owned in given.items()
                                 if owner in self.running()]
        return [*actions, Publish()]

    def reload(self, now_s: float) -> list[Action]:
        """Start parked workers again and assign the shares that were set aside, as the operator has removed the cause
        of the crashes. The restarted workers own no shares until some need a new owner."""
        for worker in self.workers.values():
            if worker.state is WorkerState.PARKED:
                worker.state, worker.due_s = WorkerState.DOWN, now_s
                worker.crashes.clear()
        self.quarantined.clear()
        self._parked_owners.clear()
        return self._assign_free_shares()

    def stop(self) -> None:
        """Start no worker from now on, count no end as a crash, and give the shares of ended workers to no other."""
        self.stopping = True
