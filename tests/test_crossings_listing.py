"""The decisions behind the watch, without sockets: parsing of lists, and when which watch is opened and counts."""

from __future__ import annotations

import json
import os
import random

import pytest
from helpers import SAFE
from silent_agent import changes

from wheelstep import Settings
from wheelstep.courier.hedge import Hedge
from wheelstep.courier.listing import ListParser
from wheelstep.courier.spread import ANSWER_S, HEARTBEAT_S, MOVE_LIMIT_S, NEWS_LIMIT_S, SILENCE_S, max_retry_s, wait_s


@pytest.mark.parametrize("indent", [None, 1])
@pytest.mark.parametrize("end", [b"\n", b"\r\n"])
def test_lists_are_parsed_in_any_layout_and_cut_at_any_byte(indent: int | None, end: bytes) -> None:
    """Guards against a parser that depends on line ends or read sizes."""
    lists = [changes(1, whole=True, note='"}{\\', more={"a": [{}]}), changes(2), changes(3, hosts=[])]
    texts = [json.dumps(one, indent=indent).encode().replace(b"\n", end) for one in lists]
    text = end + texts[0] + end + end + texts[1] + texts[2] + end
    for step in (1, len(text), *range(1, len(text), 7)):
        listing = ListParser()
        found = [one for at in range(0, len(text), step) for one in listing.feed(text[at:at + step])]
        assert [one for one in found if one] == lists and found.count(None) >= 3
        listing, cut = ListParser(), step
        assert [one for part in (text[:cut], text[cut:]) for one in listing.feed(part) if one] == lists


def test_oversized_list_is_skipped_with_one_log_line_and_junk_is_rejected(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against a list that fills memory or the log, and against invalid data that is waited on instead of
    rejected."""
    listing = ListParser(max_bytes=1000)
    long = json.dumps({"seq": 1, "hosts": ["x" * 50] * 1000}).encode()
    found = []
    for at in range(0, len(long), 100):
        found += list(listing.feed(long[at:at + 100]))
        assert len(listing._buffer) <= 1100
    assert found == [None] and list(listing.feed(b'\n{"seq":2}')) == [None, {"seq": 2}]
    assert [record.getMessage() for record in caplog.records].count(
        "discovery: passed over a list of more than 1000 bytes, 1 on this watch") == 1
    for junk in (b"no json\n", b"[1]\n", b"}\n", b'{"a" 1}', b'{"n":' + b"9" * 5000 + b"}"):
        with pytest.raises(ValueError):
            list(ListParser().feed(junk))
    assert list(ListParser().feed(b'{"seq":3}\n{"seq":4,"ho')) == [{"seq": 3}, None]


def test_200_watches_silent_at_once_spread_their_calls_in_time_and_back_off() -> None:
    """Guards against an overloaded discovery: 200 couriers whose watches fall silent together must not call at
    once, yet in time, and back off while calls fail."""
    for seed in range(20):
        fleet = [Hedge(200, random.Random(f"{seed} {number}"), 0.0) for number in range(200)]
        first, second, third = [], [], []
        for hedge in fleet:
            hedge.received(hedge.open_next(hedge.next_open_s)[0], now_s := 100.0)
            first.append(hedge.next_open_s - now_s)
            hedge.open_next(hedge.next_open_s)
            second.append(hedge.next_open_s - now_s)
            hedge.open_next(hedge.next_open_s)
            third.append(hedge.next_open_s - now_s)
        assert min(first) >= SILENCE_S and max(second) <= NEWS_LIMIT_S - ANSWER_S
        assert max(sum(at <= one < at + 0.5 for one in first) for at in (2.5, 3.0, 3.5)) < 100
        assert min(third) >= 9.95  # as after a rejected call
        for hedge in fleet:  # a call that is rejected or breaks at once backs off too
            number, _ = hedge.open_next(at := hedge.next_open_s)
            hedge.ended(number, at + 0.1)
            assert hedge.next_open_s - at >= 19.9
    asking = Settings(classes=(SAFE,), slots=4, senders=200, ask_for_list=True, ask_within_us=10_000_000)
    assert max(wait_s(200, 9, random.Random(seed), max_s=max_retry_s(asking)) for seed in range(99)) <= 40.0
    lost = Hedge(200, random.Random(1), 0.0)
    lost.received(number := lost.open_next(0.0)[0], 50.0)
    lost.ended(number, 50.0)
    assert lost.next_open_s <= 55.0  # it worked for long and was lost, which is no failed call


def test_any_order_of_events_keeps_at_most_two_watches_open_and_the_next_call_in_time() -> None:
    """Guards against an order of events that opens a third watch, or after which no next call is scheduled in time."""
    seed = int(os.environ.get("CROSSINGS_SEED", random.randrange(1 << 30)))
    print(f"CROSSINGS_SEED={seed}")
    rng = random.Random(seed)
    for _ in range(300):
        couriers, now_s = rng.choice((1, 1, 3, 200)), 0.0
        hedge, opened = Hedge(couriers, rng, 0.0, 40.0), set[int]()
        for _ in range(60):
            event = rng.choice(("due", "due", "spoke", "ended", "stale", "move"))
            now_s = max(now_s, hedge.next_open_s) if event == "due" else now_s + rng.uniform(0.0, 0.5)
            if event == "due":
                number, ended = hedge.open_next(now_s)
                opened = {*opened, number} - set(ended)
            elif event == "spoke" and opened:
                one = rng.choice(sorted(opened))
                assert set(hedge.received(one, now_s)) == opened - {one}
                opened = {one}
                assert HEARTBEAT_S < hedge.next_open_s - now_s <= NEWS_LIMIT_S - ANSWER_S + 1e-9
            elif event == "ended" and opened:
                hedge.ended(one := rng.choice(sorted(opened)), now_s)
                opened.discard(one)
            elif event == "stale":
                next_open_s = hedge.next_open_s
                hedge.ended(-1, now_s)
                assert hedge.next_open_s == next_open_s
            elif event == "move":
                assert set(hedge.move(now_s)) == opened
                opened = set()
                assert hedge.next_open_s - now_s <= MOVE_LIMIT_S - ANSWER_S + 1e-9
            assert len(opened) <= 2 and all(one in hedge for one in opened)
            assert hedge.next_open_s - now_s <= (SILENCE_S if couriers == 1 else 40.0) + 1e-9
