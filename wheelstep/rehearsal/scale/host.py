"""A process of hollow couriers: `python -m wheelstep.rehearsal.scale.host PLAN.json NUMBER`.

Says `{"hosts": N}` once it runs, then obeys lines on stdin, each answered by a line of JSON, and ends with its stdin:

- `make`, then `start` (all couriers; the first takes the longer), `count` (how many are up, ready, and know how many
  others), `figures`, `seconds` (traffic second by second),
- `traffic PER_S DENSE` (of each courier; the share of destinations that get any), `changed NAME...` (who lists an
  endpoint),
- `kill NAME...`, `leave NAME...`, `silence NAME...`, `back NAME...` (the next life; what `kill` and `leave` left is
  handed to it as from a journal), `seen NAME...` (how many couriers still hold one of these for present),
- `mark` (remember who is home of what), `moved` (since then), `owed`, `tracked` (ends of messages that are followed).
"""

from __future__ import annotations

import asyncio
import gc
import json
import sys
import time
import traceback
from collections import Counter
from dataclasses import asdict
from pathlib import Path
from typing import Any

from wheelstep.journal import StoredMessage
from wheelstep.rehearsal.scale.courier import HollowCourier, Shared
from wheelstep.rehearsal.scale.links import Links
from wheelstep.rehearsal.scale.nursery import die_with_parent, end_with_stdin
from wheelstep.rehearsal.scale.plan import Plan, read

_STARTS_AT_ONCE = 8
_MOST_SECONDS = 900
_MOST_TRACES = 50


class Host:
    """Its couriers by name."""

    def __init__(self, plan: Plan, number: int) -> None:
        self._plan = plan
        self._shared = Shared(plan, Links(Path(plan.links), plan.zones_named(), plan.zone_delay_s,
                                          plan.region_delay_s))
        self._make: Any = HollowCourier
        if plan.undivided:
            from wheelstep.rehearsal.scale.undivided import UndividedCourier
            self._make = UndividedCourier
        self._sites = {site.name: site for site in plan.sites() if site.host == number}
        self._made: dict[str, Any] = {}
        self._up: dict[str, Any] = {}
        self._silent: list[Any] = []
        self._kept: dict[str, list[StoredMessage]] = {}  # as in the journals of those that are down
        self._gone: Counter[str] = Counter()  # figures of couriers that have ended
        self._lost: list[str] = []  # owed by machines that are lost for good
        self._traffic = (0.0, 1.0)
        self._seconds: list[list[float]] = []

    # --- lives ---

    async def _start(self, name: str) -> None:
        for former in [one for one in self._silent if one.site.name == name]:  # the new machine has its address
            self._silent.remove(former)
            await former.close()
        courier = self._made.pop(name, None) or self._make(self._shared, self._sites[name])
        await courier.start()
        self._up[name] = courier
        for message in self._kept.pop(name, []):
            courier.shelf.take(message)
            courier.shelf.begin(message.id)
            courier.shelf.taken -= 1  # by the life before
        courier.traffic.draw.dense = self._traffic[1]
        courier.traffic.set(self._traffic[0])

    def make(self) -> dict[str, Any]:
        """All, and each knows all others; nothing is sent yet."""
        for name, site in self._sites.items():
            self._made[name] = self._make(self._shared, site)
            self._made[name].prime()
        return {"made": len(self._made)}

    async def start(self) -> dict[str, Any]:
        """All, a few at a time."""
        turns = asyncio.Semaphore(_STARTS_AT_ONCE)
        async def one(name: str) -> None:
            async with turns:
                await self._start(name)
        await asyncio.gather(*map(one, self._sites))
        return {"up": len(self._up)}

    async def back(self, names: list[str]) -> dict[str, Any]:
        """The next life of each."""
        for name in names:
            await self._start(name)
        return {"up": len(self._up)}

    async def _end(self, names: list[str], how: str) -> dict[str, Any]:
        ended = [(name, self._up.pop(name)) for name in names if name in self._up]
        for name, courier in ended:
            self._gone.update(self._figures_of(courier))
            if how == "silence":
                self._lost += courier.silence()
                self._silent.append(courier)
            else:
                await (courier.leave() if how == "leave" else courier.kill())
                self._kept[name] = list(courier.shelf.held.values())
        return {"ended": len(ended), "at_s": time.monotonic()}

    def count(self) -> dict[str, Any]:
        """How far they are."""
        couriers = self._up.values()
        members = [courier.members() for courier in couriers]
        return {"up": len(members), "ready": sum(courier.ready for courier in couriers),
                "opening": sum(courier.opening() for courier in couriers),
                "least_members": min(members, default=0), "shards": sum(len(one.shards()) for one in couriers)}

    def set_traffic(self, per_s: float, dense: float) -> dict[str, Any]:
        """Of each courier."""
        self._traffic = per_s, dense
        for courier in self._up.values():
            courier.traffic.draw.dense = dense
            courier.traffic.set(per_s)
        return {}

    def _figures_of(self, courier: Any) -> dict[str, float]:
        return {**{f"net_{name}": value for name, value in asdict(courier.net.traffic).items()},
                **courier.figures(), "taken": courier.shelf.taken}

    def figures(self) -> dict[str, Any]:
        """Since the start; times, counts and histograms of all couriers together."""
        shared = self._shared
        sums = Counter(self._gone)
        for courier in self._up.values():
            sums.update(self._figures_of(courier))
        counts = {name: value for name, value in asdict(shared.counts).items() if name not in ("tracked", "ended")}
        return {"sums": dict(sums), "counts": counts, "answers": dict(shared.answers),
                "took": dict(shared.took.counts), "waited": dict(shared.waited.counts),
                "held": sum(len(courier.shelf.held) for courier in self._up.values()),
                "open": sum(courier.traffic.open for courier in self._up.values()),
                "listed": sum(len(courier.shelf.listed_endpoints) for courier in self._up.values()),
                "taken": {name: courier.shelf.taken for name, courier in self._up.items()},
                "shards": {name: len(courier.shards()) for name, courier in self._up.items()},
                "failed_s": max((courier.traffic.failed_s for courier in self._up.values()), default=0.0),
                "exceptions": shared.exceptions,
                "notes": dict(shared.notes.most_common(12)), "cpu_s": time.process_time(), "at_s": time.monotonic()}

    def seen(self, names: list[str]) -> dict[str, Any]:
        """How many couriers hold one of these for present."""
        seeing = sum(any(courier.sees(name) for name in names) for courier in self._up.values())
        return {"seeing": seeing, "at_s": time.monotonic()}

    def changed(self, names: list[str]) -> dict[str, Any]:
        """How many couriers list each endpoint."""
        return {name: sum(name in courier.shelf.listed_endpoints for courier in self._up.values()) for name in names}

    def mark(self) -> dict[str, Any]:
        """Remember who is home of what; how many each has."""
        for courier in self._up.values():
            courier.marked = courier.shards()
        return {name: len(courier.marked) for name, courier in self._up.items()}

    def moved(self) -> dict[str, Any]:
        """Shards that came and went since then, at those that are up."""
        pairs = [(courier.marked, courier.shards()) for courier in self._up.values()]
        return {"came": sum(len(now - was) for was, now in pairs), "went": sum(len(was - now) for was, now in pairs)}

    def owed(self) -> dict[str, Any]:
        """What is held still (of this, neither begun nor withdrawn), and what was lost with machines."""
        settling = [name for one in self._up.values() for name in one.shelf.held if one.shelf.is_unconfirmed(name)]
        return {"held": sum(len(one.shelf.held) for one in self._up.values()), "lost": self._lost, "settling": settling,
                "kept": sum(map(len, self._kept.values())),
                "open": sum(one.traffic.open for one in self._up.values())}

    def sample(self) -> None:
        """Once a second."""
        sums: Counter[str] = Counter()
        for courier in self._up.values():
            sums.update(asdict(courier.net.traffic))
        packets = sums["datagrams_out"] + sums["control_writes"] + sums["peer_writes"]
        bytes_ = sums["datagram_bytes_out"] + sums["control_bytes_out"] + sums["control_bytes_in"] + sums["peer_bytes"]
        self._seconds.append([time.monotonic(), packets, bytes_, sums["control_bytes_in"],
                              self._shared.counts.calls + self._shared.counts.probes, time.process_time()])
        del self._seconds[:-_MOST_SECONDS]

    async def obey(self, line: str) -> Any:
        """One line. Raises `ValueError` for what it does not know."""
        what, *rest = line.split()
        match what:
            case "start":
                return await self.start()
            case "back":
                return await self.back(rest)
            case "kill" | "leave" | "silence":
                return await self._end(rest, what)
            case "traffic":
                return self.set_traffic(float(rest[0]), float(rest[1]))
            case "seen" | "changed":
                return getattr(self, what)(rest)
            case "make" | "count" | "figures" | "mark" | "moved" | "owed":
                return getattr(self, what)()
            case "seconds":
                return self._seconds
            case "tracked":
                return {"delivered": self._shared.counts.tracked, "ended": self._shared.counts.ended}
        raise ValueError(f"{line!r}: no such command")

    def failed(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Something raised that nobody heard: it is counted by its text, and its traceback goes to the log."""
        error = context.get("exception")
        self._shared.note(f"exception: {type(error).__name__}: {str(error)[:80]}")
        self._shared.exceptions += 1
        if self._shared.exceptions <= _MOST_TRACES:
            traceback.print_exception(error) if error is not None else print(context, file=sys.stderr)

    async def look(self) -> None:
        """Once a second, for good."""
        while True:
            await asyncio.sleep(1.0)
            self.sample()
            for courier in list(self._up.values()):
                courier.shelf.sweep()

    async def close(self) -> None:
        """All end."""
        for courier in [*self._up.values(), *self._silent]:
            courier.net.mute = True
            await courier.close()


async def _serve(plan: Plan, number: int) -> None:
    host = Host(plan, number)
    asyncio.get_running_loop().set_exception_handler(host.failed)
    print(json.dumps({"hosts": number}), flush=True)
    work = asyncio.create_task(host.look())
    async for line in end_with_stdin():
        print(json.dumps(await host.obey(line)), flush=True)
    work.cancel()


def main() -> int:
    """Run until stdin ends."""
    die_with_parent()
    gc.set_threshold(50_000, 20, 100)  # a collection that walks a hundred couriers stops them all
    asyncio.run(_serve(read(Path(sys.argv[1]).read_bytes()), int(sys.argv[2])))
    return 0


if __name__ == "__main__":
    sys.exit(main())
