"""Clients that disconnect while their message is forwarded, and couriers that restart while one is."""

from __future__ import annotations

from wheelstep.journal import StoredMessage
from wheelstep.rehearsal.shard_world.clients import Submission
from wheelstep.rehearsal.shard_world.clock import virtual_time
from wheelstep.rehearsal.shard_world.faults import links_between
from wheelstep.rehearsal.shard_world.run import Run, Setup
from wheelstep.rehearsal.shard_world.world import MS, S
from wheelstep.shards.types import shard_of


def test_a_client_that_disconnects_before_its_message_is_forwarded_leaves_nothing_behind() -> None:
    """Guards against a fault: a message that was forwarded after a dial was accepted at its home, but neither begun nor
    withdrawn, and blocked later messages of its key until the connection ended."""
    run = Run(1, Setup(couriers=2, clients=0, destinations=16), plan=[])
    with virtual_time(run.world):
        submit_after_a_disconnect(run)
    run.dispose()


def submit_after_a_disconnect(run: Run) -> None:
    """One client disconnects while its courier dials, and the next one submits a message of the same key."""
    world, (one, other) = run.world, run.fleet
    world.run_until(3 * S)
    assert one.node is not None and other.node is not None and other.courier_port is not None
    destination = next(number for number in run.destinations
                       if one.node.homes.home(shard_of(number, run.setup.shards)) == other.name)
    for link in list(one.node.streams._links):  # so that the courier has to dial
        link.close()
    world.run_until(3 * S + 100 * MS)
    run.fabric.extra_delay_us.update(dict.fromkeys(links_between([one.name], [other.name]), 30 * MS))
    statuses: list[int] = []
    for number, patience_us in ((1, 40 * MS), (2, S)):
        message = StoredMessage(f"m{number}", "ordered", destination, (world.wall_us() + 9 * S) // MS, "key")
        Submission(world, run.check, message, statuses.append).submit_to(one, False, patience_us)
        world.run_until(world.now_us + S)
    assert statuses == [0, 202]
    world.run_until(6 * S)
    assert not other.courier_port.holds("m1")
    assert run.check.ends.get("m2") == "delivered" and not run.check.ends.get("m1")


def test_a_home_that_restarts_without_rows_answers_503_and_not_400() -> None:
    """Guards against a fault: a courier that owed a key from before its restart answered 400, which clients take for
    final, until it received its rows."""
    run = Run(2, Setup(couriers=2, clients=0, destinations=16), plan=[])
    with virtual_time(run.world):
        submit_to_a_restarted_home(run)
    run.dispose()


def submit_to_a_restarted_home(run: Run) -> None:
    """The home of an owed key restarts, and gets the next message before any control machine can send it rows."""
    world, (one, other) = run.world, run.fleet
    world.run_until(3 * S)
    assert one.node is not None
    destination = next(number for number in run.destinations
                       if one.node.homes.home(shard_of(number, run.setup.shards)) == other.name)
    run.partners.down.update(run.discovery.rows)
    statuses: list[int] = []

    def submit(name: str) -> None:
        message = StoredMessage(name, "ordered", destination, (world.wall_us() + 9 * S) // MS, "key")
        Submission(world, run.check, message, statuses.append).submit_to(one, False)
    submit("m1")
    world.run_until(world.now_us + 100 * MS)
    for control in run.controls:
        control.pause()
    other.kill()
    world.run_until(world.now_us + 100 * MS)
    other.start()
    world.run_until(world.now_us + 100 * MS)
    submit("m2")
    world.run_until(world.now_us + S)
    assert statuses == [202, 503]
