"""The arithmetic of retry control, and the waits before retries."""

import math
import random

import pytest
from helpers import MS, SAFE, S, SenderDriver, sent_messages

from wheelstep import interface as api
from wheelstep.interface import Outcome
from wheelstep.policy.retry import RetryController, control_gains


def test_gains_are_those_of_equations_12_and_13() -> None:
    # nu1 = 100/s, tau = 0.2 s, phi_m = pi/4: KP = 100/1.41421, KI = 100 (pi/2) / (1.41421 * 0.2)
    kp, ki = control_gains(100.0, 0.2)
    assert kp == pytest.approx(70.7107, abs=1e-3)
    assert ki == pytest.approx(555.3604, abs=1e-3)


def test_retries_are_admitted_below_t1_and_denied_above_it_while_answers_are_to_retries() -> None:
    controller = RetryController(slots=10, t1_us=1 * S, rng=random.Random(1))
    controller.add_duration(200 * MS)
    assert all(controller.may_retry(at) for at in range(0, S, 10 * MS))
    controller.add_duration(50 * S)
    for number in range(200):
        controller.record_answer(2 * S + number * 10 * MS, to_retry=True)
    # The first goes, since none was due before it.
    assert [controller.may_retry(4 * S + at * 10 * MS) for at in range(1, 5)] == [True, False, False, False]


def test_retries_are_admitted_again_when_few_answers_are_to_retries() -> None:
    controller = RetryController(slots=10, t1_us=1 * S, rng=random.Random(1))
    controller.add_duration(2 * S)
    for number in range(400):
        controller.record_answer(number * 50 * MS, to_retry=False)
    assert [controller.may_retry(20 * S + at * 200 * MS) for at in range(5)] == [True] * 5


def test_tau_is_smoothed_by_one_over_the_slots() -> None:
    controller = RetryController(slots=4, t1_us=1 * S, rng=random.Random(1))
    controller.add_duration(100 * MS)
    controller.add_duration(500 * MS)
    assert math.isclose(controller.tau_us, 200 * MS)


def test_retry_waits_double_from_t1() -> None:
    drive = SenderDriver()
    drive.submit("m")
    t1_us, sent_us = SAFE.promise_us // 3, []
    for attempt in range(3):
        ended_us = drive.now
        drive.end("m", Outcome.CANCELLED if attempt else Outcome.FULL, attempt=attempt)
        while not sent_messages(drive.at(drive.now + 5 * MS, api.TimerFired(0))):
            pass
        sent_us.append(drive.now - ended_us)
    assert [round(wait / t1_us) for wait in sent_us] == [1, 2, 4]
