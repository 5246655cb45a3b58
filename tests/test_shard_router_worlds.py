"""Random worlds of routers under a checker, and deliberately broken routers that it must catch."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from router_world import play

from wheelstep.shards.router import (
    Answer,
    Ask,
    BeGuest,
    Decision,
    Request,
    Router,
    Take,
    View,
    Wait,
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.integers(0, 1 << 32))
def test_rules_hold_under_random_views_answers_and_losses(seed: int) -> None:
    """The rules are the assertions in `router_world`."""
    play(seed)


class ForgetsDoubts(Router):
    """Drops an unanswered ask."""

    def answered(self, now_us: int, request: Request, courier: str, answer: Answer, view: View) -> Decision | None:
        """Forgets the id."""
        decision = super().answered(now_us, request, courier, answer, view)
        if answer is Answer.SILENT:
            self._asks.pop(request.id)
        return decision


class TakesWhatMayBeTaken(Router):
    """Takes a message here after an unanswered ask."""

    def answered(self, now_us: int, request: Request, courier: str, answer: Answer, view: View) -> Decision | None:
        """Treats silence as a refusal."""
        decision = super().answered(now_us, request, courier, answer, view)
        return Take(True) if answer is Answer.SILENT else decision


class ForgetsWhoTook(Router):
    """Does not remember ids that were taken."""

    def _remember_taken(self, request: Request, courier: str) -> None:
        pass


class ForwardsTwice(Router):
    """Asks a second courier after `AWAY`."""

    def answered(self, now_us: int, request: Request, courier: str, answer: Answer, view: View) -> Decision | None:
        """Asks the home of the new view."""
        decision = super().answered(now_us, request, courier, answer, view)
        return Ask(view.home) if answer is Answer.AWAY and view.home not in (None, "a", courier) else decision


class PassesOnWhatItIsAsked(Router):
    """Passes a message on that another courier asked it to take."""

    def asked(self, now_us: int, request: Request, view: View) -> Any:
        """Asks its home in place of `AWAY`."""
        decision = super().asked(now_us, request, view)
        return Ask(view.home) if decision is None and view.home else decision


class AsksAgainAfterWaiting(Router):
    """Does not record that a message waits here."""

    def _wait_here(self, now_us: int, request: Request, decision: Wait | BeGuest) -> Decision:
        return decision


class ForgetsKeys(Router):
    """Never finds a key passed on."""

    def __init__(self, *given: Any) -> None:
        super().__init__(*given)
        self._passed.holder = lambda now_us, message: None  # type: ignore[method-assign]


class TrustsAwayAfterSilence(Router):
    """Releases a key on `AWAY` although an ask of it went unanswered."""

    def __init__(self, *given: Any) -> None:
        super().__init__(*given)
        answered = self._passed.answered
        self._passed.answered = lambda *given, **told: answered(  # type: ignore[method-assign]
            *given, **{**told, "silent": False})


class ForgetsThatKeysWereTooMany(Router):
    """Ignores that keys were passed on beyond the limit."""

    def __init__(self, *given: Any) -> None:
        super().__init__(*given)
        self._passed.overflowed = lambda now_us: False  # type: ignore[method-assign]


class HasNoBounds(Router):
    """Has no limit of asks."""

    def __init__(self, me: str, settle_us: int, max_doubts: int, *given: Any) -> None:
        super().__init__(me, settle_us, 1 << 30, *given)


class RemembersAllKeys(Router):
    """Has no limit of keys."""

    def __init__(self, me: str, settle_us: int, max_doubts: int, max_passed: int, *given: Any) -> None:
        super().__init__(me, settle_us, max_doubts, 1 << 30, *given)


@pytest.mark.parametrize(("kind", "said"), [
    (ForgetsDoubts, "taken at two couriers"), (TakesWhatMayBeTaken, "taken at two couriers"),
    (ForgetsWhoTook, "taken at two couriers"), (ForwardsTwice, "asked twice"),
    (PassesOnWhatItIsAsked, "passed on by one that was asked"), (AsksAgainAfterWaiting, "asked twice"),
    (ForgetsKeys, "a key is open at two"), (TrustsAwayAfterSilence, "a key is open at two"),
    (ForgetsThatKeysWereTooMany, "a key is open at two"), (HasNoBounds, "too many asks"),
    (RemembersAllKeys, "too many remembered")])
def test_the_checker_catches_a_router_that_breaks_a_rule(kind: Callable[..., Router], said: str) -> None:
    """Guards against a checker that no longer finds anything."""
    found: set[str] = set()
    for seed in range(400):
        try:
            play(seed, kind)
        except AssertionError as error:
            found.add(str(error))
            if any(said in text for text in found):
                return
    raise AssertionError(f"not caught: {kind}, {found}")
