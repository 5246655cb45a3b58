"""A dozen courier processes against endpoints that queue: all messages are delivered, every endpoint gets some of the
calls, and no process remains. The measurement at full size is `benchmarks/spread_processes.py`."""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from pathlib import Path

import pytest

from benchmarks.spread_rig.desk import BaselinePolicy, EndpointQueue, simulate_calls
from benchmarks.spread_rig.figures import TableRow, summarize
from benchmarks.spread_rig.fleet import FleetStartError
from benchmarks.spread_rig.plan import LANES, QUEUE, Arrival, Fault, Scene, Shape, arrivals, weights
from benchmarks.spread_rig.play import RunOptions, RunResult, make_scenes, run_scenes
from benchmarks.spread_rig.processes import FORK

ROOT = Path(__file__).parent.parent
SHAPE = Shape(1, 4, 0.4)
FIRST_ENDPOINT_COURIER = f"{sys.executable} tests/stub_courier.py plain"  # always the first endpoint of the list
MAX_SHARE, MIN_SHARE = 2.5, 0.1  # bounds on an endpoint's calls over the mean of all; a random choice gives 0.7 to 1.4


def run_fleet(command: str, *faults: Fault, couriers: int = 12, seconds: float = 1.2) -> RunResult:
    """Run a fleet of this command through scenes with these faults."""
    given = RunOptions(couriers, command, ROOT, (SHAPE,), make_scenes(seconds, faults), 80.0, slots=16)
    return asyncio.run(asyncio.wait_for(run_scenes(given, 1), 60))


def is_even(result: TableRow) -> bool:
    """Return whether every endpoint's calls are within bounds over the whole scene, not in each second, so that the
    result is the same on a busy machine."""
    mean = sum(result.calls_by_position.values()) / SHAPE.endpoints
    return all(0 < MIN_SHARE * mean <= result.calls_by_position[position] <= MAX_SHARE * mean
               for position in range(SHAPE.endpoints))


def all_processes_ended(seen: RunResult) -> bool:
    """Return whether all processes of the run have ended."""
    return bool(seen.pids) and not any(Path(f"/proc/{pid}").exists() for pid in seen.pids)


def test_a_dozen_couriers_deliver_all_over_every_endpoint_and_no_process_remains() -> None:
    seen = run_fleet(FORK, Fault.PLAIN, Fault.KILLED)
    plain, killed = (next(one for one in seen.rows if one.scene is fault) for fault in (Fault.PLAIN, Fault.KILLED))
    assert plain.undelivered == 0
    assert is_even(plain), plain.calls_by_position
    assert killed.undelivered == 0  # including what the killed third of them held
    assert all_processes_ended(seen)


def test_couriers_that_always_take_the_first_endpoint_are_found_uneven() -> None:
    seen = run_fleet(FIRST_ENDPOINT_COURIER, Fault.PLAIN, couriers=2, seconds=0.6)
    assert seen.rows[0].undelivered == 0
    assert not is_even(seen.rows[0])
    assert all_processes_ended(seen)


def test_a_command_that_starts_no_courier_raises_an_error_with_its_output() -> None:
    with pytest.raises(FleetStartError, match="no courier"):
        run_fleet(f"{sys.executable} -c 'raise SystemExit(\"no courier\")'", Fault.PLAIN, couriers=2)


def test_an_endpoint_runs_calls_in_its_lanes_queues_some_and_rejects_the_rest() -> None:
    queue = EndpointQueue()
    ends = [queue.accept(0.0, 1.0) for _ in range(LANES + QUEUE + 1)]
    assert ends[:LANES + 1] == [1.0] * LANES + [2.0] and ends[-1] is None
    assert queue.outstanding(0.5) == LANES + QUEUE and queue.outstanding(1.0) == QUEUE


def test_a_stalled_endpoint_starts_and_finishes_no_call() -> None:
    queue = EndpointQueue((2.0, 5.0))
    assert queue.accept(1.5, 1.0) == 5.5  # half of the call is left when the stall begins
    assert queue.accept(3.0, 1.0) == 6.0
    assert queue.accept(5.0, 1.0) == 6.0


def test_shares_show_calls_that_all_go_to_a_few_endpoints() -> None:
    scene, shape = make_scenes(12.0, [Fault.PLAIN])[0], Shape(1, 8, 0.5)
    messages = arrivals(3, scene, [shape], 400.0, weights(3, 50))
    lines = {}
    for policy in BaselinePolicy:
        calls = simulate_calls(3, scene, [shape], messages, policy)
        lines[policy] = summarize(policy, scene, shape, messages, calls,
                                  {call.number: call.end_s or 0.0 for call in calls})
    assert max(lines[BaselinePolicy.LEAST].shares.busiest) < max(lines[BaselinePolicy.RANDOM].shares.busiest) < 1.8
    assert min(lines[BaselinePolicy.RANDOM].shares.idlest) > 0.4
    synchronized = [Arrival(one.number, one.at_s, 0, 1, 0.0) for one in messages]
    calls = [type(calls[0])(1, int(one.at_s * 2) % 8, one.number, one.at_s, one.at_s) for one in synchronized]
    busiest = summarize("synchronized", scene, shape, synchronized, calls, {}).shares.busiest
    assert min(busiest) > 3.0  # two endpoints of eight at a time


def test_an_endpoint_that_leaves_or_stalls_is_not_counted_as_idle() -> None:
    shape = Shape(1, 3, 0.5)
    replaced, stalled = make_scenes(12.0, [Fault.REPLACED, Fault.STALLED])
    assert replaced.counted_spans(shape) == {0: (0.0, 2.0), 1: (0.0, 12.0), 2: (0.0, 12.0), 3: (3.0, 12.0)}
    assert stalled.counted_spans(shape)[1][0] > stalled.until_s
    assert 0 not in replaced.listed_positions(shape, 2.0) and 3 in replaced.listed_positions(shape, 2.0)


def test_the_same_seed_gives_the_same_uneven_messages() -> None:
    scene = Scene(Fault.PLAIN, 10.0, 1.0, 0.0)
    first, again = (arrivals(5, scene, [SHAPE], 500.0, weights(5, 200)) for _ in range(2))
    assert first == again
    most = Counter(one.courier for one in first).most_common(1)[0][1]
    assert most > 3 * len(first) / 200
