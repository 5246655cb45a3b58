"""Sealed packets between the couriers of a fleet. No I/O; imports msgspec and the fleet's types.

A packet is a version byte, HMAC-SHA-256 (RFC 2104) over that byte and the rest, and the rest in msgpack: lane, fleet,
sender, receiver, the sender's boot number, its counter and the payload. The boot number of a courier increases with
each run: it is the larger of the stored one plus one and the wall clock's seconds. Under the highest boot number of a
sender, a sliding window of counters detects replays, as in IPsec (RFC 4303, 3.4.3).

Datagrams and streams are two lanes with a `PacketSeal` each: a packet of one is refused in the other, and a stalled
stream does not fall out of the window that datagrams advance.
"""

from __future__ import annotations

import hashlib
import hmac
from collections import Counter, OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Generic, Protocol, TypeVar

import msgspec

from wheelstep.fleet.types import VERSION, Answer, Ask, Hello, Packet

DATAGRAM_BYTES = 1_200  # maximum of a sealed datagram
STREAM_BYTES = 4 << 20  # maximum of a sealed request or answer
WINDOW_SIZE = 1_024  # counters
MAX_SENDERS = 2_048  # whose replay windows are kept
NAME_BYTES = 64  # maximum, of a fleet or courier
KEY_BYTES = 16  # minimum
BOOT_LIMIT = 1 << 62  # exclusive upper bound of boot numbers
NOTE_EVERY_US = 10_000_000  # minimum interval of log lines per reason, and between two raises of the boot number
HIGHER_BOOT_EVERY_US = 1_000_000  # minimum interval of `HigherBoot` packets to one sender
MAC_BYTES = 32

T = TypeVar("T")
T_co = TypeVar("T_co", covariant=True)


class Reason(StrEnum):
    """Why a packet was refused."""

    VERSION = "version"  # newer than this courier's
    FLEET = "fleet"  # of another fleet or lane
    RECEIVER = "receiver"  # addressed to another courier
    SEAL = "seal"  # forged, damaged, truncated, or with an unknown key
    REPLAY = "replay"  # received before, or older than the window
    OLD_BOOT = "old-boot"  # of an earlier run of its sender
    MALFORMED = "malformed"  # validly sealed, but with an invalid payload
    SIZE = "size"


EXPECTED = {  # what a packet refused for this reason should have had, for error messages
    Reason.VERSION: f"version {VERSION} or older", Reason.FLEET: "this fleet and lane",
    Reason.RECEIVER: "this courier's name", Reason.SEAL: "a seal with one of our keys",
    Reason.REPLAY: f"a new counter within {WINDOW_SIZE} of the highest",
    Reason.OLD_BOOT: "the sender's highest known boot number", Reason.MALFORMED: "a valid payload of this version",
    Reason.SIZE: "a smaller packet"}


class PacketError(Exception):
    """A refused packet, which has changed no state. `sender` is known if the seal was valid."""

    def __init__(self, reason: Reason, sender: str = "") -> None:
        self.reason, self.sender = reason, sender
        super().__init__(f"packet of {sender or 'unknown sender'} refused ({reason}): expected {EXPECTED[reason]}")


class HigherBoot(msgspec.Struct, frozen=True, array_like=True, tag=30):
    """Tells a courier with an outdated boot number the highest one known of it."""

    boot: int


class Decoder(Protocol[T_co]):
    """A payload decoder, such as `msgspec.msgpack.Decoder`."""

    def decode(self, data: bytes, /) -> T_co:
        """Return the value. Raises `msgspec.DecodeError`."""
        ...


DATAGRAM: Decoder[Packet | HigherBoot] = msgspec.msgpack.Decoder(Packet | HigherBoot)
STREAM: Decoder[Ask | Answer | HigherBoot] = msgspec.msgpack.Decoder(Ask | Answer | HigherBoot)


@dataclass(frozen=True, slots=True)
class Opened(Generic[T]):
    """A packet with a valid seal, receiver and counter."""

    sender: str
    boot: int
    payload: T


class _Sealed(msgspec.Struct, frozen=True, array_like=True):
    lane: str
    fleet: str
    sender: str
    receiver: str
    boot: int
    counter: int
    payload: msgspec.Raw


@dataclass(slots=True)
class _Window:
    """Replay window of one sender: bit n of `bitmap` is set if counter `highest - n` was received."""

    boot: int
    highest: int = 0
    bitmap: int = 0

    def is_new(self, counter: int) -> bool:
        offset = self.highest - counter
        return offset < 0 or (offset < WINDOW_SIZE and not self.bitmap >> offset & 1)

    def mark(self, counter: int) -> None:
        if counter > self.highest:
            # The shift is capped: a large jump empties the window, and an uncapped shift would allocate that many bits.
            self.bitmap = self.bitmap << min(counter - self.highest, WINDOW_SIZE) & ((1 << WINDOW_SIZE) - 1)
            self.highest = counter
        self.bitmap |= 1 << (self.highest - counter)


class PacketSeal:
    """Seals with the first key and opens with any. To replace a key, append the new one at all couriers, then make it
    the first at all, then remove the old one. Raises `ValueError` for short keys and long or empty names."""

    def __init__(self, keys: bytes | Sequence[bytes], fleet: str, me: str, boot: int, *, lane: str = "datagram",
                 max_bytes: int = DATAGRAM_BYTES) -> None:
        self._keys = [keys] if isinstance(keys, bytes) else list(keys)
        if not self._keys or min(map(len, self._keys)) < KEY_BYTES:
            raise ValueError(f"fleet key: expected {KEY_BYTES} bytes or more")
        for name in (fleet, me):
            if not 0 < len(name.encode()) <= NAME_BYTES:
                raise ValueError(f"name {name!r}: expected 1 to {NAME_BYTES} bytes")
        self._fleet, self._me, self._lane, self._max_bytes = fleet, me, lane, max_bytes
        self.boot = boot
        self._counter = 0
        self._windows: OrderedDict[str, _Window] = OrderedDict()  # least recently heard first
        self._higher_boot_sent_us: OrderedDict[str, int] = OrderedDict()  # by receiver, when one was last sent
        self._raised_us: int | None = None
        self.refused: Counter[str] = Counter()
        self._logged: dict[Reason, tuple[int, int]] = {}  # time of the last log line, and the count then
        self._last_errors: dict[Reason, PacketError] = {}

    def pack(self, to: str, payload: object) -> bytes:
        """Return the payload sealed for courier `to`, which may be unknown ("") only for a `Hello`. Raises `ValueError`
        if it is too large; the counter is then not used up."""
        if not to and not isinstance(payload, Hello):
            raise ValueError("a packet to an unknown receiver: expected a Hello")
        raw = msgspec.Raw(msgspec.msgpack.encode(payload))
        body = msgspec.msgpack.encode(_Sealed(self._lane, self._fleet, self._me, to, self.boot, self._counter + 1, raw))
        if 1 + MAC_BYTES + len(body) > self._max_bytes:
            raise ValueError(f"{type(payload).__name__} of {1 + MAC_BYTES + len(body)} bytes sealed: "
                             f"expected {self._max_bytes} at most")
        self._counter += 1
        version = bytes((VERSION,))
        return version + _mac(self._keys[0], version, body) + body

    def open(self, data: bytes, decoder: Decoder[T]) -> Opened[T]:
        """Verify and decode a packet, once. Raises `PacketError`, counted in `refused`."""
        try:
            return self._open(data, decoder)
        except PacketError as error:
            self.refused[error.reason] += 1
            self._last_errors[error.reason] = error
            raise

    def _open(self, data: bytes, decoder: Decoder[T]) -> Opened[T]:
        if len(data) > self._max_bytes:
            raise PacketError(Reason.SIZE)
        version, mac, body = data[:1], data[1:1 + MAC_BYTES], data[1 + MAC_BYTES:]
        if version > bytes((VERSION,)):
            raise PacketError(Reason.VERSION)
        if not any(hmac.compare_digest(mac, _mac(key, version, body)) for key in self._keys):
            raise PacketError(Reason.SEAL)
        try:
            sealed = _SEALED.decode(body)
        except (msgspec.DecodeError, RecursionError):
            raise PacketError(Reason.MALFORMED) from None
        sender = sealed.sender
        if (sealed.fleet, sealed.lane) != (self._fleet, self._lane):
            raise PacketError(Reason.FLEET, sender)
        if sealed.receiver not in (self._me, ""):
            raise PacketError(Reason.RECEIVER, sender)
        if not 0 < len(sender.encode()) <= NAME_BYTES or sealed.counter < 1 or not 0 <= sealed.boot < BOOT_LIMIT:
            raise PacketError(Reason.MALFORMED, sender)
        window = self._windows.get(sender)
        if window is not None and sealed.boot < window.boot:
            raise PacketError(Reason.OLD_BOOT, sender)
        if window is None or sealed.boot > window.boot:
            window = _Window(sealed.boot)
        if not window.is_new(sealed.counter):
            raise PacketError(Reason.REPLAY, sender)
        try:
            payload = decoder.decode(bytes(sealed.payload))
        except (msgspec.DecodeError, RecursionError):
            raise PacketError(Reason.MALFORMED, sender) from None
        if not sealed.receiver and not isinstance(payload, Hello):
            raise PacketError(Reason.RECEIVER, sender)
        window.mark(sealed.counter)
        self._windows[sender] = window
        self._windows.move_to_end(sender)
        if len(self._windows) > MAX_SENDERS:
            self._windows.popitem(last=False)
        return Opened(sender, sealed.boot, payload)

    def higher_boot_packet(self, sender: str, now_us: int) -> bytes | None:
        """Return a sealed `HigherBoot` packet for a sender refused with `old-boot`; None if it has got one within the
        last second."""
        window, sent_us = self._windows.get(sender), self._higher_boot_sent_us.get(sender)
        if window is None or (sent_us is not None and now_us - sent_us < HIGHER_BOOT_EVERY_US):
            return None
        self._higher_boot_sent_us[sender] = now_us
        self._higher_boot_sent_us.move_to_end(sender)
        if len(self._higher_boot_sent_us) > MAX_SENDERS:
            self._higher_boot_sent_us.popitem(last=False)
        return self.pack(sender, HigherBoot(window.boot))

    def raise_boot(self, higher_boot: HigherBoot, now_us: int) -> bool:
        """Raise the boot number above the highest one known to others: this courier has lost its disk. At most once in
        10 seconds. The new number is kept in memory only. Return False if nothing changed."""
        raised_us = self._raised_us
        if (not self.boot < higher_boot.boot < BOOT_LIMIT - 1
                or (raised_us is not None and now_us - raised_us < NOTE_EVERY_US)):
            return False
        self._raised_us = now_us
        self.boot, self._counter = higher_boot.boot + 1, 0
        return True

    def notes(self, now_us: int) -> list[str]:
        """Return log lines about refused packets, at most one per reason in 10 seconds."""
        lines = []
        for reason, error in self._last_errors.items():
            last_us, logged_count = self._logged.get(reason, (now_us - NOTE_EVERY_US, 0))
            count = self.refused[reason]
            if count > logged_count and now_us - last_us >= NOTE_EVERY_US:
                self._logged[reason] = (now_us, count)
                lines.append(f"fleet {self._fleet}, {self._lane}: {error}; {count - logged_count} since the last line")
        return lines


_SEALED = msgspec.msgpack.Decoder(_Sealed)


def _mac(key: bytes, version: bytes, body: bytes) -> bytes:
    return hmac.digest(key, version + body, hashlib.sha256)
