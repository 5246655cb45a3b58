"""Measures how long a courier takes to learn of a change when its watch of discovery falls silent, over many watches
that fall silent at the same time.

    python benchmarks/silence.py [--watches 200] [--limit 30]

Each watch has an agent of its own on loopback. The change comes when the silence begins (`outage`: when discovery
returns). `pushed`: polling the agent costs nothing; `asked`: each courier polls discovery itself, so that calls are
spread over time. Prints seconds from the silence (or the return), the calls for each watch, and the most calls of all
watches in one second.
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

# How the watches that are opened after the silence behave (words of `AgentConnection`); the last word holds for all
# further watches.
SCENES = {"well": ("well",), "mute": ("mute", "well"), "half": ("half", "well"), "dribble": ("dribble", "well"),
          "turned away": ("full", "well"), "outage 8 s": ("mute",), "outage 9.2 s": ("mute",)}


async def measure_watch(words: tuple[str, ...], couriers: int, seed: int, quiet: asyncio.Event,
                        ready: asyncio.Semaphore, down_s: float, limit_s: float, calls: Counter[int]) -> float:
    """Run one watch and return the seconds until it knows of the change, or infinity after `limit_s`.

    Releases `ready` when the watch has its first list, and waits for `quiet`. Adds the calls to `calls`, by second.
    """
    loop = asyncio.get_running_loop()
    agent = SilentAgent("well", *words)
    follower = Follower(await agent.start(), couriers, seed)
    await follower.until(1, 60)
    ready.release()
    await quiet.wait()
    began, agent.seq = loop.time(), 2
    agent.opened[0][0].say(b"\n")  # the last line before the silence
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


async def run_scene(name: str, couriers: int, watches: int, limit_s: float) -> None:
    """Run all watches of one scene and print its line."""
    quiet, ready, calls = asyncio.Event(), asyncio.Semaphore(0), Counter[int]()
    down_s = float(name.split()[1]) if name.startswith("outage") else 0.0
    tasks = [asyncio.create_task(measure_watch(SCENES[name], couriers, seed, quiet, ready, down_s, limit_s, calls))
             for seed in range(watches)]
    for _ in range(watches):
        await ready.acquire()
    quiet.set()
    took_s = sorted(await asyncio.gather(*tasks))
    print(f"{'asked' if couriers > 1 else 'pushed':7}{name:14}median {took_s[len(took_s) // 2]:6.2f}  "
          f"p99 {took_s[math.ceil(len(took_s) * 0.99) - 1]:6.2f}  most {took_s[-1]:6.2f}  "
          f"over 6 s {sum(one > 6 for one in took_s):4}  calls {calls.total() / watches:5.2f}  "
          f"most in a second {max(calls.values(), default=0):4}", flush=True)


async def main() -> None:
    """Run all scenes, `pushed` and `asked`."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--watches", type=int, default=200)
    parser.add_argument("--limit", type=float, default=30.0,
                        help="seconds after which a watch counts as never informed")
    given = parser.parse_args()
    for couriers in (1, given.watches):
        for name in SCENES:
            await run_scene(name, couriers, given.watches, given.limit)


if __name__ == "__main__":
    asyncio.run(main())
