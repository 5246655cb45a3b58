"""Schema of a standalone courier's file: its fields, their checks, and checks across fields.

docs/operations/standalone.md has a reference of all fields, made from this module by `umberchute config reference`.
"""

from __future__ import annotations

import hashlib
import re
import tomllib
from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import Annotated, Literal

from pydantic import Field, ValidationError, model_validator

from wheelstep.fields import Duration, Table, describe_error

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9_-]{0,39}$")]
_ADDRESS = re.compile(r"(\[[0-9a-fA-F:.]+\]|[^\s:/@]+):(\d{1,5})")


def _port(text: str) -> int | None:
    """Return the port of a host:port, or None if the text is malformed."""
    match = _ADDRESS.fullmatch(text)
    return int(match[2]) if match is not None and int(match[2]) <= 65535 else None


class FileError(Exception):
    """The file can't be used: `file: key: what was found; expected what`."""


class ClassPart(Table):
    """A class of messages: what a repeated delivery does, and what time means to it."""

    effect: Annotated[Literal["safe", "keyed", "unsafe"], Field(
        description="what a second delivery does: nothing bad, nothing where the partner knows the key, harm")]
    aim: Annotated[Duration, Field(description="delivered within this it has its full worth")] = 2_000_000
    deadline: Annotated[Duration, Field(description="after this it is given up; clients may ask for less")] = 30_000_000
    worth: Annotated[float, Field(gt=0, le=1000, description="beside messages of other classes")] = 1.0
    late_worth: Annotated[float, Field(ge=0, le=1000, description="what is left of it at the deadline")] = 0.3
    key_life: Annotated[Duration, Field(description="keyed: partners remember a key for so long")] = 60_000_000
    ordered: Annotated[bool, Field(description="messages of one key go one after another")] = False

    @model_validator(mode="after")
    def _check_values(self) -> ClassPart:
        if not 0 < self.aim <= self.deadline:
            raise ValueError("aim is not between 0 and the deadline; expected aim <= deadline")
        if self.late_worth > self.worth:
            raise ValueError("late_worth is more than worth; expected at most as much")
        return self


class EndpointsPart(Table):
    """The endpoints that serve a partner."""

    endpoints: Annotated[tuple[str, ...], Field(description="host:port of each")] = ()
    drain: Annotated[tuple[str, ...], Field(description="those of them that get nothing new")] = ()

    @model_validator(mode="after")
    def _check_addresses(self) -> EndpointsPart:
        known = set()
        for number, text in enumerate(self.endpoints):
            if not _port(text):
                raise ValueError(f"endpoints[{number}]: {text!r} is not an address; expected host:port")
            if text in known:
                raise ValueError(f"endpoints[{number}]: {text!r} is listed twice; expected each once")
            known.add(text)
        for number, text in enumerate(self.drain):
            if text not in known:
                raise ValueError(f"drain[{number}]: {text!r} is not one of the endpoints; expected one of them")
        return self


class DestinationPart(EndpointsPart):
    """A partner: the endpoints that serve it."""

    batch: Annotated[int, Field(ge=1, le=1000, description="messages in a call at most")] = 1
    sign: Annotated[tuple[str, ...], Field(max_length=4, description=(
        "keys that calls are signed with (Standard Webhooks): `file:NAME` beside this file, or `env:NAME`"))] = ()
    routes_apart: Annotated[bool, Field(description="a wait told by one endpoint does not bind the others")] = False

    @model_validator(mode="after")
    def _check_values(self) -> DestinationPart:
        for number, text in enumerate(self.sign):
            if not re.fullmatch(r"(file|env):.+", text):
                raise ValueError(f"sign[{number}]: is not a key location; expected file:NAME or env:NAME")
        if self.sign and self.batch > 1:
            raise ValueError("batch is more than 1 where calls are signed; expected 1: a signature is of one message")
        return self


class RoutePart(Table):
    """What it takes, and where that goes. The first route that matches counts; one without conditions takes all."""

    tenant: Annotated[Name | None, Field(description="only this tenant's")] = None
    message_class: Annotated[Name | None, Field(alias="class", description="only of this class")] = None
    path: Annotated[str | None, Field(description="only this path; * stands for anything")] = None
    key: Annotated[str | None, Field(description="only keys like this; * stands for anything")] = None
    headers: Annotated[dict[str, str], Field(description="only with these; * stands for anything")] = {}
    to: Annotated[Name | dict[Name, Annotated[int, Field(ge=1, le=10_000)]], Field(
        description="a destination, or several with weights: one key always goes the same way")]
    fallback: Annotated[Name | None, Field(description="where to when that has no endpoint left")] = None
    mirror: Annotated[Name | None, Field(
        description="a copy goes there too, whose end nobody is told; never of an unsafe class")] = None

    @property
    def weights(self) -> Mapping[str, int]:
        """Return the destinations with their weights."""
        return {self.to: 1} if isinstance(self.to, str) else self.to


class TenantPart(Table):
    """A client: what it proves itself by, and its share."""

    tokens: Annotated[tuple[str, ...], Field(description=(
        "sha256 of each bearer token in hex (`umberchute keys new`); two while one is replaced"))] = ()
    open: Annotated[bool, Field(description="whoever names no token is this tenant; one at most")] = False
    plain_names: Annotated[bool, Field(description=(
        "partners hear its messages' names as they are, not TENANT~NAME; one at most"))] = False
    rate_per_s: Annotated[float, Field(gt=0, le=100_000, description="messages that it may hand in")] = 1000.0
    burst: Annotated[int, Field(ge=1, le=100_000, description="and so many at once")] = 100
    held_share: Annotated[float, Field(gt=0, le=1, description="of the messages that may be held")] = 1.0

    @model_validator(mode="after")
    def _check_values(self) -> TenantPart:
        if not self.tokens and not self.open:
            raise ValueError("tokens is missing; expected one at least where open is not true")
        for number, text in enumerate(self.tokens):
            if not re.fullmatch(r"[0-9a-f]{64}", text):
                raise ValueError(f"tokens[{number}]: is not SHA-256 in hex; expected what `umberchute keys new` prints")
        return self


class RulesPart(Table):
    """What holds between this courier and its partners."""

    settle: Annotated[Duration, Field(description="a key rests for so long after a call of it broke")] = 300_000
    drain_grace: Annotated[
        Duration, Field(description="calls may still begin so long after an endpoint drains")] = 250_000
    cold: Annotated[
        Duration, Field(description="an endpoint that was started anew is as fast as before after this")] = \
        10_000_000
    cold_from: Annotated[float, Field(gt=0, le=1, description="what it does at first, of that")] = 0.3
    fall_multiple: Annotated[float, Field(ge=1, description="it falls over at so many times what it can do")] = 1.5
    fall_for: Annotated[Duration, Field(description="and stays down for so long")] = 3_000_000
    probes: Annotated[bool, Field(description="partners may be asked GET /healthz where they seem sick")] = False


class LimitsPart(Table):
    """What the courier may use."""

    held: Annotated[int, Field(ge=1, le=10_000_000, description="messages whose end is owed")] = 10_000
    slots: Annotated[int, Field(ge=1, le=100_000, description="calls to partners at once")] = 256
    attempts: Annotated[int, Field(ge=1, le=1000, description="for a message at most")] = 20
    descriptors: Annotated[int, Field(ge=64, le=1_000_000, description="a third of them for clients")] = 1024
    disk_mb: Annotated[float, Field(ge=1, le=1_000_000, description="for the journal")] = 64.0
    kept_ends: Annotated[int, Field(ge=100, le=10_000_000, description="ends that can be asked for")] = 10_000
    idle: Annotated[Duration, Field(description="partners close connections that were idle for so long")] = 15_000_000
    dial: Annotated[Duration, Field(description="for a connection to a partner to come up")] = 1_000_000


class Standalone(Table):
    """The whole file."""

    name: Annotated[Name, Field(description="of this courier")] = "umberchute"
    listen: Annotated[str, Field(description="host:port for clients")]
    state: Annotated[Path, Field(description="folder of the journal, relative to the file")]
    endpoints_from: Annotated[Path | None, Field(description=(
        "a folder that is watched: NAME.toml has `endpoints` and `drain` of destination NAME"))] = None
    notify: Annotated[str | None, Field(description=(
        "host:port where undelivered ends are posted to /v1/outcomes, a JSON line each, until answered 204"))] = None
    limits: LimitsPart = LimitsPart()
    rules: RulesPart = RulesPart()
    classes: Annotated[dict[Name, ClassPart], Field(alias="class", min_length=1)]
    destinations: Annotated[dict[Name, DestinationPart], Field(alias="destination", min_length=1)]
    routes: Annotated[tuple[RoutePart, ...], Field(alias="route", min_length=1)]
    tenants: Annotated[dict[Name, TenantPart], Field(alias="tenant", min_length=1)]


def destination_number(name: str) -> int:
    """Return the number of a destination in the core and the journal; it depends on the name only, not on order."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=6).digest(), "big")


def parse(text: str, source: str) -> Standalone:
    """Parse and check the text of a file. Raises `FileError` that begins with `source`."""
    try:
        file_config = Standalone.model_validate(tomllib.loads(text))
    except tomllib.TOMLDecodeError as error:
        raise FileError(f"{source}: {error}; expected TOML") from error
    except ValidationError as error:
        raise FileError(f"{source}: {describe_error(error, 'docs/operations/standalone.md')}") from error
    for key, message in _cross_part_errors(file_config):
        raise FileError(f"{source}: {key}: {message}")
    return file_config


def load(path: Path) -> Standalone:
    """Read and check a file; its folders become absolute paths. Raises `FileError`."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise FileError(f"{path}: can't be read: {error}; expected TOML in UTF-8") from error
    file_config = parse(text, str(path))
    return file_config.model_copy(update={
        "state": (path.parent / file_config.state).absolute(), "endpoints_from":
        None if file_config.endpoints_from is None else (path.parent / file_config.endpoints_from).absolute()})


def _cross_part_errors(file_config: Standalone) -> Iterable[tuple[str, str]]:
    """Yield key and message of each violation of a rule that spans several parts of the file."""
    for key, text in (("listen", file_config.listen), ("notify", file_config.notify)):
        if text is not None and _port(text) is None:
            yield key, f"{text!r} is not an address; expected host:port"
    numbers: dict[int, str] = {}
    for name in file_config.destinations:
        if (other := numbers.setdefault(destination_number(name), name)) != name:
            yield f"destination.{name}", f"has the same number as {other!r}; expected another name"
    for key in ("open", "plain_names"):
        if len(names := [name for name, tenant in file_config.tenants.items() if getattr(tenant, key)]) > 1:
            yield f"tenant.{names[1]}.{key}", f"{names[0]!r} is that already; expected one at most"
    seen: dict[str, str] = {}
    for name, tenant in file_config.tenants.items():
        for token in tenant.tokens:
            if (other := seen.setdefault(token, name)) != name:
                yield f"tenant.{name}.tokens", f"one of them is that of {other!r} as well; expected different ones"
    for number, route in enumerate(file_config.routes):
        at = f"route[{number}]"
        known = ", ".join(file_config.destinations)
        named = [("to", name) for name in route.weights] + [("fallback", route.fallback), ("mirror", route.mirror)]
        for key, wanted in named:
            if wanted is not None and wanted not in file_config.destinations:
                yield f"{at}.{key}", f"unknown destination {wanted!r}; expected one of {known}"
        if not route.weights:
            yield f"{at}.to", "names no destination; expected one at least"
        if route.message_class is not None and route.message_class not in file_config.classes:
            yield f"{at}.class", (f"unknown class {route.message_class!r}; "
                                 f"expected one of {', '.join(file_config.classes)}")
        if route.tenant is not None and route.tenant not in file_config.tenants:
            yield f"{at}.tenant", f"unknown tenant {route.tenant!r}; expected one of {', '.join(file_config.tenants)}"
        if route.mirror is not None:
            classes = [route.message_class] if route.message_class is not None else list(file_config.classes)
            if unsafe := [name for name in classes if file_config.classes[name].effect == "unsafe"]:
                yield f"{at}.mirror", f"class {unsafe[0]!r} is unsafe; expected a route of other classes only"
            if route.mirror in route.weights or route.mirror == route.fallback:
                yield f"{at}.mirror", f"{route.mirror!r} gets the message itself; expected another destination"
