"""The flight recorder: which events it stores and returns."""

from __future__ import annotations

from wheelstep.courier.flight_recorder import EventKind, FlightRecorder


def test_events_of_a_message_its_key_and_the_process_are_returned() -> None:
    """Guards against a log of a violation that lacks events, or is filled with those of other messages."""
    recorder = FlightRecorder()
    recorder.note(1.0, EventKind.ACCEPTED, "a", "k")
    recorder.note(2.0, EventKind.ACCEPTED, "b", "other")
    recorder.note(3.0, EventKind.STATE, detail="frozen")
    recorder.note(4.0, EventKind.ATTEMPT_ENDED, "c", None, "0 at e0: reset")
    recorder.note(5.0, EventKind.ACCEPTED, "d")
    assert [str(event) for event in recorder.related("c", "k")] == [
        "1.000 accepted a", "3.000 state frozen", "4.000 attempt ended c 0 at e0: reset"]
    assert [event.message for event in recorder.related("d", None)] == ["", "d"]


def test_beyond_its_capacity_the_oldest_events_are_dropped() -> None:
    """Guards against memory that grows with the age of the process."""
    recorder = FlightRecorder(capacity=3)
    for number in range(10):
        recorder.note(float(number), EventKind.STATE, detail=str(number))
    assert [event.detail for event in recorder.related("", None)] == ["7", "8", "9"]
