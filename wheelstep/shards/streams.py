"""The sealed streams of one courier or control machine. Everything that is not a good seal ends its link, is counted
and told now and then; nothing of it goes further. `stream_link` has what is on the wire, and what protects against
replay.
"""

from __future__ import annotations

import asyncio
import logging
import secrets
from collections import Counter, OrderedDict
from collections.abc import Callable, Sequence

from wheelstep.fleet.packets import BOOTS, NOTE_EVERY_US, STREAM_BYTES, Elder, Seal
from wheelstep.shards.ports import Lost, Net, Pipe, Received
from wheelstep.shards.refusals import Refusals
from wheelstep.shards.stream_link import NONCE_BYTES, StreamLink
from wheelstep.shards.types import Frame

__all__ = ["StreamLink", "Streams"]

MOST_LINKS = 4_096
SENDERS = 4_096  # whose boot numbers are kept
STRANGER_S = 5.0  # for one that was accepted to say something good

log = logging.getLogger(__name__)


class Streams:
    """Dials and accepts links. `heard` gets each frame; `lost` each end, once, also after `close`, of links that `dial`
    gave or `heard` named."""

    def __init__(self, net: Net, keys: Sequence[bytes], fleet: str, me: str, boot: int,
                 heard: Callable[[StreamLink, Frame], None], lost: Callable[[StreamLink], None],
                 now_us: Callable[[], int], *, most: int = MOST_LINKS, stranger_s: float = STRANGER_S,
                 nonce: Callable[[int], bytes] = secrets.token_bytes) -> None:
        """ValueError for short keys and long names, as `Seal`."""
        self._net, self._keys, self._fleet, self._me = net, list(keys), fleet, me
        self._heard, self._lost, self._now_us, self._nonce = heard, lost, now_us, nonce
        self._most, self._stranger_s = most, stranger_s
        self.boot = boot  # of the next links; rises where a peer knows a later life of ours
        self._raised_us: int | None = None
        self._boots: OrderedDict[str, int] = OrderedDict()  # highest of each sender; the one heard last is last
        self._links: set[StreamLink] = set()
        self._strangers: dict[StreamLink, asyncio.TimerHandle] = {}  # accepted, and nothing good has come; oldest first
        self._refusals = Refusals(f"fleet {fleet}, streams")
        self._closed = False
        self.seal("shards")

    @property
    def refused(self) -> Counter[str]:
        """Links that were ended, and frames that were not sent, by reason."""
        return self._refusals.counts

    def notes(self) -> list[str]:
        """Lines for operators about what was refused: one a reason in 10 seconds."""
        return self._refusals.lines(self._now_us())

    def accept(self, pipe: Pipe) -> tuple[Received, Lost]:
        """A pipe that another has opened (ports.Accept). At the bound, the oldest of those that have said nothing good
        gives way."""
        link = StreamLink(self, "", self._nonce(NONCE_BYTES))
        if len(self._links) >= self._most and self._strangers:
            oldest = next(iter(self._strangers))
            oldest.silent()
            self._links.discard(oldest)  # its end is told by and by
            self.known(oldest)
        if self._closed or len(self._links) >= self._most:
            self.refuse(link, "links", f"{self._most} links at most")
            pipe.close()
            return link.received, link.lost
        self._links.add(link)
        self._strangers[link] = asyncio.get_running_loop().call_later(self._stranger_s, link.silent)
        link.attach(pipe)
        return link.received, link.lost

    async def dial(self, name: str, address: str, within_s: float) -> StreamLink | None:
        """A link to `name`, which can be sent to at once; None where there is none within `within_s` seconds."""
        link = StreamLink(self, name, self._nonce(NONCE_BYTES))
        if self._closed or len(self._links) >= self._most:
            self.refuse(link, "links", f"{self._most} links at most")
            return None
        self._links.add(link)
        link.greeted = asyncio.get_running_loop().create_future()
        try:
            async with asyncio.timeout(within_s):
                link.attach(await self._net.dial(address, link.received, link.lost))
                await link.greeted
        except (OSError, TimeoutError):
            pass
        except BaseException:
            self._drop(link)
            raise
        if not link.open:
            self._drop(link)
            return None
        link.shown = True
        return link

    def _drop(self, link: StreamLink) -> None:
        link.close()
        self._links.discard(link)

    def close(self) -> None:
        """End all links at once, and take no new ones on."""
        self._closed = True
        for link in list(self._links):
            link.close()

    # --- for the links ---

    def seal(self, lane: str) -> Seal:
        """For one link."""
        return Seal(self._keys, self._fleet, self._me, self.boot, lane=lane, most_bytes=STREAM_BYTES)

    def current(self, sender: str, boot: int) -> int:
        """The highest boot number known of a sender, this one included."""
        highest = self._boots[sender] = max(boot, self._boots.get(sender, boot))
        self._boots.move_to_end(sender)
        if len(self._boots) > SENDERS:
            self._boots.popitem(last=False)
        return highest

    def elder(self, elder: Elder) -> None:
        """Somebody knows a later life of ours than this one (our disk was emptied): from the next link on ours is above
        it. At most once in 10 seconds."""
        now_us = self._now_us()
        if self.boot < elder.boot < BOOTS - 1 and (
                self._raised_us is None or now_us - self._raised_us >= NOTE_EVERY_US):
            self._raised_us = now_us
            self.boot = elder.boot + 1
            log.warning("the fleet knows a later life of this node: boot %d from now on", self.boot)

    def known(self, link: StreamLink) -> None:
        """Something good has come."""
        if (timer := self._strangers.pop(link, None)) is not None:
            timer.cancel()

    def heard(self, link: StreamLink, frame: Frame) -> None:
        """A frame of a good batch."""
        link.shown = True
        try:
            self._heard(link, frame)
        except Exception:  # guards the other links: a frame that can't be used may end its own one only
            log.exception("a frame of %s could not be used", link.peer)
            self.refuse(link, "unusable", "a frame that its reader can use", link.peer)
            link.close()

    def refuse(self, link: StreamLink, reason: str, expected: str, who: str = "") -> None:
        """Count it."""
        self._refusals.note(reason, who or link.peer, expected)

    def ended(self, link: StreamLink) -> None:
        """Its pipe has ended."""
        self._links.discard(link)
        self.known(link)
        if link.shown:
            try:
                self._lost(link)
            except Exception:  # guards the ends of the others, where all are closed
                log.exception("the end of the link of %s could not be told", link.peer)
