"""Measures the highest rate at which the rehearsal's stand-ins and judge keep up on two cores.

    python benchmarks/rig_rate.py [--rates 200,400,800,1600] [--couriers 4]

The rig is limited to two cores, the couriers have the others. It keeps up while it is never 50 ms late and submits 99%
of the messages within 50 ms of their planned time. First, a stand-in's sockets are compared with a bare aiohttp server:
both answer the same requests of the same client, on the rig's cores.
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


class OkServer(wire.Server):
    """Answers 200 to every request."""

    def on_request(self, request: wire.Request) -> None:
        """Answer 200."""
        self.answer(200)


async def request_rate(port: int, count: int = 20_000, connections: int = 32) -> float:
    """Send `count` requests to a port and return the requests a second; client and server share this process."""
    clients = [await wire.Client.dial("127.0.0.1", port) for _ in range(connections)]

    async def send_all(client: wire.Client) -> None:
        for _ in range(count // connections):
            assert await client.exchange(REQUEST) is not None

    began = time.perf_counter()
    await asyncio.gather(*(send_all(client) for client in clients))
    took_s = time.perf_counter() - began
    for client in clients:
        client.close()
    return count / took_s


async def compare_sockets() -> None:
    """Print the request rates of the stand-ins' server and of aiohttp's (medians of three runs)."""
    port = wire.Port(OkServer)
    await port.listen()

    async def ok(request: web.Request) -> web.Response:
        await request.read()
        return web.Response(status=200)

    app = web.Application()
    app.router.add_post("/inbox", ok)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    aiohttp_port = runner.addresses[0][1]
    stand_in_rates, aiohttp_rates = [], []
    for _ in range(3):
        stand_in_rates.append(await request_rate(port.port))
        aiohttp_rates.append(await request_rate(aiohttp_port))
    stand_in, other = sorted(stand_in_rates)[1], sorted(aiohttp_rates)[1]
    print(f"sockets: stand-in {stand_in:.0f} a second, bare aiohttp server {other:.0f}: ratio {stand_in / other:.2f}")
    port.close()
    await runner.cleanup()


def main() -> None:
    """Compare the sockets, then run a rehearsal at each rate and print whether the rig keeps up."""
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("--rates", default="200,400,600,800,1200,1600")
    options.add_argument("--couriers", type=int, default=4)
    given = options.parse_args()
    cores = sorted(os.sched_getaffinity(0))
    rig_cores, courier_cores = cores[:2], cores[2:]
    os.sched_setaffinity(0, rig_cores)
    asyncio.run(compare_sockets())
    # Without taskset (part of util-linux), a courier would inherit the rig's cores.
    command = f"taskset -c {','.join(map(str, courier_cores))} {rig.OURS}"
    print(f"rig on {len(rig_cores)} cores, {given.couriers} couriers on {len(courier_cores)}")
    for rate in map(float, given.rates.split(",")):
        text = SCENARIO.format(rate=rate, couriers=given.couriers,
                               partners="".join(PARTNER.format(number=number) for number in range(12)))
        plan = draw("rate", parse(text, "rate"), 1)
        played = asyncio.run(rig.play(plan, command))
        history = played.history
        rig_late_us = [fact.late_us for fact in history.facts if isinstance(fact, Late) and fact.who == "the rig"]
        planned = {arrival.number: arrival.at_us for arrival in plan.arrivals}
        submitted_us: dict[int, int] = {}
        for fact in history.facts:
            if isinstance(fact, HandIn):
                submitted_us[fact.origin] = min(submitted_us.get(fact.origin, fact.at_us), fact.at_us)
        behind_us = sorted(at_us - planned[origin] for origin, at_us in submitted_us.items())
        began = time.perf_counter()
        verdict = judge(history)
        judge_s = time.perf_counter() - began
        late_ms, behind_ms = max(rig_late_us, default=0) / 1e3, behind_us[int(len(behind_us) * 0.99)] / 1e3
        keeps_up = late_ms < 50 and behind_ms < 50
        print(f"{rate:6.0f} a second: {'keeps up' if keeps_up else 'falls behind'}; rig late {late_ms:.0f} ms at most, "
              f"submissions {behind_ms:.0f} ms behind (p99), judged {len(history.facts)} facts in {judge_s:.2f} s, "
              f"verdict {verdict.ruling.value}")


if __name__ == "__main__":
    main()
