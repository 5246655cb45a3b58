"""The page's table of slopes: how each figure grows with one variable, the others held."""

from __future__ import annotations

from benchmarks.page.after import ScaleRuns
from benchmarks.page.results import Results, describe_law, markdown_table

LawRow = tuple[str, str, str, str, str, float, dict[str, object]]

PART_LAWS: tuple[LawRow, ...] = (
    ("couriers", "membership: bytes sent a second", "before-membership", "quiet.bytes", "bytes/s", 1.0,
     {"names": "real", "asks": False}),
    ("couriers", "membership: packets sent a second", "before-membership", "quiet.packets", "/s", 1.0,
     {"names": "real", "asks": False}),
    ("couriers", "membership: processor time", "before-membership", "quiet.cpu_us", "share", 1e-6,
     {"names": "real", "asks": False}),
    ("couriers", "members: memory", "before-members", "memory_kb", "bytes", 1e3, {}),
    ("couriers", "until a death is known to all", "before-deaths", "median_s", "s", 1.0, {}),
    ("couriers", "a plan of 16,384 parts", "before-placement", "plan_ms", "s", 1e-3, {"parts": 16_384}),
    ("couriers", "`assign` of 16,384 parts from nothing", "before-placement", "assign_ms", "s", 1e-3,
     {"parts": 16_384}),
    ("couriers", "ring of 16,384 shards: memory", "shard_plan", "bytes", "bytes", 1.0, {"shards": 16_384}),
    ("couriers", "ring of 16,384 shards: one courier gone", "shard_plan", "death_median_ms", "s", 1e-3,
     {"shards": 16_384}),
    ("shards", "ring of 550 couriers: memory", "shard_plan", "bytes", "bytes", 1.0, {"couriers": 550}),
    ("shards", "ring of 550 couriers: made anew", "shard_plan", "build_ms", "s", 1e-3, {"couriers": 550}),
    ("shards", "ring of 550 couriers: one courier gone", "shard_plan", "death_median_ms", "s", 1e-3,
     {"couriers": 550}),
    ("changes_per_s", "a control machine: processor time", "changes", "core_share", "share", 1.0, {}),
    ("changes_per_s", "a control machine: bytes told a second", "changes", "bytes_s", "bytes/s", 1.0, {}),
    ("zones", "who is next, for one shard", "zones", "next_us", "s", 1e-6, {}),
    ("zones", "a zone's loss in one turn of a courier", "zones", "zone_gone_ms", "s", 1e-3, {}),
    ("zones", "moves over the least, a zone lost", "zones", "moves_over_least", "", 1.0, {}),
    ("destinations", "module: memory", "before-destinations", "memory_mb", "bytes", 1e6, {"part": "module"}),
    ("destinations", "module: the list in one turn", "before-destinations", "turn_s", "s", 1.0, {"part": "module"}),
    ("destinations", "whole list: bytes", "before-destinations", "file_mb", "bytes", 1e6, {"part": "compact"}),
    ("destinations", "whole list read: processor time", "before-destinations", "read_s", "s", 1.0,
     {"part": "compact"}),
    ("destinations", "whole list read: memory", "before-destinations", "memory_mb", "bytes", 1e6,
     {"part": "compact"}),
    ("destinations", "list by shard at a control machine: memory", "list_server", "memory_mb", "bytes", 1e6, {}),
    ("destinations", "list by shard: a whole list taken up", "list_server", "whole_s", "s", 1.0, {}),
    ("destinations", "list by shard: told to a courier that begins", "list_server", "follow_bytes", "bytes", 1.0, {}),
    ("destinations", "list by shard: processor time of a change", "list_server", "change_us", "s", 1e-6, {}),
    ("held", "a held message in the module", "before-held", "memory_bytes", "bytes", 1.0, {"part": "module"}),
    ("held", "a held message in the journal's state", "before-held", "memory_bytes", "bytes", 1.0,
     {"part": "journal"}),
    ("held", "a held message on disk", "before-held", "disk_bytes", "bytes", 1.0, {"part": "journal"}),
    ("held", "recovery", "before-held", "recovery_s", "s", 1.0, {"part": "journal"}),
    ("parts", "a plan, 1,100 couriers", "before-placement", "plan_ms", "s", 1e-3, {"couriers": 1_100}),
    ("parts", "`assign` from nothing, 1,100 couriers", "before-placement", "assign_ms", "s", 1e-3,
     {"couriers": 1_100}),
    ("parts", "a voter's renewal of all", "before-voters", "renewal_ms", "s", 1e-3, {}),
    ("parts", "a courier's ask to one voter", "before-voters", "ask_bytes", "bytes", 1.0, {}))

RUN_LAWS = (("memory of a courier, with its process's share", "hollow.memory_bytes", "bytes", 1.0),
        ("processor time of a courier", "hollow.cpu_us_per_s", "share", 1e-6),
        ("members: bytes sent a second", "hollow.membership_bytes_sent_per_s", "bytes/s", 1.0),
        ("list: bytes received a second", "hollow.list_bytes_received_per_s", "bytes/s", 1.0),
        ("a control machine: memory", "control_machine.memory_bytes", "bytes", 1.0),
        ("a control machine: processor time", "control_machine.cpu_us_per_s", "share", 1e-6))


def laws(results: Results) -> str:
    """Return the subsection on slopes: each law with its residual and its run."""
    rows = []
    for over, what, name, path, unit, by, where in PART_LAWS:
        label = over.replace("_per_s", " a second")
        law = results.law(name, over, path, by, **where)
        rows.append((label, what, describe_law(law, label, unit), f"`{name}`" if law else "-"))
    after = ScaleRuns(results)
    for destinations in (14_000, 140_000):
        for what, path, unit, by in RUN_LAWS:
            law = after.law(destinations, f"quiet.idle.{path}", by)
            rows.append(("couriers", f"divided, {destinations:,} destinations, idle: {what}",
                         describe_law(law, "couriers", unit), "`scale-*`" if law else "-"))
    return "\n\n".join((
        "### Slopes", markdown_table(("by", "what", "law", "run"), rows),
        "Of scale runs: a courier's memory falls where more couriers share the destinations, which none of the laws "
        "says; members' bytes are those of one window shorter than the 30 s between looks into a whole table, so that "
        "a law over them says little (next section): go by the one of virtual time, over 60 s."))
