"""Couriers that divide destinations in the simulation: few seeds here, 2,000 by `benchmarks/shard_simulation.py`."""

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
from wheelstep.rehearsal.shard_world.run import play, press
from wheelstep.rehearsal.shard_world.world import MS, S, StuckError, World
from wheelstep.shards.ports import Pipe


@pytest.mark.parametrize("seed", [0, 3, 8, 30])
def test_no_invariant_is_broken(seed: int) -> None:
    result = play(seed)
    assert result.text == ""
    assert result.count["delivered"] > 100 and result.count["hops"] > 100


def test_the_same_seed_plays_the_same_run_in_another_process() -> None:
    """Whatever the order of its sets of texts."""
    code = "from wheelstep.rehearsal.shard_world.run import play; print(play(6).mark)"
    seen = {subprocess.run([sys.executable, "-c", code], cwd=Path(__file__).parent.parent, check=True, text=True,
                           capture_output=True, env={**os.environ, "PYTHONHASHSEED": seed}).stdout
            for seed in ("1", "2")}
    assert len(seen) == 1


@pytest.mark.parametrize("name", broken.VARIANTS)
def test_a_broken_variant_is_caught(name: str) -> None:
    """By its own invariant, within the seeds that it is given. The code as it is stands the same at the first."""
    wrong = broken.VARIANTS[name]
    assert press(0, wrong.kinds, wrong.count).text == ""
    with broken.variant(name):
        assert any(press(seed, wrong.kinds, wrong.count).rule == wrong.rule for seed in range(wrong.seeds))


# --- the loop ---

def test_a_loop_jumps_to_its_next_timer() -> None:
    world = World(1)
    loop = VirtualLoop(world, offset_us=7 * S)

    async def wait() -> float:
        began = asyncio.get_running_loop().time()
        await asyncio.sleep(3_600)
        return asyncio.get_running_loop().time() - began
    assert loop.run_until_complete(wait()) == pytest.approx(3_600, abs=0.001)
    loop.bury()


def test_a_loop_that_would_wait_for_ever_raises() -> None:
    loop = VirtualLoop(World(1))
    with pytest.raises(StuckError):
        loop.run_until_complete(loop.create_future())
    loop.bury()


def test_a_loop_that_never_rests_raises() -> None:
    loop = VirtualLoop(World(1))

    async def spin() -> None:
        while True:
            await asyncio.sleep(0)
    with pytest.raises(SpinError):
        loop.run_until_complete(spin())
    loop.bury()


def test_a_loop_has_no_threads() -> None:
    loop = VirtualLoop(World(1))

    async def ask() -> None:
        await asyncio.to_thread(lambda: None)
    with pytest.raises(RuntimeError, match="executor"):
        loop.run_until_complete(ask())
    loop.bury()


# --- the network ---

class Echo:
    """Two processes: `b` writes back what `a` writes."""

    def __init__(self, seed: int) -> None:
        self.world = World(seed)
        self.fabric = Fabric(self.world, random.Random(seed))
        self.a, self.b = (Process(self.world, name, f"r/{name}", number) for number, name in enumerate("ab"))
        self.heard: list[tuple[int, bytes]] = []
        self.lost: list[int] = []
        self.ended: list[int] = []  # heard by `b`
        self.pipe: Pipe | None = None
        self.b.start(self._serve())
        self.a.start(self._ask())

    async def _serve(self) -> None:
        def accept(pipe: Pipe) -> tuple[object, object]:
            return pipe.write, lambda: self.ended.append(self.world.now_us)
        await SimNet(self.fabric, self.b).listen("b:1", accept, lambda data, address: None)  # type: ignore[arg-type]

    async def _ask(self) -> None:
        await asyncio.sleep(0.01)
        self.pipe = await SimNet(self.fabric, self.a).dial(
            "b:1", lambda data: self.heard.append((self.world.now_us, data)),
            lambda: self.lost.append(self.world.now_us))

    def bury(self) -> None:
        """Both."""
        self.a.loop.bury()
        self.b.loop.bury()

    def play(self, until_us: int) -> None:
        """And the clocks that code may ask for itself."""
        with virtual(self.world):
            self.world.run(until_us)


def test_pipes_stall_on_loss_and_keep_their_order() -> None:
    for seed in range(5):
        echo = Echo(seed)
        echo.play(S)
        assert echo.pipe is not None
        echo.fabric.lose = 0.3
        sent = [b"%d" % number for number in range(40)]
        for one in sent:
            echo.pipe.write(one)
        echo.play(60 * S)
        assert [data for _, data in echo.heard] == sent
        echo.bury()


def test_a_cut_pipe_goes_on_and_ends_if_it_lasts() -> None:
    echo = Echo(1)
    echo.play(S)
    assert echo.pipe is not None
    echo.fabric.cut([("a", "b")])
    echo.pipe.write(b"late")
    echo.play(4 * S)
    assert not echo.heard
    echo.fabric.join([("a", "b")])
    echo.play(5 * S)
    assert [data for _, data in echo.heard] == [b"late"] and not echo.lost
    echo.fabric.cut([("a", "b")])
    echo.pipe.write(b"never")
    echo.play(30 * S)
    assert len(echo.heard) == 1 and echo.lost and not echo.ended
    echo.fabric.join([("a", "b")])
    echo.play(31 * S)
    assert echo.ended
    echo.bury()


def test_a_stopped_process_reads_when_it_wakes() -> None:
    echo = Echo(1)
    echo.play(S)
    assert echo.pipe is not None
    echo.b.stop()
    for number in range(9):
        echo.pipe.write(b"%d" % number)
    echo.play(20 * S)
    assert not echo.heard and not echo.lost
    echo.b.wake()
    echo.play(20 * S + 10 * MS)
    assert [data for _, data in echo.heard] == [b"%d" % number for number in range(9)]
    echo.bury()


@pytest.mark.parametrize(("vanish", "within_us"), [(False, 10 * MS), (True, 21 * S)])
def test_the_end_of_a_process_is_heard(vanish: bool, within_us: int) -> None:
    echo = Echo(1)
    echo.play(S)
    if vanish:
        echo.fabric.gone.add("b")
    echo.b.kill(vanish)
    echo.play(S + within_us)
    assert len(echo.lost) == 1 and (not vanish or echo.lost[0] > 5 * S)
    echo.bury()
