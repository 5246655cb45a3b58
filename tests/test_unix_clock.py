"""Unix time that steps of the wall clock don't change, within a process and from one to the next."""

from __future__ import annotations

import errno
import logging
import time
from pathlib import Path
from typing import Any

import pytest

from wheelstep.courier.wall_clock import CLOCK_MARK, UnixClock, boot_id


class FakeWallClock:
    """A wall clock that the test sets: `off_s` is added to the real one."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.off_s, real = 0.0, time.time
        monkeypatch.setattr(time, "time", lambda: real() + self.off_s)


@pytest.fixture
def wall(monkeypatch: pytest.MonkeyPatch) -> FakeWallClock:
    """Return a wall clock that can be set."""
    return FakeWallClock(monkeypatch)


def started_clock(marks: dict[str, Any], boot: str | None = "b1") -> UnixClock:
    """Return the clock of a process that starts with these marks of the journal."""
    clock = UnixClock()
    clock.adopt_offset(marks, marks.__setitem__, boot)
    return clock


@pytest.mark.parametrize("step_s", [3600.0, -3600.0, 0.4])
def test_a_step_changes_neither_the_time_of_this_process_nor_of_the_next(
        wall: FakeWallClock, step_s: float, caplog: pytest.LogCaptureFixture) -> None:
    """Guards against deadlines that move when an operator or NTP sets the wall clock; the next process logs it."""
    marks: dict[str, Any] = {}
    first = started_clock(marks)
    before_ms = first.now_ms()
    wall.off_s = step_s
    with caplog.at_level(logging.WARNING):
        second = started_clock(marks)
    assert 0 <= first.now_ms() - before_ms < 200 and abs(second.now_ms() - first.now_ms()) < 5
    assert f"set by {int(step_s * 1000) // 10:+d}"[:8] in caplog.text


def test_after_another_boot_the_wall_clock_counts(wall: FakeWallClock) -> None:
    """Guards against an offset from an earlier boot: the monotonic clock has started anew."""
    marks: dict[str, Any] = {}
    started_clock(marks)
    wall.off_s = 3600.0
    assert abs(started_clock(marks, "b2").now_s() - time.time()) < 0.1
    assert marks[CLOCK_MARK][0] == "b2"


@pytest.mark.parametrize("mark", [None, [], ["b1"], ["b1", "x"], {"b1": 1}, ["", 5]])
def test_an_invalid_mark_is_replaced(mark: Any, wall: FakeWallClock) -> None:
    """Guards against a start that fails on a damaged or foreign mark, or on a system without a boot id."""
    marks = {CLOCK_MARK: mark}
    assert abs(started_clock(marks, "").now_s() - time.time()) < 0.1
    assert marks[CLOCK_MARK][0] == "" and isinstance(marks[CLOCK_MARK][1], int)


def test_until_an_offset_is_adopted_the_wall_clock_counts(wall: FakeWallClock) -> None:
    """Guards against a fixed offset in processes that have no journal."""
    clock = UnixClock()
    wall.off_s = 3600.0
    assert abs(clock.now_s() - time.time()) < 0.1


def test_the_boot_id_is_constant() -> None:
    """Guards against an id that differs between two processes of one boot."""
    assert boot_id() == boot_id()


# Incident 57: a stored offset was taken for that of another boot, and deadlines jumped with a clock that was set.
def test_a_boot_id_that_can_not_be_read_at_the_moment_is_no_empty_one(
        tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    def refuse(*args: object, **kwargs: object) -> str:
        raise OSError(errno.EMFILE, "too many open files")
    monkeypatch.setattr(Path, "read_text", refuse)
    with pytest.raises(OSError):
        boot_id()
