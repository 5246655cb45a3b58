"""Invalid forwarded frames end the connection, and no message of them is taken."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from forwarding_world import ForwardingPair, MemoryLink, OwnerAdmission, message
from loopback import run

from wheelstep.courier.admission import UnansweredError
from wheelstep.forwarding.client import AskOutcome
from wheelstep.forwarding.server import ForwardServer


@pytest.mark.parametrize("head", [
    {}, {"n": 0}, {"is": "taken"}, {"n": 0, "is": "burnt"}, {"n": "0", "is": "taken"}, {"n": True, "is": "taken"},
    {"n": -1, "is": "taken"}, {"n": 1, "is": "taken"}, {"n": 0, "is": "full", "why": 7}, {"n": 0, "is": ["taken"]}])
def test_invalid_answer_ends_the_connection(head: dict[str, Any]) -> None:
    async def work() -> None:
        async with ForwardingPair("memory") as pair:
            pair.owner.syncs = True
            remote, answer = pair.ask(message("m1"))
            await pair.owner.until(lambda: len(pair.owner.waits) == 1)
            pair.links[0].send(head)
            pair.links[0].send({"n": 0, "is": "taken", "why": ""})  # after the invalid one, so ignored
            with pytest.raises(UnansweredError):
                await answer
            await pair.owner.until(lambda: pair.owner.withdrawn == ["m1"])
            assert (pair.client.invalid_answers.total() == 1 and remote.outcome is AskOutcome.SILENT
                    and not pair.links[0].open)
    run(work())


ASK = {"do": "ask", "n": 5, "id": "x", "class": "once", "dest": 7, "deadline": 1, "key": None, "token": None,
       "again": False}


@pytest.mark.parametrize("head", [
    {}, {"do": "ask"}, {"do": "burn", "n": 5}, {**ASK, "n": -1}, {**ASK, "n": 2}, {**ASK, "n": "5"}, {**ASK, "id": ""},
    {**ASK, "id": 7}, {**ASK, "id": "x" * 300}, {**ASK, "dest": "7"}, {**ASK, "dest": True}, {**ASK, "dest": 1 << 70},
    {**ASK, "deadline": 1.5}, {**ASK, "key": 7}, {**ASK, "token": ["t"]}, {**ASK, "again": 1}, {**ASK, "class": None},
    {"do": "begin"}, {"do": "begin", "n": 5}, {"do": "withdraw", "n": 5}, {"do": "begin", "n": 2}])
def test_invalid_ask_ends_the_connection_and_is_not_taken(head: dict[str, Any]) -> None:
    """When the invalid frame arrives, ask 0 was begun, 1 is answered and 2 waits for its sync."""
    async def work() -> None:
        owner, end, other = OwnerAdmission(), MemoryLink(), MemoryLink()
        end.other, other.other, other.on_frame = other, end, lambda *_: None
        end.on_end = other.on_end = lambda: None
        server = ForwardServer(lambda one: owner)
        server.attach(end)
        for number in range(3):
            owner.syncs = number == 2
            server.on_frame({**ASK, "n": number, "id": f"m{number}"}, b"")
        server.on_frame({"do": "begin", "n": 0}, b"")
        await owner.until(lambda: len(owner.waits) == 1)
        server.on_frame(head, b"")
        assert server.invalid_frames.total() == 1 and not end.open
        assert owner.begun == ["m0", "m1"] and owner.withdrawn == ["m2"] and sorted(owner.taken) == ["m0", "m1"]
        server.on_frame(ASK, b"")  # ignored after the end
        server.on_end()
        assert sorted(owner.taken) == ["m0", "m1"] and owner.begun == ["m0", "m1"]
    run(work())


def test_ask_beyond_the_bound_of_taken_messages_is_answered_full() -> None:
    async def work() -> None:
        owner, end, other = OwnerAdmission(), MemoryLink(), MemoryLink()
        end.other, other.other, answers = other, end, list[str]()
        other.on_frame = lambda head, body: answers.append(head["is"])
        server = ForwardServer(lambda one: owner, max_pending=2)
        server.attach(end)
        for number in range(3):
            server.on_frame({**ASK, "n": number, "id": f"m{number}"}, b"")
        server.on_frame({"do": "begin", "n": 0}, b"")
        server.on_frame({**ASK, "n": 3, "id": "m3"}, b"")
        await asyncio.sleep(0)
        assert answers == ["taken", "taken", "full", "taken"] and sorted(owner.taken) == ["m0", "m1", "m3"]
    run(work())
