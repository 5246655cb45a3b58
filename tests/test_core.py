"""The core without a whole courier around it: failed actions, replaced timers, and tables that must not grow."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

from loopback import LIMIT_S, SETTINGS, host, run

from wheelstep import interface as api
from wheelstep.courier.call import Result
from wheelstep.courier.config import Config, load
from wheelstep.courier.core import Core
from wheelstep.courier.listing import entries
from wheelstep.interface import Outcome
from wheelstep.journal import Journal


def configured(folder: Path) -> Config:
    """Return a courier's configuration whose files lie in the folder."""
    (folder / "state").mkdir()
    (folder / "config.json").write_text(json.dumps(
        {"settings": SETTINGS, "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1"}))
    return load({"RELAY_CONFIG": str(folder / "config.json"), "RELAY_STATE": str(folder / "state")})


class FakeDecisionModule(list[api.Event]):
    """Stands in for the decision module: records events and returns the actions that a test sets."""

    def __init__(self) -> None:
        self.actions: list[api.Action] = []

    def handle(self, now_us: int, events: list[api.Event]) -> list[api.Action]:
        """Record the events; return the actions set, once."""
        self += events
        actions, self.actions = self.actions, []
        return actions


def test_earlier_timer_replaces_a_later_one_and_a_failed_start_frees_its_slot(
        tmp_path: Path) -> None:
    """Guards against replaced timers that stay armed, and against a failed start that keeps its slot for good
    because no outcome is reported."""
    async def scenario() -> None:
        config = configured(tmp_path)
        core, module = Core(config, Journal(config.state, config.disk_bytes)), FakeDecisionModule()
        core.decision_loop.sender = module  # type: ignore[assignment]
        module.actions = [api.SetTimer(0, 50_000), api.SetTimer(0, 1000), api.StartAttempt("unknown", "e0", 5)]
        core.probed("e0", Result(Outcome.OK))
        done = asyncio.get_running_loop().time() + 0.2
        async with asyncio.timeout(LIMIT_S):
            while asyncio.get_running_loop().time() < done:
                await asyncio.sleep(0.01)
        assert [event for event in module if isinstance(event, api.TimerFired)] == [api.TimerFired(0)]
        (ended,) = (event for event in module if isinstance(event, api.AttemptEnded))
        assert (ended.message, ended.outcome) == ("unknown", Outcome.NOT_SENT)
    run(scenario())


def test_expired_waits_are_removed(tmp_path: Path) -> None:
    """Guards against a table that keeps every destination and route that ever asked to wait."""
    async def scenario() -> None:
        config = configured(tmp_path)
        core = Core(config, Journal(config.state, config.disk_bytes))
        for number in range(50):
            row = host(f"e{number}", "127.0.0.1:1", block=number)
            core.listed(api.ListKind.CHANGES, entries({"hosts": [row]}, config.names))
            core.apply_wait(f"e{number}", 1)
            await asyncio.sleep(0.001)
        assert len(core.endpoints.wait_until) < 50
    run(scenario())
