"""The router's decisions: each row of the design note's decision table, and the difficult cases."""

from __future__ import annotations

import itertools
from typing import Any

import pytest

from wheelstep.shards.hosting import ShardPhase
from wheelstep.shards.router import (
    Answer,
    Ask,
    BeGuest,
    Decision,
    NoAnswer,
    Request,
    Retry,
    Router,
    Take,
    View,
    Wait,
)

S = 1_000_000
ELSEWHERE = {"phase": None, "home": "b", "owes_key": False, "owed_elsewhere_us": 0, "guest_room": True}


def view(**changes: Any) -> View:
    """What a courier knows of a shard that is home at b, with changes."""
    return View(**{**ELSEWHERE, **changes})


def message(name: str = "m", key: str | None = None, until_us: int = 10 * S) -> Request:
    """A message of destination 1."""
    return Request(name, 1, 0, "x", key, until_us)


def router(**settings: int) -> Router:
    """The router of courier a."""
    return Router("a", S, **settings)


HOME = view(phase=ShardPhase.HOME, home="a")
LATER = Retry(S, "key passed on may be open")


@pytest.mark.parametrize(("seen", "key", "decision"), [
    (HOME, None, Take(False)),
    (HOME, "k", Take(False)),
    (view(phase=ShardPhase.HOME, home="a", owed_elsewhere_us=300), "k", Retry(300, "key owed by its former home")),
    (view(phase=ShardPhase.HOME, home="a", owed_elsewhere_us=9 * S), "k", Retry(S, "key owed by its former home")),
    (view(phase=ShardPhase.OPENING, home="a"), None, Wait()),
    (view(home="a"), None, Wait()),  # the view is ahead of the shard's phase
    (view(phase=ShardPhase.LEAVING, owes_key=True), "k", Take(True)),
    (view(phase=ShardPhase.GUEST, owes_key=True), "k", Take(True)),
    (view(phase=ShardPhase.LEAVING), "k", Ask("b")),
    (view(phase=ShardPhase.GUEST, has_rows=True), None, Ask("b")),  # the home is back
    (view(), None, Ask("b")),
    (view(home=None), None, BeGuest()),
    (view(home=None, phase=ShardPhase.GUEST, has_rows=True), None, Take(True)),
    (view(home=None, phase=ShardPhase.GUEST, guest_room=False), None, BeGuest()),
    (view(home=None, guest_room=False), None, Retry(S, "no room for a guest shard")),
    (view(home=None, owed_elsewhere_us=7), "k", Retry(7, "key owed by its former home")),
])
def test_decision_about_a_message_no_courier_was_asked_to_take(seen: View, key: str | None, decision: Decision) -> None:
    """The decision table, row by row."""
    assert router().decide(0, message(key=key), seen) == decision


@pytest.mark.parametrize(("answer", "seen", "decision"), [
    (Answer.TAKEN, view(), None), (Answer.KNOWN, view(), None), (Answer.FULL, view(), None),
    (Answer.BAD, view(), None), (Answer.SILENT, view(), NoAnswer("no answer in time")),
    (Answer.NOT_ASKED, view(), BeGuest()), (Answer.AWAY, view(), BeGuest()),
    (Answer.AWAY, view(home="c"), BeGuest()),  # neither believes it is home: not asked of a second one
    (Answer.AWAY, HOME, Take(False)), (Answer.AWAY, view(phase=ShardPhase.OPENING, home="a"), Wait()),
    (Answer.AWAY, view(guest_room=False), Retry(S, "no room for a guest shard")),
])
def test_decision_after_the_result_of_an_ask(answer: Answer, seen: View, decision: Decision | None) -> None:
    """In particular never a second ask."""
    mine = router()
    assert mine.decide(0, message(), view()) == Ask("b")
    assert mine.answered(1, message(), "b", answer, seen) == decision
    assert mine.counts["asked"] == mine.counts[f"answer:{answer.value}"] == 1


@pytest.mark.parametrize("phases", list(itertools.product([*ShardPhase, None], repeat=2)))
def test_no_sequence_of_results_and_views_asks_twice(phases: tuple[ShardPhase | None, ShardPhase | None]) -> None:
    """Two asks for one hand-in could be taken at two couriers."""
    two_homes = list(itertools.product(["a", "b", "c", None], repeat=2))
    for answer, homes, key in itertools.product(Answer, two_homes, ["k", None]):
        mine = router()
        assert mine.decide(0, message(key=key), view()) == Ask("b")
        decision = mine.answered(1, message(key=key), "b", answer, view(phase=phases[0], home=homes[0]))
        assert not isinstance(decision, Ask)
        if isinstance(decision, Wait | BeGuest):  # the client still waits: and its next way is none either
            assert not isinstance(mine.decide(2, message(key=key), view(phase=phases[1], home=homes[1])), Ask)


@pytest.mark.parametrize("phase", [*ShardPhase, None])
def test_an_asked_courier_never_passes_a_message_on(phase: ShardPhase | None) -> None:
    """Two couriers with different views would send it in circles."""
    for home, key, owes in itertools.product(["a", "b", "c", None], ["k", None], [True, False]):
        decision = router().asked(0, message(key=key), view(phase=phase, home=home, owes_key=owes))
        match phase:
            case ShardPhase.HOME:
                assert decision == Take(False)
            case ShardPhase.OPENING:
                assert decision == Retry(S, "not open yet")
            case ShardPhase.LEAVING | ShardPhase.GUEST:
                assert decision == (Take(True) if owes else None)
            case None:  # as a courier without a list
                assert decision is None


def test_couriers_that_both_consider_themselves_home_take_without_asking() -> None:
    """Otherwise they would pass a message to and fro while views differ."""
    for name in "ab":
        mine = Router(name, S)
        assert mine.decide(0, message(), view(phase=ShardPhase.HOME, home=name)) == Take(False)
        assert mine.asked(0, message("other"), view(phase=ShardPhase.HOME, home=name)) == Take(False)


def test_an_id_in_doubt_is_asked_of_its_courier_only_until_its_deadline() -> None:
    """Any other courier might take it a second time."""
    mine = router()
    mine.decide(0, message(), view())
    mine.answered(1, message(), "b", Answer.SILENT, view())
    for now_us, answer in enumerate([Answer.AWAY, Answer.NOT_ASKED, Answer.FULL, Answer.BAD, Answer.SILENT], 2):
        assert mine.decide(now_us, message(), HOME) == Ask("b")  # also where this courier is home by now
        assert isinstance(mine.answered(now_us, message(), "b", answer, HOME), NoAnswer)
    assert mine.asked(9, message(), HOME) == NoAnswer("may have been taken")
    assert mine.decide(10 * S - 1, message(), HOME) == Ask("b")
    assert mine.answered(10 * S - 1, message(), "b", Answer.TAKEN, HOME) is None
    mine.decide(20 * S, message("n", until_us=21 * S), view())
    mine.answered(20 * S, message("n", until_us=21 * S), "b", Answer.SILENT, view())
    assert mine.decide(21 * S, message("n", until_us=21 * S), HOME) == Take(False)


def test_a_late_taken_result_keeps_the_id_with_its_courier() -> None:
    mine = router()
    mine.decide(0, message(), view())
    mine.answered(1, message(), "b", Answer.SILENT, view())
    assert mine.answered(2, message(), "b", Answer.TAKEN, view()) is None
    assert mine.decide(3, message(), view(home=None)) == Ask("b")  # it has it, whoever is home
    assert mine.answered(4, message(), "b", Answer.AWAY, view(home=None)) == NoAnswer("may have been taken")


def test_an_ask_without_a_reported_result_becomes_in_doubt() -> None:
    """Its courier may have taken the message."""
    mine = router()
    mine.decide(0, message(), view())
    assert mine.decide(1, message(), view()) == NoAnswer("under way")  # another client, at the same moment
    assert mine.decide(5 * S, message(), view(home="c")) == Ask("b") and mine.counts["never_answered"] == 1


def test_an_id_taken_here_is_never_asked_elsewhere_unless_the_desk_refused_it() -> None:
    """A retry after its end would be taken twice."""
    mine = router()
    assert mine.decide(0, message(), view(home=None, phase=ShardPhase.GUEST, has_rows=True)) == Take(True)
    assert mine.decide(1, message(), view()) == BeGuest()  # it has ended here, and its client has not heard so
    mine = router()
    assert mine.decide(0, message(), HOME) == Take(False)
    mine.take_refused("m")
    assert mine.decide(1, message(), view()) == Ask("b")


def test_at_its_limit_of_doubts_a_router_asks_for_no_new_id() -> None:
    """A doubt that cannot be recorded could be taken twice."""
    mine = router(max_doubts=2)
    for name in "mn":
        mine.decide(0, message(name), view())
    mine.answered(1, message("m"), "b", Answer.SILENT, view())
    assert mine.decide(1, message("o"), view()) == Retry(S, "too many in doubt")
    assert mine.decide(1, message("o"), view(home=None)) == Retry(S, "too many in doubt")  # nor waits for rows
    assert mine.decide(1, message("m"), view()) == Ask("b")
    assert mine.decide(10 * S, message("o", until_us=20 * S), view(home="c")) == Ask("c")


def test_a_key_passed_on_stays_with_its_courier_until_deadline_and_settle_time() -> None:
    """Elsewhere a later message could overtake it."""
    for answer in (Answer.TAKEN, Answer.KNOWN, Answer.SILENT):
        mine = router()
        mine.decide(0, message("m1", "k"), view())
        mine.answered(1, message("m1", "k"), "b", answer, view())
        later = message("m2", "k", 30 * S)
        for seen in (view(home="c"), HOME, view()):
            assert mine.decide(2, later, seen) == Ask("b")
            assert mine.answered(3, later, "b", Answer.NOT_ASKED, seen) == LATER
        assert mine.decide(4, message("m3", "other"), view(home="c")) == Ask("c")
        assert mine.decide(11 * S - 1, later, view(home="c")) == Ask("b")
        mine.answered(11 * S - 1, later, "b", Answer.NOT_ASKED, view(home=None))
        assert mine.decide(11 * S, later, view(home="c")) == Ask("c")


def test_away_releases_a_key_unless_an_ask_of_it_went_unanswered() -> None:
    """A lost ask may arrive after the `AWAY`."""
    for first, then in ((Answer.TAKEN, Ask("c")), (Answer.SILENT, Ask("b"))):
        mine = router()
        mine.decide(0, message("m1", "k"), view())
        mine.answered(1, message("m1", "k"), "b", first, view())
        assert mine.decide(2, message("m2", "k"), view(home="c")) == Ask("b")
        decision = mine.answered(3, message("m2", "k"), "b", Answer.AWAY, view(home="c"))
        assert isinstance(decision, Retry) and decision.after_us == (50_000 if first is Answer.TAKEN else S)
        assert mine.decide(4, message("m2", "k"), view(home="c")) == then


def test_a_handover_releases_keys_passed_on_to_the_former_home() -> None:
    """The handover tells which keys are still owed there."""
    mine = router()
    mine.decide(0, message("m1", "k"), view())
    mine.answered(1, message("m1", "k"), "b", Answer.TAKEN, view())
    mine.handed_over(2, 5, "b")
    assert mine.decide(3, message("m2", "k"), HOME) == Ask("b")  # another shard's
    mine.answered(3, message("m2", "k"), "b", Answer.NOT_ASKED, HOME)
    mine.handed_over(4, 0, "b")
    assert mine.decide(5, message("m2", "k"), HOME) == Take(False)


def test_keys_beyond_the_limit_are_passed_on_but_never_taken_as_guest() -> None:
    """A key not remembered may be open elsewhere."""
    mine = router(max_passed=1)
    for number, until_us in ((1, 10 * S), (2, 12 * S)):
        mine.decide(0, message(f"m{number}", f"k{number}", until_us), view())
        mine.answered(1, message(f"m{number}", f"k{number}", until_us), "b", Answer.TAKEN, view())
    assert mine.sizes()["passed"] == 1
    too_many = Retry(S, "too many keys passed on")
    assert mine.decide(13 * S - 1, message("m3", "k3", 99 * S), view(home=None)) == too_many
    assert mine.decide(13 * S - 1, message("m4", None, 99 * S), view(home=None)) == BeGuest()
    assert mine.decide(13 * S, message("m3", "k3", 99 * S), view(home=None)) == BeGuest()


def test_a_courier_silent_three_times_gets_one_trial_a_second_until_it_answers() -> None:
    """Otherwise each message waits for it."""
    mine = router()
    names = (f"m{number}" for number in itertools.count())

    def ask(now_us: int, answer: Answer) -> bool:
        new = message(next(names))
        if mine.decide(now_us, new, view()) != Ask("b"):
            return False
        mine.answered(now_us, new, "b", answer, view())
        return True
    assert [ask(now, Answer.SILENT) for now in range(5)] == [True, True, True, False, False]
    assert mine.decide(S + 2, message("trial"), view()) == Ask("b")
    assert not ask(S + 2, Answer.TAKEN)  # one trial at a time
    mine.answered(S + 3, message("trial"), "b", Answer.SILENT, view())
    assert not ask(2 * S + 2, Answer.TAKEN) and ask(2 * S + 3, Answer.FULL)
    assert [ask(2 * S + 4, Answer.SILENT) for _ in range(2)] == [True, True]
    assert ask(2 * S + 5, Answer.AWAY) and ask(2 * S + 5, Answer.SILENT) and ask(2 * S + 5, Answer.SILENT)
