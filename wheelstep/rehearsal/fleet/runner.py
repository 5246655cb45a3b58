"""Runs `umberchute` in a process whose clock or disk is made bad from outside, or with one behaviour broken.

`python -m wheelstep.rehearsal.fleet.runner serve --operator FILE`, told by the environment:

- `RIG_CLOCK="rate=0.97 step=-30 after=2"`: monotonic clocks run at that rate; the wall clock also steps by so many
  seconds, so long after the start.
- `RIG_DISK="WHAT PATH [NUMBER]"`: in folders whose path ends in PATH, `fill` (no room after NUMBER bytes), `hang` (the
  sync NUMBER takes `HANG_S`), or `lie` (what is synced after the sync NUMBER is gone at the next start with the same
  setting: the old bytes are put back).
- `RIG_POINT=FILE`: while the file is there, the process gets a signal at the point that it names (`points`).
- `RIG_BROKEN=NAME`: a broken courier of `wheelstep.rehearsal.fleet.broken`.

All of it is in place before the daemon's modules are imported.
"""

from __future__ import annotations

import errno
import os
import shutil
import sys
import time
from collections.abc import Callable, Mapping
from pathlib import Path

HANG_S = 3.0
_OLD = ".rig-old"  # beside the folder: its files as they were when the disk began to lie


def bend_clock(text: str) -> None:
    """Replace the clocks of `time`, in this process, as the text says."""
    given = {key: float(value) for key, _, value in (part.partition("=") for part in text.split())}
    rate, step_s, after_s = given.get("rate", 1.0), given.get("step", 0.0), given.get("after", 0.0)
    real, wall, read = time.monotonic, time.time, time.clock_gettime
    began = real()

    def slow(now: float, begin: float) -> float:
        return begin + (now - begin) * rate

    def monotonic() -> float:
        return slow(real(), began)

    wall_began = wall()

    def stepped() -> float:
        return slow(wall(), wall_began) + (step_s if real() - began >= after_s else 0.0)

    begins: dict[int, float] = {}

    def clock_gettime(clock: int) -> float:
        if clock == time.CLOCK_REALTIME:
            return stepped()
        now = read(clock)
        return slow(now, begins.setdefault(clock, now))

    for clock in (time.CLOCK_MONOTONIC, time.CLOCK_BOOTTIME, time.CLOCK_MONOTONIC_RAW):
        begins[clock] = read(clock)
    for name, seconds in (("monotonic", monotonic), ("time", stepped)):
        setattr(time, name, seconds)
        setattr(time, f"{name}_ns", _whole(seconds))
    time.clock_gettime = clock_gettime
    time.clock_gettime_ns = lambda clock: int(clock_gettime(clock) * 1e9)


def _whole(seconds: Callable[[], float]) -> Callable[[], int]:
    return lambda: int(seconds() * 1e9)


def spoil_disk(text: str) -> None:
    """Replace what the journal's file layer does in the folders that the text names."""
    from wheelstep.journal.disk import Folder

    what, ending, *rest = text.split()
    most = int(rest[0]) if rest else 0
    count = {"bytes": 0, "syncs": 0}
    create, write, sync, names = Folder.create, Folder.write, Folder.sync, Folder.names
    ready: set[Path] = set()

    def hit(folder: Folder) -> bool:
        return str(folder._path).endswith(ending)

    def full(self: Folder, handle: int, data: bytes) -> int:
        if hit(self):
            count["bytes"] += len(data)
            if count["bytes"] > most:
                raise OSError(errno.ENOSPC, "no room is left on the rig's disk")
        return write(self, handle, data)

    def slow(self: Folder, handle: int) -> None:
        if hit(self):
            count["syncs"] += 1
            if count["syncs"] == most:
                time.sleep(HANG_S)
        sync(self, handle)

    def put_back(folder: Folder) -> None:
        """Before the folder is first looked at: the files as they were when the disk began to lie."""
        if not hit(folder) or folder._path in ready:
            return
        ready.add(folder._path)
        old = folder._path.with_name(folder._path.name + _OLD)
        if old.is_dir():
            for path in folder._path.iterdir():
                if path.is_file():
                    path.unlink()
            for path in old.iterdir():
                shutil.copy2(path, folder._path / path.name)
            print(f"the rig's disk lost what was synced in {folder._path.name}", flush=True)

    def looked(self: Folder) -> list[str]:
        put_back(self)
        return names(self)

    def made(self: Folder, name: str) -> int:
        put_back(self)
        return create(self, name)

    def lying(self: Folder, handle: int) -> None:
        if hit(self):
            old = self._path.with_name(self._path.name + _OLD)
            count["syncs"] += 1
            if count["syncs"] == most and not old.exists():
                old.mkdir()
                for path in self._path.iterdir():
                    if path.is_file():
                        shutil.copy2(path, old / path.name)
        sync(self, handle)

    if what == "fill":
        Folder.write = full  # type: ignore[method-assign]
    elif what == "hang":
        Folder.sync = slow  # type: ignore[method-assign]
    elif what == "lie":
        Folder.names, Folder.create, Folder.sync = looked, made, lying  # type: ignore[method-assign]
    else:
        raise ValueError(f"RIG_DISK: {what!r} is no fault of a disk; expected fill, hang or lie")


def prepare(environ: Mapping[str, str]) -> None:
    """All that the environment asks for."""
    if clock := environ.get("RIG_CLOCK"):
        bend_clock(clock)
    if disk := environ.get("RIG_DISK"):
        spoil_disk(disk)
    if path := environ.get("RIG_POINT"):
        from wheelstep.rehearsal.fleet.points import arm
        arm(Path(path))
    if broken := environ.get("RIG_BROKEN"):
        from wheelstep.rehearsal.fleet.broken import breakers
        breakers()[broken]()


def main() -> int:
    """Prepare, and run the command."""
    prepare(os.environ)
    from wheelstep.cli.__main__ import main as command
    return command(sys.argv[1:])


if __name__ == "__main__":
    sys.exit(main())
