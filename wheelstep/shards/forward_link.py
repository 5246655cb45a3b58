"""A sealed stream as the link for forwarded messages (`wheelstep.forwarding.link`)."""

from __future__ import annotations

from typing import Any

from wheelstep.shards.streams import StreamLink
from wheelstep.shards.types import Forwarded


class ForwardLink:
    """Sends `Forwarded` frames on one `StreamLink` (forwarding.link.Link). The owner of that link must pass arriving
    frames, and its end, to the forwarding client or server."""

    def __init__(self, link: StreamLink) -> None:
        self._link = link

    @property
    def open(self) -> bool:
        """Tells whether frames can be sent."""
        return self._link.open

    def send(self, head: dict[str, Any], body: bytes = b"") -> bool:
        """Sends together with the other frames of this event loop turn; False if that is impossible."""
        return self._link.send(Forwarded(head, body))

    def close(self) -> None:
        """Ends the whole stream at once."""
        self._link.close()
