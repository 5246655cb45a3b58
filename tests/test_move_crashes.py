"""Moves with a crash of either courier or both before each event, and with messages and register answers that are lost,
late or duplicated. Guards against two couriers serving one part, lost messages, and calls made twice."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import pytest
from move_courier import MS
from move_world import END_US, START_US, World

from wheelstep.fleet.types import Ownership
from wheelstep.moves.giver import Giver
from wheelstep.moves.steps import Act, Commit
from wheelstep.moves.taker import Taker, TakerRequest
from wheelstep.moves.types import Move, Moved, Seal

DOWN_US = (50 * MS, 1_200 * MS)  # restart within the lease, and long after its end


def lose_seal_answer(number: int, message: object) -> str:
    """The taker's answers from the `Seal` on are lost for a while."""
    return "lost" if 5 < number < 20 and isinstance(message, Moved) else ""


def register_fault_for(fault: str, of: str) -> Callable[[str, int, str], str]:
    """A fault of `g`'s register requests for owner `of` (any if empty), for the first 600 ms of the move."""
    return lambda asker, now_us, owner: (
        fault if asker == "g" and of in owner and START_US < now_us < START_US + 600 * MS else "")


SCRIPTS: dict[str, dict[str, Any]] = {
    "nothing else": {},
    "the seal unheard": {"fault": lose_seal_answer},
    "a call too long": {"call_us": 90 * MS},
    "commit lost": {"register_fault": register_fault_for("lost", "t")},
    "commit late": {"register_fault": register_fault_for("late", "t")},
    "register unheard": {"register_fault": register_fault_for("unheard", "")},
}


def event_count(script: dict[str, Any]) -> int:
    """Number of events until `AFTER_US` after the end of the move."""
    world = World(**script).run()
    world.check_settled()
    assert len(world.ended) == 1
    return world.move_events


def run_checked(world: World, end_us: int = END_US) -> World:
    """Run the world and check its invariants. A message ends unclear only by a crash or a call beyond its bound."""
    world.run(end_us)
    world.check_settled()
    may = world.crash or world.call_us > world.limits.call_bound_us
    assert may or not world.unclear, "ended unclear for no reason"
    return world


def crash_before_each_event(script: dict[str, Any], who: str, **world: Any) -> int:
    last = event_count(script)
    for place in range(last):
        for down_us in DOWN_US:
            run_checked(World({place: who}, down_us, **script, **world))
    return last


@pytest.mark.parametrize("who", ["g", "t", "gt"])
@pytest.mark.parametrize("name", SCRIPTS)
def test_a_move_with_a_crash_before_any_event_keeps_one_owner_and_all_messages(name: str, who: str) -> None:
    assert crash_before_each_event(SCRIPTS[name], who) > 40


def test_each_script_without_a_crash_ends_as_expected() -> None:
    ends = {name: World(**script).run().ended[0].done for name, script in SCRIPTS.items()}
    assert ends == {"nothing else": True, "the seal unheard": False, "a call too long": True, "commit lost": False,
                    "commit late": False, "register unheard": True}


@pytest.mark.parametrize("fault", ["lost", "dup", "late"])
def test_any_message_lost_duplicated_or_late_keeps_the_invariants(fault: str) -> None:
    for number in range(World().run().messages):
        script = {"fault": lambda place, message, number=number: fault if place == number else ""}
        run_checked(World(**script))
        for place in range(0, event_count(script), 7):
            run_checked(World({place: "gt"[number % 2]}, DOWN_US[place % 2], **script))


@pytest.mark.parametrize("who", ["g", "t", "gt"])
def test_a_register_lost_for_longer_than_a_lease_keeps_the_invariants(who: str) -> None:
    for since_us in range(0, 80 * MS, 2 * MS):
        def cut(asker: str, now_us: int, owner: str, since_us: int = since_us) -> str:
            return "lost" if asker in who and since_us <= now_us < since_us + 1_500 * MS else ""
        run_checked(World(register_fault=cut))


def test_random_crashes_and_faults_keep_the_invariants() -> None:
    for seed in range(200):
        draw = random.Random(seed)
        messages = {draw.randrange(16): draw.choice(["lost", "dup", "late"]) for _ in range(3)}
        asked = {draw.randrange(14): draw.choice(["lost", "unheard", "late"]) for _ in range(draw.randrange(4))}
        count = iter(range(10**6))
        crash = {draw.randrange(160): draw.choice(["g", "t", "gt"]) for _ in range(draw.randrange(4))}
        world = World(crash, draw.choice(DOWN_US), lambda number, message, messages=messages: messages.get(number, ""),
                      lambda asker, now_us, owner, asked=asked, count=count: asked.get(next(count), ""),
                      call_us=draw.choice([2, 6, 30, 90]) * MS)
        try:
            run_checked(world, 9_000 * MS)  # long enough for three long crashes in sequence
        except AssertionError as error:
            raise AssertionError(f"seed {seed}: {error}") from error


# --- faulty variants, each of which must be detected ---

class ReopensAfterSeal(Giver):
    """Reopens the part under the old epoch although the taker may have a whole copy."""

    def _begin_undo(self, now_us: int, why: str) -> list[Act]:
        self._content.open(self.part, self.epoch)
        return self._end_undone(why)


class DropsAtSeal(Giver):
    """Drops the part before the register has named the taker."""

    def handle_answer(self, now_us: int, request: Move, moved: Moved | None) -> list[Act]:
        acts = super().handle_answer(now_us, request, moved)
        if any(isinstance(act, Commit) for act in acts):
            self._content.drop(self.part)
        return acts


class IgnoresCalls(Giver):
    """Does not wait for calls under way."""

    def _calls_done(self, now_us: int) -> bool:
        return True


class SkipsTail(Giver):
    """Discards the pieces that changed before the part was shut."""

    def _close(self, now_us: int) -> list[Act]:
        self._content.changed(self.part)
        return super()._close(now_us)


class AnswersBeforeSaving(Taker):
    """Confirms the `Seal` before its records are written; they are written with the next register news."""

    _owed: list[bytes] = []

    def handle_request(self, now_us: int, sender: str, request: TakerRequest,
                       owner: Ownership | None) -> tuple[Moved, list[bytes]]:
        moved, records = super().handle_request(now_us, sender, request, owner)
        if isinstance(request, Seal):
            self._owed = records
            return moved, []
        return moved, records

    def observe_holding(self, part: int, epoch: int, owner: str) -> list[bytes]:
        records = super().observe_holding(part, epoch, owner)
        owed, self._owed = self._owed, []
        return owed + records


class ForgetsWhenNamed(Taker):
    """Drops a whole copy at any later epoch, even if the register names this courier."""

    def observe_holding(self, part: int, epoch: int, owner: str) -> list[bytes]:
        records = super().observe_holding(part, epoch, owner)
        return records + (
            self._forget(part) if self.sealed_epoch(part) is not None and epoch > self.sealed_epoch(part) else [])


@pytest.mark.parametrize(("script", "broken", "seen"), [
    ("the seal unheard", {"giver_class": ReopensAfterSeal}, "t opens 2 at 6, the channel stood at"),
    ("commit lost", {"giver_class": DropsAtSeal}, "g opens 2 at 1, the channel stood at"),
    ("nothing else", {"giver_class": IgnoresCalls}, "ended unclear for no reason"),
    ("nothing else", {"giver_class": SkipsTail}, "ended unclear for no reason"),
    ("nothing else", {"taker_class": AnswersBeforeSaving}, "t opens 3 at 1, the channel stood at"),
    ("nothing else", {"taker_class": ForgetsWhenNamed}, "t opens 3 at 1, the channel stood at"),
])
def test_a_faulty_giver_or_taker_is_detected(script: str, broken: dict[str, Any], seen: str) -> None:
    found = set()
    for place in range(event_count(SCRIPTS[script])):
        for who in ("", "g", "t", "gt"):
            for down_us in DOWN_US:
                try:
                    run_checked(World({place: who} if who else {}, down_us, **SCRIPTS[script], **broken))
                except AssertionError as error:
                    found.add(str(error))
                    if seen in str(error):
                        return
    pytest.fail(f"not caught as {seen!r}, but as {found}")
