"""What is decided about a courier's shards, carried out: rows are followed and handed to the module, learned state goes
and comes, shards open and are dropped. No policy here.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Iterable, Mapping

from wheelstep.courier.config import UNREADABLE
from wheelstep.courier.rows import Row
from wheelstep.journal import Stored
from wheelstep.shards import handoff, hosting, list_client
from wheelstep.shards.handoff import Handoff
from wheelstep.shards.homes import Homes
from wheelstep.shards.hosting import Hosting, Life
from wheelstep.shards.links import Links
from wheelstep.shards.list_client import ListClient
from wheelstep.shards.ports import Shelf
from wheelstep.shards.router import Router
from wheelstep.shards.settings import NodeSettings
from wheelstep.shards.streams import StreamLink
from wheelstep.shards.teaching import Teaching
from wheelstep.shards.types import (
    Behind,
    Current,
    Frame,
    KeysOver,
    Learned,
    LearnedHeard,
    ListRow,
    ShardRows,
    shard_of,
)
from wheelstep.shards.waits import Waits


class Lives:
    """The lives of shards at courier `me`. `arm` is called when something may be due sooner than before."""

    def __init__(self, me: str, boot: int, settings: NodeSettings, control: Mapping[str, str], shelf: Shelf,
                 homes: Homes, router: Router, waits: Waits, read: Callable[[ListRow], Row], rng: random.Random,
                 now_us: Callable[[], int], arm: Callable[[], None], note: Callable[[str], None]) -> None:
        self._shards = settings.shards
        self._control, self._shelf, self._waits, self._read = dict(control), shelf, waits, read
        self._now_us, self._arm, self._note, self._dial_s = now_us, arm, note, settings.control_dial_us / 1e6
        self.hosting = Hosting(settings.guests, settings.guest_idle_us, settings.opens_within_us)
        self.handoff = Handoff(me, shards=settings.shards, boot=boot)
        self._router = router
        self.teaching = Teaching(shelf, homes, self.handoff, settings.push_us, now_us())
        self.list_client = ListClient(me, sorted(control), settings.shards, rng, now_us())
        self.links: Links
        self._control_links: dict[str, StreamLink] = {}
        self.counts: Counter[str] = Counter()

    # --- homes by this courier's view ---

    def came_home(self, shard: int, taught: bool) -> None:
        """It is home here from now on; `taught`: nobody is there to hand learned state over."""
        if self.hosting.has_rows(shard):  # else once they are there: what is adopted needs them
            self.handed(self.handoff.opening(self._now_us(), shard))
        self.hosted(self.hosting.became_home(self._now_us(), shard, taught))

    def left_home(self, shard: int, to: str | None) -> None:
        """It is home elsewhere, and was here, or is owed here still."""
        self.hosted(self.hosting.left_home(self._now_us(), shard))
        if to is not None:
            self.handed(self.teaching.give(self._now_us(), shard, to))

    def be_guest(self, shard: int) -> bool:
        """Serve it for a while; False without room."""
        acts = self.hosting.be_guest(self._now_us(), shard)
        self.hosted(acts or ())
        return acts is not None

    def took(self, message: Stored) -> None:
        """A message was taken for a shard whose home is another."""
        now_us, shard = self._now_us(), shard_of(message.destination, self._shards)
        self.hosting.used(now_us, shard)
        if message.key is not None and self.hosting.life(shard) is Life.LEAVING:
            self.handed(self.teaching.owes_more(now_us, shard))

    def owed(self) -> None:
        """Serve what is owed for as long as it is; drop what is served for nothing."""
        self.hosted(self.hosting.owed(self._now_us(), self._shelf.owed()))

    # --- what is to be done ---

    def hosted(self, acts: Iterable[hosting.HostAct]) -> None:
        """Of `Hosting`."""
        follow = []
        for act in acts:
            match act:
                case hosting.FollowShard(shard):
                    follow.append(shard)
                case hosting.Opened(shard):
                    self._waits.news(shard)
                case hosting.DropShard(shard):
                    self._drop(shard)
        if follow:
            self.listed(self.list_client.follow(self._now_us(), follow))

    def _drop(self, shard: int) -> None:
        rows = [ListRow(row.host, row.dial, row.site, row.kind, row.block, "DELETED", row.share)
                for row in self.list_client.rows_of(shard)]
        self.listed(self.list_client.unfollow(self._now_us(), [shard]))
        self._shelf.listed(self._rows(rows))
        self._shelf.drop({row.block for row in rows})
        self.teaching.dropped(shard)
        self.handed(self.handoff.dropped(self._now_us(), shard))
        self._waits.news(shard)

    def _rows(self, rows: Iterable[ListRow]) -> list[Row]:
        found = []
        for row in rows:
            try:
                found.append(self._read(row))
            except UNREADABLE:
                self.counts["unreadable_rows"] += 1
        return found

    def listed(self, acts: Iterable[list_client.ListAct]) -> None:
        """Of `ListClient`."""
        for act in acts:
            match act:
                case list_client.Dial(control):
                    self.links.keep(self._dial_control(control))
                case list_client.HangUp(control):
                    if (link := self._control_links.pop(control, None)) is not None:
                        link.close()
                case list_client.Tell(control, frame):
                    if (link := self._control_links.get(control)) is not None:
                        link.send(frame)
                case list_client.Changed(shard, rows, first):
                    self._shelf.listed(self._rows(rows))
                    if first:
                        if self.hosting.life(shard) in (Life.OPENING, Life.HOME):
                            self.handed(self.handoff.opening(self._now_us(), shard))
                        self.hosted(self.hosting.rows_came(self._now_us(), shard))
                        self._waits.news(shard)
                case list_client.Note(text):
                    self._note(text)

    async def _dial_control(self, control: str) -> None:
        link = await self.links.dial(control, self._control[control], self._dial_s)
        if link is not None:
            self._control_links[control] = link
        self.listed(self.list_client.dialled(self._now_us(), control, link is not None))
        self._arm()

    def handed(self, acts: Iterable[handoff.HandAct]) -> None:
        """Of `Handoff`."""
        for act in acts:
            match act:
                case handoff.SendTo(courier, frame):
                    self.links.send(courier, frame)
                case handoff.Adopt(_, healths, waits):
                    self._shelf.adopt(healths, waits)
                case handoff.Taught(shard):
                    self.hosted(self.hosting.taught(self._now_us(), shard))

    # --- what comes ---

    def heard(self, link: StreamLink, frame: Frame) -> None:
        """From another courier or a control machine."""
        now_us = self._now_us()
        match frame:
            case ShardRows() | Current() | Behind() if self._control_links.get(link.peer) is link:
                self.listed(self.list_client.heard(now_us, link.peer, frame))
            case Learned() | LearnedHeard() | KeysOver() if link.peer not in self._control:
                here = self.hosting.life(frame.shard) in (Life.OPENING, Life.HOME)
                if acts := self.handoff.heard(now_us, link.peer, frame, here):
                    if here and isinstance(frame, Learned) and frame.handover:
                        self._router.handed_over(now_us, frame.shard, link.peer)
                    self.handed(acts)
            case _:
                self.counts["unexpected_frames"] += 1
        self._arm()

    def lost(self, link: StreamLink) -> None:
        """A link has ended."""
        if self._control_links.get(link.peer) is link:
            del self._control_links[link.peer]
            self.listed(self.list_client.lost(self._now_us(), link.peer))
            self._arm()
        else:
            self.handoff.lost(link.peer)

    # --- the clock ---

    def next_us(self) -> int:
        """When `tick` is wanted."""
        return min(self.list_client.next_us(), self.hosting.next_us(), self.handoff.next_us(), self.teaching.next_us)

    def tick(self, now_us: int) -> None:
        """What is due."""
        self.listed(self.list_client.tick(now_us))
        self.hosted(self.hosting.tick(now_us))
        self.handed(self.handoff.tick(now_us))
        if now_us >= self.teaching.next_us:
            self.handed(self.teaching.tick(now_us, self.hosting.of(Life.HOME)))
            self.owed()
