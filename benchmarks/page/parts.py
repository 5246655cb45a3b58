"""Looks up figures of single measurements for a size: as measured, or as the law predicts."""

from __future__ import annotations

from dataclasses import dataclass

from benchmarks.page.results import Figure, Results

COURIERS = (100, 300, 1_100)
DESTINATIONS = (14_000, 140_000)


def destinations_per_courier(results: Results) -> float:
    """Return the number of destinations of a home if shards are even: all, divided by the couriers of one region."""
    return results.stated("destinations") / (results.stated("couriers") / results.stated("regions"))


@dataclass(frozen=True, slots=True)
class UndividedParts:
    """Figures of the parts of a courier that holds, calls and learns every destination: the state before destinations
    were divided."""

    results: Results

    def module(self, destinations: float, field: str = "memory_mb", unit: str = "bytes", by: float = 1e6) -> Figure:
        """Return a figure of the decision module with so many destinations."""
        return self.results.at_size("before-destinations", "destinations", destinations, field, unit, by, part="module")

    def whole_list(self, destinations: float, field: str, unit: str, by: float = 1.0, form: str = "compact") -> Figure:
        """Return a figure of reading a whole list."""
        return self.results.at_size("before-destinations", "destinations", destinations, field, unit, by, part=form)

    def membership(self, couriers: float, field: str, unit: str, by: float = 1.0, window: str = "quiet") -> Figure:
        """Return a figure of membership among so many couriers, for a courier and a second."""
        return self.results.at_size("before-membership", "couriers", couriers, f"{window}.{field}", unit, by,
                                 names="real", asks=False)

    def members(self, couriers: float) -> Figure:
        """Return the memory of the member table."""
        return self.results.at_size("before-members", "couriers", couriers, "memory_kb", "bytes", 1e3)

    def plan(self, couriers: float, parts: float, field: str, unit: str, by: float = 1.0) -> Figure:
        """Return a figure of the placement of parts."""
        return self.results.at_size("before-placement", "parts", parts, field, unit, by, couriers=couriers)

    def voter(self, parts: float, field: str, unit: str, by: float = 1.0) -> Figure:
        """Return a figure of a voter's renewal of all leases."""
        return self.results.at_size("before-voters", "parts", parts, field, unit, by)

    def held(self, held: float, part: str, field: str, unit: str, by: float = 1.0) -> Figure:
        """Return a figure of held messages in the part "module" or "journal"."""
        return self.results.at_size("before-held", "held", held, field, unit, by, part=part)

    def death(self, couriers: float) -> Figure:
        """Return the median time until a death is known to all."""
        return self.results.at_size("before-deaths", "couriers", couriers, "median_s", "s")

    def memory(self, couriers: float, destinations: float) -> Figure:
        """Return the memory for control: the module's state of all destinations, and the members."""
        return self.module(destinations).plus(self.members(couriers))

    def core(self, couriers: float) -> Figure:
        """Return the processor time of membership and of a plan of as many parts as there are shards, every tenth of a
        lease."""
        return self.membership(couriers, "cpu_us", "share", 1e-6).plus(
            self.plan(couriers, self.results.stated("shards"), "core_share", "share"))

    def changes(self, destinations: float) -> Figure:
        """Return the bytes of a whole list, which a courier gets at its start; later, discovery sends changes only."""
        return self.whole_list(destinations, "file_mb", "bytes", 1e6)
