"""What operators call for: endpoints out by hand, figures, settings that change."""

from __future__ import annotations

import time

from wheelstep import interface as api
from wheelstep.courier.carrier import Carrier
from wheelstep.courier.config import Config


class Operated(Carrier):
    """As `console.commands.Desk`, but for whether it is ready."""

    def exclude(self, endpoint: str) -> bool:
        """Nothing new goes there until it is put back, also over restarts. False if no such endpoint is known."""
        known = self.endpoints.exclude(endpoint)
        if known:
            self.outlet.close_idle(endpoint)
        return known

    def include(self, endpoint: str) -> bool:
        """The list counts again. False if no such endpoint is known."""
        return self.endpoints.include(endpoint)

    def telemetry(self) -> str:
        """The figures, a line each."""
        from wheelstep.console.figures import Figures, Gauges, render
        marks, listed = self._journal.marks, self.endpoints.listed
        skipped = sum(name in self.endpoints.out or bool(marks.get(name, (0, False))[1]) for name in listed)
        return render(self.figures or Figures(), Gauges(len(self._held), len(listed), skipped), self.ordered)

    def gauge(self) -> tuple[int, int, int, list[tuple[int, api.Holdup, int]]]:
        """Slots out, connections open, handshakes since the start, and what holds messages up."""
        held = self.turns.sender.holdups(time.monotonic_ns() // 1000)
        return len(self.outlet.calls()), self.outlet.links(), self.outlet.dials, held

    def renew(self, config: Config) -> None:
        """New settings (SIGHUP): classes and the number of attempts change now, all else at the next start."""
        self.classes.renew(config)
