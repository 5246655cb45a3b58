"""Endpoints that discovery told as draining or gone, over a restart with an older list and a silent discovery."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import pytest
from loopback import LIMIT_S, Endpoint, Scene, host, run

from wheelstep.courier import left_endpoints
from wheelstep.courier.handover_state import was_used
from wheelstep.courier.left_endpoints import LeftEndpoints
from wheelstep.courier.wall_clock import CLOCK_MARK
from wheelstep.interface import EndpointState


class Journal:
    def __init__(self) -> None:
        self.marks: dict[str, Any] = {}

    def mark(self, name: str, value: Any) -> None:
        self.marks.pop(name, None)
        if value is not None:
            self.marks[name] = value


@pytest.mark.parametrize("health", ["DRAINING", "DELETED"])
def test_a_drain_holds_over_a_kill_and_a_start_with_the_first_configuration(tmp_path: Path, health: str) -> None:
    """Guards against calls to what drains by a process that knows only an older list (FINDINGS 40, 21 calls in 5 s)."""
    async def scene() -> None:
        async with Scene(tmp_path, console=True) as s:
            other = Endpoint()
            await s.platform.wait_watches(1)
            s.platform.change(host("e1", await other.start()))
            first = s.courier.config(s.platform)
            s.platform.change(host("e0", s.endpoint.address, health=health))
            async with asyncio.timeout(LIMIT_S):
                while not any(name.startswith(":left e0") for name in marks_of(tmp_path)):
                    await asyncio.sleep(0.01)
            s.platform.down = True
            await s.courier.kill()
            s.courier.config = lambda platform: first  # type: ignore[method-assign]
            await s.courier.start()
            for number in range(10):
                assert await s.courier.hand_in(f"m{number}") == 202
            await other.wait(10)
            assert s.endpoint.calls == []
            s.platform.restore()
            s.platform.change(host("e0", s.endpoint.address))
            s.platform.change(host("e1", other.address, health="DRAINING"))
            assert await s.courier.hand_in("back") == 202
            await s.endpoint.wait(1)
    run(scene())


def marks_of(folder: Path) -> list[str]:
    """Return the names of facts in a journal that is in use."""
    data = b"".join(path.read_bytes() for path in sorted((folder / "state").glob("*.journal")))
    return [":left e0"] if b":left e0" in data else []


def test_only_a_silent_discovery_leaves_the_word_to_the_journal() -> None:
    """Guards against an endpoint that came back while no process ran, and that discovery would never name again."""
    journal = Journal()
    before = LeftEndpoints(journal)  # type: ignore[arg-type]
    before.told("e0", EndpointState.DRAINING)
    assert journal.marks == {}  # not enabled: it costs nothing
    before.enable({})
    before.told("e0", EndpointState.DRAINING)
    before.told("e1", EndpointState.REMOVED)
    before.told("e1", EndpointState.UP)
    assert journal.marks == {":left e0": 1}
    after = LeftEndpoints(journal)  # type: ignore[arg-type]
    after.enable(journal.marks)
    assert after.blocks("e0") and not after.blocks("e1")
    assert after.heard() == ["e0"] and not after.blocks("e0") and after.heard() == []


def test_a_folder_counts_as_used_once_a_process_has_restored_it() -> None:
    """Guards against a first start whose keys all settle, as discovery has named what drains before the restore."""
    assert not was_used([]) and not was_used([CLOCK_MARK, ":left e0"])
    assert was_used([CLOCK_MARK, ":left e0", ":classes"]) and was_used(["e0"])


def test_the_number_of_endpoints_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(left_endpoints, "_MAX_LEFT", 2)
    journal = Journal()
    left = LeftEndpoints(journal)  # type: ignore[arg-type]
    left.enable({})
    for name in ("e0", "e1", "e2", "e1"):
        left.told(name, EndpointState.REMOVED)
    assert list(journal.marks) == [":left e1", ":left e2"]
