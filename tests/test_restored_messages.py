"""What a process that starts does with the messages and the health that an earlier one noted."""

from helpers import MS, S, SenderDriver, final_answers, sent_messages

from wheelstep import interface as api


def test_a_restored_message_that_may_have_run_is_sent_only_where_a_repeat_is_harmless() -> None:
    drive = SenderDriver()
    accepted = api.MessageAccepted("u", 2, 7, 10 * S, resubmitted=True)
    actions = drive.at(S, api.MessageRestored(accepted, attempts=1, ran_ago_us=2 * S))
    assert final_answers(actions) == [("Fail", "u")] and not sent_messages(actions)
    accepted = api.MessageAccepted("k", 1, 7, 10 * S, resubmitted=True)
    actions = drive.at(S, api.MessageRestored(accepted, attempts=1, ran_ago_us=4 * S))
    assert sent_messages(actions) == ["k"]
    accepted = api.MessageAccepted("late", 1, 7, 10 * S, resubmitted=True)
    actions = drive.at(S, api.MessageRestored(accepted, attempts=1, ran_ago_us=5 * S))
    assert not sent_messages(actions) and final_answers(actions) == [("Refuse", "late")]
    accepted = api.MessageAccepted("unrun", 2, 7, 10 * S, resubmitted=True)
    assert sent_messages(drive.at(S, api.MessageRestored(accepted, attempts=3))) == ["unrun"]


def test_restored_messages_of_a_key_keep_their_order_and_its_settling_time() -> None:
    drive = SenderDriver(order_settle_us=300 * MS)
    first, second = (api.MessageAccepted(name, 3, 7, 10 * S, "key", True) for name in ("a", "b"))
    actions = drive.at(S, api.MessageRestored(first, 1, 2 * S), api.MessageRestored(second))
    assert sent_messages(actions) == ["a"]
    drive.now += 10 * MS
    assert not sent_messages(drive.end("a", api.Outcome.OK, attempt=1))
    assert sent_messages(drive.tick(drive.now + 400 * MS)) == ["b"]
    assert drive.now >= S + 300 * MS


def test_a_noted_sick_endpoint_gets_only_trials_from_the_next_process() -> None:
    before = SenderDriver()
    for name in "abc":
        before.submit(name)
        before.end(name, api.Outcome.CONNECT_FAILED)
    notes = [a for a in before.actions if isinstance(a, api.NoteHealth)]
    assert notes and notes[-1].endpoint == "e0" and notes[-1].health.sick
    after, fresh = SenderDriver(), SenderDriver()
    after.at(0, api.HealthRestored("e0", notes[-1].health, S))
    first = [api.MessageAccepted(name, 0, 7, 20 * S) for name in "defgh"]
    assert len(sent_messages(fresh.at(MS, *first))) > 1
    assert sent_messages(after.at(MS, *first)) == []
    assert sent_messages(after.tick(2 * S))[:1] == ["d"]  # as a trial


def test_a_ramp_continues_after_a_restart() -> None:
    drive, well = SenderDriver(), SenderDriver()
    drive.at(0, api.HealthRestored("e0", api.Health(False, True, 2.0, 1.5), 2 * S))
    messages = [api.MessageAccepted(f"m{i}", 0, 7, 20 * S) for i in range(12)]
    assert len(sent_messages(well.at(0, *messages))) > len(sent_messages(drive.at(0, *messages)))
    late = SenderDriver()
    late.at(0, api.HealthRestored("e0", api.Health(False, True, 2.0, 1.5), 10 * S))
    assert len(sent_messages(late.at(0, *messages))) == len(sent_messages(well.actions))
