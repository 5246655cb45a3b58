"""Sections 7 and 8 of the page: what is over budget, why destinations are divided first, and how to run all again."""

from __future__ import annotations

from benchmarks.page.after import ScaleRuns
from benchmarks.page.failures import KINDS
from benchmarks.page.parts import UndividedParts, destinations_per_courier
from benchmarks.page.results import Figure, Results, format_number, format_value, markdown_table

SILENT_SHARE = 0.01  # of messages without any answer, above which a failure is listed


def over_budget(results: Results) -> str:
    """Return section 7: what is over budget, and why destinations are divided first."""
    before, after, stated = UndividedParts(results), ScaleRuns(results), results.stated
    couriers, destinations = stated("couriers"), stated("destinations")
    full = (couriers, destinations)
    core, memory, bytes_per_s = stated("budget_core"), stated("budget_memory"), stated("budget_bytes_s")
    held = stated("backlog") / couriers
    lines = []

    def report(what: str, figure: Figure, most: float, remark: str) -> None:
        if figure.value is not None and figure.value > most:
            lines.append(f"- {what}: {figure} where {format_value(most, figure.unit)} are allowed, "
                         f"{figure.value / most:.1f} times. {remark}")

    report("Before, the module's state for all destinations", before.module(destinations), memory,
           "Divided, a courier holds its own shards' alone.")
    report("The list while one courier reads it whole", before.whole_list(destinations, "memory_mb", "bytes", 1e6),
           memory, "Only control machines read it whole now, and they have their machines to themselves.")
    for parts in (1_024, round(stated("shards")), 131_072):
        report(f"A plan of {format_number(parts)} parts of channels at each tenth of a lease",
               before.plan(round(couriers), parts, "core_share", "share"), core,
               "It costs by parts; shards don't use it. Channels at that many parts are over budget still.")
    for parts in (round(stated("shards")), 131_072):
        report(f"A voter's renewal of {format_number(parts)} parts", before.voter(parts, "core_share", "share"), core,
               "Shards need no leases; it concerns channels alone.")
    report("Membership", before.membership(couriers, "bytes", "bytes/s"), bytes_per_s, "")
    backlog = before.held(200_000, "module", "memory_bytes", "bytes").times(held)
    report("A courier's part of the backlog, in the module alone", backlog, memory,
           "Not control, but nothing carries it beyond memory yet.")
    for figure, most, what in ((after.memory(*full), memory, "memory"), (after.core(*full), core, "processor time"),
                               (after.sent(*full), bytes_per_s, "bytes sent a second"),
                               (after.received(*full), bytes_per_s, "bytes received a second")):
        report(f"After, control of a courier in the scale run: {what}", figure, most, "")
        if figure.value is None:
            lines.append(f"- After, control of a courier at full size, {what}: not measured.")
    best = after.best_size(couriers, destinations)
    based_on = (f"About {after.long_down_destinations(*best)} destinations that were down so long were called in that "
                "run.")
    for what, figure, most, remark in (
            ("Aim missed: calls to destinations that have been down for 10 s or more, by message meant for such",
             after.long_down_calls(*best), stated("aim_down_share"), based_on),
            ("Aim missed: handshakes a message", after.quiet(*best, "calls.hollow_handshakes_per_message",
                                                             spell="dense"), stated("aim_handshakes"), ""),
            ("Aim missed: busiest courier over the mean, by shards", after.quiet(*best,
                                                                             "hollow.shards_busiest_over_mean"),
             stated("aim_busiest"), "")):
        report(what, figure, most, remark)
        if figure.value is None:
            lines.append(f"- {what.replace('missed: ', '')}: not measured.")
    for kind in KINDS:
        found = after.fault_run(kind)
        calls = found[1].get("calls", {}) if found else {}
        if found and calls.get("handed_in") and calls.get("answers_none", 0) / calls["handed_in"] > SILENT_SHARE:
            share = Figure(calls["answers_none"] / calls["handed_in"], "share")
            until = Figure(found[1].get("unserved_until_s"), "s")
            lines.append(f"- {kind.capitalize()} (`{found[0]}`): {share} of the messages handed in during the fault "
                         f"were not answered at all, the last {until} after it began.")
    lost = results.as_measured("before-destinations", "entries", destinations=round(destinations), part="indented")
    if lost.value == 0:
        size = results.as_measured("before-destinations", "file_mb", "bytes", 1e6, destinations=round(destinations),
                          part="indented")
        lines.append(f"- Before, a whole list that comes indented ({size}) was passed over: a courier had none.")
    at_home = before.module(destinations_per_courier(results))
    whole = before.whole_list(destinations, "file_mb", "bytes", 1e6)
    rate = stated("events_a_second") / destinations
    why = (
        ("memory", before.module(destinations), at_home, format_value(memory, "bytes")),
        ("calls of one courier to one destination", f"one in {format_value(couriers / rate, 's')}",
         f"one in {format_value(stated('regions') / rate, 's')}", "-"),
        ("a whole list at the bytes allowed", whole.times(1 / bytes_per_s, "s"),
         whole.times(destinations_per_courier(results) / destinations / bytes_per_s, "s"), "-"),
        ("the list in one turn of the module", before.module(destinations, "turn_s", "s", 1.0),
         before.module(destinations_per_courier(results), "turn_s", "s", 1.0), "-"))
    return "\n\n".join((
        "## 7. What is over budget", "\n".join(lines) or "Nothing that was measured.",
        "### Why destinations are divided first",
        "Of all that is over, what follows comes from one cause: every courier holds, calls and learns every "
        "destination. One mechanism mends it together: each destination has one home in a region, which alone holds, "
        "calls and learns it. The right column is what a courier has then by division (memory and the turn as run at "
        "that many destinations); what the fleet shows stands in section 3.",
        markdown_table(("what", "all at each", "divided", "allowed"), why)))


def reproduce(results: Results) -> str:
    """Return section 8: the commands, and the result files that gave figures."""
    return "\n\n".join((
        "## 8. To run it again",
        "    python -m benchmarks.measure.destinations   # and the others of benchmarks/measure: a file each\n"
        "    python -m benchmarks.shard_plan --json benchmarks/results/shard_plan.json\n"
        "    python benchmarks/forwarding_cost.py --json benchmarks/results/forwarding_cost.json\n"
        "    python benchmarks/scale_run.py --help       # the fleet's day, and --sweep for the slopes\n"
        "    python benchmarks/capacity.py               # this page; --check compares only",
        "Each measurement writes its file in `benchmarks/results/`. Figures of this page come from these runs:",
        markdown_table(("file", "commit", "load", "machine"), results.provenance())))
