"""Measures extreme sizes: a restart with 100,000 messages owed, lists of 10,000 rows, a million timers at once.

    python benchmarks/scale_edges.py [replay] [lists] [timers] [--owed 100000] [--rows 10000] [--timers 1000000]

`replay`: a courier's process starts on a journal that owes this many messages; the time until it is ready and until its
first attempt. `lists`: the longest turn of a courier's event loop while all rows are replaced, in one list and in
changes of 100 rows, beside its longest turn when idle. `timers`: messages whose deadlines pass within the same second,
at the decision module; the number of batches, the longest batch and the total time.
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
SECOND_US = 1_000_000
SETTINGS = {
    "services": [{"name": "once", "promise_us": 2 * SECOND_US, "deadline_us": 600 * SECOND_US, "effect": "once",
                  "group": "all"}],
    "specifics": {"calls_out": 64, "per_call": [1], "kind_apart": [False]}, "kinds": ["k"], "areas": ["a"],
    "caps": {"open_cap": 200_000, "most_tries": 12, "conn_idle_us": 10 * SECOND_US, "dial_timeout_us": SECOND_US},
    "prices": {"handshake": 0.06, "probe": 0.01}, "rules": {}, "tick_us": 1000}


def write_configuration(folder: str, discovery: str, known: dict[str, object]) -> dict[str, str]:
    """Write a courier's configuration to `folder`; return the environment variables that name it."""
    (Path(folder) / "state").mkdir(exist_ok=True)
    (Path(folder) / "config.json").write_text(json.dumps({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "1", "settings": SETTINGS,
        "limits": {"disk_mb": 500, "sockets": 1024}, "known": known}))
    return {**os.environ, "RELAY_CONFIG": f"{folder}/config.json", "RELAY_STATE": f"{folder}/state"}


async def measure_replay(owed: int) -> None:
    """Start a courier on a journal with `owed` messages, and print the times and the peak memory."""
    first_attempt: asyncio.Future[float] = asyncio.get_running_loop().create_future()

    class AnsweringPartner(wire.Server):
        def on_request(self, request: wire.Request) -> None:
            if not first_attempt.done():
                first_attempt.set_result(time.perf_counter())
            self.answer(200)
    partner = wire.Port(AnsweringPartner)
    await partner.listen()
    agent = Agent("n0", History(Figures({})), lambda: 0, lambda courier, notice: None)
    agent.hosts = {f"e{number}": row(f"e{number}", partner.address, number, "k") for number in range(1_000)}
    await agent.open()
    with tempfile.TemporaryDirectory(prefix="umberchute-edges-") as folder:
        env = write_configuration(folder, agent.port.address, agent.full_list())
        journal = Journal(Path(folder) / "state", 500_000_000)
        due_ms = int(time.time() * 1000) + 600_000
        for number in range(owed):
            journal.take(StoredMessage(f"m{number}", "once", number % 1_000, due_ms, None, None, False, b"x" * 200))
        journal.close()
        began_s = time.perf_counter()
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "wheelstep.courier", cwd=ROOT, env=env, stderr=subprocess.PIPE)
        assert process.stderr is not None
        while b"serves on" not in (line := await process.stderr.readline()):
            assert line, "the courier ended"
        ready_s = time.perf_counter()
        async with asyncio.timeout(60):
            first_attempt_s = await first_attempt
        peak_kb = next(line.split()[1] for line in Path(f"/proc/{process.pid}/status").read_text().splitlines()
                      if line.startswith("VmHWM"))
        process.send_signal(signal.SIGKILL)
        await process.communicate()
    agent.close()
    partner.close()
    print(f"replay of {owed} owed: ready after {ready_s - began_s:.1f} s, "
          f"first attempt after {first_attempt_s - began_s:.1f} s, {int(peak_kb) / 1024:.0f} MB", flush=True)


async def measure_lists(count: int) -> None:
    """Replace all of `count` rows while 20,000 messages are held, and print the longest turns."""
    with tempfile.TemporaryDirectory(prefix="umberchute-edges-") as folder:
        env = write_configuration(folder, "127.0.0.1:9", {})
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
        first_rows, second_rows, third_rows = rows(0), rows(1), rows(2)
        second_removed = [(replace(info, state=api.EndpointState.REMOVED), address) for info, address in second_rows]
        core.listed(api.ListKind.WHOLE, first_rows)
        core.restore({}, journal.messages.values())
        turns = LoopIterations()
        await asyncio.sleep(2)
        turns.take()
        await asyncio.sleep(1)
        idle_ms = turns.take()[0]
        core.listed(api.ListKind.WHOLE, second_rows)
        await asyncio.sleep(2)
        whole_list_ms = turns.take()[0]
        for first_row in range(0, count, 100):
            core.listed(api.ListKind.CHANGES, [*second_removed[first_row:first_row + 100],
                                               *third_rows[first_row:first_row + 100]])
            await asyncio.sleep(0.02)
        changes_ms = turns.take()[0]
        turns.stop()
        journal.close()
    print(f"{count} rows, 20,000 held: longest turn {idle_ms:.1f} ms before, {whole_list_ms:.1f} ms "
          f"with one list that replaces all, {changes_ms:.1f} ms with changes of 100", flush=True)


def measure_timers(count: int) -> None:
    """Let `count` messages expire within a second, and print the cost."""
    sender = Sender(Settings((api.MessageClass(2 * SECOND_US, 20 * SECOND_US, api.Effect.UNSAFE),), slots=64,
                             hold_limit=1 << 30), 1)
    sender.handle(0, [api.MembershipReceived(api.ListKind.WHOLE, (api.EndpointInfo("e0", 1),))])
    for first_number in range(0, count, 2_000):
        sender.handle(first_number * SECOND_US // count, [api.MessageAccepted(f"m{number}", 0, 1, 20 * SECOND_US)
                                                          for number in range(first_number,
                                                                              min(first_number + 2_000, count))])
    now_us, batches, longest_s, ended, began_s = 20 * SECOND_US, 0, 0.0, 0, time.perf_counter()
    while ended < count - 64 and batches < count:
        now_us += 2_000
        batch_began_s = time.perf_counter()
        actions = sender.handle(now_us, [api.TimerFired(0)])
        longest_s = max(longest_s, time.perf_counter() - batch_began_s)
        ended += sum(isinstance(action, api.Refuse | api.Fail) for action in actions)
        batches += 1
    print(f"{count} timers in a second: {ended} ends in {batches} batches, "
          f"{time.perf_counter() - began_s:.1f} s in all, longest batch {longest_s * 1e3:.0f} ms", flush=True)


def main() -> None:
    """Run the named measurements, or all."""
    options = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    options.add_argument("what", nargs="*", choices=["replay", "lists", "timers", []], default=[])
    options.add_argument("--owed", type=int, default=100_000)
    options.add_argument("--rows", type=int, default=10_000)
    options.add_argument("--timers", type=int, default=1_000_000)
    args = options.parse_args()
    selected = args.what or ["replay", "lists", "timers"]
    if "replay" in selected:
        asyncio.run(measure_replay(args.owed))
    if "lists" in selected:
        asyncio.run(measure_lists(args.rows))
    if "timers" in selected:
        measure_timers(args.timers)


if __name__ == "__main__":
    main()
