"""Before and after, against the budgets and the aims."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace
from statistics import median
from typing import Any

from benchmarks.page.after import After
from benchmarks.page.parts import COURIERS, DESTINATIONS, Before
from benchmarks.page.results import NOT_MEASURED, Figure, Results, plain, table, written


def cell(figure: Figure, most: float) -> str:
    """A figure, bold where it is over the budget."""
    return f"**{figure}**" if figure.value is not None and figure.value > most else f"{figure}"


def either(run: Figure, parts: Figure, most: float) -> str:
    """By the scale run, else by single parts and said so."""
    if run.value is None and parts.value is not None:
        return f"{cell(parts, most)} (by parts)"
    return cell(run, most)


def compare(results: Results) -> str:
    """3: both states in one table."""
    before, after, was, of = Before(results), After(results), After(results, divided=False), results.stated
    core, memory, wire = of("budget_core"), of("budget_memory"), of("budget_bytes_s")
    rows = []
    for couriers in COURIERS:
        for destinations in DESTINATIONS:
            size = (couriers, destinations)
            sent = cell(after.sent(*size), wire), cell(after.received(*size), wire)
            rows.append((plain(couriers), plain(destinations),
                         either(was.memory(*size), before.memory(*size), memory), cell(after.memory(*size), memory),
                         either(was.core(*size), before.membership(couriers, "cpu_us", "share", 1e-6), core),
                         cell(after.core(*size), core),
                         either(was.sent(*size), before.membership(couriers, "bytes", "bytes/s"), wire),
                         " / ".join(sent) if after.sent(*size).value is not None else NOT_MEASURED))
    heads = ("couriers", "destinations", f"memory before (of {written(memory, 'bytes')})", "after",
             f"processor time before (of {written(core, 'share')})", "after",
             f"sent a second before (of {written(wire, 'bytes')})", "after: sent / received")
    return "\n\n".join((
        "## 3. Before and after",
        "Before: every courier holds, calls and learns every destination. After: destinations divided. Both by scale "
        "runs, idle: no messages, members and list alone. \"By parts\": no such scale run; then memory is the "
        "module's and the members', processor time and bytes are membership's. Bold: over the budget.",
        table(heads, rows), *_others(results)))


def _others(results: Results) -> tuple[str, ...]:
    before, after, was, of = Before(results), After(results), After(results, divided=False), results.stated
    full = after.best(of("couriers"), of("destinations"))
    size = f"{plain(full[0])} couriers, {plain(full[1])} destinations"
    old = was.best(of("couriers"), of("destinations"))
    old_size = f"{plain(old[0])} couriers, {plain(old[1])} destinations"
    rate = of("events_a_second") / of("destinations")
    lost = after.fault("two machines")
    found = lost[1] if lost else {}
    calls = "calls.hollow_"
    rows: list[tuple[object, ...]] = [
        ("calls to destinations that have been down for 10 s or more, by message meant for such (retries are calls "
         "too)", was.ignorant(*old), after.ignorant(*full), f"under {written(of('aim_down_share'), 'share')}"),
        ("... of all calls", was.quiet(*old, f"{calls}calls_to_down_10_s_share", "share", spell="dense"),
         after.quiet(*full, f"{calls}calls_to_down_10_s_share", "share", spell="dense"), "-"),
        ("... calls that both rest on", was.quiet(*old, f"{calls}calls", spell="dense"),
         after.quiet(*full, f"{calls}calls", spell="dense"), "-"),
        ("handshakes a message, each destination at its real rate",
         was.quiet(*old, f"{calls}handshakes_per_message", spell="dense"),
         after.quiet(*full, f"{calls}handshakes_per_message", spell="dense"), f"under {plain(of('aim_handshakes'))}"),
        ("calls of one courier to one destination (by division)", f"one in {written(of('couriers') / rate, 's')}",
         f"one in {written(of('regions') / rate, 's')}", "-"),
        ("share of messages that take the hop", "none", node_share(after, "message asked", *full), "-"),
        ("messages taken as guest, in quiet", "none", node_share(after, "message guest", *full), "-"),
        ("202 at the median, hollow couriers", was.quiet(*old, f"{calls}202_p50_us", "s", 1e-6, "dense"),
         after.quiet(*full, f"{calls}202_p50_us", "s", 1e-6, "dense"), "-"),
        ("202, 99 of 100, hollow couriers", was.quiet(*old, f"{calls}202_p99_us", "s", 1e-6, "dense"),
         after.quiet(*full, f"{calls}202_p99_us", "s", 1e-6, "dense"), "-"),
        (f"until a death is known to all (before: {plain(of('couriers'))} couriers)", before.death(of("couriers")),
         Figure(found.get("gone_in_all_views_s"), "s"), "-"),
        ("until the last message for a dead courier's destinations without a 202", "all serve all",
         Figure(found.get("unserved_until_s"), "s"), "-"),
        ("until each of them has its home", "-", Figure(found.get("homes_steady_s"), "s"), "-"),
        ("moves over the least possible, two machines lost", "-", Figure(found.get("moves_over_least")), "-"),
        *((f"moves over the least possible, {what}, by the plan alone", "-",
           results.told("shard_plan", "couriers", round(of("couriers") / of("regions")), field,
                        shards=round(of("shards"))), "-")
          for what, field in (("one courier gone", "one_moves_over_least"), ("a sixth", "sixth_moves_over_least"))),
        ("busiest courier over the mean, by shards", "-",
         after.quiet(*full, "hollow.shards_busiest_over_mean"), f"at most {plain(of('aim_busiest'))}"),
        ("busiest courier over the mean, by messages taken", "-",
         after.quiet(*full, "hollow.taken_busiest_over_mean", spell="spread"), "-")]
    rows.insert(0, ("memory of a courier, idle, without its empty process", was.memory(*old), after.memory(*full),
                    written(of("budget_memory"), "bytes")))
    heads = ("what", f"before ({old_size}, where it says nothing else)",
             f"after ({size}, where it says nothing else)", "aim")
    return (table(heads, rows), _hop(results))


def node_share(after: After, counted: str, couriers: float, destinations: float) -> Figure:
    """What nodes counted, by message that was handed in; what they count only when it is there, is 0 elsewhere."""
    asked = after.quiet(couriers, destinations, f"nodes.{counted}", "share", spell="spread")
    if asked.value is None and after.of_size(couriers, destinations, "spread"):
        asked = replace(after.quiet(couriers, destinations, "seconds", "share", spell="spread"), value=0.0, how="")
    handed = after.quiet(couriers, destinations, "calls.handed_in", spell="spread")
    return Figure(None, "share") if not handed.value else asked.times(1 / handed.value)


def _hop(results: Results) -> str:
    """What the hop costs, by its own measurement: medians of its runs."""
    rows = results.rows("forwarding_cost")
    if not rows:
        return "What the hop costs by itself (messages a second, processor time of both): not measured."
    results.used["forwarding_cost"] = None
    kinds: dict[str, list[Mapping[str, Any]]] = {}
    for row in rows:
        kinds.setdefault(row["kind"], []).append(row)

    def middle(of: list[Mapping[str, Any]], field: str) -> float:
        return median(float(row[field]) for row in of)
    return "What the hop costs by itself, two processes (`forwarding_cost`; medians):\n\n" + table(
        ("over", "runs", "messages a second", "processor time a message: asker", "home"),
        [(kind, len(of), plain(middle(of, "rate")), written(middle(of, "asker_us") / 1e6, "s"),
          written(middle(of, "home_us") / 1e6, "s")) for kind, of in kinds.items()])
