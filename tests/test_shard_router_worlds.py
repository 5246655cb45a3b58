"""Worlds of routers under a checker, and broken routers that it catches."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from router_world import play

from wheelstep.shards.router import Answer, AsGuest, Ask, Handed, Here, Router, Sight, WaitOpen, Way


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.integers(0, 1 << 32))
def test_rules_hold_whatever_is_seen_answered_and_lost(seed: int) -> None:
    play(seed)


class ForgetsDoubts(Router):
    def answered(self, now_us: int, handed: Handed, courier: str, answer: Answer, sight: Sight) -> Way | None:
        way = super().answered(now_us, handed, courier, answer, sight)
        if answer is Answer.SILENT:
            self._asks.pop(handed.id)
        return way


class TakesWhatMayBeTaken(Router):
    def answered(self, now_us: int, handed: Handed, courier: str, answer: Answer, sight: Sight) -> Way | None:
        way = super().answered(now_us, handed, courier, answer, sight)
        return Here(True) if answer is Answer.SILENT else way


class ForgetsWhoTook(Router):
    def _keep_taken(self, handed: Handed, courier: str) -> None:
        pass


class ForwardsTwice(Router):
    def answered(self, now_us: int, handed: Handed, courier: str, answer: Answer, sight: Sight) -> Way | None:
        way = super().answered(now_us, handed, courier, answer, sight)
        return Ask(sight.home) if answer is Answer.AWAY and sight.home not in (None, "a", courier) else way


class PassesOnWhatItIsAsked(Router):
    def asked(self, now_us: int, handed: Handed, sight: Sight) -> Any:
        way = super().asked(now_us, handed, sight)
        return Ask(sight.home) if way is None and sight.home else way


class AsksAgainAfterWaiting(Router):
    def _stay(self, now_us: int, handed: Handed, way: WaitOpen | AsGuest) -> Way:
        return way


class ForgetsKeys(Router):
    def __init__(self, *given: Any) -> None:
        super().__init__(*given)
        self._passed.holder = lambda now_us, message: None  # type: ignore[method-assign]


class TrustsAwayAfterSilence(Router):
    def __init__(self, *given: Any) -> None:
        super().__init__(*given)
        answered = self._passed.answered
        self._passed.answered = lambda *given, **told: answered(  # type: ignore[method-assign]
            *given, **{**told, "silent": False})


class ForgetsThatKeysWereTooMany(Router):
    def __init__(self, *given: Any) -> None:
        super().__init__(*given)
        self._passed.overfull = lambda now_us: False  # type: ignore[method-assign]


class HasNoBounds(Router):
    def __init__(self, me: str, settle_us: int, most_doubts: int, *given: Any) -> None:
        super().__init__(me, settle_us, 1 << 30, *given)


class RemembersAllKeys(Router):
    def __init__(self, me: str, settle_us: int, most_doubts: int, most_passed: int, *given: Any) -> None:
        super().__init__(me, settle_us, most_doubts, 1 << 30, *given)


@pytest.mark.parametrize(("kind", "said"), [
    (ForgetsDoubts, "taken at two couriers"), (TakesWhatMayBeTaken, "taken at two couriers"),
    (ForgetsWhoTook, "taken at two couriers"), (ForwardsTwice, "asked twice"),
    (PassesOnWhatItIsAsked, "passed on by one that was asked"), (AsksAgainAfterWaiting, "asked twice"),
    (ForgetsKeys, "a key is open at two"), (TrustsAwayAfterSilence, "a key is open at two"),
    (ForgetsThatKeysWereTooMany, "a key is open at two"), (HasNoBounds, "too many asks"),
    (RemembersAllKeys, "too many remembered")])
def test_the_checker_catches_a_router_that_breaks_a_rule(kind: Callable[..., Router], said: str) -> None:
    found: set[str] = set()
    for seed in range(400):
        try:
            play(seed, kind)
        except AssertionError as error:
            found.add(str(error))
            if any(said in text for text in found):
                return
    raise AssertionError(f"not caught: {kind}, {found}")
