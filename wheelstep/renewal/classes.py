"""Which class rules apply to which message while settings change, under load and across restarts. No I/O.

A message keeps the rules that its class had when it was accepted. The decision module gets a list of classes in which a
place keeps its meaning as long as any unfinished message uses it. Clients learn of new settings a little later than the
courier, so for a while a changed class has the stricter of the old and new rules.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import astuple, replace
from typing import Any

from wheelstep.interface import Effect, MessageClass

TRANSITION_S = 1.5  # from SIGHUP until only the new rules apply
_STRICTNESS = (Effect.SAFE, Effect.KEYED, Effect.UNSAFE)


def stricter_rules(one: MessageClass, other: MessageClass) -> MessageClass:
    """Return rules that violate neither class's; times and worth are the second one's."""
    key_lifetimes_us = [cls.key_ttl_us for cls in (one, other) if cls.effect is Effect.KEYED]
    return replace(
        other, effect=max(one.effect, other.effect, key=_STRICTNESS.index), key_ttl_us=min(key_lifetimes_us, default=0),
        zone_keys=one.zone_keys or other.zone_keys, ordered=one.ordered or other.ordered,
        most_attempts=min((most for most in (one.most_attempts, other.most_attempts) if most), default=0))


class ClassTable:
    """The decision module's list of classes, and which place in it applies to a message, by class name and sequence
    number.

    A place is an index into `places`.
    """

    def __init__(self, classes: Mapping[str, MessageClass]) -> None:
        """Start with these classes, without a history."""
        self.places: list[MessageClass] = list(classes.values())
        self._current = {name: place for place, name in enumerate(classes)}
        # class -> (place applies to messages accepted before this number, place), oldest first
        self._history: dict[str, list[tuple[int, int]]] = {}

    @property
    def names(self) -> list[str]:
        """The classes that clients may name."""
        return list(self._current)

    def current(self, name: str) -> MessageClass:
        """Return the rules for new messages of a class. Raises `KeyError` for an unknown class."""
        return self.places[self._current[name]]

    def current_classes(self) -> dict[str, MessageClass]:
        """Return the rules for new messages of each class that clients may name."""
        return {name: self.current(name) for name in self._current}

    def place(self, name: str, taken: int) -> int | None:
        """Return the place for the message of this class with sequence number `taken`, or None if no rules are known
        for it."""
        for before, place in self._history.get(name, ()):
            if taken < before:
                return place
        return self._current.get(name)

    def rules(self, name: str, taken: int) -> MessageClass | None:
        """Return the rules for the message of this class with sequence number `taken`, or None if none are known."""
        place = self.place(name, taken)
        return None if place is None else self.places[place]

    def named_rules(self) -> Iterator[tuple[str, MessageClass]]:
        """Yield class name and rules for all messages, held and new."""
        for name, place in self._current.items():
            yield name, self.places[place]
        for name, rows in self._history.items():
            for _, place in rows:
                yield name, self.places[place]

    def has_history(self) -> bool:
        """Return whether any unfinished message has other rules than a new one of its class."""
        return bool(self._history)

    def add_unknown(self, held: Sequence[tuple[str, int]], known: Iterable[MessageClass]) -> set[str]:
        """Give messages without known rules such that violate no class's. Return the names of their classes."""
        unknown = {name: rules_for_unknown_class(known) for name, seq in held if self.place(name, seq) is None}
        if unknown:
            present, taken = self.current_classes(), 1 + max(seq for _, seq in held)
            self.renew({**present, **unknown}, taken, held)
            self.renew(present, taken, held)
        return set(unknown)

    def renew(self, classes: Mapping[str, MessageClass], taken: int, held: Iterable[tuple[str, int]]) -> None:
        """Apply `classes` to messages from sequence number `taken` on.

        `held` gives class and sequence number of each unfinished message. Rules that no unfinished message uses are
        dropped, and their place is reused.
        """
        used: dict[int, int] = {}  # place -> the last unfinished message that uses it
        for name, number in held:
            if (place := self.place(name, number)) is not None:
                used[place] = max(number, used.get(place, 0))
        past: dict[str, list[tuple[int, int]]] = {}
        for name in dict.fromkeys([*self._history, *self._current]):
            rows = [*self._history.get(name, ())]
            if name in self._current and (name not in classes or self.places[self._current[name]] != classes[name]):
                rows.append((taken, self._current[name]))
            # Only up to the last unfinished message: a later process whose sequence numbers start lower then does not
            # take a new message for an old one.
            if rows := [(min(before, used[place] + 1), place) for before, place in rows if place in used]:
                past[name] = rows
        kept = {place for rows in past.values() for _, place in rows}
        now: dict[str, int] = {}
        for name, cls in classes.items():
            place = self._current.get(name)
            if place is None or self.places[place] != cls:
                place = next((free for free in range(len(self.places))
                              if free not in kept and free not in now.values()
                              and free not in self._unchanged(classes)), len(self.places))
                if place == len(self.places):
                    self.places.append(cls)
                self.places[place] = cls
            now[name] = place
        for place in range(len(self.places)):
            if place not in kept and place not in now.values():
                self.places[place] = next(iter(classes.values()))  # unused: any class will do
        self._history, self._current = past, now

    def _unchanged(self, classes: Mapping[str, MessageClass]) -> set[int]:
        """Return the places of classes that do not change."""
        return {place for name, place in self._current.items() if classes.get(name) == self.places[place]}

    def store(self) -> dict[str, Any]:
        """Return the table as JSON-ready values for a later process."""
        return {"places": [_to_json(cls) for cls in self.places], "now": self._current,
                "past": {name: [list(row) for row in rows] for name, rows in self._history.items()}}

    @classmethod
    def restored(cls, stored: Mapping[str, Any], held: Iterable[tuple[str, int]]) -> ClassTable:
        """Restore what an earlier process stored. Rules that no message of `held` uses are dropped.

        Invalid data raises whatever error it causes (`KeyError`, `TypeError`, `ValueError` or `IndexError` among them).
        """
        table = cls({})
        table.places = [_from_json(row) for row in stored["places"]]
        table._current = {str(name): int(place) for name, place in stored["now"].items()}
        table._history = {str(name): [(int(before), int(place)) for before, place in rows]
                          for name, rows in stored["past"].items()}
        if not table._current:
            raise ValueError("no classes; expected one at least")
        for place in [*table._current.values(), *(place for rows in table._history.values() for _, place in rows)]:
            table.places[place]
        table.renew(table.current_classes(), 0, held)
        return table


def transitional_classes(before: Mapping[str, MessageClass],
                         classes: Mapping[str, MessageClass]) -> dict[str, MessageClass]:
    """Return the classes that apply until clients know the new ones: all old and new, changed ones with the stricter
    rules."""
    return {**before, **{name: stricter_rules(before[name], cls) if name in before and before[name] != cls else cls
                         for name, cls in classes.items()}}


def rules_for_unknown_class(classes: Iterable[MessageClass]) -> MessageClass:
    """Return rules for messages whose class is no longer known.

    They violate no class's rules, and do not change the times that the decision module derives from all classes.
    """
    known = list(classes)
    return MessageClass(min(cls.promise_us for cls in known), max(cls.deadline_us for cls in known), Effect.UNSAFE,
                        max(cls.worth for cls in known), ordered=True)


def _to_json(cls: MessageClass) -> list[Any]:
    """Return a class as a list of JSON-ready values."""
    return [value.value if isinstance(value, Effect) else value for value in astuple(cls)]


def _from_json(row: list[Any]) -> MessageClass:
    """Restore a class from such a list."""
    promise_us, deadline_us, effect, *rest = row
    return MessageClass(promise_us, deadline_us, Effect(effect), *rest)
