"""The giver's steps, and its handling of answers that are lost, late, duplicate or refusals."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

import pytest

from wheelstep.fleet.types import Ownership
from wheelstep.moves.giver import Giver
from wheelstep.moves.steps import NEVER_US, Act, Commit, Ended, GiverLimits, SendRequest, Step, TakeBack, TakerLimits
from wheelstep.moves.taker import Taker
from wheelstep.moves.types import Cancel, Chunk, Given, Move, Moved, Piece, Seal

LIMITS = GiverLimits(chunk_pieces=4, max_tail_pieces=2, max_rounds=3, pace_us=10, call_bound_us=1_000,
                     shut_bound_us=5_000, poll_us=100, backoff_us=50, max_backoff_us=150, max_tries=3, silence_us=2_000,
                     commit_us=500, undecided_us=20_000)
HOLDING = Ownership(5, "g")


class MemoryContent:
    """A `Content` in memory; while it is open, `busy` pieces change before each call of `changed`."""

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
        updates = [Piece(f"m:{number}", b"%d.%d" % (number, self.turn)) for number in range(self.busy)]
        self.held.update({piece.name: piece.data for piece in updates})
        return updates

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


def new_giver(content: MemoryContent, limits: GiverLimits = LIMITS) -> Giver:
    return Giver(3, 5, "t", content, limits, 0, "g")  # type: ignore[arg-type]


def requests(acts: list[Act]) -> list[Move]:
    return [act.request for act in acts if isinstance(act, SendRequest)]


def taker(room: TakerLimits = TakerLimits(), stored: Iterable[bytes] = ()) -> Taker:  # noqa: B008
    return Taker("t", 2, room, stored)


def run_until(giver: Giver, to: Taker, until: Step, acts: list[Act] | None = None) -> tuple[int, list[Act]]:
    """Run both sides with immediate answers until the giver reaches a step. Returns the time and its last acts."""
    now_us = giver.next_us()
    acts = giver.tick(now_us) if acts is None else acts
    while giver.step is not until and not giver.over:
        if requests(acts):
            moved, _ = to.handle_request(now_us, "g", requests(acts)[0], HOLDING)  # type: ignore[arg-type]
            acts = giver.handle_answer(now_us, requests(acts)[0], moved)
        else:
            now_us = max(now_us, giver.next_us())
            acts = giver.tick(now_us)
    return now_us, acts


def test_a_move_without_faults_passes_each_step_and_serves_until_closing() -> None:
    content, to = MemoryContent(pieces=10, busy=3), taker()
    giver = new_giver(content)
    assert giver.step is Step.PLANNED
    _, acts = run_until(giver, to, Step.COPYING)
    assert content.is_open and isinstance(requests(acts)[0], Chunk)
    content.out = 1
    now_us, acts = run_until(giver, to, Step.CLOSING, acts)
    assert not content.is_open and not acts and giver.next_us() == now_us + LIMITS.poll_us
    content.out = 0
    now_us, acts = run_until(giver, to, Step.HANDING)
    assert isinstance(seal := requests(acts)[0], Seal) and to.sealed_epoch(3) is None and to.pieces(3) == []
    moved, _ = to.handle_request(now_us, "g", seal, HOLDING)
    assert moved.ok and to.sealed_epoch(3) == 5
    assert {piece.name: piece.data for piece in to.pieces(3)} == content.held
    assert giver.handle_answer(now_us, seal, moved) == [Commit(3, "t")] and giver.step is Step.COMMITTING
    assert giver.observe_holding(now_us, 5, "g") == [] and not content.dropped  # the holding that the move began with
    assert giver.observe_holding(
        now_us, 6, "t") == [SendRequest(Given(3, 6))] and giver.step is Step.OPEN and content.dropped == 1
    assert to.observe_holding(3, 6, "t") and to.sealed_epoch(3) == 5 and to.adopted(3, 6) and to.sealed_epoch(3) is None
    moved, _ = to.handle_request(now_us, "g", Given(3, 6), Ownership(6, "t"))
    assert giver.handle_answer(now_us, Given(3, 6), moved) == [Ended(True, "given to t")] and giver.step is Step.DONE
    assert giver.next_us() == NEVER_US and giver.tick(10**12) == [] and content.dropped == 1 and not content.opened


def test_a_content_that_never_stops_changing_is_shut_after_the_round_limit() -> None:
    content, to = MemoryContent(pieces=40, busy=20), taker()
    giver = new_giver(content)
    run_until(giver, to, Step.COMMITTING)
    assert giver.step is Step.COMMITTING and content.turn == LIMITS.max_rounds and content.shuts == 1
    assert {piece.name: piece.data for piece in to.pieces(3)} == content.held


def test_a_call_that_does_not_end_is_waited_for_until_its_bound() -> None:
    content = MemoryContent()
    content.out = 1
    giver = new_giver(content)
    now_us, _ = run_until(giver, taker(), Step.COMMITTING)
    assert LIMITS.call_bound_us <= now_us - giver.shut_us <= LIMITS.call_bound_us + LIMITS.poll_us


def test_a_tail_that_takes_too_long_cancels_the_move_and_reopens_the_part() -> None:
    content, to = MemoryContent(), taker()
    content.out = 1
    giver = new_giver(content, replace(LIMITS, call_bound_us=10**6))
    _, acts = run_until(giver, to, Step.HANDING)
    assert giver.step is Step.UNDONE and content.opened == [5] and content.is_open and "tail" in giver.why
    assert requests(acts) == [Cancel(3, 5, 0)] and to.handle_request(0, "g", Cancel(3, 5, 0), HOLDING)[1] != []
    assert to.snapshot() == []


def leave_unanswered(giver: Giver, acts: list[Act]) -> tuple[int, list[Act], int]:
    """Leave every request unanswered. Returns when the giver gives up, what it does then, and its number of tries."""
    tries, step, now_us, request = 1, giver.step, 0, requests(acts)[0]
    while True:
        acts = giver.handle_answer(now_us, request, None)
        while giver.step is step and not requests(acts):
            now_us = giver.next_us()
            acts = giver.tick(now_us)
        if giver.step is not step:
            return now_us, acts, tries
        tries += 1


def test_a_silent_taker_is_tried_up_to_the_limit_and_the_part_reopened() -> None:
    content = MemoryContent()
    giver = new_giver(content)
    now_us, acts, tries = leave_unanswered(giver, giver.tick(0))
    assert tries == LIMITS.max_tries and 50 + 100 <= now_us <= LIMITS.silence_us
    assert giver.step is Step.UNDONE and content.opened == [5] and acts[-1] == Ended(False, "t does not answer")


def test_a_request_without_answer_or_timeout_ends_at_the_silence_limit() -> None:
    giver = new_giver(MemoryContent())
    giver.tick(0)
    assert giver.tick(LIMITS.silence_us - 1) == [] and giver.next_us() == LIMITS.silence_us
    giver.tick(LIMITS.silence_us)
    assert giver.step is Step.UNDONE


@pytest.mark.parametrize("answer", [None, Moved(3, 5, False, why="digest"), Moved(3, 5, True, 1), Moved(3, 4, True)])
def test_after_the_seal_the_part_is_reopened_only_by_the_register(answer: Moved | None) -> None:
    content = MemoryContent()
    giver = new_giver(content)
    now_us, acts = run_until(giver, taker(), Step.HANDING)
    seal = requests(acts)[0]
    if answer is None or answer.epoch != 5:
        _, acts, _ = leave_unanswered(giver, acts)
    else:
        acts = giver.handle_answer(now_us, seal, answer)
    assert acts == [TakeBack(3)] and giver.step is Step.UNDOING and not content.opened
    assert giver.handle_answer(now_us, seal, None) == []
    assert giver.tick(giver.next_us()) == [TakeBack(3)]
    assert (isinstance(giver.observe_holding(now_us, 6, "g")[-1], Ended)
            and content.opened == [6] and not content.dropped)


def test_a_register_that_never_decides_leaves_the_part_shut() -> None:
    content = MemoryContent()
    giver = new_giver(content)
    since_us, acts = run_until(giver, taker(), Step.COMMITTING)
    asked = 0
    while not giver.over:
        acts = giver.tick(giver.next_us())
        asked += acts == [TakeBack(3)]
        now_us = giver.next_us()
    assert 3 < asked < 30 and not content.is_open and not content.opened and not content.dropped and now_us == NEVER_US


@pytest.mark.parametrize(("safe", "answer", "done"), [
    (True, None, True), (True, Moved(3, 6, False, why="?"), True), (False, Moved(3, 6, True), True),
    (False, Moved(3, 6, False, why="none"), False), (False, None, False)])
def test_a_giver_drops_the_part_only_once_its_copy_is_confirmed(safe: bool, answer: Moved | None, done: bool) -> None:
    """Without an answer to the `Seal`, the taker may own the part in the register and hold no copy of it."""
    content = MemoryContent()
    giver = new_giver(content)
    _, acts = run_until(giver, taker(), Step.COMMITTING if safe else Step.HANDING)
    acts = giver.observe_holding(0, 6, "t")
    acts = leave_unanswered(giver, acts)[1] if answer is None else giver.handle_answer(0, Given(3, 6), answer)
    assert isinstance(end := acts[-1], Ended) and end.done is done and content.dropped == done and not content.opened


def test_a_lease_lost_during_a_move_leaves_the_part_shut() -> None:
    for step in (Step.COPYING, Step.CLOSING):
        content, to = MemoryContent(), taker()
        content.out = 1
        giver = new_giver(content)
        now_us, acts = run_until(giver, to, step)
        giver.lease_lost(now_us)
        refused = Moved(3, 5, False, why="full")
        assert not content.is_open and giver.next_us() == now_us
        acts = giver.handle_answer(now_us, requests(acts)[0], refused) if acts else giver.tick(now_us)
        assert giver.step is Step.UNDONE and not content.opened
    giver = new_giver(content := MemoryContent())
    now_us, acts = run_until(giver, taker(), Step.HANDING)
    giver.lease_lost(now_us)
    assert giver.step is Step.HANDING
    giver.observe_holding(now_us, 6, "x")
    assert giver.step is Step.UNDONE and not content.is_open and not content.dropped


def test_a_holding_two_epochs_later_leaves_the_part_shut() -> None:
    giver = new_giver(content := MemoryContent())
    run_until(giver, taker(), Step.COMMITTING)
    giver.observe_holding(0, 7, "g")
    assert giver.step is Step.UNDONE and not content.opened and not content.dropped


def test_a_part_is_not_dropped_when_its_taker_owned_it_before_the_seal_or_at_a_later_epoch() -> None:
    giver = new_giver(content := MemoryContent())
    run_until(giver, taker(), Step.COPYING)
    giver.observe_holding(0, 6, "t")
    assert giver.step is Step.UNDONE and not content.dropped and not content.is_open
    giver = new_giver(content := MemoryContent())
    run_until(giver, taker(), Step.COMMITTING)
    assert giver.observe_holding(0, 7, "t") == [SendRequest(Given(3, 6, 7))] and not content.dropped
