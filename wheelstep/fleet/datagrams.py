"""Sealed datagrams between members: packed, opened, and the word of a later life heeded. No sockets."""

from __future__ import annotations

import logging
from collections.abc import Callable

from wheelstep.fleet.packets import DATAGRAM, Elder, PacketError, Reason, Seal
from wheelstep.fleet.types import Packet

log = logging.getLogger(__name__)


class Datagrams:
    """`sendto` sends bytes to an address and may raise `OSError`; `heard` gets what was sealed well (sender, address,
    packet); `elder` hears that the fleet knows a later life of this courier."""

    def __init__(self, seal: Seal, now_us: Callable[[], int], sendto: Callable[[bytes, str], None],
                 heard: Callable[[str, str, Packet], None], elder: Callable[[Elder], None]) -> None:
        self._seal, self._now_us, self._sendto, self._heard, self._elder = seal, now_us, sendto, heard, elder
        self.dropped = 0  # could not be sent

    def send(self, address: str, name: str, packet: Packet) -> None:
        """To the member `name` ("" if it is not known) at an address; may be lost."""
        try:
            self._sendto(self._seal.pack(name, packet), address)
        except (ValueError, OSError) as error:
            self.dropped += 1
            log.debug("a datagram to %s could not be sent: %s", address, error)

    def received(self, data: bytes, address: str) -> None:
        """From an address. What is not sealed well is counted by the seal and goes no further."""
        try:
            opened = self._seal.open(data, DATAGRAM)
        except PacketError as error:
            if error.reason is Reason.OLD_BOOT:
                elder = self._seal.stale_boot(error.sender, self._now_us())
                if elder is not None:
                    self._sendto(elder, address)
            return
        if isinstance(opened.payload, Elder):
            self._elder(opened.payload)
            return
        try:
            self._heard(opened.sender, address, opened.payload)
        except Exception:  # guards the socket: one packet that can't be used may not end it
            log.exception("a packet of %s could not be used", opened.sender)
