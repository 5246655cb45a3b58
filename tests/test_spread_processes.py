"""A dozen courier processes against endpoints that queue: all messages are delivered, every endpoint gets a part of
the calls, and no process remains. The measurement at full size is `benchmarks/spread_processes.py`."""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from pathlib import Path

import pytest

from benchmarks.spread_rig.desk import Choice, Desk, virtual
from benchmarks.spread_rig.figures import Row, row
from benchmarks.spread_rig.fleet import NoFleetError
from benchmarks.spread_rig.plan import LANES, QUEUE, Arrival, Fault, Scene, Shape, arrivals, weights
from benchmarks.spread_rig.play import Given, Seen, play, scenes
from benchmarks.spread_rig.processes import FORK

ROOT = Path(__file__).parent.parent
SHAPE = Shape(1, 4, 0.4)
FIRST_ENDPOINT_COURIER = f"{sys.executable} tests/stub_courier.py plain"  # always the first endpoint of the list
MAX_SHARE, MIN_SHARE = 2.5, 0.1  # bounds on an endpoint's calls over the mean of all; a random choice gives 0.7 to 1.4


def run_fleet(command: str, *faults: Fault, couriers: int = 12, seconds: float = 1.2) -> Seen:
    """Run a fleet of this command through scenes with these faults."""
    given = Given(couriers, command, ROOT, (SHAPE,), scenes(seconds, faults), 80.0, slots=16)
    return asyncio.run(asyncio.wait_for(play(given, 1), 60))


def is_even(result: Row) -> bool:
    """Return whether every endpoint's calls are within bounds over the whole scene, not in each second, so that the
    result is the same on a busy machine."""
    mean = sum(result.used.values()) / SHAPE.endpoints
    return all(0 < MIN_SHARE * mean <= result.used[place] <= MAX_SHARE * mean for place in range(SHAPE.endpoints))


def all_processes_ended(seen: Seen) -> bool:
    """Return whether all processes of the run have ended."""
    return bool(seen.pids) and not any(Path(f"/proc/{pid}").exists() for pid in seen.pids)


def test_a_dozen_couriers_deliver_all_over_every_endpoint_and_no_process_remains() -> None:
    seen = run_fleet(FORK, Fault.PLAIN, Fault.KILLED)
    plain, killed = (next(one for one in seen.rows if one.scene is fault) for fault in (Fault.PLAIN, Fault.KILLED))
    assert plain.undelivered == 0
    assert is_even(plain), plain.used
    assert killed.undelivered == 0  # including what the killed third of them held
    assert all_processes_ended(seen)


def test_couriers_that_always_take_the_first_endpoint_are_found_uneven() -> None:
    seen = run_fleet(FIRST_ENDPOINT_COURIER, Fault.PLAIN, couriers=2, seconds=0.6)
    assert seen.rows[0].undelivered == 0
    assert not is_even(seen.rows[0])
    assert all_processes_ended(seen)


def test_a_command_that_is_no_courier_ends_with_one_clear_error() -> None:
    with pytest.raises(NoFleetError, match="no courier"):
        run_fleet(f"{sys.executable} -c 'raise SystemExit(\"no courier\")'", Fault.PLAIN, couriers=2)


def test_a_desk_serves_by_lanes_and_queues_the_rest() -> None:
    desk = Desk()
    ends = [desk.take(0.0, 1.0) for _ in range(LANES + QUEUE + 1)]
    assert ends[:LANES + 1] == [1.0] * LANES + [2.0] and ends[-1] is None
    assert desk.out(0.5) == LANES + QUEUE and desk.out(1.0) == QUEUE


def test_a_stalled_desk_begins_and_ends_nothing_meanwhile() -> None:
    desk = Desk((2.0, 5.0))
    assert desk.take(1.5, 1.0) == 5.5  # half of it is left
    assert desk.take(3.0, 1.0) == 6.0
    assert desk.take(5.0, 1.0) == 6.0


def test_the_figures_show_calls_that_all_go_to_a_few_endpoints() -> None:
    scene, shape = scenes(12.0, [Fault.PLAIN])[0], Shape(1, 8, 0.5)
    messages = arrivals(3, scene, [shape], 400.0, weights(3, 50))
    lines = {}
    for choice in Choice:
        calls = virtual(3, scene, [shape], messages, choice)
        lines[choice] = row(choice, scene, shape, messages, calls, {call.number: call.end_s or 0.0 for call in calls})
    assert max(lines[Choice.LEAST].seconds.busiest) < max(lines[Choice.RANDOM].seconds.busiest) < 1.8
    assert min(lines[Choice.RANDOM].seconds.idlest) > 0.4
    herd = [Arrival(one.number, one.at_s, 0, 1, 0.0) for one in messages]
    calls = [type(calls[0])(1, int(one.at_s * 2) % 8, one.number, one.at_s, one.at_s) for one in herd]
    busiest = row("herd", scene, shape, herd, calls, {}).seconds.busiest
    assert min(busiest) > 3.0  # two endpoints of eight at a time


def test_an_endpoint_that_leaves_or_stalls_is_not_counted_as_idle() -> None:
    shape = Shape(1, 3, 0.5)
    replaced, stalled = scenes(12.0, [Fault.REPLACED, Fault.STALLED])
    assert replaced.counts(shape) == {0: (0.0, 2.0), 1: (0.0, 12.0), 2: (0.0, 12.0), 3: (3.0, 12.0)}
    assert stalled.counts(shape)[1][0] > stalled.until_s
    assert 0 not in replaced.listed(shape, 2.0) and 3 in replaced.listed(shape, 2.0)


def test_the_same_seed_gives_the_same_uneven_messages() -> None:
    scene = Scene(Fault.PLAIN, 10.0, 1.0, 0.0)
    first, again = (arrivals(5, scene, [SHAPE], 500.0, weights(5, 200)) for _ in range(2))
    assert first == again
    most = Counter(one.courier for one in first).most_common(1)[0][1]
    assert most > 3 * len(first) / 200
