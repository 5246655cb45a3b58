"""Forwarded frames that no asker and no home sends: the connection ends, and nothing is taken over."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from forwarding_world import End, Home, World, message
from loopback import run

from wheelstep.courier.admission import UnansweredError
from wheelstep.forwarding.client import Ended
from wheelstep.forwarding.server import ForwardServer


@pytest.mark.parametrize("head", [
    {}, {"n": 0}, {"is": "taken"}, {"n": 0, "is": "burnt"}, {"n": "0", "is": "taken"}, {"n": True, "is": "taken"},
    {"n": -1, "is": "taken"}, {"n": 1, "is": "taken"}, {"n": 0, "is": "full", "why": 7}, {"n": 0, "is": ["taken"]}])
def test_no_answer_ends_the_connection(head: dict[str, Any]) -> None:
    async def work() -> None:
        async with World("memory") as s:
            s.home.syncs = True
            desk, answer = s.ask(message("m1"))
            await s.home.until(lambda: len(s.home.waits) == 1)
            s.links[0].send(head)
            s.links[0].send({"n": 0, "is": "taken", "why": ""})  # behind it: not heard
            with pytest.raises(UnansweredError):
                await answer
            await s.home.until(lambda: s.home.withdrawn == ["m1"])
            assert s.client.refused.total() == 1 and desk.ended is Ended.SILENT and not s.links[0].open
    run(work())


ASK = {"do": "ask", "n": 5, "id": "x", "class": "once", "dest": 7, "deadline": 1, "key": None, "token": None,
       "again": False}


@pytest.mark.parametrize("head", [
    {}, {"do": "ask"}, {"do": "burn", "n": 5}, {**ASK, "n": -1}, {**ASK, "n": 2}, {**ASK, "n": "5"}, {**ASK, "id": ""},
    {**ASK, "id": 7}, {**ASK, "id": "x" * 300}, {**ASK, "dest": "7"}, {**ASK, "dest": True}, {**ASK, "dest": 1 << 70},
    {**ASK, "deadline": 1.5}, {**ASK, "key": 7}, {**ASK, "token": ["t"]}, {**ASK, "again": 1}, {**ASK, "class": None},
    {"do": "begin"}, {"do": "begin", "n": 5}, {"do": "withdraw", "n": 5}, {"do": "begin", "n": 2}])
def test_no_ask_ends_the_connection_and_nothing_is_taken_over(head: dict[str, Any]) -> None:
    """Number 0 was begun, 1 is answered, 2 waits."""
    async def work() -> None:
        home, end, other = Home(), End(), End()
        end.other, other.other, other.heard = other, end, lambda *_: None
        end.lost = other.lost = lambda: None
        server = ForwardServer(lambda one: home)
        server.attach(end)
        for number in range(3):
            home.syncs = number == 2
            server.heard({**ASK, "n": number, "id": f"m{number}"}, b"")
        server.heard({"do": "begin", "n": 0}, b"")
        await home.until(lambda: len(home.waits) == 1)
        server.heard(head, b"")
        assert server.refused.total() == 1 and not end.open
        assert home.begun == ["m0", "m1"] and home.withdrawn == ["m2"] and sorted(home.taken) == ["m0", "m1"]
        server.heard(ASK, b"")  # not heard any more
        server.lost()
        assert sorted(home.taken) == ["m0", "m1"] and home.begun == ["m0", "m1"]
    run(work())


def test_what_is_taken_and_not_begun_is_bounded() -> None:
    async def work() -> None:
        home, end, other = Home(), End(), End()
        end.other, other.other, answers = other, end, list[str]()
        other.heard = lambda head, body: answers.append(head["is"])
        server = ForwardServer(lambda one: home, most=2)
        server.attach(end)
        for number in range(3):
            server.heard({**ASK, "n": number, "id": f"m{number}"}, b"")
        server.heard({"do": "begin", "n": 0}, b"")
        server.heard({**ASK, "n": 3, "id": "m3"}, b"")
        await asyncio.sleep(0)
        assert answers == ["taken", "taken", "full", "taken"] and sorted(home.taken) == ["m0", "m1", "m3"]
    run(work())
