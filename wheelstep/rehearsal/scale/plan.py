"""What a scale run is made of: who runs where, at which address, in which zone. No I/O; imports msgspec."""

from __future__ import annotations

import random

import msgspec

REAL_PER_S = 327.0  # messages that a courier of the fleet ahead takes a second
PEERS_PORT, CLIENTS_PORT = 9_700, 9_701
FLEET = "scale"
SEEDS = 5  # couriers that a starting one knows
RACKS = 8  # in a zone


class Site(msgspec.Struct, frozen=True):
    """One courier: its zone is written `region/zone`."""

    name: str
    zone: str
    rack: int
    host: int  # the process that runs it; -1: one of its own
    address: str  # of its peers, with port

    @property
    def ip(self) -> str:
        """Its address without the port."""
        return self.address.partition(":")[0]

    @property
    def serves(self) -> str:
        """Where its clients reach it."""
        return f"{self.ip}:{CLIENTS_PORT}"


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """All that every process of a run is told. Spans in seconds, addresses in 127/8."""

    seed: int
    hollow: int
    real: int
    destinations: int
    regions: int
    zones: int  # in all
    control: int
    shards: int
    rate: float  # the fraction of `REAL_PER_S` that each courier hands in
    hosts: int
    base: int  # second part of every address
    epoch_s: float  # the machine's monotonic clock at the start, the same in every process
    boot: int  # of the first life of each hollow courier: Unix seconds, as a real one's
    links: str  # the file of cuts
    partners: str = ""  # ip:port of the stand-in partners; the ip differs by destination
    discovery: str = ""
    undivided: bool = False
    changes_per_s: float = 0.043  # of the list: 3,700 a day
    down_share: float = 0.01
    down_s: float = 40.0
    zone_delay_s: float = 0.001
    region_delay_s: float = 0.02
    probe_us: int = 500_000

    def zone(self, number: int) -> str:
        """The name of a zone, from 0; regions take turns."""
        return f"r{number % self.regions}/z{number // self.regions}"

    def zones_named(self) -> list[str]:
        """All zones."""
        return [self.zone(number) for number in range(self.zones)]

    def ip(self, group: int, number: int) -> str:
        """An address; groups are below 8, numbers below 8,192."""
        return f"127.{self.base}.{group * 32 + number // 256}.{number % 256}"

    def site(self, number: int) -> Site:
        """A courier by its number: hollow ones first, then real ones, each kind dealt out over the zones."""
        hollow = number < self.hollow
        among = number if hollow else number - self.hollow
        name = f"h{among:04}" if hollow else f"r{among:03}"
        return Site(name, self.zone(among % self.zones), among // self.zones % RACKS,
                    among % self.hosts if hollow else -1, f"{self.ip(0, number + 1)}:{PEERS_PORT}")

    def sites(self) -> list[Site]:
        """All couriers."""
        return [self.site(number) for number in range(self.hollow + self.real)]

    def control_machines(self) -> dict[str, str]:
        """Name to address."""
        return {f"m{number:02}": f"{self.ip(1, number + 1)}:{PEERS_PORT}" for number in range(self.control)}

    def control_zone(self, number: int) -> str:
        """Control machines are dealt out over the zones too."""
        return self.zone(number % self.zones)

    def zones_of_addresses(self) -> dict[str, str]:
        """Which zone each peers' address is in."""
        found = {site.address: site.zone for site in self.sites()}
        return found | {address: self.control_zone(number)
                        for number, address in enumerate(self.control_machines().values())}

    def seeds(self, but: str = "") -> dict[str, str]:
        """Couriers that a starting one asks first, spread over zones and kinds."""
        most = self.hollow + self.real
        step = max(1, most // SEEDS)
        picked = (self.site(number) for number in range(0, most, step))
        return {site.name: site.address for site in picked if site.name != but}

    def partner_ip(self, destination: int) -> str:
        """Each destination has an address of its own."""
        return f"127.{self.base + 100 + (destination >> 16)}.{destination >> 8 & 255}.{destination & 255}"


def check(plan: Plan) -> None:
    """Raises `ValueError` naming what makes no sense."""
    for name, least, most in (("hollow", 0, 6_000), ("real", 0, 200), ("destinations", 1, 200_000), ("regions", 1, 8),
                              ("control", 1, 64), ("shards", 1, 1 << 20), ("hosts", 1, 64), ("base", 16, 90)):
        if not least <= getattr(plan, name) <= most:
            raise ValueError(f"{name}: {getattr(plan, name)}; expected {least} to {most}")
    if plan.zones < plan.regions or plan.zones % plan.regions or plan.zones > 64:
        raise ValueError(f"zones: {plan.zones}; expected a multiple of the {plan.regions} regions, 64 at most")
    if not 0 <= plan.rate <= 1:
        raise ValueError(f"rate: {plan.rate}; expected 0 to 1")
    if plan.hollow + plan.real < 1:
        raise ValueError("hollow, real: 0 couriers; expected one or more")


def key(plan: Plan) -> bytes:
    """That all packets are sealed with."""
    return random.Random(f"key/{plan.seed}").randbytes(32)


def read(data: bytes) -> Plan:
    """Of a file. Raises `ValueError`."""
    plan = msgspec.json.decode(data, type=Plan)
    check(plan)
    return plan


def write(plan: Plan) -> bytes:
    """For a file."""
    return msgspec.json.encode(plan)
