"""What a node has asked for and not heard of yet: calls to members, and records on their way to disk. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from wheelstep.fleet.types import Action, Answer, Ask, Call, Save

Heard = Callable[[int, Answer | None], list[Action]]
Saved = Callable[[int], list[Action]]


class Errands:
    """Each errand has a token, and what follows once it is done."""

    def __init__(self) -> None:
        self._token = 0
        self._calls: dict[int, Heard] = {}
        self._saves: dict[int, Saved | None] = {}
        self._unsaved: dict[int, None] = {}

    def call(self, member: str, ask: Ask, timeout_us: int, heard: Heard) -> Action:
        """Ask a member; `heard` gets the answer, or None."""
        self._token += 1
        self._calls[self._token] = heard
        return Call(self._token, member, ask, timeout_us)

    def save(self, now_us: int, records: Sequence[bytes], saved: Saved | None = None,
             behind: bool = False) -> list[Action]:
        """Have records on disk, then go on; at once where there are none, unless it is to stay `behind` those that are
        on their way."""
        if not records and not (behind and self._unsaved):
            return saved(now_us) if saved is not None else []
        self._token += 1
        self._saves[self._token] = saved
        self._unsaved[self._token] = None
        return [Save(self._token, tuple(records))]

    def answered(self, now_us: int, token: int, answer: Answer | None) -> list[Action]:
        """Of a call. One that nobody waits for is passed over."""
        heard = self._calls.pop(token, None)
        return heard(now_us, answer) if heard is not None else []

    def saved(self, now_us: int, token: int, ok: bool) -> list[Action]:
        """Of a save. What was not saved is not gone on from: its asker hears nothing and comes again."""
        saved = self._saves.pop(token, None)
        self._unsaved.pop(token, None)
        return saved(now_us) if saved is not None and ok else []
