"""Operator commands: exclude endpoints, report metrics, reload settings."""

from __future__ import annotations

import time

from wheelstep import interface as api
from wheelstep.courier.config import Config
from wheelstep.courier.dispatcher import Dispatcher


class OperatorCommands(Dispatcher):
    """Implements `console.commands.ConsoleBackend`, except for readiness."""

    def exclude(self, endpoint: str) -> bool:
        """Send nothing new to an endpoint until it is included again, also over restarts. Return False if it is not
        known, or too many are excluded."""
        known = self.endpoints.exclude(endpoint)
        if known:
            self.endpoint_client.close_idle(endpoint)
        return known

    def include(self, endpoint: str) -> bool:
        """Use an excluded endpoint again as the list says. Return False if no such endpoint is known."""
        return self.endpoints.include(endpoint)

    def telemetry(self) -> str:
        """Return the metrics as text, one per line."""
        from wheelstep.console.metrics import Counters, Gauges, render
        marks, listed = self._journal.marks, self.endpoints.listed
        skipped = sum(name in self.endpoints.excluded or bool(marks.get(name, (0, False))[1]) for name in listed)
        return render(self.counters or Counters(), Gauges(len(self._held), len(listed), skipped), self.ordered)

    def gauge(self) -> tuple[int, int, int, list[tuple[int, api.WaitReason, int]]]:
        """Return the calls under way, the open connections, the connections attempted since the start, and what holds
        messages up."""
        held = self.decision_loop.sender.wait_reasons(time.monotonic_ns() // 1000)
        return (len(self.endpoint_client.calls()), self.endpoint_client.connection_count(),
                self.endpoint_client.dials, held)

    def renew(self, config: Config) -> None:
        """Apply new settings (SIGHUP): classes and the number of attempts change now, all else at the next start."""
        self.classes.renew(config)
