"""Positions of channels: encoding and decoding, and rejection of invalid ones."""

from __future__ import annotations

import json
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from wheelstep.channels.position import MAX_NUMBER, Position, PositionError, read_number
from wheelstep.channels.stored import from_data
from wheelstep.channels.terms import Contract

TERMS = Contract("orders", "strict", ahead=4)


def sample() -> Position:
    """Return a position with free, held and ended numbers."""
    position = Position(TERMS)
    for number in (1, 2, 3, 5, 6):
        position.take(number, f"m{number}", number == 3)
    position.raise_session(9)
    position.end(1, "delivered")
    position.mark_unclear(3)
    position.free(2)
    position.end(6, "skipped")
    position.set_resting(True)
    return position


def changed(place: int, value: Any) -> list[Any]:
    """Return the encoded sample with one field replaced."""
    data = sample().to_data()
    data[place] = value
    return data


def test_position_survives_json_and_msgpack() -> None:
    first = sample()
    for module in (json, msgspec.msgpack):
        data = module.loads(module.dumps(first.to_data())) if module is json \
            else module.decode(module.encode(first.to_data()))
        decoded = from_data(data)
        assert decoded.to_data() == first.to_data() and decoded.terms == TERMS
        assert [decoded.state(number) for number in range(1, 11)] == [
            "ended", "free", "held", "free", "held", "ended", "free", "free", "beyond", "beyond"]
        assert decoded.entries[3].assigned and decoded.entries[3].unclear and not decoded.entries[5].unclear
        assert (decoded.next, decoded.session, decoded.resting, decoded.next_assigned()) == (4, 9, True, 7)


@pytest.mark.parametrize(("data", "message"), [
    (None, "invalid position: Expected `array`, got `null`"),
    ([], "invalid position: Expected `array` of at least length 16, got 0"),
    (changed(0, 2), "position of format version 2; expected 1"),
    (changed(0, "x"), "position of format version x; expected 1"),
    (changed(1, -4), "invalid position: Expected `int` >= 1 - at `$[1]`"),
    (changed(1, 2**60), "invalid position: Expected `int` <= 9007199254740993 - at `$[1]`"),
    (changed(1, "4"), "invalid position: Expected `int`, got `str` - at `$[1]`"),
    (changed(2, True), "invalid position: Expected `int`, got `bool` - at `$[2]`"),
    (changed(3, 1.5), "invalid position: Expected `int`, got `float` - at `$[3]`"),
    (changed(9, [0, 3]), "invalid position: Expected `int` >= 1 - at `$[9][0]`"),
    (changed(9, [3, 3]), "invalid position: a number of messages is listed twice; expected each once"),
    (changed(9, [3]), "invalid position: corresponding lists differ in length; expected the same"),
    (changed(9, [3, 8]), "invalid position: number 8 of a message; expected a taken number"),
    (changed(9, [3, 2]), "invalid position: number 2 handed back or lost; expected a number that is not held"),
    (changed(5, [4]), "invalid position: number 4 above; expected more than 4"),
    (changed(6, [9]), "invalid position: number 9 lost; expected less than 4"),
    (changed(6, [2]), "invalid position: a number handed back or lost is listed twice; expected each once"),
    (changed(14, "dx"), "invalid position: Expected `str` matching regex '^[drfsp]*$' - at `$[14]`"),
    (changed(13, ["a"] * 3000), "invalid position: Expected `array` of length <= 1024 - at `$[13]`"),
    (changed(15, ["orders", "fifo"]), "invalid position: Invalid enum value 'fifo' - at `$[15][1]`"),
    ([*sample().to_data(), True, 1], "invalid position: Expected `array` of at most length 17, got 18"),
])
def test_invalid_position_is_rejected_with_its_reason(data: Any, message: str) -> None:
    with pytest.raises(PositionError) as caught:
        from_data(data)
    assert str(caught.value) == message


@pytest.mark.parametrize("text", ["", "0", "-1", "1.0", "x", " 1", "٣", "9007199254740993", "1" * 400, "0x1"])
def test_invalid_header_number_is_rejected(text: str) -> None:
    with pytest.raises(PositionError, match=r"expected 1 to 2\*\*53") as caught:
        read_number(text)
    assert len(str(caught.value)) < 120


def test_valid_header_number_is_read() -> None:
    assert [read_number(text) for text in ("1", "007", str(MAX_NUMBER))] == [1, 7, MAX_NUMBER]


def test_no_number_follows_the_maximum() -> None:
    position = Position(TERMS, MAX_NUMBER)
    position.lost.clear()
    position.take(MAX_NUMBER, "m", False)
    assert position.state(MAX_NUMBER) == "held" and position.state(position.next_assigned()) == "beyond"
    assert from_data(position.to_data()).next == MAX_NUMBER + 1


@given(st.lists(st.tuples(st.sampled_from(["take", "end", "free", "skip"]), st.integers(1, 40)), max_size=80))
def test_position_never_decreases_and_stays_bounded(steps: list[tuple[str, int]]) -> None:
    position = Position(TERMS)
    ended: set[int] = set()
    for step, number in steps:
        before = (position.next, position.revision)
        state = position.state(number)
        if step == "take" and state == "free":
            assert number not in ended, "an ended number may be taken again"
            position.take(number, f"m{number}", False)
        elif step == "end" and state == "held":
            position.end(number, "delivered")
            ended.add(number)
        elif step == "free" and state == "held":
            position.free(number)
        elif step == "skip" and number <= position.next + TERMS.ahead:
            position.skip(number)
            ended |= set(range(1, number)) - position.entries.keys()
        assert (position.next, position.revision) >= before and position.next >= before[0]
        assert len(position.outcomes) <= TERMS.ahead + 64 and len(position.taken_above) <= TERMS.ahead + 1
        assert from_data(json.loads(json.dumps(position.to_data()))).to_data() == position.to_data()
