"""Scenario files and the plans drawn from them: errors name file and key, and a seed draws one plan."""

from __future__ import annotations

import pytest

from wheelstep.rehearsal import scenario
from wheelstep.rehearsal.plan import draw
from wheelstep.rehearsal.scenario import ScenarioError, parse

GOOD = """
title = "t"
rule = "lost"
length = "2s"
[[class]]
name = "pay"
[[class]]
name = "update"
effect = "keyed"
key_life = "5s"
ordered = true
[[kind]]
name = "firm"
[[partner]]
name = "alpha"
kind = "firm"
endpoints = 2
[traffic]
rate_per_s = 50
clumps = 0.3
[[fault]]
kind = "stall"
partner = "alpha"
at = ["0.5s", "1s"]
for = "1s"
every = "400ms"
"""


@pytest.mark.parametrize("old,new,where,expected", [
    ('title = "t"', 'title = "t"\ncolour = "red"', "colour", "unknown key"),
    ('length = "2s"', "length = 2", "length", "expected a number with a unit"),
    ('length = "2s"', 'length = "2 parsecs"', "length", "expected a number with a unit"),
    ('rule = "lost"', 'rule = "none"', "rule", "expected"),
    ('rule = "lost"\n', "", "rule", "missing"),
    ('partner = "alpha"', 'partner = "beta"', "fault[0].partner", "expected one of 'alpha'"),
    ('partner = "alpha"\n', "", "fault[0]", "expected the name of one"),
    ('kind = "stall"', 'kind = "earthquake"', "fault[0].kind", "expected"),
    ('every = "400ms"', 'wait = "400ms"', "fault[0]", "means nothing for a fault"),
    ('for = "1s"\n', "", "fault[0]", "expected a time"),
    ('at = ["0.5s", "1s"]', 'at = ["1s", "0.5s"]', "fault[0].at", "runs backwards"),
    ('at = ["0.5s", "1s"]', 'at = "3s"', "fault[0].at", "expected an earlier time"),
    ('kind = "stall"', 'kind = "stall"\nendpoint = 2', "fault[0].endpoint", "expected 0 to 1"),
    ('kind = "firm"\nendpoints', 'kind = "bank"\nendpoints', "partner[0].kind", "expected one of 'firm'"),
    ('key_life = "5s"\n', "", "class[1]", "expected a time where effect"),
    ('name = "update"', 'name = "pay"', "class[1].name", "expected names that differ"),
    ('endpoints = 2', "endpoints = 0", "partner[0].endpoints", "expected"),
    ('rate_per_s = 50', "rate_per_s = -1", "traffic.rate_per_s", "expected"),
    ('name = "pay"', 'name = "pay"\nkinds = ["bank"]', "class[0].kinds", "expected some of 'firm'"),
    ('[[kind]]\nname = "firm"', "", "kind", "missing"),
    ("[traffic]", "[traffic", "", "TOML"),
])
def test_an_invalid_scenario_is_reported_on_one_line_with_file_key_and_expectation(
        old: str, new: str, where: str, expected: str) -> None:
    assert old in GOOD
    with pytest.raises(ScenarioError) as error:
        parse(GOOD.replace(old, new, 1), "my.toml")
    text = str(error.value)
    assert text.startswith(f"my.toml: {where}") and expected in text and "\n" not in text


def test_a_fault_on_a_missing_courier_is_rejected() -> None:
    with pytest.raises(ScenarioError, match=r"fault\[1\].courier: 3 .* expected 0 to 0"):
        parse(GOOD + '[[fault]]\nkind = "kill"\ncourier = 3\nat = "1s"\nfor = "1s"\n', "my.toml")


def test_every_shipped_scenario_can_be_read_and_each_rule_has_two() -> None:
    found = {name: parse(text, name) for name, text in scenario.shipped().items()}
    for rule in ("lost", "twice", "drains", "returns", "order", "waits"):
        assert sum(one.rule == rule for one in found.values()) >= 2
    monday = found["monday"]
    assert 20 <= sum(partner.endpoints for partner in monday.partners) <= 26
    assert monday.couriers in (2, 3) and monday.traffic.rate_per_s == 85


def test_an_unknown_name_lists_the_shipped_scenarios() -> None:
    with pytest.raises(ScenarioError, match="expected one of .*lost-kill"):
        scenario.find("no-such")


def test_the_same_seed_draws_the_same_plan_and_another_a_different_one() -> None:
    one = parse(GOOD, "g")
    assert draw("g", one, 7).digest() == draw("g", one, 7).digest()
    assert draw("g", one, 7) == draw("g", one, 7)
    assert draw("g", one, 8).digest() != draw("g", one, 7).digest()


def test_a_plan_at_a_higher_speed_has_the_same_events_in_less_time() -> None:
    one = parse(GOOD, "g")
    slow, fast = draw("g", one, 7), draw("g", one, 7, speed=10)
    assert len(slow.arrivals) == len(fast.arrivals) > 50
    for before, after in zip(slow.arrivals, fast.arrivals, strict=True):
        assert after.at_us == pytest.approx(before.at_us / 10, abs=1)
        assert (after.key, after.size, after.work) == (before.key, before.size, before.work)
    assert fast.partners[0].pace_us == slow.partners[0].pace_us // 10
    assert fast.faults[0].at_us == pytest.approx(slow.faults[0].at_us / 10, abs=1)
    assert fast.figures.order_settle_us == slow.figures.order_settle_us // 10
    assert fast.settings["services"][0]["deadline_us"] == slow.settings["services"][0]["deadline_us"] // 10
    # Times of the machine and its sockets are not scaled.
    assert fast.figures.socket_slack_us == slow.figures.socket_slack_us
    assert fast.settings["tick_us"] == slow.settings["tick_us"]


def test_messages_of_a_key_go_to_one_courier_and_stalls_lie_inside_their_fault() -> None:
    plan = draw("g", parse(GOOD.replace('rule = "lost"', 'rule = "lost"\ncouriers = 3'), "g"), 1)
    of_key: dict[str, set[int]] = {}
    for arrival in plan.arrivals:
        if arrival.key is not None:
            of_key.setdefault(arrival.key, set()).add(arrival.courier)
    assert of_key and all(len(couriers) == 1 for couriers in of_key.values())
    fault = plan.faults[0]
    assert len(fault.stops_us) >= 2
    assert all(fault.at_us <= begin < fault.until_us and begin < end for begin, end in fault.stops_us)


def test_monday_with_one_courier_keeps_its_faults_and_room() -> None:
    """Guards against faults of couriers that the scenario with one courier doesn't have, as a replay got them from a
    recording with several couriers."""
    monday = scenario.find("monday")[1]
    one = scenario.single_courier(monday)
    assert (one.couriers, one.slots) == (1, monday.slots * monday.couriers)
    plan = draw("monday", one, 1)
    assert {index for fault in plan.faults for index in fault.couriers} == {0}
    assert sum(fault.kind in ("kill", "term") for fault in plan.faults) == 2
