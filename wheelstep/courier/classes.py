"""Which class of the module's list a message belongs to, also while classes change by SIGHUP."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from wheelstep import interface as api
from wheelstep.courier.config import Config
from wheelstep.courier.ports import Book
from wheelstep.journal import Stored

if TYPE_CHECKING:  # what is off is not imported
    from wheelstep.renewal.classes import ClassTable

_CLASSES = ":classes"  # the mark of what `ClassTable.store` gives

log = logging.getLogger(__name__)


class Classes:
    """The classes in force; `ordered` by name, which ones keep the order of their keys."""

    def __init__(self, config: Config, journal: Book, post: Callable[[api.Event], None]) -> None:
        self._config, self._journal, self._post = config, journal, post
        self._places = {name: i for i, name in enumerate(config.names.classes)}
        self._table: ClassTable | None = None  # in place of that, once settings have changed
        self._settling: asyncio.TimerHandle | None = None
        self.ordered = {name: cls.ordered for name, cls in zip(self._places, config.settings.classes, strict=True)}

    def place(self, message: Stored) -> int | None:
        """Its class's place in the module's list; None where nobody knows it."""
        if self._table is not None:
            return self._table.place(message.message_class, message.seq)
        return self._places.get(message.message_class)

    def renew(self, config: Config) -> None:
        """Classes and the number of attempts change now, all else at the next start."""
        from wheelstep.renewal.classes import SETTLE_S, ClassTable, during
        classes = _classes(config)
        if self._table is None:
            if classes == _classes(self._config):
                return
            self._table = ClassTable(_classes(self._config))
        elif self._settling is None and classes == {name: self._table.current(name) for name in self._table.names}:
            return
        self._use(during(self._table, classes))
        if self._settling is not None:
            self._settling.cancel()
        self._settling = asyncio.get_running_loop().call_later(SETTLE_S, self._settle, classes)

    def _settle(self, classes: dict[str, api.MessageClass]) -> None:
        self._settling = None
        self._use(classes)
        log.info("classes from now on: %s", ", ".join(classes))

    def _use(self, classes: dict[str, api.MessageClass]) -> None:
        assert self._table is not None
        held = [(message.message_class, message.seq) for message in self._journal.messages.values()]
        self._table.renew(classes, 1 + max((seq for _, seq in held), default=0), held)
        self._changed(self._table)

    def _changed(self, table: ClassTable) -> None:
        self._journal.mark(_CLASSES, table.store())
        self.ordered.clear()
        self.ordered.update((name, table.current(name).ordered) for name in table.names)
        self._post(api.ClassesChanged(tuple(table.places)))

    def restore(self, marks: Mapping[str, Any], messages: list[Stored]) -> None:
        """Guards messages of a class that has changed or gone since they were taken on, by SIGHUP or a restart: each
        process writes down what its classes are. One that nobody knows is tried as what may not be repeated."""
        from wheelstep.renewal.classes import ClassTable, unknown
        now = _classes(self._config)
        held = [(message.message_class, message.seq) for message in messages]
        taken, table = 1 + max((seq for _, seq in held), default=0), ClassTable(now)
        try:
            if _CLASSES in marks:
                table = ClassTable.restored(marks[_CLASSES], now, taken, held)
        except (KeyError, IndexError, TypeError, ValueError, AttributeError) as error:
            log.error("what an earlier process knew of classes can't be used: %r", error)
        if lost := {name: unknown(now.values()) for name, seq in held if table.place(name, seq) is None}:
            log.error("not known any more, and tried as what may not be repeated: %s", ", ".join(map(repr, lost)))
            table.renew({**now, **lost}, taken, held)
            table.renew(now, taken, held)
        if table.store() != ClassTable(now).store():
            self._table = table
            self._changed(table)
        elif marks.get(_CLASSES) != table.store():
            self._journal.mark(_CLASSES, table.store())


def _classes(config: Config) -> dict[str, api.MessageClass]:
    """By name, each with the number of attempts that was in force with it."""
    most = config.settings.max_attempts
    return {name: replace(cls, most_attempts=most)
            for name, cls in zip(config.names.classes, config.settings.classes, strict=True)}
