"""What operators declare of channels: `[[contract]]` tables, their checks, and which contract a message falls under.

Imports pydantic; only loaded where a file declares contracts. The terms alone are in `wheelstep.channels.terms`.
"""

from __future__ import annotations

import fnmatch
import re
from collections.abc import Sequence
from typing import Annotated, Any

import xxhash
from pydantic import Field, ValidationError, ValidationInfo, field_validator

from wheelstep.channels.terms import Contract, Gap, Order, Repeat, Unclear
from wheelstep.fields import Duration, Table, describe_error

_PAGE = "docs/design/channels.md"
_AHEAD = 16

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9_-]{0,39}$")]
Pattern = Annotated[str, Field(min_length=1, max_length=200)]
Patterns = Annotated[tuple[Pattern, ...], Field(max_length=100)]
Kept = Annotated[Duration, Field(ge=1_000, le=30 * 86_400_000_000)]


class ContractError(Exception):
    """Contracts can't be used: `contract[1].gap: what was found; expected what`."""


class ContractPart(Table):
    """One contract. A combination that can't be kept or means nothing is refused."""

    name: Name
    classes: Annotated[tuple[Annotated[str, Field(min_length=1)], ...], Field(max_length=100)] = ()
    destinations: Annotated[tuple[Annotated[int, Field(ge=0, lt=2**63, strict=True)], ...],
                            Field(max_length=1000)] = ()
    keys: Patterns = ()
    paths: Patterns = ()
    order: Order
    open: Annotated[int | None, Field(ge=1, le=128, strict=True, validate_default=True)] = None
    gap: Annotated[Gap | None, Field(validate_default=True)] = None
    gap_after: Annotated[Kept | None, Field(validate_default=True)] = None
    repeat: Repeat = "may"
    unclear: Unclear | None = None
    rest: Annotated[Kept | None, Field(validate_default=True)] = None
    ahead: Annotated[int | None, Field(ge=1, le=128, strict=True)] = None
    keep: Kept = 3_600_000_000

    @field_validator("open")
    @classmethod
    def _open(cls, found: int | None, info: ValidationInfo) -> int | None:
        order = info.data.get("order")
        if order == "window" and found is None:
            raise ValueError('missing; expected a number, since order is "window"')
        if order in ("strict", "latest", "none") and found is not None:
            raise ValueError(f'{found} with order "{order}"; expected it with order "window" alone')
        return found

    @field_validator("gap")
    @classmethod
    def _gap(cls, found: str | None, info: ValidationInfo) -> str | None:
        if info.data.get("order") == "latest" and found in ("hold", "skip"):
            raise ValueError(f'"{found}" with order "latest", where a newer one goes past any gap; '
                             'expected "fail" or none')
        return found

    @field_validator("gap_after")
    @classmethod
    def _gap_after(cls, found: int | None, info: ValidationInfo) -> int | None:
        if "gap" in info.data:
            if info.data["gap"] == "skip" and found is None:
                raise ValueError('missing; expected a time, since gap is "skip"')
            if info.data["gap"] != "skip" and found is not None:
                raise ValueError(f'a time with gap "{info.data["gap"] or "hold"}"; expected it with gap "skip" alone')
        return found

    @field_validator("unclear")
    @classmethod
    def _unclear(cls, found: str | None, info: ValidationInfo) -> str | None:
        order = info.data.get("order")
        if order == "none" and found is not None:
            raise ValueError(f'"{found}" with order "none", where nothing follows anything; expected none')
        if order in ("strict", "latest") and found == "go":
            raise ValueError(f'"go" with order "{order}", where one is out at a time and the next waits for its end; '
                             'expected "hold" or "rest"')
        return found

    @field_validator("rest")
    @classmethod
    def _rest(cls, found: int | None, info: ValidationInfo) -> int | None:
        if "unclear" in info.data:
            if info.data["unclear"] == "rest" and found is None:
                raise ValueError('missing; expected a time, since unclear is "rest"')
            if info.data["unclear"] != "rest" and found is not None:
                raise ValueError('a time without unclear = "rest"; expected it with that alone')
        return found

    @field_validator("ahead")
    @classmethod
    def _ahead(cls, found: int | None, info: ValidationInfo) -> int | None:
        if info.data.get("gap") == "fail" and found is not None:
            raise ValueError(f'{found} with gap "fail", which takes the next number alone; expected none')
        return found

    @field_validator("keep")
    @classmethod
    def _keep(cls, found: int, info: ValidationInfo) -> int:
        for key in ("rest", "gap_after"):
            if (other := info.data.get(key)) is not None and found < other:
                raise ValueError(f"shorter than {key}; expected at least as long")
        return found

    def contract(self) -> Contract:
        """The terms, with what is unset filled in; milliseconds rounded up."""
        return Contract(self.name, self.order, 1 if self.order != "window" else self.open or 1, self.gap or "hold",
                        _ms(self.gap_after), self.repeat, self.unclear or "hold", _ms(self.rest),
                        0 if self.gap == "fail" else self.ahead or _AHEAD, _ms(self.keep))


class _File(Table):
    contract: Annotated[tuple[ContractPart, ...], Field(max_length=1000)] = ()


class Contracts:
    """Contracts in the order of the file; the first that matches counts. Raises `ContractError` where one is named
    twice, or can never match since one before it takes all that it would."""

    def __init__(self, parts: Sequence[ContractPart]) -> None:
        self._named: dict[str, Contract] = {}
        for place, part in enumerate(parts):
            if part.name in self._named:
                raise ContractError(f"contract[{place}].name: {part.name!r} is there twice; expected different names")
            for before in parts[:place]:
                if _covers(before, part):
                    raise ContractError(f"contract[{place}].name: {part.name!r} never matches, {before.name!r} before "
                                        "it takes all of it; expected it before that, or to match something else")
            self._named[part.name] = part.contract()
        rows = [(part, _compiled(part.keys), _compiled(part.paths), frozenset(part.destinations)) for part in parts]
        self._by_class: dict[str | None, list[_Row]] = {}
        for name in {None, *(name for part in parts for name in part.classes)}:
            self._by_class[name] = [(self._named[part.name], where, keys, paths) for part, keys, paths, where in rows
                                    if not part.classes or name in part.classes]

    def __len__(self) -> int:
        return len(self._named)

    def match(self, message_class: str, destination: int, key: str | None, path: str) -> Contract | None:
        """The first that matches, or None. A message without a key counts as one with an empty key."""
        rows = self._by_class.get(message_class)
        for contract, where, keys, paths in self._by_class[None] if rows is None else rows:
            if (not where or destination in where) and (keys is None or keys.match(key or "")) \
                    and (paths is None or paths.match(path)):
                return contract
        return None

    def named(self, name: str) -> Contract | None:
        """That one."""
        return self._named.get(name)

    def names(self) -> list[str]:
        """All, in the order of the file."""
        return list(self._named)


_Row = tuple[Contract, frozenset[int], "re.Pattern[str] | None", "re.Pattern[str] | None"]


def read(tables: Any) -> Contracts:
    """The contracts of a file's `contract` tables (a list of dicts). Raises `ContractError`, one line."""
    try:
        return Contracts(_File.model_validate({"contract": tables}).contract)
    except ValidationError as error:
        raise ContractError(describe_error(error, _PAGE)) from error


def changes(old: Contracts, new: Contracts) -> list[str]:
    """What a reload changes, a line each. Channels that hold messages keep the terms that these were taken under:
    the book keeps terms with the channel, also over restarts and moves."""
    found = []
    for name in dict.fromkeys([*old.names(), *new.names()]):
        before, after = old.named(name), new.named(name)
        if before is None:
            found.append(f"contract {name!r} is new")
        elif after is None:
            found.append(f"contract {name!r} is gone; channels that hold messages of it keep its terms")
        elif before != after:
            told = ", ".join(f"{key} {getattr(before, key)!r} -> {getattr(after, key)!r}"
                             for key in before.__struct_fields__ if getattr(before, key) != getattr(after, key))
            found.append(f"contract {name!r}: {told}; channels that hold messages keep the old until they are empty")
    return found


def channel_name(contract: Contract, destination: int, key: str | None) -> str:
    """The channel that a message of this contract belongs to."""
    return f"{contract.name}/{destination}/{key or ''}"


def part_of(channel: str, parts: int) -> int:
    """The part, from 0, that a channel belongs to. The same at every start and on every machine."""
    return xxhash.xxh3_64_intdigest(channel.encode()) % parts


def _ms(time_us: int | None) -> int:
    return -(-(time_us or 0) // 1000)


def _compiled(patterns: Sequence[str]) -> re.Pattern[str] | None:
    """One expression for all; None takes everything."""
    if not patterns or "*" in patterns:
        return None
    return re.compile("|".join(fnmatch.translate(pattern) for pattern in patterns))


def _covers(before: ContractPart, after: ContractPart) -> bool:
    """Does the first take all that the second would?"""
    return all(not wide or (narrow and set(narrow) <= set(wide)) for wide, narrow in (
        (before.classes, after.classes), (before.destinations, after.destinations))) and \
        _covers_patterns(before.keys, after.keys) and _covers_patterns(before.paths, after.paths)


def _covers_patterns(wide: Sequence[str], narrow: Sequence[str]) -> bool:
    if not wide or "*" in wide:
        return True
    taken = _compiled(wide)
    return bool(narrow) and all(pattern in wide or (
        not set("*?[") & set(pattern) and taken is not None and taken.match(pattern)) for pattern in narrow)
