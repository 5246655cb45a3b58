"""The fleet's decisions in the simulation, for a few seeds; `benchmarks/fleet_simulation.py` runs 2,000. Each of the
deliberately broken decisions below must be found within the given number of seeds."""

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
from wheelstep.rehearsal.simulation.nodes import make_node
from wheelstep.rehearsal.simulation.run import (
    FAULT_FREE,
    Result,
    Run,
    draw_setup,
    run_crash_points,
    run_double_takeover,
)
from wheelstep.rehearsal.simulation.world import MS, S

Breakage = Callable[[pytest.MonkeyPatch], None]


@pytest.mark.parametrize(("seeds", "couriers"), [(range(0, 3), 3), (range(4, 7), 3), (range(8, 9), 5)], ids=str)
def test_real_decisions_break_no_invariant(seeds: Iterable[int], couriers: int) -> None:
    for seed in seeds:
        result = Run(seed, draw_setup(seed, couriers), make_node).execute()
        assert result.text == ""
        assert result.counts["delivered"] > 20


def test_a_crash_at_any_boundary_of_a_move_breaks_no_invariant() -> None:
    result = run_crash_points(1, make_node, stride=25)
    assert result.text == "" and result.counts["points"] > 2


def test_the_same_seed_gives_the_same_run_under_any_hash_seed() -> None:
    """The order in which sets of strings are iterated differs between processes; runs must not depend on it."""
    code = ("from wheelstep.rehearsal.simulation.nodes import make_node\n"
            "from wheelstep.rehearsal.simulation.run import Run, draw_setup\n"
            "import hashlib\n"
            "run = Run(3, draw_setup(3), make_node, True)\n"
            "print(hashlib.sha256('\\n'.join(run.execute().trace_lines).encode()).hexdigest())")
    digests = {subprocess.run([sys.executable, "-c", code], cwd=Path(__file__).parent.parent, check=True, text=True,
                              capture_output=True, env={**os.environ, "PYTHONHASHSEED": seed}).stdout
               for seed in ("1", "2")}
    assert len(digests) == 1


# --- deliberately broken decisions ---

def _ignores_its_lease(patch: pytest.MonkeyPatch) -> None:
    handle_events = PartCoordinator.handle_events
    patch.setattr(Owner, "epoch", lambda self, part, now_us: self._parts[part].epoch or None)
    patch.setattr(PartCoordinator, "handle_events", lambda self, now_us, events: handle_events(
        self, now_us, [event for event in events if not isinstance(event, Lost)]))


def _answers_before_saving(patch: pytest.MonkeyPatch) -> None:
    reply_once_saved = Node._reply_once_saved
    patch.setattr(Node, "_reply_once_saved", lambda self, now_us, answer, records, then: [
        *then(now_us), *reply_once_saved(self, now_us, answer, records, lambda _: [])])
    patch.setattr(Disk, "draw_sync_us", lambda self: 60_000)


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
def test_a_broken_decision_is_found(broken: Breakage, seeds: int, monkeypatch: pytest.MonkeyPatch) -> None:
    broken(monkeypatch)
    assert any(Run(seed, draw_setup(seed, 3), make_node).execute().rule for seed in range(seeds))


def run_with_power_losses(seed: int) -> Result:
    """Run a fleet in which all machines lose power a millisecond after a part was opened, three times."""
    run = Run(seed, replace(FAULT_FREE, faults_us=12 * S), make_node)
    on_part_opened_before, openings = run.check.on_part_opened, set[tuple[int, int]]()

    def on_part_opened(courier: str, part: int, epoch: int) -> None:
        on_part_opened_before(courier, part, epoch)
        if (part, epoch) not in openings and len(openings) < 3:
            openings.add((part, epoch))
            for machine in run.fleet.values():
                run.world.schedule_after(MS, machine.crash, True)
    run.check.on_part_opened = on_part_opened
    result = run.execute()
    assert openings
    return result


def test_a_voter_that_answers_before_saving_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    assert [run_with_power_losses(seed).text for seed in range(2)] == ["", ""]
    _answers_before_saving(monkeypatch)
    assert any(run_with_power_losses(seed).rule for seed in range(4))


def run_with_unanswered_seal(seed: int) -> Result:
    """Run a fleet in which a giver that has sent its `Seal` receives nothing from the taker for 1.4 s; 2.2 s after the
    `Seal` it crashes and stays down for 8 s."""
    run = Run(seed, replace(FAULT_FREE, messages=24, faults_us=14 * S), make_node)
    world, part = run.world, part_of(run.clients[0].channel, FAULT_FREE.parts)
    pairs: list[tuple[str, str]] = []

    def give() -> None:
        giver = run.fleet[run.current_owners()[part][0]]
        to = next(name for name in run.fleet if name != giver.name)
        giver.run_event(giver.generation,
                        lambda: giver.perform(giver.node.coordinator.give(giver.local_us(), part, to)))
        cut_off_when_sealed(giver)

    def cut_off_when_sealed(giver: Machine) -> None:
        sealed = [move.to for move in giver.node.coordinator.givers.values() if move.step is Step.HANDING]
        if not sealed:
            return world.schedule_after(MS // 2, cut_off_when_sealed, giver) \
                if world.now_us < 5 * S and giver.alive else None
        pairs.extend((to, giver.name) for to in sealed)
        world.net.blocked_links.update(pairs)
        world.schedule_after(1_400 * MS, world.net.blocked_links.difference_update, pairs)
        run.faults.downtime_us[giver.name] = 8 * S
        world.schedule_after(2_200 * MS, giver.crash)
    world.schedule_at(3 * S, give)
    result = run.execute()
    assert pairs
    return result


def test_a_giver_that_reopens_after_the_seal_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    assert [run_with_unanswered_seal(seed).text for seed in range(2)] == ["", ""]
    _reopens_after_seal(monkeypatch)
    assert any(run_with_unanswered_seal(seed).rule for seed in range(2))


def test_a_former_owner_that_takes_over_again_does_not_restore_an_old_position() -> None:
    """Guards against a fault in which the former owner's old position became the channel's, although another courier
    had served the channel in the meantime."""
    assert [run_double_takeover(seed, make_node).text for seed in (0, 3)] == ["", ""]
