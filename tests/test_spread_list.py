"""Answers that arrive after their endpoint has left the list."""

from __future__ import annotations

from helpers import S, SenderDriver, info, sent_messages

from wheelstep import interface as api
from wheelstep.interface import EndpointState, Outcome


def test_an_answer_after_the_last_endpoint_was_removed_is_handled() -> None:
    """Guards against a ZeroDivisionError in the ramp of a sick endpoint whose route has no endpoint left."""
    drive = SenderDriver(may_probe=False)
    for number in range(4):
        drive.submit(f"m{number}")
    drive.end("m0", Outcome.RESET)
    drive.now += 30 * S
    drive.submit("last")
    assert drive.sender._endpoints["e0"].sick
    drive.members(info("e0", state=EndpointState.REMOVED), kind=api.ListKind.CHANGES)
    drive.end("m1", Outcome.OK)
    assert not sent_messages(drive.submit("after"))
