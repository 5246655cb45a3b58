"""Corrects what was concluded from an answer that turns out to be the second copy of an earlier one.

If such a copy comes later than its connection rests (see `reuse`), it is read as the answer to the next call, and that
call's own answer then comes unrequested. Where the two differ, the first one was the copy. The message is ended with a
notification that it failed, which does no harm to one that was delivered: a message that must not be repeated is not
sent again, and one that was refused does not go without an end.
"""

from __future__ import annotations

import logging

from wheelstep.courier.call import Contradiction
from wheelstep.courier.core import Core

_OK = 200

log = logging.getLogger(__name__)


class AnswerCorrections:
    """Ends the messages of a courier whose answers were contradicted."""

    def __init__(self, core: Core) -> None:
        self._core = core

    def apply(self, contradiction: Contradiction) -> None:
        """Correct the outcome of one call with one message."""
        item, name = contradiction.item, contradiction.item.message
        log.warning("%s attempt %d: answered %d, then %d: the first was the copy of an earlier answer",
                    name, item.attempt, contradiction.believed, contradiction.found)
        if contradiction.believed == _OK:
            self._end_delivered(name)
        elif not self._core.endpoint_client.carries(name) and (contradiction.found == _OK or item.once):
            self._core.finish(name, "given_up")

    def _end_delivered(self, name: str) -> None:
        """Notify the platform of a message that was taken for delivered, and that nothing is owed of any more."""
        if self._core.notices is not None and not self._core.notifies_deliveries:
            self._core.notices.enqueue(name, "given_up", 0)
