"""What is counted since the process started, in StatsD's line form. No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

PREFIX = "app"


@dataclass(slots=True)
class Figures:
    """Counts by class name, so they are bounded by the classes that configurations have named."""

    passed: Counter[str] = field(default_factory=Counter)  # messages delivered
    dropped: Counter[str] = field(default_factory=Counter)  # refused at the door or handed back
    bad_gateway: Counter[str] = field(default_factory=Counter)  # failed
    upstream_tries: int = 0  # messages written whole to endpoints
    loads: int = 0  # configurations taken at SIGHUP
    load_errors: int = 0  # and turned down

    def ended(self, message_class: str, outcome: str) -> None:
        """A message's end, by the name that notices have for it."""
        (self.dropped if outcome == "handed_back" else self.bad_gateway)[message_class] += 1


@dataclass(frozen=True, slots=True)
class Gauges:
    """How things stand just now."""

    in_progress: int
    known_endpoints: int
    skipped_endpoints: int


def render(figures: Figures, gauges: Gauges, classes: Iterable[str]) -> str:
    """One line for each figure; the classes given are there also where nothing was counted."""
    lines = []
    for name in ("passed", "dropped", "bad_gateway"):
        counts: Counter[str] = getattr(figures, name)
        lines += [f"{PREFIX}.{name}.{cls}:{counts[cls]}|c" for cls in sorted({*classes, *counts})]
    lines += [f"{PREFIX}.{name}:{getattr(figures, name)}|c" for name in ("upstream_tries", "loads", "load_errors")]
    lines += [f"{PREFIX}.{name}:{getattr(gauges, name)}|g"
              for name in ("in_progress", "known_endpoints", "skipped_endpoints")]
    return "".join(f"{line}\n" for line in lines)
