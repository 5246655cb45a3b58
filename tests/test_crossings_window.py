"""The time in which a call may be written ends while it is dialled, waits, or is being written.

The courier decides a repeat while its destination remembers the key; what counts there is the last byte.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from collections.abc import Sequence
from dataclasses import replace
from pathlib import Path

import pytest
from helpers import KEYED, MS, SAFE, UNSAFE, Drive, S, finals, sends
from loopback import LIMIT_S, host, run
from test_core import Told, configured
from test_crossings_calls import Peer, steps
from test_outlet import item

from wheelstep import interface as api
from wheelstep.courier.call import Item
from wheelstep.courier.core import Core
from wheelstep.courier.listing import entries
from wheelstep.interface import Outcome
from wheelstep.journal import Journal, Stored


def timed(name: str, left_s: float, body: bytes = b"x") -> Item:
    return replace(item(name, body), until_s=time.monotonic() + left_s)


def test_a_connection_that_comes_up_after_the_window_carries_nothing() -> None:
    """The listener's backlog is full, so the first SYN is dropped, and the second comes a second later."""
    async def work() -> None:
        peer = Peer(backlog=0)
        peer.outlet._dial_s = 10
        filler = socket.create_connection(peer.listener.getsockname())
        peer.outlet.call("e0", [timed("a", 0.05)], 10 * S)
        await asyncio.sleep(0.06)
        assert not peer.owner.results
        peer.listener.accept()[0].close()
        await peer.accept()
        assert (await peer.owner.wait("a")).outcome is Outcome.NOT_SENT
        assert peer.owner.started == []
        peer.outlet.call("e0", [timed("b", 10)], 10 * S)
        assert b"X-Request-Id: b" in await peer.reads() and peer.outlet.dials == 1
        filler.close()
    run(work())


def test_a_notice_of_its_key_that_is_answered_after_the_window_lets_nothing_go_and_others_of_its_call_go() -> None:
    async def work() -> None:
        peer, answered = Peer(), asyncio.Event()

        async def settled(items: Sequence[Item]) -> None:
            await answered.wait()
        peer.owner.settled = settled  # type: ignore[method-assign]
        peer.outlet.call("e0", [timed("a", 0.05), timed("b", 10)], 10 * S)
        await steps(3)
        time.sleep(0.06)
        answered.set()
        await peer.accept()
        assert b"X-Request-Id: b" in await peer.reads()
        assert peer.owner.started == ["b"]
        peer.says(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        assert [(await peer.owner.wait(name)).outcome for name in "ab"] == [Outcome.NOT_SENT, Outcome.OK]
    run(work())


@pytest.mark.parametrize("stands_still", [False, True])
def test_a_call_that_is_not_written_whole_in_time_is_given_up_before_its_last_byte(stands_still: bool) -> None:
    """The endpoint reads nothing. `stands_still`: from then on until the time is past and there is room again."""
    async def work() -> None:
        peer = Peer(receives=4096)
        peer.outlet.call("e0", [timed("a", 0.5, b"y" * (16 << 20) + b"z")], 10 * S)
        await peer.accept()
        await steps(20)
        assert peer.link is not None and peer.owner.started == ["a"] and peer.owner.whole == 0
        with pytest.raises(ConnectionResetError):
            if stands_still:
                time.sleep(0.5)
                with contextlib.suppress(BlockingIOError):
                    while peer.link.recv(1 << 20):
                        pass
            else:
                await peer.owner.wait("a")
            await peer.reads(b"z")
        assert (await peer.owner.wait("a")).outcome is Outcome.NOT_SENT and peer.owner.whole == 0
    run(work())


def test_a_last_byte_that_the_system_still_holds_when_the_window_ends_never_comes() -> None:
    """As where the network is cut and heals: the call is over long before its time-out, and may have run."""
    async def work() -> None:
        peer = Peer(receives=4096)
        peer.outlet.call("e0", [timed("a", 0.5, b"y" * (64 << 10) + b"z")], 60 * S)
        await peer.accept()
        assert (await peer.owner.wait("a")).outcome is Outcome.RESET
        assert peer.owner.whole == 1
        with pytest.raises(ConnectionResetError):
            await peer.reads(b"z")
    run(work())


def test_a_window_that_ends_harms_no_call_that_has_arrived() -> None:
    async def work() -> None:
        peer = Peer()
        peer.outlet.call("e0", [timed("a", 0.5)], 10 * S)
        await peer.accept()
        await peer.reads()
        await asyncio.sleep(0.55)
        peer.says(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        assert (await peer.owner.wait("a")).outcome is Outcome.OK
    run(work())


def first(actions: list[api.Action]) -> api.StartAttempt:
    return next(action for action in actions if isinstance(action, api.StartAttempt))


def again(drive: Drive) -> api.StartAttempt:
    """The next attempt after one that may have run."""
    drive.end("a", Outcome.RESET)
    while not sends(actions := drive.at(drive.now + 50 * MS, api.TimerFired(0))):
        assert drive.now < 20 * S
    return first(actions)


@pytest.mark.parametrize(("cls", "ran", "latest_us"), [
    (0, False, 20 * S), (1, False, 20 * S), (2, False, 20 * S), (0, True, 20 * S), (1, True, 5 * S)])
def test_until_when_a_first_byte_may_go(cls: int, ran: bool, latest_us: int) -> None:
    """Before its end; a repeat while its key is remembered, counted from the first attempt that may have run."""
    drive = Drive(tick_us=5 * MS)
    started = first(drive.submit("a", cls))
    if ran:
        started = again(drive)
    assert started.latest_us == latest_us - drive.now - 10 * MS


def test_a_repeat_after_a_restart_has_what_is_left_of_its_window_and_its_class_as_it_was() -> None:
    drive = Drive(tick_us=5 * MS)
    drive.at(0, api.ClassesChanged((SAFE, replace(KEYED, key_ttl_us=2 * S), UNSAFE)))
    drive.submit("a", 1)
    drive.at(0, api.ClassesChanged((SAFE, UNSAFE, UNSAFE)))
    assert again(drive).latest_us == 2 * S - drive.now - 10 * MS
    drive = Drive(tick_us=5 * MS)
    accepted = api.MessageAccepted("new", 1, 7, 20 * S)
    started = first(drive.at(0, api.MessageRestored(accepted, 1, ran_ago_us=4900 * MS)))
    assert started.latest_us == 90 * MS


@pytest.mark.parametrize("ran_ago_us", [4900 * MS, None])
def test_what_was_not_sent_since_its_time_was_over_ends_at_once(ran_ago_us: int | None) -> None:
    drive = Drive(tick_us=5 * MS)
    accepted = api.MessageAccepted("a", 1, 7, 20 * S if ran_ago_us else 100 * MS)
    started = first(drive.at(0, api.MessageRestored(accepted, 1 if ran_ago_us else 0, ran_ago_us)))
    drive.now = started.latest_us
    actions = drive.end("a", Outcome.NOT_SENT, 1)
    assert finals(actions) == [("Refuse", "a")] and sends(actions) == []


def test_what_the_module_says_counts_from_the_moment_that_it_was_asked(tmp_path: Path) -> None:
    """The loop stands still between the decision and the call's first step: nothing is journalled or written."""
    async def work() -> None:
        config, peer, told = configured(tmp_path), Peer(), Told()
        core = Core(config, Journal(config.state, config.disk_bytes))
        core.turns.sender = told  # type: ignore[assignment]
        row = host("e0", f"127.0.0.1:{peer.listener.getsockname()[1]}")
        core.listed(api.ListKind.CHANGES, entries({"hosts": [row]}, config.names))
        for name, latest_us in (("late", 50 * MS), ("unbound", 0)):
            core.take(Stored(name, "ordered", 7, int(time.time() * 1000) + 9000, body=b"x"))
            core.begin(name)
            told.actions = [api.StartAttempt(name, "e0", 10 * S, latest_us)]
            core.turns._turn()
            time.sleep(0.06)
        await peer.accept()
        await peer.accept()
        assert b"X-Request-Id: unbound" in await peer.reads()
        async with asyncio.timeout(LIMIT_S):
            while not (ended := [event for event in told if isinstance(event, api.AttemptEnded)]):
                await asyncio.sleep(0.01)
        assert [(event.message, event.outcome) for event in ended] == [("late", Outcome.NOT_SENT)]
        assert [core._journal.messages[name].attempts for name in ("late", "unbound")] == [0, 1]
    run(work())
