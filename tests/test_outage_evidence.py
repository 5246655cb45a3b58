"""An outage is told from bad luck by outcomes in the order in which the calls were sent, in large destinations, too."""

from __future__ import annotations

from typing import Any

import pytest
from helpers import MS, S
from returning_scene import Trouble
from returning_world import World
from test_returning_endpoints import check

from wheelstep.policy.outage import OutageEvidence

SMALL, LARGE = {"queue": 8}, {"queue": 8, "servers": 12, "slots": 240}
MEDIUM, THREE = {"queue": 8, "servers": 6, "slots": 90}, {"queue": 8, "endpoints": 3, "slots": 180}
SEEDS = tuple(range(100, 108))


@pytest.mark.parametrize("scene", [SMALL, MEDIUM, LARGE, THREE])
def test_answers_of_calls_from_before_an_outage_do_not_hide_it(scene: dict[str, Any]) -> None:
    """Guards against errors that pass for bad luck, as calls that were sent before them still succeed."""
    for seconds in (0.7, 1, 1.5):
        check(Trouble("errors", seconds), *SEEDS, **scene)


@pytest.mark.parametrize("scene", [LARGE, THREE])
def test_a_large_destination_that_fails_most_calls_ramps_up(scene: dict[str, Any]) -> None:
    """Guards against three failures in four that pass for bad luck, since many calls are out at any moment."""
    for seconds in (1.5, 3, 6):
        check(Trouble("most", seconds), 0, 1, *SEEDS[:4], **scene)


@pytest.mark.parametrize("scene", [MEDIUM, LARGE, THREE])
def test_a_destination_that_refuses_all_calls_was_shut_and_ramps_up(scene: dict[str, Any]) -> None:
    """Guards against a shut destination that passes for a busy one, though no call of ours is in it."""
    for seconds in (0.7, 1.5):
        check(Trouble("shut", seconds), *SEEDS[:4], **scene)


@pytest.mark.parametrize("scene", [SMALL, MEDIUM, LARGE, THREE])
def test_calls_without_an_answer_that_are_reset_together_show_silence(scene: dict[str, Any]) -> None:
    """Guards against silence that ends before its calls are overdue, and passes for connections lost at one moment."""
    for seconds in (1, 1.5, 2):
        check(Trouble("lost", seconds), 0, 1, *SEEDS[:4], **scene)


@pytest.mark.parametrize("scene", [SMALL, LARGE, {"queue": 2}, {"senders": 3, "slots": 20}])
def test_a_busy_destination_that_refuses_calls_is_not_ramped_up(scene: dict[str, Any]) -> None:
    """Guards against refusals of a full queue that pass for an outage, while calls of ours are in it."""
    for load in (1.3, 2.0):
        world = World(SEEDS[0], Trouble("unlucky", 20, share=0.0), load=load, **scene)
        world.run()
        assert world.ramps == 0


@pytest.mark.parametrize("scene", [SMALL, LARGE, THREE])
def test_one_failure_in_ten_is_bad_luck_however_fast_the_calls_follow(scene: dict[str, Any]) -> None:
    """Guards against quick failures that count before the successes of the calls between them are known."""
    for seed in (*SEEDS, 131):
        world = World(seed, Trouble("unlucky", 20, share=0.1), load=0.75, **scene)
        world.run()
        assert world.ramps == 0


class SentCall:
    """A call in progress."""

    def __init__(self, sent_us: int) -> None:
        self.sent_us = sent_us


def test_a_success_of_a_call_from_before_the_failures_takes_no_evidence_away() -> None:
    evidence = OutageEvidence()
    for number in range(3):
        evidence.record_failures(S + number * 100 * MS, sent_us=S + number * 100 * MS - 5 * MS)
        evidence.record_success(S - 10 * MS)
    assert evidence.precedes(S - 10 * MS) and not evidence.precedes(S)
    evidence.record_failures(S + 300 * MS, sent_us=S + 295 * MS)
    assert evidence.conclusive


def test_a_call_that_is_out_counts_as_a_success_until_it_is_late() -> None:
    for age_us, conclusive in ((10 * MS, False), (200 * MS, True)):
        evidence, now_us = OutageEvidence(), 2 * S
        evidence.calls_out["e0"] = [SentCall(now_us - age_us) for _ in range(3)]
        for number in range(4):
            failed_us = now_us - (3 - number) * 100 * MS
            evidence.record_failures(failed_us, sent_us=failed_us - 5 * MS, late_us=150 * MS)
        assert evidence.conclusive is conclusive


def test_failures_at_once_show_an_outage_if_their_calls_were_sent_after_the_first_one_failed() -> None:
    for sent_after_us, conclusive in ((-20 * MS, False), (MS, True)):
        evidence = OutageEvidence()
        for number in range(6):
            failed_us = S + number * 10 * MS
            sent_us = S + sent_after_us + number * MS if number else S - 5 * MS
            evidence.record_failures(failed_us, sent_us=min(sent_us, failed_us))
        assert evidence.conclusive is conclusive
