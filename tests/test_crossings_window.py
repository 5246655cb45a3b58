"""The time in which a call may be written ends while it is connected, waits, or is being written.

The courier repeats a message only while its destination remembers the key; what counts there is the call's last
byte.
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
from endpoint_clients import item
from helpers import KEYED, MS, SAFE, UNSAFE, S, SenderDriver, final_answers, sent_messages
from loopback import LIMIT_S, host, run
from test_core import FakeDecisionModule, configured
from test_crossings_calls import ManualPeer, loop_turns

from wheelstep import interface as api
from wheelstep.courier.call import Item
from wheelstep.courier.core import Core
from wheelstep.courier.listing import entries
from wheelstep.interface import Outcome
from wheelstep.journal import Journal, StoredMessage


def timed(name: str, left_s: float, body: bytes = b"x") -> Item:
    """Return an item whose last byte must be written within `left_s`."""
    return replace(item(name, body), write_until_s=time.monotonic() + left_s)


def test_nothing_is_sent_on_a_connection_that_opens_after_the_write_deadline() -> None:
    """Guards against a call sent too late on a connection that opened slowly: the listener's backlog is full, so
    the first SYN is dropped, and the second comes a second later."""
    async def work() -> None:
        peer = ManualPeer(backlog=0)
        peer.client._dial_timeout_s = 10
        filler = socket.create_connection(peer.listener.getsockname())
        peer.client.call("e0", [timed("a", 0.05)], 10 * S)
        await asyncio.sleep(0.06)
        assert not peer.owner.results
        peer.listener.accept()[0].close()
        await peer.accept()
        assert (await peer.owner.wait("a")).outcome is Outcome.NOT_SENT
        assert peer.owner.started == []
        peer.client.call("e0", [timed("b", 10)], 10 * S)
        assert b"X-Request-Id: b" in await peer.read_until() and peer.client.dials == 1
        filler.close()
    run(work())


def test_message_past_its_write_deadline_is_not_sent_but_others_of_its_call_are() -> None:
    """Guards against a message sent too late after it waited for a notification of its key, and against losing the
    others of its call."""
    async def work() -> None:
        peer, answered = ManualPeer(), asyncio.Event()

        async def wait_for_earlier(items: Sequence[Item]) -> None:
            await answered.wait()
        peer.owner.wait_for_earlier = wait_for_earlier  # type: ignore[method-assign]
        peer.client.call("e0", [timed("a", 0.05), timed("b", 10)], 10 * S)
        await loop_turns(3)
        time.sleep(0.06)
        answered.set()
        await peer.accept()
        assert b"X-Request-Id: b" in await peer.read_until()
        assert peer.owner.started == ["b"]
        peer.send_bytes(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        assert [(await peer.owner.wait(name)).outcome for name in "ab"] == [Outcome.NOT_SENT, Outcome.OK]
    run(work())


@pytest.mark.parametrize("loop_blocked", [False, True])
def test_call_not_written_whole_in_time_is_cancelled_before_its_last_byte(loop_blocked: bool) -> None:
    """Guards against a last byte written too late to an endpoint that reads nothing. `loop_blocked`: the event loop
    is blocked until the time has passed and there is room."""
    async def work() -> None:
        peer = ManualPeer(receives=4096)
        peer.client.call("e0", [timed("a", 0.5, b"y" * (16 << 20) + b"z")], 10 * S)
        await peer.accept()
        await loop_turns(20)
        assert peer.accepted is not None and peer.owner.started == ["a"] and peer.owner.written_messages == 0
        with pytest.raises(ConnectionResetError):
            if loop_blocked:
                time.sleep(0.5)
                with contextlib.suppress(BlockingIOError):
                    while peer.accepted.recv(1 << 20):
                        pass
            else:
                await peer.owner.wait("a")
            await peer.read_until(b"z")
        assert (await peer.owner.wait("a")).outcome is Outcome.NOT_SENT and peer.owner.written_messages == 0
    run(work())


def test_unsent_last_byte_is_discarded_at_the_write_deadline() -> None:
    """Guards against a last byte that the kernel delivers too late, as when a network is cut and recovers: the call
    ends long before its time-out, and may have run."""
    async def work() -> None:
        peer = ManualPeer(receives=4096)
        peer.client.call("e0", [timed("a", 0.5, b"y" * (64 << 10) + b"z")], 60 * S)
        await peer.accept()
        assert (await peer.owner.wait("a")).outcome is Outcome.RESET
        assert peer.owner.written_messages == 1
        with pytest.raises(ConnectionResetError):
            await peer.read_until(b"z")
    run(work())


def test_write_deadline_does_not_affect_a_call_that_has_arrived() -> None:
    """Guards against a write deadline that ends a call which the endpoint has received."""
    async def work() -> None:
        peer = ManualPeer()
        peer.client.call("e0", [timed("a", 0.5)], 10 * S)
        await peer.accept()
        await peer.read_until()
        await asyncio.sleep(0.55)
        peer.send_bytes(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        assert (await peer.owner.wait("a")).outcome is Outcome.OK
    run(work())


def first(actions: list[api.Action]) -> api.StartAttempt:
    """Return the first attempt among the actions."""
    return next(action for action in actions if isinstance(action, api.StartAttempt))


def again(drive: SenderDriver) -> api.StartAttempt:
    """Return the next attempt after one that may have run."""
    drive.end("a", Outcome.RESET)
    while not sent_messages(actions := drive.at(drive.now + 50 * MS, api.TimerFired(0))):
        assert drive.now < 20 * S
    return first(actions)


@pytest.mark.parametrize(("cls", "ran", "latest_us"), [
    (0, False, 20 * S), (1, False, 20 * S), (2, False, 20 * S), (0, True, 20 * S), (1, True, 5 * S)])
def test_latest_start_is_bounded_by_the_deadline_and_the_key_memory(cls: int, ran: bool, latest_us: int) -> None:
    """Guards against an attempt after its message's end, or a repeat after the destination forgot the key, counted
    from the first attempt that may have run."""
    drive = SenderDriver(tick_us=5 * MS)
    started = first(drive.submit("a", cls))
    if ran:
        started = again(drive)
    assert started.latest_us == latest_us - drive.now - 10 * MS


def test_repeat_after_a_restart_or_class_change_keeps_its_remaining_key_memory() -> None:
    """Guards against a key's memory that is counted anew after a restart, or by a class that changed since."""
    drive = SenderDriver(tick_us=5 * MS)
    drive.at(0, api.ClassesChanged((SAFE, replace(KEYED, key_ttl_us=2 * S), UNSAFE)))
    drive.submit("a", 1)
    drive.at(0, api.ClassesChanged((SAFE, UNSAFE, UNSAFE)))
    assert again(drive).latest_us == 2 * S - drive.now - 10 * MS
    drive = SenderDriver(tick_us=5 * MS)
    accepted = api.MessageAccepted("new", 1, 7, 20 * S)
    started = first(drive.at(0, api.MessageRestored(accepted, 1, ran_ago_us=4900 * MS)))
    assert started.latest_us == 90 * MS


@pytest.mark.parametrize("ran_ago_us", [4900 * MS, None])
def test_attempt_not_sent_for_lack_of_time_ends_its_message_at_once(ran_ago_us: int | None) -> None:
    """Guards against a message that is held or tried on after its time."""
    drive = SenderDriver(tick_us=5 * MS)
    accepted = api.MessageAccepted("a", 1, 7, 20 * S if ran_ago_us else 100 * MS)
    started = first(drive.at(0, api.MessageRestored(accepted, 1 if ran_ago_us else 0, ran_ago_us)))
    drive.now = started.latest_us
    actions = drive.end("a", Outcome.NOT_SENT, 1)
    assert final_answers(actions) == [("Refuse", "a")] and sent_messages(actions) == []


def test_latest_start_counts_from_the_time_of_the_decision(tmp_path: Path) -> None:
    """Guards against a call that is sent too late because the event loop was blocked between the decision and the
    call's first step: nothing is journalled or written then."""
    async def work() -> None:
        config, peer, module = configured(tmp_path), ManualPeer(), FakeDecisionModule()
        core = Core(config, Journal(config.state, config.disk_bytes))
        core.decision_loop.sender = module  # type: ignore[assignment]
        row = host("e0", f"127.0.0.1:{peer.listener.getsockname()[1]}")
        core.listed(api.ListKind.CHANGES, entries({"hosts": [row]}, config.names))
        for name, latest_us in (("late", 50 * MS), ("unbound", 0)):
            core.take(StoredMessage(name, "ordered", 7, int(time.time() * 1000) + 9000, body=b"x"))
            core.begin(name)
            module.actions = [api.StartAttempt(name, "e0", 10 * S, latest_us)]
            core.decision_loop._run_turn()
            time.sleep(0.06)
        await peer.accept()
        await peer.accept()
        assert b"X-Request-Id: unbound" in await peer.read_until()
        async with asyncio.timeout(LIMIT_S):
            while not (ended := [event for event in module if isinstance(event, api.AttemptEnded)]):
                await asyncio.sleep(0.01)
        assert [(event.message, event.outcome) for event in ended] == [("late", Outcome.NOT_SENT)]
        assert [core._journal.messages[name].attempts for name in ("late", "unbound")] == [0, 1]
    run(work())
