"""Why messages wait, for operators."""

from __future__ import annotations

from wheelstep.interface import EndpointState, WaitReason
from wheelstep.policy.endpoint import Endpoint
from wheelstep.policy.messages import Destination
from wheelstep.policy.sender import Sender


class ReportingSender(Sender):
    """A sender that tells why its messages wait."""

    def wait_reasons(self, now_us: int) -> list[tuple[int, WaitReason, int]]:
        """Return each destination with waiting messages, why they wait, and how many they are."""
        return [(destination.number, self._wait_reason(destination, now_us), destination.waiting)
                for destination in self._backlog.values()]

    def _wait_reason(self, destination: Destination, now_us: int) -> WaitReason:
        if self._calls_out >= self._settings.slots:
            return WaitReason.SLOTS
        if not destination.window.has_room(destination.calls_out, self._in_doubt(destination)):
            return WaitReason.WINDOW
        if destination.number in self._ready:
            return WaitReason.NOTHING
        first = min(destination.endpoints, key=Endpoint.ready_us, default=None)
        return WaitReason.GONE if first is None else _endpoint_reason(first, now_us)


def _endpoint_reason(endpoint: Endpoint, now_us: int) -> WaitReason:
    """Return what keeps a call from going to an endpoint now."""
    if endpoint.info.state is not EndpointState.UP:
        return WaitReason.GONE
    if endpoint.ready_us() <= now_us:
        return WaitReason.DOUBT
    if endpoint.sick:
        return WaitReason.SICK
    if endpoint.pacer.ready_us() >= endpoint.ready_us():
        return WaitReason.LIMIT
    return WaitReason.RETURNING if endpoint.ramp_start_us is not None else WaitReason.CROWDED
