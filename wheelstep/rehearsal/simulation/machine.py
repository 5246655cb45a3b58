"""A simulated machine with one courier's process. It performs the node's actions in virtual time; a crash can end the
process at any boundary between two actions.

Imports `wheelstep.fleet.types` and the neighbouring modules `world`, `disk` and `ports`.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Any

import msgspec

from wheelstep.fleet.types import Action, Answer, Ask, Call, Note, Packet, Reply, Save, SendPacket
from wheelstep.rehearsal.simulation.disk import CrashError, Disk, RecordFile, SyncQueue
from wheelstep.rehearsal.simulation.ports import NodeLike
from wheelstep.rehearsal.simulation.world import MS, Clock, World

if TYPE_CHECKING:
    from wheelstep.rehearsal.simulation.content import SimContent

COMPACT_AT_RECORDS = 300  # size of the fleet's log beyond which it is replaced by a snapshot
MAX_QUEUED_DATAGRAMS = 200  # events that wait for a paused process; beyond it, datagrams are dropped
ASK_DECODER, ANSWER_DECODER = msgspec.msgpack.Decoder(Ask), msgspec.msgpack.Decoder(Answer)


class Machine:
    """A machine and its process. `make_process` builds node and content from the disk's records at each start;
    `on_end` is called after each end of the process, with whether it left, and `on_left` before that if it did."""

    def __init__(self, name: str, world: World, clock: Clock, disk: Disk, fleet: dict[str, Machine],
                 make_process: Callable[[Machine], tuple[NodeLike, SimContent]]) -> None:
        self.name, self.world, self.clock, self.disk, self.fleet, self._make_process = \
            name, world, clock, disk, fleet, make_process
        self.address = f"127.0.1.{len(fleet) + 1}:7000"
        self.generation = self.boot = 0  # `generation` rises at each start and end, `boot` at each start
        self.alive = self.paused = self.leaving = False
        self.crash_countdown = 0  # action boundaries until a crash; 0: none is set
        self.power_loss = False  # whether the crash that is set is a power loss
        self.on_end: Callable[[Machine, bool], None] = lambda machine, left: None
        self.on_left: Callable[[], None] = lambda: None
        self.fleet[name] = self

    def start(self) -> None:
        """Start a process on the disk's present state."""
        self.generation += 1
        self.boot += 1
        self.alive, self.paused, self.leaving = True, False, False
        self._backlog: list[tuple[Callable[..., None], tuple[Any, ...]]] = []
        self._open_calls: dict[int, int] = {}  # tokens of calls that have no answer yet; the values mean nothing
        self._open_asks: dict[int, tuple[Machine, int, int]] = {}  # token -> caller, its generation, its token
        self._last_token, self._timer_us, self._last_tick = 0, -1, (0, 0)
        self._sync_queue, self._saves_in_progress = SyncQueue(), 0
        self.world.trace(self.name, "start", "boot", self.boot, "log", self.disk.log.end_offset)
        self.node, self.content = self._make_process(self)
        self.run_event(self.generation, lambda: self.perform(self.node.tick(self.local_us())))

    def crash(self, power_loss: bool = False) -> None:
        """End the process at once."""
        if not self.alive:
            return
        self.world.trace(self.name, "crash", "power" if power_loss else "process")
        self.alive, self.crash_countdown, self.power_loss = False, 0, False
        self.generation += 1
        self.disk.crash(power_loss)
        self.on_end(self, False)

    def set_paused(self, paused: bool) -> None:
        """Pause the process, or continue it with the events that arrived meanwhile, in random order."""
        if not self.alive or self.paused == paused:
            return
        self.world.trace(self.name, "stopped" if paused else "woken", len(self._backlog))
        self.paused = paused
        if not paused:
            backlog, self._backlog = self._backlog, []
            self.world.net.rng.shuffle(backlog)
            for callback, args in backlog:
                self.run_event(self.generation, callback, *args)

    def leave(self) -> None:
        """Start a departure: the node gives all parts away, then the process ends."""
        if self.alive and not self.leaving:
            self.world.trace(self.name, "leave")
            self.leaving = True
            self.run_event(self.generation, lambda: self.perform(self.node.leave(self.local_us())))

    def local_us(self) -> int:
        """Return the time of this machine's clock."""
        return self.clock.local_time(self.world.now_us)

    def run_event(self, generation: int, callback: Callable[..., None], *args: Any) -> None:
        """Run an event for one generation of the process: not if that has ended, and later if it is paused."""
        if generation != self.generation or not self.alive:
            return
        if self.paused:
            if callback != self._on_datagram or len(self._backlog) < MAX_QUEUED_DATAGRAMS:
                self._backlog.append((callback, args))
            return
        try:
            callback(*args)
            if self.leaving and self.node.left:
                self.world.trace(self.name, "left")
                self.alive, self.generation = False, self.generation + 1
                self.on_left()
                self.on_end(self, True)
                return
        except CrashError:
            self.crash(self.power_loss)
            return
        self.arm_timer()

    def pass_boundary(self) -> None:
        """Pass the boundary between two actions; raises `CrashError` if the process is to end here."""
        world = self.world
        world.boundaries += 1
        if world.boundaries == world.crash_boundary:
            self.power_loss, self.crash_countdown = world.crash_is_power_loss, 1
        if self.crash_countdown:
            self.crash_countdown -= 1
            if not self.crash_countdown:
                raise CrashError

    def arm_timer(self) -> None:
        """Schedule a timer event at the earliest time that node or content ask for."""
        due_us = max(self.clock.true_time(min(self.node.next_us(), self.content.next_us())), self.world.now_us)
        if self._timer_us < 0 or due_us < self._timer_us:
            self._timer_us = due_us
            self.world.schedule_at(due_us, self.run_event, self.generation, self._on_timer, due_us)

    def _on_timer(self, timer_us: int) -> None:
        if timer_us != self._timer_us:
            return
        self._timer_us = -1
        now_us = self.local_us()
        count = self._last_tick[1] + 1 if self._last_tick[0] == now_us else 0
        self._last_tick = now_us, count
        if count > 100:
            raise RuntimeError(f"{self.name}: a timer is set for a time that is already past, again and again")
        if now_us >= self.node.next_us():
            self.perform(self.node.tick(now_us))
        if now_us >= self.content.next_us():
            self.content.tick(now_us)

    def schedule_local(self, delay_us: int, callback: Callable[..., None], *args: Any) -> None:
        """Schedule an event of this generation after a delay by this machine's clock."""
        self.world.schedule_at(self.clock.true_time(self.local_us() + delay_us),
                               self.run_event, self.generation, callback, *args)

    def perform(self, actions: Sequence[Action]) -> None:
        """Perform the node's actions in order, with a boundary before each."""
        for action in actions:
            self.pass_boundary()
            match action:
                case SendPacket():
                    self._send_packet(action)
                case Call():
                    self._start_call(action)
                case Reply():
                    self._send_reply(action)
                case Save():
                    self._save_records(action)
                case Note():
                    self.world.trace(self.name, "note", action.text)

    def _send_packet(self, action: SendPacket) -> None:
        receiver = next((one for one in self.fleet.values() if one.address == action.address), None)
        if receiver is None:
            return
        if (size := len(msgspec.msgpack.encode(action.packet))) > 1200:
            raise RuntimeError(f"{self.name}: a datagram of {size} bytes, expected at most 1,200")
        for delay in self.world.net.draw_delays(self.name, receiver.name, False):
            self.world.schedule_after(delay, lambda receiver=receiver: receiver.run_event(
                receiver.generation, receiver._on_datagram, self.name, self.address, action.packet))

    def _on_datagram(self, sender: str, address: str, packet: Packet) -> None:
        self.perform(self.node.packet(self.local_us(), sender, address, packet))

    def _start_call(self, action: Call) -> None:
        token = action.token
        if token in self._open_calls:
            raise RuntimeError(f"{self.name}: token {token} is used twice")
        self._open_calls[token] = 1
        self.schedule_local(action.timeout_us, self._on_answer, token, None)
        self.world.trace(self.name, "call", action.member, action.ask)
        receiver = self.fleet.get(action.member)
        if receiver is None or not receiver.alive:
            if receiver is not None and (receiver.name, self.name) not in self.world.net.blocked_links:
                self.schedule_local(MS, self._on_answer, token, None)  # the connection is refused
            return
        data = msgspec.msgpack.encode(action.ask)  # in its wire format
        for delay in self._draw_stream_delays(receiver):
            self.world.schedule_after(
                delay, receiver.run_event, receiver.generation, receiver._on_ask, self, self.generation, token, data)

    def _on_ask(self, caller: Machine, generation: int, caller_token: int, data: bytes) -> None:
        token = self._last_token = self._last_token + 1
        self._open_asks[token] = caller, generation, caller_token
        self.perform(self.node.asked(self.local_us(), token, caller.name, ASK_DECODER.decode(data)))

    def _send_reply(self, action: Reply) -> None:
        caller, generation, caller_token = self._open_asks.pop(action.token)  # KeyError at a second answer
        self.world.trace(self.name, "reply", caller.name, action.answer)
        data = msgspec.msgpack.encode(action.answer)
        for delay in self._draw_stream_delays(caller):
            self.world.schedule_after(delay, caller.run_event, generation, caller._on_answer, caller_token, data)

    def _draw_stream_delays(self, receiver: Machine) -> list[int]:
        return [50] if receiver is self else self.world.net.draw_delays(self.name, receiver.name, True)

    def _on_answer(self, token: int, data: bytes | None) -> None:
        if self._open_calls.pop(token, None) is not None:
            answer = None if data is None else ANSWER_DECODER.decode(data)
            self.perform(self.node.answered(self.local_us(), token, answer))

    def _save_records(self, action: Save) -> None:
        if self.disk.full:
            self.schedule_local(MS, self._on_saved, action.token, False)
            return
        offset = self.disk.log.write(action.records)
        self._saves_in_progress += 1
        self.pass_boundary()
        self.sync(self.disk.log, offset, lambda: self._on_saved(action.token, True))

    def _on_saved(self, token: int, ok: bool) -> None:
        self._saves_in_progress -= ok
        self.perform(self.node.saved(self.local_us(), token, ok))
        if not self._saves_in_progress and len(self.disk.log.records) > COMPACT_AT_RECORDS:
            self.pass_boundary()
            self.disk.log.replace(self.node.snapshot())
            self.pass_boundary()

    def sync(self, file: RecordFile, offset: int, callback: Callable[[], None]) -> None:
        """Call back once `file` is synced up to `offset`; requests made during a sync share the next one."""
        if self._sync_queue.request(file, offset, callback):
            self._begin_sync()

    def _begin_sync(self) -> None:
        if self._sync_queue.begin_next():
            self.world.schedule_after(self.disk.draw_sync_us(), self.run_event, self.generation, self._on_synced)

    def _on_synced(self) -> None:
        callbacks = self._sync_queue.finish(self.disk)
        self._begin_sync()
        for callback in callbacks:
            self.pass_boundary()
            callback()
