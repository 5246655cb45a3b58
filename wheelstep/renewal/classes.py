"""Which class's rules bind which message, while settings change under load and over restarts. No I/O.

A message stays under the rules that its class had when it was taken on. The module gets a list of classes in which a
place keeps its meaning as long as any message is held under it. Clients learn of new settings a little later than the
courier, so for a while a class that changes has the stricter rules of both.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import astuple, replace
from typing import Any

from wheelstep.interface import Effect, MessageClass

SETTLE_S = 1.5  # from SIGHUP until only the new rules bind
_STRICTNESS = (Effect.SAFE, Effect.KEYED, Effect.UNSAFE)


def stricter(one: MessageClass, other: MessageClass) -> MessageClass:
    """Rules that break neither one's; aims and worth are the second's."""
    life_us = [cls.key_ttl_us for cls in (one, other) if cls.effect is Effect.KEYED]
    return replace(
        other, effect=max(one.effect, other.effect, key=_STRICTNESS.index), key_ttl_us=min(life_us, default=0),
        zone_keys=one.zone_keys or other.zone_keys, ordered=one.ordered or other.ordered,
        most_attempts=min((most for most in (one.most_attempts, other.most_attempts) if most), default=0))


class ClassTable:
    """Places for the module, and which of them a message's class has, by name and by its place among all taken on."""

    def __init__(self, classes: Mapping[str, MessageClass]) -> None:
        self.places: list[MessageClass] = list(classes.values())
        self._now = {name: place for place, name in enumerate(classes)}
        self._past: dict[str, list[tuple[int, int]]] = {}  # class -> (taken before, place), the oldest first

    @property
    def names(self) -> list[str]:
        """The classes that clients may name."""
        return list(self._now)

    def current(self, name: str) -> MessageClass:
        """The rules for new messages of a class; `KeyError` where there is none."""
        return self.places[self._now[name]]

    def place(self, name: str, taken: int) -> int | None:
        """The place for a message of this class that was taken on as so-manieth; None where nobody knows it."""
        for before, place in self._past.get(name, ()):
            if taken < before:
                return place
        return self._now.get(name)

    def renew(self, classes: Mapping[str, MessageClass], taken: int, held: Iterable[tuple[str, int]]) -> None:
        """From the `taken`-th message on, these bind; `held` are class and place in line of the messages held now.
        What nobody is held under any more is forgotten, and its place given anew."""
        used: dict[int, int] = {}  # place -> the last one held there
        for name, number in held:
            if (place := self.place(name, number)) is not None:
                used[place] = max(number, used.get(place, 0))
        past: dict[str, list[tuple[int, int]]] = {}
        for name in dict.fromkeys([*self._past, *self._now]):
            rows = [*self._past.get(name, ())]
            if name in self._now and (name not in classes or self.places[self._now[name]] != classes[name]):
                rows.append((taken, self._now[name]))
            # Up to the last one that is held, so that a later process which counts from less takes no new message
            # for an old one.
            if rows := [(min(before, used[place] + 1), place) for before, place in rows if place in used]:
                past[name] = rows
        kept = {place for rows in past.values() for _, place in rows}
        now: dict[str, int] = {}
        for name, cls in classes.items():
            place = self._now.get(name)
            if place is None or self.places[place] != cls:
                place = next((free for free in range(len(self.places))
                              if free not in kept and free not in now.values()
                              and free not in self._still(classes)), len(self.places))
                if place == len(self.places):
                    self.places.append(cls)
                self.places[place] = cls
            now[name] = place
        for place in range(len(self.places)):
            if place not in kept and place not in now.values():
                self.places[place] = next(iter(classes.values()))  # nobody is held under it
        self._past, self._now = past, now

    def _still(self, classes: Mapping[str, MessageClass]) -> set[int]:
        """Places of classes that go on as they are."""
        return {place for name, place in self._now.items() if classes.get(name) == self.places[place]}

    def store(self) -> dict[str, Any]:
        """For a later process."""
        return {"places": [_plain(cls) for cls in self.places], "now": self._now,
                "past": {name: [list(row) for row in rows] for name, rows in self._past.items()}}

    @classmethod
    def restored(cls, stored: Mapping[str, Any], classes: Mapping[str, MessageClass], taken: int,
                 held: Iterable[tuple[str, int]]) -> ClassTable:
        """What an earlier process stored, with the classes that bind now. Raises what bad data raises."""
        table = cls({})
        table.places = [_read(row) for row in stored["places"]]
        table._now = {str(name): int(place) for name, place in stored["now"].items()}
        table._past = {str(name): [(int(before), int(place)) for before, place in rows]
                       for name, rows in stored["past"].items()}
        for place in [*table._now.values(), *(place for rows in table._past.values() for _, place in rows)]:
            table.places[place]
        table.renew(classes, taken, held)
        return table


def during(before: ClassTable, classes: Mapping[str, MessageClass]) -> dict[str, MessageClass]:
    """The classes that bind until clients have heard: all of both, a changed one under the stricter rules."""
    both = {name: before.current(name) for name in before.names}
    return {**both, **{name: stricter(both[name], cls) if name in both and both[name] != cls else cls
                       for name, cls in classes.items()}}


def unknown(classes: Iterable[MessageClass]) -> MessageClass:
    """For what was taken on under a class that nobody knows any more: it breaks no class's rules, and moves none of the
    times that the module makes from all classes."""
    known = list(classes)
    return MessageClass(min(cls.promise_us for cls in known), max(cls.deadline_us for cls in known), Effect.UNSAFE,
                        max(cls.worth for cls in known), ordered=True)


def _plain(cls: MessageClass) -> list[Any]:
    return [value.value if isinstance(value, Effect) else value for value in astuple(cls)]


def _read(row: list[Any]) -> MessageClass:
    promise_us, deadline_us, effect, *rest = row
    return MessageClass(promise_us, deadline_us, Effect(effect), *rest)
