"""Sealed datagrams between members: sending, opening and `HigherBoot` handling. No sockets."""

from __future__ import annotations

import logging
from collections.abc import Callable

from wheelstep.fleet.packets import DATAGRAM, HigherBoot, PacketError, PacketSeal, Reason
from wheelstep.fleet.types import Packet

log = logging.getLogger(__name__)


class Datagrams:
    """`sendto` sends bytes to an address and may raise `OSError`. `on_packet` gets valid packets (sender, address,
    packet). `on_higher_boot` is called if the fleet knows a higher boot number of this courier."""

    def __init__(self, seal: PacketSeal, now_us: Callable[[], int], sendto: Callable[[bytes, str], None],
                 on_packet: Callable[[str, str, Packet], None], on_higher_boot: Callable[[HigherBoot], None]) -> None:
        self._seal, self._now_us, self._sendto, self._on_packet, self._on_higher_boot = (
            seal, now_us, sendto, on_packet, on_higher_boot)
        self.dropped = 0  # datagrams that could not be sent

    def send(self, address: str, name: str, packet: Packet) -> None:
        """Send to the member `name` ("" if unknown) at an address. The datagram may be lost."""
        try:
            self._sendto(self._seal.pack(name, packet), address)
        except (ValueError, OSError) as error:
            self.dropped += 1
            log.debug("sending a datagram to %s failed: %s", address, error)

    def received(self, data: bytes, address: str) -> None:
        """Handle a datagram from an address. An invalid one is counted by the seal and dropped."""
        try:
            opened = self._seal.open(data, DATAGRAM)
        except PacketError as error:
            if error.reason is Reason.OLD_BOOT:
                packet = self._seal.higher_boot_packet(error.sender, self._now_us())
                if packet is not None:
                    self._sendto(packet, address)
            return
        if isinstance(opened.payload, HigherBoot):
            self._on_higher_boot(opened.payload)
            return
        try:
            self._on_packet(opened.sender, address, opened.payload)
        except Exception:  # a failing handler must not close the socket
            log.exception("handling a packet from %s failed", opened.sender)
