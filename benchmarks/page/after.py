"""Looks up figures of scale runs, with destinations divided among couriers or (the state before) undivided."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

from benchmarks.page.results import SIZE_TOLERANCE, Figure, Results, describe_law, number_at
from benchmarks.slopes import Fit, fit


def couriers_of(one: Mapping[str, Any]) -> int:
    """Return the number of couriers in a run: simulated ("hollow") ones and real processes."""
    parameters = one.get("parameters", {})
    return int(parameters.get("hollow", 0)) + int(parameters.get("real", 0))


@dataclass(frozen=True, slots=True)
class ScaleRuns:
    """Figures of scale runs with destinations divided, or undivided if `divided` is False."""

    results: Results
    divided: bool = True

    def runs(self, destinations: float | None = None) -> dict[str, Mapping[str, Any]]:
        """Return the scale runs, by file name, from the smallest to the largest; of so many destinations, if given."""
        found = {name: one for name, one in self.results.files.items() if one.get("what") == "scale_run"
                 and bool(one["parameters"].get("undivided")) is not self.divided
                 and destinations in (None, one["parameters"].get("destinations"))}
        return dict(sorted(found.items(), key=lambda pair: couriers_of(pair[1])))

    def run_name(self, couriers: float, destinations: float, spell: str = "") -> str | None:
        """Return the name of the run of this size that has the quiet spell `spell`, or None; of several runs the one
        with the most faults."""
        found = [name for name, one in self.runs(destinations).items()
                 if abs(couriers_of(one) - couriers) <= SIZE_TOLERANCE * couriers
                 and (not spell or spell in one["quiet"])]
        return max(found, key=lambda name: len(self.results.files[name]["faults"]), default=None)

    def quiet(self, couriers: float, destinations: float, field: str, unit: str = "", by: float = 1.0,
              spell: str = "idle") -> Figure:
        """Return a figure of a quiet spell in the run of this size: "idle" (no messages), "spread" (a fraction of the
        traffic over all destinations) or "dense" (each called destination at its real rate). `how` describes its law by
        couriers, if four sizes were measured. Without a run of this size, the law predicts the figure."""
        name = self.run_name(couriers, destinations, spell)
        law = self.law(destinations, f"quiet.{spell}.{field}", by)
        if name is None:
            value = None if law is None else law.value(couriers)
            how = f"extrapolated: {describe_law(law, 'couriers', unit)}" if value is not None else ""
            return Figure(value, unit, "`scale-*`" if how else "", how)
        found = self.results.file_value(name, f"quiet.{spell}.{field}", unit, by)
        return replace(found, how=describe_law(law, "couriers", unit)) if law and found.value is not None else found

    def best_size(self, couriers: float, destinations: float) -> tuple[float, float]:
        """Return this size if it was measured with messages, else that of the largest run with messages, else this
        size."""
        if self.run_name(couriers, destinations, "dense"):
            return couriers, destinations
        runs = [(couriers_of(one), one["parameters"]["destinations"]) for one in self.runs().values()
                if "dense" in one["quiet"]]
        return max(runs, default=(couriers, destinations))

    def law(self, destinations: float, path: str, by: float = 1.0) -> Fit | None:
        """Return how the figure at `path` grows with couriers in the runs with so many destinations, or None with fewer
        than four sizes."""
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
        """Return the memory of a hollow courier in the idle spell, without its share of the empty process."""
        full = self.quiet(couriers, destinations, "hollow.memory_bytes", "bytes")
        name = self.run_name(couriers, destinations, "idle")
        if name is None or full.value is None:
            return full
        parameters = self.results.files[name]["parameters"]
        empty = self.results.file_value(name, "start.host_memory_bytes_empty").value or 0.0
        return replace(full, value=full.value - empty * parameters["hosts"] / parameters["hollow"])

    def core(self, couriers: float, destinations: float) -> Figure:
        """Return the processor time of a hollow courier in the idle spell."""
        return self.quiet(couriers, destinations, "hollow.cpu_us_per_s", "share", 1e-6)

    def sent(self, couriers: float, destinations: float) -> Figure:
        """Return the bytes a second that a courier sends for control in the idle spell: members, list, and to peers."""
        return self._sum(couriers, destinations, "membership_bytes_sent_per_s", "list_bytes_sent_per_s",
                         "peer_bytes_dialled_here_per_s")

    def received(self, couriers: float, destinations: float) -> Figure:
        """Return the bytes a second that a courier receives for control in the idle spell: members and list."""
        return self._sum(couriers, destinations, "membership_bytes_received_per_s", "list_bytes_received_per_s")

    def _sum(self, couriers: float, destinations: float, *fields: str) -> Figure:
        first, *rest = (self.quiet(couriers, destinations, f"hollow.{field}", "bytes/s") for field in fields)
        return replace(first.plus(*rest), how="")

    def long_down_calls(self, couriers: float, destinations: float) -> Figure:
        """Return the calls to destinations that have been down for 10 s or more, over the messages for such
        destinations, whose number follows from the run's share of destinations that are down and their time down."""
        share = self.quiet(couriers, destinations, "calls.hollow_calls_to_down_10_s_share", "share", spell="dense")
        name = self.run_name(couriers, destinations, "dense")
        if name is None or share.value is None:
            return share
        parameters = self.results.files[name]["parameters"]
        long_down_share = parameters["down_share"] * max(0.0, parameters["down_s"] - 10) / parameters["down_s"]
        return replace(share, value=share.value / long_down_share if long_down_share else None, how="")

    def long_down_destinations(self, couriers: float, destinations: float) -> Figure:
        """Return on how many destinations `long_down_calls` is based: those that are called in the spell "dense"
        and have been down for 10 s or more, by the run's own shares."""
        name = self.run_name(couriers, destinations, "dense")
        if name is None:
            return Figure(None)
        parameters = self.results.files[name]["parameters"]
        long_down_share = parameters["down_share"] * max(0.0, parameters["down_s"] - 10) / parameters["down_s"]
        return Figure(parameters["destinations"] * parameters["rate"] * long_down_share, "", f"`{name}`")

    def fault_run(self, kind: str) -> tuple[str, Mapping[str, Any]] | None:
        """Return the name of the largest run that has this kind of fault, and the fault's figures, or None."""
        for name, one in reversed(self.runs().items()):
            for fault in one.get("faults", ()):
                if fault.get("fault") == kind:
                    self.results.used[name] = None
                    return name, fault
        return None
