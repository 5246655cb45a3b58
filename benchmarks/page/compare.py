"""Section 3 of the page: before and after destinations were divided, against the budgets and aims."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace
from statistics import median
from typing import Any

from benchmarks.page.after import ScaleRuns
from benchmarks.page.parts import COURIERS, DESTINATIONS, UndividedParts
from benchmarks.page.results import NOT_MEASURED, Figure, Results, format_number, format_value, markdown_table


def budget_cell(figure: Figure, most: float) -> str:
    """Return a figure as text, in bold if it is over the budget `most`."""
    return f"**{figure}**" if figure.value is not None and figure.value > most else f"{figure}"


def run_or_parts(run: Figure, parts: Figure, most: float) -> str:
    """Return the figure of the scale run, or that of single parts, marked as such, if there is no run."""
    if run.value is None and parts.value is not None:
        return f"{budget_cell(parts, most)} (by parts)"
    return budget_cell(run, most)


def compare(results: Results) -> str:
    """Return section 3: both states in one table."""
    before, after, undivided, stated = (UndividedParts(results), ScaleRuns(results),
                                        ScaleRuns(results, divided=False), results.stated)
    core, memory, bytes_per_s = stated("budget_core"), stated("budget_memory"), stated("budget_bytes_s")
    rows = []
    for couriers in COURIERS:
        for destinations in DESTINATIONS:
            size = (couriers, destinations)
            sent = budget_cell(after.sent(*size), bytes_per_s), budget_cell(after.received(*size), bytes_per_s)
            rows.append((format_number(couriers), format_number(destinations),
                         run_or_parts(undivided.memory(*size), before.memory(*size), memory),
                         budget_cell(after.memory(*size), memory),
                         run_or_parts(undivided.core(*size),
                                      before.membership(couriers, "cpu_us", "share", 1e-6), core),
                         budget_cell(after.core(*size), core),
                         run_or_parts(undivided.sent(*size), before.membership(couriers, "bytes", "bytes/s"),
                                      bytes_per_s),
                         " / ".join(sent) if after.sent(*size).value is not None else NOT_MEASURED))
    headers = ("couriers", "destinations", f"memory before (of {format_value(memory, 'bytes')})", "after",
             f"processor time before (of {format_value(core, 'share')})", "after",
             f"sent a second before (of {format_value(bytes_per_s, 'bytes')})", "after: sent / received")
    return "\n\n".join((
        "## 3. Before and after",
        "Before: every courier holds, calls and learns every destination. After: destinations divided. Both by scale "
        "runs, idle: no messages, members and list alone. \"By parts\": no such scale run; then memory is the "
        "module's and the members', processor time and bytes are membership's. Bold: over the budget.",
        markdown_table(headers, rows), *_comparison_tables(results)))


def _comparison_tables(results: Results) -> tuple[str, ...]:
    before, after, undivided, stated = (UndividedParts(results), ScaleRuns(results),
                                        ScaleRuns(results, divided=False), results.stated)
    full = after.best_size(stated("couriers"), stated("destinations"))
    size = f"{format_number(full[0])} couriers, {format_number(full[1])} destinations"
    old = undivided.best_size(stated("couriers"), stated("destinations"))
    old_size = f"{format_number(old[0])} couriers, {format_number(old[1])} destinations"
    rate = stated("events_a_second") / stated("destinations")
    lost = after.fault_run("two machines")
    lost_machines = lost[1] if lost else {}
    calls = "calls.hollow_"
    rows: list[tuple[object, ...]] = [
        ("calls to destinations that have been down for 10 s or more, by message meant for such (retries are calls "
         "too)", undivided.long_down_calls(*old), after.long_down_calls(*full),
         f"under {format_value(stated('aim_down_share'), 'share')}"),
        ("... of all calls", undivided.quiet(*old, f"{calls}calls_to_down_10_s_share", "share", spell="dense"),
         after.quiet(*full, f"{calls}calls_to_down_10_s_share", "share", spell="dense"), "-"),
        ("... destinations down so long that this rests on, about", undivided.long_down_destinations(*old),
         after.long_down_destinations(*full), "-"),
        ("... calls that both rest on", undivided.quiet(*old, f"{calls}calls", spell="dense"),
         after.quiet(*full, f"{calls}calls", spell="dense"), "-"),
        ("handshakes a message, each destination at its real rate",
         undivided.quiet(*old, f"{calls}handshakes_per_message", spell="dense"),
         after.quiet(*full, f"{calls}handshakes_per_message", spell="dense"),
         f"under {format_number(stated('aim_handshakes'))}"),
        ("calls of one courier to one destination (by division)",
         f"one in {format_value(stated('couriers') / rate, 's')}",
         f"one in {format_value(stated('regions') / rate, 's')}", "-"),
        ("share of messages that take the hop", "none", node_share(after, "message asked", *full), "-"),
        ("messages taken as guest, in quiet", "none", node_share(after, "message guest", *full), "-"),
        ("202 at the median, hollow couriers", undivided.quiet(*old, f"{calls}202_p50_us", "s", 1e-6, "dense"),
         after.quiet(*full, f"{calls}202_p50_us", "s", 1e-6, "dense"), "-"),
        ("202, 99 of 100, hollow couriers", undivided.quiet(*old, f"{calls}202_p99_us", "s", 1e-6, "dense"),
         after.quiet(*full, f"{calls}202_p99_us", "s", 1e-6, "dense"), "-"),
        (f"until a death is known to all (before: {format_number(stated('couriers'))} couriers)",
         before.death(stated("couriers")),
         Figure(lost_machines.get("gone_in_all_views_s"), "s"), "-"),
        ("until the last message for a dead courier's destinations without a 202", "all serve all",
         Figure(lost_machines.get("unserved_until_s"), "s"), "-"),
        ("until each of them has its home", "-", Figure(lost_machines.get("homes_steady_s"), "s"), "-"),
        ("moves over the least possible, two machines lost", "-", Figure(lost_machines.get("moves_over_least")), "-"),
        *((f"moves over the least possible, {what}, by the plan alone", "-",
           results.at_size("shard_plan", "couriers", round(stated("couriers") / stated("regions")), field,
                        shards=round(stated("shards"))), "-")
          for what, field in (("one courier gone", "one_moves_over_least"), ("a sixth", "sixth_moves_over_least"))),
        ("busiest courier over the mean, by shards", "-",
         after.quiet(*full, "hollow.shards_busiest_over_mean"), f"at most {format_number(stated('aim_busiest'))}"),
        ("busiest courier over the mean, by messages taken", "-",
         after.quiet(*full, "hollow.taken_busiest_over_mean", spell="spread"), "-"),
        ("... messages a courier that this rests on", "-",
         after.quiet(*full, "calls.handed_in", "", 1 / full[0], "spread"), "-")]
    rows.insert(0, ("memory of a courier, idle, without its empty process", undivided.memory(*old), after.memory(*full),
                    format_value(stated("budget_memory"), "bytes")))
    headers = ("what", f"before ({old_size}, where it says nothing else)",
             f"after ({size}, where it says nothing else)", "aim")
    return (markdown_table(headers, rows), _hop(results))


def node_share(after: ScaleRuns, counted: str, couriers: float, destinations: float) -> Figure:
    """Return what the nodes counted, over the messages submitted. Runs list only counters that grew, so a counter that
    is missing in a measured run is 0."""
    asked = after.quiet(couriers, destinations, f"nodes.{counted}", "share", spell="spread")
    if asked.value is None and after.run_name(couriers, destinations, "spread"):
        asked = replace(after.quiet(couriers, destinations, "seconds", "share", spell="spread"), value=0.0, how="")
    handed = after.quiet(couriers, destinations, "calls.handed_in", spell="spread")
    return Figure(None, "share") if not handed.value else asked.times(1 / handed.value)


def _hop(results: Results) -> str:
    """Return what a hop costs by its own measurement (medians of its runs)."""
    rows = results.rows("forwarding_cost")
    if not rows:
        return "What the hop costs by itself (messages a second, processor time of both): not measured."
    results.used["forwarding_cost"] = None
    kinds: dict[str, list[Mapping[str, Any]]] = {}
    for row in rows:
        kinds.setdefault(row["kind"], []).append(row)

    def median_of(runs: list[Mapping[str, Any]], field: str) -> float:
        return median(float(row[field]) for row in runs)
    return "What the hop costs by itself, two processes (`forwarding_cost`; medians):\n\n" + markdown_table(
        ("over", "runs", "messages a second", "processor time a message: asker", "home"),
        [(kind, len(runs), format_number(median_of(runs, "rate")),
          format_value(median_of(runs, "asker_us") / 1e6, "s"),
          format_value(median_of(runs, "home_us") / 1e6, "s")) for kind, runs in kinds.items()])
