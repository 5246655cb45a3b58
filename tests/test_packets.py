"""The seal of packets between couriers: valid ones open once in any order; others are refused with the right reason and
change no state."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wheelstep.fleet.packets import (
    DATAGRAM,
    DATAGRAM_BYTES,
    MAX_SENDERS,
    NOTE_EVERY_US,
    STREAM,
    STREAM_BYTES,
    WINDOW_SIZE,
    HigherBoot,
    PacketError,
    PacketSeal,
    Reason,
)
from wheelstep.fleet.types import Hello, Member, Ping, Stand, State, Votes

KEY, OTHER = b"k" * 32, b"o" * 32


def seal(me: str, boot: int = 5, key: bytes | list[bytes] = KEY, fleet: str = "fleet",
         lane: str = "datagram") -> PacketSeal:
    """Return a seal for datagrams."""
    return PacketSeal(key, fleet, me, boot, lane=lane)


def refusal(receiver: PacketSeal, data: bytes) -> Reason:
    """Return why the packet is refused, after checking that it was counted once."""
    before = receiver.refused.total()
    with pytest.raises(PacketError) as refused:
        receiver.open(data, DATAGRAM)
    assert receiver.refused.total() == before + 1 and receiver.refused[refused.value.reason]
    return refused.value.reason


@settings(max_examples=60, deadline=None)
@given(st.randoms(use_true_random=False), st.integers(1, 40))
def test_valid_packets_open_once_in_any_order(rng: random.Random, count: int) -> None:
    """Reordering must not lose packets, and replays must be refused."""
    sender, receiver = seal("a"), seal("b")
    packets = [(number, sender.pack("b", Ping(number))) for number in range(count)]
    rng.shuffle(packets)
    for number, data in packets:
        opened = receiver.open(data, DATAGRAM)
        assert (opened.sender, opened.boot, opened.payload) == ("a", 5, Ping(number))
    for _, data in packets:
        assert refusal(receiver, data) is Reason.REPLAY


@settings(max_examples=200, deadline=None)
@given(st.data())
def test_damaged_packet_is_refused_and_the_intact_one_still_opens(data: st.DataObject) -> None:
    """A damaged copy must not use up the counter of the packet."""
    packet = seal("a").pack("b", Ping(7, (Member("a", 1, State.ALIVE, "127.0.0.1:1", "http://127.0.0.1:2"),)))
    receiver = seal("b")
    place = data.draw(st.integers(0, len(packet) - 1))
    flipped = bytes(byte ^ (data.draw(st.integers(1, 255)) if at == place else 0) for at, byte in enumerate(packet))
    assert refusal(receiver, flipped) in ({Reason.VERSION, Reason.SEAL} if place == 0 else {Reason.SEAL})
    assert refusal(receiver, packet[:place]) is Reason.SEAL
    assert refusal(receiver, packet + b"x") is Reason.SEAL
    assert receiver.open(packet, DATAGRAM).payload.seq == 7  # type: ignore[union-attr]


@pytest.mark.parametrize(("made", "reason"), [
    (lambda: seal("a", key=OTHER).pack("b", Ping(1)), Reason.SEAL),
    (lambda: seal("a", fleet="other").pack("b", Ping(1)), Reason.FLEET),
    (lambda: seal("a", lane="stream").pack("b", Ping(1)), Reason.FLEET),
    (lambda: seal("a").pack("c", Ping(1)), Reason.RECEIVER),
    (lambda: seal("a", boot=6).pack("b", Stand()), Reason.MALFORMED),
    (lambda: seal("a", boot=6).pack("b", Ping("one")), Reason.MALFORMED),  # type: ignore[arg-type]
    (lambda: seal("a", boot=4).pack("b", Ping(1)), Reason.OLD_BOOT),
    (lambda: b"\x02" + seal("a").pack("b", Ping(1))[1:], Reason.VERSION),
    (lambda: bytes(DATAGRAM_BYTES + 1), Reason.SIZE),
    (lambda: b"", Reason.SEAL)])
def test_each_refusal_has_its_reason_and_changes_no_state(made: Callable[[], bytes], reason: Reason) -> None:
    """A refused packet must not advance the replay window."""
    sender, receiver = seal("a"), seal("b")
    receiver.open(sender.pack("b", Ping(1)), DATAGRAM)
    assert refusal(receiver, made()) is reason
    assert receiver.open(sender.pack("b", Ping(2)), DATAGRAM).payload == Ping(2)
    assert receiver.refused == {reason: 1}


def test_higher_boot_number_replaces_a_lower_one() -> None:
    """Packets of an earlier run must not be replayed."""
    early, late, receiver = seal("a", 5), seal("a", 6), seal("b")
    first, held = early.pack("b", Ping(1)), early.pack("b", Ping(2))
    receiver.open(first, DATAGRAM)
    assert receiver.open(late.pack("b", Ping(3)), DATAGRAM).boot == 6
    assert refusal(receiver, held) is Reason.OLD_BOOT
    assert refusal(receiver, first) is Reason.OLD_BOOT


def test_replay_window_is_bounded() -> None:
    """Counters older than the window are refused even if never received."""
    sender, receiver = seal("a"), seal("b")
    packets = [sender.pack("b", Ping(number)) for number in range(WINDOW_SIZE + 2)]
    receiver.open(packets[-1], DATAGRAM)
    assert refusal(receiver, packets[0]) is Reason.REPLAY  # not received, but older than the window
    receiver.open(packets[2], DATAGRAM)
    assert refusal(receiver, packets[2]) is Reason.REPLAY


def test_only_a_hello_may_have_an_unknown_receiver() -> None:
    """Any courier could be made to handle other packets without a receiver."""
    sender, receiver = seal("a"), seal("b")
    assert receiver.open(sender.pack("", Hello()), DATAGRAM).payload == Hello()
    with pytest.raises(ValueError, match="unknown receiver"):
        sender.pack("", Ping(1))


def test_key_can_be_replaced_while_both_are_known() -> None:
    """Couriers change keys one by one, without a common restart."""
    old, both, new = seal("a", key=KEY), seal("b", key=[KEY, OTHER]), seal("c", key=[OTHER, KEY])
    both.open(old.pack("b", Ping(1)), DATAGRAM)
    both.open(new.pack("b", Ping(1)), DATAGRAM)
    assert refusal(old, new.pack("a", Ping(2))) is Reason.SEAL
    old.open(both.pack("a", Ping(1)), DATAGRAM)


def test_courier_with_an_emptied_disk_learns_its_higher_boot_number() -> None:
    """Else all its packets would be refused as of an earlier run."""
    receiver, again = seal("b"), seal("a", boot=1)
    receiver.open(seal("a", boot=9).pack("b", Ping(1)), DATAGRAM)
    assert refusal(receiver, again.pack("b", Ping(1))) is Reason.OLD_BOOT
    told = receiver.higher_boot_packet("a", 0)
    assert told is not None and receiver.higher_boot_packet("a", 999_999) is None
    assert receiver.higher_boot_packet("a", 1_000_000) is not None
    higher_boot = again.open(told, DATAGRAM).payload
    assert isinstance(higher_boot, HigherBoot) and again.raise_boot(higher_boot, 0) and again.boot == 10
    assert receiver.open(again.pack("b", Ping(1)), DATAGRAM).boot == 10
    # A known boot number, or a second one within ten seconds, does not raise it.
    assert not again.raise_boot(HigherBoot(10), 20_000_000)
    assert not again.raise_boot(HigherBoot(99), NOTE_EVERY_US - 1) and again.raise_boot(HigherBoot(99), NOTE_EVERY_US)
    assert not again.raise_boot(HigherBoot(1 << 62), 40_000_000)


def test_sender_table_is_bounded_and_needs_a_valid_seal() -> None:
    """Forged sender names must not evict windows of real ones."""
    receiver = seal("b")
    for number in range(MAX_SENDERS + 5):
        refusal(receiver, seal(f"forged{number}", key=OTHER).pack("b", Ping(1)))
    assert not receiver._windows
    for number in range(MAX_SENDERS + 5):
        receiver.open(seal(f"s{number}").pack("b", Ping(1)), DATAGRAM)
    assert len(receiver._windows) == MAX_SENDERS


def test_log_lines_are_limited_to_one_per_reason_in_ten_seconds() -> None:
    """A flood of bad packets must not flood the log."""
    receiver = seal("b")
    for _ in range(3):
        refusal(receiver, b"x" * 100)
    assert receiver.notes(0) == ["fleet fleet, datagram: packet of unknown sender refused (version): expected "
                                 "version 1 or older; 3 since the last line"]
    refusal(receiver, b"x" * 100)
    assert receiver.notes(NOTE_EVERY_US - 1) == []
    assert receiver.notes(NOTE_EVERY_US)[0].endswith("1 since the last line")
    assert receiver.notes(3 * NOTE_EVERY_US) == []


def test_sizes_and_names_are_bounded() -> None:
    """A packet above the limit of its lane must not be sealed."""
    with pytest.raises(ValueError, match="1200 at most"):
        seal("a").pack("b", Hello(tuple(Member(f"m{n}", 1, State.ALIVE, "x" * 60, "y" * 60) for n in range(9))))
    stream = PacketSeal(KEY, "fleet", "a", 1, lane="stream", max_bytes=STREAM_BYTES)
    other = PacketSeal(KEY, "fleet", "b", 1, lane="stream", max_bytes=STREAM_BYTES)
    assert other.open(stream.pack("b", Votes((), 3)), STREAM).payload == Votes((), 3)
    for bad in (lambda: seal(""), lambda: seal("n" * 65), lambda: seal("a", key=b"short"), lambda: seal("a", key=[])):
        with pytest.raises(ValueError, match="expected"):
            bad()
