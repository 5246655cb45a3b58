"""Settings and exclusions over restarts of a courier with workers, each share with a journal of its own."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

from helpers import KEYED, SAFE, UNSAFE
from hypothesis import given
from hypothesis import strategies as st
from loopback import ALONE, Call, Endpoint, Reply, Scene, host, run
from test_workers import operator
from test_workers_forwarding import message

from wheelstep.interface import MessageClass
from wheelstep.journal import Journal
from wheelstep.renewal.classes import ClassTable
from wheelstep.renewal.slots import ClassSlots
from wheelstep.workers.journals import Journals
from wheelstep.workers.ownership import share_of

CLASSES = (SAFE, KEYED, UNSAFE)
SHARES = 4


def with_effect(effect: str) -> dict[str, Any]:
    ordered, once = ALONE["services"]
    return {**ALONE, "services": [ordered, {**once, "effect": effect}]}


def test_messages_keep_their_rules_over_a_restart_with_workers(tmp_path: Path) -> None:
    """Guards against a fee that is called again, as its class was loosened before a restart (FINDINGS 39). Three
    destinations, so that several shares of a worker have messages with equal sequence numbers."""
    async def scene() -> None:
        s = Scene(tmp_path, operator(tmp_path, 2, SHARES), settings=with_effect("once"))
        others = [Endpoint(), Endpoint()]
        calls: list[str] = []

        async def hang(call: Call) -> Reply | None:
            calls.append(call.headers["x-request-id"])
            return None
        await s.platform.start()
        destinations = [7, *(next(number for number in range(100, 200) if share_of(number, SHARES) == share)
                             for share in range(SHARES) if share != share_of(7, SHARES))][:3]
        endpoints = [s.endpoint, *others]
        for endpoint in endpoints:
            endpoint.reply = hang
        s.platform.list(*[host(f"e{number}", await endpoint.start(), destination)
                          for number, (endpoint, destination) in enumerate(zip(endpoints, destinations, strict=True))])
        await s.courier.start()
        names = [f"fee{destination}" for destination in destinations]
        for name, destination in zip(names, destinations, strict=True):
            assert await s.courier.hand_in(name, X_Consignee=f"dest={destination}") == 202
        async with asyncio.timeout(20):
            while len(calls) < len(names):
                await asyncio.sleep(0.01)
        await s.courier.kill()
        s.courier.settings = with_effect("repeatable")
        await s.courier.start()
        for name in names:
            assert (await s.platform.wait_notice(name))["outcome"] == "given_up"
        assert sorted(calls) == sorted(names)
        await s.courier.kill()
        await s.platform.stop()
    run(scene())


def test_marks_that_name_no_endpoint_are_kept_by_every_share(tmp_path: Path) -> None:
    """Guards against an exclusion or classes that are gone after a restart (FINDINGS 28)."""
    def opened() -> Journals:
        journals = Journals(lambda destination: destination % 2, lambda endpoint: None)
        for share in range(2):
            (tmp_path / str(share)).mkdir(exist_ok=True)
            journals.add(share, Journal(tmp_path / str(share), 3_000_000))
        return journals
    journals = opened()
    journals.mark(":out e0", 1)
    journals.mark(":out e1", 1)
    journals.mark(":out e1", None)
    journals.mark("unknown", 1)  # an endpoint of no share that is open here
    journals.mark_partition(0, ":classes", "of share 0")
    assert journals.partition_of(message("m", 3)) == 1
    journals.close()
    again = opened()
    assert again.marks == {":out e0": 1, ":classes": "of share 0"}
    again.close()
    for share, marks in enumerate(({":out e0": 1, ":classes": "of share 0"}, {":out e0": 1})):
        journal = Journal(tmp_path / str(share), 3_000_000)
        assert journal.marks == marks
        journal.close()


@given(st.data())
def test_a_slot_keeps_its_meaning_while_any_table_uses_it(data: st.DataObject) -> None:
    """Any sequence of changes to several tables: no held message ever gets another class, and slots are used again."""
    names = ("a", "b")

    def classes() -> dict[str, MessageClass]:
        return {name: data.draw(st.sampled_from(CLASSES)) for name in names}
    present = classes()
    tables, slots = [ClassTable(present), ClassTable(present)], ClassSlots(present)
    held: dict[tuple[int, str, int], int] = {}  # table, class, sequence number -> slot
    listed = slots.update(tables, present)
    for seq in range(1, data.draw(st.integers(1, 10))):
        number, name = data.draw(st.integers(0, 1)), data.draw(st.sampled_from(names))
        rules = tables[number].rules(name, seq)
        assert rules is not None
        held[number, name, seq] = slots.index(name, rules)
        for done in data.draw(st.sets(st.sampled_from(sorted(held)))):
            del held[done]
        present = classes()
        for at, table in enumerate(tables):
            table.renew(present, seq + 1, [(cls, taken) for index, cls, taken in held if index == at])
        kept = {key: listed[slot] for key, slot in held.items()}
        listed = slots.update(tables, present)
        for (at, cls, taken), slot in held.items():
            rules = tables[at].rules(cls, taken)
            assert rules == kept[at, cls, taken] == listed[slot] and rules is not None
            assert slots.index(cls, rules) == slot
        assert len(listed) <= len(names) * len(CLASSES)
