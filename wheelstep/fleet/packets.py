"""Sealed packets between the couriers of a fleet. No I/O; imports msgspec and the fleet's types.

A packet is a version byte, HMAC-SHA-256 (RFC 2104) over that byte and the rest, and the rest in msgpack: lane, fleet,
sender, receiver, the sender's boot number, its counter and the payload. Boot numbers of a courier rise with each of its
lives (the larger of what it kept plus one and the wall clock's seconds does). Under a sender's highest boot number a
window of counters tells what has been there already, as in IPsec (RFC 4303, 3.4.3).

Datagrams and streams are two lanes with a `Seal` each: a packet of one is nothing in the other, and a stream that
stalls does not fall out of the window that datagrams have moved on.
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

DATAGRAM_BYTES = 1_200
STREAM_BYTES = 4 << 20
WINDOW = 1_024  # counters
SENDERS = 2_048
NAME_BYTES = 64  # of a fleet or courier, at most
KEY_BYTES = 16  # at least
BOOTS = 1 << 62  # boot numbers are below this
NOTE_EVERY_US = 10_000_000
ELDER_EVERY_US = 1_000_000
MAC_BYTES = 32

T = TypeVar("T")
T_co = TypeVar("T_co", covariant=True)


class Reason(StrEnum):
    """Why a packet was refused."""

    VERSION = "version"  # newer than ours
    FLEET = "fleet"  # another fleet's, or another lane's
    RECEIVER = "receiver"  # meant for another courier
    SEAL = "seal"  # forged, damaged, cut, or under another key
    REPLAY = "replay"  # was here already, or is too old to tell
    OLD_BOOT = "old-boot"  # of an earlier life of its sender
    MALFORMED = "malformed"  # its seal is good and its payload nothing that we know
    SIZE = "size"


EXPECTED = {
    Reason.VERSION: f"version {VERSION} or older", Reason.FLEET: "our fleet's name",
    Reason.RECEIVER: "our own name", Reason.SEAL: "a seal by one of our keys",
    Reason.REPLAY: f"a new counter within {WINDOW} of the highest", Reason.OLD_BOOT: "the sender's present life",
    Reason.MALFORMED: "a payload of this version", Reason.SIZE: "fewer bytes"}


class PacketError(Exception):
    """A packet that was refused; it has changed nothing. `sender` is known where the seal was good."""

    def __init__(self, reason: Reason, sender: str = "") -> None:
        self.reason, self.sender = reason, sender
        super().__init__(f"packet of {sender or 'unknown sender'} refused ({reason}): expected {EXPECTED[reason]}")


class Elder(msgspec.Struct, frozen=True, array_like=True, tag=30):
    """To a courier whose boot number is lower than one that it has had: the highest known of it."""

    boot: int


class Decoder(Protocol[T_co]):
    """Such as `msgspec.msgpack.Decoder`: bytes to a value, or `msgspec.DecodeError`."""

    def decode(self, data: bytes, /) -> T_co:
        """The value."""
        ...


DATAGRAM: Decoder[Packet | Elder] = msgspec.msgpack.Decoder(Packet | Elder)
STREAM: Decoder[Ask | Answer | Elder] = msgspec.msgpack.Decoder(Ask | Answer | Elder)


@dataclass(frozen=True, slots=True)
class Opened(Generic[T]):
    """A packet whose seal, addressing and freshness were good."""

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
    """Of one sender: bit n of `seen` stands for the counter `highest - n`."""

    boot: int
    highest: int = 0
    seen: int = 0

    def fresh(self, counter: int) -> bool:
        behind = self.highest - counter
        return behind < 0 or (behind < WINDOW and not self.seen >> behind & 1)

    def note(self, counter: int) -> None:
        if counter > self.highest:
            # A jump beyond the window empties it; shifting by it would cost memory by its size.
            self.seen = self.seen << min(counter - self.highest, WINDOW) & ((1 << WINDOW) - 1)
            self.highest = counter
        self.seen |= 1 << (self.highest - counter)


class Seal:
    """Seals with the first key, opens with any: a key is replaced by adding the new one as last everywhere, then
    making it first everywhere, then taking the old one away. ValueError for short keys and long names."""

    def __init__(self, keys: bytes | Sequence[bytes], fleet: str, me: str, boot: int, *, lane: str = "datagram",
                 most_bytes: int = DATAGRAM_BYTES) -> None:
        self._keys = [keys] if isinstance(keys, bytes) else list(keys)
        if not self._keys or min(map(len, self._keys)) < KEY_BYTES:
            raise ValueError(f"fleet key: expected {KEY_BYTES} bytes or more")
        for name in (fleet, me):
            if not 0 < len(name.encode()) <= NAME_BYTES:
                raise ValueError(f"name {name!r}: expected 1 to {NAME_BYTES} bytes")
        self._fleet, self._me, self._lane, self._most = fleet, me, lane, most_bytes
        self.boot = boot
        self._counter = 0
        self._windows: OrderedDict[str, _Window] = OrderedDict()  # the one heard last is last
        self._elders: OrderedDict[str, int] = OrderedDict()  # when we last told whom
        self._raised_us: int | None = None
        self.refused: Counter[str] = Counter()
        self._noted: dict[Reason, tuple[int, int]] = {}  # when a line was given, and the count then
        self._last: dict[Reason, PacketError] = {}

    def pack(self, to: str, payload: object) -> bytes:
        """Sealed for the courier `to`, which may only be unknown ("") for a `Hello`. ValueError where it gets too
        large; that counter is not used."""
        if not to and not isinstance(payload, Hello):
            raise ValueError("a packet to an unknown receiver: expected a Hello")
        raw = msgspec.Raw(msgspec.msgpack.encode(payload))
        body = msgspec.msgpack.encode(_Sealed(self._lane, self._fleet, self._me, to, self.boot, self._counter + 1, raw))
        if 1 + MAC_BYTES + len(body) > self._most:
            raise ValueError(f"{type(payload).__name__} of {1 + MAC_BYTES + len(body)} bytes sealed: "
                             f"expected {self._most} at most")
        self._counter += 1
        version = bytes((VERSION,))
        return version + _mac(self._keys[0], version, body) + body

    def open(self, data: bytes, decoder: Decoder[T]) -> Opened[T]:
        """What another courier packed for us, once. PacketError, counted, for all else."""
        try:
            return self._open(data, decoder)
        except PacketError as error:
            self.refused[error.reason] += 1
            self._last[error.reason] = error
            raise

    def _open(self, data: bytes, decoder: Decoder[T]) -> Opened[T]:
        if len(data) > self._most:
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
        if not 0 < len(sender.encode()) <= NAME_BYTES or sealed.counter < 1 or not 0 <= sealed.boot < BOOTS:
            raise PacketError(Reason.MALFORMED, sender)
        window = self._windows.get(sender)
        if window is not None and sealed.boot < window.boot:
            raise PacketError(Reason.OLD_BOOT, sender)
        if window is None or sealed.boot > window.boot:
            window = _Window(sealed.boot)
        if not window.fresh(sealed.counter):
            raise PacketError(Reason.REPLAY, sender)
        try:
            payload = decoder.decode(bytes(sealed.payload))
        except (msgspec.DecodeError, RecursionError):
            raise PacketError(Reason.MALFORMED, sender) from None
        if not sealed.receiver and not isinstance(payload, Hello):
            raise PacketError(Reason.RECEIVER, sender)
        window.note(sealed.counter)
        self._windows[sender] = window
        self._windows.move_to_end(sender)
        if len(self._windows) > SENDERS:
            self._windows.popitem(last=False)
        return Opened(sender, sealed.boot, payload)

    def stale_boot(self, sender: str, now_us: int) -> bytes | None:
        """After an `old-boot`: the packet that tells the sender so, at most one a second to each."""
        window, told_us = self._windows.get(sender), self._elders.get(sender)
        if window is None or (told_us is not None and now_us - told_us < ELDER_EVERY_US):
            return None
        self._elders[sender] = now_us
        self._elders.move_to_end(sender)
        if len(self._elders) > SENDERS:
            self._elders.popitem(last=False)
        return self.pack(sender, Elder(window.boot))

    def heard_elder(self, elder: Elder, now_us: int) -> bool:
        """Somebody knows a later life of ours than this one (our disk was emptied): from now on ours is above it, to
        be kept on disk. At most once in 10 seconds; False where nothing changed."""
        raised_us = self._raised_us
        if (not self.boot < elder.boot < BOOTS - 1
                or (raised_us is not None and now_us - raised_us < NOTE_EVERY_US)):
            return False
        self._raised_us = now_us
        self.boot, self._counter = elder.boot + 1, 0
        return True

    def notes(self, now_us: int) -> list[str]:
        """Lines for the operators about what was refused: one a reason in 10 seconds."""
        lines = []
        for reason, error in self._last.items():
            last_us, told = self._noted.get(reason, (now_us - NOTE_EVERY_US, 0))
            count = self.refused[reason]
            if count > told and now_us - last_us >= NOTE_EVERY_US:
                self._noted[reason] = (now_us, count)
                lines.append(f"fleet {self._fleet}, {self._lane}: {error}; {count - told} since the last line")
        return lines


_SEALED = msgspec.msgpack.Decoder(_Sealed)


def _mac(key: bytes, version: bytes, body: bytes) -> bytes:
    return hmac.digest(key, version + body, hashlib.sha256)
