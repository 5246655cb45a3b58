"""Contracts that operators declare for channels: the `[[contract]]` tables, their validation, and which contract
applies to a message.

Imports pydantic; loaded only where a file declares contracts. `wheelstep.channels.terms` has the terms alone.
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

_DOCUMENTATION = "docs/design/channels.md"
_DEFAULT_AHEAD = 16

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9_-]{0,39}$")]
Pattern = Annotated[str, Field(min_length=1, max_length=200)]
Patterns = Annotated[tuple[Pattern, ...], Field(max_length=100)]
KeptTime = Annotated[Duration, Field(ge=1_000, le=30 * 86_400_000_000)]  # microseconds: 1 ms to 30 days


class ContractError(Exception):
    """Contracts cannot be used. The text is one line: key, what was found and what was expected."""


class ContractPart(Table):
    """One contract, times in microseconds; `Contract` explains the fields. Combinations that are impossible to keep or
    have no meaning are rejected."""

    name: Name
    classes: Annotated[tuple[Annotated[str, Field(min_length=1)], ...], Field(max_length=100)] = ()
    destinations: Annotated[tuple[Annotated[int, Field(ge=0, lt=2**63, strict=True)], ...],
                            Field(max_length=1000)] = ()
    keys: Patterns = ()
    paths: Patterns = ()
    order: Order
    open: Annotated[int | None, Field(ge=1, le=128, strict=True, validate_default=True)] = None
    gap: Annotated[Gap | None, Field(validate_default=True)] = None
    gap_after: Annotated[KeptTime | None, Field(validate_default=True)] = None
    repeat: Repeat = "may"
    unclear: Unclear | None = None
    rest: Annotated[KeptTime | None, Field(validate_default=True)] = None
    ahead: Annotated[int | None, Field(ge=1, le=128, strict=True)] = None
    keep: KeptTime = 3_600_000_000

    @field_validator("open")
    @classmethod
    def _check_open(cls, value: int | None, info: ValidationInfo) -> int | None:
        order = info.data.get("order")
        if order == "window" and value is None:
            raise ValueError('missing; expected a number, since order is "window"')
        if order in ("strict", "latest", "none") and value is not None:
            raise ValueError(f'{value} with order "{order}"; expected only with order "window"')
        return value

    @field_validator("gap")
    @classmethod
    def _check_gap(cls, value: str | None, info: ValidationInfo) -> str | None:
        if info.data.get("order") == "latest" and value in ("hold", "skip"):
            raise ValueError(f'"{value}" with order "latest", where a newer message passes any gap; '
                             'expected "fail" or no value')
        return value

    @field_validator("gap_after")
    @classmethod
    def _check_gap_after(cls, value: int | None, info: ValidationInfo) -> int | None:
        if "gap" in info.data:
            if info.data["gap"] == "skip" and value is None:
                raise ValueError('missing; expected a time, since gap is "skip"')
            if info.data["gap"] != "skip" and value is not None:
                raise ValueError(f'set with gap "{info.data["gap"] or "hold"}"; expected only with gap "skip"')
        return value

    @field_validator("unclear")
    @classmethod
    def _check_unclear(cls, value: str | None, info: ValidationInfo) -> str | None:
        order = info.data.get("order")
        if order == "none" and value is not None:
            raise ValueError(f'"{value}" with order "none", where no message waits for another; expected no value')
        if order in ("strict", "latest") and value == "go":
            raise ValueError(f'"go" with order "{order}", where one message is in flight at a time; '
                             'expected "hold" or "rest"')
        return value

    @field_validator("rest")
    @classmethod
    def _check_rest(cls, value: int | None, info: ValidationInfo) -> int | None:
        if "unclear" in info.data:
            if info.data["unclear"] == "rest" and value is None:
                raise ValueError('missing; expected a time, since unclear is "rest"')
            if info.data["unclear"] != "rest" and value is not None:
                raise ValueError('set without unclear = "rest"; expected only with it')
        return value

    @field_validator("ahead")
    @classmethod
    def _check_ahead(cls, value: int | None, info: ValidationInfo) -> int | None:
        if info.data.get("gap") == "fail" and value is not None:
            raise ValueError(f'{value} with gap "fail", which accepts only the next number; expected no value')
        return value

    @field_validator("keep")
    @classmethod
    def _check_keep(cls, value: int, info: ValidationInfo) -> int:
        for key in ("rest", "gap_after"):
            if (other := info.data.get(key)) is not None and value < other:
                raise ValueError(f"shorter than {key}; expected at least as long")
        return value

    def contract(self) -> Contract:
        """Return the terms with defaults for what is unset; milliseconds are rounded up."""
        return Contract(self.name, self.order, 1 if self.order != "window" else self.open or 1, self.gap or "hold",
                        _to_ms(self.gap_after), self.repeat, self.unclear or "hold", _to_ms(self.rest),
                        0 if self.gap == "fail" else self.ahead or _DEFAULT_AHEAD, _to_ms(self.keep))


class _ContractFile(Table):
    """The tables of an operator's file that this module reads."""
    contract: Annotated[tuple[ContractPart, ...], Field(max_length=1000)] = ()


class Contracts:
    """Contracts in the order of the file; the first that matches a message applies. Raises `ContractError` if a name is
    used twice, or if a contract can never match because an earlier one matches all that it would."""

    def __init__(self, parts: Sequence[ContractPart]) -> None:
        self._named: dict[str, Contract] = {}
        for place, part in enumerate(parts):
            if part.name in self._named:
                raise ContractError(f"contract[{place}].name: {part.name!r} is used twice; expected different names")
            for before in parts[:place]:
                if _covers(before, part):
                    raise ContractError(f"contract[{place}].name: {part.name!r} never matches, since {before.name!r} "
                                        "before it matches all of it; expected an earlier place or other criteria")
            self._named[part.name] = part.contract()
        rows = [(part, _compile(part.keys), _compile(part.paths), frozenset(part.destinations)) for part in parts]
        self._by_class: dict[str | None, list[_Row]] = {}
        for name in {None, *(name for part in parts for name in part.classes)}:
            self._by_class[name] = [(self._named[part.name], where, keys, paths) for part, keys, paths, where in rows
                                    if not part.classes or name in part.classes]

    def __len__(self) -> int:
        return len(self._named)

    def match(self, message_class: str, destination: int, key: str | None, path: str) -> Contract | None:
        """Return the first contract that matches, or None. A message without a key matches as if its key were empty."""
        rows = self._by_class.get(message_class)
        for contract, where, keys, paths in self._by_class[None] if rows is None else rows:
            if (not where or destination in where) and (keys is None or keys.match(key or "")) \
                    and (paths is None or paths.match(path)):
                return contract
        return None

    def named(self, name: str) -> Contract | None:
        """Return the contract of this name, or None."""
        return self._named.get(name)

    def names(self) -> list[str]:
        """Return all names, in the order of the file."""
        return list(self._named)


_Row = tuple[Contract, frozenset[int], "re.Pattern[str] | None", "re.Pattern[str] | None"]


def read_contracts(tables: Any) -> Contracts:
    """Return the contracts of a file's `contract` tables (a list of dicts). Raises `ContractError`."""
    try:
        return Contracts(_ContractFile.model_validate({"contract": tables}).contract)
    except ValidationError as error:
        raise ContractError(describe_error(error, _DOCUMENTATION)) from error


def describe_changes(old: Contracts, new: Contracts) -> list[str]:
    """Describe which terms a reload changes, one line for each contract that is added, removed or changed. Changes of
    the order of contracts, and of which messages they match, are not described. A channel that holds messages keeps the
    terms under which they were taken: terms are stored with the channel, also across restarts and moves."""
    lines = []
    for name in dict.fromkeys([*old.names(), *new.names()]):
        before, after = old.named(name), new.named(name)
        if before is None:
            lines.append(f"contract {name!r} is added")
        elif after is None:
            lines.append(f"contract {name!r} is removed; channels that hold messages of it keep its terms")
        elif before != after:
            changed = ", ".join(f"{key} {getattr(before, key)!r} -> {getattr(after, key)!r}"
                                for key in before.__struct_fields__ if getattr(before, key) != getattr(after, key))
            lines.append(f"contract {name!r}: {changed}; channels that hold messages keep the old terms until they are "
                         "empty")
    return lines


def channel_name(contract: Contract, destination: int, key: str | None) -> str:
    """Return the name of the channel for a message of this contract."""
    return f"{contract.name}/{destination}/{key or ''}"


def part_of(channel: str, parts: int) -> int:
    """Return the part, from 0, to which a channel belongs: the same at every start and on every machine."""
    return xxhash.xxh3_64_intdigest(channel.encode()) % parts


def _to_ms(time_us: int | None) -> int:
    """Return microseconds as milliseconds, rounded up; 0 for None."""
    return -(-(time_us or 0) // 1000)


def _compile(patterns: Sequence[str]) -> re.Pattern[str] | None:
    """Return one expression for all patterns; None matches everything."""
    if not patterns or "*" in patterns:
        return None
    return re.compile("|".join(fnmatch.translate(pattern) for pattern in patterns))


def _covers(before: ContractPart, after: ContractPart) -> bool:
    """Return whether the first contract matches all that the second would. False also where that needs more than
    comparing the patterns one by one."""
    return all(not wide or (narrow and set(narrow) <= set(wide)) for wide, narrow in (
        (before.classes, after.classes), (before.destinations, after.destinations))) and \
        _covers_patterns(before.keys, after.keys) and _covers_patterns(before.paths, after.paths)


def _covers_patterns(wide: Sequence[str], narrow: Sequence[str]) -> bool:
    """Return whether each of the narrow patterns matches nothing but what the wide ones match."""
    if not wide or "*" in wide:
        return True
    taken = _compile(wide)
    return bool(narrow) and all(pattern in wide or (
        not set("*?[") & set(pattern) and taken is not None and taken.match(pattern)) for pattern in narrow)
