"""Variants of the code under test with one deliberate fault each. The simulation must find each by its invariant."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from wheelstep.forwarding.client import ForwardClient
from wheelstep.forwarding.server import ForwardServer, Refusal
from wheelstep.journal import StoredMessage
from wheelstep.rehearsal.shard_world import check
from wheelstep.shards.forwarded_keys import ForwardedKeys
from wheelstep.shards.handoff import Handoff
from wheelstep.shards.hosting import Hosting, ShardPhase
from wheelstep.shards.list_client import ListClient
from wheelstep.shards.routed_admission import RoutedAdmission
from wheelstep.shards.router import Answer, Router
from wheelstep.shards.routing import Routing

Patch = tuple[type, str, Any]


def _forward_twice() -> list[Patch]:
    """A courier that is asked for a message and is not its home forwards it once more."""
    original_asked = Routing.asked

    def asked_again(self: Any, message: StoredMessage) -> Any:
        outcome = original_asked(self, message)
        is_away = isinstance(outcome, Refusal) and outcome.kind == "away"
        return RoutedAdmission(self._node.own_admission, self._route) if is_away else outcome
    return [(Routing, "asked", asked_again)]


def _accept_at_both() -> list[Patch]:
    """A home that does not answer counts as one that was not asked, and nothing is withdrawn there."""
    original_answered, original_tell = Router.answered, ForwardClient.tell

    def answered_not_asked(self: Any, now_us: int, handed: Any, courier: str, answer: Answer, sight: Any) -> Any:
        return original_answered(self, now_us, handed, courier,
                                 Answer.NOT_ASKED if answer is Answer.SILENT else answer, sight)

    def tell_without_withdraw(self: Any, action: str, admission: Any) -> None:
        if action != "withdraw":
            original_tell(self, action, admission)
    return [(Router, "answered", answered_not_asked), (ForwardClient, "tell", tell_without_withdraw)]


def _forget_accepted() -> list[Patch]:
    """A home withdraws messages of a link that has ended, although their clients may have received 202."""
    def drop_pending(self: Any) -> None:
        self._ended = True
        for task in list(self._tasks.values()):
            task.cancel()
        pending, self._pending = self._pending, {}
        for admission, message in pending.values():
            admission.withdraw(message.id)
    return [(ForwardServer, "on_end", drop_pending)]


def _ignore_silence() -> list[Patch]:
    """A courier keeps using a control machine that has become silent, for a minute."""
    original_init = ListClient.__init__

    def init_with_long_silence(self: Any, *args: Any, **kwargs: Any) -> None:
        original_init(self, *args, **kwargs)
        self._silent_us = 60_000_000
    return [(ListClient, "__init__", init_with_long_silence)]


def _keep_guests() -> list[Patch]:
    """A courier never drops a guest shard."""
    original_open_or_drop = Hosting._open_or_drop

    def keep_guest(self: Any, now_us: int, shard: int, state: Any) -> Any:
        return [] if state.phase is ShardPhase.GUEST else original_open_or_drop(self, now_us, shard, state)
    return [(Hosting, "_open_or_drop", keep_guest)]


def _forget_keys() -> list[Patch]:
    """A new home ignores what former homes owe, and no courier remembers where a key was forwarded to."""
    return [(Handoff, "owed_elsewhere_us", lambda self, now_us, destination, message_class, key: 0),
            (ForwardedKeys, "holder", lambda self, now_us, message: None)]


@dataclass(frozen=True, slots=True)
class Variant:
    """An incorrect variant: its patches, the invariant that it violates, and faults that show it.

    A run has `count` faults of `kinds`; one of the first `seeds` seeds must violate the invariant.
    """

    patches: Callable[[], list[Patch]]
    rule: str
    kinds: tuple[str, ...]
    count: int
    seeds: int


VARIANTS: Mapping[str, Variant] = {
    "forwards-twice": Variant(_forward_twice, check.ONE_HOP, ("leave", "kill", "stop"), 8, 4),
    "both-take": Variant(_accept_at_both, check.TAKEN_ONCE, ("strain", "one way", "kill"), 12, 6),
    "neither-owes": Variant(_forget_accepted, check.OWED, ("strain",), 12, 6),
    "drains-late": Variant(_ignore_silence, check.TOLD_IN_TIME, ("control hang",), 1, 6),
    "guest-forgotten": Variant(_keep_guests, check.GUESTS, ("kill", "cut"), 8, 4),
    "keys-lost": Variant(_forget_keys, check.IN_ORDER, ("leave", "partners", "partners", "alone"), 14, 6)}


@contextlib.contextmanager
def apply_variant(name: str) -> Iterator[None]:
    """Patch the code under test by a variant until the context ends; "" patches nothing."""
    patches = VARIANTS[name].patches() if name else []
    originals = [(owner, attribute, getattr(owner, attribute)) for owner, attribute, _ in patches]
    try:
        for owner, attribute, value in patches:
            setattr(owner, attribute, value)
        yield
    finally:
        for owner, attribute, value in originals:
            setattr(owner, attribute, value)
