"""A sealed stream as what forwarded messages go over (`wheelstep.forwarding.link`)."""

from __future__ import annotations

from typing import Any

from wheelstep.shards.streams import StreamLink
from wheelstep.shards.types import Forwarded


class ForwardLink:
    """`Forwarded` frames of one `StreamLink` (forwarding.link.Link). Frames that come, and its end, are for whoever
    hears the link: hand them to the client or the server of this one."""

    def __init__(self, link: StreamLink) -> None:
        self._link = link

    @property
    def open(self) -> bool:
        """Can anything be sent?"""
        return self._link.open

    def send(self, head: dict[str, Any], body: bytes = b"") -> bool:
        """With what else is sent in this turn of the loop; False if it can't be."""
        return self._link.send(Forwarded(head, body))

    def close(self) -> None:
        """At once; it ends the whole stream."""
        self._link.close()
