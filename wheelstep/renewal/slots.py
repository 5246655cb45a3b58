"""The decision module's list of classes while several tables use it. No I/O.

A slot keeps its class and rules as long as any table uses them, since messages that the decision module holds refer to
it. A slot that none uses is given to another class.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from wheelstep.interface import MessageClass
from wheelstep.renewal.classes import ClassTable


class ClassSlots:
    """The slots of the list, by class name and rules."""

    def __init__(self, classes: Mapping[str, MessageClass]) -> None:
        """Start from a list of these classes, in their order."""
        self._rules = list(classes.values())
        self._slots = {pair: slot for slot, pair in enumerate(classes.items())}

    def index(self, name: str, rules: MessageClass) -> int:
        """Return the slot of a class with these rules. Raises `KeyError` where no table had them at the last update."""
        return self._slots[name, rules]

    def update(self, tables: Iterable[ClassTable], present: Mapping[str, MessageClass]) -> tuple[MessageClass, ...]:
        """Make room for all rules that the tables use, and return the list. Free slots get one of the present classes,
        which changes nothing that is derived from all classes."""
        used = dict.fromkeys([*present.items(), *(pair for table in tables for pair in table.named_rules())])
        kept = {pair: slot for pair, slot in self._slots.items() if pair in used}
        free = [slot for slot in range(len(self._rules)) if slot not in kept.values()]
        size = len(self._rules)
        for pair in used:
            if pair not in kept:
                kept[pair] = free.pop(0) if free else size
                size = max(size, kept[pair] + 1)
        self._slots, self._rules = kept, [next(iter(present.values()))] * size
        for (_, rules), slot in kept.items():
            self._rules[slot] = rules
        return tuple(self._rules)
