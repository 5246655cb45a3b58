"""Clients that go while their message is passed on, and couriers that come back while one is."""

from __future__ import annotations

from wheelstep.journal import StoredMessage
from wheelstep.rehearsal.shard_world.clients import Hand
from wheelstep.rehearsal.shard_world.clock import virtual
from wheelstep.rehearsal.shard_world.faults import both
from wheelstep.rehearsal.shard_world.run import Run, Setup
from wheelstep.rehearsal.shard_world.world import MS, S
from wheelstep.shards.types import shard_of


def test_a_client_that_goes_before_its_message_is_passed_on_leaves_nothing_behind() -> None:
    """Once, what was asked after a dial was taken at its home and neither begun nor withdrawn, and held the later
    messages of its key up until the connection ended."""
    run = Run(1, Setup(couriers=2, clients=0, destinations=16), plan=[])
    with virtual(run.world):
        departs(run)
    run.bury()


def departs(run: Run) -> None:
    """One client goes while its courier dials, the next hands in behind it."""
    world, (one, other) = run.world, run.fleet
    world.run(3 * S)
    assert one.node is not None and other.node is not None and other.shelf is not None
    destination = next(number for number in run.destinations
                       if one.node.homes.home(shard_of(number, run.setup.shards)) == other.name)
    for link in list(one.node.streams._links):  # so that it has to dial
        link.close()
    world.run(3 * S + 100 * MS)
    run.fabric.slow.update(dict.fromkeys(both([one.name], [other.name]), 30 * MS))
    heard: list[int] = []
    for number, patience_us in ((1, 40 * MS), (2, S)):
        message = StoredMessage(f"m{number}", "ordered", destination, (world.wall_us() + 9 * S) // MS, "key")
        Hand(world, run.check, message, heard.append).at(one, False, patience_us)
        world.run(world.now_us + S)
    assert heard == [0, 202]
    world.run(6 * S)
    assert not other.shelf.holds("m1")
    assert run.check.ends.get("m2") == "delivered" and not run.check.ends.get("m1")


def test_a_home_that_comes_back_without_rows_sends_nobody_away_for_good() -> None:
    """Once, a courier that still owed a key of its former life answered 400 for it until its rows came."""
    run = Run(2, Setup(couriers=2, clients=0, destinations=16), plan=[])
    with virtual(run.world):
        returns(run)
    run.bury()


def returns(run: Run) -> None:
    """The home of a key that it owes dies, and is asked again before any control machine can tell it rows."""
    world, (one, other) = run.world, run.fleet
    world.run(3 * S)
    assert one.node is not None
    destination = next(number for number in run.destinations
                       if one.node.homes.home(shard_of(number, run.setup.shards)) == other.name)
    run.partners.down.update(run.discovery.rows)
    heard: list[int] = []

    def hand(name: str) -> None:
        message = StoredMessage(name, "ordered", destination, (world.wall_us() + 9 * S) // MS, "key")
        Hand(world, run.check, message, heard.append).at(one, False)
    hand("m1")
    world.run(world.now_us + 100 * MS)
    for control in run.controls:
        control.stop()
    other.kill()
    world.run(world.now_us + 100 * MS)
    other.start()
    world.run(world.now_us + 100 * MS)
    hand("m2")
    world.run(world.now_us + S)
    assert heard == [202, 503]
