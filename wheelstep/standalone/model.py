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
    """The file can't be used. The message has the form `file: key: what was found; expected what`."""


class ClassPart(Table):
    """A class of messages: the effect of a repeated delivery, and the value of a delivery over time."""

    effect: Annotated[Literal["safe", "keyed", "unsafe"], Field(
        description="effect of a repeat: `safe` none, `keyed` none while the partner knows the key, `unsafe` harm")]
    aim: Annotated[Duration, Field(description="a delivery within this time has the full worth")] = 2_000_000
    deadline: Annotated[Duration, Field(description="it is given up after this; clients may ask for less")] = 30_000_000
    worth: Annotated[float, Field(gt=0, le=1000, description="value of a delivery, relative to other classes")] = 1.0
    late_worth: Annotated[float, Field(ge=0, le=1000, description="share of `worth` left at the deadline")] = 0.3
    key_life: Annotated[Duration, Field(description="keyed only: how long partners remember a key")] = 60_000_000
    ordered: Annotated[bool, Field(description="messages of one key are sent one after another")] = False

    @model_validator(mode="after")
    def _check_values(self) -> ClassPart:
        if not 0 < self.aim <= self.deadline:
            raise ValueError("aim is not between 0 and the deadline; expected aim <= deadline")
        if self.late_worth > self.worth:
            raise ValueError("late_worth is more than worth; expected at most as much")
        return self


class EndpointsPart(Table):
    """The endpoints of a partner; also the fields of a file in the watched folder."""

    endpoints: Annotated[tuple[str, ...], Field(description="host:port of each endpoint")] = ()
    drain: Annotated[tuple[str, ...], Field(description="endpoints among them that get no new messages")] = ()

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
    """A partner and its endpoints."""

    batch: Annotated[int, Field(ge=1, le=1000, description="messages in one call, at most")] = 1
    sign: Annotated[tuple[str, ...], Field(max_length=4, description=(
        "keys that sign the calls (Standard Webhooks): `file:NAME`, relative to this file, or `env:NAME`"))] = ()
    routes_apart: Annotated[bool, Field(description="a wait that one endpoint asks for does not bind others")] = False

    @model_validator(mode="after")
    def _check_values(self) -> DestinationPart:
        for number, text in enumerate(self.sign):
            if not re.fullmatch(r"(file|env):.+", text):
                raise ValueError(f"sign[{number}]: is not a key location; expected file:NAME or env:NAME")
        if self.sign and self.batch > 1:
            raise ValueError("batch is more than 1 where calls are signed; expected 1: a signature is of one message")
        return self


class RoutePart(Table):
    """Conditions on a message, and its destination. The first match is used; a route without conditions matches all."""

    tenant: Annotated[Name | None, Field(description="only messages of this tenant")] = None
    message_class: Annotated[Name | None, Field(alias="class", description="only messages of this class")] = None
    path: Annotated[str | None, Field(description="only paths like this; * matches any text")] = None
    key: Annotated[str | None, Field(description="only keys like this; * matches any text")] = None
    headers: Annotated[dict[str, str], Field(description="only with headers like these; * matches any text")] = {}
    to: Annotated[Name | dict[Name, Annotated[int, Field(ge=1, le=10_000)]], Field(
        description="a destination, or several with weights; messages of one key have the same destination")]
    fallback: Annotated[Name | None, Field(description=(
        "destination that is used while that of `to` has no endpoint for new messages"))] = None
    mirror: Annotated[Name | None, Field(
        description="destination that gets a copy, whose outcome is not reported; not for unsafe classes")] = None

    @property
    def weights(self) -> Mapping[str, int]:
        """Return the destinations with their weights."""
        return {self.to: 1} if isinstance(self.to, str) else self.to


class TenantPart(Table):
    """A client: its authentication, rate and share of held messages."""

    tokens: Annotated[tuple[str, ...], Field(description=(
        "SHA-256 of each bearer token in hex (`umberchute keys new`); two during a token rotation"))] = ()
    open: Annotated[bool, Field(description="requests without a token are this tenant's; at most one tenant")] = False
    plain_names: Annotated[bool, Field(description=(
        "partners get the names of its messages as they are, not as TENANT~NAME; at most one tenant"))] = False
    rate_per_s: Annotated[float, Field(gt=0, le=100_000, description="messages it may submit per second")] = 1000.0
    burst: Annotated[int, Field(ge=1, le=100_000, description="messages that it may submit at once")] = 100
    held_share: Annotated[float, Field(gt=0, le=1, description="largest share of `limits.held` that it may use")] = 1.0

    @model_validator(mode="after")
    def _check_values(self) -> TenantPart:
        if not self.tokens and not self.open:
            raise ValueError("tokens is missing; expected at least one unless open is true")
        for number, text in enumerate(self.tokens):
            if not re.fullmatch(r"[0-9a-f]{64}", text):
                raise ValueError(f"tokens[{number}]: is not SHA-256 in hex; expected what `umberchute keys new` prints")
        return self


class RulesPart(Table):
    """How this courier expects its partners to behave."""

    settle: Annotated[Duration, Field(description=(
        "how long the next message of a key waits after a call that may still be running"))] = 300_000
    drain_grace: Annotated[
        Duration, Field(description="calls may start so long after a drain begins; no effect at present")] = 250_000
    cold: Annotated[
        Duration, Field(description="time until a restarted endpoint carries its former rate again")] = \
        10_000_000
    cold_from: Annotated[float, Field(gt=0, le=1, description="share of that rate that it carries at first")] = 0.3
    fall_multiple: Annotated[float, Field(ge=1, description="multiple of its rate that overloads an endpoint")] = 1.5
    fall_for: Annotated[Duration, Field(description="how long it then stays down; no effect at present")] = 3_000_000
    probes: Annotated[bool, Field(description="sick endpoints are probed with GET /healthz, not with messages")] = False


class LimitsPart(Table):
    """Limits on what the courier uses."""
    held: Annotated[int, Field(ge=1, le=10_000_000, description="messages accepted and not ended, at most")] = 10_000
    slots: Annotated[int, Field(ge=1, le=100_000, description="calls to partners in progress at once, at most")] = 256
    attempts: Annotated[int, Field(ge=1, le=1000, description="attempts of one message, at most")] = 20
    descriptors: Annotated[int, Field(ge=64, le=1_000_000, description="file descriptors; a third for clients")] = 1024
    memory_mb: Annotated[float | None, Field(gt=0, le=1_000_000, description="memory of the process in MB")] = None
    disk_mb: Annotated[float, Field(ge=1, le=1_000_000, description="disk space of the journal in MB")] = 64.0
    kept_ends: Annotated[int, Field(ge=100, le=10_000_000, description="outcomes kept for queries, at most")] = 10_000
    idle: Annotated[Duration, Field(description="partners close connections idle for so long")] = 15_000_000
    dial: Annotated[Duration, Field(description="timeout for opening a connection to a partner")] = 1_000_000


class Standalone(Table):
    """The whole file, with its fields outside any table."""

    name: Annotated[Name, Field(description="name of this courier")] = "umberchute"
    listen: Annotated[str, Field(description="host:port that clients connect to")]
    state: Annotated[Path, Field(description="folder of the journal and the outcomes, relative to the file")]
    endpoints_from: Annotated[Path | None, Field(description=(
        "watched folder: its file NAME.toml replaces `endpoints` and `drain` of destination NAME"))] = None
    notify: Annotated[str | None, Field(description=(
        "host:port to which outcomes of undelivered messages are posted (/v1/outcomes, a JSON line each) "
        "until answered 204"))] = None
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
            yield f"tenant.{names[1]}.{key}", f"{names[0]!r} already has this; expected at most one tenant"
    seen: dict[str, str] = {}
    for name, tenant in file_config.tenants.items():
        for token in tenant.tokens:
            if (other := seen.setdefault(token, name)) != name:
                yield f"tenant.{name}.tokens", f"one of them is also a token of {other!r}; expected different tokens"
    for number, route in enumerate(file_config.routes):
        at = f"route[{number}]"
        known = ", ".join(file_config.destinations)
        named = [("to", name) for name in route.weights] + [("fallback", route.fallback), ("mirror", route.mirror)]
        for key, wanted in named:
            if wanted is not None and wanted not in file_config.destinations:
                yield f"{at}.{key}", f"unknown destination {wanted!r}; expected one of {known}"
        if not route.weights:
            yield f"{at}.to", "has no destination; expected at least one"
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
