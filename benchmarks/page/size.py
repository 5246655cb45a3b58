"""Sections 1 and 2 of the page: the stated size, and a table for each role."""

from __future__ import annotations

from benchmarks.page.after import ScaleRuns
from benchmarks.page.parts import UndividedParts, destinations_per_courier
from benchmarks.page.results import Figure, Results, format_number, format_value, markdown_table

PLAN_FIELDS = (("memory", "bytes", "bytes", 1.0), ("made anew", "build_ms", "s", 1e-3),
        ("one courier gone", "death_median_ms", "s", 1e-3), ("a sixth gone", "sixth_gone_ms", "s", 1e-3))
LIST_FIELDS = (("memory", "memory_mb", "bytes", 1e6), ("a whole list taken up", "whole_s", "s", 1.0),
        ("the longest turn of that", "longest_step_ms", "s", 1e-3),
        ("told to a courier that begins", "follow_bytes", "bytes", 1.0),
        ("processor time of that", "follow_ms", "s", 1e-3),
        ("told to a courier that comes over from a lost machine", "again_bytes", "bytes", 1.0),
        ("a change: processor time", "change_us", "s", 1e-6),
        ("a change: told in all", "change_bytes", "bytes", 1.0))
ROLE_HEADS = ("what", "at this size", "slope", "run", "budget", "carried by", "verdict")


def size(results: Results) -> str:
    """Return section 1: what the operators stated, and what follows from it."""
    stated = results.stated
    each = stated("events_a_second") / stated("couriers")
    rate = stated("events_a_second") / stated("destinations")
    return "\n\n".join((
        "## 1. The size",
        markdown_table(("stated by the operators", ""), (
            ("couriers", format_number(stated("couriers"))),
            ("events a second", format_number(stated("events_a_second"))),
            ("destinations", f"{format_number(stated('destinations'))}, "
                             f"{format_value(stated('down_share'), 'share')} of them down at any time"),
            ("backlog", f"{stated('backlog') / 1e9:.1f} billion events"),
            ("regions and zones", f"{format_number(stated('regions'))} and {format_number(stated('zones'))}"),
            ("changes of configuration", f"{format_number(stated('changes_a_day'))} a day, in force everywhere within "
                                         f"{format_value(stated('changes_within_s'), 's')}"),
            ("budgets of a courier, for control", f"{format_value(stated('budget_core'), 'share')} of a core, "
             f"{format_value(stated('budget_memory'), 'bytes')}, {format_value(stated('budget_bytes_s'), 'bytes/s')}"),
            ("machines for control", format_number(stated("control_machines"))),
            ("an ordinary day", f"{format_number(stated('machines_lost_a_day'))} machines fail, "
                                f"{format_number(stated('restarts_a_day'))} are restarted or replaced"))),
        "What follows by division alone:",
        markdown_table(("", "every courier has every destination", "destinations divided, one home in each region"), (
            ("events a second a courier", format_number(each), f"{format_number(each)}, handed in; as many to deliver"),
            ("destinations a courier", format_number(stated("destinations")),
             format_number(destinations_per_courier(results))),
            ("calls of one courier to one destination", f"one in {format_value(stated('couriers') / rate, 's')}",
             f"one in {format_value(stated('regions') / rate, 's')}"),
            ("backlog a courier", f"{format_number(stated('backlog') / stated('couriers'))} messages", "the same")))))


def row(what: str, figure: Figure, carried: str, most: float | None = None, unit: str = "") -> tuple[str, ...]:
    """Return a line of a role's table. `carried` names the part of the program that the figure belongs to, `most` is
    the budget."""
    return (what, str(figure), figure.how or "-", figure.source or "-",
            format_value(most, unit or figure.unit) if most is not None else "-", carried, figure.verdict(most) or "-")


def roles(results: Results) -> str:
    """Return section 2: state, messages, processor time and memory of each role."""
    before, after, stated = UndividedParts(results), ScaleRuns(results), results.stated
    couriers, destinations, shards = stated("couriers"), stated("destinations"), stated("shards")
    core, memory, bytes_per_s = stated("budget_core"), stated("budget_memory"), stated("budget_bytes_s")
    full, region = (couriers, destinations), round(couriers / stated("regions"))
    zones = round(stated("zones") / stated("regions"))
    courier = (
        row("members: processor time", before.membership(couriers, "cpu_us", "share", 1e-6), "`fleet/membership`",
            core),
        row("members: memory", before.members(couriers), "`fleet/roster`, windows of `fleet/packets`", memory),
        row("members: bytes sent", before.membership(couriers, "bytes", "bytes/s"), "`fleet/membership`", bytes_per_s),
        row("members: packets sent", before.membership(couriers, "packets", "/s"), "`fleet/membership`"),
        *(row(f"who is home, {format_number(shards)} shards, a region's {format_number(region)} couriers: {what}",
              results.at_size("shard_plan", "couriers", region, field, unit, by, shards=round(shards)), "`shards/ring`",
              memory if field == "bytes" else None) for what, field, unit, by in PLAN_FIELDS),
        row(f"a zone of {format_number(zones)} in the region gone, in one turn",
            results.at_size("zones", "zones", zones, "zone_gone_ms", "s", 1e-3), "`shards/homes`"),
        row("all control together, idle: processor time", after.core(*full), "`shards/node`", core),
        row("all control together, idle: memory", after.memory(*full), "`shards/node`", memory),
        row("all control together, idle: bytes sent", after.sent(*full), "`shards/node`", bytes_per_s),
        row("all control together, idle: bytes received", after.received(*full), "`shards/node`", bytes_per_s),
        row("all control together, idle: packets sent", after.quiet(*full, "hollow.packets_sent_per_s", "/s"),
            "`shards/node`"),
        row("to peers, with messages at the run's fraction of the rate: forwards and learned state together",
            after.quiet(*full, "hollow.peer_bytes_dialled_here_per_s", "bytes/s", spell="spread"), "`shards/streams`"),
        row("a real process, idle: memory", after.quiet(*full, "real.memory_bytes", "bytes"), "the program"),
        row("a real process, idle: processor time", after.quiet(*full, "real.cpu_us_per_s", "share", 1e-6),
            "the program"))
    at_home = destinations_per_courier(results)
    owner = (
        row(f"module for {format_number(at_home)} destinations: memory", before.module(at_home),
            "`policy/`, rows of its own shards", memory),
        row(f"module for {format_number(at_home)} destinations: one turn", before.module(at_home, "turn_s", "s", 1.0),
            "`policy/`"),
        row("a held message: module", _held(before, results, "module"), "`policy/`"),
        row("a held message: journal's state", _held(before, results, "journal"), "`journal/state`"))
    voter = tuple(
        row(f"renewal of {format_number(parts)} parts: processor time", before.voter(parts, "core_share", "share"),
            "`fleet/register`", core) for parts in (1_024, round(shards), 131_072))
    placing = tuple(
        row(f"plan of {format_number(parts)} parts, each tenth of a lease",
            before.plan(round(couriers), parts, "core_share", "share"), "`fleet/assignment`", core)
        for parts in (1_024, round(shards), 131_072))
    control = (
        row("whole list, compact: bytes", before.whole_list(destinations, "file_mb", "bytes", 1e6),
            "`courier/listing`"),
        row("whole list read: processor time", before.whole_list(destinations, "read_s", "s"), "`courier/listing`"),
        row("whole list read: memory", before.whole_list(destinations, "memory_mb", "bytes", 1e6), "`courier/listing`"),
        row("in the fleet, idle: memory", after.quiet(*full, "control_machine.memory_bytes", "bytes"),
            "`shards/control`"),
        row("in the fleet, idle: processor time", after.quiet(*full, "control_machine.cpu_us_per_s", "share", 1e-6),
            "`shards/control`"),
        *(row(f"list by shard: {what}", results.at_size("list_server", "destinations", destinations, field, unit, by),
              "`shards/list_server`") for what, field, unit, by in LIST_FIELDS))
    partner = (
        row("handshakes a message at its real rate", after.quiet(*full, "calls.hollow_handshakes_per_message",
                                                                 spell="dense"), "homes, `courier/pool`",
            stated("aim_handshakes")),
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
                        *(f"### {name}\n\n{markdown_table(ROLE_HEADS, rows)}" for name, rows in parts)])


def partner_probes(after: ScaleRuns, couriers: float, destinations: float) -> Figure:
    """Return the probes of hollow couriers a second."""
    probes = after.quiet(couriers, destinations, "calls.hollow_probes", "/s", spell="spread")
    seconds = after.quiet(couriers, destinations, "seconds", spell="spread").value
    return probes.times(1 / seconds if seconds else None)


def _held(before: UndividedParts, results: Results, part: str) -> Figure:
    largest = max((row["held"] for row in results.rows("before-held", part=part)), default=0)
    return before.held(largest, part, "memory_bytes", "bytes")
