"""When the bytes that are read now may have arrived at the earliest. No I/O.

A client counts its deadline from when it sent its request. A process that stands still, or whose turn of the event loop
lasts long, reads the request later than it came; the selector's polls bound by how much.
"""

from __future__ import annotations

import math

CLIENT_PATIENCE_S = 0.4  # a client waits this long for its answer, so that nothing older is read (PROTOCOL, clients)
_WAITED_S = 0.001  # a poll that lasted this long waited: what it reports has just arrived
_OVERSLEPT_S = 0.02  # a poll that lasted this much longer than it was to wait: the process stood still meanwhile


class ArrivalBound:
    """Bounds the arrival of what the last poll of the event loop's selector reported. Times are monotonic seconds."""

    def __init__(self) -> None:
        self.polls = 0
        self._earliest_s = math.inf
        self._complete_at_s = math.inf  # the last poll has reported all that had come until then

    def polled(self, called_s: float, returned_s: float, timeout_s: float) -> None:
        """Note a poll that was to wait for `timeout_s` at most; a negative one stands for any time."""
        self.polls += 1
        waited_s = returned_s - called_s
        if timeout_s >= 0 and waited_s > timeout_s + _OVERSLEPT_S:
            # One that was stopped and continued may report nothing, and leave what came meanwhile to the next poll.
            self._earliest_s = self._complete_at_s = called_s
            return
        # Without a wait it was there already, but not at the poll before.
        self._earliest_s = returned_s if waited_s >= _WAITED_S else self._complete_at_s
        self._complete_at_s = returned_s

    def read_after_failures(self, since_s: float) -> None:
        """Note that what is read now could not be read since then, although the polls reported it."""
        self._earliest_s = min(self._earliest_s, since_s)

    def earliest_s(self, now_s: float, queued_since_s: float = math.inf) -> float:
        """Return when a byte that is read now may have arrived at the earliest, as far as that matters to a client.
        `queued_since_s`: where it may have come before the selector was told to report it."""
        return min(now_s, max(min(self._earliest_s, queued_since_s), now_s - CLIENT_PATIENCE_S))

    def earliest_on_connection_s(self, now_s: float, polls_at_opening: int, queued_since_s: float) -> float:
        """As `earliest_s`, for a byte on a connection that was opened after that many polls. `queued_since_s`: since
        when bytes may have been waiting on it by then."""
        is_first_poll = 0 < self.polls <= polls_at_opening + 1  # that reports this connection
        return self.earliest_s(now_s, queued_since_s if is_first_poll else math.inf)


arrivals = ArrivalBound()
"""That of the process's event loop."""
