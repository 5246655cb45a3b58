"""A move under crashes of either courier or both before every event, and under messages and register answers that are
lost, late or doubled: whatever happens, one owner serves, with everything it owes, and nothing is done twice."""

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
from wheelstep.moves.taker import Ask, Taker
from wheelstep.moves.types import Move, Moved, Seal

DOWN_US = (50 * MS, 1_200 * MS)  # back within the lease, and long after it


def seal_unheard(number: int, message: object) -> str:
    """The taker is silent from the `Seal` on, for a while."""
    return "lost" if 5 < number < 20 and isinstance(message, Moved) else ""


def register(fault: str, of: str) -> Callable[[str, int, str], str]:
    """What `g` asks of the register for `of` (for anybody, where empty) goes wrong for half a second of the move."""
    return lambda asker, now_us, owner: (
        fault if asker == "g" and of in owner and START_US < now_us < START_US + 600 * MS else "")


SCRIPTS: dict[str, dict[str, Any]] = {
    "nothing else": {},
    "the seal unheard": {"fault": seal_unheard},
    "a call too long": {"call_us": 90 * MS},
    "commit lost": {"register_fault": register("lost", "t")},
    "commit late": {"register_fault": register("late", "t")},
    "register unheard": {"register_fault": register("unheard", "")},
}


def points(script: dict[str, Any]) -> int:
    """How many events there are until some time after the move is over."""
    world = World(**script).run()
    world.settled()
    assert len(world.ended) == 1
    return world.move_events


def check(world: World, end_us: int = END_US) -> World:
    """Play it and hold it to what has to hold. A message may end unclear only by a crash or a call beyond its bound."""
    world.run(end_us)
    world.settled()
    may = world.crash or world.call_us > world.limits.call_bound_us
    assert may or not world.unclear, "ended unclear for no reason"
    return world


def crash_everywhere(script: dict[str, Any], who: str, **world: Any) -> int:
    last = points(script)
    for place in range(last):
        for down_us in DOWN_US:
            check(World({place: who}, down_us, **script, **world))
    return last


@pytest.mark.parametrize("who", ["g", "t", "gt"])
@pytest.mark.parametrize("name", SCRIPTS)
def test_a_crash_before_every_event(name: str, who: str) -> None:
    assert crash_everywhere(SCRIPTS[name], who) > 40


def test_the_scripts_end_as_they_should() -> None:
    ends = {name: World(**script).run().ended[0].done for name, script in SCRIPTS.items()}
    assert ends == {"nothing else": True, "the seal unheard": False, "a call too long": True, "commit lost": False,
                    "commit late": False, "register unheard": True}


@pytest.mark.parametrize("fault", ["lost", "dup", "late"])
def test_each_message_lost_doubled_or_late_with_and_without_a_crash(fault: str) -> None:
    for number in range(World().run().messages):
        script = {"fault": lambda place, message, number=number: fault if place == number else ""}
        check(World(**script))
        for place in range(0, points(script), 7):
            check(World({place: "gt"[number % 2]}, DOWN_US[place % 2], **script))


@pytest.mark.parametrize("who", ["g", "t", "gt"])
def test_no_register_for_longer_than_a_lease_from_any_moment(who: str) -> None:
    for since_us in range(0, 80 * MS, 2 * MS):
        def cut(asker: str, now_us: int, owner: str, since_us: int = since_us) -> str:
            return "lost" if asker in who and since_us <= now_us < since_us + 1_500 * MS else ""
        check(World(register_fault=cut))


def test_faults_at_random() -> None:
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
            check(world, 9_000 * MS)  # three long crashes one after another
        except AssertionError as error:
            raise AssertionError(f"seed {seed}: {error}") from error


# --- broken ones, each of which has to be caught ---

class ReopensAfterSeal(Giver):
    """Serves on under the old epoch although the taker may have a whole copy."""

    def _undo(self, now_us: int, why: str) -> list[Act]:
        self._content.open(self.part, self.epoch)
        return self._off(why)


class DropsAtSeal(Giver):
    """Does not wait for the register."""

    def answered(self, now_us: int, ask: Move, moved: Moved | None) -> list[Act]:
        acts = super().answered(now_us, ask, moved)
        if any(isinstance(act, Commit) for act in acts):
            self._content.drop(self.part)
        return acts


class IgnoresCalls(Giver):
    """Moves with a call out as if there were none."""

    def _quiet(self, now_us: int) -> bool:
        return True


class SkipsTail(Giver):
    """Thinks that nothing has changed once it is shut."""

    def _close(self, now_us: int) -> list[Act]:
        self._content.changed(self.part)
        return super()._close(now_us)


class AnswersBeforeSaving(Taker):
    """Says that the `Seal` is safe, and writes it with the next thing that it hears."""

    _owed: list[bytes] = []

    def heard(self, now_us: int, sender: str, ask: Ask, owner: Ownership | None) -> tuple[Moved, list[bytes]]:
        moved, records = super().heard(now_us, sender, ask, owner)
        if isinstance(ask, Seal):
            self._owed = records
            return moved, []
        return moved, records

    def passed(self, part: int, epoch: int, owner: str) -> list[bytes]:
        records = super().passed(part, epoch, owner)
        owed, self._owed = self._owed, []
        return owed + records


class ForgetsWhenNamed(Taker):
    """Lets go of a whole copy when the register has passed on, though it is to this courier."""

    def passed(self, part: int, epoch: int, owner: str) -> list[bytes]:
        records = super().passed(part, epoch, owner)
        return records + (self._forget(part) if self.sealed(part) is not None and epoch > self.sealed(part) else [])


@pytest.mark.parametrize(("script", "broken", "seen"), [
    ("the seal unheard", {"giver_class": ReopensAfterSeal}, "t opens 2 at 6, the channel stood at"),
    ("commit lost", {"giver_class": DropsAtSeal}, "g opens 2 at 1, the channel stood at"),
    ("nothing else", {"giver_class": IgnoresCalls}, "ended unclear for no reason"),
    ("nothing else", {"giver_class": SkipsTail}, "ended unclear for no reason"),
    ("nothing else", {"taker_class": AnswersBeforeSaving}, "t opens 3 at 1, the channel stood at"),
    ("nothing else", {"taker_class": ForgetsWhenNamed}, "t opens 3 at 1, the channel stood at"),
])
def test_a_broken_one_is_caught(script: str, broken: dict[str, Any], seen: str) -> None:
    told = set()
    for place in range(points(SCRIPTS[script])):
        for who in ("", "g", "t", "gt"):
            for down_us in DOWN_US:
                try:
                    check(World({place: who} if who else {}, down_us, **SCRIPTS[script], **broken))
                except AssertionError as error:
                    told.add(str(error))
                    if seen in str(error):
                        return
    pytest.fail(f"not caught as {seen!r}, but as {told}")
