"""Before and after, against the budgets and the aims."""

from __future__ import annotations

from benchmarks.page.after import After
from benchmarks.page.parts import COURIERS, DESTINATIONS, Before
from benchmarks.page.results import Figure, Results, plain, table, written


def cell(figure: Figure, most: float) -> str:
    """A figure, marked where it is over the budget."""
    if figure.value is None:
        return str(figure)
    return f"{figure}" if figure.value <= most else f"**{figure}**"


def compare(results: Results) -> str:
    """3: both states in one table."""
    before, after, of = Before(results), After(results), results.stated
    core, memory, wire = of("budget_core"), of("budget_memory"), of("budget_bytes_s")
    rows = []
    for couriers in COURIERS:
        for destinations in DESTINATIONS:
            size = (couriers, destinations)
            rows.append((plain(couriers), plain(destinations),
                         cell(before.memory(*size), memory), cell(after.quiet(*size, "memory_bytes", "bytes"), memory),
                         cell(before.core(couriers), core), cell(after.quiet(*size, "core_share", "share"), core),
                         cell(before.membership(couriers, "bytes", "bytes/s"), wire),
                         cell(after.quiet(*size, "bytes_s", "bytes/s"), wire)))
    heads = ("couriers", "destinations", f"memory before (of {written(memory, 'bytes')})", "after",
             f"processor time before (of {written(core, 'share')})", "after",
             f"bytes a second before (of {written(wire, 'bytes/s')})", "after")
    full = (round(of("couriers")), round(of("destinations")))
    rate = of("events_a_second") / of("destinations")
    died = after.fault("machine")
    served = Figure(None, "s") if died is None else results.top(died[0], "checks.served_again_s", "s")
    others = (
        ("calls to destinations that have been down for 10 s or more, of all calls to those",
         after.quiet(*full, "calls_down_share", "share", divided=False),
         after.quiet(*full, "calls_down_share", "share"), f"under {written(of('aim_down_share'), 'share')}"),
        ("handshakes a message at the real rate for each destination",
         after.quiet(*full, "handshakes_a_message", divided=False), after.quiet(*full, "handshakes_a_message"),
         f"under {plain(of('aim_handshakes'))}"),
        ("calls of one courier to one destination", f"one in {written(of('couriers') / rate, 's')}",
         f"one in {written(of('regions') / rate, 's')}", "-"),
        ("share of messages that take the hop", "none", after.quiet(*full, "forwarded_share", "share"), "-"),
        ("cost of the hop: processor time a message", "none", results.top("forwarding_cost", "cpu_us", "s", 1e-6), "-"),
        ("cost of the hop: 202 at the median", "none", results.top("forwarding_cost", "p50_ms", "s", 1e-3), "-"),
        ("cost of the hop: 202, 99 of 100", "none", results.top("forwarding_cost", "p99_ms", "s", 1e-3), "-"),
        ("until a death is known to all", before.death(of("couriers")), before.death(of("couriers")), "-"),
        ("until a dead courier's destinations are served again", "all serve all", served, "-"),
        ("busiest courier over the mean", "-", after.quiet(*full, "busiest_over_mean"),
         f"at most {plain(of('aim_busiest'))}"),
        ("moves over the least possible, one courier gone", "-",
         results.told("shard_plan", "couriers", of("couriers"), "moves_over_least", shards=round(of("shards"))), "-"))
    return "\n\n".join((
        "## 3. Before and after",
        "Before: every courier holds, calls and learns every destination; memory is the module's and the members', "
        f"processor time is membership's and that of a plan of {plain(of('shards'))} parts. After: destinations "
        "divided, as the scale run of that size shows it. Bold: over the budget.",
        table(heads, rows), table(("what", "before", "after", "aim"), others)))
