"""What the recorder keeps, and what it gives."""

from __future__ import annotations

from wheelstep.courier.flight_recorder import EventKind, FlightRecorder


def test_it_gives_what_concerns_a_message_its_key_and_the_process() -> None:
    recorder = FlightRecorder()
    recorder.note(1.0, EventKind.ACCEPTED, "a", "k")
    recorder.note(2.0, EventKind.ACCEPTED, "b", "other")
    recorder.note(3.0, EventKind.STATE, detail="frozen")
    recorder.note(4.0, EventKind.ATTEMPT_ENDED, "c", None, "0 at e0: reset")
    recorder.note(5.0, EventKind.ACCEPTED, "d")
    assert [str(event) for event in recorder.about("c", "k")] == [
        "1.000 accepted a", "3.000 state frozen", "4.000 attempt ended c 0 at e0: reset"]
    assert [event.message for event in recorder.about("d", None)] == ["", "d"]


def test_it_holds_so_many_events_and_drops_the_oldest() -> None:
    recorder = FlightRecorder(capacity=3)
    for number in range(10):
        recorder.note(float(number), EventKind.STATE, detail=str(number))
    assert [event.detail for event in recorder.about("", None)] == ["7", "8", "9"]
