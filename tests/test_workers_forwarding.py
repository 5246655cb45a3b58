"""Messages that one worker of a courier forwards to another, and owners that end meanwhile."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from loopback import run

from wheelstep.courier.admission import BadRequestError, UnansweredError
from wheelstep.forwarding.client import RemoteAdmission
from wheelstep.journal import NoRoomError, StoredMessage
from wheelstep.workers.between import OwnerSide, forward_client


def message(name: str, destination: int = 7) -> StoredMessage:
    return StoredMessage(name, "once", destination, 10**13, body=b"body of " + name.encode())


class Owner:
    """Stands for the core of the worker that owns a message. With `syncs`, `durable` waits for `may_sync`."""

    def __init__(self) -> None:
        self.syncs = False
        self.is_full = self.no_room = False
        self.taken: dict[str, StoredMessage] = {}
        self.begun: list[str] = []
        self.withdrawn: list[str] = []
        self.changed = asyncio.Condition()
        self.may_sync = asyncio.Event()

    def full(self) -> bool:
        return self.is_full

    def serves(self, destination: int) -> bool:
        return destination == 7

    def holds(self, name: str) -> bool:
        return name in self.taken

    def take(self, one: StoredMessage) -> None:
        if self.no_room:
            raise NoRoomError("no room at all")
        self.taken[one.id] = one

    def is_unconfirmed(self, name: str) -> bool:
        return name in self.taken and name not in self.begun

    def durable(self) -> asyncio.Future[bool]:
        return asyncio.ensure_future(self.may_sync.wait())

    def begin(self, name: str) -> None:
        self.begun.append(name)
        asyncio.get_running_loop().create_task(self._tell())

    def withdraw(self, name: str) -> None:
        if self.taken.pop(name, None) is not None:
            self.withdrawn.append(name)
            asyncio.get_running_loop().create_task(self._tell())

    def record_answer(self, one: StoredMessage, status: int) -> None:
        pass

    async def _tell(self) -> None:
        async with self.changed:
            self.changed.notify_all()

    async def until(self, holds: Callable[[], bool]) -> None:
        async with asyncio.timeout(10), self.changed:
            await self.changed.wait_for(holds)


class OwnerOverSocket:
    """An owner that accepts connections on a Unix socket, and a client that asks it."""

    def __init__(self, folder: Path) -> None:
        self.path = str(folder / "hop")
        self.owner = Owner()
        self.owner_sides: list[OwnerSide] = []
        self.client = forward_client(self.path)

    def _accept(self) -> Any:
        self.owner_sides.append(OwnerSide(lambda destination: self.owner))  # type: ignore[arg-type, return-value]
        return self.owner_sides[-1].connection

    async def __aenter__(self) -> OwnerOverSocket:
        self.server = await asyncio.get_running_loop().create_unix_server(self._accept, self.path)
        return self

    async def __aexit__(self, *_: object) -> None:
        self.client.close()
        self.server.close()

    async def hand_in(self, one: StoredMessage) -> RemoteAdmission:
        admission = RemoteAdmission(self.client)
        admission.take(one)
        await admission.durable()
        return admission


def test_owner_takes_before_the_client_is_answered_and_begins_after(tmp_path: Path) -> None:
    async def work() -> None:
        async with OwnerOverSocket(tmp_path) as remote:
            admission = await remote.hand_in(message("m1"))
            assert remote.owner.taken["m1"] == message("m1") and remote.owner.begun == []
            admission.begin("m1")
            await remote.owner.until(lambda: remote.owner.begun == ["m1"])
            (await remote.hand_in(message("m1"))).begin("m1")  # known already, so it does not begin twice
            admission = await remote.hand_in(message("m2"))
            admission.withdraw("m2")
            await remote.owner.until(lambda: remote.owner.withdrawn == ["m2"])
            assert remote.owner.begun == ["m1"]
    run(work())


def test_refusals_of_the_owner_reach_the_client(tmp_path: Path) -> None:
    async def work() -> None:
        async with OwnerOverSocket(tmp_path) as remote:
            with pytest.raises(BadRequestError, match="no such destination"):
                await remote.hand_in(message("m1", 8))
            remote.owner.no_room = True
            with pytest.raises(NoRoomError, match="no room at all"):
                await remote.hand_in(message("m2"))
            remote.owner.is_full = True
            with pytest.raises(NoRoomError, match="holds all it can"):
                await remote.hand_in(message("m3"))
            remote.server.close()
            remote.owner_sides[0].connection.close()
            await asyncio.sleep(0)
        with pytest.raises(NoRoomError, match="can't be reached"):  # nothing was sent, so a repeat is harmless
            while True:
                try:
                    await remote.hand_in(message("m4"))
                except UnansweredError:
                    continue
    run(work())


def test_client_gets_no_answer_if_the_owner_ends_before_it_answers(tmp_path: Path) -> None:
    """Guards against a 503 for what the owner's journal may hold: the client submits it again, a fee is paid twice."""
    async def work() -> None:
        async with OwnerOverSocket(tmp_path) as remote:
            remote.owner.syncs = True
            asked = asyncio.create_task(remote.hand_in(message("m1")))
            while not remote.owner.taken:
                await asyncio.sleep(0)
            remote.owner_sides[0].connection.close()
            with pytest.raises(UnansweredError):
                await asked
    run(work())


def test_message_begins_if_the_asker_ends_after_the_answer(tmp_path: Path) -> None:
    """Guards against the loss of a message whose client may have been answered 202."""
    async def work() -> None:
        async with OwnerOverSocket(tmp_path) as remote:
            await remote.hand_in(message("m1"))
            remote.client.close()
            await remote.owner.until(lambda: remote.owner.begun == ["m1"])
    run(work())


def test_message_is_withdrawn_if_the_asker_ends_before_the_answer(tmp_path: Path) -> None:
    """Guards against a second delivery: the client was not answered and submits it again under another id."""
    async def work() -> None:
        async with OwnerOverSocket(tmp_path) as remote:
            remote.owner.syncs = True
            asked = asyncio.create_task(remote.hand_in(message("m1")))
            while not remote.owner.taken:
                await asyncio.sleep(0)
            remote.client.close()
            await remote.owner.until(lambda: remote.owner.withdrawn == ["m1"])
            with pytest.raises(UnansweredError):
                await asked
            assert remote.owner.begun == []
    run(work())


def test_second_client_with_a_message_is_not_answered_until_the_first_is(tmp_path: Path) -> None:
    """Guards against a lost message: the second client got 202, then the first left, which withdrew the message."""
    async def work() -> None:
        async with OwnerOverSocket(tmp_path) as remote:
            first = await remote.hand_in(message("m1"))  # taken, its client is not answered yet
            with pytest.raises(UnansweredError, match="another client"):
                await remote.hand_in(message("m1"))
            first.withdraw("m1")
            await remote.owner.until(lambda: remote.owner.withdrawn == ["m1"])
            (await remote.hand_in(message("m1"))).begin("m1")
            await remote.owner.until(lambda: remote.owner.begun == ["m1"])
            assert (await remote.hand_in(message("m1"))).known
    run(work())


def test_answer_to_an_earlier_ask_does_not_count_for_a_later_one(tmp_path: Path) -> None:
    """Guards against an answer to a client's first ask that counts for its second, which was refused."""
    async def work() -> None:
        async with OwnerOverSocket(tmp_path) as remote:
            await remote.hand_in(message("m0"))
            disconnected = RemoteAdmission(remote.client)
            disconnected.take(message("m1"))
            disconnected.durable().cancel()
            disconnected.withdraw("m1")
            remote.owner.no_room = False
            again = asyncio.create_task(remote.hand_in(message("m1")))
            await remote.owner.until(lambda: remote.owner.withdrawn == ["m1"])
            remote.owner.is_full = True
            try:
                admission = await again
            except NoRoomError:
                assert "m1" not in remote.owner.taken
            else:
                admission.begin("m1")
                await remote.owner.until(lambda: remote.owner.begun == ["m1"])
    run(work())


def test_ask_that_the_owner_does_not_answer_in_time_is_withdrawn(tmp_path: Path) -> None:
    async def work() -> None:
        async with OwnerOverSocket(tmp_path) as remote:
            remote.owner.syncs = True
            with pytest.raises(UnansweredError, match="did not answer"):
                await remote.hand_in(message("m1"))
            await remote.owner.until(lambda: remote.owner.withdrawn == ["m1"])
            assert remote.owner.begun == []
    run(work())


# --- a courier with worker processes ---
