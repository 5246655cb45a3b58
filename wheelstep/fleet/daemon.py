"""The daemon of a fleet courier: runs the node on sockets, a clock and a log on disk, and connects its channels to the
client server.

Imported only if the operator's file has `[fleet]` with `on = true`.
"""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Callable, Coroutine, Sequence
from concurrent.futures import ThreadPoolExecutor

from wheelstep.channels.book import ChannelTable
from wheelstep.channels.content import ChannelContent
from wheelstep.channels.contracts import describe_changes
from wheelstep.channels.front import ChannelAdmission, ChannelClientApi, channel_headers
from wheelstep.channels.kept import ChannelJournal
from wheelstep.courier.admission import Admission, ClientApi
from wheelstep.courier.config import Address, Config, ConfigError
from wheelstep.courier.core import Core
from wheelstep.fleet.clocks import now_ms, now_us
from wheelstep.fleet.log import Log, LogBrokenError, LogDamagedError
from wheelstep.fleet.node import Node
from wheelstep.fleet.peers import Peers
from wheelstep.fleet.settings import FleetConfig, settings_of
from wheelstep.fleet.types import Action, Answer, Ask, Call, Member, Note, Packet, Reply, Save, SendPacket, State
from wheelstep.journal import Journal, NoRoomError
from wheelstep.journal.disk import Folder

_NOTES_INTERVAL_S = 5.0
_MOVE_RETRY_S = 0.02  # retry delay during a move, which pauses a part for some tens of milliseconds
_ANSWER_TIMEOUT_S = 10.0  # timeout of the answer to a peer's request, including its save

log = logging.getLogger("wheelstep.fleet")


class FleetDaemon:
    """Runs the node of a fleet beside a courier's core. The core uses `kept` in place of the journal. Raises
    `ConfigError`."""

    lists = False  # endpoints come from discovery

    def __init__(self, config: Config, fleet: FleetConfig, journal: Journal) -> None:
        self.config, self._fleet, self._table = config, fleet, fleet.table
        self.channel_table = ChannelTable(fleet.contracts, fleet.table.parts, fleet.table.most_channels, now_ms())
        self.kept = ChannelJournal(journal, self.channel_table, fleet.table.parts, now_ms)
        self._disk = Folder(config.state / "fleet")
        (config.state / "fleet").mkdir(parents=True, exist_ok=True)
        self._log, self._records = self._open_log()
        self._thread = ThreadPoolExecutor(1, "fleet-log")
        self._saves: list[Save] = []
        self._saving: asyncio.Task[None] | None = None
        self._broken = False  # the last write failed
        self._requests: dict[int, asyncio.Future[Answer]] = {}
        self._token = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None

    def _open_log(self) -> tuple[Log, Sequence[bytes]]:
        least_boot = int(time.time())
        try:
            return Log.open(self._disk, least_boot)
        except LogDamagedError as error:
            log.error("%s: renamed to fleet.damaged; this courier's voter starts without state", error)
            return Log.create_after_damage(self._disk, max(least_boot, error.boot + 1)), ()
        except OSError as error:
            raise ConfigError(f"{self.config.state / 'fleet'}: {error}") from error

    def join(self, core: Core) -> tuple[Admission, ClientApi | None, Callable[[int], Admission] | None]:
        """Create what needs the core, and return the interfaces for the client server."""
        table, config = self._table, self.config
        self._core = core
        self.content = ChannelContent(core, self.kept, self.channel_table, now_ms)
        listen = Address.parse(table.listen or "")
        me = Member(config.name, self._log.boot, State.ALIVE, table.address or f"{listen.host}:{listen.port}",
                    table.serves or f"{config.listen.host}:{config.listen.port}", table.weight, table.zone)
        peers = {name: address for name, address in table.peers.items() if name != config.name}
        self.node = Node(me, settings_of(table), peers, self.content, self._records,
                         random.Random(f"{config.seed} {self._log.boot}"), now_us())
        self._records = ()
        self.content.epoch = lambda number: self.node.epoch(number, now_us())
        self.peers = Peers(self._fleet.keys, table.name, config.name, self._log.boot, now_us, self._on_packet,
                           self._on_request)
        self.admission = ChannelAdmission(core, self.kept, self.content, now_ms, lambda: int(time.time() * 1000))
        front = ChannelClientApi(core.ordered, self.channel_table, self.content, table.parts, now_ms, self._redirect)
        core.endpoint_client.sign = channel_headers(self.kept, self.content)
        return self.admission, front, None

    def restore(self) -> None:
        """Restore the journal's state. Channel messages wait until this courier owns their part again."""
        self._core.restore(self.kept.marks, self.content.restore(self.kept.marks))
        for message in self.kept.messages.values():
            if message.channel is not None and message.notice is None:
                self.admission.watch_deadline(message)

    def _redirect(self, part: int) -> tuple[str, float]:
        """Return the client address for a part not served here ("" if unknown), and the retry delay in seconds."""
        serves = self.node.client_address(part)
        if serves != self.node.membership.me.serves and serves:
            return serves, _MOVE_RETRY_S
        return "", _MOVE_RETRY_S if self.node.is_moving(part) else self._table.lease / 4e6

    async def start(self) -> None:
        """Listen for peers and start the node. Raises `ConfigError`."""
        try:
            await self.peers.start(Address.parse(self._table.listen or ""))
        except OSError as error:
            raise ConfigError(f"fleet.listen: {self._table.listen}: {error}") from error
        self._tick()
        self.admission.wake()

    async def run(self) -> None:
        """Log refused packets periodically, forever."""
        while True:
            await asyncio.sleep(_NOTES_INTERVAL_S)
            for line in self.peers.notes():
                log.warning("%s", line)

    def renew(self, fleet: FleetConfig) -> None:
        """Apply a reloaded operator's file: only contracts change; all else takes effect at the next start."""
        for line in describe_changes(self.channel_table.contracts, fleet.contracts):
            log.info("%s", line)
        self.channel_table.contracts = fleet.contracts

    async def leave(self) -> None:
        """Give the parts away within `give_away_within`, if `give_away` is set."""
        if not self._table.give_away:
            return
        log.info("leaving: %d parts to give away, %d messages owed", len(self.node.owned(now_us())),
                 self.content.owed())
        self._execute(self.node.leave(now_us()))
        until = asyncio.get_running_loop().time() + self._table.give_away_within / 1e6
        while not (self.node.left and not self.content.owed()) and asyncio.get_running_loop().time() < until:
            await asyncio.sleep(0.01)
        log.info("left: %d parts and %d messages remain here", len({*self.node.owned(now_us()),
                 *self.node.taker.sealed_parts()}), self.content.owed())

    async def close(self) -> None:
        """Stop serving all parts, and close the sockets and the log."""
        for number in range(self._table.parts):
            self.content.shut(number)
        if self._table.give_away:
            self._execute(self.node.end(now_us()))
        if self._timer is not None:
            self._timer.cancel()
        for task in list(self._tasks):
            task.cancel()
        await self.peers.close()
        self._thread.shutdown(wait=True)
        self._log.close()

    # --- the node on the loop ---

    def _tick(self) -> None:
        self._timer = None
        self._execute(self.node.tick(now_us()))

    def _schedule_tick(self) -> None:
        in_s = max(0.0, (self.node.next_us() - now_us()) / 1e6)
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_later(max(in_s, 0.001), self._tick)

    def _on_packet(self, sender: str, address: str, packet: Packet) -> None:
        self._execute(self.node.packet(now_us(), sender, address, packet))

    async def _on_request(self, sender: str, ask: Ask) -> Answer | None:
        self._token += 1
        token = self._token
        future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self._requests[token] = future
        try:
            self._execute(self.node.asked(now_us(), token, sender, ask))
            async with asyncio.timeout(_ANSWER_TIMEOUT_S):
                return await future
        except TimeoutError:
            return None
        finally:
            del self._requests[token]

    def _execute(self, actions: Sequence[Action]) -> None:
        for action in actions:
            match action:
                case SendPacket(address, packet):
                    self.peers.send(address, self.node.membership.name_at(address), packet)
                case Call():
                    self._spawn(self._call(action))
                case Reply(token, answer):
                    if (future := self._requests.get(token)) is not None and not future.done():
                        future.set_result(answer)
                case Save():
                    self._saves.append(action)
                    if self._saving is None:
                        self._saving = self._spawn(self._save())
                case Note(text):
                    log.info("%s", text)
        self._schedule_tick()

    def _spawn(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            log.error("a background task of the fleet failed", exc_info=error)

    async def _call(self, call: Call) -> None:
        address = self.node.membership.address_of(call.member) or self._table.peers.get(call.member, "")
        answer = None
        if address:
            answer = await self.peers.ask(address, call.member, call.ask, call.timeout_us / 1e6)
        self._execute(self.node.answered(now_us(), call.token, answer))

    async def _save(self) -> None:
        """Write all pending saves with one write and one sync, until none are left. The journal is synced first: these
        records refer to what the content has written there."""
        while self._saves:
            saves, self._saves = self._saves, []
            records = [record for save in saves for record in save.records]
            snapshot = self.node.snapshot() if self._log.needs_compaction or self._broken else None
            try:
                if self.kept.waits:
                    await self.kept.durable()
                await asyncio.get_running_loop().run_in_executor(self._thread, self._write, records, snapshot)
                self._broken = False
            except (OSError, LogBrokenError, LogDamagedError, NoRoomError) as error:
                log.error("the fleet's log: %s; answers that depend on it are withheld", error)
                self._broken = True
            for save in saves:
                self._execute(self.node.saved(now_us(), save.token, not self._broken))
        self._saving = None

    def _write(self, records: Sequence[bytes], snapshot: Sequence[bytes] | None) -> None:
        """Write to the log, in its own thread: a hanging disk blocks only what must be saved."""
        if self._broken:
            boot = self._log.boot
            self._log.close()
            self._log, _ = Log.open(self._disk, boot)
        if snapshot is not None:
            self._log.compact(snapshot)
        else:
            self._log.append(records)
            self._log.sync()
