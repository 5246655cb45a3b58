"""Recordings: whole ones are read as written, truncated and damaged ones refused or read up to the damage."""

from __future__ import annotations

import errno
from pathlib import Path
from typing import Any

import pytest

from wheelstep.recording.format import Encoder, Head, RecordError, Row, read
from wheelstep.recording.writer import Recorder
from wheelstep.rehearsal.replay import replay
from wheelstep.rehearsal.scenario import ScenarioError, find

HEAD = Head("n0", 1, {"services": [
    {"name": "pay", "promise_us": 2_000_000, "deadline_us": 6_000_000, "effect": "once"}],
    "kinds": ["firm"], "specifics": {"calls_out": 8, "per_call": [1], "kind_apart": [False]},
    "caps": {"conn_idle_us": 10_000_000}, "rules": {"order_settle_us": 300_000}, "tick_us": 5000},
    [{"host": "e0", "dial": "127.0.0.1:1", "block": 7, "class": "firm", "health": "SERVING"}])


def row(number: int, **fields: Any) -> Row:
    return Row(**{"at_us": number * 1000, "message_class": "pay", "destination": 7, "key": None, "keyed": False,
                  "size": 10, "deadline_ms": 6000, "status": 202, **fields})


def lines(count: int, end: str = "closed") -> list[bytes]:
    encoder = Encoder()
    encoded = [encoder.head(HEAD), *(encoder.row(row(number)) for number in range(count))]
    return [*encoded, encoder.end(end)]


def test_a_record_is_read_as_it_was_written() -> None:
    encoder = Encoder()
    rows = (row(0), row(1, key="a/b", keyed=True, again=True, status=503), row(2, body=b"\x00\xff\n", size=3))
    record = read([encoder.head(HEAD), *(encoder.row(one) for one in rows), encoder.end("full")])
    assert (record.head, record.rows, record.ended, record.damage) == (HEAD, rows, "full", "")


@pytest.mark.parametrize("corrupt,where", [
    (lambda encoded: encoded[:-1], "cut off after line 5"),
    (lambda encoded: [*encoded[:-1], encoded[-1][:-3]], "line 6: no whole line"),
    (lambda encoded: [*encoded[:3], encoded[3].replace(b"pay", b"pax"), *encoded[4:]], "line 4: the checksum"),
    (lambda encoded: [*encoded[:2], *encoded[3:]], "line 3: the checksum"),  # a line is missing
    (lambda encoded: [*encoded[:2], encoded[3], encoded[2], *encoded[4:]], "line 3: the checksum"),  # two are swapped
    (lambda encoded: [*encoded, encoded[-1]], "line 7: found a line after the last one"),
])
def test_damage_is_refused_or_read_up_to_as_asked(corrupt: Any, where: str) -> None:
    encoded = corrupt(lines(4))
    with pytest.raises(RecordError, match=where):
        read(encoded)
    partly = read(encoded, up_to_damage=True)
    assert where in partly.damage and partly.rows == tuple(row(number) for number in range(len(partly.rows)))


@pytest.mark.parametrize("encoded", [[], [b"garbage\n"], [Encoder().end("closed")]])
def test_without_a_head_nothing_can_be_read(encoded: list[bytes]) -> None:
    with pytest.raises(RecordError, match="line 1"):
        read(encoded, up_to_damage=True)


def test_a_newer_version_is_refused_with_one_line() -> None:
    encoder = Encoder()
    head = encoder._line({"format": "umberchute-record", "version": 2})
    with pytest.raises(RecordError, match="version 2; expected 1"):
        read([head])


def note(recorder: Recorder, size: int = 10) -> None:
    recorder.note("pay", 7, None, False, b"x" * size, 6000, 202, False)


def test_the_recording_stays_within_its_size_and_ends_completely(tmp_path: Path) -> None:
    path = tmp_path / "day.record"
    recorder = Recorder(path, HEAD, 2_000, bodies=False)
    for _ in range(100):
        note(recorder)
    recorder.close()
    assert path.stat().st_size <= 2_000
    record = read(path.read_bytes().splitlines(keepends=True))
    assert record.ended == "full" and len(record.rows) > 5


def test_bodies_are_written_only_when_asked(tmp_path: Path) -> None:
    for bodies in (False, True):
        recorder = Recorder(tmp_path / f"{bodies}.record", HEAD, 100_000, bodies)
        recorder.note("pay", 7, None, False, b"secret", 6000, 202, False)
        recorder.close()
        record = read((tmp_path / f"{bodies}.record").read_bytes().splitlines(keepends=True))
        assert record.rows[0].body == (b"secret" if bodies else None)
        assert record.rows[0].size == 6


def test_each_start_makes_a_file_of_its_own(tmp_path: Path) -> None:
    for _ in range(2):
        recorder = Recorder(tmp_path / "day.record", HEAD, 100_000, False)
        note(recorder)
        recorder.close()
    assert sorted(path.name for path in tmp_path.iterdir()) == ["day.1.record", "day.record"]


def test_a_disk_error_ends_only_the_recording(tmp_path: Path) -> None:
    """A full disk must not turn an accepted message into an error for its client."""
    recorder = Recorder(tmp_path / "day.record", HEAD, 100_000, False)
    assert recorder._file is not None

    class Full:
        def write(self, data: bytes) -> int:
            raise OSError(errno.ENOSPC, "no space left")

        def close(self) -> None:
            raise OSError(errno.EIO, "broken")

    recorder._file = Full()  # type: ignore[assignment]
    note(recorder)
    note(recorder)
    recorder.close()
    assert Recorder(tmp_path / "no" / "folder.record", HEAD, 100_000, False)._file is None


def test_a_replay_scales_all_times_alike() -> None:
    record = read(lines(50))
    slow, fast = replay(record, 1), replay(record, 1, speed=10)
    assert [arrival.at_us for arrival in fast.arrivals] == [arrival.at_us // 10 for arrival in slow.arrivals]
    assert fast.arrivals[0].deadline_us * 10 == slow.arrivals[0].deadline_us
    assert fast.settings["services"][0]["promise_us"] == 200_000
    assert fast.figures.order_settle_us == 30_000 and fast.settings["tick_us"] == 5000
    assert fast.partners[0].endpoints == ("e0",) and fast.partners[0].destination == 7


def test_a_scenario_without_a_recorded_destination_is_rejected() -> None:
    with pytest.raises(ScenarioError, match="destination 7 has no partner"):
        replay(read(lines(2)), 1, scenario=find("lost-kill")[1])
