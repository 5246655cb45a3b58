"""A machine with one courier's process: carries out what the node's decisions ask for, in virtual time, and ends at any
boundary between two of them.

Imports `wheelstep.fleet.types` and its neighbours `world`, `disk` and `ports`.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Any

import msgspec

from wheelstep.fleet.types import Action, Answer, Ask, Call, Note, Packet, Reply, Save, SendPacket
from wheelstep.rehearsal.simulation.disk import CrashError, Disk, File, Syncs
from wheelstep.rehearsal.simulation.ports import NodeLike
from wheelstep.rehearsal.simulation.world import MS, Clock, World

if TYPE_CHECKING:
    from wheelstep.rehearsal.simulation.content import SimContent

COMPACT_AT = 300  # records of the fleet's log
WAITING = 200  # datagrams that a stopped process's socket keeps
ASKS, ANSWERS = msgspec.msgpack.Decoder(Ask), msgspec.msgpack.Decoder(Answer)


class Machine:
    """`make` builds node and content from what the disk holds."""

    def __init__(self, name: str, world: World, clock: Clock, disk: Disk, fleet: dict[str, Machine],
                 make: Callable[[Machine], tuple[NodeLike, SimContent]]) -> None:
        self.name, self.world, self.clock, self.disk, self.fleet, self._make = name, world, clock, disk, fleet, make
        self.address = f"127.0.1.{len(fleet) + 1}:7000"
        self.life = self.boot = 0  # `life` rises at each start and end
        self.alive = self.stopped = self.leaving = False
        self.crash_in = 0  # at the so manieth boundary from now; 0: not
        self.power = False  # the next crash is a power loss
        self.on_end: Callable[[Machine, bool], None] = lambda machine, left: None
        self.on_left: Callable[[], None] = lambda: None
        self.fleet[name] = self

    # --- the process ---

    def start(self) -> None:
        """From the disk as it is."""
        self.life += 1
        self.boot += 1
        self.alive, self.stopped, self.leaving = True, False, False
        self._backlog: list[tuple[Callable[..., None], tuple[Any, ...]]] = []
        self._calls: dict[int, int] = {}  # token of a call of ours -> true time by which it is given up
        self._asks: dict[int, tuple[Machine, int, int]] = {}
        self._tokens, self._armed_us, self._ticks = 0, -1, (0, 0)
        self._syncs, self._saves = Syncs(), 0
        self.world.trace(self.name, "start", "boot", self.boot, "log", self.disk.log.place)
        self.node, self.content = self._make(self)
        self.enter(self.life, lambda: self.do(self.node.tick(self.own_us())))

    def crash(self, power: bool = False) -> None:
        """The process ends at once."""
        if not self.alive:
            return
        self.world.trace(self.name, "crash", "power" if power else "process")
        self.alive, self.crash_in, self.power = False, 0, False
        self.life += 1
        self.disk.crash(power)
        self.on_end(self, False)

    def stop(self, stopped: bool) -> None:
        """Stand still, or go on with all that came meanwhile."""
        if not self.alive or self.stopped == stopped:
            return
        self.world.trace(self.name, "stopped" if stopped else "woken", len(self._backlog))
        self.stopped = stopped
        if not stopped:
            backlog, self._backlog = self._backlog, []
            self.world.net.rng.shuffle(backlog)
            for what, given in backlog:
                self.enter(self.life, what, *given)

    def leave(self) -> None:
        """Give all parts away, then end."""
        if self.alive and not self.leaving:
            self.world.trace(self.name, "leave")
            self.leaving = True
            self.enter(self.life, lambda: self.do(self.node.leave(self.own_us())))

    def own_us(self) -> int:
        """By its clock."""
        return self.clock.own(self.world.now_us)

    def enter(self, life: int, what: Callable[..., None], *given: Any) -> None:
        """Something happens to the process that it was meant for: unless it has ended, and later if it stands still."""
        if life != self.life or not self.alive:
            return
        if self.stopped:
            if what != self._datagram or len(self._backlog) < WAITING:
                self._backlog.append((what, given))
            return
        try:
            what(*given)
            if self.leaving and self.node.left:
                self.world.trace(self.name, "left")
                self.alive, self.life = False, self.life + 1
                self.on_left()
                self.on_end(self, True)
                return
        except CrashError:
            self.crash(self.power)
            return
        self.arm()

    def boundary(self) -> None:
        """Between two actions; the process may end here."""
        world = self.world
        world.boundaries += 1
        if world.boundaries == world.crash_at:
            self.power, self.crash_in = world.crash_power, 1
        if self.crash_in:
            self.crash_in -= 1
            if not self.crash_in:
                raise CrashError

    # --- time ---

    def arm(self) -> None:
        """One event at the earliest moment that node or content ask for."""
        due_us = max(self.clock.true(min(self.node.next_us(), self.content.next_us())), self.world.now_us)
        if self._armed_us < 0 or due_us < self._armed_us:
            self._armed_us = due_us
            self.world.at(due_us, self.enter, self.life, self._wake, due_us)

    def _wake(self, armed_us: int) -> None:
        if armed_us != self._armed_us:
            return
        self._armed_us = -1
        now_us = self.own_us()
        count = self._ticks[1] + 1 if self._ticks[0] == now_us else 0
        self._ticks = now_us, count
        if count > 100:
            raise RuntimeError(f"{self.name} asks to be woken at a moment that is past, again and again")
        if now_us >= self.node.next_us():
            self.do(self.node.tick(now_us))
        if now_us >= self.content.next_us():
            self.content.tick(now_us)

    def later(self, in_us: int, what: Callable[..., None], *given: Any) -> None:
        """Of this life, after so long by this machine's clock."""
        self.world.at(self.clock.true(self.own_us() + in_us), self.enter, self.life, what, *given)

    # --- what the node asks for ---

    def do(self, actions: Sequence[Action]) -> None:
        """Carry them out in their order."""
        for action in actions:
            self.boundary()
            match action:
                case SendPacket():
                    self._send(action)
                case Call():
                    self._call(action)
                case Reply():
                    self._reply(action)
                case Save():
                    self._save(action)
                case Note():
                    self.world.trace(self.name, "note", action.text)

    def _send(self, action: SendPacket) -> None:
        to = next((one for one in self.fleet.values() if one.address == action.address), None)
        if to is None:
            return
        if (size := len(msgspec.msgpack.encode(action.packet))) > 1200:
            raise RuntimeError(f"{self.name}: a datagram of {size} bytes, at most 1,200 expected")
        for delay in self.world.net.delays(self.name, to.name, False):
            self.world.after(delay, lambda to=to: to.enter(to.life, to._datagram, self.name, self.address,
                                                           action.packet))

    def _datagram(self, sender: str, address: str, packet: Packet) -> None:
        self.do(self.node.packet(self.own_us(), sender, address, packet))

    def _call(self, action: Call) -> None:
        token = action.token
        if token in self._calls:
            raise RuntimeError(f"{self.name}: token {token} is used twice")
        self._calls[token] = 1
        self.later(action.timeout_us, self._answered, token, None)
        self.world.trace(self.name, "call", action.member, action.ask)
        to = self.fleet.get(action.member)
        if to is None or not to.alive:
            if to is not None and (to.name, self.name) not in self.world.net.cuts:
                self.later(MS, self._answered, token, None)  # the connection is refused
            return
        data = msgspec.msgpack.encode(action.ask)  # as it travels
        for delay in self._delays(to):
            self.world.after(delay, to.enter, to.life, to._asked, self, self.life, token, data)

    def _asked(self, caller: Machine, life: int, theirs: int, data: bytes) -> None:
        token = self._tokens = self._tokens + 1
        self._asks[token] = caller, life, theirs
        self.do(self.node.asked(self.own_us(), token, caller.name, ASKS.decode(data)))

    def _reply(self, action: Reply) -> None:
        caller, life, theirs = self._asks.pop(action.token)  # a second answer would be a mistake
        self.world.trace(self.name, "reply", caller.name, action.answer)
        data = msgspec.msgpack.encode(action.answer)
        for delay in self._delays(caller):
            self.world.after(delay, caller.enter, life, caller._answered, theirs, data)

    def _delays(self, to: Machine) -> list[int]:
        return [50] if to is self else self.world.net.delays(self.name, to.name, True)

    def _answered(self, token: int, data: bytes | None) -> None:
        if self._calls.pop(token, None) is not None:
            answer = None if data is None else ANSWERS.decode(data)
            self.do(self.node.answered(self.own_us(), token, answer))

    # --- the disk ---

    def _save(self, action: Save) -> None:
        if self.disk.full:
            self.later(MS, self._saved, action.token, False)
            return
        place = self.disk.log.write(action.records)
        self._saves += 1
        self.boundary()
        self.sync(self.disk.log, place, lambda: self._saved(action.token, True))

    def _saved(self, token: int, ok: bool) -> None:
        self._saves -= ok
        self.do(self.node.saved(self.own_us(), token, ok))
        if not self._saves and len(self.disk.log.records) > COMPACT_AT:
            self.boundary()
            self.disk.log.replace(self.node.snapshot())
            self.boundary()

    def sync(self, file: File, place: int, then: Callable[[], None]) -> None:
        """Then, once it is safe up to there; all that wait while one sync runs share the next."""
        if self._syncs.ask(file, place, then):
            self._sync_next()

    def _sync_next(self) -> None:
        if self._syncs.begin():
            self.world.after(self.disk.delay(), self.enter, self.life, self._synced)

    def _synced(self) -> None:
        done = self._syncs.done(self.disk)
        self._sync_next()
        for then in done:
            self.boundary()
            then()
