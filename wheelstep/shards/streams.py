"""The sealed streams of one courier or control machine. Anything that does not open with a valid seal ends its link, is
counted and reported now and then, and is not passed on. `stream_link` describes the wire format and the protection
against replay."""

from __future__ import annotations

import asyncio
import logging
import secrets
from collections import Counter, OrderedDict
from collections.abc import Callable, Sequence

from wheelstep.fleet.packets import BOOT_LIMIT, NOTE_EVERY_US, STREAM_BYTES, HigherBoot, PacketSeal
from wheelstep.shards.ports import Lost, Net, Pipe, Received
from wheelstep.shards.refusals import Refusals
from wheelstep.shards.stream_link import NONCE_BYTES, StreamLink
from wheelstep.shards.types import Frame

__all__ = ["StreamLink", "Streams"]

MAX_LINKS = 4_096
MAX_SENDERS = 4_096  # number of senders whose boot numbers are kept
FIRST_PACKET_S = 5.0  # time limit for the first valid packet on an accepted link

log = logging.getLogger(__name__)


class Streams:
    """Dials and accepts links. `heard` receives each frame; `lost` receives the end, once, of each link that `dial`
    returned or `heard` named, also after `close`."""

    def __init__(self, net: Net, keys: Sequence[bytes], fleet: str, me: str, boot: int,
                 heard: Callable[[StreamLink, Frame], None], lost: Callable[[StreamLink], None],
                 now_us: Callable[[], int], *, max_links: int = MAX_LINKS, first_packet_s: float = FIRST_PACKET_S,
                 nonce: Callable[[int], bytes] = secrets.token_bytes) -> None:
        """Raises `ValueError` for short keys and long names, as `PacketSeal` does."""
        self._net, self._keys, self._fleet, self._me = net, list(keys), fleet, me
        self._heard, self._lost, self._now_us, self._nonce = heard, lost, now_us, nonce
        self._max_links, self._first_packet_s = max_links, first_packet_s
        self.boot = boot  # for new links; increased where a peer knows a higher boot number of this node
        self._boot_raised_us: int | None = None
        self._boots: OrderedDict[str, int] = OrderedDict()  # highest by sender, least recently used first
        self._links: set[StreamLink] = set()
        self._unauthenticated: dict[StreamLink, asyncio.TimerHandle] = {}  # accepted, no valid packet yet; oldest first
        self._refusals = Refusals(f"fleet {fleet}, streams")
        self._closed = False
        self.seal("shards")

    @property
    def refused(self) -> Counter[str]:
        """Counts of links ended and of frames not sent, by reason."""
        return self._refusals.counts

    def notes(self) -> list[str]:
        """Lines for operators about refused input: one per reason in 10 seconds."""
        return self._refusals.lines(self._now_us())

    def accept(self, pipe: Pipe) -> tuple[Received, Lost]:
        """Handles a pipe opened by a peer (ports.Accept). At the limit, the oldest link without a valid packet is
        ended."""
        link = StreamLink(self, "", self._nonce(NONCE_BYTES))
        if len(self._links) >= self._max_links and self._unauthenticated:
            oldest = next(iter(self._unauthenticated))
            oldest.time_out_first_packet()
            self._links.discard(oldest)  # its end is reported later
            self.authenticated(oldest)
        if self._closed or len(self._links) >= self._max_links:
            self.refuse(link, "links", f"{self._max_links} links at most")
            pipe.close()
            return link.received, link.lost
        self._links.add(link)
        self._unauthenticated[link] = asyncio.get_running_loop().call_later(
            self._first_packet_s, link.time_out_first_packet)
        link.attach(pipe)
        return link.received, link.lost

    async def dial(self, name: str, address: str, within_s: float) -> StreamLink | None:
        """A link to `name` that can be sent on at once; None if none is established within `within_s` seconds."""
        link = StreamLink(self, name, self._nonce(NONCE_BYTES))
        if self._closed or len(self._links) >= self._max_links:
            self.refuse(link, "links", f"{self._max_links} links at most")
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
        link.reported = True
        return link

    def _drop(self, link: StreamLink) -> None:
        link.close()
        self._links.discard(link)

    def close(self) -> None:
        """Ends all links at once and accepts no more."""
        self._closed = True
        for link in list(self._links):
            link.close()

    # --- for the links ---

    def seal(self, lane: str) -> PacketSeal:
        """The seal for one link."""
        return PacketSeal(self._keys, self._fleet, self._me, self.boot, lane=lane, max_bytes=STREAM_BYTES)

    def highest_boot(self, sender: str, boot: int) -> int:
        """The highest known boot number of a sender, including this one."""
        highest = self._boots[sender] = max(boot, self._boots.get(sender, boot))
        self._boots.move_to_end(sender)
        if len(self._boots) > MAX_SENDERS:
            self._boots.popitem(last=False)
        return highest

    def elder(self, elder: HigherBoot) -> None:
        """A peer knows a higher boot number of this node (as when its disk was emptied): new links use a number above
        that. At most once in 10 seconds."""
        now_us = self._now_us()
        if self.boot < elder.boot < BOOT_LIMIT - 1 and (
                self._boot_raised_us is None or now_us - self._boot_raised_us >= NOTE_EVERY_US):
            self._boot_raised_us = now_us
            self.boot = elder.boot + 1
            log.warning("the fleet knows a higher boot of this node: boot %d is used from now on", self.boot)

    def authenticated(self, link: StreamLink) -> None:
        """The first valid packet has arrived on the link."""
        if (timer := self._unauthenticated.pop(link, None)) is not None:
            timer.cancel()

    def heard(self, link: StreamLink, frame: Frame) -> None:
        """Passes on a frame of a valid batch."""
        link.reported = True
        try:
            self._heard(link, frame)
        except Exception:  # protects the other links: an unusable frame ends its own link only
            log.exception("handling a frame from %s failed", link.peer)
            self.refuse(link, "unusable", "a frame that its reader can use", link.peer)
            link.close()

    def refuse(self, link: StreamLink, reason: str, expected: str, who: str = "") -> None:
        """Counts a refusal."""
        self._refusals.note(reason, who or link.peer, expected)

    def ended(self, link: StreamLink) -> None:
        """The link's pipe has ended."""
        self._links.discard(link)
        self.authenticated(link)
        if link.reported:
            try:
                self._lost(link)
            except Exception:  # protects the other links when all of them are closed
                log.exception("reporting the end of the link to %s failed", link.peer)
