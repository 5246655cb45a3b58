"""Who owns a share: even and stable, never two at a time, whatever dies, hangs or comes back."""

from __future__ import annotations

from collections.abc import Sequence

from hypothesis import given, settings
from hypothesis import strategies as st

from wheelstep.workers import ownership
from wheelstep.workers.ownership import Fleet, Limits, State, assign, share_of


def test_a_destination_keeps_its_share_for_good() -> None:
    """These stand in folders: another mapping would look for messages in the wrong journal."""
    assert [share_of(number, 8) for number in (0, 1, 2, 7, 1000, 12345678901)] == [5, 6, 4, 2, 2, 6]


def test_shares_get_about_as_many_destinations() -> None:
    counts = [0] * 8
    for number in range(8_000):
        counts[share_of(number, 8)] += 1
    assert max(counts) < 1.15 * min(counts)


@given(st.integers(1, 40), st.lists(st.integers(0, 9), unique=True, min_size=1),
       st.lists(st.integers(0, 9), unique=True, min_size=1))
def test_assignment_is_even_and_moves_the_least(shares: int, before: list[int], now: list[int]) -> None:
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


class World:
    """Processes as the fleet's actions make them; fails where a share is open twice."""

    def __init__(self, workers: int, shares: int, limits: Limits) -> None:
        self.fleet = Fleet(workers, shares, limits)
        self.alive: dict[int, set[int]] = {}
        self.told: list[str] = []
        self.now = 0.0

    def do(self, actions: Sequence[ownership.Action]) -> None:
        for action in actions:
            match action:
                case ownership.Start(worker):
                    assert worker not in self.alive
                    self.alive[worker] = set()
                    self.open(worker, self.fleet.shares_of(worker))
                case ownership.Open(worker, shares):
                    self.open(worker, shares)
                case ownership.Kill(worker) if worker in self.alive:
                    self.die(worker)
                case ownership.Tell(text):
                    self.told.append(text)

    def open(self, worker: int, shares: tuple[int, ...]) -> None:
        for share in shares:
            assert not any(share in opened for other, opened in self.alive.items() if other != worker), "two owners"
            assert share not in self.fleet.aside
            if worker in self.alive:
                self.alive[worker].add(share)

    def ready(self, worker: int) -> None:
        self.fleet.heard(worker)
        for share in sorted(self.alive[worker]):
            self.do(self.fleet.opened(worker, share))

    def die(self, worker: int) -> None:
        del self.alive[worker]
        self.do(self.fleet.died(worker, self.now))

    def tick(self, by_s: float = 0.1) -> None:
        self.now += by_s
        self.do(self.fleet.tick(self.now))


@settings(max_examples=300)
@given(st.data())
def test_no_share_has_two_owners_and_each_has_one_in_the_end(data: st.DataObject) -> None:
    workers, shares = data.draw(st.integers(1, 5)), data.draw(st.integers(5, 12))
    world = World(workers, shares, Limits(crashes=3))
    world.tick()
    for _ in range(data.draw(st.integers(0, 60))):
        what = data.draw(st.sampled_from(["tick", "tick", "die", "ready", "reload", "long"]))
        if what == "tick":
            world.tick()
        elif what == "long":
            for _ in range(40):
                world.tick()
        elif what == "reload":
            world.do(world.fleet.reload(world.now))
        elif world.alive:
            worker = data.draw(st.sampled_from(sorted(world.alive)))
            world.die(worker) if what == "die" else world.ready(worker)
    if world.fleet.lost():
        return
    for _ in range(5):  # left alone, all that may be open is
        for _ in range(20):
            world.tick()
            for worker in sorted(world.alive):
                world.ready(worker)
    opened = [share for mine in world.alive.values() for share in mine]
    assert sorted(opened) == sorted(set(range(shares)) - world.fleet.aside) and world.fleet.complete()


def up(workers: int = 3, shares: int = 6, limits: Limits | None = None) -> World:
    world = World(workers, shares, limits or Limits())
    world.tick()
    for worker in range(workers):
        world.ready(worker)
    return world


def test_one_that_hangs_is_killed_and_others_keep_theirs() -> None:
    world = up()
    for _ in range(40):
        world.tick()
        world.fleet.heard(0)
        world.fleet.heard(2)
    assert any("worker 1 was silent" in text for text in world.told)
    assert not any("worker 0" in text or "worker 2" in text for text in world.told)
    assert world.alive[1] == {2, 3}


def test_a_supervisor_that_was_late_itself_blames_nobody() -> None:
    world = up()
    world.tick(30.0)
    assert world.told == [] and set(world.alive) == {0, 1, 2}


def test_one_that_keeps_crashing_is_parked_and_its_shares_go_round() -> None:
    world = up()
    for _ in range(3):
        world.die(1)
        for _ in range(10):
            world.tick()
            for worker in world.alive:
                world.ready(worker)
    assert world.fleet.workers[1].state is State.PARKED
    assert sorted(share for mine in world.alive.values() for share in mine) == list(range(6))
    assert sorted(map(len, world.alive.values())) == [3, 3]


def test_crashes_far_apart_park_nobody() -> None:
    world = up(limits=Limits(within_s=1.0))
    for _ in range(10):
        world.die(1)
        for _ in range(20):
            world.tick()
            for worker in world.alive:
                world.ready(worker)
    assert world.fleet.workers[1].state is State.UP


def test_a_share_that_crashes_whoever_has_it_is_set_aside() -> None:
    """Guards the other workers against a message that none of them survives."""
    world = up(4, 8)
    poison = 3
    for _ in range(200):
        world.tick()
        for worker in list(world.alive):
            world.ready(worker)
            if poison in world.alive[worker]:
                world.die(worker)
    assert world.fleet.aside == {poison}
    assert sum(worker.state is State.PARKED for worker in world.fleet.workers.values()) == 2
    assert sorted(share for mine in world.alive.values() for share in mine) == [0, 1, 2, 4, 5, 6, 7]
    world.do(world.fleet.reload(world.now))
    assert not world.fleet.aside and poison in world.fleet.owners
