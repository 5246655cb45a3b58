"""The middle by itself: what it keeps has an end."""

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
    (folder / "state").mkdir()
    (folder / "config.json").write_text(json.dumps(
        {"settings": SETTINGS, "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1"}))
    return load({"RELAY_CONFIG": str(folder / "config.json"), "RELAY_STATE": str(folder / "state")})


class Told(list[api.Event]):
    """Stands for the module: notes what it is told, and says what it is given to say."""

    def __init__(self) -> None:
        self.actions: list[api.Action] = []

    def handle(self, now_us: int, events: list[api.Event]) -> list[api.Action]:
        self += events
        actions, self.actions = self.actions, []
        return actions


def test_an_earlier_timer_takes_the_place_of_the_later_one_and_a_failed_start_gives_its_slot_back(
        tmp_path: Path) -> None:
    """Once, timers that had been overtaken stayed armed, and a start that failed kept its slot for good."""
    async def scene() -> None:
        config = configured(tmp_path)
        core, told = Core(config, Journal(config.state, config.disk_bytes)), Told()
        core.turns.sender = told  # type: ignore[assignment]
        told.actions = [api.SetTimer(0, 50_000), api.SetTimer(0, 1000), api.StartAttempt("unknown", "e0", 5)]
        core.probed("e0", Result(Outcome.OK))
        done = asyncio.get_running_loop().time() + 0.2
        async with asyncio.timeout(LIMIT_S):
            while asyncio.get_running_loop().time() < done:
                await asyncio.sleep(0.01)
        assert [event for event in told if isinstance(event, api.TimerFired)] == [api.TimerFired(0)]
        (ended,) = (event for event in told if isinstance(event, api.AttemptEnded))
        assert (ended.message, ended.outcome) == ("unknown", Outcome.NOT_SENT)
    run(scene())


def test_waits_that_are_over_are_forgotten(tmp_path: Path) -> None:
    """Once, every destination and route that ever told to wait stayed in a table."""
    async def scene() -> None:
        config = configured(tmp_path)
        core = Core(config, Journal(config.state, config.disk_bytes))
        for number in range(50):
            row = host(f"e{number}", "127.0.0.1:1", block=number)
            core.listed(api.ListKind.CHANGES, entries({"hosts": [row]}, config.names))
            core.told_to_wait(f"e{number}", 1)
            await asyncio.sleep(0.001)
        assert len(core.endpoints.told) < 50
    run(scene())
