"""The rig on real processes: couriers of another make on good and bad days, then ours."""

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


def stub(scene: str, what: str, size: scenes.SceneSize = SMALL) -> RunResult:
    return asyncio.run(run_scene(scenes.draw_scene(scene, 1, size), program=module_command("tests.stub_fleet", what)))


def test_a_plain_fleet_is_kept_and_its_clients_follow_owners() -> None:
    played = stub("calm", "plain")
    verdict = judge_fleet(played.history)
    assert verdict.ruling is not Ruling.BROKEN, (verdict.breaches, verdict.base.findings)
    asked = {fact.message for fact in played.history.facts if isinstance(fact, Asked)}
    touched = [fact for fact in played.history.facts if isinstance(fact, Touch)]
    assert len(asked) > 30 and {touch.message for touch in touched} == asked and played.given_up == 0
    assert {touch.courier for touch in touched} == {"c0", "c1", "c2"}
    refused = [fact for fact in played.history.facts if isinstance(fact, Heard) and fact.status == 503]
    assert refused and all(fact.owner in ("c0", "c1", "c2") for fact in refused)
    found = measure_cost(played.history, verdict)
    assert found.delivered == found.messages == len(asked) and found.changes == found.doubles == 0


def test_a_fleet_that_keeps_no_order_is_caught() -> None:
    played = stub("calm", "hasty",
                  scenes.SceneSize(couriers=3, channels=2, rate_per_s=80, length_us=S, deadline_us=3 * S))
    broken = judge_fleet(played.history).rulings
    assert broken[FleetRule.ORDER] is broken[FleetRule.GAPS] is Ruling.BROKEN


def ours(scene: str, broken: str = "") -> RunResult:
    size = scenes.SceneSize(couriers=3, channels=8, rate_per_s=40, lease_us=S, length_us=3 * S, deadline_us=5 * S // 2)
    return asyncio.run(run_scene(scenes.draw_scene(scene, 1, size), broken))


def test_three_of_ours_keep_every_rule_while_an_owner_is_killed() -> None:
    played = ours("killed")
    verdict = judge_fleet(played.history)
    assert verdict.ruling is not Ruling.BROKEN, (verdict.breaches, verdict.base.findings)
    assert set(verdict.rulings.values()) == {Ruling.KEPT}
    gone = [fact for fact in played.history.facts if isinstance(fact, Gone)]
    assert [fact.disk for fact in gone] == [True]
    found = measure_cost(played.history, verdict)
    assert 0 < found.delivered <= found.messages
    touched = {fact.courier for fact in played.history.facts if isinstance(fact, Touch) and
               gone[0].begin_us < fact.first_us < gone[0].end_us}
    assert gone[0].courier not in touched and touched  # others went on


def test_one_of_ours_that_skips_gaps_is_caught() -> None:
    verdict = judge_fleet(ours("gaps", "skips-gaps").history)
    assert verdict.rulings[FleetRule.GAPS] is Ruling.BROKEN


def test_every_broken_courier_has_its_breaker_and_its_scene() -> None:
    assert patches().keys() == BROKEN_COURIERS.keys()
    assert {build.scene for build in BROKEN_COURIERS.values()} <= scenes.SCENES.keys()


def test_a_scene_is_its_seeds() -> None:
    assert scenes.draw_scene("halves", 3, SMALL).digest() == scenes.draw_scene("halves", 3, SMALL).digest()
    assert scenes.draw_scene("halves", 3, SMALL).digest() != scenes.draw_scene("halves", 4, SMALL).digest()
    for name in scenes.SCENES:
        for couriers in (3, 5, 12):
            scene = scenes.draw_scene(name, 1, scenes.SceneSize(couriers=couriers, rate_per_s=2))
            assert len(scene.voters) in (3, 5) and scene.plan.couriers == len(scene.names) >= couriers


@pytest.mark.parametrize("scene,couriers,gone", [("single", 3, 1), ("halves", 3, 1), ("one-way", 3, 1),
                                                 ("one-link", 3, 0), ("stalled", 5, 0)])
def test_who_is_cut_off_from_a_majority(scene: str, couriers: int, gone: int) -> None:
    drawn = scenes.draw_scene(scene, 1, scenes.SceneSize(couriers=couriers))
    assert len(drawn.without_majority(drawn.faults[0].links)) == gone


def test_the_spread_of_spans() -> None:
    assert percentiles([]) == (0, 0, 0)
    assert percentiles(list(range(1, 101))) == (50, 99, 100)
