"""The requests that a taker refuses, the state it restores after a restart, and when a whole copy is valid."""

from __future__ import annotations

from collections import deque

import pytest
from test_moves import HOLDING, MemoryContent, new_giver, requests, run_until, taker

from wheelstep.fleet.types import Ownership
from wheelstep.moves.staged import encode_record
from wheelstep.moves.steps import GiverLimits, Step, TakerLimits, part_digest, piece_digest, take_chunk
from wheelstep.moves.taker import Taker, TakerRequest
from wheelstep.moves.types import Cancel, Chunk, Given, Offer, Piece, Seal

ONE, TWO = Piece("m:1", b"one"), Piece("c:p", b"two")
OFFER, CHUNK = Offer(3, 5, 2, 2, 140, 7), Chunk(3, 5, 0, (ONE,), 7)
SEAL = Seal(3, 5, 1, part_digest({"m:1": piece_digest(b"one"), "c:p": piece_digest(b"two")}), (TWO,), 7)
WRONG = Seal(3, 5, 1, "0" * 32, (TWO,), 7)


def taker_after(*before: TakerRequest, room: TakerLimits = TakerLimits()) -> Taker:  # noqa: B008
    to = taker(room)
    for request in before:
        assert to.handle_request(0, "g", request, HOLDING)[0].ok
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
def test_an_invalid_request_is_refused_with_one_line_and_changes_nothing(
        before: tuple[TakerRequest, ...], sender: str, ask: TakerRequest, owner: Ownership | None,
        reason: str) -> None:
    to = taker_after(*before, room=TakerLimits(max_parts=2, max_bytes=2_000))
    if owner is not None and owner.epoch > 5:  # so that only the effect of the request is compared
        to.observe_holding(ask.part, owner.epoch, owner.owner)
    stood = to.snapshot()
    moved, records = to.handle_request(1, sender, ask, owner)
    assert not moved.ok and moved.why and "\n" not in moved.why and records == []
    assert to.refused == {reason: 1} and to.snapshot() == stood


def test_a_repeated_request_returns_the_same_answer_and_records() -> None:
    """Without its records, the second answer could be sent before those of the first are on disk."""
    to = taker()
    for request in (OFFER, CHUNK, SEAL):
        first, again = to.handle_request(0, "g", request, HOLDING), to.handle_request(1, "g", request, HOLDING)
        assert first[0] == again[0] and first[0].ok and first[1] == again[1] != []
    for _ in range(2):
        assert encode_record(SEAL) in to.handle_request(2, "g", Given(3, 6), Ownership(6, "t"))[1]
    assert not to.refused


def test_a_restart_before_any_request_restores_the_same_state() -> None:
    content = MemoryContent(pieces=20, busy=6)
    log: list[bytes] = [b"a voter's record"]

    class Restarted:
        """Restores two takers before each request, from the log and from a snapshot, and compares them."""

        def handle_request(self, now_us: int, sender: str, request: TakerRequest, owner: Ownership | None) -> object:
            one = taker(stored=log)
            other = taker(stored=one.snapshot())
            assert one.snapshot() == other.snapshot()
            answers = [each.handle_request(now_us, sender, request, owner) for each in (one, other)]
            assert answers[0] == answers[1]
            log.extend(answers[0][1])
            return answers[0]

    giver = new_giver(content)
    run_until(giver, Restarted(), Step.COMMITTING)  # type: ignore[arg-type]
    assert giver.step is Step.COMMITTING
    to = taker(stored=log)
    assert to.sealed_epoch(3) == 5 and {piece.name: piece.data for piece in to.pieces(3)} == content.held
    log += to.observe_holding(3, 6, "t")
    log += taker(stored=log).observe_holding(3, 7, "t")  # owned by this courier for two epochs in a row
    to = taker(stored=taker(stored=log).snapshot())
    assert to.sealed_epoch(3) == 5
    log += to.adopted(3, 7)
    to = taker(stored=taker(stored=log).snapshot())
    assert to.sealed_epoch(3) is None and to.handle_request(0, "g", Given(3, 6), None)[0].ok
    assert not to.handle_request(0, "g", OFFER, None)[0].ok


def test_records_written_twice_restore_the_same_copy() -> None:
    to = taker()
    later = Chunk(3, 5, 1, (Piece("m:1", b"new"),), 7)
    seal = Seal(3, 5, 2, part_digest({"m:1": piece_digest(b"new")}), (), 7)
    log = [record for request in (OFFER, CHUNK, later, seal) for _ in range(2)
           for record in to.handle_request(0, "g", request, HOLDING)[1]]
    assert taker(stored=log).pieces(3) == to.pieces(3) == [Piece("m:1", b"new")]


def test_a_replaced_piece_counts_once_against_the_size_limit() -> None:
    to = taker_after(OFFER, room=TakerLimits(max_bytes=500))
    for place in range(20):
        assert to.handle_request(0, "g", Chunk(3, 5, place, (Piece("m:1", b"%d" % place),), 7), HOLDING)[0].ok


def test_a_log_without_one_chunk_restores_no_whole_copy() -> None:
    to = taker()
    records = [record for request in (OFFER, CHUNK, SEAL) for record in to.handle_request(0, "g", request, HOLDING)[1]]
    assert taker(stored=records).sealed_epoch(3) == 5
    assert (lost := taker(stored=[records[0], records[2]])).sealed_epoch(3) is None and lost.forgotten == 1


@pytest.mark.parametrize(("news", "left"), [
    ([(4, "x")], 5), ([(5, "g")], 5), ([(6, "t")], 5), ([(6, "t"), (7, "t")], 5), ([(6, "t"), (6, "t"), (5, "g")], 5),
    ([(6, "g")], None), ([(6, "x")], None), ([(7, "t")], None), ([(6, "t"), (8, "t")], None),
    ([(6, "t"), (7, "g")], None)])
def test_a_whole_copy_is_valid_until_another_owns_the_part(news: list[tuple[int, str]], left: int | None) -> None:
    to = taker_after(OFFER, CHUNK, SEAL)
    for epoch, owner in news:
        to.observe_holding(3, epoch, owner)
    assert to.sealed_epoch(3) == left


def test_a_copy_confirmed_by_given_stays_valid_when_the_register_skips_an_epoch() -> None:
    to, log = taker_after(OFFER, CHUNK, SEAL), []
    assert to.handle_request(0, "g", Given(3, 6, 7), HOLDING)[0].again_us > 0  # the owner of epoch 6 is not known
    assert to.observe_holding(3, 7, "t") and to.sealed_epoch(3) is None
    to = taker_after(OFFER, CHUNK, SEAL)
    log = to.snapshot() + to.handle_request(0, "g", Given(3, 6), HOLDING)[1]
    for each in (to, taker(stored=log), taker(stored=taker(stored=log).snapshot())):
        assert each.observe_holding(3, 7, "t") and each.sealed_epoch(3) == 5


def test_an_incomplete_copy_is_dropped_when_its_epoch_is_over_or_it_is_idle() -> None:
    for name in ("t", "g"):
        to = taker_after(OFFER, CHUNK)
        assert to.observe_holding(3, 6, name) and to.snapshot() == []
    to = taker_after(OFFER, CHUNK, room=TakerLimits(max_parts=1, idle_us=100))
    assert to.handle_request(99, "g", Offer(4, 5, 2, 1, 70), HOLDING)[0].again_us > 0
    assert to.handle_request(100, "g", Offer(4, 5, 2, 1, 70), HOLDING)[0].ok
    whole = taker_after(OFFER, CHUNK, SEAL, room=TakerLimits(max_parts=1, idle_us=100))
    assert not whole.handle_request(100, "g", Offer(4, 5, 2, 1, 70), HOLDING)[0].ok


def test_a_later_offer_restarts_the_copy_and_an_earlier_cancel_is_ignored() -> None:
    to = taker_after(OFFER, CHUNK, Offer(3, 5, 2, 1, 70, 8), Cancel(3, 5, 7))
    seal = Seal(3, 5, 0, part_digest({"c:p": piece_digest(b"two")}), (TWO,), 8)
    assert to.handle_request(0, "g", seal, HOLDING)[0].ok and to.pieces(3) == [TWO]


def test_a_leaving_courier_refuses_new_parts_but_completes_copies_in_progress() -> None:
    to = taker_after(OFFER, CHUNK)
    to.leaving = True
    assert not to.handle_request(0, "g", Offer(4, 5, 2, 1, 70), HOLDING)[0].ok and to.refused == {"leaving": 1}
    assert to.handle_request(0, "g", SEAL, HOLDING)[0].ok


def test_a_part_digest_depends_on_names_and_data_but_not_on_order() -> None:
    def digest(*pairs: tuple[str, bytes]) -> str:
        return part_digest({name: piece_digest(data) for name, data in pairs})
    assert digest(("a", b"1"), ("b", b"2")) == digest(("b", b"2"), ("a", b"1"))
    assert len({digest(), digest(("a", b"1")), digest(("a", b"2")), digest(("a1", b"")), digest(("b", b"1"))}) == 5


def test_chunks_are_limited_and_a_long_tail_is_sent_in_several() -> None:
    waiting = deque([Piece("a", b"x" * 500), Piece("b", b"x" * 500), Piece("c", b"x" * 5_000)])
    assert [len(take_chunk(waiting, GiverLimits(chunk_bytes=1_200))) for _ in range(2)] == [2, 1]
    giver = new_giver(MemoryContent())
    for name in "abcdefgh":
        giver._unsent.append(Piece(name, b"x"))
    giver.step = Step.CLOSING
    giver.shut_us = 0
    assert isinstance(requests(giver.tick(0))[0], Chunk)


def test_a_taker_with_an_older_state_version_refuses_the_offer() -> None:
    content, to = MemoryContent(), taker()
    content.version = 3
    giver = new_giver(content)
    run_until(giver, to, Step.COPYING)
    assert giver.step is Step.UNDONE and "state version 3, expected at most 2" in giver.why
    assert content.is_open and not content.shuts and to.snapshot() == []
