"""A process of hollow couriers: `python -m wheelstep.rehearsal.scale.host PLAN.json NUMBER`.

Prints `{"hosts": NUMBER}`, then answers each command on stdin with a line of JSON, and ends with its stdin:

- `make`, then `start` (of all couriers; `make` takes longer), `count` (of couriers up and ready, and members known),
  `figures`, `seconds` (samples of the traffic, one a second), `changed NAME...` (how many couriers list each endpoint),
- `traffic PER_S DENSE` (messages a second at each courier; the share of destinations used),
- `kill NAME...`, `leave NAME...`, `silence NAME...` (loss of power), `back NAME...` (restart, with the messages that
  `kill` and `leave` left), `seen NAME...` (how many couriers still consider one of these present),
- `mark` (remember each courier's shards), `moved` (changes since), `owed`, `tracked` (ends of tracked messages).
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
from wheelstep.rehearsal.scale.courier import HollowCourier, SharedState
from wheelstep.rehearsal.scale.links import Links
from wheelstep.rehearsal.scale.nursery import kill_with_parent, read_stdin_lines
from wheelstep.rehearsal.scale.plan import Plan, decode_plan

_MAX_CONCURRENT_STARTS = 8
_MAX_SAMPLES = 900  # one a second
_MAX_TRACEBACKS = 50


class CourierHost:
    """The hollow couriers of one process. A method named like a command returns the command's answer."""

    def __init__(self, plan: Plan, number: int) -> None:
        self._plan = plan
        self._shared = SharedState(plan, Links(Path(plan.links), plan.zone_names(), plan.zone_delay_s,
                                               plan.region_delay_s))
        self._courier_class: Any = HollowCourier
        if plan.undivided:
            from wheelstep.rehearsal.scale.undivided import UndividedCourier
            self._courier_class = UndividedCourier
        self._sites = {site.name: site for site in plan.sites() if site.host == number}
        self._prepared: dict[str, Any] = {}
        self._running: dict[str, Any] = {}
        self._powered_off: list[Any] = []
        self._journaled: dict[str, list[StoredMessage]] = {}  # what the journals of stopped couriers would hold
        self._ended_figures: Counter[str] = Counter()  # summed over couriers that have ended
        self._lost_messages: list[str] = []  # ids held by couriers when they lost power
        self._traffic = (0.0, 1.0)
        self._samples: list[list[float]] = []

    # --- start and end ---

    async def _start(self, name: str) -> None:
        for former in [one for one in self._powered_off if one.site.name == name]:  # it occupies the address
            self._powered_off.remove(former)
            await former.close()
        courier = self._prepared.pop(name, None) or self._courier_class(self._shared, self._sites[name])
        await courier.start()
        self._running[name] = courier
        for message in self._journaled.pop(name, []):
            courier.admission.take(message)
            courier.admission.begin(message.id)
            courier.admission.accepted -= 1  # counted before the restart
        courier.traffic.sampler.active_share = self._traffic[1]
        courier.traffic.set_rate(self._traffic[0])

    def make(self) -> dict[str, Any]:
        """Create all couriers, each knowing all others, without starting them."""
        for name, site in self._sites.items():
            self._prepared[name] = self._courier_class(self._shared, site)
            self._prepared[name].preload_members()
        return {"made": len(self._prepared)}

    async def start(self) -> dict[str, Any]:
        """Start all couriers, up to `_MAX_CONCURRENT_STARTS` at a time."""
        start_slots = asyncio.Semaphore(_MAX_CONCURRENT_STARTS)
        async def start_one(name: str) -> None:
            async with start_slots:
                await self._start(name)
        await asyncio.gather(*map(start_one, self._sites))
        return {"up": len(self._running)}

    async def restart(self, names: list[str]) -> dict[str, Any]:
        """Restart the named couriers."""
        for name in names:
            await self._start(name)
        return {"up": len(self._running)}

    async def _end(self, names: list[str], command: str) -> dict[str, Any]:
        ended = [(name, self._running.pop(name)) for name in names if name in self._running]
        for name, courier in ended:
            self._ended_figures.update(self._figures_of(courier))
            if command == "silence":
                self._lost_messages += courier.power_off()
                self._powered_off.append(courier)
            else:
                await (courier.leave() if command == "leave" else courier.kill())
                self._journaled[name] = list(courier.admission.held.values())
        return {"ended": len(ended), "at_s": time.monotonic()}

    def count(self) -> dict[str, Any]:
        """Return how many couriers are up and ready, and how far shards and membership are."""
        couriers = self._running.values()
        members = [courier.members() for courier in couriers]
        return {"up": len(members), "ready": sum(courier.ready for courier in couriers),
                "opening": sum(courier.opening() for courier in couriers),
                "least_members": min(members, default=0), "shards": sum(len(one.shards()) for one in couriers)}

    def set_traffic(self, per_s: float, dense: float) -> dict[str, Any]:
        """Set the traffic of each courier, restarted ones included."""
        self._traffic = per_s, dense
        for courier in self._running.values():
            courier.traffic.sampler.active_share = dense
            courier.traffic.set_rate(per_s)
        return {}

    def _figures_of(self, courier: Any) -> dict[str, float]:
        return {**{f"net_{name}": value for name, value in asdict(courier.net.traffic).items()},
                **courier.figures(), "taken": courier.admission.accepted}

    def figures(self) -> dict[str, Any]:
        """Return the figures since the start, summed over all couriers."""
        shared = self._shared
        sums = Counter(self._ended_figures)
        for courier in self._running.values():
            sums.update(self._figures_of(courier))
        counts = {name: value for name, value in asdict(shared.counts).items() if name not in ("tracked", "ended")}
        return {"sums": dict(sums), "counts": counts, "answers": dict(shared.answers),
                "took": dict(shared.answer_times.counts), "waited": dict(shared.durable_wait_times.counts),
                "held": sum(len(courier.admission.held) for courier in self._running.values()),
                "open": sum(courier.traffic.unanswered for courier in self._running.values()),
                "listed": sum(len(courier.admission.listed_endpoints) for courier in self._running.values()),
                "taken": {name: courier.admission.accepted for name, courier in self._running.items()},
                "shards": {name: len(courier.shards()) for name, courier in self._running.items()},
                "failed_s": max((courier.traffic.last_failure_s for courier in self._running.values()), default=0.0),
                "exceptions": shared.unhandled_exceptions, "notes": dict(shared.log_line_counts.most_common(12)),
                "cpu_s": time.process_time(), "at_s": time.monotonic()}

    def seen(self, names: list[str]) -> dict[str, Any]:
        """Return how many couriers consider at least one of these present."""
        seeing = sum(any(courier.considers_present(name) for name in names) for courier in self._running.values())
        return {"seeing": seeing, "at_s": time.monotonic()}

    def changed(self, names: list[str]) -> dict[str, Any]:
        """Return how many couriers list each of these endpoints."""
        return {name: sum(name in one.admission.listed_endpoints for one in self._running.values()) for name in names}

    def mark(self) -> dict[str, Any]:
        """Remember each courier's shards for `moved`, and return their number."""
        for courier in self._running.values():
            courier.marked_shards = courier.shards()
        return {name: len(courier.marked_shards) for name, courier in self._running.items()}

    def moved(self) -> dict[str, Any]:
        """Return the number of shards gained and lost since `mark` by couriers that are up."""
        pairs = [(courier.marked_shards, courier.shards()) for courier in self._running.values()]
        return {"came": sum(len(now - was) for was, now in pairs), "went": sum(len(was - now) for was, now in pairs)}

    def owed(self) -> dict[str, Any]:
        """Return what is held, which of it is unconfirmed, and what couriers that lost power held."""
        settling = [name for one in self._running.values() for name in one.admission.held
                    if one.admission.is_unconfirmed(name)]
        return {"held": sum(len(one.admission.held) for one in self._running.values()), "lost": self._lost_messages,
                "settling": settling, "kept": sum(map(len, self._journaled.values())),
                "open": sum(one.traffic.unanswered for one in self._running.values())}

    def sample(self) -> None:
        """Record the totals of the traffic; called once a second."""
        sums: Counter[str] = Counter()
        for courier in self._running.values():
            sums.update(asdict(courier.net.traffic))
        packets = sums["datagrams_out"] + sums["control_writes"] + sums["peer_writes"]
        total_bytes = (sums["datagram_bytes_out"] + sums["control_bytes_out"] + sums["control_bytes_in"]
                       + sums["peer_bytes"])
        self._samples.append([time.monotonic(), packets, total_bytes, sums["control_bytes_in"],
                              self._shared.counts.calls + self._shared.counts.probes, time.process_time()])
        del self._samples[:-_MAX_SAMPLES]

    async def execute(self, line: str) -> Any:
        """Run one command and return its answer. Raises `ValueError` for an unknown command."""
        what, *args = line.split()
        match what:
            case "start":
                return await self.start()
            case "back":
                return await self.restart(args)
            case "kill" | "leave" | "silence":
                return await self._end(args, what)
            case "traffic":
                return self.set_traffic(float(args[0]), float(args[1]))
            case "seen" | "changed":
                return getattr(self, what)(args)
            case "make" | "count" | "figures" | "mark" | "moved" | "owed":
                return getattr(self, what)()
            case "seconds":
                return self._samples
            case "tracked":
                return {"delivered": self._shared.counts.tracked, "ended": self._shared.counts.ended}
        raise ValueError(f"{line!r}: no such command")

    def on_exception(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Count an unhandled exception; the first `_MAX_TRACEBACKS` are printed with their traceback."""
        error = context.get("exception")
        self._shared.count_log_line(f"exception: {type(error).__name__}: {str(error)[:80]}")
        self._shared.unhandled_exceptions += 1
        if self._shared.unhandled_exceptions <= _MAX_TRACEBACKS:
            traceback.print_exception(error) if error is not None else print(context, file=sys.stderr)

    async def sample_forever(self) -> None:
        """Take a sample and forget old connections once a second."""
        while True:
            await asyncio.sleep(1.0)
            self.sample()
            for courier in list(self._running.values()):
                courier.admission.sweep()

    async def close(self) -> None:
        """Close all couriers."""
        for courier in [*self._running.values(), *self._powered_off]:
            courier.net.output_stopped = True
            await courier.close()


async def _serve(plan: Plan, number: int) -> None:
    host = CourierHost(plan, number)
    asyncio.get_running_loop().set_exception_handler(host.on_exception)
    print(json.dumps({"hosts": number}), flush=True)
    sampling = asyncio.create_task(host.sample_forever())
    async for line in read_stdin_lines():
        print(json.dumps(await host.execute(line)), flush=True)
    sampling.cancel()


def main() -> int:
    """Run until stdin ends."""
    kill_with_parent()
    gc.set_threshold(50_000, 20, 100)  # a collection traverses a hundred couriers and stops them all meanwhile
    asyncio.run(_serve(decode_plan(Path(sys.argv[1]).read_bytes()), int(sys.argv[2])))
    return 0


if __name__ == "__main__":
    sys.exit(main())
