"""Decodes positions that come from a journal or another courier. No I/O; imports msgspec."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Annotated

import msgspec

from wheelstep.channels.position import FLAG_ASSIGNED, FLAG_UNCLEAR, MAX_NUMBER, VERSION, Entry, Position, PositionError
from wheelstep.channels.terms import Contract

_ChannelNumber = Annotated[int, msgspec.Meta(ge=1, le=MAX_NUMBER)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
_NumberList = Annotated[list[_ChannelNumber], msgspec.Meta(max_length=1024)]
_NameList = Annotated[list[Annotated[str, msgspec.Meta(max_length=1000)]], msgspec.Meta(max_length=1024)]


class _Data(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """The fields of `Position.to_data`, in order."""
    version: int
    next: Annotated[int, msgspec.Meta(ge=1, le=MAX_NUMBER + 1)]
    session: _Count
    revision: _Count
    rests: bool
    above: _NumberList
    lost: _NumberList
    freed: _NumberList
    handed_back: _NameList
    held: _NumberList
    messages: _NameList
    flags: Annotated[list[Annotated[int, msgspec.Meta(ge=0, le=3)]], msgspec.Meta(max_length=1024)]
    ended: _NumberList
    answered: _NameList
    codes: Annotated[str, msgspec.Meta(pattern="^[drfsp]*$", max_length=1024)]
    terms: Contract
    stale: bool = False


def from_data(value: object) -> Position:
    """Decode the result of `Position.to_data` after it has passed through JSON or msgpack. Raises `PositionError`."""
    if isinstance(value, list | tuple) and value and value[0] != VERSION:
        raise PositionError(f"position of format version {str(value[0])[:40]}; expected {VERSION}")
    try:
        data = msgspec.convert(value, _Data)
    except msgspec.ValidationError as error:
        raise PositionError(f"invalid position: {error}") from error
    _check_consistency(data)
    position = Position(data.terms)
    position.next, position.session, position.revision = data.next, data.session, data.revision
    position.resting, position.taken_above, position.lost = data.rests, set(data.above), set(data.lost)
    position.stale = data.stale
    position.freed = dict(zip(data.freed, data.handed_back, strict=True))
    for number, message, flags in zip(data.held, data.messages, data.flags, strict=True):
        position.entries[number] = Entry(message, bool(flags & FLAG_ASSIGNED), bool(flags & FLAG_UNCLEAR))
    position.outcomes = dict(zip(data.ended, zip(data.answered, data.codes, strict=True), strict=True))
    return position


def _check_consistency(data: _Data) -> None:
    """Raise `PositionError` if fields contradict each other."""
    above, known = set(data.above), data.held + data.ended
    for name, numbers in (("above", data.above), ("handed back or lost", data.freed + data.lost),
                          ("of messages", known)):
        if len(set(numbers)) != len(numbers):
            raise PositionError(f"invalid position: a number {name} is listed twice; expected each once")
    if not len(data.held) == len(data.messages) == len(data.flags) or \
            not len(data.ended) == len(data.answered) == len(data.codes) or len(data.freed) != len(data.handed_back):
        raise PositionError("invalid position: corresponding lists differ in length; expected the same")
    held, free = set(data.held), set(data.freed)
    _check_numbers("above", above, lambda number: number > data.next, f"more than {data.next}")
    _check_numbers("lost", data.lost, lambda number: number < data.next, f"less than {data.next}")
    _check_numbers("of a message", known, lambda number: number < data.next or number in above, "a taken number")
    _check_numbers("above", above, lambda number: number not in free, "a number that is not handed back")
    _check_numbers("handed back or lost", [*free, *data.lost], lambda number: number not in held,
                   "a number that is not held")


def _check_numbers(what: str, numbers: Iterable[int], fits: Callable[[int], bool], expected: str) -> None:
    """Raise `PositionError` for the first number for which `fits` returns False."""
    for number in numbers:
        if not fits(number):
            raise PositionError(f"invalid position: number {number} {what}; expected {expected}")
