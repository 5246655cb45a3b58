"""A control machine: reads discovery's whole list and sends couriers the rows of the shards they follow. `python -m
wheelstep.shards.control FILE.toml`; ends at SIGTERM."""

from __future__ import annotations

import asyncio
import logging
import signal
import sys
import time
from collections import deque
from collections.abc import Callable, Iterator, Mapping, Sequence
from pathlib import Path
from typing import Any

import msgspec

from wheelstep import interface as api
from wheelstep.courier.config import Address, Names
from wheelstep.courier.watch import ListFormat, Watch
from wheelstep.shards.list_rows import read_entry, read_list
from wheelstep.shards.list_server import ListServer, Tells
from wheelstep.shards.net import Sockets
from wheelstep.shards.ports import Net
from wheelstep.shards.streams import StreamLink, Streams
from wheelstep.shards.types import Frame, ListRow

LIST_BYTES = 64 << 20  # of one list: 140,000 indented entries take 38 to 42 MB; up to three lists are held at once
MAX_QUEUED_LISTS = 1_000  # lists of changes in the queue; beyond that the whole list is requested
_NOTES_S = 5.0

log = logging.getLogger("wheelstep.control")


def _raw_rows(data: Mapping[str, Any], _: Names) -> list[msgspec.Raw]:
    return data.get("hosts") or []


class ControlMachine:
    """Discovery on one side, couriers on the other, `ListServer` between them. `boot` increases with each start. Lists
    are handled in slices, so that couriers are answered meanwhile."""

    def __init__(self, name: str, keys: Sequence[bytes], fleet: str, boot: int, shards: int, net: Net,
                 discovery: Address, now_us: Callable[[], int]) -> None:
        self._net, self._now_us, self._discovery = net, now_us, discovery
        self.server = ListServer(shards)
        self.streams = Streams(net, keys, fleet, name, boot, self._heard, self._lost, now_us)
        self.watch = Watch(discovery, Names((), (), (), ()), 0, self._listed,
                           list_format=ListFormat(LIST_BYTES, read_list, _raw_rows))
        self._links: dict[str, StreamLink] = {}  # by peer; the newest link is used
        self._queued_lists: deque[tuple[int, bool, list[msgspec.Raw]]] = deque()
        self._list_arrived = asyncio.Event()
        self._timer: asyncio.TimerHandle | None = None
        self._skipped = 0
        self.longest_turn_us = 0  # longest step spent on a list, without reading it

    async def start(self, listen: str) -> str:
        """Listens for couriers and returns the address with its port. Raises `OSError`."""
        return await self._net.listen(listen, self.streams.accept, lambda data, address: None)

    async def run(self) -> None:
        """Follows discovery and serves couriers until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.watch.run())
            group.create_task(self._load_lists())
            group.create_task(self._log_notes())

    async def close(self) -> None:
        """Ends all connections."""
        if self._timer is not None:
            self._timer.cancel()
        self.streams.close()
        await self._net.close()

    # --- discovery ---

    def _listed(self, kind: api.ListKind, rows: list[msgspec.Raw]) -> None:
        whole = kind is api.ListKind.WHOLE
        if whole:
            self._queued_lists.clear()
        elif len(self._queued_lists) >= MAX_QUEUED_LISTS:
            log.warning("discovery: %d lists of changes in the queue; requesting the whole list",
                        len(self._queued_lists))
            self._queued_lists.clear()
            self.watch.move(self._discovery)
            return
        self._queued_lists.append((self.watch.seq, whole, rows))
        self._list_arrived.set()

    async def _load_lists(self) -> None:
        while True:
            await self._list_arrived.wait()
            self._list_arrived.clear()
            while self._queued_lists:
                seq, whole, rows = self._queued_lists.popleft()
                begun_us, skipped_before = self._now_us(), self._skipped
                steps = self.server.steps(begun_us, seq, whole, self._read(rows))
                del rows
                while True:
                    turn_us = self._now_us()
                    tells = next(steps, None)
                    if tells is None:
                        break
                    self._tell(tells)
                    self.longest_turn_us = max(self.longest_turn_us, self._now_us() - turn_us)
                    await asyncio.sleep(0)
                if self._skipped > skipped_before:
                    log.warning("discovery: skipped %d invalid entries of list %d", self._skipped - skipped_before, seq)
                if whole:
                    log.info("list %d: %d rows, loaded in %.1f s", seq, len(self.server),
                             (self._now_us() - begun_us) / 1e6)

    def _read(self, rows: list[msgspec.Raw]) -> Iterator[ListRow]:
        for raw in rows:
            try:
                yield read_entry(raw)
            except ValueError as error:
                self._skipped += 1
                log.debug("discovery: %s", error)

    # --- couriers ---

    def _heard(self, link: StreamLink, frame: Frame) -> None:
        known = self._links.get(link.peer)
        self._links[link.peer] = link
        if known is not None and known is not link:  # it has reconnected before this side noticed the loss
            self.server.gone(link.peer)
            known.close()
        self._tell(self.server.heard(self._now_us(), link.peer, frame))

    def _lost(self, link: StreamLink) -> None:
        if self._links.get(link.peer) is link:
            del self._links[link.peer]
            self.server.gone(link.peer)

    def _tell(self, tells: Tells) -> None:
        for peer, frame in tells:
            if (link := self._links.get(peer)) is not None:
                link.send(frame)
        self._arm()

    def _arm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        in_s = max(0.001, (self.server.next_us() - self._now_us()) / 1e6)
        self._timer = asyncio.get_running_loop().call_later(min(in_s, 3600.0), self._tick)

    def _tick(self) -> None:
        self._tell(self.server.tick(self._now_us()))

    async def _log_notes(self) -> None:
        while True:
            await asyncio.sleep(_NOTES_S)
            for line in (*self.server.notes(self._now_us()), *self.streams.notes()):
                log.warning("%s", line)


async def _serve(path: Path) -> None:
    from wheelstep.shards.control_settings import ControlError, read

    loop, ended = asyncio.get_running_loop(), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    control = read(path)
    part = control.part
    machine = ControlMachine(part.name, control.keys, part.fleet, time.time_ns() // 1_000, part.shards, Sockets(),
                             control.discovery, lambda: time.monotonic_ns() // 1_000)
    try:
        address = await machine.start(part.listen)
    except OSError as error:
        raise ControlError(f"{path}: control.listen: {part.listen}: {error}; expected an address of this machine"
                           ) from error
    log.info("control machine %s listens on %s", part.name, address)
    work = asyncio.create_task(machine.run())
    waits = asyncio.create_task(ended.wait())
    await asyncio.wait((work, waits), return_when=asyncio.FIRST_COMPLETED)
    work.cancel()
    await asyncio.wait((work,))
    await machine.close()
    if not work.cancelled() and (failed := work.exception()) is not None:
        raise failed


def main(arguments: Sequence[str]) -> int:
    """Runs the control machine; returns the exit status."""
    from wheelstep.shards.control_settings import ControlError

    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(0))
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(name)s %(message)s")
    if len(arguments) != 1:
        print("usage: python -m wheelstep.shards.control FILE.toml", file=sys.stderr)
        return 2
    try:
        asyncio.run(_serve(Path(arguments[0])))
    except ControlError as error:
        print(error, file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
