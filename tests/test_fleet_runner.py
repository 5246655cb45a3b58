"""The faults of clocks and disks that the runner injects, each tested in its own process."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent


def run_script(text: str, **environ: str) -> str:
    done = subprocess.run([sys.executable, "-c", text], capture_output=True, text=True, timeout=30, cwd=ROOT,
                          env={"PYTHONPATH": str(ROOT), **environ})
    assert done.returncode == 0, done.stderr
    return done.stdout


CLOCKS = """
import os, time
real, wall = time.monotonic, time.time
from wheelstep.rehearsal.fleet.runner import prepare
prepare(os.environ)
begin = [real(), time.monotonic(), time.clock_gettime(time.CLOCK_BOOTTIME), time.monotonic_ns() / 1e9]
time.sleep(0.4)
spans = [now - then for now, then in zip(
    [real(), time.monotonic(), time.clock_gettime(time.CLOCK_BOOTTIME), time.monotonic_ns() / 1e9], begin)]
steps = round(time.time() - wall()), round(time.time_ns() / 1e9 - wall())
print(*(round(span / spans[0], 2) for span in spans[1:]), *steps)
"""


def test_clock_fault_slows_monotonic_clocks_and_steps_the_wall_clock() -> None:
    assert run_script(CLOCKS, RIG_CLOCK="rate=0.50 step=30") == "0.5 0.5 0.5 30 30\n"
    assert run_script(CLOCKS, RIG_CLOCK="step=-30 after=60") == "1.0 1.0 1.0 0 0\n"


DISK = """
import os, time
from pathlib import Path
from wheelstep.rehearsal.fleet.runner import prepare
import wheelstep.rehearsal.fleet.runner as runner
runner.HANG_S = 0.3
prepare(os.environ)
from wheelstep.journal.disk import Folder
for name in ("fleet", "state"):
    folder = Folder(Path(os.environ["HERE"]) / name)
    print(name, *(folder.read(one).decode() for one in folder.names()))
    handle = folder.create("log") if not folder.names() else folder.append_to("log")
    try:
        for piece in os.environ["PIECES"].split():
            folder.write(handle, piece.encode())
            began = time.monotonic()
            folder.sync(handle)
            if time.monotonic() - began > 0.25:
                print("hung")
    except OSError as error:
        print(error.strerror)
"""


def run_with_disk_fault(here: Path, fault: str, pieces: str) -> list[str]:
    for name in ("fleet", "state"):
        (here / name).mkdir(exist_ok=True)
    return run_script(DISK, RIG_DISK=fault, HERE=str(here), PIECES=pieces).splitlines()


def test_lying_disk_restores_old_files_at_the_next_start(tmp_path: Path) -> None:
    assert run_with_disk_fault(tmp_path, "lie fleet 2", "a b c d") == ["fleet", "state"]
    message = "the rig's disk lost synced data in fleet"
    assert run_with_disk_fault(tmp_path, "lie fleet 2", "e") == [message, "fleet ab", "state abcd"]


def test_full_and_hanging_disk_affect_the_named_folder_only(tmp_path: Path) -> None:
    assert run_with_disk_fault(tmp_path, "fill fleet 2", "a b c") == ["fleet", "no space left on the rig's disk",
                                                                      "state"]
    assert run_with_disk_fault(tmp_path, "hang fleet 2", "d e f") == ["fleet ab", "hung", "state abc"]


def test_unknown_disk_fault_is_rejected(tmp_path: Path) -> None:
    done = subprocess.run([sys.executable, "-m", "wheelstep.rehearsal.fleet.runner", "serve"], capture_output=True,
                          text=True, timeout=30, cwd=ROOT, env={"RIG_DISK": "melt fleet"})
    assert done.returncode != 0 and "'melt' is not a disk fault; expected fill, hang or lie" in done.stderr
