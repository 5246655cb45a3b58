"""What is over budget, why destinations are divided first, and how to run all of it again."""

from __future__ import annotations

from benchmarks.page.after import After
from benchmarks.page.failures import KINDS
from benchmarks.page.parts import Before, per_courier
from benchmarks.page.results import Figure, Results, plain, table, written

SILENT = 0.01  # of messages without any answer, from which on a failure is named


def over(results: Results) -> str:
    """7: in so many words."""
    before, after, of = Before(results), After(results), results.stated
    couriers, destinations = of("couriers"), of("destinations")
    full = (couriers, destinations)
    core, memory, wire = of("budget_core"), of("budget_memory"), of("budget_bytes_s")
    held = of("backlog") / couriers
    lines = []

    def say(what: str, figure: Figure, most: float, then: str) -> None:
        if figure.value is not None and figure.value > most:
            lines.append(f"- {what}: {figure} where {written(most, figure.unit)} are allowed, "
                         f"{figure.value / most:.1f} times. {then}")

    say("Before, the module's state for all destinations", before.module(destinations), memory,
        "Divided, a courier holds its own shards' alone.")
    say("The list while one courier reads it whole", before.listing(destinations, "memory_mb", "bytes", 1e6), memory,
        "Only control machines read it whole now, and they have their machines to themselves.")
    for parts in (1_024, round(of("shards")), 131_072):
        say(f"A plan of {plain(parts)} parts of channels at each tenth of a lease",
            before.plan(round(couriers), parts, "core_share", "share"), core,
            "It costs by parts; shards don't use it. Channels at that many parts are over budget still.")
    for parts in (round(of("shards")), 131_072):
        say(f"A voter's renewal of {plain(parts)} parts", before.voter(parts, "core_share", "share"), core,
            "Shards need no leases; it concerns channels alone.")
    say("Membership", before.membership(couriers, "bytes", "bytes/s"), wire, "")
    backlog = before.held(200_000, "module", "memory_bytes", "bytes").times(held)
    say("A courier's part of the backlog, in the module alone", backlog, memory,
        "Not control, but nothing carries it beyond memory yet.")
    for figure, most, what in ((after.memory(*full), memory, "memory"), (after.core(*full), core, "processor time"),
                               (after.sent(*full), wire, "bytes sent a second"),
                               (after.received(*full), wire, "bytes received a second")):
        say(f"After, control of a courier in the scale run: {what}", figure, most, "")
        if figure.value is None:
            lines.append(f"- After, control of a courier at full size, {what}: not measured.")
    best = after.best(couriers, destinations)
    rests = f"About {after.down(*best)} destinations that were down so long were called in that run."
    for what, figure, most, then in (
            ("Aim missed: calls to destinations that have been down for 10 s or more, by message meant for such",
             after.ignorant(*best), of("aim_down_share"), rests),
            ("Aim missed: handshakes a message", after.quiet(*best, "calls.hollow_handshakes_per_message",
                                                             spell="dense"), of("aim_handshakes"), ""),
            ("Aim missed: busiest courier over the mean, by shards", after.quiet(*best,
                                                                             "hollow.shards_busiest_over_mean"),
             of("aim_busiest"), "")):
        say(what, figure, most, then)
        if figure.value is None:
            lines.append(f"- {what.replace('missed: ', '')}: not measured.")
    for kind in KINDS:
        found = after.fault(kind)
        calls = found[1].get("calls", {}) if found else {}
        if found and calls.get("handed_in") and calls.get("answers_none", 0) / calls["handed_in"] > SILENT:
            share = Figure(calls["answers_none"] / calls["handed_in"], "share")
            until = Figure(found[1].get("unserved_until_s"), "s")
            lines.append(f"- {kind.capitalize()} (`{found[0]}`): {share} of the messages handed in during the fault "
                         f"were not answered at all, the last {until} after it began.")
    lost = results.at("before-destinations", "entries", destinations=round(destinations), part="indented")
    if lost.value == 0:
        size = results.at("before-destinations", "file_mb", "bytes", 1e6, destinations=round(destinations),
                          part="indented")
        lines.append(f"- Before, a whole list that comes indented ({size}) was passed over: a courier had none.")
    mine = before.module(per_courier(results))
    whole = before.listing(destinations, "file_mb", "bytes", 1e6)
    rate = of("events_a_second") / destinations
    why = (
        ("memory", before.module(destinations), mine, written(memory, "bytes")),
        ("calls of one courier to one destination", f"one in {written(couriers / rate, 's')}",
         f"one in {written(of('regions') / rate, 's')}", "-"),
        ("a whole list at the bytes allowed", whole.times(1 / wire, "s"),
         whole.times(per_courier(results) / destinations / wire, "s"), "-"),
        ("the list in one turn of the module", before.module(destinations, "turn_s", "s", 1.0),
         before.module(per_courier(results), "turn_s", "s", 1.0), "-"))
    return "\n\n".join((
        "## 7. What is over budget", "\n".join(lines) or "Nothing that was measured.",
        "### Why destinations are divided first",
        "Of all that is over, what follows comes from one cause: every courier holds, calls and learns every "
        "destination. One mechanism mends it together: each destination has one home in a region, which alone holds, "
        "calls and learns it. The right column is what a courier has then by division (memory and the turn as run at "
        "that many destinations); what the fleet shows stands in section 3.",
        table(("what", "all at each", "divided", "allowed"), why)))


def again(results: Results) -> str:
    """8: the commands, and the files that were used."""
    return "\n\n".join((
        "## 8. To run it again",
        "    python -m benchmarks.measure.destinations   # and the others of benchmarks/measure: a file each\n"
        "    python -m benchmarks.shard_plan --json benchmarks/results/shard_plan.json\n"
        "    python benchmarks/forwarding_cost.py --json benchmarks/results/forwarding_cost.json\n"
        "    python benchmarks/scale_run.py --help       # the fleet's day, and --sweep for the slopes\n"
        "    python benchmarks/capacity.py               # this page; --check compares only",
        "Each measurement writes its file in `benchmarks/results/`. Figures of this page come from these runs:",
        table(("file", "commit", "load", "machine"), results.machine())))
