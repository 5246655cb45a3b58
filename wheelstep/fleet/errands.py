"""Pending operations of a node: calls to members, and saves of records in the fleet's log. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from wheelstep.fleet.types import Action, Answer, Ask, Call, Save

OnAnswer = Callable[[int, Answer | None], list[Action]]
OnSaved = Callable[[int], list[Action]]


class PendingOperations:
    """Pending calls and saves by token, with the callback of each. Callbacks get the time and return actions."""

    def __init__(self) -> None:
        self._token = 0
        self._calls: dict[int, OnAnswer] = {}
        self._saves: dict[int, OnSaved | None] = {}
        self._unsaved: dict[int, None] = {}

    def call(self, member: str, ask: Ask, timeout_us: int, on_answer: OnAnswer) -> Action:
        """Return the action that calls a member. `on_answer` gets the answer, None after a timeout."""
        self._token += 1
        self._calls[self._token] = on_answer
        return Call(self._token, member, ask, timeout_us)

    def save(self, now_us: int, records: Sequence[bytes], on_saved: OnSaved | None = None,
             after_pending: bool = False) -> list[Action]:
        """Return the action that saves the records; `on_saved` is called once they are on disk. Without records that is
        at once, unless `after_pending` is set and earlier saves are pending."""
        if not records and not (after_pending and self._unsaved):
            return on_saved(now_us) if on_saved is not None else []
        self._token += 1
        self._saves[self._token] = on_saved
        self._unsaved[self._token] = None
        return [Save(self._token, tuple(records))]

    def answered(self, now_us: int, token: int, answer: Answer | None) -> list[Action]:
        """Complete a call. An unknown token is ignored."""
        on_answer = self._calls.pop(token, None)
        return on_answer(now_us, answer) if on_answer is not None else []

    def saved(self, now_us: int, token: int, ok: bool) -> list[Action]:
        """Complete a save. After a failed one the callback is not called: the requester gets no answer and retries."""
        on_saved = self._saves.pop(token, None)
        self._unsaved.pop(token, None)
        return on_saved(now_us) if on_saved is not None and ok else []
