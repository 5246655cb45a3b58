"""A move's steps, what either side refuses, and what it does with answers that are lost, late or doubled."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

import pytest

from wheelstep.fleet.types import Ownership
from wheelstep.moves.giver import Giver
from wheelstep.moves.steps import NEVER_US, Act, Commit, Ended, Limits, Room, Step, TakeBack, Tell
from wheelstep.moves.taker import Taker
from wheelstep.moves.types import Cancel, Chunk, Given, Move, Moved, Piece, Seal

LIMITS = Limits(chunk_pieces=4, tail=2, rounds=3, pace_us=10, call_bound_us=1_000, shut_bound_us=5_000, poll_us=100,
                backoff_us=50, backoff_most_us=150, tries=3, silence_us=2_000, commit_us=500, undecided_us=20_000)
HOLDING = Ownership(5, "g")


class Shelf:
    """A content; `busy` pieces change each time that it is asked, for as long as it is open."""

    version = 2

    def __init__(self, pieces: int = 10, busy: int = 0) -> None:
        self.held = {f"m:{number}": b"%d" % number for number in range(pieces)}
        self.busy, self.out, self.turn = busy, 0, 0
        self.opened: list[int] = []
        self.shuts = self.dropped = 0
        self.is_open = True

    def pieces(self, part: int) -> list[Piece]:
        return [Piece(name, data) for name, data in self.held.items()]

    def changed(self, part: int) -> list[Piece]:
        if not self.is_open:
            return []
        self.turn += 1
        new = [Piece(f"m:{number}", b"%d.%d" % (number, self.turn)) for number in range(self.busy)]
        self.held.update({piece.name: piece.data for piece in new})
        return new

    def under_way(self, part: int) -> int:
        return self.out

    def shut(self, part: int) -> None:
        self.is_open = False
        self.shuts += 1

    def open(self, part: int, epoch: int) -> None:
        self.is_open = True
        self.opened.append(epoch)

    def drop(self, part: int) -> None:
        self.dropped += 1

    def adopt(self, part: int, epoch: int, pieces: Iterable[Piece]) -> None:
        self.held = {piece.name: piece.data for piece in pieces}


def new(shelf: Shelf, limits: Limits = LIMITS) -> Giver:
    return Giver(3, 5, "t", shelf, limits, 0, "g")  # type: ignore[arg-type]


def asks(acts: list[Act]) -> list[Move]:
    return [act.ask for act in acts if isinstance(act, Tell)]


def taker(room: Room = Room(), stored: Iterable[bytes] = ()) -> Taker:  # noqa: B008
    return Taker("t", 2, room, stored)


def play(giver: Giver, to: Taker, until: Step, acts: list[Act] | None = None) -> tuple[int, list[Act]]:
    """Both sides, with answers that come at once, until the giver is at a step: the time, and what it asks for then."""
    now_us = giver.next_us()
    acts = giver.tick(now_us) if acts is None else acts
    while giver.step is not until and not giver.over:
        if asks(acts):
            moved, _ = to.heard(now_us, "g", asks(acts)[0], HOLDING)  # type: ignore[arg-type]
            acts = giver.answered(now_us, asks(acts)[0], moved)
        else:
            now_us = max(now_us, giver.next_us())
            acts = giver.tick(now_us)
    return now_us, acts


def test_the_steps_and_who_serves_at_each() -> None:
    shelf, to = Shelf(pieces=10, busy=3), taker()
    giver = new(shelf)
    assert giver.step is Step.PLANNED
    _, acts = play(giver, to, Step.COPYING)
    assert shelf.is_open and isinstance(asks(acts)[0], Chunk)
    shelf.out = 1
    now_us, acts = play(giver, to, Step.CLOSING, acts)
    assert not shelf.is_open and not acts and giver.next_us() == now_us + LIMITS.poll_us
    shelf.out = 0
    now_us, acts = play(giver, to, Step.HANDING)
    assert isinstance(seal := asks(acts)[0], Seal) and to.sealed(3) is None and to.pieces(3) == []
    moved, _ = to.heard(now_us, "g", seal, HOLDING)
    assert moved.ok and to.sealed(3) == 5
    assert {piece.name: piece.data for piece in to.pieces(3)} == shelf.held
    assert giver.answered(now_us, seal, moved) == [Commit(3, "t")] and giver.step is Step.COMMITTING
    assert giver.decided(now_us, 5, "g") == [] and not shelf.dropped  # old news
    assert giver.decided(now_us, 6, "t") == [Tell(Given(3, 6))] and giver.step is Step.OPEN and shelf.dropped == 1
    assert to.passed(3, 6, "t") and to.sealed(3) == 5 and to.adopted(3, 6) and to.sealed(3) is None
    moved, _ = to.heard(now_us, "g", Given(3, 6), Ownership(6, "t"))
    assert giver.answered(now_us, Given(3, 6), moved) == [Ended(True, "given to t")] and giver.step is Step.DONE
    assert giver.next_us() == NEVER_US and giver.tick(10**12) == [] and shelf.dropped == 1 and not shelf.opened


def test_a_content_that_never_stops_changing_is_shut_after_so_many_rounds() -> None:
    shelf, to = Shelf(pieces=40, busy=20), taker()
    giver = new(shelf)
    play(giver, to, Step.COMMITTING)
    assert giver.step is Step.COMMITTING and shelf.turn == LIMITS.rounds and shelf.shuts == 1
    assert {piece.name: piece.data for piece in to.pieces(3)} == shelf.held


def test_a_call_that_does_not_end_is_waited_for_so_long() -> None:
    shelf = Shelf()
    shelf.out = 1
    giver = new(shelf)
    now_us, _ = play(giver, taker(), Step.COMMITTING)
    assert LIMITS.call_bound_us <= now_us - giver.shut_us <= LIMITS.call_bound_us + LIMITS.poll_us


def test_a_tail_that_takes_too_long_is_given_up_and_the_part_served_on() -> None:
    shelf, to = Shelf(), taker()
    shelf.out = 1
    giver = new(shelf, replace(LIMITS, call_bound_us=10**6))
    _, acts = play(giver, to, Step.HANDING)
    assert giver.step is Step.UNDONE and shelf.opened == [5] and shelf.is_open and "tail" in giver.why
    assert asks(acts) == [Cancel(3, 5, 0)] and to.heard(0, "g", Cancel(3, 5, 0), HOLDING)[1] != []
    assert to.snapshot() == []


def silent(giver: Giver, acts: list[Act]) -> tuple[int, list[Act], int]:
    """Nobody answers: when the giver has had enough, what it does then, and how often it asked."""
    tries, step, now_us, ask = 1, giver.step, 0, asks(acts)[0]
    while True:
        acts = giver.answered(now_us, ask, None)
        while giver.step is step and not asks(acts):
            now_us = giver.next_us()
            acts = giver.tick(now_us)
        if giver.step is not step:
            return now_us, acts, tries
        tries += 1


def test_a_silent_taker_is_asked_so_often_and_the_part_served_on() -> None:
    shelf = Shelf()
    giver = new(shelf)
    now_us, acts, tries = silent(giver, giver.tick(0))
    assert tries == LIMITS.tries and 50 + 100 <= now_us <= LIMITS.silence_us
    assert giver.step is Step.UNDONE and shelf.opened == [5] and acts[-1] == Ended(False, "t does not answer")


def test_a_call_that_never_comes_back_is_bounded_as_well() -> None:
    giver = new(Shelf())
    giver.tick(0)
    assert giver.tick(LIMITS.silence_us - 1) == [] and giver.next_us() == LIMITS.silence_us
    giver.tick(LIMITS.silence_us)
    assert giver.step is Step.UNDONE


@pytest.mark.parametrize("answer", [None, Moved(3, 5, False, why="digest"), Moved(3, 5, True, 1), Moved(3, 4, True)])
def test_after_the_seal_only_the_register_opens_the_part_again(answer: Moved | None) -> None:
    shelf = Shelf()
    giver = new(shelf)
    now_us, acts = play(giver, taker(), Step.HANDING)
    seal = asks(acts)[0]
    if answer is None or answer.epoch != 5:
        _, acts, _ = silent(giver, acts)
    else:
        acts = giver.answered(now_us, seal, answer)
    assert acts == [TakeBack(3)] and giver.step is Step.UNDOING and not shelf.opened
    assert giver.answered(now_us, seal, None) == []
    assert giver.tick(giver.next_us()) == [TakeBack(3)]
    assert isinstance(giver.decided(now_us, 6, "g")[-1], Ended) and shelf.opened == [6] and not shelf.dropped


def test_a_register_that_never_decides_leaves_the_part_shut() -> None:
    shelf = Shelf()
    giver = new(shelf)
    since_us, acts = play(giver, taker(), Step.COMMITTING)
    asked = 0
    while not giver.over:
        acts = giver.tick(giver.next_us())
        asked += acts == [TakeBack(3)]
        now_us = giver.next_us()
    assert 3 < asked < 30 and not shelf.is_open and not shelf.opened and not shelf.dropped and now_us == NEVER_US


@pytest.mark.parametrize(("safe", "answer", "done"), [
    (True, None, True), (True, Moved(3, 6, False, why="?"), True), (False, Moved(3, 6, True), True),
    (False, Moved(3, 6, False, why="none"), False), (False, None, False)])
def test_it_drops_only_what_the_taker_surely_has(safe: bool, answer: Moved | None, done: bool) -> None:
    """Without the `Seal`'s answer the taker may have won the register with nothing in its hands."""
    shelf = Shelf()
    giver = new(shelf)
    _, acts = play(giver, taker(), Step.COMMITTING if safe else Step.HANDING)
    acts = giver.decided(0, 6, "t")
    acts = silent(giver, acts)[1] if answer is None else giver.answered(0, Given(3, 6), answer)
    assert isinstance(end := acts[-1], Ended) and end.done is done and shelf.dropped == done and not shelf.opened


def test_a_lease_lost_on_the_way_leaves_the_part_shut() -> None:
    for step in (Step.COPYING, Step.CLOSING):
        shelf, to = Shelf(), taker()
        shelf.out = 1
        giver = new(shelf)
        now_us, acts = play(giver, to, step)
        giver.lost(now_us)
        refused = Moved(3, 5, False, why="full")
        assert not shelf.is_open and giver.next_us() == now_us
        acts = giver.answered(now_us, asks(acts)[0], refused) if acts else giver.tick(now_us)
        assert giver.step is Step.UNDONE and not shelf.opened
    giver = new(shelf := Shelf())
    now_us, acts = play(giver, taker(), Step.HANDING)
    giver.lost(now_us)
    assert giver.step is Step.HANDING
    giver.decided(now_us, 6, "x")
    assert giver.step is Step.UNDONE and not shelf.is_open and not shelf.dropped


def test_news_of_a_later_epoch_opens_nothing_here() -> None:
    giver = new(shelf := Shelf())
    play(giver, taker(), Step.COMMITTING)
    giver.decided(0, 7, "g")
    assert giver.step is Step.UNDONE and not shelf.opened and not shelf.dropped


def test_a_taker_that_took_over_before_the_seal_has_not_been_given_anything() -> None:
    giver = new(shelf := Shelf())
    play(giver, taker(), Step.COPYING)
    giver.decided(0, 6, "t")
    assert giver.step is Step.UNDONE and not shelf.dropped and not shelf.is_open
    giver = new(shelf := Shelf())
    play(giver, taker(), Step.COMMITTING)
    assert giver.decided(0, 7, "t") == [Tell(Given(3, 6, 7))] and not shelf.dropped
