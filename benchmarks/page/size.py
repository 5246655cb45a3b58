"""The size, and the table for each role."""

from __future__ import annotations

from benchmarks.page.after import After
from benchmarks.page.parts import Before, per_courier
from benchmarks.page.results import Figure, Results, plain, table, written

PLAN = (("memory", "bytes", "bytes", 1.0), ("made anew", "build_ms", "s", 1e-3),
        ("one courier gone", "death_median_ms", "s", 1e-3), ("a sixth gone", "sixth_gone_ms", "s", 1e-3))
LIST = (("memory", "memory_mb", "bytes", 1e6), ("a whole list taken up", "whole_s", "s", 1.0),
        ("the longest turn of that", "longest_step_ms", "s", 1e-3),
        ("told to a courier that begins", "follow_bytes", "bytes", 1.0),
        ("processor time of that", "follow_ms", "s", 1e-3),
        ("told to a courier that comes over from a lost machine", "again_bytes", "bytes", 1.0),
        ("a change: processor time", "change_us", "s", 1e-6),
        ("a change: told in all", "change_bytes", "bytes", 1.0))
HEADS = ("what", "at this size", "slope", "run", "budget", "carried by", "verdict")


def size(results: Results) -> str:
    """1: what is stated, and what follows from it."""
    of = results.stated
    each = of("events_a_second") / of("couriers")
    rate = of("events_a_second") / of("destinations")
    return "\n\n".join((
        "## 1. The size",
        table(("stated by the operators", ""), (
            ("couriers", plain(of("couriers"))),
            ("events a second", plain(of("events_a_second"))),
            ("destinations", f"{plain(of('destinations'))}, {written(of('down_share'), 'share')} of them down at any "
                             "time"),
            ("backlog", f"{of('backlog') / 1e9:.1f} billion events"),
            ("regions and zones", f"{plain(of('regions'))} and {plain(of('zones'))}"),
            ("changes of configuration", f"{plain(of('changes_a_day'))} a day, in force everywhere within "
                                         f"{written(of('changes_within_s'), 's')}"),
            ("budgets of a courier, for control", f"{written(of('budget_core'), 'share')} of a core, "
             f"{written(of('budget_memory'), 'bytes')}, {written(of('budget_bytes_s'), 'bytes/s')}"),
            ("machines for control", plain(of("control_machines"))),
            ("an ordinary day", f"{plain(of('machines_lost_a_day'))} machines fail, {plain(of('restarts_a_day'))} are "
                                "restarted or replaced"))),
        "What follows by division alone:",
        table(("", "every courier has every destination", "destinations divided, one home in each region"), (
            ("events a second a courier", plain(each), f"{plain(each)}, handed in; as many to deliver"),
            ("destinations a courier", plain(of("destinations")), plain(per_courier(results))),
            ("calls of one courier to one destination", f"one in {written(of('couriers') / rate, 's')}",
             f"one in {written(of('regions') / rate, 's')}"),
            ("backlog a courier", f"{plain(of('backlog') / of('couriers'))} messages", "the same")))))


def row(what: str, figure: Figure, carried: str, most: float | None = None, unit: str = "") -> tuple[str, ...]:
    """A line of a role's table; `most`: the budget."""
    return (what, str(figure), figure.how or "-", figure.source or "-",
            written(most, unit or figure.unit) if most is not None else "-", carried, figure.verdict(most) or "-")


def roles(results: Results) -> str:
    """2: state, messages, processor time and memory of each role."""
    before, after, of = Before(results), After(results), results.stated
    couriers, destinations, shards = of("couriers"), of("destinations"), of("shards")
    core, memory, wire = of("budget_core"), of("budget_memory"), of("budget_bytes_s")
    full, region = (couriers, destinations), round(couriers / of("regions"))
    zones = round(of("zones") / of("regions"))
    courier = (
        row("members: processor time", before.membership(couriers, "cpu_us", "share", 1e-6), "`fleet/membership`",
            core),
        row("members: memory", before.members(couriers), "`fleet/roster`, windows of `fleet/packets`", memory),
        row("members: bytes sent", before.membership(couriers, "bytes", "bytes/s"), "`fleet/membership`", wire),
        row("members: packets sent", before.membership(couriers, "packets", "/s"), "`fleet/membership`"),
        *(row(f"who is home, {plain(shards)} shards, a region's {plain(region)} couriers: {what}",
              results.told("shard_plan", "couriers", region, field, unit, by, shards=round(shards)), "`shards/ring`",
              memory if field == "bytes" else None) for what, field, unit, by in PLAN),
        row(f"a zone of {plain(zones)} in the region gone, in one turn",
            results.told("zones", "zones", zones, "zone_gone_ms", "s", 1e-3), "`shards/homes`"),
        row("all control together, idle: processor time", after.core(*full), "`shards/node`", core),
        row("all control together, idle: memory", after.memory(*full), "`shards/node`", memory),
        row("all control together, idle: bytes sent", after.sent(*full), "`shards/node`", wire),
        row("all control together, idle: bytes received", after.received(*full), "`shards/node`", wire),
        row("all control together, idle: packets sent", after.quiet(*full, "hollow.packets_sent_per_s", "/s"),
            "`shards/node`"),
        row("to peers, with messages at the run's fraction of the rate: forwards and learned state together",
            after.quiet(*full, "hollow.peer_bytes_dialled_here_per_s", "bytes/s", spell="spread"), "`shards/streams`"),
        row("a real process, idle: memory", after.quiet(*full, "real.memory_bytes", "bytes"), "the program"),
        row("a real process, idle: processor time", after.quiet(*full, "real.cpu_us_per_s", "share", 1e-6),
            "the program"))
    mine = per_courier(results)
    owner = (
        row(f"module for {plain(mine)} destinations: memory", before.module(mine), "`policy/`, rows of its own shards",
            memory),
        row(f"module for {plain(mine)} destinations: one turn", before.module(mine, "turn_s", "s", 1.0), "`policy/`"),
        row("a held message: module", _held(before, results, "module"), "`policy/`"),
        row("a held message: journal's state", _held(before, results, "journal"), "`journal/state`"))
    voter = tuple(
        row(f"renewal of {plain(parts)} parts: processor time", before.voter(parts, "core_share", "share"),
            "`fleet/register`", core) for parts in (1_024, round(shards), 131_072))
    placing = tuple(
        row(f"plan of {plain(parts)} parts, each tenth of a lease", before.plan(round(couriers), parts, "core_share",
                                                                               "share"),
            "`fleet/assignment`", core) for parts in (1_024, round(shards), 131_072))
    control = (
        row("whole list, compact: bytes", before.listing(destinations, "file_mb", "bytes", 1e6), "`courier/listing`"),
        row("whole list read: processor time", before.listing(destinations, "read_s", "s"), "`courier/listing`"),
        row("whole list read: memory", before.listing(destinations, "memory_mb", "bytes", 1e6), "`courier/listing`"),
        row("in the fleet, idle: memory", after.quiet(*full, "control_machine.memory_bytes", "bytes"),
            "`shards/control`"),
        row("in the fleet, idle: processor time", after.quiet(*full, "control_machine.cpu_us_per_s", "share", 1e-6),
            "`shards/control`"),
        *(row(f"list by shard: {what}", results.told("list_server", "destinations", destinations, field, unit, by),
              "`shards/list_server`") for what, field, unit, by in LIST))
    partner = (
        row("handshakes a message at its real rate", after.quiet(*full, "calls.hollow_handshakes_per_message",
                                                                 spell="dense"), "homes, `courier/pool`",
            of("aim_handshakes")),
        row("probes a second, of all partners", partner_probes(after, *full), "`policy/`"),
        row("connections open to one destination", Figure(None), "homes"))
    agent = (row("discovery's agent beside a courier: whole list held", Figure(None, "bytes"),
                 "the platform's, not this program's; couriers in shards ask control machines"),)
    parts = [("Client-facing courier", courier), ("Owner of destinations (home)", owner),
             ("Courier that shares channels (parts)", placing), ("Voter", voter), ("Control machine", control),
             ("Agent", agent), ("Partner, as it sees the fleet", partner)]
    return "\n\n".join(["## 2. Each role", "Figures of a single part are of that part alone; the budget beside it is "
                        "the whole one. \"Extrapolated\" says that the size was not run: law, residual and the "
                        "largest size that was run stand beside it.",
                        *(f"### {name}\n\n{table(HEADS, rows)}" for name, rows in parts)])


def partner_probes(after: After, couriers: float, destinations: float) -> Figure:
    """Probes of hollow couriers, a second."""
    probes = after.quiet(couriers, destinations, "calls.hollow_probes", "/s", spell="spread")
    seconds = after.quiet(couriers, destinations, "seconds", spell="spread").value
    return probes.times(1 / seconds if seconds else None)


def _held(before: Before, results: Results, part: str) -> Figure:
    largest = max((row["held"] for row in results.rows("before-held", part=part)), default=0)
    return before.held(largest, part, "memory_bytes", "bytes")
