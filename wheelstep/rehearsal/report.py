"""How a rehearsal is shown: tables and a bar on a terminal, plain lines elsewhere, or JSON."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn
from rich.table import Table

from wheelstep.rehearsal import rig
from wheelstep.rehearsal.judge import Finding, Ruling, Verdict
from wheelstep.rehearsal.plan import Plan
from wheelstep.rehearsal.progress import Progress as Standing
from wheelstep.rehearsal.worth import Worth, tally

_COLOURS = {Ruling.KEPT: "green", Ruling.BROKEN: "bold red", Ruling.INCONCLUSIVE: "yellow"}
_MOST_SHOWN = 5  # findings of a rule in the table; all are in the JSON
EXITS = {Ruling.KEPT: 0, Ruling.BROKEN: 1, Ruling.INCONCLUSIVE: 3}


@dataclass(frozen=True, slots=True)
class Result:
    """One rehearsal, played and judged."""

    plan: Plan
    played: rig.Played
    verdict: Verdict
    courier: str

    def canonical(self) -> str:
        """The verdict that is the same for the same seed, as canonical JSON."""
        return self.verdict.canonical(scenario=self.plan.scenario, seed=self.plan.seed, plan=self.plan.digest())

    def as_dict(self) -> dict[str, Any]:
        """The verdict, and beside it what hangs on the machine."""
        classes = tally(self.played.history)
        return {
            "verdict": json.loads(self.canonical()), "courier": self.courier, "speed": self.plan.speed,
            "findings": [_finding(finding) for finding in self.verdict.findings],
            "beside": {
                "worth": {name: {"messages": row.messages, "delivered": row.delivered,
                                 "share": round(row.share, 4)} for name, row in classes.items()},
                "worth_share": round(share(classes.values()), 4),
                "most_effects_of_a_message": max(self.played.effects.values(), default=0),
                "late_ms": round(self.verdict.late_us / 1000, 1), "late_who": self.verdict.late_who,
                "wall_s": round(self.played.wall_s, 2), "log_bytes": self.played.log_bytes}}


def share(rows: Any) -> float:
    """Worth delivered over worth asked for, of several classes together."""
    listed: list[Worth] = list(rows)
    asked = sum(row.asked for row in listed)
    return sum(row.earned for row in listed) / asked if asked else 1.0


def _finding(finding: Finding) -> dict[str, Any]:
    return {"rule": finding.rule.name.lower(), "at_s": round(finding.at_us / 1e6, 6), "courier": finding.courier,
            "what": finding.text, "messages": list(finding.messages),
            "calls": [{"endpoint": call.endpoint, "first_s": call.first_us / 1e6, "last_s": call.last_us / 1e6,
                       "ended_s": call.ended_us / 1e6, "how": call.how.value,
                       "fates": [fate.value for fate in call.fates]} for call in finding.calls]}


class Screen:
    """Where reports go."""

    def __init__(self, as_json: bool) -> None:
        self._json = as_json
        self._out, self._err = Console(highlight=False), Console(stderr=True, highlight=False)

    @contextmanager
    def progress(self, title: str) -> Iterator[Callable[[Standing], None] | None]:
        """A bar on a terminal; nothing elsewhere."""
        if self._json or not self._err.is_terminal:
            yield None
            return
        columns = (TextColumn("{task.description}"), BarColumn(), TextColumn("{task.fields[state]}"))
        with Progress(*columns, console=self._err, transient=True) as bar:
            task = bar.add_task(title, total=1.0, state="starting couriers")

            def tell(now: Standing) -> None:
                bar.update(task, completed=now.at_us / now.of_us,
                           state=f"{now.at_us / 1e6:.0f} s, {now.phase}: {now.handed_in} handed in, "
                                 f"{now.delivered} delivered")

            yield tell

    def result(self, result: Result) -> None:
        """One rehearsal."""
        if self._json:
            self.json(result.as_dict())
        elif self._out.is_terminal:
            self._tables(result)
        else:
            for line in plain(result):
                print(line)

    def json(self, value: Any) -> None:
        """One value on a line."""
        print(json.dumps(value, sort_keys=True), flush=True)

    def _tables(self, result: Result) -> None:
        title = f"{result.plan.scenario}, seed {result.plan.seed}"
        table = Table(title=title, title_justify="left")
        for column in ("rule", "verdict", "what proves it"):
            table.add_column(column, overflow="fold")
        for rule, ruling in result.verdict.rulings.items():
            found = [finding for finding in result.verdict.findings if finding.rule is rule]
            lines = [f"{finding.at_us / 1e6:.3f} s {finding.courier}: {finding.text}"
                     for finding in found[:_MOST_SHOWN]]
            if len(found) > _MOST_SHOWN:
                lines.append(f"and {len(found) - _MOST_SHOWN} more (--json shows them)")
            table.add_row(rule.value, f"[{_COLOURS[ruling]}]{ruling.value}[/]", "\n".join(lines))
        self._out.print(table)
        worth = Table(title="worth delivered", title_justify="left")
        for column in ("class", "messages", "delivered", "share of the worth"):
            worth.add_column(column)
        classes = tally(result.played.history)
        for name, row in classes.items():
            worth.add_row(name, str(row.messages), str(row.delivered), f"{row.share:.1%}")
        worth.add_row("all", "", "", f"{share(classes.values()):.1%}")
        self._out.print(worth)
        self._out.print(last_line(result))

    def rows(self, columns: Sequence[str], rows: Sequence[Sequence[str]]) -> None:
        """A plain table, or a JSON object a row."""
        if self._json:
            for row in rows:
                self.json(dict(zip(columns, row, strict=True)))
        elif self._out.is_terminal:
            table = Table(*columns)
            for row in rows:
                table.add_row(*row)
            self._out.print(table)
        else:
            for row in rows:
                print("\t".join(row))


def plain(result: Result) -> Iterator[str]:
    """A rehearsal as plain lines."""
    yield f"{result.plan.scenario}, seed {result.plan.seed}, courier {result.courier}"
    for rule, ruling in result.verdict.rulings.items():
        yield f"{ruling.value:12} {rule.value}"
    for finding in result.verdict.findings:
        yield (f"{finding.rule.name.lower()} {finding.at_us / 1e6:.3f} s {finding.courier}: {finding.text}"
               + (f" [{', '.join(finding.messages)}]" if finding.messages else ""))
    classes = tally(result.played.history)
    for name, row in classes.items():
        yield f"class {name}: {row.messages} messages, {row.delivered} delivered, {row.share:.1%} of the worth"
    yield f"worth delivered: {share(classes.values()):.1%}"
    yield last_line(result)


def last_line(result: Result) -> str:
    """The verdict on one line."""
    ruling = result.verdict.ruling
    late = f"the machine ran {result.verdict.late_us / 1000:.0f} ms late at most"
    if result.verdict.late_who:
        late += f" ({result.verdict.late_who})"
    match ruling:
        case Ruling.INCONCLUSIVE:
            return f"inconclusive: {late}, so nothing is said of the courier"
        case Ruling.BROKEN:
            rules = [rule.value for rule, found in result.verdict.rulings.items() if found is Ruling.BROKEN]
            return f"broken: {'; '.join(rules)}"
    return f"kept: all rules; {late}; {result.played.wall_s:.1f} s"


