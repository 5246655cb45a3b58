"""System calls fail for a while, as Linux documents: real couriers keep what they owe, and go on afterwards."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from failing_courier import FailingScene, busy_share, failing_scene
from loopback import LIMIT_S, host, run

SHARE = 0.5  # of the calls, in tests that don't need all of them to fail
NEARLY_ALL = 0.9  # of the calls: `epoll_wait` has to tell of some events meanwhile
FAILS_S = 1.0
SLOW_TICK_US = 300_000  # from a message to its call
BUSY_SHARE = 0.5  # of one core, for a courier that has nothing to do
SOON_S = 2.5
FIELDS = ("transfer_failure_share", "poll_failure_share", "socket_failure_share", "open_failure_share")


class Client:
    """A client on one connection that stays open."""

    def __init__(self, address: str) -> None:
        self._address = address

    async def open(self) -> None:
        """Connect."""
        host, _, port = self._address.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))

    async def submit(self, message: str, message_class: str = "once") -> int:
        """Submit a message and return the status of the answer. Raises `IncompleteReadError` if none comes."""
        self.writer.write(f"POST /api HTTP/1.1\r\nHost: x\r\nX-Request-Id: {message}\r\nX-Class: {message_class}\r\n"
                          "X-Deadline-Ms: 20000\r\nX-Consignee: dest=7\r\nContent-Length: 1\r\n\r\nx".encode())
        async with asyncio.timeout(LIMIT_S):
            head = await self.reader.readuntil(b"\r\n\r\n")
        return int(head.split()[1])

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


async def all_called(scene: FailingScene, accepted: list[str]) -> None:
    """Wait until each of these messages was called, and check that none was called twice or ended by a notice."""
    await scene.wait_until(lambda: set(accepted) <= set(scene.called()))
    assert len(scene.called()) == len(set(scene.called()))
    assert not scene.platform.notices_heard


# Incident 57, lost: a client's connection was closed at an error of `recv` or `send`, its request had no answer.
@pytest.mark.parametrize("fails", ["transfer_failure_share", "poll_failure_share"])
def test_requests_on_open_and_new_connections_are_answered_while_calls_fail(
        tmp_path: Path, monkeypatch: pytest.MonkeyPatch, fails: str) -> None:
    async def scenario() -> None:
        async with failing_scene(tmp_path, monkeypatch) as scene:
            clients = [Client(scene.courier.address) for _ in range(12)]
            for client in clients[:6]:
                await client.open()
            setattr(scene.page, fails, SHARE)
            for client in clients[6:]:
                await client.open()
            accepted = []
            for number, client in enumerate(clients * 3):
                assert await client.submit(f"m{number}") == 202
                accepted.append(f"m{number}")
            setattr(scene.page, fails, 0.0)
            await all_called(scene, accepted)
            for client in clients:
                client.close()
    run(scenario())


# Incident 57, hung: the selector lost descriptors that the kernel went on reporting, and the event loop spun.
def test_a_courier_serves_and_rests_after_epoll_has_failed(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        async with failing_scene(tmp_path, monkeypatch) as scene:
            clients = [Client(scene.courier.address) for _ in range(8)]
            for client in clients[:4]:
                await client.open()
            scene.page.poll_failure_share = NEARLY_ALL
            for client in clients[4:]:
                await client.open()
            sending = [asyncio.create_task(client.submit(f"m{number}")) for number, client in enumerate(clients)]
            await asyncio.sleep(FAILS_S)
            scene.page.poll_failure_share = 0.0
            async with asyncio.timeout(SOON_S):
                assert await asyncio.gather(*sending) == [202] * len(clients)
            await all_called(scene, [f"m{number}" for number in range(len(clients))])
            for client in clients:
                client.close()
            assert scene.courier.process.returncode is None
            assert await busy_share(scene.courier.process.pid, FAILS_S) < BUSY_SHARE
    run(scenario())


# Incident 57's class, crashed: an error in one of the courier's tasks ended the process.
@pytest.mark.parametrize("fails", FIELDS)
def test_a_courier_runs_on_with_idle_connections_and_reloads_while_calls_fail(
        tmp_path: Path, monkeypatch: pytest.MonkeyPatch, fails: str) -> None:
    async def scenario() -> None:
        async with failing_scene(tmp_path, monkeypatch) as scene:
            for number in range(3):  # leave idle connections, which are swept twice a second
                assert await scene.courier.hand_in(f"m{number}") == 202
            await scene.wait_until(lambda: len(scene.answered) >= 3)
            setattr(scene.page, fails, NEARLY_ALL)
            scene.courier.renew(scene.courier.config(scene.platform))
            await asyncio.sleep(FAILS_S)
            assert scene.courier.process.returncode is None
            setattr(scene.page, fails, 0.0)
            await scene.courier.wait_log("configuration read again")
            assert await scene.courier.hand_in("after") == 202
            await scene.wait_until(lambda: "after" in scene.called())
    run(scenario())


# Incident 57's class, wait: a call was written while the answer that asked to wait lay unread.
def test_nothing_is_sent_while_an_answer_that_asks_to_wait_can_not_be_read(
        tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        async with failing_scene(tmp_path, monkeypatch, tick_us=SLOW_TICK_US) as scene:
            scene.default_reply = None
            assert await scene.courier.hand_in("first") == 202
            await scene.wait_until(lambda: "first" in scene.called())
            assert await scene.courier.hand_in("second") == 202
            scene.page.read_failure_share = 1.0
            scene.replies["first"] = (503, {"Retry-After": "2"}, b"")
            await scene.wait_until(lambda: "first" in scene.answered)
            await asyncio.sleep(FAILS_S)
            scene.page.read_failure_share = 0.0
            await asyncio.sleep(FAILS_S / 2)
            assert scene.called() == ["first"]
            scene.replies.clear()
            scene.default_reply = (200, {}, b"")
            await scene.wait_until(lambda: sorted(scene.called()) == ["first", "first", "second"])
    run(scenario())


# Incident 57's class, drain: a call that waited for the machine was written after its endpoint was told to drain.
def test_a_call_whose_first_byte_could_not_be_written_is_not_sent_to_an_endpoint_that_drains_by_then(
        tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        async with failing_scene(tmp_path, monkeypatch, tick_us=SLOW_TICK_US) as scene:
            assert await scene.courier.hand_in("waiting") == 202
            scene.page.transfer_failure_share = 1.0
            await asyncio.sleep(SLOW_TICK_US / 1e6 + 0.1)
            scene.platform.push(host("e0", scene.endpoint.address, health="DRAINING"))
            await asyncio.sleep(FAILS_S)
            scene.page.transfer_failure_share = 0.0
            await asyncio.sleep(FAILS_S)
            assert scene.called() == []
    run(scenario())


# Incident 57's class, lost: at a shutdown the listener was closed over clients when one `accept` failed.
def test_clients_that_wait_to_be_accepted_at_a_shutdown_are_answered_although_accept_fails(
        tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        async with failing_scene(tmp_path, monkeypatch) as scene:
            scene.courier.process.terminate()
            await asyncio.sleep(2.75)  # a shutdown ends connections 2.8 s after SIGTERM
            scene.page.socket_failure_share = 1.0
            clients = [Client(scene.courier.address) for _ in range(4)]
            for client in clients:
                await client.open()
            sending = [asyncio.create_task(client.submit(f"m{number}")) for number, client in enumerate(clients)]
            await asyncio.sleep(0.2)
            scene.page.socket_failure_share = 0.0
            async with asyncio.timeout(SOON_S):
                assert set(await asyncio.gather(*sending)) <= {202, 503}
            for client in clients:
                client.close()
    run(scenario())
