"""Maps the class of a message to its index in the decision module's list, also while SIGHUP changes the classes."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from wheelstep import interface as api
from wheelstep.courier.config import Config
from wheelstep.courier.ports import JournalPort, Partitions
from wheelstep.journal import StoredMessage

if TYPE_CHECKING:  # imported at run time only where the feature is used
    from wheelstep.renewal.classes import ClassTable
    from wheelstep.renewal.slots import ClassSlots

_MARK = ":classes"  # the journal's mark with what `ClassTable.store` returns

log = logging.getLogger(__name__)


class SinglePartition:
    """The partitions of a journal in one folder (`ports.Partitions`)."""

    def __init__(self, journal: JournalPort) -> None:
        self._journal = journal

    def partition_of(self, message: StoredMessage) -> int:
        """Return the one partition that there is."""
        return 0

    def mark_partition(self, partition: int, name: str, value: Any) -> None:
        """Store a mark."""
        self._journal.mark(name, value)


class ClassIndex:
    """The classes in force. `ordered` tells by name which ones keep messages of a key in order. `partitions`: see
    `ports.Partitions`; each has a table of its own, as sequence numbers tell which rules apply to a message."""

    def __init__(self, config: Config, journal: JournalPort, post: Callable[[api.Event], None]) -> None:
        self._journal, self._post = journal, post
        self.partitions: Partitions = SinglePartition(journal)
        self._initial = _classes(config)
        self._places = {name: i for i, name in enumerate(self._initial)}  # while no class has changed
        self._wanted = self._present = self._initial  # once no transition is under way, and for new messages
        self._tables: dict[int, ClassTable] = {}  # by partition
        self._slots: ClassSlots | None = None  # the decision module's list once classes have changed
        self._transition: asyncio.TimerHandle | None = None
        self.ordered = {name: cls.ordered for name, cls in self._wanted.items()}

    def place(self, message: StoredMessage) -> int | None:
        """Return the index of a message's class in the decision module's list; None if the class is unknown."""
        if self._slots is None:
            return self._places.get(message.message_class)
        rules = self._table(self.partitions.partition_of(message)).rules(message.message_class, message.seq)
        return None if rules is None else self._slots.index(message.message_class, rules)

    def renew(self, config: Config) -> None:
        """Apply the classes and the maximum of attempts of a new configuration. The rest needs a restart. For
        `TRANSITION_S` a class that changes has the stricter rules of both versions."""
        classes = _classes(config)
        if self._transition is not None or classes != self._wanted:
            self._wanted = classes
            self._begin_transition(self._present)

    def stop(self) -> None:
        """Stop the transition that is under way: another one follows, or another process owns the messages."""
        if self._transition is not None:
            self._transition.cancel()
            self._transition = None

    def restore(self, marks: Mapping[str, Any], messages: list[StoredMessage], partition: int = 0) -> None:
        """Continue from the classes of the process before, which are in the journal: each process writes its own there.

        Messages keep the rules that they were accepted under, also if their class was changed or removed since. If the
        classes of this process differ, its clients may not know of that yet (the process before may have applied them a
        moment ago), so that they apply after a transition, as at SIGHUP. A message whose class is unknown is tried
        under rules that allow no repeat."""
        from wheelstep.renewal.classes import ClassTable
        table, known = ClassTable(self._wanted), marks.get(_MARK)
        held = [(message.message_class, message.seq) for message in messages]
        try:
            if known is not None:
                table = ClassTable.restored(known, held)
        except (KeyError, IndexError, TypeError, ValueError, AttributeError) as error:
            log.error("the classes that an earlier process stored in the journal can't be used: %r", error)
        if unknown := table.add_unknown(held, self._wanted.values()):
            log.error("classes not known any more, their messages are tried as not repeatable: %s",
                      ", ".join(map(repr, sorted(unknown))))
        self._tables[partition] = table
        before = table.current_classes()
        if before != self._wanted or self._transition is not None:
            self._begin_transition(self._present, before)
        elif table.has_history():
            self._publish()
        elif known != table.store():
            self.partitions.mark_partition(partition, _MARK, table.store())

    def _begin_transition(self, *before: Mapping[str, api.MessageClass]) -> None:
        """Apply the strictest of the rules before and the wanted ones; after `TRANSITION_S`, the wanted ones alone."""
        from wheelstep.renewal.classes import TRANSITION_S, transitional_classes
        classes = self._wanted
        for earlier in before:
            classes = transitional_classes(earlier, classes)
        self._apply(classes)
        self.stop()
        self._transition = asyncio.get_running_loop().call_later(TRANSITION_S, self._end_transition)

    def _end_transition(self) -> None:
        self._transition = None
        self._apply(self._wanted)
        log.info("classes from now on: %s", ", ".join(self._wanted))

    def _apply(self, classes: dict[str, api.MessageClass]) -> None:
        """Apply classes to messages that are accepted from now on."""
        held: dict[int, list[tuple[str, int]]] = {partition: [] for partition in self._tables or (0,)}
        for message in self._journal.messages.values():
            held.setdefault(self.partitions.partition_of(message), []).append((message.message_class, message.seq))
        for partition, rows in held.items():
            self._table(partition).renew(classes, 1 + max((seq for _, seq in rows), default=0), rows)
        self._present = classes
        self._publish()

    def _publish(self) -> None:
        from wheelstep.renewal.slots import ClassSlots
        for partition, table in self._tables.items():
            self.partitions.mark_partition(partition, _MARK, table.store())
        self.ordered.clear()
        self.ordered.update((name, cls.ordered) for name, cls in self._present.items())
        if self._slots is None:
            self._slots = ClassSlots(self._initial)
        self._post(api.ClassesChanged(self._slots.update(self._tables.values(), self._present)))

    def _table(self, partition: int) -> ClassTable:
        """Return the table of a partition; one that was not restored has no history."""
        from wheelstep.renewal.classes import ClassTable
        if partition not in self._tables:
            self._tables[partition] = ClassTable(self._present)
        return self._tables[partition]


def _classes(config: Config) -> dict[str, api.MessageClass]:
    """Return the classes by name, each with the maximum of attempts of the same configuration."""
    max_attempts = config.settings.max_attempts
    return {name: replace(cls, most_attempts=max_attempts)
            for name, cls in zip(config.names.classes, config.settings.classes, strict=True)}
