"""Maps the class of a message to its index in the decision module's list, also while SIGHUP changes the classes."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from wheelstep import interface as api
from wheelstep.courier.config import Config
from wheelstep.courier.ports import JournalPort
from wheelstep.journal import StoredMessage

if TYPE_CHECKING:  # imported at run time only where the feature is used
    from wheelstep.renewal.classes import ClassTable

_MARK = ":classes"  # the journal's mark with what `ClassTable.store` returns

log = logging.getLogger(__name__)


class ClassIndex:
    """The classes in force. `ordered` tells by name which ones keep messages of a key in order."""

    def __init__(self, config: Config, journal: JournalPort, post: Callable[[api.Event], None]) -> None:
        self._config, self._journal, self._post = config, journal, post
        self._places = {name: i for i, name in enumerate(config.names.classes)}
        self._table: ClassTable | None = None  # replaces `_places` once classes have changed
        self._settling: asyncio.TimerHandle | None = None
        self.ordered = {name: cls.ordered for name, cls in zip(self._places, config.settings.classes, strict=True)}

    def place(self, message: StoredMessage) -> int | None:
        """Return the index of a message's class in the decision module's list; None if the class is unknown."""
        if self._table is not None:
            return self._table.place(message.message_class, message.seq)
        return self._places.get(message.message_class)

    def renew(self, config: Config) -> None:
        """Apply the classes and the maximum of attempts of a new configuration. The rest needs a restart. For
        `TRANSITION_S` a class that changes has the stricter rules of both versions."""
        from wheelstep.renewal.classes import ClassTable
        classes = _classes(config)
        table = self._table or ClassTable(_classes(self._config))
        if self._settling is not None or classes != table.current_classes():
            self._begin_transition(table, classes)

    def _begin_transition(self, table: ClassTable, classes: dict[str, api.MessageClass]) -> None:
        """Apply the stricter of the rules in the table and in `classes`; after `TRANSITION_S`, those of `classes`."""
        from wheelstep.renewal.classes import TRANSITION_S, transitional_classes
        self._table = table
        self._apply(transitional_classes(table, classes))
        self.stop()
        self._settling = asyncio.get_running_loop().call_later(TRANSITION_S, self._settle, classes)

    def stop(self) -> None:
        """Stop the transition that is under way: another one follows, or another process owns the messages."""
        if self._settling is not None:
            self._settling.cancel()
            self._settling = None

    def _settle(self, classes: dict[str, api.MessageClass]) -> None:
        self._settling = None
        self._apply(classes)
        log.info("classes from now on: %s", ", ".join(classes))

    def _apply(self, classes: dict[str, api.MessageClass]) -> None:
        assert self._table is not None
        held = [(message.message_class, message.seq) for message in self._journal.messages.values()]
        self._table.renew(classes, 1 + max((seq for _, seq in held), default=0), held)
        self._publish(self._table)

    def _publish(self, table: ClassTable) -> None:
        self._journal.mark(_MARK, table.store())
        self.ordered.clear()
        self.ordered.update((name, table.current(name).ordered) for name in table.names)
        self._post(api.ClassesChanged(tuple(table.places)))

    def restore(self, marks: Mapping[str, Any], messages: list[StoredMessage]) -> None:
        """Continue from the classes of the process before, which are in the journal: each process writes its own there.

        Messages keep the rules that they were accepted under, also if their class was changed or removed since. If the
        classes of this process differ, its clients may not know of that yet (the process before may have applied them a
        moment ago), so that they apply after a transition, as at SIGHUP. A message whose class is unknown is tried
        under rules that allow no repeat."""
        from wheelstep.renewal.classes import ClassTable, rules_for_unknown_class
        now = _classes(self._config)
        held = [(message.message_class, message.seq) for message in messages]
        taken, table = 1 + max((seq for _, seq in held), default=0), ClassTable(now)
        try:
            if _MARK in marks:
                table = ClassTable.restored(marks[_MARK], held)
        except (KeyError, IndexError, TypeError, ValueError, AttributeError) as error:
            log.error("the classes that an earlier process stored in the journal can't be used: %r", error)
        before = table.current_classes()
        if lost := {name: rules_for_unknown_class(now.values())
                    for name, seq in held if table.place(name, seq) is None}:
            log.error("classes not known any more, their messages are tried as not repeatable: %s",
                      ", ".join(map(repr, lost)))
            table.renew({**before, **lost}, taken, held)
            table.renew(before, taken, held)
        if before != now:
            self._begin_transition(table, now)
        elif table.store() != ClassTable(now).store():
            self._table = table
            self._publish(table)
        elif marks.get(_MARK) != table.store():
            self._journal.mark(_MARK, table.store())


def _classes(config: Config) -> dict[str, api.MessageClass]:
    """Return the classes by name, each with the maximum of attempts of the same configuration."""
    max_attempts = config.settings.max_attempts
    return {name: replace(cls, most_attempts=max_attempts)
            for name, cls in zip(config.names.classes, config.settings.classes, strict=True)}
