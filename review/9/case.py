"""A courier that restarts while discovery is down sends to endpoints that it was told to leave."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import peers2 as p  # noqa: E402

DESTINATIONS = 320  # two endpoints each: 640, of 3,200 at most
SWAPPED_S = 22.0  # BRIEF: up to 52% of the endpoints are drained and replaced within 21 to 39 s; here half of them
DOWN_S = 8.0  # STANDING, herd+mass: discovery is down for 8 s
GRACE_S = 0.25 + 0.05
DEADLINE_MS = 4_000


async def case(record: p.Record, work: Path) -> str:
    """Swap half of the endpoints, kill the courier, start it again while discovery is down, and hand messages in."""
    platform = p.Platform("discovery", record)
    await platform.start()
    endpoints: dict[str, p.Endpoint] = {}
    blocks: dict[str, int] = {}

    async def add(name: str, block: int) -> dict[str, object]:
        endpoint = endpoints[name] = p.Endpoint(name, record)
        blocks[name] = block
        return p.row(name, await endpoint.start(), block)
    for block in range(DESTINATIONS):
        for name in (f"a{block}", f"b{block}"):
            platform.hosts[name] = await add(name, block)
    courier = p.Courier("n0", work, record, {
        "discovery": platform.address, "known": platform.whole(),
        "settings": p.settings([p.service("notice", "repeatable", deadline_ms=DEADLINE_MS)], slots=32, hold=200)})
    await courier.start()
    await courier.ready()
    await asyncio.sleep(1.0)

    async def traffic(prefix: str, count: int, pause_s: float) -> int:
        """Hand in messages for the first destinations in turn; return how many were taken on."""
        taken = 0
        for number in range(count):
            taken += await courier.hand_in(f"{prefix}-{number}", "notice", number % 16, DEADLINE_MS) == 202
            await asyncio.sleep(pause_s)
        return taken
    work_going = asyncio.create_task(traffic("before", 80, SWAPPED_S / 80))
    for block in range(DESTINATIONS):  # rolling replacement: one endpoint of each destination, by one of a new id
        platform.change({**platform.hosts[f"a{block}"], "health": "DRAINING"}, await add(f"c{block}", block))
        await asyncio.sleep(SWAPPED_S / DESTINATIONS - 0.005)
    await work_going
    await asyncio.sleep(2.0)

    courier.signal(signal.SIGKILL)
    await courier.ended()
    if p.TROUBLE:
        platform.silent = True
        record.line("discovery is down")
        for watch in list(platform.watches):
            platform.watches.discard(watch)
    await asyncio.sleep(0.6)
    await courier.start()
    await courier.ready()
    taken = await traffic("after", 64, 0.05)
    await asyncio.sleep(max(0.0, DOWN_S - 5.0))
    if not taken:
        raise p.CannotRunError("nothing was taken on after the restart")
    late = [call for endpoint in endpoints.values() for call in endpoint.calls
            if endpoint.name in platform.told and call.at > platform.told[endpoint.name][0] + GRACE_S]
    for call in late:
        record.line(f"late: {call.endpoint} was told as draining at {platform.told[call.endpoint][0]:.3f} and got "
                    f"{' '.join(call.messages)} at {call.at:.3f}")
    calls = sum(1 for endpoint in endpoints.values() for call in endpoint.calls if call.messages[0].startswith("after"))
    record.line(f"{taken} messages taken on after the restart, {calls} calls, {len(late)} to endpoints that drain")
    return f"{len(late)} of {calls} calls went to endpoints that the courier had been told to leave" if late else ""


if __name__ == "__main__":
    p.run_case(HERE, case)
