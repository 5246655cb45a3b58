"""What the rig itself costs: the highest rate at which stand-ins and judge keep up on two cores.

    python benchmarks/rig_rate.py [--rates 200,400,800,1600] [--couriers 4]

The rig is held to two cores, the couriers have the others. It keeps up while it is never 50 ms late and hands in
every message within 50 ms of its planned time. First, a stand-in's sockets against a bare aiohttp server: both
answer the same requests of the same client, each on the rig's cores.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import time

from aiohttp import web

from wheelstep.rehearsal import rig
from wheelstep.rehearsal.history import HandIn, Late
from wheelstep.rehearsal.judge import judge
from wheelstep.rehearsal.plan import draw
from wheelstep.rehearsal.scenario import parse
from wheelstep.rehearsal.standins import wire

SCENARIO = """
title = "Rate"
rule = "all"
length = "6s"
couriers = {couriers}
slots = 400
hold = 20000
[[class]]
name = "update"
effect = "keyed"
key_life = "15s"
ordered = true
promise = "2s"
deadline = "6s"
[[class]]
name = "pay"
promise = "2s"
deadline = "6s"
[[kind]]
name = "venue"
{partners}
[traffic]
rate_per_s = {rate}
keys = 1000
"""
PARTNER = """
[[partner]]
name = "p{number}"
kind = "venue"
lanes = 100
queue = 2000
pace = "20ms"
"""
REQUEST = (b"POST /inbox HTTP/1.1\r\nHost: x\r\nContent-Length: 200\r\n"
           b"X-Request-Id: 0123456789abcdef\r\n\r\n" + b"x" * 200)


class Plain(wire.Server):
    """Answers 200 to all."""

    def on_request(self, request: wire.Request) -> None:
        self.answer(200)


async def drive(port: int, count: int = 20_000, links: int = 32) -> float:
    """Requests a second, client and server in this process."""
    clients = [await wire.Client.dial("127.0.0.1", port) for _ in range(links)]

    async def ask(client: wire.Client) -> None:
        for _ in range(count // links):
            assert await client.exchange(REQUEST) is not None

    began = time.perf_counter()
    await asyncio.gather(*(ask(client) for client in clients))
    spent = time.perf_counter() - began
    for client in clients:
        client.close()
    return count / spent


async def sockets() -> None:
    """The stand-ins' server against aiohttp's."""
    port = wire.Port(Plain)
    await port.listen()

    async def fine(request: web.Request) -> web.Response:
        await request.read()
        return web.Response(status=200)

    app = web.Application()
    app.router.add_post("/inbox", fine)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    theirs = runner.addresses[0][1]
    ours_per_s, theirs_per_s = [], []
    for _ in range(3):
        ours_per_s.append(await drive(port.port))
        theirs_per_s.append(await drive(theirs))
    ours, other = sorted(ours_per_s)[1], sorted(theirs_per_s)[1]
    print(f"sockets: stand-in {ours:.0f} a second, bare aiohttp server {other:.0f}: ratio {ours / other:.2f}")
    port.close()
    await runner.cleanup()


def main() -> None:
    """Measure and print."""
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("--rates", default="200,400,600,800,1200,1600")
    options.add_argument("--couriers", type=int, default=4)
    given = options.parse_args()
    cores = sorted(os.sched_getaffinity(0))
    mine, others = cores[:2], cores[2:]
    os.sched_setaffinity(0, mine)
    asyncio.run(sockets())
    # taskset is part of util-linux; a courier inherits the rig's cores without it.
    command = f"taskset -c {','.join(map(str, others))} {rig.OURS}"
    print(f"rig on {len(mine)} cores, {given.couriers} couriers on {len(others)}")
    for rate in map(float, given.rates.split(",")):
        text = SCENARIO.format(rate=rate, couriers=given.couriers,
                               partners="".join(PARTNER.format(number=number) for number in range(12)))
        plan = draw("rate", parse(text, "rate"), 1)
        played = asyncio.run(rig.play(plan, command))
        history = played.history
        own_late = [fact.late_us for fact in history.facts if isinstance(fact, Late) and fact.who == "the rig"]
        planned = {arrival.number: arrival.at_us for arrival in plan.arrivals}
        first: dict[int, int] = {}
        for fact in history.facts:
            if isinstance(fact, HandIn):
                first[fact.origin] = min(first.get(fact.origin, fact.at_us), fact.at_us)
        keyed_wait = sorted(at_us - planned[origin] for origin, at_us in first.items())
        began = time.perf_counter()
        verdict = judge(history)
        judged = time.perf_counter() - began
        late_ms, behind_ms = max(own_late, default=0) / 1e3, keyed_wait[int(len(keyed_wait) * 0.99)] / 1e3
        keeps = late_ms < 50 and behind_ms < 50
        print(f"{rate:6.0f} a second: {'keeps up' if keeps else 'falls behind'}; rig late {late_ms:.0f} ms at most, "
              f"hand-ins {behind_ms:.0f} ms behind (99 of 100), judged {len(history.facts)} facts in {judged:.2f} s, "
              f"verdict {verdict.ruling.value}")


if __name__ == "__main__":
    main()
