"""The page's subsection on why membership's bytes rise with the size of the fleet."""

from __future__ import annotations

from benchmarks.page.after import ScaleRuns
from benchmarks.page.parts import COURIERS, DESTINATIONS, UndividedParts
from benchmarks.page.results import (
    NOT_MEASURED,
    Figure,
    Results,
    describe_law,
    format_number,
    format_value,
    markdown_table,
)

FILE = "before-membership"


def membership(results: Results) -> str:
    """Return the subsection: the rise between 300 and 1,100 couriers, by kind of packet and by time since the start."""
    def at(couriers: int, path: str, **where: object) -> Figure:
        return results.as_measured(FILE, path, "bytes/s", couriers=couriers, names="short", **where)

    rows = []
    for couriers in (300, 600, 1_100):
        for asks, window, seconds in WINDOWS:
            for found in results.rows(FILE, couriers=couriers, names="short", asks=asks):
                kinds = found[window]["bytes_by_kind"]
                rows.append((format_number(couriers), seconds, at(couriers, f"{window}.bytes", asks=asks),
                             format_value(kinds.get("Roll", 0.0), "bytes/s"),
                             format_value(sum(size for kind, size in kinds.items() if kind != "Roll"), "bytes/s"),
                             results.as_measured(FILE, f"{window}.packets", "/s", couriers=couriers, names="short",
                                                 asks=asks),
                             results.as_measured(FILE, f"{window}.cpu_us", "share", 1e-6, couriers=couriers,
                                                 names="short", asks=asks)))
    without_asks = at(1_100, "early.bytes", asks=False)
    with_asks = at(1_100, "early.bytes", asks=True)
    small = at(300, "early.bytes", asks=True)
    bytes_per_s = results.stated("budget_bytes_s")
    real = results.law(FILE, "couriers", "quiet.bytes", names="real", asks=False)
    return "\n\n".join((
        "### Why membership's bytes rise between 300 and 1,100 couriers",
        f"From 2 s to 22 s after a start of all together a courier sends {small} at 300 couriers and {with_asks} at "
        "1,100. It is the start: a courier that starts asks another one for its whole table (`Hello`, answered by a "
        "`Roll` of all members) each period until three of these have told of nobody new, and a `Roll` goes out in "
        "packets of one in 10 ms. At 300 all that is over within 2 s; at 1,100 it goes on through the window. "
        f"With couriers that hold from the start that they know everybody (`QUIET_ROLLS` reached), the same window has "
        f"{without_asks}. Short names (`c17`), as in the measurement that was to be explained:",
        markdown_table(("couriers", "seconds after the start", "bytes a second a courier", "of it `Roll`", "all else",
                        "packets", "of a core"), rows),
        "What stays is one look into another's whole table in 60 periods (30 s): "
        f"{describe_law(real, 'couriers', 'bytes/s')}, with names and addresses as long as real ones. "
        + (f"By this law the budget of {format_value(bytes_per_s, 'bytes/s')} is reached at "
           f"{format_number((bytes_per_s - real.intercept) / real.coefficient)} couriers (extrapolated)."
           if real is not None and real.law == "linear" and real.coefficient else ""),
        _virtual_and_sockets(results)))


def _virtual_and_sockets(results: Results) -> str:
    """Return the table that compares measurements in virtual time with those of scale runs, which use sockets."""
    after, before = ScaleRuns(results), UndividedParts(results)
    rows = []
    for couriers in COURIERS:
        for destinations in DESTINATIONS:
            virtual = before.membership(couriers, "bytes", "bytes/s")
            sockets = after.quiet(couriers, destinations, "hollow.membership_bytes_sent_per_s", "bytes/s")
            if sockets.value is not None:
                least, most = (results.as_measured("membership-windows", field, "bytes/s", couriers=couriers)
                               for field in ("least", "most"))
                within = NOT_MEASURED
                if least.value is not None and most.value is not None:
                    within = "yes" if least.value <= sockets.value <= most.value else "no"
                rows.append((format_number(couriers), format_number(destinations), virtual, f"{least} to {most}",
                             sockets, within, sockets.source))
    if not rows:
        return "Virtual time beside sockets (100, 300 and 1,100 couriers): not measured."
    return ("Virtual time beside sockets, bytes sent a second by membership. A spell of a scale run is shorter than "
            "the 30 s between two looks into a whole table, which couriers that started together take together: so "
            "windows of 12 s differ, in virtual time too (`membership-windows`), and a spell is one of them:\n\n"
            + markdown_table(("couriers", "destinations", "virtual time, mean", "windows of 12 s", "sockets",
                              "among them", "run"), rows))


# Whether couriers ask for whole tables at the start, the window's name in the results, and seconds after the start.
WINDOWS = ((True, "start", "0 to 2"), (True, "early", "2 to 22"),
           (False, "early", "2 to 22, without the asks of a start"), (False, "quiet", "22 to 82, without them"))
