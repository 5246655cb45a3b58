"""The last check before an attempt's first byte, which every attempt passes, first tries and repeats alike. No I/O."""

from __future__ import annotations

from wheelstep.courier.call import Item
from wheelstep.courier.invariants import Invariant, Invariants
from wheelstep.courier.key_order import KeyOrder
from wheelstep.journal import StoredMessage


class SendGuard:
    """Checks the decision module's decisions against what the calls have observed."""

    def __init__(self, order: KeyOrder, invariants: Invariants) -> None:
        self._order, self._invariants = order, invariants

    def may_send(self, message: StoredMessage, item: Item, now_s: float) -> bool:
        """Return whether the attempt keeps the invariants. A violation is counted, and the attempt must not be sent."""
        if item.once and message.may_have_run(except_attempt=item.attempt) is not None:
            self._invariants.report_violation(Invariant.SENT_ONCE, f"attempt {item.attempt} of {message.id}",
                                              message.id, message.key)
            return False
        if (block := self._order.block(message.id, now_s)) is not None:
            self._invariants.report_violation(
                Invariant.KEY_ORDER, f"attempt {item.attempt} of {message.id}: {block.value}", message.id, message.key)
            return False
        return True
