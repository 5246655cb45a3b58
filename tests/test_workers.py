"""Courier of several processes: every worker for every destination, restarts with another number of workers."""

from __future__ import annotations

import asyncio
import os
import subprocess
import sys
from pathlib import Path

import pytest
from loopback import ALONE, ROOT, Call, Endpoint, Reply, Scene, host, run
from test_rehearsal import rehearse

from wheelstep.rehearsal.rig import module_command
from wheelstep.rehearsal.standins.machine import children
from wheelstep.workers.ownership import share_of

# A message's time has to outlast five starts, however busy the machine is.
PATIENT = {**ALONE, "services": [{**service, "deadline_us": 300_000_000} for service in ALONE["services"]]}
PATIENCE = {"X_Deadline_Ms": "300000"}


def operator(folder: Path, workers: int, shares: int = 4) -> Path:
    path = folder / "operator.toml"
    path.write_text(f"[workers]\ncount = {workers}\nshares = {shares}\n")
    return path


def test_every_worker_accepts_messages_for_every_destination(tmp_path: Path) -> None:
    async def scene() -> None:
        s = Scene(tmp_path, operator(tmp_path, 3))
        s.courier.settings = ALONE  # one message per call, so that the calls can be counted on a fast machine
        others = [Endpoint() for _ in range(6)]
        await s.platform.start()
        s.platform.list(host("e0", await s.endpoint.start()),
                        *[host(f"f{number}", await one.start(), 20 + number) for number, one in enumerate(others)])
        await s.courier.start()
        assert len({share_of(20 + number, 4) for number in range(6)}) > 2
        for turn in range(5):
            for number in range(6):  # each on its own connection, so to any worker
                status = 503
                while status == 503:  # from a worker that does not know the owners yet
                    status = await s.courier.hand_in(f"m{turn}-{number}", X_Consignee=f"dest={20 + number}",
                                                     body=b"b" * 1000)
                assert status == 202
        for one in others:
            calls = await one.wait(5)
            assert len(calls) == 5 and all(call.body == b"b" * 1000 for call in calls)
        assert await s.courier.hand_in("m", X_Consignee="dest=99") == 400
        assert await s.courier.terminate() == 0
        assert [len(one.calls) for one in others] == [5] * 6
        await s.platform.stop()
    run(scene())


def test_message_is_delivered_once_despite_kills_and_layout_changes(tmp_path: Path) -> None:
    """Runs without workers, with two, all killed, with three workers and more shares, and without workers again."""
    async def scene() -> None:
        s = Scene(tmp_path)
        s.courier.settings = PATIENT
        await s.platform.start()
        s.platform.list(host("e0", await s.endpoint.start(), health="DRAINING"))  # so that messages stay in the journal
        try:
            await s.courier.start()
            assert await s.courier.hand_in("m0", **PATIENCE) == 202
            await s.courier.kill()
            s.courier.operator = operator(tmp_path, 2, 4)
            await s.courier.start()
            assert await s.courier.hand_in("m1", **PATIENCE) == 202
            await s.courier.kill()  # the kernel kills the workers with it
            s.courier.operator = operator(tmp_path, 3, 7)
            await s.courier.start()
            assert await s.courier.hand_in("m2", **PATIENCE) == 202
            assert await s.courier.terminate() == 0
            s.courier.operator = None
            with pytest.raises(RuntimeError, match="laid out for workers; expected"):
                await s.courier.start()
            merged = subprocess.run([sys.executable, "-m", "wheelstep.cli", "workers", "merge",
                                     str(tmp_path / "state")], cwd=ROOT, capture_output=True, text=True)
            assert (merged.returncode, merged.stderr) == (0, "")
            ran: list[str] = []

            async def fine(call: Call) -> Reply:
                ran.append(call.headers["x-request-id"])
                return 200, {}, b""
            s.endpoint.reply = fine
            s.platform.list(host("e0", s.endpoint.address))
            await s.courier.start()
            while len(ran) < 3:
                await asyncio.sleep(0.02)
            assert sorted(ran) == ["m0", "m1", "m2"]
            assert await s.courier.terminate() == 0
            assert len(ran) == 3
        finally:
            await s.platform.stop()
    run(scene())


def test_reload_reaches_all_workers_and_the_end_of_one_stops_no_other(tmp_path: Path) -> None:
    async def scene() -> None:
        async with Scene(tmp_path, operator(tmp_path, 2)) as s:
            s.courier.renew("{")
            await s.courier.wait_log("the new configuration is not used")
            s.courier.renew(s.courier.config(s.platform))
            await s.courier.wait_log("configuration read again")
            first = children(s.courier.process.pid)
            os.kill(first[share_of(7, 4) % 2 ^ 1], 9)  # either worker; it need not own destination 7
            await s.courier.wait_log("started again, 1 of 3")
            while True:  # a connection may reach a worker that is being replaced
                try:
                    if await s.courier.hand_in("m1") == 202:
                        break
                except OSError:
                    pass
                await asyncio.sleep(0.05)
            assert (await s.endpoint.wait(1))[0].headers["x-request-id"] == "m1"
            assert await s.courier.terminate() == 0
    run(scene())


def test_too_many_workers_or_too_few_shares_are_reported(tmp_path: Path) -> None:
    async def scene() -> None:
        for workers, shares, expected in ((5, 4, "expected 5 at least"), (20, 20, "no more than there are slots")):
            folder = tmp_path / str(workers)
            folder.mkdir()
            s = Scene(folder, operator(folder, workers, shares))
            await s.platform.start()
            with pytest.raises(RuntimeError, match=expected):
                await s.courier.start()
            await s.platform.stop()
    run(scene())


WORKER_KILL_SCENARIO = """
title = "A worker is killed under load"
rule = "all"
length = "3s"
slots = 24
[[class]]
name = "pay"
promise = "1s"
deadline = "4s"
[[class]]
name = "update"
effect = "keyed"
key_life = "8s"
ordered = true
promise = "1s"
deadline = "4s"
[[kind]]
name = "firm"
""" + "".join(f"""
[[partner]]
name = "p{number}"
kind = "firm"
lanes = 8
pace = "50ms"
""" for number in range(5)) + """
[traffic]
rate_per_s = 50
[[fault]]
kind = "worker-kill"
at = ["0.5s", "1s"]
for = "5s"
worker = 0
"""


@pytest.mark.parametrize("seed", [1, 2])
def test_rehearsal_rules_hold_while_a_worker_is_killed(tmp_path: Path, seed: int) -> None:
    path = tmp_path / "short.toml"
    path.write_text(WORKER_KILL_SCENARIO)
    command = f"{module_command('wheelstep.cli')} serve --workers 2"
    code, report = rehearse("run", str(path), "--seed", str(seed), "--courier", command)
    assert code == 0, report
