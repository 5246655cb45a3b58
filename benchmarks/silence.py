"""How long until news is known after a silence, over many watches that fall silent at one moment.

    python benchmarks/silence.py [--watches 200] [--limit 30]

Each watch has an agent of its own on loopback. News comes at the moment of the silence (or of discovery's return,
`outage`). `pushed`: the agent is asked at no cost; `asked`: the settings let each courier ask discovery itself, so
calls are spread. Seconds from the silence (or return); calls for each watch, and the most of all in one second.
"""

from __future__ import annotations

import argparse
import asyncio
import math
import sys
from collections import Counter
from pathlib import Path

ROOT = Path(__file__).parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

from silent_agent import Follower, SilentAgent  # noqa: E402

# What the watches opened after the silence do; the last word goes for all further ones.
SCENES = {"well": ("well",), "mute": ("mute", "well"), "half": ("half", "well"), "dribble": ("dribble", "well"),
          "turned away": ("full", "well"), "outage 8 s": ("mute",), "outage 9.2 s": ("mute",)}


async def one(words: tuple[str, ...], couriers: int, seed: int, quiet: asyncio.Event, ready: asyncio.Semaphore,
              down_s: float, limit_s: float, calls: Counter[int]) -> float:
    """One watch; how long it took, or infinity."""
    loop = asyncio.get_running_loop()
    agent = SilentAgent("well", *words)
    follower = Follower(await agent.start(), couriers, seed)
    await follower.until(1, 60)
    ready.release()
    await quiet.wait()
    began, agent.seq = loop.time(), 2
    agent.opened[0][0].say(b"\n")  # the last line, for all at this moment
    agent.opened[0][0].hush()
    if down_s:
        await asyncio.sleep(down_s)
        began, agent.script, agent.last = loop.time(), iter(()), "well"
        for link in agent.alive():
            if link.word == "mute":
                link.play("well")
    try:
        took = await follower.until(2, limit_s) - began
    except TimeoutError:
        took = math.inf
    for at in agent.at[1:]:
        calls[int(at)] += 1
    await follower.stop()
    agent.close()
    return took


async def scene(name: str, couriers: int, watches: int, limit_s: float) -> None:
    """Play it and print its line."""
    quiet, ready, calls = asyncio.Event(), asyncio.Semaphore(0), Counter[int]()
    down_s = float(name.split()[1]) if name.startswith("outage") else 0.0
    tasks = [asyncio.create_task(one(SCENES[name], couriers, seed, quiet, ready, down_s, limit_s, calls))
             for seed in range(watches)]
    for _ in range(watches):
        await ready.acquire()
    quiet.set()
    took = sorted(await asyncio.gather(*tasks))
    print(f"{'asked' if couriers > 1 else 'pushed':7}{name:14}median {took[len(took) // 2]:6.2f}  "
          f"p99 {took[math.ceil(len(took) * 0.99) - 1]:6.2f}  most {took[-1]:6.2f}  "
          f"over 6 s {sum(one > 6 for one in took):4}  calls {calls.total() / watches:5.2f}  "
          f"most in a second {max(calls.values(), default=0):4}", flush=True)


async def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--watches", type=int, default=200)
    parser.add_argument("--limit", type=float, default=30.0, help="seconds after which news counts as never heard")
    given = parser.parse_args()
    for couriers in (1, given.watches):
        for name in SCENES:
            await scene(name, couriers, given.watches, given.limit)


if __name__ == "__main__":
    asyncio.run(main())
