"""What a taker refuses, what it keeps over a restart, and when a copy counts."""

from __future__ import annotations

from collections import deque

import pytest
from test_moves import HOLDING, Shelf, asks, new, play, taker

from wheelstep.fleet.types import Ownership
from wheelstep.moves.staged import packed
from wheelstep.moves.steps import Limits, Room, Step, digest_of, mark_of, take
from wheelstep.moves.taker import Ask, Taker
from wheelstep.moves.types import Cancel, Chunk, Given, Offer, Piece, Seal

ONE, TWO = Piece("m:1", b"one"), Piece("c:p", b"two")
OFFER, CHUNK = Offer(3, 5, 2, 2, 140, 7), Chunk(3, 5, 0, (ONE,), 7)
SEAL = Seal(3, 5, 1, digest_of({"m:1": mark_of(b"one"), "c:p": mark_of(b"two")}), (TWO,), 7)
WRONG = Seal(3, 5, 1, "0" * 32, (TWO,), 7)


def after(*before: Ask, room: Room = Room()) -> Taker:  # noqa: B008
    to = taker(room)
    for ask in before:
        assert to.heard(0, "g", ask, HOLDING)[0].ok
    return to


@pytest.mark.parametrize(("before", "sender", "ask", "owner", "reason"), [
    ((), "g", Offer(3, 5, 3, 2, 140), HOLDING, "version"),
    ((), "g", Offer(3, 5, 2, 2, 2_001), HOLDING, "size"),
    ((), "g", Offer(1024, 5, 2, 2, 140), HOLDING, "part"),
    ((), "g", Offer(-1, 5, 2, 2, 140), HOLDING, "part"),
    ((), "x", OFFER, HOLDING, "owner"),
    ((), "g", OFFER, Ownership(6, "g"), "epoch"),
    ((OFFER,), "g", Offer(3, 4, 2, 2, 140, 9), None, "epoch"),
    ((OFFER,), "x", Offer(3, 5, 2, 2, 140, 9), None, "owner"),
    ((OFFER,), "g", Offer(3, 5, 2, 2, 140, 6), HOLDING, "attempt"),
    ((OFFER,), "g", Offer(4, 5, 2, 2, 1_900), HOLDING, "room"),
    ((OFFER, Offer(4, 5, 2, 2, 140)), "g", Offer(5, 5, 2, 2, 140), HOLDING, "room"),
    ((), "g", CHUNK, HOLDING, "offer"),
    ((OFFER,), "g", Chunk(3, 5, 0, (ONE,), 6), HOLDING, "offer"),
    ((OFFER,), "x", CHUNK, None, "owner"),
    ((OFFER,), "g", Chunk(3, 5, 1, (ONE,), 7), HOLDING, "place"),
    ((OFFER, CHUNK), "g", Chunk(3, 5, 0, (ONE,), 7), Ownership(6, "t"), "epoch"),
    ((OFFER,), "g", Chunk(3, 5, -1, (ONE,), 7), HOLDING, "place"),
    ((OFFER,), "g", Chunk(3, 5, 0, (Piece("m:1", b"1" * 2_000),), 7), HOLDING, "size"),
    ((OFFER, CHUNK), "g", WRONG, HOLDING, "digest"),
    ((OFFER, CHUNK), "g", Seal(3, 5, 2, SEAL.digest, (TWO,), 7), HOLDING, "place"),
    ((OFFER, CHUNK), "g", Seal(3, 5, 0, SEAL.digest, (TWO,), 7), HOLDING, "place"),
    ((OFFER, CHUNK, SEAL), "g", WRONG, HOLDING, "whole"),
    ((OFFER, CHUNK, SEAL), "g", Chunk(3, 5, 2, (ONE,), 7), HOLDING, "whole"),
    ((OFFER, CHUNK, SEAL), "g", Cancel(3, 5, 7), HOLDING, "whole"),
    ((OFFER, CHUNK, SEAL), "g", Offer(3, 5, 2, 2, 140, 9), HOLDING, "whole"),
    ((OFFER, CHUNK, SEAL), "x", Offer(3, 6, 2, 2, 140, 9), None, "whole"),
    ((OFFER, CHUNK), "g", Given(3, 6), Ownership(6, "t"), "given"),
    ((OFFER, CHUNK, SEAL), "x", Given(3, 6), HOLDING, "given"),
    ((OFFER, CHUNK, SEAL), "g", Given(3, 6, 7), HOLDING, "given"),
])
def test_refused_with_one_line_counted_and_nothing_taken(
        before: tuple[Ask, ...], sender: str, ask: Ask, owner: Ownership | None, reason: str) -> None:
    to = after(*before, room=Room(most_parts=2, most_bytes=2_000))
    if owner is not None and owner.epoch > 5:  # what the news itself does
        to.passed(ask.part, owner.epoch, owner.owner)
    stood = to.snapshot()
    moved, records = to.heard(1, sender, ask, owner)
    assert not moved.ok and moved.why and "\n" not in moved.why and records == []
    assert to.refused == {reason: 1} and to.snapshot() == stood


def test_asks_that_come_twice_are_answered_again_with_their_records() -> None:
    """Else the second answer could leave before the first one's records are on disk."""
    to = taker()
    for ask in (OFFER, CHUNK, SEAL):
        first, again = to.heard(0, "g", ask, HOLDING), to.heard(1, "g", ask, HOLDING)
        assert first[0] == again[0] and first[0].ok and first[1] == again[1] != []
    for _ in range(2):
        assert packed(SEAL) in to.heard(2, "g", Given(3, 6), Ownership(6, "t"))[1]
    assert not to.refused


def test_a_restart_at_any_record_goes_on_where_it_was() -> None:
    shelf = Shelf(pieces=20, busy=6)
    log: list[bytes] = [b"a voter's record"]

    class Restarted:
        """Comes back from its log, or from a snapshot of it, before every ask."""

        def heard(self, now_us: int, sender: str, ask: Ask, owner: Ownership | None) -> object:
            one = taker(stored=log)
            other = taker(stored=one.snapshot())
            assert one.snapshot() == other.snapshot()
            answers = [each.heard(now_us, sender, ask, owner) for each in (one, other)]
            assert answers[0] == answers[1]
            log.extend(answers[0][1])
            return answers[0]

    giver = new(shelf)
    play(giver, Restarted(), Step.COMMITTING)  # type: ignore[arg-type]
    assert giver.step is Step.COMMITTING
    to = taker(stored=log)
    assert to.sealed(3) == 5 and {piece.name: piece.data for piece in to.pieces(3)} == shelf.held
    log += to.passed(3, 6, "t")
    log += taker(stored=log).passed(3, 7, "t")  # had it twice in a row
    to = taker(stored=taker(stored=log).snapshot())
    assert to.sealed(3) == 5
    log += to.adopted(3, 7)
    to = taker(stored=taker(stored=log).snapshot())
    assert to.sealed(3) is None and to.heard(0, "g", Given(3, 6), None)[0].ok
    assert not to.heard(0, "g", OFFER, None)[0].ok


def test_records_that_were_written_twice_do_no_harm() -> None:
    to = taker()
    later = Chunk(3, 5, 1, (Piece("m:1", b"new"),), 7)
    seal = Seal(3, 5, 2, digest_of({"m:1": mark_of(b"new")}), (), 7)
    log = [record for ask in (OFFER, CHUNK, later, seal) for _ in range(2)
           for record in to.heard(0, "g", ask, HOLDING)[1]]
    assert taker(stored=log).pieces(3) == to.pieces(3) == [Piece("m:1", b"new")]


def test_a_piece_that_is_replaced_takes_its_room_once() -> None:
    to = after(OFFER, room=Room(most_bytes=500))
    for place in range(20):
        assert to.heard(0, "g", Chunk(3, 5, place, (Piece("m:1", b"%d" % place),), 7), HOLDING)[0].ok


def test_a_log_that_has_lost_a_chunk_has_no_whole_copy() -> None:
    to = taker()
    records = [record for ask in (OFFER, CHUNK, SEAL) for record in to.heard(0, "g", ask, HOLDING)[1]]
    assert taker(stored=records).sealed(3) == 5
    assert (lost := taker(stored=[records[0], records[2]])).sealed(3) is None and lost.forgotten == 1


@pytest.mark.parametrize(("news", "left"), [
    ([(4, "x")], 5), ([(5, "g")], 5), ([(6, "t")], 5), ([(6, "t"), (7, "t")], 5), ([(6, "t"), (6, "t"), (5, "g")], 5),
    ([(6, "g")], None), ([(6, "x")], None), ([(7, "t")], None), ([(6, "t"), (8, "t")], None),
    ([(6, "t"), (7, "g")], None)])
def test_a_whole_copy_counts_while_nobody_else_has_had_the_part(news: list[tuple[int, str]], left: int | None) -> None:
    to = after(OFFER, CHUNK, SEAL)
    for epoch, owner in news:
        to.passed(3, epoch, owner)
    assert to.sealed(3) == left


def test_what_a_giver_has_dropped_counts_though_the_register_was_heard_late() -> None:
    to, log = after(OFFER, CHUNK, SEAL), []
    assert to.heard(0, "g", Given(3, 6, 7), HOLDING)[0].again_us > 0  # who had 6 is not known
    assert to.passed(3, 7, "t") and to.sealed(3) is None
    to = after(OFFER, CHUNK, SEAL)
    log = to.snapshot() + to.heard(0, "g", Given(3, 6), HOLDING)[1]
    for each in (to, taker(stored=log), taker(stored=taker(stored=log).snapshot())):
        assert each.passed(3, 7, "t") and each.sealed(3) == 5


def test_a_copy_that_is_not_whole_goes_when_it_is_over_or_idle() -> None:
    for name in ("t", "g"):
        to = after(OFFER, CHUNK)
        assert to.passed(3, 6, name) and to.snapshot() == []
    to = after(OFFER, CHUNK, room=Room(most_parts=1, idle_us=100))
    assert to.heard(99, "g", Offer(4, 5, 2, 1, 70), HOLDING)[0].again_us > 0
    assert to.heard(100, "g", Offer(4, 5, 2, 1, 70), HOLDING)[0].ok
    whole = after(OFFER, CHUNK, SEAL, room=Room(most_parts=1, idle_us=100))
    assert not whole.heard(100, "g", Offer(4, 5, 2, 1, 70), HOLDING)[0].ok


def test_a_later_offer_begins_anew_and_an_old_cancel_does_no_harm() -> None:
    to = after(OFFER, CHUNK, Offer(3, 5, 2, 1, 70, 8), Cancel(3, 5, 7))
    seal = Seal(3, 5, 0, digest_of({"c:p": mark_of(b"two")}), (TWO,), 8)
    assert to.heard(0, "g", seal, HOLDING)[0].ok and to.pieces(3) == [TWO]


def test_a_courier_that_leaves_takes_no_new_part_but_ends_what_it_has_begun() -> None:
    to = after(OFFER, CHUNK)
    to.leaving = True
    assert not to.heard(0, "g", Offer(4, 5, 2, 1, 70), HOLDING)[0].ok and to.refused == {"leaving": 1}
    assert to.heard(0, "g", SEAL, HOLDING)[0].ok


def test_a_digest_tells_names_data_and_gone_pieces_apart() -> None:
    def digest(*pairs: tuple[str, bytes]) -> str:
        return digest_of({name: mark_of(data) for name, data in pairs})
    assert digest(("a", b"1"), ("b", b"2")) == digest(("b", b"2"), ("a", b"1"))
    assert len({digest(), digest(("a", b"1")), digest(("a", b"2")), digest(("a1", b"")), digest(("b", b"1"))}) == 5


def test_chunks_are_bounded_and_a_long_tail_goes_in_several() -> None:
    waiting = deque([Piece("a", b"x" * 500), Piece("b", b"x" * 500), Piece("c", b"x" * 5_000)])
    assert [len(take(waiting, Limits(chunk_bytes=1_200))) for _ in range(2)] == [2, 1]
    giver = new(Shelf())
    for name in "abcdefgh":
        giver._waiting.append(Piece(name, b"x"))
    giver.step = Step.CLOSING
    giver.shut_us = 0
    assert isinstance(asks(giver.tick(0))[0], Chunk)


def test_an_older_taker_declines_before_anything_is_given_away() -> None:
    shelf, to = Shelf(), taker()
    shelf.version = 3
    giver = new(shelf)
    play(giver, to, Step.COPYING)
    assert giver.step is Step.UNDONE and "state version 3, expected at most 2" in giver.why
    assert shelf.is_open and not shelf.shuts and to.snapshot() == []
