"""The fleet's decisions in the simulation: few seeds here, 2,000 by `benchmarks/fleet_simulation.py`. Each broken
decision below must be found within the seeds that it is given."""

from __future__ import annotations

import os
import subprocess
import sys
from collections.abc import Callable, Iterable
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from wheelstep.channels.contracts import part_of
from wheelstep.fleet.node import Node
from wheelstep.fleet.owner import Lost, Owner
from wheelstep.fleet.register import Row, Voter
from wheelstep.fleet.rows import BEGUN, FLEET_ROW
from wheelstep.fleet.tenure import PartCoordinator
from wheelstep.moves.giver import Giver
from wheelstep.moves.steps import Step
from wheelstep.rehearsal.simulation import store
from wheelstep.rehearsal.simulation.disk import Disk
from wheelstep.rehearsal.simulation.machine import Machine
from wheelstep.rehearsal.simulation.nodes import real
from wheelstep.rehearsal.simulation.run import CALM, Result, Run, crash_points, drawn, twice_over
from wheelstep.rehearsal.simulation.world import MS, S

Break = Callable[[pytest.MonkeyPatch], None]


@pytest.mark.parametrize(("seeds", "couriers"), [(range(0, 3), 3), (range(4, 7), 3), (range(8, 9), 5)], ids=str)
def test_no_invariant_is_broken(seeds: Iterable[int], couriers: int) -> None:
    for seed in seeds:
        result = Run(seed, drawn(seed, couriers), real).play()
        assert result.text == ""
        assert result.count["delivered"] > 20


def test_crash_points_of_a_move() -> None:
    result = crash_points(1, real, stride=25)
    assert result.text == "" and result.count["points"] > 2


def test_the_same_seed_plays_the_same_run_in_another_process() -> None:
    """Whatever the order of its sets of texts."""
    code = ("from wheelstep.rehearsal.simulation.nodes import real\n"
            "from wheelstep.rehearsal.simulation.run import Run, drawn\n"
            "import hashlib\n"
            "print(hashlib.sha256('\\n'.join(Run(3, drawn(3), real, True).play().lines).encode()).hexdigest())")
    seen = {subprocess.run([sys.executable, "-c", code], cwd=Path(__file__).parent.parent, check=True, text=True,
                           capture_output=True, env={**os.environ, "PYTHONHASHSEED": seed}).stdout
            for seed in ("1", "2")}
    assert len(seen) == 1


# --- decisions that are broken on purpose ---

def _ignores_its_lease(patch: pytest.MonkeyPatch) -> None:
    handle_events = PartCoordinator.handle_events
    patch.setattr(Owner, "epoch", lambda self, part, now_us: self._parts[part].epoch or None)
    patch.setattr(PartCoordinator, "handle_events", lambda self, now_us, events: handle_events(
        self, now_us, [event for event in events if not isinstance(event, Lost)]))


def _answers_before_saving(patch: pytest.MonkeyPatch) -> None:
    reply_once_saved = Node._reply_once_saved
    patch.setattr(Node, "_reply_once_saved", lambda self, now_us, answer, records, then: [
        *then(now_us), *reply_once_saved(self, now_us, answer, records, lambda _: [])])
    patch.setattr(Disk, "delay", lambda self: 60_000)


def _votes_blank(patch: pytest.MonkeyPatch) -> None:
    init = Voter.__init__

    def begun(self: Voter, *given: Any) -> None:
        init(self, *given)
        self._rows.setdefault(FLEET_ROW, Row(BEGUN))
        self._blank = False
    patch.setattr(Voter, "__init__", begun)
    patch.setattr(Voter, "_discard_state", lambda self: None)


def _reopens_after_seal(patch: pytest.MonkeyPatch) -> None:
    def failed(self: Giver, now_us: int, why: str) -> list[Any]:
        self._content.open(self.part, self.epoch)
        return self._end_undone(why)
    patch.setattr(Giver, "_abandon", failed)


def _forgets_positions(patch: pytest.MonkeyPatch) -> None:
    decode = store.decode

    def forgetful(data: bytes) -> Any:
        record = decode(data)
        return ["k", record[1], None] if isinstance(record, list) and record[0] == "k" else record
    patch.setattr(store, "decode", forgetful)


def _opens_before_adopting(patch: pytest.MonkeyPatch) -> None:
    def gained(self: PartCoordinator, now_us: int, event: Any, records: list[bytes]) -> list[Any]:
        return self._open(event, now_us)
    patch.setattr(PartCoordinator, "_gained", gained)


@pytest.mark.parametrize(("broken", "seeds"), [
    (_ignores_its_lease, 5), (_votes_blank, 12), (_forgets_positions, 10), (_opens_before_adopting, 8)],
    ids=lambda value: getattr(value, "__name__", ""))
def test_a_broken_decision_is_found(broken: Break, seeds: int, monkeypatch: pytest.MonkeyPatch) -> None:
    broken(monkeypatch)
    assert any(Run(seed, drawn(seed, 3), real).play().rule for seed in range(seeds))


def dark(seed: int) -> Result:
    """All machines lose their power at a moment right after a part was opened, three times."""
    run = Run(seed, replace(CALM, faults_us=12 * S), real)
    opened, seen = run.check.opened, set[tuple[int, int]]()

    def watch(courier: str, part: int, epoch: int) -> None:
        opened(courier, part, epoch)
        if (part, epoch) not in seen and len(seen) < 3:
            seen.add((part, epoch))
            for machine in run.fleet.values():
                run.world.after(MS, machine.crash, True)
    run.check.opened = watch
    result = run.play()
    assert seen
    return result


def test_a_voter_that_answers_before_saving_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    assert [dark(seed).text for seed in range(2)] == ["", ""]
    _answers_before_saving(monkeypatch)
    assert any(dark(seed).rule for seed in range(4))


def unanswered_seal(seed: int) -> Result:
    """The giver hears nothing more from the taker once its `Seal` is out; a while later it dies, and stays away."""
    run = Run(seed, replace(CALM, messages=24, faults_us=14 * S), real)
    world, part = run.world, part_of(run.clients[0].channel, CALM.parts)
    pairs: list[tuple[str, str]] = []

    def give() -> None:
        giver = run.fleet[run.owners()[part][0]]
        to = next(name for name in run.fleet if name != giver.name)
        giver.enter(giver.life, lambda: giver.do(giver.node.coordinator.give(giver.own_us(), part, to)))
        look(giver)

    def look(giver: Machine) -> None:
        sealed = [one.to for one in giver.node.coordinator.givers.values() if one.step is Step.HANDING]
        if not sealed:
            return world.after(MS // 2, look, giver) if world.now_us < 5 * S and giver.alive else None
        pairs.extend((to, giver.name) for to in sealed)
        world.net.cuts.update(pairs)
        world.after(1_400 * MS, world.net.cuts.difference_update, pairs)
        run.faults.down_us[giver.name] = 8 * S
        world.after(2_200 * MS, giver.crash)
    world.at(3 * S, give)
    result = run.play()
    assert pairs
    return result


def test_a_giver_that_reopens_after_the_seal_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    assert [unanswered_seal(seed).text for seed in range(2)] == ["", ""]
    _reopens_after_seal(monkeypatch)
    assert any(unanswered_seal(seed).rule for seed in range(2))


def test_a_former_owner_that_takes_over_again_does_not_take_a_position_back() -> None:
    """Once, its own old position became the channel's, though another had served it since."""
    assert [twice_over(seed, real).text for seed in (0, 3)] == ["", ""]
