"""Variants of the code under test that are wrong on purpose: each has to be caught, by the invariant that it breaks."""

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


def _forwards_twice() -> list[Patch]:
    """Who is asked and is not home asks on."""
    asked = Routing.asked

    def on(self: Any, message: StoredMessage) -> Any:
        found = asked(self, message)
        away = isinstance(found, Refusal) and found.kind == "away"
        return RoutedAdmission(self._node.own_admission, self._route) if away else found
    return [(Routing, "asked", on)]


def _both_take() -> list[Patch]:
    """A home that does not answer counts as one that was not asked."""
    answered, tell = Router.answered, ForwardClient.tell

    def taken(self: Any, now_us: int, handed: Any, courier: str, answer: Answer, sight: Any) -> Any:
        return answered(self, now_us, handed, courier, Answer.NOT_ASKED if answer is Answer.SILENT else answer, sight)

    def told(self: Any, action: str, admission: Any) -> None:
        if action != "withdraw":
            tell(self, action, admission)
    return [(Router, "answered", taken), (ForwardClient, "tell", told)]


def _neither_owes() -> list[Patch]:
    """A home forgets what it took from a link that has ended, though its client may have heard 202."""
    def on_end(self: Any) -> None:
        self._ended = True
        for task in list(self._tasks.values()):
            task.cancel()
        pending, self._pending = self._pending, {}
        for admission, message in pending.values():
            admission.withdraw(message.id)
    return [(ForwardServer, "on_end", on_end)]


def _drains_late() -> list[Patch]:
    """A courier keeps to a control machine that has fallen silent."""
    init = ListClient.__init__

    def patient(self: Any, *given: Any, **named: Any) -> None:
        init(self, *given, **named)
        self._silent_us = 60_000_000
    return [(ListClient, "__init__", patient)]


def _forgets_guests() -> list[Patch]:
    """A guest shard is never dropped."""
    look = Hosting._open_or_drop

    def kept(self: Any, now_us: int, shard: int, state: Any) -> Any:
        return [] if state.phase is ShardPhase.GUEST else look(self, now_us, shard, state)
    return [(Hosting, "_open_or_drop", kept)]


def _loses_keys() -> list[Patch]:
    """Whoever becomes home knows nothing of what former homes owe, and nobody remembers where a key was passed to."""
    return [(Handoff, "owed_elsewhere_us", lambda self, now_us, destination, message_class, key: 0),
            (ForwardedKeys, "holder", lambda self, now_us, message: None)]


@dataclass(frozen=True, slots=True)
class Variant:
    """What is wrong, the invariant that it breaks, and the faults that show it: so many of these kinds a run, within
    so many seeds from 0 on."""

    patches: Callable[[], list[Patch]]
    rule: str
    kinds: tuple[str, ...]
    count: int
    seeds: int


VARIANTS: Mapping[str, Variant] = {
    "forwards-twice": Variant(_forwards_twice, check.ONE_HOP, ("leave", "kill", "stop"), 8, 4),
    "both-take": Variant(_both_take, check.TAKEN_ONCE, ("strain", "one way", "kill"), 12, 6),
    "neither-owes": Variant(_neither_owes, check.OWED, ("strain",), 12, 6),
    "drains-late": Variant(_drains_late, check.TOLD_IN_TIME, ("control hang",), 1, 6),
    "guest-forgotten": Variant(_forgets_guests, check.GUESTS, ("kill", "cut"), 8, 4),
    "keys-lost": Variant(_loses_keys, check.IN_ORDER, ("leave", "partners", "partners", "alone"), 14, 6)}


@contextlib.contextmanager
def variant(name: str) -> Iterator[None]:
    """Within it the code is wrong in that way; "" leaves it as it is."""
    patches = VARIANTS[name].patches() if name else []
    before = [(what, attribute, getattr(what, attribute)) for what, attribute, _ in patches]
    try:
        for what, attribute, value in patches:
            setattr(what, attribute, value)
        yield
    finally:
        for what, attribute, value in before:
            setattr(what, attribute, value)
