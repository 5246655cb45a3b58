"""Carries out the decisions about a courier's shards: subscribes to rows and passes them to the decision module,
exchanges learned state, opens and drops shards. Decides nothing itself."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Iterable, Mapping

from wheelstep.courier.config import ROW_ERRORS
from wheelstep.courier.rows import Row
from wheelstep.journal import StoredMessage
from wheelstep.shards import handoff, hosting, list_client
from wheelstep.shards.handoff import Handoff
from wheelstep.shards.homes import Homes
from wheelstep.shards.hosting import Hosting, ShardPhase
from wheelstep.shards.links import Links
from wheelstep.shards.list_client import ListClient
from wheelstep.shards.ports import CourierPort
from wheelstep.shards.router import Router
from wheelstep.shards.settings import NodeSettings
from wheelstep.shards.state_sender import LearnedStateSender
from wheelstep.shards.streams import StreamLink
from wheelstep.shards.types import (
    Behind,
    Current,
    Frame,
    KeysReleased,
    LearnedState,
    LearnedStateAck,
    ListRow,
    ShardRows,
    shard_of,
)
from wheelstep.shards.waiters import ShardWaiters


class ShardLifecycles:
    """The shards of courier `me`. `arm` is called whenever something may be due earlier than before."""

    def __init__(self, me: str, boot: int, settings: NodeSettings, control: Mapping[str, str], courier: CourierPort,
                 homes: Homes, router: Router, waits: ShardWaiters, read: Callable[[ListRow], Row], rng: random.Random,
                 now_us: Callable[[], int], arm: Callable[[], None], note: Callable[[str], None]) -> None:
        self._shards = settings.shards
        self._control, self._courier, self._waits, self._read = dict(control), courier, waits, read
        self._now_us, self._arm, self._note, self._dial_s = now_us, arm, note, settings.control_dial_us / 1e6
        self.hosting = Hosting(settings.guests, settings.guest_idle_us, settings.opens_within_us)
        self.handoff = Handoff(me, shards=settings.shards, boot=boot)
        self._router = router
        self.state_sender = LearnedStateSender(courier, homes, self.handoff, settings.push_us, now_us())
        self.list_client = ListClient(me, sorted(control), settings.shards, rng, now_us())
        self.links: Links
        self._control_links: dict[str, StreamLink] = {}
        self.counts: Counter[str] = Counter()

    # --- changes of homes, by this courier's view ---

    def became_home(self, shard: int, learned_received: bool) -> None:
        """This courier is home of the shard from now on; `learned_received`: no courier is there that could hand over
        learned state."""
        if self.hosting.has_rows(shard):  # otherwise once they arrive: adoption needs them
            self.run_handoff_actions(self.handoff.opening(self._now_us(), shard))
        self.run_hosting_actions(self.hosting.became_home(self._now_us(), shard, learned_received))

    def left_home(self, shard: int, to: str | None) -> None:
        """Another courier is home (`to`; None: no courier), and this one was, or still owes messages of the shard."""
        self.run_hosting_actions(self.hosting.left_home(self._now_us(), shard))
        if to is not None:
            self.run_handoff_actions(self.state_sender.hand_over(self._now_us(), shard, to))

    def serve_as_guest(self, shard: int) -> bool:
        """Starts serving the shard as guest; False if there is no room."""
        actions = self.hosting.serve_as_guest(self._now_us(), shard)
        self.run_hosting_actions(actions or ())
        return actions is not None

    def taken_for_other_home(self, message: StoredMessage) -> None:
        """A message was taken for a shard whose home is another courier."""
        now_us, shard = self._now_us(), shard_of(message.destination, self._shards)
        self.hosting.message_taken(now_us, shard)
        if message.key is not None and self.hosting.phase(shard) is ShardPhase.LEAVING:
            self.run_handoff_actions(self.state_sender.add_owed_keys(now_us, shard))

    def owed(self) -> None:
        """Serves shards while messages of them are owed, and drops those that are no longer needed."""
        self.run_hosting_actions(self.hosting.owed(self._now_us(), self._courier.owed()))

    # --- actions to carry out ---

    def run_hosting_actions(self, actions: Iterable[hosting.HostingAction]) -> None:
        """Carries out actions of `Hosting`."""
        follow = []
        for action in actions:
            match action:
                case hosting.FollowShard(shard):
                    follow.append(shard)
                case hosting.Opened(shard):
                    self._waits.notify(shard)
                case hosting.DropShard(shard):
                    self._drop_shard(shard)
        if follow:
            self.run_list_actions(self.list_client.follow(self._now_us(), follow))

    def _drop_shard(self, shard: int) -> None:
        rows = [ListRow(row.host, row.dial, row.site, row.kind, row.block, "DELETED", row.share)
                for row in self.list_client.rows_of(shard)]
        self.run_list_actions(self.list_client.unfollow(self._now_us(), [shard]))
        self._courier.listed(self._read_rows(rows))
        self._courier.drop({row.block for row in rows})
        self.state_sender.dropped(shard)
        self.run_handoff_actions(self.handoff.dropped(self._now_us(), shard))
        self._waits.notify(shard)

    def _read_rows(self, rows: Iterable[ListRow]) -> list[Row]:
        found = []
        for row in rows:
            try:
                found.append(self._read(row))
            except ROW_ERRORS:
                self.counts["unreadable_rows"] += 1
        return found

    def run_list_actions(self, actions: Iterable[list_client.ListAction]) -> None:
        """Carries out actions of `ListClient`."""
        for action in actions:
            match action:
                case list_client.Dial(control):
                    self.links.spawn(self._dial_control(control))
                case list_client.Disconnect(control):
                    if (link := self._control_links.pop(control, None)) is not None:
                        link.close()
                case list_client.Send(control, frame):
                    if (link := self._control_links.get(control)) is not None:
                        link.send(frame)
                case list_client.RowsChanged(shard, rows, first):
                    self._courier.listed(self._read_rows(rows))
                    if first:
                        if self.hosting.phase(shard) in (ShardPhase.OPENING, ShardPhase.HOME):
                            self.run_handoff_actions(self.handoff.opening(self._now_us(), shard))
                        self.run_hosting_actions(self.hosting.rows_received(self._now_us(), shard))
                        self._waits.notify(shard)
                case list_client.Note(text):
                    self._note(text)

    async def _dial_control(self, control: str) -> None:
        link = await self.links.dial(control, self._control[control], self._dial_s)
        if link is not None:
            self._control_links[control] = link
        self.run_list_actions(self.list_client.dialled(self._now_us(), control, link is not None))
        self._arm()

    def run_handoff_actions(self, actions: Iterable[handoff.HandoffAction]) -> None:
        """Carries out actions of `Handoff`."""
        for action in actions:
            match action:
                case handoff.SendTo(courier, frame):
                    self.links.send(courier, frame)
                case handoff.Adopt(_, healths, waits):
                    self._courier.adopt(healths, waits)
                case handoff.HandedOver(shard):
                    self.run_hosting_actions(self.hosting.learned_received(self._now_us(), shard))

    # --- frames received ---

    def heard(self, link: StreamLink, frame: Frame) -> None:
        """Handles a frame from another courier or a control machine."""
        now_us = self._now_us()
        match frame:
            case ShardRows() | Current() | Behind() if self._control_links.get(link.peer) is link:
                self.run_list_actions(self.list_client.heard(now_us, link.peer, frame))
            case LearnedState() | LearnedStateAck() | KeysReleased() if link.peer not in self._control:
                here = self.hosting.phase(frame.shard) in (ShardPhase.OPENING, ShardPhase.HOME)
                if actions := self.handoff.heard(now_us, link.peer, frame, here):
                    if here and isinstance(frame, LearnedState) and frame.handover:
                        self._router.handed_over(now_us, frame.shard, link.peer)
                    self.run_handoff_actions(actions)
            case _:
                self.counts["unexpected_frames"] += 1
        self._arm()

    def lost(self, link: StreamLink) -> None:
        """A link has ended."""
        if self._control_links.get(link.peer) is link:
            del self._control_links[link.peer]
            self.run_list_actions(self.list_client.lost(self._now_us(), link.peer))
            self._arm()
        else:
            self.handoff.lost(link.peer)

    # --- the clock ---

    def next_us(self) -> int:
        """When `tick` is due."""
        return min(self.list_client.next_us(), self.hosting.next_us(), self.handoff.next_us(),
                   self.state_sender.next_us)

    def tick(self, now_us: int) -> None:
        """Does what is due."""
        self.run_list_actions(self.list_client.tick(now_us))
        self.run_hosting_actions(self.hosting.tick(now_us))
        self.run_handoff_actions(self.handoff.tick(now_us))
        if now_us >= self.state_sender.next_us:
            self.run_handoff_actions(self.state_sender.tick(now_us, self.hosting.shards_in(ShardPhase.HOME)))
            self.owed()
