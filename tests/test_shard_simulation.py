"""Simulation of couriers that divide destinations: few seeds here, 2,000 by `benchmarks/shard_simulation.py`."""

from __future__ import annotations

import asyncio
import os
import random
import subprocess
import sys
from pathlib import Path

import pytest

from wheelstep.rehearsal.shard_world import broken
from wheelstep.rehearsal.shard_world.clock import virtual
from wheelstep.rehearsal.shard_world.loop import SpinError, VirtualLoop
from wheelstep.rehearsal.shard_world.net import Fabric, SimNet
from wheelstep.rehearsal.shard_world.process import Process
from wheelstep.rehearsal.shard_world.run import run_seed, run_with_faults
from wheelstep.rehearsal.shard_world.world import MS, S, StuckError, World
from wheelstep.shards.ports import Pipe


@pytest.mark.parametrize("seed", [0, 3, 8, 30])
def test_run_violates_no_invariant(seed: int) -> None:
    result = run_seed(seed)
    assert result.text == ""
    assert result.counts["delivered"] > 100 and result.counts["hops"] > 100


def test_same_seed_gives_the_same_run_in_another_process() -> None:
    """Guards against a run that depends on the hash seed, and so on the order of sets of strings."""
    code = "from wheelstep.rehearsal.shard_world.run import run_seed; print(run_seed(6).fingerprint)"
    fingerprints = {subprocess.run([sys.executable, "-c", code], cwd=Path(__file__).parent.parent, check=True,
                                   text=True, capture_output=True, env={**os.environ, "PYTHONHASHSEED": seed}).stdout
            for seed in ("1", "2")}
    assert len(fingerprints) == 1


@pytest.mark.parametrize("name", broken.VARIANTS)
def test_broken_variant_violates_its_invariant(name: str) -> None:
    """A variant violates its invariant within its seeds; the unpatched code passes the first of them."""
    broken_variant = broken.VARIANTS[name]
    assert run_with_faults(0, broken_variant.kinds, broken_variant.count).text == ""
    with broken.apply_variant(name):
        assert any(run_with_faults(seed, broken_variant.kinds, broken_variant.count).rule == broken_variant.rule
                   for seed in range(broken_variant.seeds))


# --- the loop ---

def test_loop_advances_to_its_next_timer() -> None:
    world = World(1)
    loop = VirtualLoop(world, offset_us=7 * S)

    async def wait() -> float:
        began = asyncio.get_running_loop().time()
        await asyncio.sleep(3_600)
        return asyncio.get_running_loop().time() - began
    assert loop.run_until_complete(wait()) == pytest.approx(3_600, abs=0.001)
    loop.dispose()


def test_loop_without_events_raises_stuck_error() -> None:
    loop = VirtualLoop(World(1))
    with pytest.raises(StuckError):
        loop.run_until_complete(loop.create_future())
    loop.dispose()


def test_loop_that_iterates_without_a_pause_raises_spin_error() -> None:
    loop = VirtualLoop(World(1))

    async def spin() -> None:
        while True:
            await asyncio.sleep(0)
    with pytest.raises(SpinError):
        loop.run_until_complete(spin())
    loop.dispose()


def test_thread_in_a_virtual_loop_raises_runtime_error() -> None:
    loop = VirtualLoop(World(1))

    async def ask() -> None:
        await asyncio.to_thread(lambda: None)
    with pytest.raises(RuntimeError, match="executor"):
        loop.run_until_complete(ask())
    loop.dispose()


# --- the network ---

class Echo:
    """Two processes: `b` writes back what `a` writes. Times of events are in microseconds."""

    def __init__(self, seed: int) -> None:
        self.world = World(seed)
        self.fabric = Fabric(self.world, random.Random(seed))
        self.a, self.b = (Process(self.world, name, f"r/{name}", number) for number, name in enumerate("ab"))
        self.received: list[tuple[int, bytes]] = []
        self.lost: list[int] = []
        self.closed_at: list[int] = []  # at `b`
        self.pipe: Pipe | None = None
        self.b.start(self._serve())
        self.a.start(self._dial())

    async def _serve(self) -> None:
        def accept(pipe: Pipe) -> tuple[object, object]:
            return pipe.write, lambda: self.closed_at.append(self.world.now_us)
        await SimNet(self.fabric, self.b).listen("b:1", accept, lambda data, address: None)  # type: ignore[arg-type]

    async def _dial(self) -> None:
        await asyncio.sleep(0.01)
        self.pipe = await SimNet(self.fabric, self.a).dial(
            "b:1", lambda data: self.received.append((self.world.now_us, data)),
            lambda: self.lost.append(self.world.now_us))

    def dispose(self) -> None:
        """Dispose of both event loops."""
        self.a.loop.dispose()
        self.b.loop.dispose()

    def run_until(self, until_us: int) -> None:
        """Run the world to a time, with the clocks of `time` replaced."""
        with virtual(self.world):
            self.world.run(until_us)


def test_pipe_keeps_its_order_despite_packet_loss() -> None:
    for seed in range(5):
        echo = Echo(seed)
        echo.run_until(S)
        assert echo.pipe is not None
        echo.fabric.loss_rate = 0.3
        sent = [b"%d" % number for number in range(40)]
        for item in sent:
            echo.pipe.write(item)
        echo.run_until(60 * S)
        assert [data for _, data in echo.received] == sent
        echo.dispose()


def test_cut_pipe_continues_after_a_short_cut_and_ends_after_a_long_one() -> None:
    echo = Echo(1)
    echo.run_until(S)
    assert echo.pipe is not None
    echo.fabric.cut([("a", "b")])
    echo.pipe.write(b"late")
    echo.run_until(4 * S)
    assert not echo.received
    echo.fabric.restore([("a", "b")])
    echo.run_until(5 * S)
    assert [data for _, data in echo.received] == [b"late"] and not echo.lost
    echo.fabric.cut([("a", "b")])
    echo.pipe.write(b"never")
    echo.run_until(30 * S)
    assert len(echo.received) == 1 and echo.lost and not echo.closed_at
    echo.fabric.restore([("a", "b")])
    echo.run_until(31 * S)
    assert echo.closed_at
    echo.dispose()


def test_stopped_process_reads_queued_data_once_resumed() -> None:
    echo = Echo(1)
    echo.run_until(S)
    assert echo.pipe is not None
    echo.b.stop()
    for number in range(9):
        echo.pipe.write(b"%d" % number)
    echo.run_until(20 * S)
    assert not echo.received and not echo.lost
    echo.b.resume()
    echo.run_until(20 * S + 10 * MS)
    assert [data for _, data in echo.received] == [b"%d" % number for number in range(9)]
    echo.dispose()


@pytest.mark.parametrize(("vanish", "within_us"), [(False, 10 * MS), (True, 21 * S)])
def test_end_of_a_process_or_its_machine_ends_the_peers_pipe(vanish: bool, within_us: int) -> None:
    echo = Echo(1)
    echo.run_until(S)
    if vanish:
        echo.fabric.powered_off.add("b")
    echo.b.kill(vanish)
    echo.run_until(S + within_us)
    assert len(echo.lost) == 1 and (not vanish or echo.lost[0] > 5 * S)
    echo.dispose()
