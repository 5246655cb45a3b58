"""Settings that change under load: which files are accepted, and which class rules apply."""

from __future__ import annotations

import copy
import json
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from helpers import KEYED, SAFE, UNSAFE, S, SenderDriver, final_answers, sent_messages
from hypothesis import given
from hypothesis import strategies as st
from loopback import SETTINGS, Call, Reply, Scene, run

from wheelstep import interface as api
from wheelstep.interface import Effect, MessageClass, Outcome
from wheelstep.renewal.classes import ClassTable, stricter_rules, transitional_classes
from wheelstep.renewal.files import RenewalError, check

FILE = {"name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "limits": {"disk_mb": 3},
        "settings": SETTINGS, "known": {"seq": 1, "whole": True, "hosts": []}}


def changed(where: str, value: Any) -> dict[str, Any]:
    """Return the file with one value changed; None removes it."""
    new = copy.deepcopy(FILE)
    *path, last = [int(part) if part.isdigit() else part for part in where.split(".")]
    inside: Any = new
    for part in path:
        inside = inside[part]
    if value is None:
        del inside[last]
    else:
        inside[last] = value
    return new


@pytest.mark.parametrize(("where", "value", "said"), [
    ("discovery", None, "discovery: missing"),
    ("settings.caps", None, "settings.caps: missing"),
    ("settings.caps", 5, "settings.caps: 5; expected a table"),
    ("settings.caps.most_tries", None, "settings.caps.most_tries: missing"),
    ("settings.caps.most_tries", 0, "settings.caps.most_tries: 0; expected a positive number"),
    ("settings.caps.most_tries", "many", "settings.caps.most_tries: 'many'; expected a positive number"),
    ("settings.services", [], "settings.services: empty"),
    ("settings.services.1.effect", None, "settings.services[1].effect: missing"),
    ("settings.services.0.deadline_us", -1, "settings.services[0].deadline_us: -1; expected a positive number"),
    ("settings.services.0.deadline_us", True, "settings.services[0].deadline_us: True; expected a positive number"),
    ("settings.services.0.deadline_us", float("nan"), "settings.services[0].deadline_us: nan; expected"),
    ("settings.services.1.name", "ordered", "settings.services[1].name: 'ordered'; expected a unique, non-empty name"),
])
def test_a_truncated_or_invalid_file_is_rejected(where: str, value: Any, said: str) -> None:
    with pytest.raises(RenewalError) as caught:
        check(changed(where, value), FILE)
    assert str(caught.value).startswith(said)


def test_a_file_with_another_class_and_other_effects_is_accepted() -> None:
    new = copy.deepcopy(FILE)
    services: list[dict[str, Any]] = new["settings"]["services"]
    services[1]["effect"] = "repeatable"
    services.append({**services[1], "name": "new"})
    del services[0]["by_arrival"]
    check(new, FILE)


CLASSES = (SAFE, KEYED, UNSAFE, replace(SAFE, most_attempts=3), replace(UNSAFE, promise_us=S))


@given(st.data())
def test_every_message_stays_under_the_rules_that_it_was_taken_on_with(data: st.DataObject) -> None:
    """Any sequence of changes and restarts, after which sequence numbers start lower."""
    names = ("a", "b", "c")

    def classes() -> dict[str, MessageClass]:
        chosen = data.draw(st.sets(st.sampled_from(names), min_size=1))
        return {name: data.draw(st.sampled_from(CLASSES)) for name in names if name in chosen}
    now = classes()
    table = ClassTable(now)
    held: dict[int, tuple[str, MessageClass]] = {}  # sequence number -> class name, rules
    seq = 1
    for _ in range(data.draw(st.integers(1, 12))):
        match data.draw(st.sampled_from(("take", "take", "end", "renew", "restart"))):
            case "take":
                name = data.draw(st.sampled_from(sorted(now)))
                held[seq] = name, now[name]
                seq += 1
            case "end" if held:
                del held[data.draw(st.sampled_from(sorted(held)))]
            case "renew":
                now = classes()
                table.renew(now, seq, [(name, number) for number, (name, _) in held.items()])
            case "restart":
                seq = 1 + max(held, default=0)
                stored = json.loads(json.dumps(table.store()))
                if data.draw(st.booleans()):
                    now = classes()  # the file has changed meanwhile
                known = [(name, number) for number, (name, _) in held.items()]
                table = ClassTable.restored(stored, known)
                table.renew(now, seq, known)
        for number, (name, rules) in held.items():
            place = table.place(name, number)
            assert place is not None and table.places[place] == rules
        assert {name: table.current(name) for name in table.names} == now
        assert len(table.places) <= len(held) + 2 * len(names)


@given(st.sampled_from(CLASSES), st.sampled_from(CLASSES))
def test_during_a_class_change_neither_rules_are_violated(one: MessageClass, other: MessageClass) -> None:
    both = stricter_rules(one, other)
    order = (Effect.SAFE, Effect.KEYED, Effect.UNSAFE)
    assert order.index(both.effect) == max(order.index(one.effect), order.index(other.effect))
    assert all((both.most_attempts or 99) <= (cls.most_attempts or 99) for cls in (one, other))
    assert all(both.key_ttl_us <= cls.key_ttl_us for cls in (one, other) if cls.effect is Effect.KEYED is both.effect)
    assert transitional_classes({"x": one}, {"x": other, "y": one})["y"] == one


def test_the_decision_module_keeps_a_held_message_under_its_old_class() -> None:
    drive = SenderDriver()
    for name in ("old", "new"):
        if name == "new":
            drive.at(drive.now, api.ClassesChanged((SAFE, KEYED, replace(SAFE, most_attempts=1))))
        drive.submit(name, cls=2)
    drive.now += S
    drive.end("old", Outcome.RESET)
    drive.end("new", Outcome.RESET)
    assert final_answers(drive.actions) == [("Fail", "old"), ("Refuse", "new")]
    assert len(sent_messages(drive.actions)) == 2


def test_sighup_adds_a_class_changes_an_effect_and_removes_a_class(tmp_path: Path) -> None:
    """Regression: a message of a class that SIGHUP had added was answered 400."""
    async def scene() -> None:
        async with Scene(tmp_path, console=True) as s:
            async def error(call: Call) -> Reply:
                return 500, {}, b""
            s.endpoint.reply = error
            settings = json.loads(json.dumps(SETTINGS))
            assert await s.courier.hand_in("early", "late-class") == 400
            settings["services"].append({**settings["services"][1], "name": "late-class"})
            config = {**json.loads(s.courier.config(s.platform)), "settings": settings}
            s.courier.renew(json.dumps(config))
            await s.courier.wait_log("classes from now on: ordered, once, late-class")
            assert await s.courier.hand_in("m1", "late-class") == 202
            assert (await s.platform.wait_notice("m1"))["outcome"] == "given_up"  # it may have run: one attempt only
            s.courier.renew('{"cut": off')
            await s.courier.wait_log("the new configuration is not used")
            s.courier.renew(json.dumps({**config, "settings": {**settings, "services": settings["services"][:1]}}))
            await s.courier.wait_log("classes from now on: ordered", 2)
            assert await s.courier.hand_in("m2", "late-class") == 400
            settings["services"][1]["effect"] = "repeatable"
            s.courier.renew(json.dumps(config))
            await s.courier.wait_log("classes from now on", 3)
            assert await s.courier.hand_in("m3", "once") == 202
            await s.endpoint.wait(3)  # attempted again, which m1 was not
            figures = await s.courier.figures()
            assert (figures["loads"], figures["load_errors"]) == (3, 1)
    run(scene())


def test_a_class_that_was_dropped_is_known_to_the_next_process(tmp_path: Path) -> None:
    """Regression: at a restart, a message of a class that was no longer in the file failed although it had not run."""
    async def scene() -> None:
        async with Scene(tmp_path) as s:
            async def hang(call: Call) -> None:
                return None
            s.endpoint.reply = hang
            for number in range(4):  # fills the window, so that the rest waits
                assert await s.courier.hand_in(f"out{number}", "ordered", key=f"k{number}") == 202
            assert await s.courier.hand_in("m", "once") == 202
            settings = {**SETTINGS, "services": SETTINGS["services"][:1]}
            config = {**json.loads(s.courier.config(s.platform)), "settings": settings}
            s.courier.renew(json.dumps(config))
            await s.courier.wait_log("classes from now on: ordered")
            await s.courier.kill()
            s.courier.settings = settings
            seen = len(s.endpoint.calls)
            del s.endpoint.reply
            s.endpoint.reply = s.endpoint._fine
            await s.courier.start()
            await s.endpoint.wait(seen + 1)
            assert not any("not known any more" in line for line in s.courier.log)
    run(scene())
