"""The figures of a run: differences between two snapshots of all processes, per courier and second. No I/O.

Every figure's name holds its unit. The figures under `hollow` are means over hollow couriers.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Any

from wheelstep.rehearsal.scale.traffic import percentile_us

Snapshot = dict[str, Any]  # as `fleet.Fleet.figures` returns it
_SIGNIFICANT_DIGITS = 6


def rounded(result: Any) -> Any:
    """Return `result` with all floats, nested ones included, rounded to `_SIGNIFICANT_DIGITS`."""
    if isinstance(result, float):
        return float(f"{result:.{_SIGNIFICANT_DIGITS}g}")
    if isinstance(result, Mapping):
        return {str(name): rounded(value) for name, value in result.items()}
    if isinstance(result, list | tuple):
        return [rounded(value) for value in result]
    return result


def sums(snapshot: Snapshot, part: str) -> Counter[str]:
    """Return the counter `part` summed over all hosts."""
    totals: Counter[str] = Counter()
    for host in snapshot["hosts"]:
        totals.update(host[part])
    return totals


def difference(after: Mapping[str, float], before: Mapping[str, float]) -> dict[str, float]:
    """Return how much each value grew; a name that is missing in `before` counts from 0."""
    return {name: value - before.get(name, 0) for name, value in after.items()}


def mean(values: Iterable[float]) -> float | None:
    """Return the mean, or None without values."""
    result = list(values)
    return sum(result) / len(result) if result else None


def ratio(numerator: float | None, denominator: float | None) -> float | None:
    """Return the ratio, or None if a value is missing or the denominator is 0."""
    return numerator / denominator if numerator is not None and denominator else None


def peak_to_mean(loads: Iterable[float]) -> float | None:
    """Return the ratio of the largest load to the mean; None without loads or if all are 0."""
    result = list(loads)
    return ratio(max(result, default=None), mean(result))


def _latency_percentiles(prefix: str, after: Mapping[str, int], before: Mapping[str, int]) -> dict[str, float | None]:
    counts = {int(step): int(count) for step, count in difference(after, before).items() if count > 0}
    return {f"{prefix}_p50_us": percentile_us(counts, 0.5), f"{prefix}_p99_us": percentile_us(counts, 0.99)}


def call_figures(before: Snapshot, after: Snapshot) -> dict[str, float | None]:
    """Return the figures of calls to partners and of answers to clients, for hollow and real couriers."""
    counts = difference(sums(after, "counts"), sums(before, "counts"))
    partner_counts = difference(after["standin"], before["standin"])
    answers = difference(sums(after, "answers"), sums(before, "answers"))
    clients = difference(after["clients"]["answers"], before["clients"]["answers"])
    delivered = counts.get("delivered", 0)
    return {
        "handed_in": answers.get("handed_in", 0), "answers_202": answers.get("202", 0),
        "answers_503": answers.get("503", 0), "answers_none": answers.get("none", 0),
        "answers_not_ready": answers.get("not_ready", 0),
        "hollow_calls": counts.get("calls", 0), "hollow_delivered": delivered,
        "hollow_calls_to_down_share": ratio(counts.get("down", 0), counts.get("calls", 0)),
        "hollow_calls_to_down_10_s_share": ratio(counts.get("down_long", 0), counts.get("calls", 0)),
        "hollow_calls_to_down_10_s_of_down_share": ratio(counts.get("down_long", 0), counts.get("down", 0)),
        "hollow_probes": counts.get("probes", 0),
        "hollow_handshakes_per_message": ratio(counts.get("handshakes", 0), delivered),
        "hollow_given_up": counts.get("given_up", 0), "hollow_handed_back": counts.get("handed_back", 0),
        "real_calls": partner_counts["calls"], "real_delivered": partner_counts["delivered"],
        "real_calls_to_down_10_s_share": ratio(partner_counts["down_long"], partner_counts["calls"]),
        "real_handshakes_per_message": ratio(partner_counts["handshakes"] - partner_counts["probes"],
                                             partner_counts["delivered"]),
        "real_clients_202": clients.get("202", 0), "real_clients_503": clients.get("503", 0),
        "real_clients_none": clients.get("none", 0),
        **_latency_percentiles("hollow_202", sums(after, "took"), sums(before, "took")),
        **_latency_percentiles("hollow_202_waited", sums(after, "waited"), sums(before, "waited")),
        **_latency_percentiles("real_202", after["clients"]["took"], before["clients"]["took"])}


def node_figures(before: Snapshot, after: Snapshot) -> dict[str, float]:
    """Return the counters of the hollow couriers' shard nodes (forwards, guests and others) that grew."""
    result = difference(sums(after, "sums"), sums(before, "sums"))
    return {name.removeprefix("node_"): value for name, value in result.items() if name.startswith("node_") and value}


def quiet_figures(before: Snapshot, after: Snapshot, hollow: int) -> dict[str, Any]:
    """Return the figures of a quiet period, per courier and second."""
    seconds = after["at_s"] - before["at_s"]
    net = {name.removeprefix("net_"): value for name, value in
           difference(sums(after, "sums"), sums(before, "sums")).items() if name.startswith("net_")}
    courier_seconds = max(1, hollow) * seconds
    taken = {name: value - host.get(name, 0) for now, was in zip(after["hosts"], before["hosts"], strict=True)
             for host in [was["taken"]] for name, value in now["taken"].items()}
    shards = [value for host in after["hosts"] for value in host["shards"].values()]

    def cpu(kind: str) -> float | None:
        pairs = zip(after["cpu_s"][kind], before["cpu_s"][kind], strict=False)
        return mean((now - was) / seconds * 1e6 for now, was in pairs if was)
    discovery = {name: after["discovery"][name] - before["discovery"][name] for name in ("bytes_out", "changes")}
    host_cpu = [now["cpu_s"] - was["cpu_s"] for now, was in zip(after["hosts"], before["hosts"], strict=True)]
    return {
        "seconds": seconds,
        "hollow": {
            "packets_sent_per_s": (net["datagrams_out"] + net["control_writes"] + net["peer_writes"]) / courier_seconds,
            "membership_packets_sent_per_s": net["datagrams_out"] / courier_seconds,
            "membership_bytes_sent_per_s": net["datagram_bytes_out"] / courier_seconds,
            "membership_bytes_received_per_s": net["datagram_bytes_in"] / courier_seconds,
            "list_bytes_sent_per_s": net["control_bytes_out"] / courier_seconds,
            "list_bytes_received_per_s": net["control_bytes_in"] / courier_seconds,
            "peer_bytes_dialled_here_per_s": net["peer_bytes"] / courier_seconds,
            "cpu_us_per_s": sum(host_cpu) / courier_seconds * 1e6,
            "memory_bytes": sum(after["memory_bytes"]["hosts"]) / max(1, hollow),
            "rows_listed": sum(host["listed"] for host in after["hosts"]) / max(1, hollow),
            "messages_held": sum(host["held"] for host in after["hosts"]) / max(1, hollow),
            "shards_busiest_over_mean": peak_to_mean(shards), "taken_busiest_over_mean": peak_to_mean(taken.values())},
        "real": {"cpu_us_per_s": cpu("real"), "memory_bytes": mean(after["memory_bytes"]["real"])},
        "control_machine": {"cpu_us_per_s": cpu("control"), "memory_bytes": mean(after["memory_bytes"]["control"]),
                            "memory_bytes_most": max(after["memory_bytes"]["control"], default=0)},
        "discovery": {"bytes_sent_per_s": discovery["bytes_out"] / seconds, "changes": discovery["changes"],
                      "list_bytes": after["discovery"]["list_bytes"]},
        "calls": call_figures(before, after), "nodes": node_figures(before, after)}


def peak_rates(samples: Iterable[Iterable[list[float]]], from_s: float, to_s: float, baseline: Mapping[str, float]
               ) -> dict[str, float | None]:
    """Return the highest rate of any second between `from_s` and `to_s`, and its ratio to the baseline. `samples` holds
    for each host its running totals, one row a second; `baseline` holds rates as `mean_rates` returns them."""
    names = ("packets_per_s", "bytes_per_s", "list_bytes_per_s", "partner_calls_per_s", "cpu_s_per_s")
    by_second: dict[int, list[float]] = {}
    for host in samples:
        rows = [row for row in host if from_s - 1.5 <= row[0] <= to_s]
        for was, now in zip(rows, rows[1:], strict=False):
            if now[0] >= from_s:
                rates = by_second.setdefault(int(now[0] - from_s), [0.0] * len(names))
                for index, (later, earlier) in enumerate(zip(now[1:], was[1:], strict=True)):
                    rates[index] += max(0.0, later - earlier) / (now[0] - was[0])
    result: dict[str, float | None] = {}
    for index, name in enumerate(names):
        peak = max((rates[index] for rates in by_second.values()), default=0.0)
        result[f"most_{name}"] = peak
        result[f"most_{name}_over_usual"] = ratio(peak, baseline.get(name))
    return result


def mean_rates(samples: Iterable[Iterable[list[float]]], from_s: float, to_s: float) -> dict[str, float]:
    """Return the mean rates between `from_s` and `to_s`, summed over all hosts."""
    names = ("packets_per_s", "bytes_per_s", "list_bytes_per_s", "partner_calls_per_s", "cpu_s_per_s")
    totals = dict.fromkeys(names, 0.0)
    for host in samples:
        rows = [row for row in host if from_s <= row[0] <= to_s]
        if len(rows) > 1:
            for index, name in enumerate(names):
                totals[name] += (rows[-1][index + 1] - rows[0][index + 1]) / (rows[-1][0] - rows[0][0])
    return totals
