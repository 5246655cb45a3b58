"""A run's figures: differences of what all processes told at two moments, divided by couriers and seconds. No I/O.

Every figure's unit is in its name. `hollow` figures are means over hollow couriers.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Any

from wheelstep.rehearsal.scale.traffic import percentile_us

Told = dict[str, Any]  # `fleet.Fleet.figures`
_DIGITS = 6  # that a figure keeps


def rounded(found: Any) -> Any:
    """The same with floats cut to a few digits, also inside."""
    if isinstance(found, float):
        return float(f"{found:.{_DIGITS}g}")
    if isinstance(found, Mapping):
        return {str(name): rounded(value) for name, value in found.items()}
    if isinstance(found, list | tuple):
        return [rounded(value) for value in found]
    return found


def sums(told: Told, part: str) -> Counter[str]:
    """A table of all hosts together."""
    total: Counter[str] = Counter()
    for host in told["hosts"]:
        total.update(host[part])
    return total


def less(after: Mapping[str, float], before: Mapping[str, float]) -> dict[str, float]:
    """What came between."""
    return {name: value - before.get(name, 0) for name, value in after.items()}


def mean(values: Iterable[float]) -> float | None:
    """None of none."""
    found = list(values)
    return sum(found) / len(found) if found else None


def over(one: float | None, other: float | None) -> float | None:
    """A ratio; None where there is none."""
    return one / other if one is not None and other else None


def busiest(loads: Iterable[float]) -> float | None:
    """The largest over the mean."""
    found = list(loads)
    return over(max(found, default=None), mean(found))


def _times(prefix: str, after: Mapping[str, int], before: Mapping[str, int]) -> dict[str, float | None]:
    counts = {int(step): int(count) for step, count in less(after, before).items() if count > 0}
    return {f"{prefix}_p50_us": percentile_us(counts, 0.5), f"{prefix}_p99_us": percentile_us(counts, 0.99)}


def calls(before: Told, after: Told) -> dict[str, float | None]:
    """What partners saw, of hollow and real couriers, and what clients heard."""
    table = less(sums(after, "counts"), sums(before, "counts"))
    standin = less(after["standin"], before["standin"])
    answers = less(sums(after, "answers"), sums(before, "answers"))
    clients = less(after["clients"]["answers"], before["clients"]["answers"])
    delivered = table.get("delivered", 0)
    return {
        "handed_in": answers.get("handed_in", 0), "answers_202": answers.get("202", 0),
        "answers_503": answers.get("503", 0), "answers_none": answers.get("none", 0),
        "answers_not_ready": answers.get("not_ready", 0),
        "hollow_calls": table.get("calls", 0), "hollow_delivered": delivered,
        "hollow_calls_to_down_share": over(table.get("down", 0), table.get("calls", 0)),
        "hollow_calls_to_down_10_s_share": over(table.get("down_long", 0), table.get("calls", 0)),
        "hollow_calls_to_down_10_s_of_down_share": over(table.get("down_long", 0), table.get("down", 0)),
        "hollow_probes": table.get("probes", 0),
        "hollow_handshakes_per_message": over(table.get("handshakes", 0), delivered),
        "hollow_given_up": table.get("given_up", 0), "hollow_handed_back": table.get("handed_back", 0),
        "real_calls": standin["calls"], "real_delivered": standin["delivered"],
        "real_calls_to_down_10_s_share": over(standin["down_long"], standin["calls"]),
        "real_handshakes_per_message": over(standin["handshakes"] - standin["probes"], standin["delivered"]),
        "real_clients_202": clients.get("202", 0), "real_clients_503": clients.get("503", 0),
        "real_clients_none": clients.get("none", 0),
        **_times("hollow_202", sums(after, "took"), sums(before, "took")),
        **_times("hollow_202_waited", sums(after, "waited"), sums(before, "waited")),
        **_times("real_202", after["clients"]["took"], before["clients"]["took"])}


def node(before: Told, after: Told) -> dict[str, float]:
    """What the nodes counted: forwards, guests, and so on, of hollow couriers."""
    found = less(sums(after, "sums"), sums(before, "sums"))
    return {name.removeprefix("node_"): value for name, value in found.items() if name.startswith("node_") and value}


def spell(before: Told, after: Told, hollow: int) -> dict[str, Any]:
    """A quiet spell, by courier and second."""
    seconds = after["at_s"] - before["at_s"]
    net = {name.removeprefix("net_"): value for name, value in
           less(sums(after, "sums"), sums(before, "sums")).items() if name.startswith("net_")}
    each = max(1, hollow) * seconds
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
            "packets_sent_per_s": (net["datagrams_out"] + net["control_writes"] + net["peer_writes"]) / each,
            "membership_packets_sent_per_s": net["datagrams_out"] / each,
            "membership_bytes_sent_per_s": net["datagram_bytes_out"] / each,
            "membership_bytes_received_per_s": net["datagram_bytes_in"] / each,
            "list_bytes_sent_per_s": net["control_bytes_out"] / each,
            "list_bytes_received_per_s": net["control_bytes_in"] / each,
            "peer_bytes_dialled_here_per_s": net["peer_bytes"] / each,
            "cpu_us_per_s": sum(host_cpu) / each * 1e6,
            "memory_bytes": sum(after["memory_bytes"]["hosts"]) / max(1, hollow),
            "rows_listed": sum(host["listed"] for host in after["hosts"]) / max(1, hollow),
            "messages_held": sum(host["held"] for host in after["hosts"]) / max(1, hollow),
            "shards_busiest_over_mean": busiest(shards), "taken_busiest_over_mean": busiest(taken.values())},
        "real": {"cpu_us_per_s": cpu("real"), "memory_bytes": mean(after["memory_bytes"]["real"])},
        "control_machine": {"cpu_us_per_s": cpu("control"), "memory_bytes": mean(after["memory_bytes"]["control"]),
                            "memory_bytes_most": max(after["memory_bytes"]["control"], default=0)},
        "discovery": {"bytes_sent_per_s": discovery["bytes_out"] / seconds, "changes": discovery["changes"],
                      "list_bytes": after["discovery"]["list_bytes"]},
        "calls": calls(before, after), "nodes": node(before, after)}


def flood(seconds: Iterable[Iterable[list[float]]], from_s: float, to_s: float, usual: Mapping[str, float]
          ) -> dict[str, float | None]:
    """The busiest second of a span, over the usual one. `seconds`: of each host, its running totals once a second;
    `usual`: means of a quiet spell, by the same names."""
    names = ("packets_per_s", "bytes_per_s", "list_bytes_per_s", "partner_calls_per_s", "cpu_s_per_s")
    by_second: dict[int, list[float]] = {}
    for host in seconds:
        rows = [row for row in host if from_s - 1.5 <= row[0] <= to_s]
        for was, now in zip(rows, rows[1:], strict=False):
            if now[0] >= from_s:
                rates = by_second.setdefault(int(now[0] - from_s), [0.0] * len(names))
                for index, (one, other) in enumerate(zip(now[1:], was[1:], strict=True)):
                    rates[index] += max(0.0, one - other) / (now[0] - was[0])
    found: dict[str, float | None] = {}
    for index, name in enumerate(names):
        most = max((rates[index] for rates in by_second.values()), default=0.0)
        found[f"most_{name}"] = most
        found[f"most_{name}_over_usual"] = over(most, usual.get(name))
    return found


def usual(seconds: Iterable[Iterable[list[float]]], from_s: float, to_s: float) -> dict[str, float]:
    """Means of a span, of all hosts together, by the names of `flood`."""
    names = ("packets_per_s", "bytes_per_s", "list_bytes_per_s", "partner_calls_per_s", "cpu_s_per_s")
    total = dict.fromkeys(names, 0.0)
    for host in seconds:
        rows = [row for row in host if from_s <= row[0] <= to_s]
        if len(rows) > 1:
            for index, name in enumerate(names):
                total[name] += (rows[-1][index + 1] - rows[0][index + 1]) / (rows[-1][0] - rows[0][0])
    return total
