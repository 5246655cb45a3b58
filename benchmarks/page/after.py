"""What scale runs show, with destinations divided among couriers and (for the state before) undivided."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

from benchmarks.page.results import NEAR, Figure, Results, number_at, slope
from benchmarks.slopes import Fit, fit


def couriers_of(one: Mapping[str, Any]) -> int:
    """Hollow and real ones of a run."""
    given = one.get("parameters", {})
    return int(given.get("hollow", 0)) + int(given.get("real", 0))


@dataclass(frozen=True, slots=True)
class After:
    """As `parts.Before`; `divided` is False for the state before."""

    results: Results
    divided: bool = True

    def runs(self, destinations: float | None = None) -> dict[str, Mapping[str, Any]]:
        """Scale runs of this state, by file name, small ones first."""
        found = {name: one for name, one in self.results.files.items() if one.get("what") == "scale_run"
                 and bool(one["parameters"].get("undivided")) is not self.divided
                 and destinations in (None, one["parameters"].get("destinations"))}
        return dict(sorted(found.items(), key=lambda pair: couriers_of(pair[1])))

    def of_size(self, couriers: float, destinations: float, spell: str = "") -> str | None:
        """The run of this size that has this spell; the one with more faults where there are several."""
        found = [name for name, one in self.runs(destinations).items()
                 if abs(couriers_of(one) - couriers) <= NEAR * couriers and (not spell or spell in one["quiet"])]
        return max(found, key=lambda name: len(self.results.files[name]["faults"]), default=None)

    def quiet(self, couriers: float, destinations: float, field: str, unit: str = "", by: float = 1.0,
              spell: str = "idle") -> Figure:
        """A figure of a quiet spell in the run of this size: "idle" (no messages), "spread" (a fraction of the
        traffic over all destinations) or "dense" (each called destination at its real rate). With its slope by
        couriers, where four sizes were run; by that law, and said so, where this size was not."""
        name = self.of_size(couriers, destinations, spell)
        law = self.law(destinations, f"quiet.{spell}.{field}", by)
        if name is None:
            value = None if law is None else law.value(couriers)
            how = f"extrapolated: {slope(law, 'couriers', unit)}" if value is not None else ""
            return Figure(value, unit, "`scale-*`" if how else "", how)
        found = self.results.top(name, f"quiet.{spell}.{field}", unit, by)
        return replace(found, how=slope(law, "couriers", unit)) if law and found.value is not None else found

    def best(self, couriers: float, destinations: float) -> tuple[float, float]:
        """The stated size where it was run, else that of the largest run with messages; the stated one without any."""
        if self.of_size(couriers, destinations, "dense"):
            return couriers, destinations
        runs = [(couriers_of(one), one["parameters"]["destinations"]) for one in self.runs().values()
                if "dense" in one["quiet"]]
        return max(runs, default=(couriers, destinations))

    def law(self, destinations: float, path: str, by: float = 1.0) -> Fit | None:
        """How a figure grows with couriers, over this state's runs with so many destinations."""
        points: dict[int, tuple[float, str]] = {}
        for name, one in self.runs(destinations).items():
            value = number_at(one, path)
            if value:
                points.setdefault(couriers_of(one), (value * by, name))
        try:
            found = fit([(size, value) for size, (value, _) in points.items()])
        except ValueError:
            return None
        self.results.used |= dict.fromkeys(name for _, name in points.values())
        return found

    def memory(self, couriers: float, destinations: float) -> Figure:
        """Bytes of a hollow courier, idle, less what its empty process has."""
        full = self.quiet(couriers, destinations, "hollow.memory_bytes", "bytes")
        name = self.of_size(couriers, destinations, "idle")
        if name is None or full.value is None:
            return full
        given = self.results.files[name]["parameters"]
        empty = self.results.top(name, "start.host_memory_bytes_empty").value or 0.0
        return replace(full, value=full.value - empty * given["hosts"] / given["hollow"])

    def core(self, couriers: float, destinations: float) -> Figure:
        """Processor time of a hollow courier, idle."""
        return self.quiet(couriers, destinations, "hollow.cpu_us_per_s", "share", 1e-6)

    def sent(self, couriers: float, destinations: float) -> Figure:
        """Bytes a second that a courier sends for control, idle: members, list, and to its peers."""
        return self._sum(couriers, destinations, "membership_bytes_sent_per_s", "list_bytes_sent_per_s",
                         "peer_bytes_dialled_here_per_s")

    def received(self, couriers: float, destinations: float) -> Figure:
        """Bytes a second that a courier gets for control, idle: members and list."""
        return self._sum(couriers, destinations, "membership_bytes_received_per_s", "list_bytes_received_per_s")

    def _sum(self, couriers: float, destinations: float, *fields: str) -> Figure:
        first, *rest = (self.quiet(couriers, destinations, f"hollow.{field}", "bytes/s") for field in fields)
        return replace(first.plus(*rest), how="")

    def ignorant(self, couriers: float, destinations: float) -> Figure:
        """Calls to destinations that have been down for 10 s or more, by message that is meant for such: as many as
        the run's own share and time of being down say."""
        share = self.quiet(couriers, destinations, "calls.hollow_calls_to_down_10_s_share", "share", spell="dense")
        name = self.of_size(couriers, destinations, "dense")
        if name is None or share.value is None:
            return share
        given = self.results.files[name]["parameters"]
        long = given["down_share"] * max(0.0, given["down_s"] - 10) / given["down_s"]
        return replace(share, value=share.value / long if long else None, how="")

    def down(self, couriers: float, destinations: float) -> Figure:
        """How many destinations the figures of `ignorant` rest on: those that are called in the spell "dense" and have
        been down for 10 s or more, by the run's own shares."""
        name = self.of_size(couriers, destinations, "dense")
        if name is None:
            return Figure(None)
        given = self.results.files[name]["parameters"]
        long = given["down_share"] * max(0.0, given["down_s"] - 10) / given["down_s"]
        return Figure(given["destinations"] * given["rate"] * long, "", f"`{name}`")

    def fault(self, kind: str) -> tuple[str, Mapping[str, Any]] | None:
        """The fault of this name in the largest run that has it, with the run's name."""
        for name, one in reversed(self.runs().items()):
            for fault in one.get("faults", ()):
                if fault.get("fault") == kind:
                    self.results.used[name] = None
                    return name, fault
        return None
