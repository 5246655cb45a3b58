"""The kit's partners, with connections that also record each call's channel, number and epoch."""

from __future__ import annotations

import functools

from wheelstep.rehearsal.fleet.history import FleetHistory, Touch
from wheelstep.rehearsal.history import Fate, How
from wheelstep.rehearsal.standins.partner import Endpoint, PartnerPool, _Connection

_NUMBER_LIMIT = 1 << 62  # of channels' numbers and epochs


def record_channels(pool: PartnerPool, history: FleetHistory, classes: frozenset[str]) -> None:
    """Make all endpoints' new connections record the channels of calls. Messages of `classes` must belong to one."""
    for endpoint in pool.endpoints.values():
        for index, port in enumerate(endpoint.ports):
            port.factory = functools.partial(_ChannelConnection, endpoint, f"c{index}", history, classes)


class _ChannelConnection(_Connection):
    def __init__(self, endpoint: Endpoint, courier: str, history: FleetHistory, classes: frozenset[str]) -> None:
        super().__init__(endpoint, courier)
        self._fleet_history, self._classes = history, classes

    def _record_call(self, how: How, fate: Fate = Fate.UNTOLD, wait_us: int = 0) -> None:
        active = self._active_call
        super()._record_call(how, fate, wait_us)
        if active is None:
            return
        headers, message = active.request.headers, active.messages[0]
        channel = headers.get("x-channel", "")
        requires_channel = self._submission(message).arrival.message_class in self._classes
        if not channel:
            if requires_channel:
                self._report_violation(f"message {message} of a contract's class in a call without X-Channel")
            return
        number, epoch = (_parse_number(headers.get("x-channel-number", "")),
                         _parse_number(headers.get("x-channel-epoch", "")))
        if len(active.messages) > 1 or number is None or epoch is None \
                or channel.partition("/")[0] not in self._fleet_history.contracts:
            self._report_violation(f"message {message} in a call with channel {channel!r}, number "
                          f"{headers.get('x-channel-number')!r}, epoch {headers.get('x-channel-epoch')!r}")
            return
        self._fleet_history.add(Touch(
            self._courier, self._endpoint.name, channel, number, epoch, message,
            self._pool.to_us(active.request.first_byte_at), self._pool.now_us(), how, fate))


def _parse_number(text: str) -> int | None:
    return int(text) if text.isascii() and text.isdigit() and len(text) < 19 and int(text) < _NUMBER_LIMIT else None
