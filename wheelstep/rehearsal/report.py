"""Prints rehearsals: tables and a progress bar on a terminal, plain lines elsewhere, or JSON."""

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
from wheelstep.rehearsal.progress import Progress as PlayProgress
from wheelstep.rehearsal.worth import Worth, tally

_COLOURS = {Ruling.KEPT: "green", Ruling.BROKEN: "bold red", Ruling.INCONCLUSIVE: "yellow"}
_MAX_FINDINGS_SHOWN = 5  # per rule in the table; the JSON has all
EXIT_CODES = {Ruling.KEPT: 0, Ruling.BROKEN: 1, Ruling.INCONCLUSIVE: 3}


@dataclass(frozen=True, slots=True)
class Result:
    """A rehearsal with its verdict; `courier` is the courier's name in reports."""

    plan: Plan
    played: rig.Played
    verdict: Verdict
    courier: str

    def canonical(self) -> str:
        """Return the verdict as canonical JSON, without figures that vary between runs of the same seed."""
        return self.verdict.canonical(scenario=self.plan.scenario, seed=self.plan.seed, plan=self.plan.digest())

    def as_dict(self) -> dict[str, Any]:
        """Return the verdict, the findings and the figures that depend on the machine."""
        classes = tally(self.played.history)
        return {
            "verdict": json.loads(self.canonical()), "courier": self.courier, "speed": self.plan.speed,
            "findings": [_finding(finding) for finding in self.verdict.findings],
            "beside": {
                "worth": {name: {"messages": row.messages, "delivered": row.delivered,
                                 "share": round(row.share, 4)} for name, row in classes.items()},
                "worth_share": round(worth_share(classes.values()), 4),
                "most_effects_of_a_message": max(self.played.effects.values(), default=0),
                "late_ms": round(self.verdict.late_us / 1000, 1), "late_who": self.verdict.late_who,
                "wall_s": round(self.played.wall_s, 2), "log_bytes": self.played.log_bytes}}


def worth_share(rows: Any) -> float:
    """Return the delivered share of the offered worth over several classes; 1 if none was offered."""
    listed: list[Worth] = list(rows)
    asked = sum(row.offered for row in listed)
    return sum(row.earned_worth for row in listed) / asked if asked else 1.0


def _finding(finding: Finding) -> dict[str, Any]:
    return {"rule": finding.rule.name.lower(), "at_s": round(finding.at_us / 1e6, 6), "courier": finding.courier,
            "what": finding.text, "messages": list(finding.messages),
            "calls": [{"endpoint": call.endpoint, "first_s": call.first_us / 1e6, "last_s": call.last_us / 1e6,
                       "ended_s": call.ended_us / 1e6, "how": call.how.value,
                       "fates": [fate.value for fate in call.fates]} for call in finding.calls]}


class Screen:
    """Prints results to standard output and progress to standard error."""

    def __init__(self, as_json: bool) -> None:
        self._json = as_json
        self._out, self._err = Console(highlight=False), Console(stderr=True, highlight=False)

    @contextmanager
    def progress(self, title: str) -> Iterator[Callable[[PlayProgress], None] | None]:
        """Show a progress bar on a terminal and yield the function that updates it; None elsewhere."""
        if self._json or not self._err.is_terminal:
            yield None
            return
        columns = (TextColumn("{task.description}"), BarColumn(), TextColumn("{task.fields[state]}"))
        with Progress(*columns, console=self._err, transient=True) as bar:
            task = bar.add_task(title, total=1.0, state="starting couriers")

            def tell(now: PlayProgress) -> None:
                bar.update(task, completed=now.at_us / now.total_us,
                           state=f"{now.at_us / 1e6:.0f} s, {now.phase}: {now.submitted} submitted, "
                                 f"{now.delivered} delivered")

            yield tell

    def result(self, result: Result) -> None:
        """Print a rehearsal."""
        if self._json:
            self.json(result.as_dict())
        elif self._out.is_terminal:
            self._print_tables(result)
        else:
            for line in plain_lines(result):
                print(line)

    def json(self, value: Any) -> None:
        """Print a value as JSON on one line."""
        print(json.dumps(value, sort_keys=True), flush=True)

    def _print_tables(self, result: Result) -> None:
        title = f"{result.plan.scenario}, seed {result.plan.seed}"
        table = Table(title=title, title_justify="left")
        for column in ("rule", "verdict", "findings"):
            table.add_column(column, overflow="fold")
        for rule, ruling in result.verdict.rulings.items():
            found = [finding for finding in result.verdict.findings if finding.rule is rule]
            lines = [f"{finding.at_us / 1e6:.3f} s {finding.courier}: {finding.text}"
                     for finding in found[:_MAX_FINDINGS_SHOWN]]
            if len(found) > _MAX_FINDINGS_SHOWN:
                lines.append(f"and {len(found) - _MAX_FINDINGS_SHOWN} more (--json shows them)")
            table.add_row(rule.value, f"[{_COLOURS[ruling]}]{ruling.value}[/]", "\n".join(lines))
        self._out.print(table)
        worth = Table(title="worth delivered", title_justify="left")
        for column in ("class", "messages", "delivered", "share of the worth"):
            worth.add_column(column)
        classes = tally(result.played.history)
        for name, row in classes.items():
            worth.add_row(name, str(row.messages), str(row.delivered), f"{row.share:.1%}")
        worth.add_row("all", "", "", f"{worth_share(classes.values()):.1%}")
        self._out.print(worth)
        self._out.print(summary_line(result))

    def rows(self, columns: Sequence[str], rows: Sequence[Sequence[str]]) -> None:
        """Print a table, or one JSON object per row."""
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


def plain_lines(result: Result) -> Iterator[str]:
    """Yield the lines of a rehearsal's plain report."""
    yield f"{result.plan.scenario}, seed {result.plan.seed}, courier {result.courier}"
    for rule, ruling in result.verdict.rulings.items():
        yield f"{ruling.value:12} {rule.value}"
    for finding in result.verdict.findings:
        yield (f"{finding.rule.name.lower()} {finding.at_us / 1e6:.3f} s {finding.courier}: {finding.text}"
               + (f" [{', '.join(finding.messages)}]" if finding.messages else ""))
    classes = tally(result.played.history)
    for name, row in classes.items():
        yield f"class {name}: {row.messages} messages, {row.delivered} delivered, {row.share:.1%} of the worth"
    yield f"worth delivered: {worth_share(classes.values()):.1%}"
    yield summary_line(result)


def summary_line(result: Result) -> str:
    """Return the verdict on one line."""
    ruling = result.verdict.ruling
    late = f"the machine ran {result.verdict.late_us / 1000:.0f} ms late at most"
    if result.verdict.late_who:
        late += f" ({result.verdict.late_who})"
    match ruling:
        case Ruling.INCONCLUSIVE:
            return f"inconclusive: {late}, so the courier was not judged"
        case Ruling.BROKEN:
            rules = [rule.value for rule, found in result.verdict.rulings.items() if found is Ruling.BROKEN]
            return f"broken: {'; '.join(rules)}"
    return f"kept: all rules; {late}; {result.played.wall_s:.1f} s"


