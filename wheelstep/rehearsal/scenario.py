"""The scenario format: TOML files with validated fields. An error is one line with file, key and expectation.
Times are strings with a unit ("250ms", "2s", "1.5min") and become whole microseconds.
"""

from __future__ import annotations

import tomllib
from collections.abc import Iterable, Mapping
from importlib import resources
from pathlib import Path
from typing import Annotated, Literal

from pydantic import Field, ValidationError, model_validator

from wheelstep.fields import Count, Duration, DurationRange, Share, Table, describe_error
from wheelstep.rehearsal.history import Effect


class ScenarioError(Exception):
    """An invalid scenario; the message reads `file: key: found; expected`."""


class RulesPart(Table):
    """Parameters of the rules."""

    drain_grace: Duration = 250_000
    fall_multiple: Annotated[float, Field(gt=0)] = 1.5
    fall_for: Duration = 3_000_000
    cold: Duration = 14_000_000
    cold_from: Annotated[float, Field(gt=0, le=1)] = 0.27
    settle: Duration = 300_000


class ClassPart(Table):
    """A class of messages."""

    name: Annotated[str, Field(min_length=1)]
    share: Annotated[float, Field(gt=0)] = 1.0
    promise: Duration = 2_000_000
    deadline: Duration = 6_000_000
    effect: Effect = Effect.UNSAFE
    key_life: Duration = 0
    ordered: bool = False
    worth: Annotated[float, Field(ge=0)] = 1.0
    late_worth: Share = 0.3
    kinds: tuple[str, ...] = ()  # of partners that get it; empty: all
    size: tuple[Annotated[int, Field(ge=0, le=65536)], Annotated[int, Field(ge=0, le=65536)]] = (100, 400)

    @model_validator(mode="after")
    def _check_fields(self) -> ClassPart:
        if self.promise > self.deadline:
            raise ValueError("promise is longer than deadline; expected promise <= deadline")
        if self.effect is Effect.KEYED and not self.key_life:
            raise ValueError('key_life is missing; expected a time where effect = "keyed"')
        if self.size[0] > self.size[1]:
            raise ValueError("size runs backwards; expected [minimum, maximum]")
        return self


class KindPart(Table):
    """A kind of partner."""

    name: Annotated[str, Field(min_length=1)]
    batch: Count = 1  # maximum of messages per call
    routes_apart: bool = False


class LimitPart(Table):
    """A partner's rate limit for all couriers together."""

    rate_per_s: Annotated[float, Field(gt=0)]
    window: Duration | None = None  # a count per window instead of a plain rate
    refused_count: bool = False
    tells_wait: Duration | None = None  # announced by its rejections
    report: bool = True  # answers carry X-Load


class PartnerPart(Table):
    """A partner: one destination with one or more endpoints."""

    name: Annotated[str, Field(min_length=1)]
    kind: str
    endpoints: Annotated[int, Field(ge=1, le=32)] = 1
    share: Annotated[float, Field(gt=0)] = 1.0  # of the traffic
    lanes: Count = 4  # calls that an endpoint serves at once
    queue: Annotated[int, Field(ge=0, le=100_000)] = 16
    pace: Duration = 80_000  # average processing time of a call
    spread: Annotated[float, Field(ge=0, le=3)] = 0.3  # standard deviation, relative to the pace
    limit: LimitPart | None = None
    connections: Count | None = None  # limit of an endpoint
    run_on: bool = False  # cancelled calls run on
    key_memory: bool = True  # repeats of a keyed message are dropped


class TrafficPart(Table):
    """The messages that clients submit."""

    rate_per_s: Annotated[float, Field(gt=0, le=20_000)] = 20.0
    clumps: Share = 0.0  # share of messages that come in bursts to one partner
    clump_size: Annotated[int, Field(ge=2, le=1000)] = 10
    keys: Count = 8  # per partner, in ordered classes
    retries: Annotated[int, Field(ge=0, le=10)] = 2
    honour: Share = 1.0  # share of retries that wait as Retry-After says
    backoff: DurationRange = (200_000, 600_000)
    fresh: Share = 0.0  # share of the keys that use a new connection for each request
    crowd: Annotated[int, Field(ge=0, le=2000)] = 0  # extra idle connections per courier


_PARTNER_FAULTS = ("stall", "silent", "hang", "refuse", "shut", "fail", "reset", "spoil", "drain", "leave", "replace")
_COURIER_FAULTS = ("kill", "term", "pause")


class FaultPart(Table):
    """A fault and its time; `for` is its duration. The allowed keys depend on the kind."""

    kind: Literal["stall", "silent", "hang", "refuse", "shut", "fail", "reset", "spoil", "drain", "leave", "replace",
                  "kill", "term", "pause", "discovery", "worker-kill", "worker-hang"]
    at: DurationRange
    lasts: Annotated[DurationRange | None, Field(alias="for")] = None
    partner: str | None = None
    endpoint: Annotated[int, Field(ge=0)] | None = None  # index at the partner; None: all
    courier: Annotated[int, Field(ge=0)] | None = None  # None: all
    worker: Annotated[int, Field(ge=0)] | None = None  # of a courier with workers; None: the first
    every: Duration | None = None  # stall
    pause: DurationRange | None = None  # stall
    share: Share | None = None  # fail, reset, spoil
    when: Literal["before", "after"] | None = None  # reset: before or after the call's last byte
    wait: Duration | None = None  # shut: announced by each rejection
    told_after: DurationRange | None = None  # drain, leave, replace: discovery's delay

    @model_validator(mode="after")
    def _check_fields(self) -> FaultPart:
        allowed = {"at", "kind"}
        if self.kind in _PARTNER_FAULTS:
            allowed |= {"partner", "endpoint"}
            if self.partner is None:
                raise ValueError(f'partner is missing; expected the name of one for a fault "{self.kind}"')
        else:
            allowed |= {"courier"}
        if self.kind not in ("drain",):
            allowed |= {"lasts"}
            if self.lasts is None and self.kind not in ("leave", "replace"):
                raise ValueError(f'for is missing; expected a time for a fault "{self.kind}"')
        allowed |= {"stall": {"every", "pause"}, "fail": {"share"}, "reset": {"share", "when"}, "spoil": {"share"},
                    "shut": {"wait"}, "worker-kill": {"worker"}, "worker-hang": {"worker"},
                    "drain": {"told_after"}, "leave": {"told_after"},
                    "replace": {"told_after"}}.get(self.kind, set())
        given = {name for name in type(self).model_fields if getattr(self, name) is not None}
        if extra := sorted(given - allowed):
            raise ValueError(f'{extra[0]} means nothing for a fault "{self.kind}"; expected none of it')
        return self


class Scenario(Table):
    """A complete scenario."""

    title: str
    rule: Literal["lost", "twice", "drains", "returns", "order", "waits", "all"]
    length: Duration  # duration of the submissions
    couriers: Annotated[int, Field(ge=1, le=64)] = 1
    slots: Count = 16
    hold: Count = 500
    max_attempts: Count = 12
    idle: Duration = 10_000_000  # endpoints close idle connections after this
    dial: Duration = 1_000_000
    ready_within: Duration = 30_000_000
    probes: bool = True
    told_after: DurationRange = (100_000, 300_000)  # discovery's delay to a courier
    rules: RulesPart = RulesPart()
    classes: Annotated[tuple[ClassPart, ...], Field(alias="class", min_length=1)]
    kinds: Annotated[tuple[KindPart, ...], Field(alias="kind", min_length=1)]
    partners: Annotated[tuple[PartnerPart, ...], Field(alias="partner", min_length=1)]
    traffic: TrafficPart = TrafficPart()
    faults: Annotated[tuple[FaultPart, ...], Field(alias="fault")] = ()


def parse(text: str, source: str) -> Scenario:
    """Return a scenario. Raises `ScenarioError`, which names it by `source`."""
    try:
        data = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ScenarioError(f"{source}: {error}; expected TOML") from error
    try:
        scenario = Scenario.model_validate(data)
    except ValidationError as error:
        raise ScenarioError(f"{source}: {describe_error(error, 'docs/operations/rehearsal.md')}") from error
    for key, text in _cross_check(scenario):
        raise ScenarioError(f"{source}: {key}: {text}")
    return scenario


def _cross_check(scenario: Scenario) -> Iterable[tuple[str, str]]:
    """Yield key and message of each inconsistency between parts."""
    for what, names in (("class", [part.name for part in scenario.classes]),
                        ("kind", [part.name for part in scenario.kinds]),
                        ("partner", [part.name for part in scenario.partners])):
        for number, name in enumerate(names):
            if name in names[:number]:
                yield f"{what}[{number}].name", f"{name!r} is there twice; expected names that differ"
    kinds = [kind.name for kind in scenario.kinds]
    partners = {partner.name: partner for partner in scenario.partners}
    for number, partner in enumerate(scenario.partners):
        if partner.kind not in kinds:
            yield f"partner[{number}].kind", f"unknown kind {partner.kind!r}; expected one of {_names(kinds)}"
    for number, cls in enumerate(scenario.classes):
        for kind in cls.kinds:
            if kind not in kinds:
                yield f"class[{number}].kinds", f"unknown kind {kind!r}; expected some of {_names(kinds)}"
        if cls.kinds and not any(partner.kind in cls.kinds for partner in scenario.partners):
            yield f"class[{number}].kinds", "no partner is of such a kind; expected one at least"
    for number, fault in enumerate(scenario.faults):
        at = f"fault[{number}]"
        if fault.partner is not None and fault.partner not in partners:
            yield f"{at}.partner", f"unknown partner {fault.partner!r}; expected one of {_names(partners)}"
        elif fault.partner is not None and (fault.endpoint or 0) >= partners[fault.partner].endpoints:
            most = partners[fault.partner].endpoints - 1
            yield f"{at}.endpoint", f"{fault.endpoint} is none of {fault.partner!r}; expected 0 to {most}"
        if fault.courier is not None and fault.courier >= scenario.couriers:
            yield f"{at}.courier", f"{fault.courier} is no courier; expected 0 to {scenario.couriers - 1}"
        if fault.at[1] > scenario.length:
            yield f"{at}.at", "it begins after the scenario's length; expected an earlier time"


def _names(names: Iterable[str]) -> str:
    return ", ".join(repr(name) for name in names)


def shipped() -> Mapping[str, str]:
    """Return the shipped scenarios' texts by name, in order of the names."""
    folder = resources.files("wheelstep.rehearsal") / "scenarios"
    return {item.name.removesuffix(".toml"): item.read_text(encoding="utf-8")
            for item in sorted(folder.iterdir(), key=lambda item: item.name) if item.name.endswith(".toml")}


def find(name: str) -> tuple[str, Scenario]:
    """Return name and scenario of a shipped scenario or a file. Raises `ScenarioError`."""
    texts = shipped()
    if name in texts:
        return name, parse(texts[name], f"{name}.toml")
    path = Path(name)
    if not path.is_file():
        raise ScenarioError(f"{name}: neither a file nor a shipped scenario; expected one of {', '.join(texts)}")
    try:
        return path.stem, parse(path.read_text(encoding="utf-8"), name)
    except (OSError, UnicodeDecodeError) as error:
        raise ScenarioError(f"{name}: can't be read: {error}; expected TOML in UTF-8") from error


def single_courier(scenario: Scenario) -> Scenario:
    """Return the scenario with one courier instead of several, with all their slots, capacity and faults."""
    faults = tuple(fault if fault.courier is None else fault.model_copy(update={"courier": 0})
                   for fault in scenario.faults)
    return scenario.model_copy(update={
        "couriers": 1, "slots": scenario.slots * scenario.couriers, "hold": scenario.hold * scenario.couriers,
        "faults": faults})
