"""Pending operations of a node: calls to members, and saves of records. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from wheelstep.fleet.types import Action, Answer, Ask, Call, Save

Heard = Callable[[int, Answer | None], list[Action]]
Saved = Callable[[int], list[Action]]


class PendingOperations:
    """Pending calls and saves by token, with the callback of each."""

    def __init__(self) -> None:
        self._token = 0
        self._calls: dict[int, Heard] = {}
        self._saves: dict[int, Saved | None] = {}
        self._unsaved: dict[int, None] = {}

    def call(self, member: str, ask: Ask, timeout_us: int, heard: Heard) -> Action:
        """Return the action that calls a member. `heard` gets the answer, None after a timeout."""
        self._token += 1
        self._calls[self._token] = heard
        return Call(self._token, member, ask, timeout_us)

    def save(self, now_us: int, records: Sequence[bytes], saved: Saved | None = None,
             behind: bool = False) -> list[Action]:
        """Return the action that saves the records; `saved` is called once they are on disk. Without records that is
        at once, unless `behind` is set and earlier saves are pending."""
        if not records and not (behind and self._unsaved):
            return saved(now_us) if saved is not None else []
        self._token += 1
        self._saves[self._token] = saved
        self._unsaved[self._token] = None
        return [Save(self._token, tuple(records))]

    def answered(self, now_us: int, token: int, answer: Answer | None) -> list[Action]:
        """Complete a call. An unknown token is ignored."""
        heard = self._calls.pop(token, None)
        return heard(now_us, answer) if heard is not None else []

    def saved(self, now_us: int, token: int, ok: bool) -> list[Action]:
        """Complete a save. After a failed one the callback is not called: the requester gets no answer and retries."""
        saved = self._saves.pop(token, None)
        self._unsaved.pop(token, None)
        return saved(now_us) if saved is not None and ok else []
