"""Unix time that no step of the wall clock moves, within a process and from one to the next."""

from __future__ import annotations

import logging
import time
from typing import Any

import pytest

from wheelstep.courier.wall_clock import MARK, UnixClock, boot_id


class Wall:
    """A wall clock in the test's hand."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.off_s, real = 0.0, time.time
        monkeypatch.setattr(time, "time", lambda: real() + self.off_s)


@pytest.fixture
def wall(monkeypatch: pytest.MonkeyPatch) -> Wall:
    return Wall(monkeypatch)


def followed(marks: dict[str, Any], boot: str | None = "b1") -> UnixClock:
    clock = UnixClock()
    clock.follow(marks, marks.__setitem__, boot)
    return clock


@pytest.mark.parametrize("step_s", [3600.0, -3600.0, 0.4])
def test_a_step_moves_neither_this_process_nor_the_next(wall: Wall, step_s: float,
                                                        caplog: pytest.LogCaptureFixture) -> None:
    marks: dict[str, Any] = {}
    first = followed(marks)
    before_ms = first.now_ms()
    wall.off_s = step_s
    with caplog.at_level(logging.WARNING):
        second = followed(marks)
    assert 0 <= first.now_ms() - before_ms < 200 and abs(second.now_ms() - first.now_ms()) < 5
    assert f"set by {int(step_s * 1000) // 10:+d}"[:8] in caplog.text


def test_another_boot_takes_the_wall_clock_as_it_is(wall: Wall) -> None:
    marks: dict[str, Any] = {}
    followed(marks)
    wall.off_s = 3600.0
    assert abs(followed(marks, "b2").now_s() - time.time()) < 0.1
    assert marks[MARK][0] == "b2"


@pytest.mark.parametrize("mark", [None, [], ["b1"], ["b1", "x"], {"b1": 1}, ["", 5]])
def test_what_is_no_mark_is_replaced(mark: Any, wall: Wall) -> None:
    marks = {MARK: mark}
    assert abs(followed(marks, "").now_s() - time.time()) < 0.1
    assert marks[MARK][0] == "" and isinstance(marks[MARK][1], int)


def test_before_it_follows_it_is_the_wall_clock(wall: Wall) -> None:
    clock = UnixClock()
    wall.off_s = 3600.0
    assert abs(clock.now_s() - time.time()) < 0.1


def test_the_system_names_its_boot() -> None:
    assert boot_id() == boot_id()
