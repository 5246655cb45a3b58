"""What the edges of size cost: a restart that owes 100,000 messages, lists of 10,000 rows, a million timers at once.

    python benchmarks/scale_edges.py [replay] [lists] [timers] [--owed 100000] [--rows 10000] [--timers 1000000]

`replay`: a courier's process on a folder that owes so many: until it is ready, and until its first attempt. `lists`:
the longest turn of a courier's loop while all rows are replaced in one list and in changes of 100, beside its turns
before. `timers`: messages whose time is up in the same second, at the module: batches, the longest one, in all.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from dataclasses import replace
from pathlib import Path

from turns import LoopIterations

from wheelstep import Sender, Settings
from wheelstep import interface as api
from wheelstep.courier.config import Address, load
from wheelstep.courier.core import Core
from wheelstep.journal import Journal, StoredMessage
from wheelstep.rehearsal.history import Figures, History
from wheelstep.rehearsal.standins import wire
from wheelstep.rehearsal.standins.platform import Agent, row

ROOT = Path(__file__).resolve().parents[1]
S = 1_000_000
SETTINGS = {
    "services": [{"name": "once", "promise_us": 2 * S, "deadline_us": 600 * S, "effect": "once", "group": "all"}],
    "specifics": {"calls_out": 64, "per_call": [1], "kind_apart": [False]}, "kinds": ["k"], "areas": ["a"],
    "caps": {"open_cap": 200_000, "most_tries": 12, "conn_idle_us": 10 * S, "dial_timeout_us": S},
    "prices": {"handshake": 0.06, "probe": 0.01}, "rules": {}, "tick_us": 1000}


def configuration(folder: str, discovery: str, known: dict[str, object]) -> dict[str, str]:
    """Write it; the environment that names it."""
    (Path(folder) / "state").mkdir(exist_ok=True)
    (Path(folder) / "config.json").write_text(json.dumps({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "1", "settings": SETTINGS,
        "limits": {"disk_mb": 500, "sockets": 1024}, "known": known}))
    return {**os.environ, "RELAY_CONFIG": f"{folder}/config.json", "RELAY_STATE": f"{folder}/state"}


async def replay(owed: int) -> None:
    """A courier that owes so many starts anew."""
    first: asyncio.Future[float] = asyncio.get_running_loop().create_future()

    class Plain(wire.Server):
        def requested(self, request: wire.Request) -> None:
            if not first.done():
                first.set_result(time.perf_counter())
            self.answer(200)
    partner = wire.Port(Plain)
    await partner.listen()
    agent = Agent("n0", History(Figures({})), lambda: 0, lambda courier, notice: None)
    agent.hosts = {f"e{number}": row(f"e{number}", partner.address, number, "k") for number in range(1_000)}
    await agent.open()
    with tempfile.TemporaryDirectory(prefix="umberchute-edges-") as folder:
        env = configuration(folder, agent.port.address, agent.whole())
        journal = Journal(Path(folder) / "state", 500_000_000)
        due_ms = int(time.time() * 1000) + 600_000
        for number in range(owed):
            journal.take(StoredMessage(f"m{number}", "once", number % 1_000, due_ms, None, None, False, b"x" * 200))
        journal.close()
        began = time.perf_counter()
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "wheelstep.courier", cwd=ROOT, env=env, stderr=subprocess.PIPE)
        assert process.stderr is not None
        while b"serves on" not in (line := await process.stderr.readline()):
            assert line, "the courier ended"
        ready = time.perf_counter()
        async with asyncio.timeout(60):
            attempt = await first
        memory = next(line.split()[1] for line in Path(f"/proc/{process.pid}/status").read_text().splitlines()
                      if line.startswith("VmHWM"))
        process.send_signal(signal.SIGKILL)
        await process.communicate()
    agent.close()
    partner.close()
    print(f"replay of {owed} owed: ready after {ready - began:.1f} s, first attempt after {attempt - began:.1f} s, "
          f"{int(memory) / 1024:.0f} MB", flush=True)


async def lists(count: int) -> None:
    """All rows replaced, with 20,000 messages held."""
    with tempfile.TemporaryDirectory(prefix="umberchute-edges-") as folder:
        env = configuration(folder, "127.0.0.1:9", {})
        os.environ.update(env)
        config = load(env)
        journal = Journal(config.state, config.disk_bytes)
        core = Core(config, journal)

        def rows(version: int) -> list[tuple[api.EndpointInfo, Address]]:
            return [(api.EndpointInfo(f"e{number}v{version}", number, state=api.EndpointState.DRAINING),
                     Address("127.0.0.1", 9)) for number in range(count)]
        due_ms = int(time.time() * 1000) + 600_000
        for number in range(20_000):
            journal.take(StoredMessage(f"m{number}", "once", number % count, due_ms, None, None, False, b"x"))
        first, old, new = rows(0), rows(1), rows(2)
        gone = [(replace(info, state=api.EndpointState.REMOVED), address) for info, address in old]
        core.listed(api.ListKind.WHOLE, first)
        core.restore({}, journal.messages.values())
        turns = LoopIterations()
        await asyncio.sleep(2)
        turns.take()
        await asyncio.sleep(1)
        before = turns.take()[0]
        core.listed(api.ListKind.WHOLE, old)
        await asyncio.sleep(2)
        whole = turns.take()[0]
        for part in range(0, count, 100):
            core.listed(api.ListKind.CHANGES, [*gone[part:part + 100], *new[part:part + 100]])
            await asyncio.sleep(0.02)
        changes = turns.take()[0]
        turns.stop()
        journal.close()
    print(f"{count} rows, 20,000 held: longest turn {before:.1f} ms before, {whole:.1f} ms with one list that replaces "
          f"all, {changes:.1f} ms with changes of 100", flush=True)


def timers(count: int) -> None:
    """So many messages are due in the same second."""
    sender = Sender(Settings((api.MessageClass(2 * S, 20 * S, api.Effect.UNSAFE),), slots=64, hold_limit=1 << 30), 1)
    sender.handle(0, [api.MembershipReceived(api.ListKind.WHOLE, (api.EndpointInfo("e0", 1),))])
    for begin in range(0, count, 2_000):
        sender.handle(begin * S // count, [api.MessageAccepted(f"m{number}", 0, 1, 20 * S)
                                           for number in range(begin, min(begin + 2_000, count))])
    now, batches, worst, ended, began = 20 * S, 0, 0.0, 0, time.perf_counter()
    while ended < count - 64 and batches < count:
        now += 2_000
        start = time.perf_counter()
        actions = sender.handle(now, [api.TimerFired(0)])
        worst = max(worst, time.perf_counter() - start)
        ended += sum(isinstance(action, api.Refuse | api.Fail) for action in actions)
        batches += 1
    print(f"{count} timers in a second: {ended} ends in {batches} batches, {time.perf_counter() - began:.1f} s in all, "
          f"longest batch {worst * 1e3:.0f} ms", flush=True)


def main() -> None:
    """What is named, or all."""
    options = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    options.add_argument("what", nargs="*", choices=["replay", "lists", "timers", []], default=[])
    options.add_argument("--owed", type=int, default=100_000)
    options.add_argument("--rows", type=int, default=10_000)
    options.add_argument("--timers", type=int, default=1_000_000)
    given = options.parse_args()
    what = given.what or ["replay", "lists", "timers"]
    if "replay" in what:
        asyncio.run(replay(given.owed))
    if "lists" in what:
        asyncio.run(lists(given.rows))
    if "timers" in what:
        timers(given.timers)


if __name__ == "__main__":
    main()
