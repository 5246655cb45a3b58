"""The plan of a scale run: which courier runs in which process, at which address and in which zone. No I/O."""

from __future__ import annotations

import random

import msgspec

REAL_RATE_PER_S = 327.0  # messages a second that each courier accepts in the planned production fleet
PEERS_PORT, CLIENTS_PORT = 9_700, 9_701  # for other members of the fleet; for clients
FLEET_NAME = "scale"
SEED_COUNT = 5  # couriers whose addresses a starting courier is given
RACKS_PER_ZONE = 8


class Site(msgspec.Struct, frozen=True):
    """One courier of the run. `zone` has the form `region/zone`."""

    name: str
    zone: str
    rack: int
    host: int  # number of the host process; -1: a real courier with its own process
    address: str  # where peers reach it, as ip:port

    @property
    def ip(self) -> str:
        """The IP address of `address`, without the port."""
        return self.address.partition(":")[0]

    @property
    def serves(self) -> str:
        """The address (ip:port) at which clients reach the courier."""
        return f"{self.ip}:{CLIENTS_PORT}"


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """The parameters that every process of a run reads from the plan file. Durations are in seconds unless the name
    ends in `_us`; addresses are in 127.0.0.0/8."""

    seed: int
    hollow: int  # number of hollow couriers
    real: int  # number of real couriers
    destinations: int
    regions: int
    zones: int  # total over all regions
    control: int  # number of control machines
    shards: int
    rate: float  # messages submitted at each courier, as a fraction of `REAL_RATE_PER_S`
    hosts: int  # number of host processes
    base: int  # second octet of every address
    epoch_s: float  # the machine's monotonic clock at the run's start, the same in every process
    boot: int  # incarnation of each hollow courier's first start, in Unix seconds like a real courier's
    links: str  # path of the file that holds the cuts between zones
    partners: str = ""  # ip:port of the stand-in partners; only the port is used, the IP differs by destination
    discovery: str = ""  # ip:port
    undivided: bool = False  # every hollow courier holds all destinations
    changes_per_s: float = 0.043  # changes of the list; 3,700 a day
    down_share: float = 0.01  # share of destinations that are down at any time
    down_s: float = 40.0  # length of each outage
    zone_delay_s: float = 0.001  # one way between zones of a region
    region_delay_s: float = 0.02  # one way between regions
    probe_us: int = 500_000  # period of the membership's probes

    def zone(self, number: int) -> str:
        """Return the name of zone `number`, counted from 0. Consecutive numbers cycle through the regions."""
        return f"r{number % self.regions}/z{number // self.regions}"

    def zone_names(self) -> list[str]:
        """Return the names of all zones."""
        return [self.zone(number) for number in range(self.zones)]

    def ip(self, group: int, number: int) -> str:
        """Return the loopback address of `number` (below 8,192) in `group` (below 8)."""
        return f"127.{self.base}.{group * 32 + number // 256}.{number % 256}"

    def site(self, number: int) -> Site:
        """Return courier `number`. Hollow couriers come first, then real ones; each kind is distributed evenly over the
        zones."""
        hollow = number < self.hollow
        index = number if hollow else number - self.hollow
        name = f"h{index:04}" if hollow else f"r{index:03}"
        return Site(name, self.zone(index % self.zones), index // self.zones % RACKS_PER_ZONE,
                    index % self.hosts if hollow else -1, f"{self.ip(0, number + 1)}:{PEERS_PORT}")

    def sites(self) -> list[Site]:
        """Return all couriers, hollow ones first."""
        return [self.site(number) for number in range(self.hollow + self.real)]

    def control_machines(self) -> dict[str, str]:
        """Return the address (ip:port) of each control machine by name."""
        return {f"m{number:02}": f"{self.ip(1, number + 1)}:{PEERS_PORT}" for number in range(self.control)}

    def control_zone(self, number: int) -> str:
        """Return the zone of control machine `number`; control machines are distributed evenly over the zones."""
        return self.zone(number % self.zones)

    def zones_of_addresses(self) -> dict[str, str]:
        """Return the zone of each peer address, of couriers and control machines."""
        zones = {site.address: site.zone for site in self.sites()}
        return zones | {address: self.control_zone(number)
                        for number, address in enumerate(self.control_machines().values())}

    def seeds(self, excluding: str = "") -> dict[str, str]:
        """Return the name and address of the couriers that a starting courier contacts first, spread over zones and
        both kinds. `excluding` names the starting courier itself."""
        courier_count = self.hollow + self.real
        step = max(1, courier_count // SEED_COUNT)
        selected = (self.site(number) for number in range(0, courier_count, step))
        return {site.name: site.address for site in selected if site.name != excluding}

    def partner_ip(self, destination: int) -> str:
        """Return the destination's own loopback address."""
        return f"127.{self.base + 100 + (destination >> 16)}.{destination >> 8 & 255}.{destination & 255}"


def validate(plan: Plan) -> None:
    """Raise `ValueError` naming the parameter that is out of range, with what was expected."""
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


def fleet_key(plan: Plan) -> bytes:
    """Return the key with which all packets of the run are sealed, derived from the seed."""
    return random.Random(f"key/{plan.seed}").randbytes(32)


def decode_plan(data: bytes) -> Plan:
    """Parse and validate a plan file. Raises `ValueError`."""
    plan = msgspec.json.decode(data, type=Plan)
    validate(plan)
    return plan


def encode_plan(plan: Plan) -> bytes:
    """Serialise the plan for the plan file."""
    return msgspec.json.encode(plan)
