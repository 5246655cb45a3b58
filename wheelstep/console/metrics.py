"""The metrics of one process, in StatsD's line format. No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

PREFIX = "app"


@dataclass(slots=True)
class Counters:
    """Counters since the process started. Those by class have one entry per message class named in any configuration
    so far, so their number stays small."""

    passed: Counter[str] = field(default_factory=Counter)  # messages delivered
    dropped: Counter[str] = field(default_factory=Counter)  # messages refused on receipt or handed back
    bad_gateway: Counter[str] = field(default_factory=Counter)  # messages failed
    upstream_tries: int = 0  # messages written completely to endpoints
    loads: int = 0  # configurations applied at SIGHUP
    load_errors: int = 0  # configurations rejected at SIGHUP

    def ended(self, message_class: str, outcome: str) -> None:
        """Count a message that ended undelivered: `handed_back` as dropped, any other outcome as bad_gateway."""
        (self.dropped if outcome == "handed_back" else self.bad_gateway)[message_class] += 1


@dataclass(frozen=True, slots=True)
class Gauges:
    """Current values."""

    in_progress: int
    known_endpoints: int
    skipped_endpoints: int


def render(counters: Counters, gauges: Gauges, classes: Iterable[str]) -> str:
    """Return one line per metric; the given classes are listed even with a count of 0.

    Counters are totals since the process started, not increments, which StatsD takes `|c` for.
    """
    lines = []
    for name in ("passed", "dropped", "bad_gateway"):
        counts: Counter[str] = getattr(counters, name)
        lines += [f"{PREFIX}.{name}.{cls}:{counts[cls]}|c" for cls in sorted({*classes, *counts})]
    lines += [f"{PREFIX}.{name}:{getattr(counters, name)}|c" for name in ("upstream_tries", "loads", "load_errors")]
    lines += [f"{PREFIX}.{name}:{getattr(gauges, name)}|g"
              for name in ("in_progress", "known_endpoints", "skipped_endpoints")]
    return "".join(f"{line}\n" for line in lines)
