"""Deliberately broken variants of the code under test. Each must be found, by the invariant that it breaks."""

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
    """A courier that is asked for a message and is not home forwards it again."""
    asked = Routing.asked

    def forward_again(self: Any, message: StoredMessage) -> Any:
        found = asked(self, message)
        away = isinstance(found, Refusal) and found.kind == "away"
        return RoutedAdmission(self._node.own_admission, self._route) if away else found
    return [(Routing, "asked", forward_again)]


def _both_take() -> list[Patch]:
    """A home that does not answer is treated like one that was not asked."""
    answered, tell = Router.answered, ForwardClient.tell

    def answer_not_asked(self: Any, now_us: int, handed: Any, courier: str, answer: Answer, sight: Any) -> Any:
        return answered(self, now_us, handed, courier, Answer.NOT_ASKED if answer is Answer.SILENT else answer, sight)

    def tell_without_withdraw(self: Any, action: str, admission: Any) -> None:
        if action != "withdraw":
            tell(self, action, admission)
    return [(Router, "answered", answer_not_asked), (ForwardClient, "tell", tell_without_withdraw)]


def _neither_owes() -> list[Patch]:
    """A home withdraws the messages of a link that has ended, though their clients may have received 202."""
    def on_end(self: Any) -> None:
        self._ended = True
        for task in list(self._tasks.values()):
            task.cancel()
        pending, self._pending = self._pending, {}
        for admission, message in pending.values():
            admission.withdraw(message.id)
    return [(ForwardServer, "on_end", on_end)]


def _drains_late() -> list[Patch]:
    """A courier stays with a control machine that no longer answers."""
    init = ListClient.__init__

    def init_with_long_silence(self: Any, *args: Any, **kwargs: Any) -> None:
        init(self, *args, **kwargs)
        self._silent_us = 60_000_000
    return [(ListClient, "__init__", init_with_long_silence)]


def _forgets_guests() -> list[Patch]:
    """A guest shard is never dropped."""
    open_or_drop = Hosting._open_or_drop

    def keep_guests(self: Any, now_us: int, shard: int, state: Any) -> Any:
        return [] if state.phase is ShardPhase.GUEST else open_or_drop(self, now_us, shard, state)
    return [(Hosting, "_open_or_drop", keep_guests)]


def _loses_keys() -> list[Patch]:
    """A new home knows nothing of what former homes owe, and no courier remembers where a key was forwarded to."""
    return [(Handoff, "owed_elsewhere_us", lambda self, now_us, destination, message_class, key: 0),
            (ForwardedKeys, "holder", lambda self, now_us, message: None)]


@dataclass(frozen=True, slots=True)
class Variant:
    """A broken variant: its patches, the invariant that it breaks (`rule`), and the faults that show it: `fault_count`
    of `fault_kinds` in each run, within the first `seeds` seeds from 0."""

    patches: Callable[[], list[Patch]]
    rule: str
    fault_kinds: tuple[str, ...]
    fault_count: int
    seeds: int


VARIANTS: Mapping[str, Variant] = {
    "forwards-twice": Variant(_forwards_twice, check.ONE_HOP, ("leave", "kill", "stop"), 8, 4),
    "both-take": Variant(_both_take, check.TAKEN_ONCE, ("strain", "one way", "kill"), 12, 6),
    "neither-owes": Variant(_neither_owes, check.OWED, ("strain",), 12, 6),
    "drains-late": Variant(_drains_late, check.DRAIN_HEEDED, ("control hang",), 1, 6),
    "guest-forgotten": Variant(_forgets_guests, check.GUESTS, ("kill", "cut"), 8, 4),
    "keys-lost": Variant(_loses_keys, check.IN_ORDER, ("leave", "partners", "partners", "alone"), 14, 6)}


@contextlib.contextmanager
def apply_variant(name: str) -> Iterator[None]:
    """Apply a variant's patches within the context; "" applies none."""
    patches = VARIANTS[name].patches() if name else []
    originals = [(target, attribute, getattr(target, attribute)) for target, attribute, _ in patches]
    try:
        for target, attribute, value in patches:
            setattr(target, attribute, value)
        yield
    finally:
        for target, attribute, value in originals:
            setattr(target, attribute, value)
