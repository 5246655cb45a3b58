"""A message's way: the rows of the design note's table, and the hard cases."""

from __future__ import annotations

import itertools
from typing import Any

import pytest

from wheelstep.shards.hosting import Life
from wheelstep.shards.router import (
    Answer,
    AsGuest,
    Ask,
    ComeAgain,
    Handed,
    Here,
    NoAnswer,
    Router,
    Sight,
    WaitOpen,
    Way,
)

S = 1_000_000
ELSEWHERE = {"life": None, "home": "b", "owes_key": False, "rests_us": 0, "guest_room": True}


def sight(**changes: Any) -> Sight:
    return Sight(**{**ELSEWHERE, **changes})


def message(name: str = "m", key: str | None = None, until_us: int = 10 * S) -> Handed:
    return Handed(name, 1, 0, "x", key, until_us)


def router(**settings: int) -> Router:
    return Router("a", S, **settings)


HOME = sight(life=Life.HOME, home="a")
LATER = ComeAgain(S, "key passed on may be open")


@pytest.mark.parametrize(("seen", "key", "way"), [
    (HOME, None, Here(False)),
    (HOME, "k", Here(False)),
    (sight(life=Life.HOME, home="a", rests_us=300), "k", ComeAgain(300, "key owed by its former home")),
    (sight(life=Life.HOME, home="a", rests_us=9 * S), "k", ComeAgain(S, "key owed by its former home")),
    (sight(life=Life.OPENING, home="a"), None, WaitOpen()),
    (sight(home="a"), None, WaitOpen()),  # the view is ahead of the shard's life
    (sight(life=Life.LEAVING, owes_key=True), "k", Here(True)),
    (sight(life=Life.GUEST, owes_key=True), "k", Here(True)),
    (sight(life=Life.LEAVING), "k", Ask("b")),
    (sight(life=Life.GUEST, has_rows=True), None, Ask("b")),  # the home is back
    (sight(), None, Ask("b")),
    (sight(home=None), None, AsGuest()),
    (sight(home=None, life=Life.GUEST, has_rows=True), None, Here(True)),
    (sight(home=None, life=Life.GUEST, guest_room=False), None, AsGuest()),
    (sight(home=None, guest_room=False), None, ComeAgain(S, "no room for a guest shard")),
    (sight(home=None, rests_us=7), "k", ComeAgain(7, "key owed by its former home")),
])
def test_the_way_of_a_message_that_nobody_was_asked_for(seen: Sight, key: str | None, way: Way) -> None:
    assert router().way(0, message(key=key), seen) == way


@pytest.mark.parametrize(("answer", "seen", "way"), [
    (Answer.TAKEN, sight(), None), (Answer.KNOWN, sight(), None), (Answer.FULL, sight(), None),
    (Answer.BAD, sight(), None), (Answer.SILENT, sight(), NoAnswer("no answer in time")),
    (Answer.NOT_ASKED, sight(), AsGuest()), (Answer.AWAY, sight(), AsGuest()),
    (Answer.AWAY, sight(home="c"), AsGuest()),  # neither believes it is home: not asked of a second one
    (Answer.AWAY, HOME, Here(False)), (Answer.AWAY, sight(life=Life.OPENING, home="a"), WaitOpen()),
    (Answer.AWAY, sight(guest_room=False), ComeAgain(S, "no room for a guest shard")),
])
def test_what_follows_from_an_answer(answer: Answer, seen: Sight, way: Way | None) -> None:
    mine = router()
    assert mine.way(0, message(), sight()) == Ask("b")
    assert mine.answered(1, message(), "b", answer, seen) == way
    assert mine.counts["asked"] == mine.counts[f"answer:{answer.value}"] == 1


@pytest.mark.parametrize("lives", list(itertools.product([*Life, None], repeat=2)))
def test_no_sequence_of_answers_and_views_gives_a_second_ask(lives: tuple[Life | None, Life | None]) -> None:
    two_homes = list(itertools.product(["a", "b", "c", None], repeat=2))
    for answer, homes, key in itertools.product(Answer, two_homes, ["k", None]):
        mine = router()
        assert mine.way(0, message(key=key), sight()) == Ask("b")
        way = mine.answered(1, message(key=key), "b", answer, sight(life=lives[0], home=homes[0]))
        assert not isinstance(way, Ask)
        if isinstance(way, WaitOpen | AsGuest):  # the client still waits: and its next way is none either
            assert not isinstance(mine.way(2, message(key=key), sight(life=lives[1], home=homes[1])), Ask)


@pytest.mark.parametrize("life", [*Life, None])
def test_who_is_asked_passes_nothing_on(life: Life | None) -> None:
    for home, key, owes in itertools.product(["a", "b", "c", None], ["k", None], [True, False]):
        way = router().asked(0, message(key=key), sight(life=life, home=home, owes_key=owes))
        match life:
            case Life.HOME:
                assert way == Here(False)
            case Life.OPENING:
                assert way == ComeAgain(S, "not open yet")
            case Life.LEAVING | Life.GUEST:
                assert way == (Here(True) if owes else None)
            case None:  # as a courier without a list
                assert way is None


def test_two_homes_both_take_and_neither_asks() -> None:
    for name in "ab":
        mine = Router(name, S)
        assert mine.way(0, message(), sight(life=Life.HOME, home=name)) == Here(False)
        assert mine.asked(0, message("other"), sight(life=Life.HOME, home=name)) == Here(False)


def test_an_id_in_doubt_is_asked_of_that_courier_alone_until_its_time_is_up() -> None:
    mine = router()
    mine.way(0, message(), sight())
    mine.answered(1, message(), "b", Answer.SILENT, sight())
    for now_us, answer in enumerate([Answer.AWAY, Answer.NOT_ASKED, Answer.FULL, Answer.BAD, Answer.SILENT], 2):
        assert mine.way(now_us, message(), HOME) == Ask("b")  # also where this courier is home by now
        assert isinstance(mine.answered(now_us, message(), "b", answer, HOME), NoAnswer)
    assert mine.asked(9, message(), HOME) == NoAnswer("may have been taken")
    assert mine.way(10 * S - 1, message(), HOME) == Ask("b")
    assert mine.answered(10 * S - 1, message(), "b", Answer.TAKEN, HOME) is None
    mine.way(20 * S, message("n", until_us=21 * S), sight())
    mine.answered(20 * S, message("n", until_us=21 * S), "b", Answer.SILENT, sight())
    assert mine.way(21 * S, message("n", until_us=21 * S), HOME) == Here(False)


def test_a_late_taken_after_the_asker_gave_up_changes_nothing_here() -> None:
    mine = router()
    mine.way(0, message(), sight())
    mine.answered(1, message(), "b", Answer.SILENT, sight())
    assert mine.answered(2, message(), "b", Answer.TAKEN, sight()) is None
    assert mine.way(3, message(), sight(home=None)) == Ask("b")  # it has it, whoever is home
    assert mine.answered(4, message(), "b", Answer.AWAY, sight(home=None)) == NoAnswer("may have been taken")


def test_an_ask_of_which_nobody_tells_the_end_is_in_doubt() -> None:
    mine = router()
    mine.way(0, message(), sight())
    assert mine.way(1, message(), sight()) == NoAnswer("under way")  # another client, at the same moment
    assert mine.way(5 * S, message(), sight(home="c")) == Ask("b") and mine.counts["never_answered"] == 1


def test_what_was_taken_here_is_asked_of_nobody_unless_the_desk_refused_it() -> None:
    mine = router()
    assert mine.way(0, message(), sight(home=None, life=Life.GUEST, has_rows=True)) == Here(True)
    assert mine.way(1, message(), sight()) == AsGuest()  # it has ended here, and its client has not heard so
    mine = router()
    assert mine.way(0, message(), HOME) == Here(False)
    mine.not_taken("m")
    assert mine.way(1, message(), sight()) == Ask("b")


def test_beyond_its_doubts_a_router_asks_nobody_new() -> None:
    mine = router(most_doubts=2)
    for name in "mn":
        mine.way(0, message(name), sight())
    mine.answered(1, message("m"), "b", Answer.SILENT, sight())
    assert mine.way(1, message("o"), sight()) == ComeAgain(S, "too many in doubt")
    assert mine.way(1, message("o"), sight(home=None)) == ComeAgain(S, "too many in doubt")  # nor waits for rows
    assert mine.way(1, message("m"), sight()) == Ask("b")
    assert mine.way(10 * S, message("o", until_us=20 * S), sight(home="c")) == Ask("c")


def test_a_key_passed_on_stays_with_its_courier_until_its_deadline_and_the_settle_time() -> None:
    for answer in (Answer.TAKEN, Answer.KNOWN, Answer.SILENT):
        mine = router()
        mine.way(0, message("m1", "k"), sight())
        mine.answered(1, message("m1", "k"), "b", answer, sight())
        later = message("m2", "k", 30 * S)
        for seen in (sight(home="c"), HOME, sight()):
            assert mine.way(2, later, seen) == Ask("b")
            assert mine.answered(3, later, "b", Answer.NOT_ASKED, seen) == LATER
        assert mine.way(4, message("m3", "other"), sight(home="c")) == Ask("c")
        assert mine.way(11 * S - 1, later, sight(home="c")) == Ask("b")
        mine.answered(11 * S - 1, later, "b", Answer.NOT_ASKED, sight(home=None))
        assert mine.way(11 * S, later, sight(home="c")) == Ask("c")


def test_away_proves_that_a_key_is_open_there_no_more_unless_an_ask_of_it_was_lost() -> None:
    for first, then in ((Answer.TAKEN, Ask("c")), (Answer.SILENT, Ask("b"))):
        mine = router()
        mine.way(0, message("m1", "k"), sight())
        mine.answered(1, message("m1", "k"), "b", first, sight())
        assert mine.way(2, message("m2", "k"), sight(home="c")) == Ask("b")
        way = mine.answered(3, message("m2", "k"), "b", Answer.AWAY, sight(home="c"))
        assert isinstance(way, ComeAgain) and way.after_us == (50_000 if first is Answer.TAKEN else S)
        assert mine.way(4, message("m2", "k"), sight(home="c")) == then


def test_a_shard_handed_over_frees_the_keys_that_were_passed_to_its_former_home() -> None:
    mine = router()
    mine.way(0, message("m1", "k"), sight())
    mine.answered(1, message("m1", "k"), "b", Answer.TAKEN, sight())
    mine.handed_over(2, 5, "b")
    assert mine.way(3, message("m2", "k"), HOME) == Ask("b")  # another shard's
    mine.answered(3, message("m2", "k"), "b", Answer.NOT_ASKED, HOME)
    mine.handed_over(4, 0, "b")
    assert mine.way(5, message("m2", "k"), HOME) == Here(False)


def test_keys_beyond_the_bound_are_passed_on_but_go_to_no_guest() -> None:
    mine = router(most_passed=1)
    for number, until_us in ((1, 10 * S), (2, 12 * S)):
        mine.way(0, message(f"m{number}", f"k{number}", until_us), sight())
        mine.answered(1, message(f"m{number}", f"k{number}", until_us), "b", Answer.TAKEN, sight())
    assert mine.sizes()["passed"] == 1
    too_many = ComeAgain(S, "too many keys passed on")
    assert mine.way(13 * S - 1, message("m3", "k3", 99 * S), sight(home=None)) == too_many
    assert mine.way(13 * S - 1, message("m4", None, 99 * S), sight(home=None)) == AsGuest()
    assert mine.way(13 * S, message("m3", "k3", 99 * S), sight(home=None)) == AsGuest()


def test_a_courier_silent_thrice_in_a_row_is_asked_once_a_second_until_it_answers() -> None:
    mine = router()
    names = (f"m{number}" for number in itertools.count())

    def ask(now_us: int, answer: Answer) -> bool:
        new = message(next(names))
        if mine.way(now_us, new, sight()) != Ask("b"):
            return False
        mine.answered(now_us, new, "b", answer, sight())
        return True
    assert [ask(now, Answer.SILENT) for now in range(5)] == [True, True, True, False, False]
    assert mine.way(S + 2, message("trial"), sight()) == Ask("b")
    assert not ask(S + 2, Answer.TAKEN)  # one trial at a time
    mine.answered(S + 3, message("trial"), "b", Answer.SILENT, sight())
    assert not ask(2 * S + 2, Answer.TAKEN) and ask(2 * S + 3, Answer.FULL)
    assert [ask(2 * S + 4, Answer.SILENT) for _ in range(2)] == [True, True]
    assert ask(2 * S + 5, Answer.AWAY) and ask(2 * S + 5, Answer.SILENT) and ask(2 * S + 5, Answer.SILENT)
