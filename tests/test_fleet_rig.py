"""The rig on real processes: correct and incorrect stub couriers, then ours."""

from __future__ import annotations

import asyncio

import pytest

from wheelstep.rehearsal.fleet import scenes
from wheelstep.rehearsal.fleet.broken import BROKEN_COURIERS, patches
from wheelstep.rehearsal.fleet.evidence import FleetRule
from wheelstep.rehearsal.fleet.figures import measure_cost, percentiles
from wheelstep.rehearsal.fleet.history import Asked, Gone, Heard, Touch
from wheelstep.rehearsal.fleet.judge import judge_fleet
from wheelstep.rehearsal.fleet.rig import RunResult, run_scene
from wheelstep.rehearsal.judge import Ruling
from wheelstep.rehearsal.rig import module_command

S = 1_000_000
SMALL = scenes.SceneSize(couriers=3, channels=8, rate_per_s=40, lease_us=S // 2, length_us=3 * S // 2,
                         deadline_us=2 * S)


def run_stub(scene: str, variant: str, size: scenes.SceneSize = SMALL) -> RunResult:
    return asyncio.run(run_scene(scenes.draw_scene(scene, 1, size),
                                 program=module_command("tests.stub_fleet", variant)))


def test_correct_stub_fleet_is_kept_and_clients_follow_owners() -> None:
    result = run_stub("calm", "plain")
    verdict = judge_fleet(result.history)
    assert verdict.ruling is not Ruling.BROKEN, (verdict.breaches, verdict.base.findings)
    asked = {fact.message for fact in result.history.facts if isinstance(fact, Asked)}
    calls = [fact for fact in result.history.facts if isinstance(fact, Touch)]
    assert len(asked) > 30 and {touch.message for touch in calls} == asked and result.given_up == 0
    assert {touch.courier for touch in calls} == {"c0", "c1", "c2"}
    refused = [fact for fact in result.history.facts if isinstance(fact, Heard) and fact.status == 503]
    assert refused and all(fact.owner in ("c0", "c1", "c2") for fact in refused)
    figures = measure_cost(result.history, verdict)
    assert figures.delivered == figures.messages == len(asked) and figures.changes == figures.doubles == 0


def test_stub_fleet_without_order_breaks_order_and_gaps() -> None:
    result = run_stub("calm", "hasty",
                  scenes.SceneSize(couriers=3, channels=2, rate_per_s=80, length_us=S, deadline_us=3 * S))
    broken = judge_fleet(result.history).rulings
    assert broken[FleetRule.ORDER] is broken[FleetRule.GAPS] is Ruling.BROKEN


def run_fleet(scene: str, broken: str = "") -> RunResult:
    size = scenes.SceneSize(couriers=3, channels=8, rate_per_s=40, lease_us=S, length_us=3 * S, deadline_us=5 * S // 2)
    return asyncio.run(run_scene(scenes.draw_scene(scene, 1, size), broken))


def test_fleet_of_three_keeps_every_rule_while_a_courier_is_killed() -> None:
    result = run_fleet("killed")
    verdict = judge_fleet(result.history)
    assert verdict.ruling is not Ruling.BROKEN, (verdict.breaches, verdict.base.findings)
    assert set(verdict.rulings.values()) == {Ruling.KEPT}
    unavailable = [fact for fact in result.history.facts if isinstance(fact, Gone)]
    assert [fact.disk for fact in unavailable] == [True]
    figures = measure_cost(result.history, verdict)
    assert 0 < figures.delivered <= figures.messages
    calls = {fact.courier for fact in result.history.facts if isinstance(fact, Touch) and
               unavailable[0].begin_us < fact.first_us < unavailable[0].end_us}
    assert unavailable[0].courier not in calls and calls  # other couriers continued


def test_fleet_that_skips_gaps_breaks_gaps() -> None:
    verdict = judge_fleet(run_fleet("gaps", "skips-gaps").history)
    assert verdict.rulings[FleetRule.GAPS] is Ruling.BROKEN


def test_every_broken_courier_has_a_patch_and_a_scene() -> None:
    assert patches().keys() == BROKEN_COURIERS.keys()
    assert {build.scene for build in BROKEN_COURIERS.values()} <= scenes.SCENES.keys()


def test_scene_depends_on_its_seed_only() -> None:
    assert scenes.draw_scene("halves", 3, SMALL).digest() == scenes.draw_scene("halves", 3, SMALL).digest()
    assert scenes.draw_scene("halves", 3, SMALL).digest() != scenes.draw_scene("halves", 4, SMALL).digest()
    for name in scenes.SCENES:
        for couriers in (3, 5, 12):
            scene = scenes.draw_scene(name, 1, scenes.SceneSize(couriers=couriers, rate_per_s=2))
            assert len(scene.voters) in (3, 5) and scene.plan.couriers == len(scene.names) >= couriers


@pytest.mark.parametrize("scene,couriers,isolated", [("single", 3, 1), ("halves", 3, 1), ("one-way", 3, 1),
                                                     ("one-link", 3, 0), ("stalled", 5, 0)])
def test_without_majority_counts_the_couriers_that_a_cut_isolates(scene: str, couriers: int, isolated: int) -> None:
    scene_drawn = scenes.draw_scene(scene, 1, scenes.SceneSize(couriers=couriers))
    assert len(scene_drawn.without_majority(scene_drawn.faults[0].links)) == isolated


def test_percentiles_of_spans() -> None:
    assert percentiles([]) == (0, 0, 0)
    assert percentiles(list(range(1, 101))) == (50, 99, 100)
