"""Clients that close the connection while their message is forwarded, and couriers that restart during a forward."""

from __future__ import annotations

from wheelstep.journal import StoredMessage
from wheelstep.rehearsal.shard_world.clients import Submission
from wheelstep.rehearsal.shard_world.clock import virtual
from wheelstep.rehearsal.shard_world.faults import both_directions
from wheelstep.rehearsal.shard_world.run import Run, Setup
from wheelstep.rehearsal.shard_world.world import MS, S
from wheelstep.shards.types import shard_of


def test_client_that_leaves_before_the_forward_leaves_no_message_at_the_home() -> None:
    """Guards against a message that is accepted at its home but neither begun nor withdrawn, and so delays the later
    messages of its key until the connection ends. The cause was a client that left while its courier dialled.
    """
    run = Run(1, Setup(couriers=2, clients=0, destinations=16), plan=[])
    with virtual(run.world):
        client_departs(run)
    run.dispose()


def client_departs(run: Run) -> None:
    """One client leaves while its courier dials the home; the next submits a message of the same key."""
    world, (first, second) = run.world, run.fleet
    world.run(3 * S)
    assert first.node is not None and second.node is not None and second.store is not None
    destination = next(number for number in run.destinations
                       if first.node.homes.home(shard_of(number, run.setup.shards)) == second.name)
    for link in list(first.node.streams._links):  # so that it has to dial again
        link.close()
    world.run(3 * S + 100 * MS)
    run.fabric.extra_delay_us.update(dict.fromkeys(both_directions([first.name], [second.name]), 30 * MS))
    statuses: list[int] = []
    for number, patience_us in ((1, 40 * MS), (2, S)):
        message = StoredMessage(f"m{number}", "ordered", destination, (world.wall_us() + 9 * S) // MS, "key")
        Submission(world, run.check, message, statuses.append).send(first, False, patience_us)
        world.run(world.now_us + S)
    assert statuses == [0, 202]
    world.run(6 * S)
    assert not second.store.holds("m1")
    assert run.check.outcomes.get("m2") == "delivered" and not run.check.outcomes.get("m1")


def test_restarted_home_without_rows_answers_503_not_400() -> None:
    """Guards against 400 from a restarted courier that owes a key of its last process but has no rows yet."""
    run = Run(2, Setup(couriers=2, clients=0, destinations=16), plan=[])
    with virtual(run.world):
        home_returns(run)
    run.dispose()


def home_returns(run: Run) -> None:
    """The home of a key that it owes is killed, restarts, and gets a message before a control machine sends it rows."""
    world, (first, second) = run.world, run.fleet
    world.run(3 * S)
    assert first.node is not None
    destination = next(number for number in run.destinations
                       if first.node.homes.home(shard_of(number, run.setup.shards)) == second.name)
    run.partners.down.update(run.discovery.rows)
    statuses: list[int] = []

    def submit(name: str) -> None:
        message = StoredMessage(name, "ordered", destination, (world.wall_us() + 9 * S) // MS, "key")
        Submission(world, run.check, message, statuses.append).send(first, False)
    submit("m1")
    world.run(world.now_us + 100 * MS)
    for control in run.controls:
        control.stop()
    second.kill()
    world.run(world.now_us + 100 * MS)
    second.start()
    world.run(world.now_us + 100 * MS)
    submit("m2")
    world.run(world.now_us + S)
    assert statuses == [202, 503]
