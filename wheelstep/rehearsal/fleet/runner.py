"""Runs `umberchute` in a process with a faulty clock or disk, with a signal at a point, or with one behaviour broken.

`python -m wheelstep.rehearsal.fleet.runner serve --operator FILE` reads the faults from the environment:

- `RIG_CLOCK="rate=0.97 step=-30 after=2"`: all clocks run at that rate, and the wall clock also steps by `step` seconds
  `after` seconds after the start.
- `RIG_DISK="WHAT PATH [NUMBER]"`: affects folders whose path ends in PATH. `fill`: the disk is full after NUMBER bytes.
  `hang`: the sync NUMBER takes `HANG_S`. `lie`: all that is written after the sync NUMBER is lost at the next start
  with the same setting.
- `RIG_POINT=FILE`: while the file exists, the process sends itself a signal at the point that it names (see `points`).
- `RIG_BROKEN=NAME`: a broken courier of `wheelstep.rehearsal.fleet.broken`.

All faults are in place before the daemon starts, and the clock before any of its modules is imported.
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
_SNAPSHOT_SUFFIX = ".rig-old"  # of the folder beside it with its files as of that sync


def distort_clock(text: str) -> None:
    """Replace the clocks of `time` in this process. `text` is the value of `RIG_CLOCK`."""
    parameters = {key: float(value) for key, _, value in (part.partition("=") for part in text.split())}
    rate, step_s, after_s = parameters.get("rate", 1.0), parameters.get("step", 0.0), parameters.get("after", 0.0)
    real_monotonic, real_wall, real_clock_gettime = time.monotonic, time.time, time.clock_gettime
    start = real_monotonic()

    def scaled(now: float, start_reading: float) -> float:
        return start_reading + (now - start_reading) * rate

    def monotonic() -> float:
        return scaled(real_monotonic(), start)

    wall_start = real_wall()

    def wall_time() -> float:
        return scaled(real_wall(), wall_start) + (step_s if real_monotonic() - start >= after_s else 0.0)

    start_readings: dict[int, float] = {}

    def clock_gettime(clock: int) -> float:
        if clock == time.CLOCK_REALTIME:
            return wall_time()
        now = real_clock_gettime(clock)
        return scaled(now, start_readings.setdefault(clock, now))

    for clock in (time.CLOCK_MONOTONIC, time.CLOCK_BOOTTIME, time.CLOCK_MONOTONIC_RAW):
        start_readings[clock] = real_clock_gettime(clock)
    for name, seconds in (("monotonic", monotonic), ("time", wall_time)):
        setattr(time, name, seconds)
        setattr(time, f"{name}_ns", _to_ns(seconds))
    time.clock_gettime = clock_gettime
    time.clock_gettime_ns = lambda clock: int(clock_gettime(clock) * 1e9)


def _to_ns(seconds: Callable[[], float]) -> Callable[[], int]:
    return lambda: int(seconds() * 1e9)


def inject_disk_fault(text: str) -> None:
    """Patch the journal's file layer for the folders that `text`, the value of `RIG_DISK`, names.

    Raises `ValueError` if it names an unknown fault.
    """
    from wheelstep.journal.disk import Folder

    what, path_suffix, *rest = text.split()
    limit = int(rest[0]) if rest else 0
    counts = {"bytes": 0, "syncs": 0}
    create, write, sync, names = Folder.create, Folder.write, Folder.sync, Folder.names
    restored: set[Path] = set()

    def affects(folder: Folder) -> bool:
        return str(folder._path).endswith(path_suffix)

    def write_until_full(self: Folder, handle: int, data: bytes) -> int:
        if affects(self):
            counts["bytes"] += len(data)
            if counts["bytes"] > limit:
                raise OSError(errno.ENOSPC, "no space left on the rig's disk")
        return write(self, handle, data)

    def hanging_sync(self: Folder, handle: int) -> None:
        if affects(self):
            counts["syncs"] += 1
            if counts["syncs"] == limit:
                time.sleep(HANG_S)
        sync(self, handle)

    def restore_snapshot(folder: Folder) -> None:
        """Before a folder's first use, put back the files as they were when the disk began to lose data."""
        if not affects(folder) or folder._path in restored:
            return
        restored.add(folder._path)
        old = folder._path.with_name(folder._path.name + _SNAPSHOT_SUFFIX)
        if old.is_dir():
            for path in folder._path.iterdir():
                if path.is_file():
                    path.unlink()
            for path in old.iterdir():
                shutil.copy2(path, folder._path / path.name)
            print(f"the rig's disk lost synced data in {folder._path.name}", flush=True)

    def names_after_restore(self: Folder) -> list[str]:
        restore_snapshot(self)
        return names(self)

    def create_after_restore(self: Folder, name: str) -> int:
        restore_snapshot(self)
        return create(self, name)

    def sync_and_snapshot(self: Folder, handle: int) -> None:
        if affects(self):
            old = self._path.with_name(self._path.name + _SNAPSHOT_SUFFIX)
            counts["syncs"] += 1
            if counts["syncs"] == limit and not old.exists():
                old.mkdir()
                for path in self._path.iterdir():
                    if path.is_file():
                        shutil.copy2(path, old / path.name)
        sync(self, handle)

    if what == "fill":
        Folder.write = write_until_full  # type: ignore[method-assign]
    elif what == "hang":
        Folder.sync = hanging_sync  # type: ignore[method-assign]
    elif what == "lie":
        Folder.names, Folder.create, Folder.sync = (  # type: ignore[method-assign]
            names_after_restore, create_after_restore, sync_and_snapshot)
    else:
        raise ValueError(f"RIG_DISK: {what!r} is not a disk fault; expected fill, hang or lie")


def prepare(environ: Mapping[str, str]) -> None:
    """Inject the faults that the environment names."""
    if clock := environ.get("RIG_CLOCK"):
        distort_clock(clock)
    if disk := environ.get("RIG_DISK"):
        inject_disk_fault(disk)
    if path := environ.get("RIG_POINT"):
        from wheelstep.rehearsal.fleet.points import install
        install(Path(path))
    if broken := environ.get("RIG_BROKEN"):
        from wheelstep.rehearsal.fleet.broken import patches
        patches()[broken]()


def main() -> int:
    """Inject the faults and run `umberchute` with this process's arguments; return its exit code."""
    prepare(os.environ)
    from wheelstep.cli.__main__ import main as command
    return command(sys.argv[1:])


if __name__ == "__main__":
    sys.exit(main())
