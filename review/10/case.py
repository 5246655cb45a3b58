"""A partner that was down for three seconds and comes back cold gets its full load and its backlog at once."""

from __future__ import annotations

import asyncio
import math
import random
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import peers2 as p  # noqa: E402

PARTNERS = 5
SERVERS, SERVICE_S = 3, 0.3  # of an endpoint: calls at once, and the time of one ("230 to 390 ms")
CAPACITY = SERVERS / SERVICE_S  # 10 calls a second
LOAD = 0.92  # "68 to 92% on most" days
QUEUE = 4 * SERVERS  # "queue_per_core" of the site: 2 to 8
COLD_FROM, COLD_S = 0.27, 14.0  # "it starts at 27% of its capacity or more and is warm within 14 s"
MULTIPLE, WINDOW_S = 1.5, 3.0  # "more than 1.5 times what it can do at that moment for 3 s"
DOWN_S = 3.0
DEADLINE_MS = 12_000


class Partner:
    """A partner with one endpoint, which serves some calls at once, queues some and turns the rest away."""

    def __init__(self, block: int, record: p.Record) -> None:
        self.record, self.block = record, block
        self.endpoint = p.Endpoint(f"e{block}", record)
        self.endpoint.reply = self.reply
        self.back: float | None = None
        self.free, self.waiting = SERVERS, list[asyncio.Future[None]]()
        self.random = random.Random(block)

    def share(self, at: float) -> float:
        """Return the share of the capacity that there is at a time."""
        if self.back is None:
            return 1.0
        return min(1.0, COLD_FROM + (1 - COLD_FROM) * max(0.0, at - self.back) / COLD_S)

    async def reply(self, call: p.Call) -> p.Reply:
        """Serve a call, at the pace of now."""
        if self.free <= 0 and len(self.waiting) >= QUEUE:
            return 503, {}, b""
        if self.free <= 0:
            turn = asyncio.get_running_loop().create_future()
            self.waiting.append(turn)
            await turn
        else:
            self.free -= 1
        await asyncio.sleep(SERVICE_S * self.random.uniform(0.7, 1.3) / self.share(self.record.now()))
        if self.waiting:
            self.waiting.pop(0).set_result(None)
        else:
            self.free += 1
        return self.endpoint.delivered(call)

    async def down(self) -> None:
        """Go down: nothing listens, and open connections are reset."""
        self.record.line(f"{self.endpoint.name} goes down")
        self.endpoint.stop()

    async def up(self) -> None:
        """Come back at the same address, cold."""
        self.free, self.waiting = SERVERS, []
        await self.endpoint.start_again()
        self.back = self.record.now()
        self.record.line(f"{self.endpoint.name} is back, cold")


def worst_window(partner: Partner) -> tuple[float, int, float, float]:
    """Return the window after the outage with most calls for what is allowed: ratio, calls, allowed, its begin."""
    assert partner.back is not None
    at = [call.at for call in partner.endpoint.calls if call.at >= partner.back]
    worst = (0.0, 0, 0.0, 0.0)
    for begin in at:
        if begin - partner.back > COLD_S:
            break
        count = sum(begin <= other < begin + WINDOW_S for other in at)
        steps = [partner.share(begin + WINDOW_S * step / 60) for step in range(60)]
        allowed = MULTIPLE * CAPACITY * WINDOW_S * sum(steps) / 60
        factor = 3 if allowed < 30 else 2  # STANDING: N + 3 x root of N + 3 under 30, else N + 2 x root of N + 2
        allowed += factor * math.sqrt(allowed) + factor
        worst = max(worst, (count / allowed, count, allowed, begin - partner.back))
    return worst


async def case(record: p.Record, work: Path) -> str:
    """Let one partner of five go down for three seconds and come back cold; count what it gets then."""
    platform = p.Platform("discovery", record)
    await platform.start()
    partners = [Partner(block, record) for block in range(PARTNERS)]
    for partner in partners:
        name = partner.endpoint.name
        platform.hosts[name] = p.row(name, await partner.endpoint.start(), partner.block)
    courier = p.Courier("n0", work, record, {
        "discovery": platform.address, "known": platform.whole(),
        "settings": p.settings([p.service("notice", "repeatable", deadline_ms=DEADLINE_MS)], slots=60, hold=500)})
    await courier.start()
    await courier.ready()
    clients: set[asyncio.Task[int]] = set()

    async def traffic(partner: Partner) -> None:
        chance, number = random.Random(100 + partner.block), 0
        while True:
            number += 1
            clients.add(asyncio.create_task(courier.hand_in(
                f"m{partner.block}-{number}", "notice", partner.block, DEADLINE_MS)))
            await asyncio.sleep(chance.expovariate(CAPACITY * LOAD))
    going = [asyncio.create_task(traffic(partner)) for partner in partners]
    await asyncio.sleep(12.0)
    sick = partners[0]
    if p.TROUBLE:
        seen = len(courier.log)
        await sick.down()
        await asyncio.sleep(DOWN_S)
        told = [line for line in courier.log[seen:] if " at e0: " in line]
        await sick.up()
        if not told:
            raise p.CannotRunError("the courier has seen no call fail")
        record.line(f"the courier's log tells of {len(told)} failed calls during the outage; one: {told[-1]}")
        if CAPACITY * LOAD < 1:
            raise p.CannotRunError("no load")
    await asyncio.sleep(COLD_S + WINDOW_S)
    for task in going:
        task.cancel()
    await asyncio.gather(*clients, return_exceptions=True)
    for line in courier.log:
        if "available" in line:
            record.line(f"log: {line}")
    if not p.TROUBLE:
        return ""
    ratio, count, allowed, begin = worst_window(sick)
    record.line(f"in the {WINDOW_S:.0f} s from {begin:.2f} s after its return it got {count} calls, all of this "
                f"courier; it falls over above {allowed:.1f}")
    return f"{count} calls in 3 s, {allowed:.1f} are allowed" if ratio > 1 else ""


if __name__ == "__main__":
    p.run_case(HERE, case)
