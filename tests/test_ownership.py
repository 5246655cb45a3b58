"""Shares are divided evenly and with few moves, and have at most one owner, whichever workers die, hang or return."""

from __future__ import annotations

from collections.abc import Sequence

from hypothesis import given, settings
from hypothesis import strategies as st

from wheelstep.workers import ownership
from wheelstep.workers.ownership import SupervisionLimits, WorkerPool, WorkerState, assign, share_of


def test_share_of_a_destination_does_not_change() -> None:
    """Guards against a changed mapping, which would look for stored messages in the wrong journal."""
    assert [share_of(number, 8) for number in (0, 1, 2, 7, 1000, 12345678901)] == [5, 6, 4, 2, 2, 6]


def test_shares_get_similar_numbers_of_destinations() -> None:
    counts = [0] * 8
    for number in range(8_000):
        counts[share_of(number, 8)] += 1
    assert max(counts) < 1.15 * min(counts)


@given(st.integers(1, 40), st.lists(st.integers(0, 9), unique=True, min_size=1),
       st.lists(st.integers(0, 9), unique=True, min_size=1))
def test_assignment_is_even_with_the_fewest_moves(shares: int, before: list[int], now: list[int]) -> None:
    old = assign(range(shares), before, {})
    new = assign(range(shares), now, old)
    sizes = [sum(owner == worker for owner in new.values()) for worker in now]
    assert set(new) == set(range(shares)) and max(sizes) - min(sizes) <= 1
    must = sum(old[share] not in now for share in range(shares))
    most = -(-shares // len(now))
    over = sum(max(0, sum(owner == worker for owner in old.values()) - shares // len(now)) for worker in now)
    assert sum(old[share] != new[share] for share in range(shares)) <= must + over
    assert max(sizes) <= most
    assert assign(range(shares), now, new) == new


class PoolModel:
    """Model of the worker processes that the pool's actions make; fails if two workers open a share."""

    def __init__(self, workers: int, shares: int, limits: SupervisionLimits) -> None:
        self.pool = WorkerPool(workers, shares, limits)
        self.alive: dict[int, set[int]] = {}
        self.warnings: list[str] = []
        self.now = 0.0

    def do(self, actions: Sequence[ownership.Action]) -> None:
        """Perform the pool's actions."""
        for action in actions:
            match action:
                case ownership.Start(worker):
                    assert worker not in self.alive
                    self.alive[worker] = set()
                    self.open(worker, self.pool.shares_of(worker))
                case ownership.Open(worker, shares):
                    self.open(worker, shares)
                case ownership.Kill(worker) if worker in self.alive:
                    self.die(worker)
                case ownership.Warn(text):
                    self.warnings.append(text)

    def open(self, worker: int, shares: tuple[int, ...]) -> None:
        """Open shares in a worker; fails if another has one of them open or it is set aside."""
        for share in shares:
            assert not any(share in opened for other, opened in self.alive.items() if other != worker), "two owners"
            assert share not in self.pool.quarantined
            if worker in self.alive:
                self.alive[worker].add(share)

    def ready(self, worker: int) -> None:
        """Send a heartbeat and report the worker's shares as open."""
        self.pool.heartbeat(worker)
        for share in sorted(self.alive[worker]):
            self.do(self.pool.opened(worker, share))

    def die(self, worker: int) -> None:
        """End a worker's process."""
        del self.alive[worker]
        self.do(self.pool.died(worker, self.now))

    def tick(self, by_s: float = 0.1) -> None:
        """Advance the clock and tick the pool."""
        self.now += by_s
        self.do(self.pool.tick(self.now))


@settings(max_examples=300)
@given(st.data())
def test_share_never_has_two_owners_and_finally_has_one(data: st.DataObject) -> None:
    workers, shares = data.draw(st.integers(1, 5)), data.draw(st.integers(5, 12))
    model = PoolModel(workers, shares, SupervisionLimits(crashes=3))
    model.tick()
    for _ in range(data.draw(st.integers(0, 60))):
        what = data.draw(st.sampled_from(["tick", "tick", "die", "ready", "reload", "long"]))
        if what == "tick":
            model.tick()
        elif what == "long":
            for _ in range(40):
                model.tick()
        elif what == "reload":
            model.do(model.pool.reload(model.now))
        elif model.alive:
            worker = data.draw(st.sampled_from(sorted(model.alive)))
            model.die(worker) if what == "die" else model.ready(worker)
    if model.pool.all_parked():
        return
    for _ in range(5):  # without further events, every share opens that is not set aside
        for _ in range(20):
            model.tick()
            for worker in sorted(model.alive):
                model.ready(worker)
    opened = [share for mine in model.alive.values() for share in mine]
    assert sorted(opened) == sorted(set(range(shares)) - model.pool.quarantined) and model.pool.all_open()


def running_pool(workers: int = 3, shares: int = 6, limits: SupervisionLimits | None = None) -> PoolModel:
    """Return a pool whose workers are up with all their shares open."""
    model = PoolModel(workers, shares, limits or SupervisionLimits())
    model.tick()
    for worker in range(workers):
        model.ready(worker)
    return model


def test_hung_worker_is_killed_and_the_others_keep_their_shares() -> None:
    model = running_pool()
    for _ in range(40):
        model.tick()
        model.pool.heartbeat(0)
        model.pool.heartbeat(2)
    assert any("worker 1 was silent" in text for text in model.warnings)
    assert not any("worker 0" in text or "worker 2" in text for text in model.warnings)
    assert model.alive[1] == {2, 3}


def test_supervisor_that_was_stalled_kills_no_worker() -> None:
    model = running_pool()
    model.tick(30.0)
    assert model.warnings == [] and set(model.alive) == {0, 1, 2}


def test_worker_that_keeps_crashing_is_parked_and_its_shares_are_reassigned() -> None:
    model = running_pool()
    for _ in range(3):
        model.die(1)
        for _ in range(10):
            model.tick()
            for worker in model.alive:
                model.ready(worker)
    assert model.pool.workers[1].state is WorkerState.PARKED
    assert sorted(share for mine in model.alive.values() for share in mine) == list(range(6))
    assert sorted(map(len, model.alive.values())) == [3, 3]


def test_crashes_far_apart_park_no_worker() -> None:
    model = running_pool(limits=SupervisionLimits(crash_window_s=1.0))
    for _ in range(10):
        model.die(1)
        for _ in range(20):
            model.tick()
            for worker in model.alive:
                model.ready(worker)
    assert model.pool.workers[1].state is WorkerState.UP


def test_share_that_crashes_its_owners_is_set_aside() -> None:
    """Guards against a message that crashes each worker that opens its share, one after another."""
    model = running_pool(4, 8)
    poison = 3
    for _ in range(200):
        model.tick()
        for worker in list(model.alive):
            model.ready(worker)
            if poison in model.alive[worker]:
                model.die(worker)
    assert model.pool.quarantined == {poison}
    assert sum(worker.state is WorkerState.PARKED for worker in model.pool.workers.values()) == 2
    assert sorted(share for mine in model.alive.values() for share in mine) == [0, 1, 2, 4, 5, 6, 7]
    model.do(model.pool.reload(model.now))
    assert not model.pool.quarantined and poison in model.pool.owners
