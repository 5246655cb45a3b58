"""What operators do in a soak: settings that change, exclusions, new versions beside the old; and how it is judged."""

from __future__ import annotations

import asyncio
import random
from typing import Any, cast

import pytest
from test_judge import MS, S, Scene

from wheelstep.rehearsal.faults import Faults
from wheelstep.rehearsal.history import Effect, Excluded, Fate, HandIn, History, Life, Strange, Turn
from wheelstep.rehearsal.historyfile import dump, load
from wheelstep.rehearsal.judge import Rule
from wheelstep.rehearsal.planned import Fault
from wheelstep.rehearsal.soak.operators import Operators
from wheelstep.rehearsal.soak.plan import IN_PROCESS_FAULTS, SoakConfig, draw_plan
from wheelstep.rehearsal.soak.settings import CHANGING_CLASS, CLIENTS_KNOW_US, ChangingSettings, SettingsTimeline

GRACE_US = 300 * MS  # of a drain, with the sockets' slack


def excluded(*rows: tuple[int, bool]) -> Scene:
    return Scene().add(*(Excluded(at_us, "c0", "e0", out) for at_us, out in rows))


# --- the judge ---

def test_a_call_after_the_grace_of_an_exclusion_breaks_the_drain_rule() -> None:
    assert excluded((S, True)).hand_in("m", S).call("m", S + GRACE_US).broken() == set()
    assert excluded((S, True)).hand_in("m", S).call("m", S + GRACE_US + 1).broken() == {Rule.DRAINS}
    assert excluded((S, True)).hand_in("m", S).call("m", 2 * S, endpoint="e1").broken() == set()


def test_an_exclusion_holds_over_a_restart_and_until_one_inclusion() -> None:
    """One call back answers two calls out (DAYS, 'Endpoints out by hand')."""
    restarted = excluded((S, True)).add(Life(2 * S, "c0", Turn.KILLED), Life(3 * S, "c0", Turn.READY))
    assert restarted.hand_in("m", 3 * S).call("m", 3 * S + 100 * MS).broken() == {Rule.DRAINS}
    twice = excluded((S, True), (2 * S, True), (3 * S, False))
    assert twice.hand_in("m", 3 * S).call("m", 3 * S + 1).broken() == set()


def test_the_effect_that_its_client_meant_decides_whether_a_message_may_be_repeated() -> None:
    def repeated(cls: str, effect: Effect | None) -> set[Rule]:
        scene = Scene().hand_in("m", 0, cls).call("m", 10 * MS, Fate.FAILED).call("m", S)
        submission = cast(HandIn, scene.history.facts[0])
        scene.history.facts[0] = HandIn(submission.at_us, "c0", "m", 0, cls, 1, None, submission.deadline_us, effect)
        return scene.broken()
    assert repeated("pay", None) == repeated("hint", Effect.UNSAFE) == {Rule.TWICE}
    assert repeated("pay", Effect.SAFE) == repeated("hint", None) == set()


def test_exclusions_and_effects_are_kept_in_a_history_file() -> None:
    scene = excluded((S, True)).add(HandIn(0, "c0", "m", 0, "pay", 1, None, S, Effect.SAFE),
                                    HandIn(0, "c0", "n", 0, "pay", 1, None, S))
    assert load(dump(scene.history)).facts == scene.history.facts


# --- settings ---

def test_clients_mean_new_settings_only_a_while_after_sighup() -> None:
    timeline = SettingsTimeline()
    assert timeline.effect_of(CHANGING_CLASS, 5 * S) is None
    first = timeline.change(5 * S, random.Random(1))
    second = timeline.change(5 * S + 500 * MS, random.Random(1))
    assert first.effect is not second.effect
    known_us = 5 * S + CLIENTS_KNOW_US
    assert timeline.effect_of(CHANGING_CLASS, known_us - 1) is None
    assert timeline.effect_of(CHANGING_CLASS, known_us) is first.effect
    assert timeline.effect_of(CHANGING_CLASS, known_us + 500 * MS) is second.effect
    assert timeline.effect_of("safe", known_us) is None


def test_changed_settings_replace_only_what_changes() -> None:
    config = {"name": "c0", "settings": draw_plan(1, SoakConfig(couriers=2)).settings}
    assert ChangingSettings().applied(config) == config
    changed = ChangingSettings(Effect.SAFE, 4).applied(config)["settings"]
    differs = [new["name"] for new, old in zip(changed["services"], config["settings"]["services"], strict=True)
               if new != old]
    assert differs == [CHANGING_CLASS] and changed["caps"]["most_tries"] == 4


# --- operators ---

async def play_operator(replies: list[str], listed: set[str]) -> History:
    """Exclude e0 for a moment at a courier whose console gives these replies, then `+OK`."""
    history = History(Scene().history.figures)

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        line = (await reader.readline()).decode().strip()
        reply = replies.pop(0) if replies and line.startswith("exclude") else "+OK"
        writer.write(f"{reply}\n".encode())
        writer.close()
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    operators = Operators("c0", history, lambda: 0, lambda: [port], lambda: listed)
    await asyncio.wait_for(operators.exclude_for("e0", 0.3, random.Random(1)), 10)
    server.close()
    return history


@pytest.mark.parametrize(("replies", "listed", "facts"), [
    ([], {"e0"}, [Excluded(0, "c0", "e0", True), Excluded(0, "c0", "e0", False)]),
    (["-ERR no process", ""], {"e0"}, [Excluded(0, "c0", "e0", True), Excluded(0, "c0", "e0", False)]),
    (["-ERR no endpoint 'e0'"], set(), []),
    (["-ERR no endpoint 'e0'"], {"e0"}, [Strange(0, "c0", "e0", "\"-ERR no endpoint 'e0'\" to 'exclude' although "
                                                                "discovery lists it")])])
def test_an_exclusion_counts_from_the_consent_and_a_wrong_refusal_is_a_finding(
        replies: list[str], listed: set[str], facts: list[Any]) -> None:
    assert asyncio.run(play_operator(replies, listed)).facts == facts


# --- the plan ---

def test_new_versions_settings_operators_and_kills_meet_at_one_courier() -> None:
    """Guards against a soak that plays each of them alone, as the one that found no case of the review did."""
    met: set[frozenset[str]] = set()
    for seed in range(1, 9):
        faults = [fault for fault in draw_plan(seed, SoakConfig(couriers=6, length_s=8.0)).faults if fault.couriers]
        for upgrade in (fault for fault in faults if fault.kind == "upgrade"):
            near = {fault.kind for fault in faults if fault.couriers == upgrade.couriers
                    and abs(fault.at_us - upgrade.at_us) < 3 * S}
            met |= {frozenset(near & {"settings", "exclude", "kill"})}
    assert any("settings" in kinds for kinds in met) and any("exclude" in kinds for kinds in met)
    assert any({"settings", "kill"} <= kinds for kinds in met)


def test_the_old_process_of_an_upgrade_stays_for_up_to_two_seconds() -> None:
    overlaps = {fault.wait_us for seed in range(20) for fault in draw_plan(seed, SoakConfig()).faults
                if fault.kind == "upgrade"}
    assert max(overlaps) > 1_800 * MS and min(overlaps) < 200 * MS


@pytest.mark.parametrize("kind", sorted({*IN_PROCESS_FAULTS, "upgrade", "settings", "exclude", "reload", "signals"}))
def test_each_fault_of_a_courier_is_played_at_it(kind: str) -> None:
    """Guards against faults that are drawn and never played: `transfers`, `polls` and `opens` were passed over."""
    played: list[str] = []

    class Recorder:
        async def apply_fault(self, fault: Fault) -> None:
            played.append(fault.kind)

    async def play() -> None:
        async def at_once(at_us: int) -> None:
            pass
        tasks: list[asyncio.Task[None]] = []
        faults = Faults(cast(Any, None), [], cast(Any, [Recorder()]), cast(Any, None), at_once,
                        lambda work: tasks.append(asyncio.ensure_future(work)))
        await faults.play(Fault(kind, 0, 0, endpoints=("p0-0",) if kind == "exclude" else (), couriers=(0,)))
        await asyncio.gather(*tasks)
    asyncio.run(play())
    assert played == [kind]
