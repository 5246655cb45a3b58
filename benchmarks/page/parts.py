"""What single runs say of the stated size: figures by name, each from one result file, at the size or by its law."""

from __future__ import annotations

from dataclasses import dataclass

from benchmarks.page.results import Figure, Results

COURIERS = (100, 300, 1_100)
DESTINATIONS = (14_000, 140_000)


def per_courier(results: Results) -> float:
    """Destinations a home has, the shards being even: all, by the couriers of one region."""
    return results.stated("destinations") / (results.stated("couriers") / results.stated("regions"))


@dataclass(frozen=True, slots=True)
class Before:
    """Every courier holds, calls and learns every destination."""

    results: Results

    def module(self, destinations: float, field: str = "memory_mb", unit: str = "bytes", by: float = 1e6) -> Figure:
        """The module with so many destinations."""
        return self.results.told("before-destinations", "destinations", destinations, field, unit, by, part="module")

    def listing(self, destinations: float, field: str, unit: str, by: float = 1.0, form: str = "compact") -> Figure:
        """A whole list read."""
        return self.results.told("before-destinations", "destinations", destinations, field, unit, by, part=form)

    def membership(self, couriers: float, field: str, unit: str, by: float = 1.0, window: str = "quiet") -> Figure:
        """Membership of so many couriers, a courier a second."""
        return self.results.told("before-membership", "couriers", couriers, f"{window}.{field}", unit, by,
                                 names="real", asks=False)

    def members(self, couriers: float) -> Figure:
        """Memory of the table of members."""
        return self.results.told("before-members", "couriers", couriers, "memory_kb", "bytes", 1e3)

    def plan(self, couriers: float, parts: float, field: str, unit: str, by: float = 1.0) -> Figure:
        """The placement of parts."""
        return self.results.told("before-placement", "parts", parts, field, unit, by, couriers=couriers)

    def voter(self, parts: float, field: str, unit: str, by: float = 1.0) -> Figure:
        """A voter's renewal of all leases."""
        return self.results.told("before-voters", "parts", parts, field, unit, by)

    def held(self, held: float, part: str, field: str, unit: str, by: float = 1.0) -> Figure:
        """Held messages, in "module" or "journal"."""
        return self.results.told("before-held", "held", held, field, unit, by, part=part)

    def death(self, couriers: float) -> Figure:
        """Seconds until a death is known to all, the middle of nine."""
        return self.results.told("before-deaths", "couriers", couriers, "median_s", "s")

    def memory(self, couriers: float, destinations: float) -> Figure:
        """For control: module state for all destinations, the list while it is read, the members."""
        return self.module(destinations).plus(self.members(couriers))

    def core(self, couriers: float) -> Figure:
        """Membership, and a plan of 16,384 parts every tenth of a lease."""
        return self.membership(couriers, "cpu_us", "share", 1e-6).plus(
            self.plan(couriers, self.results.stated("shards"), "core_share", "share"))

    def changes(self, destinations: float) -> Figure:
        """Bytes a second of the list, where each courier gets a whole one at each change told to it whole: none, as
        discovery tells changes alone; a whole list comes at a start."""
        return self.listing(destinations, "file_mb", "bytes", 1e6)
