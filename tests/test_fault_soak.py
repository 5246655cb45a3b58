"""The soak: its plans, the faults inside a process, and a small play of real couriers."""

from __future__ import annotations

import asyncio
import os
import random
import socket
import time
from pathlib import Path

import pytest

from wheelstep.rehearsal.judge import Rule, Ruling
from wheelstep.rehearsal.rig import module_command
from wheelstep.rehearsal.soak import faulty
from wheelstep.rehearsal.soak.control import FaultPage
from wheelstep.rehearsal.soak.plan import COURIER_FAULTS, ENDPOINT_FAULTS, PROCESS_INSIDE, Soak, plan
from wheelstep.rehearsal.soak.run import run

SMALL = Soak(couriers=3, length_s=4.0)


def test_a_seed_gives_the_same_play_and_all_kinds_of_faults_come() -> None:
    assert plan(1, SMALL).digest() == plan(1, SMALL).digest() != plan(2, SMALL).digest()
    kinds = {fault.kind for seed in range(20) for fault in plan(seed, Soak()).faults}
    assert kinds == {*COURIER_FAULTS, *PROCESS_INSIDE, *ENDPOINT_FAULTS} - {"upgrades", "upgrade-kill"}


def test_faults_overlap() -> None:
    faults = plan(3, Soak()).faults
    assert max(sum(one.at_us <= other.at_us < one.until_us for one in faults) for other in faults) >= 5


def test_a_page_is_shared_by_all_that_map_it(tmp_path: Path) -> None:
    here, there = FaultPage(tmp_path / "page"), FaultPage(tmp_path / "page")
    here.clock_s, here.sockets, here.disk, here.most_bytes = -5.0, 0.5, 1.0, 7
    assert (there.clock_s, there.sockets, there.disk, there.most_bytes) == (-5.0, 0.5, 1.0, 7)
    there.sockets = 0.0
    assert here.sockets == 0.0 and here.disk == 1.0


def test_the_wall_clock_steps_and_the_monotonic_one_runs_on(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    for name in ("time", "time_ns"):
        monkeypatch.setattr(time, name, getattr(time, name))
    page = FaultPage(tmp_path / "page")
    faulty.patch_clock(page)
    wall, steady = time.time(), time.monotonic()
    page.clock_s = 3600.0
    assert 3599 < time.time() - wall < 3601 and time.monotonic() - steady < 1.0
    assert abs(time.time_ns() / 1e9 - time.time()) < 1.0


def test_system_calls_fail_as_linux_documents(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    for name in ("connect", "accept", "send", "recv"):
        monkeypatch.setattr(socket.socket, name, getattr(socket.socket, name))
    for name in ("write", "fsync", "ftruncate", "open"):
        monkeypatch.setattr(os, name, getattr(os, name))
    page, rng = FaultPage(tmp_path / "page"), random.Random(1)
    faulty.patch_sockets(page, rng)
    faulty.patch_disk(page, rng)
    with socket.create_server(("127.0.0.1", 0)) as listener, socket.socket() as client:
        page.sockets = 1.0
        with pytest.raises(OSError) as connect:
            client.connect(listener.getsockname())
        assert connect.value.errno in faulty.CONNECT_ERRORS
        with pytest.raises(OSError) as accept:
            listener.accept()
        assert accept.value.errno in faulty.ACCEPT_ERRORS
        page.sockets, page.most_bytes = 0.0, 3
        client.connect(listener.getsockname())
        with listener.accept()[0] as served:
            assert client.send(b"12345") == 3 and served.recv(10) == b"123"
    with open(tmp_path / "file", "wb") as file:
        page.disk = 1.0
        wrote = []
        for _ in range(20):
            try:
                wrote.append(os.write(file.fileno(), b"1234"))
            except OSError as error:
                wrote.append(error.errno)
        assert set(wrote) == {2, *faulty.DISK_ERRORS}
        for failing in (lambda: os.fsync(file.fileno()), lambda: os.ftruncate(file.fileno(), 0),
                        lambda: os.open(tmp_path / "new", os.O_CREAT | os.O_RDWR)):
            with pytest.raises(OSError) as disk:
                failing()
            assert disk.value.errno in faulty.DISK_ERRORS


def test_a_play_of_real_couriers_is_clean() -> None:
    result, played = asyncio.run(asyncio.wait_for(run(plan(1, SMALL)), 120))
    told = [f"{finding.courier} {finding.rule.name}: {finding.text}" for finding in result.findings]
    assert result.clean, "\n".join([*told, *result.suspect, *played.logs.values()])


def test_a_courier_that_breaks_its_word_is_caught() -> None:
    broken = module_command("wheelstep.rehearsal.broken", "ignores-keys")
    for seed in range(1, 4):
        result, _ = asyncio.run(asyncio.wait_for(run(plan(seed, SMALL), broken), 120))
        if any(finding.rule is Rule.ORDER for finding in result.findings):
            assert result.ruling is not Ruling.KEPT
            return
    raise AssertionError("the order was kept")
