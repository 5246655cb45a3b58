"""Failures found in rehearsals under load, one test for each: windows, queues, settings and deadlines."""

import subprocess
import sys

import pytest
from helpers import KEYED, MS, SAFE, UNSAFE, S, SenderDriver, final_answers, info, sent_messages

from wheelstep import Settings
from wheelstep import interface as api
from wheelstep.interface import Outcome


def test_the_window_starts_at_a_quarter_of_the_slots() -> None:
    drive = SenderDriver(slots=16)
    for number in range(20):
        drive.submit(f"m{number}")
    assert len(sent_messages(drive.actions)) == 4


def test_with_one_slot_the_next_message_is_sent_when_the_first_is_delivered() -> None:
    drive = SenderDriver(slots=1)
    for number in range(3):
        drive.submit(f"m{number}")
    assert sent_messages(drive.actions) == ["m0"]
    assert sent_messages(drive.end("m0", Outcome.OK)) == ["m1"]


def test_a_lost_answer_does_not_hold_a_slot_for_the_whole_deadline() -> None:
    drive = SenderDriver(classes=(api.MessageClass(2 * S, 60 * S, api.Effect.UNSAFE),))
    drive.submit("m", left_us=60 * S)
    start = next(a for a in drive.actions if isinstance(a, api.StartAttempt))
    assert start.timeout_us <= 10 * S


def test_a_time_out_at_a_messages_own_deadline_does_not_shrink_the_window() -> None:
    drive = SenderDriver(slots=16)
    for number in range(4):
        drive.submit(f"m{number}", left_us=300 * MS)
    drive.tick(300 * MS)
    for number in range(4):
        drive.end(f"m{number}", Outcome.TIMEOUT, spent_us=300 * MS)
    before = len(sent_messages(drive.actions))
    for number in range(4, 12):
        drive.submit(f"m{number}")
    assert len(sent_messages(drive.actions)) - before == 4


def test_a_backlog_of_one_destination_does_not_displace_messages_of_others() -> None:
    drive = SenderDriver(listed=False, hold_limit=20)
    drive.members(info("e0", 7), info("f0", 8))
    for number in range(18):
        drive.submit(f"stuck{number}", destination=7)
    for number in range(10):
        drive.submit(f"live{number}", destination=8)
        drive.end(f"live{number}", Outcome.OK, endpoint="f0")
    handed_back = [name for _, name in final_answers(drive.actions)]
    assert not [name for name in handed_back if name.startswith("live")]


def test_a_call_holds_as_many_messages_as_its_kind_allows() -> None:
    drive = SenderDriver(kinds=(api.DestinationKind(per_call=5),), slots=4)
    events: list[api.Event] = [api.MessageAccepted(f"m{i}", 0, 7, 20 * S) for i in range(7)]
    assert len(sent_messages(drive.at(0, *events))) == 5


def test_a_free_slot_goes_to_the_message_of_the_highest_worth() -> None:
    drive = SenderDriver(classes=(SAFE, KEYED, UNSAFE), slots=1)
    drive.submit("first")
    for number, name in enumerate(("low", "middle", "high")):
        drive.submit(name, cls=number)
    drive.now = 1 * S
    assert sent_messages(drive.end("first", Outcome.OK)) == ["high"]


def test_a_free_route_is_used_before_one_with_a_fee() -> None:
    drive = SenderDriver(listed=False, kinds=(api.DestinationKind(routes_apart=True),), zone_fees=(0.06, 0.0))
    drive.members(info("paid", zone=0), info("free", zone=1))
    for number in range(3):
        drive.submit(f"m{number}")
    assert {a.endpoint for a in drive.actions if isinstance(a, api.StartAttempt)} == {"free"}


def test_an_unavailable_list_is_requested_again() -> None:
    drive = SenderDriver(ask_for_list=True, ask_within_us=10 * S)
    assert any(isinstance(a, api.Subscribe) for a in drive.actions)
    drive.at(0, api.MembershipReceived(api.ListKind.UNAVAILABLE))
    assert any(isinstance(a, api.Subscribe) for a in drive.tick(2 * S))


@pytest.mark.parametrize("field, value", [
    ("slots", 0), ("hold_limit", 0), ("cold_from", 0.0), ("classes", ()), ("fall_multiple", 0.0),
    ("classes", (api.MessageClass(0, 1, api.Effect.SAFE),)),
])
def test_an_invalid_setting_raises_an_error_that_names_the_field(field: str, value: object) -> None:
    given: dict[str, object] = {"classes": (SAFE,), "slots": 4, field: value}
    with pytest.raises(ValueError, match=field):
        SenderDriver(**{"listed": False, **given})  # type: ignore[arg-type]


def test_a_sender_with_minimal_settings_handles_a_message() -> None:
    from wheelstep import Sender

    sender = Sender(Settings(classes=(SAFE,), slots=1), 0)
    assert sender.handle(0, [api.MessageAccepted("m", 0, 1, 5 * S)])


SCRIPT = """
import sys; sys.path[:0] = ["tests", "."]
from helpers import SenderDriver, S, MS, sent_messages
from wheelstep.interface import Outcome
drive = SenderDriver(endpoints=3)
for number in range(40):
    drive.submit(f"m{number}", cls=number % 4, key=f"k{number % 3}", destination=7)
    for name in sent_messages(drive.actions[-3:]):
        drive.end(name, list(Outcome)[number % 8])
    drive.tick(drive.now + 300 * MS)
print(drive.actions)
"""


def test_the_actions_do_not_depend_on_the_hash_seed() -> None:
    outputs = {
        subprocess.run([sys.executable, "-c", SCRIPT], env={"PYTHONHASHSEED": seed}, text=True,
                       capture_output=True, check=True).stdout
        for seed in ("0", "1", "77")
    }
    assert len(outputs) == 1 and "StartAttempt" in outputs.pop()


def test_a_new_message_with_little_time_left_is_not_late_at_once() -> None:
    drive = SenderDriver()
    for number in range(2):
        drive.submit(f"m{number}")
        drive.end(f"m{number}", Outcome.CONNECT_FAILED)
    drive.at(19 * S, api.MessageWithdrawn("m0"), api.MessageWithdrawn("m1"))  # sick, and a trial is due
    assert not sent_messages(drive.submit("new", cls=2, left_us=5 * S))
    assert sent_messages(drive.submit("again", cls=2, left_us=5 * S, resubmitted=True)) == ["again"]


def test_a_withdrawn_message_frees_its_slot_when_its_attempt_ends() -> None:
    drive = SenderDriver(slots=1)
    drive.submit("a")
    drive.submit("b")
    assert not sent_messages(drive.at(1 * S, api.MessageWithdrawn("a")))
    assert sent_messages(drive.end("a", Outcome.TIMEOUT)) == ["b"]
    assert not final_answers(drive.actions)


def test_messages_wait_and_are_refused_when_all_endpoints_are_gone() -> None:
    drive = SenderDriver()
    drive.members(info("other", 8))
    drive.submit("m", left_us=3 * S)
    assert not sent_messages(drive.tick(2_900 * MS)) and final_answers(drive.tick(3 * S)) == [("Refuse", "m")]


@pytest.mark.parametrize("weight", [0.0, 0.5])
def test_a_limit_of_zero_or_under_a_call_a_second_does_not_stop_a_sender(weight: float) -> None:
    drive = SenderDriver(senders=300, weights_are_rates=True, listed=False)
    drive.members(info("e0", weight=weight))
    assert sent_messages(drive.submit("m")) == ["m"]
    drive.end("m", Outcome.OK)
    drive.submit("n")
    assert "n" in sent_messages(drive.actions + drive.tick(5 * S))


def test_a_message_that_its_destination_accepts_no_more_ends_at_once() -> None:
    drive = SenderDriver()
    drive.submit("m")
    actions = drive.end("m", api.Outcome.NOT_SENT, exhausted=True)
    assert final_answers(actions) == [("Refuse", "m")]


def test_when_slots_are_short_the_destination_that_uses_them_for_longer_waits() -> None:
    """Guards against a destination that becomes slow, fills half of the slots with its queue and blocks the others."""
    d = SenderDriver(listed=False, slots=8)
    d.members(info("slow", 7), info("fast", 8))
    for name, spent_us in (("slow", 700 * MS), ("fast", 50 * MS)):
        for number in range(8):
            d.submit(f"{name}{number}", destination=7 if name == "slow" else 8)
            d.now += spent_us
            d.end(f"{name}{number}", Outcome.OK, endpoint=name, spent_us=spent_us)
    for number in range(8):
        d.submit(f"s{number}", destination=7)
        d.submit(f"f{number}", destination=8)
    out = [name for name in ("s", "f") for number in range(8) if f"{name}{number}" in sent_messages(d.actions)]
    assert len(out) == 8
    d.end("s0", Outcome.OK, endpoint="slow", spent_us=700 * MS)
    assert sent_messages(d.actions)[-1].startswith("f")
