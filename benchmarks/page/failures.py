"""What each failure costs, backlogs, and how a change gets everywhere."""

from __future__ import annotations

from benchmarks.page.after import After
from benchmarks.page.parts import Before
from benchmarks.page.results import NOT_MEASURED, Figure, Results, plain, slope, table, written

KINDS = (("machine", "a machine lost ({machines_lost_a_day} a day)"),
         ("restart", "a restart or replacement ({restarts_a_day} a day)"),
         ("rack", "a rack or switch"), ("zone", "a zone"), ("cut", "the regions cut from each other"),
         ("joined", "the regions joined again"))
FIELDS = (("affected_share", "share"), ("served_s", "s"), ("settled_s", "s"), ("flood", ""), ("lost", ""),
          ("doubled", ""))


def failures(results: Results) -> str:
    """4: by kind of failure, from the largest scale run that has it."""
    after = After(results)
    rows = []
    for kind, text in KINDS:
        found = after.fault(kind)
        name = text.format(**{key: plain(value) for key, value in results.files["stated"].items()
                              if isinstance(value, int | float)})
        if found is None:
            rows.append((name, *[NOT_MEASURED] * len(FIELDS), "-"))
            continue
        run, fault = found
        results.used[run] = None
        rows.append((name, *(Figure(fault.get(field), unit) for field, unit in FIELDS), f"`{run}`"))
    return "\n\n".join((
        "## 4. What a failure costs",
        table(("failure", "shards affected", "served again after", "each has its home after",
               "flood, times ordinary traffic", "messages lost", "doubled", "run"), rows)))


def backlog(results: Results) -> str:
    """5: a courier's part of the backlog."""
    before, of = Before(results), results.stated
    held = of("backlog") / of("couriers")

    def each(part: str, field: str, unit: str) -> tuple[Figure, str]:
        law = results.law("before-held", "held", field, part=part)
        runs = results.rows("before-held", part=part)
        largest = max((row["held"] for row in runs), default=0)
        figure = before.held(largest, part, field, unit)
        return figure, f"{plain(largest)} held; {slope(law, 'held', unit)}"

    memory, memory_how = each("module", "memory_bytes", "bytes")
    state, state_how = each("journal", "memory_bytes", "bytes")
    disk, disk_how = each("journal", "disk_bytes", "bytes")
    recovery = before.held(held, "journal", "recovery_s", "s")
    return "\n\n".join((
        "## 5. Backlog",
        f"{of('backlog') / 1e9:.1f} billion events are {plain(held)} messages a courier, whether destinations are "
        "divided or not: nothing carries a backlog beyond memory yet (see the roadmap). The last column is "
        "extrapolated from the runs.",
        table(("what", "a message", "run", "a courier's part"), (
            ("memory in the module", memory, f"`before-held`, {memory_how}", memory.times(held)),
            ("memory in the journal's state", state, f"`before-held`, {state_how}", state.times(held)),
            ("disk", disk, f"`before-held`, {disk_how}", disk.times(held)),
            ("until the journal has recovered", "-", f"`before-held`, {recovery.how or NOT_MEASURED}", recovery),
            ("memory, both together, of the budget for control", "-", "-",
             _times(memory.plus(state).times(held), of("budget_memory")))))))


def _times(figure: Figure, budget: float) -> str:
    return NOT_MEASURED if figure.value is None else f"{figure}: {plain(figure.value / budget)} times " \
        f"{written(budget, 'bytes')}"


def changes(results: Results) -> str:
    """6: configuration, and a region that is cut off."""
    of, after = results.stated, After(results)
    whole = Before(results).listing(of("destinations"), "file_mb", "bytes", 1e6)
    seconds = whole.times(1 / of("budget_bytes_s"), "s")
    cut = after.fault("cut")
    full = (round(of("couriers")), round(of("destinations")))
    told = after.quiet(*full, "told_p99_s", "s")
    return "\n\n".join((
        "## 6. How a change gets everywhere",
        f"- **The list of destinations** ({plain(of('changes_a_day'))} changes a day are one in "
        f"{written(86_400 / of('changes_a_day'), 's')}). Discovery tells the control machines, they tell each courier "
        "the rows of the shards that it serves. Until all that serve the shard have it, 99 of 100: "
        f"{told} (bound: {written(of('told_within_s'), 's')} after discovery had it). A whole list for each courier "
        f"would take {seconds} at {written(of('budget_bytes_s'), 'bytes/s')} (`before-destinations`).\n"
        "- **The operators' file** (classes, limits, keys, weights): a file on each machine and SIGHUP. Nothing of "
        "this program carries it; how long it takes is the operators' own way of copying files, and is not measured "
        "here. "
        f"{written(of('changes_within_s'), 's')} everywhere is not promised by anything yet (see the roadmap).\n"
        "- **A region that is cut off** goes on: its couriers are home for all shards by the members that they see, "
        "and serve all destinations that they reach. Rows come from control machines that it reaches; without any "
        "it goes on with those that it has. Channels stop where fewer than a majority of voters are reached: all "
        "voters are one group. " + ("What the run showed stands in section 4." if cut else "Its run: not measured.")))
