"""Positions as they come back from a journal or another courier. No I/O; imports msgspec."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Annotated

import msgspec

from wheelstep.channels.position import GIVEN, MOST, UNCLEAR, VERSION, Entry, Position, PositionError
from wheelstep.channels.terms import Contract

_Number = Annotated[int, msgspec.Meta(ge=1, le=MOST)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=MOST)]
_Numbers = Annotated[list[_Number], msgspec.Meta(max_length=1024)]
_Names = Annotated[list[Annotated[str, msgspec.Meta(max_length=1000)]], msgspec.Meta(max_length=1024)]


class _Data(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    version: int
    next: Annotated[int, msgspec.Meta(ge=1, le=MOST + 1)]
    session: _Count
    revision: _Count
    rests: bool
    above: _Numbers
    lost: _Numbers
    freed: _Numbers
    handed_back: _Names
    held: _Numbers
    messages: _Names
    flags: Annotated[list[Annotated[int, msgspec.Meta(ge=0, le=3)]], msgspec.Meta(max_length=1024)]
    ended: _Numbers
    answered: _Names
    codes: Annotated[str, msgspec.Meta(pattern="^[drfsp]*$", max_length=1024)]
    terms: Contract
    stale: bool = False


def from_data(value: object) -> Position:
    """What `to_data` gave, as it came back from JSON or msgpack. Raises `PositionError`."""
    if isinstance(value, list | tuple) and value and value[0] != VERSION:
        raise PositionError(f"a position of version {str(value[0])[:40]}; expected {VERSION}")
    try:
        data = msgspec.convert(value, _Data)
    except msgspec.ValidationError as error:
        raise PositionError(f"no position: {error}") from error
    _check(data)
    position = Position(data.terms)
    position.next, position.session, position.revision = data.next, data.session, data.revision
    position.rests, position.above, position.lost = data.rests, set(data.above), set(data.lost)
    position.stale = data.stale
    position.freed = dict(zip(data.freed, data.handed_back, strict=True))
    for number, message, flags in zip(data.held, data.messages, data.flags, strict=True):
        position.entries[number] = Entry(message, bool(flags & GIVEN), bool(flags & UNCLEAR))
    position.answers = dict(zip(data.ended, zip(data.answered, data.codes, strict=True), strict=True))
    return position


def _check(data: _Data) -> None:
    """What can't be true together."""
    above, known = set(data.above), data.held + data.ended
    for name, numbers in (("above", data.above), ("freed or lost", data.freed + data.lost), ("of messages", known)):
        if len(set(numbers)) != len(numbers):
            raise PositionError(f"no position: a number {name} is there twice; expected each once")
    if not len(data.held) == len(data.messages) == len(data.flags) or \
            not len(data.ended) == len(data.answered) == len(data.codes) or len(data.freed) != len(data.handed_back):
        raise PositionError("no position: lists that belong together differ in length; expected the same")
    held, free = set(data.held), set(data.freed)
    _within("above", above, lambda number: number > data.next, f"more than {data.next}")
    _within("lost", data.lost, lambda number: number < data.next, f"less than {data.next}")
    _within("of a message", known, lambda number: number < data.next or number in above, "one that was taken")
    _within("above", above, lambda number: number not in free, "one that is not handed back")
    _within("handed back or lost", [*free, *data.lost], lambda number: number not in held, "one that is not held")


def _within(what: str, numbers: Iterable[int], fits: Callable[[int], bool], expected: str) -> None:
    for number in numbers:
        if not fits(number):
            raise PositionError(f"no position: {number} {what}; expected {expected}")
