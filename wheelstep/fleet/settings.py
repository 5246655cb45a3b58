"""The `[fleet]` table of the operator's file. Imported only if the file has it."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any

from pydantic import Field, ValidationError

from wheelstep.channels.contracts import ContractError, Contracts, read_contracts
from wheelstep.fields import Duration, Table, describe_error
from wheelstep.fleet.membership import MemberLimits
from wheelstep.fleet.placing import NodeSettings
from wheelstep.moves.steps import GiverLimits
from wheelstep.moves.swap import EvacuationLimits

KEY_BYTES = 32  # minimum length of a fleet key

Address = Annotated[str, Field(pattern=r"^[^\s:]+:\d{1,5}$")]
Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]


class FleetError(Exception):
    """Invalid `[fleet]` table. The message is one line with the place, the value found and the value expected."""


class ShardsTable(Table):
    """Sharding of destinations among the couriers (wheelstep.shards). Durations in microseconds."""

    on: bool = False
    count: Annotated[int, Field(ge=1, le=1 << 20)] = 16_384  # equal at all couriers, and fixed
    regions: Annotated[int, Field(ge=1, le=16)] = 1  # each has its own home for every destination
    control: Annotated[dict[Name, Address], Field(max_length=256)] = {}  # control machines, which send lists by shard
    load: Annotated[float, Field(ge=1.05, le=4)] = 1.25  # maximum ratio of a courier's shards to its share by weight
    guests: Annotated[int, Field(ge=1, le=4_096)] = 64  # maximum number of shards served as a guest
    guest_idle: Annotated[Duration, Field(ge=100_000, le=3_600_000_000)] = 30_000_000
    opens_within: Annotated[Duration, Field(ge=0, le=5_000_000)] = 300_000  # wait of a new home for learned state
    push_every: Annotated[Duration, Field(ge=250_000, le=3_600_000_000)] = 5_000_000  # of changed learned state


class FleetTable(Table):
    """Settings of the fleet that this courier belongs to. Durations in microseconds. `voters`, `parts`, `lease` and
    `clock_drift` must be equal at all couriers."""

    on: bool = False
    name: Name = "fleet"
    key_file: Path | None = None
    old_key_files: Annotated[tuple[Path, ...], Field(max_length=4)] = ()  # used only for opening
    listen: Address | None = None  # peers, UDP and TCP
    address: Address | None = None  # where peers reach it, if different from `listen`
    serves: Address | None = None  # where clients reach it, if different from the courier's own address
    peers: Annotated[dict[Name, Address], Field(max_length=2_000)] = {}
    voters: Annotated[tuple[Name, ...], Field(max_length=5)] = ()
    parts: Annotated[int, Field(ge=1, le=1024)] = 64
    lease: Annotated[Duration, Field(ge=500_000, le=60_000_000)] = 3_000_000
    clock_drift: Annotated[float, Field(ge=0, le=0.2)] = 0.02
    weight: Annotated[float, Field(ge=0, le=1_000)] = 1.0
    zone: Annotated[str, Field(max_length=40)] = ""
    probe_every: Annotated[Duration, Field(ge=50_000, le=10_000_000)] = 500_000
    give_away: bool = False  # the parts, at SIGTERM
    give_away_within: Duration = 1_800_000
    moves_at_once: Annotated[int, Field(ge=1, le=64)] = 2
    move_pace: Duration = 50_000  # between the starts of two moves
    call_bound: Duration = 2_000_000  # how long a move waits for calls in progress
    probation: Duration = 10_000_000  # for a courier that has appeared, before it is given parts
    most_channels: Annotated[int, Field(ge=1, le=1_000_000)] = 20_000
    shards: ShardsTable = ShardsTable()


def settings_of(table: FleetTable) -> NodeSettings:
    """Return the node settings for the operator's table."""
    return NodeSettings(
        table.voters, table.parts, table.lease, table.clock_drift, margin_us=table.lease // 30,
        at_once=table.moves_at_once, pace_us=table.move_pace, probation_us=table.probation,
        members=MemberLimits(period_us=table.probe_every),
        moves=GiverLimits(call_bound_us=table.call_bound),
        leaving=EvacuationLimits(max_moves=table.moves_at_once * 2, pause_us=100_000,
                                 timeout_us=table.give_away_within))


class FleetConfig:
    """The configuration of a fleet: its table, keys and contracts."""

    def __init__(self, table: FleetTable, keys: list[bytes], contracts: Contracts) -> None:
        self.table, self.keys, self.contracts = table, keys, contracts


def read(table: Any, contracts: Any, folder: Path) -> FleetConfig | None:
    """Return the checked tables `fleet` and `contract` of a file in `folder`; None if the fleet is off. Raises
    `FleetError`."""
    try:
        fleet = FleetTable.model_validate(table if table is not None else {})
    except ValidationError as error:
        raise FleetError(f"fleet.{describe_error(error, 'docs/operations/channels.md')}") from error
    try:
        declared = read_contracts(contracts if contracts is not None else [])
    except ContractError as error:
        raise FleetError(str(error)) from error
    if not fleet.on:
        if len(declared):
            raise FleetError("contract: declared while fleet.on is false; expected [fleet] with on = true")
        return None
    if fleet.key_file is None or fleet.listen is None:
        missing = "key_file" if fleet.key_file is None else "listen"
        raise FleetError(f"fleet.{missing}: missing; expected a value where fleet.on is true")
    if fleet.shards.on:
        _check_shards(fleet, declared)
    elif len(fleet.voters) not in (3, 5) or len(set(fleet.voters)) != len(fleet.voters):
        raise FleetError(f"fleet.voters: {list(fleet.voters)}; expected 3 or 5 different names")
    return FleetConfig(fleet, [_key(folder / path) for path in (fleet.key_file, *fleet.old_key_files)], declared)


def _check_shards(fleet: FleetTable, declared: Contracts) -> None:
    if fleet.voters or len(declared):
        found = "fleet.voters" if fleet.voters else "contract"
        raise FleetError(f"{found}: given beside fleet.shards.on = true; expected one of them: channels' parts and "
                         "shards are not yet shared by one fleet")
    if not fleet.shards.control:
        raise FleetError("fleet.shards.control: missing; expected a name and an address of one control machine or more")
    if both := sorted(fleet.shards.control.keys() & fleet.peers.keys()):
        raise FleetError(f"fleet.shards.control: {both[0]!r} is a peer as well; expected different names")


def read_key(path: Path) -> bytes:
    """Read a key from a file of hexadecimal digits. Raises `ValueError` with what was found and expected."""
    try:
        key = bytes.fromhex(path.read_text(encoding="ascii").strip())
    except (OSError, ValueError) as error:
        raise ValueError(f"{error}; expected hexadecimal digits") from error
    if len(key) < KEY_BYTES:
        raise ValueError(f"{len(key)} bytes; expected {KEY_BYTES} or more")
    return key


def _key(path: Path) -> bytes:
    try:
        return read_key(path)
    except ValueError as error:
        raise FleetError(f"fleet.key_file: {path}: {error}") from error
