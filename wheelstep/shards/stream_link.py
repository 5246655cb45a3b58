"""One sealed stream between two couriers, over a pipe.

Wire format, in each direction: packets prefixed with their length (4 bytes, network order). The first packet is the
sender's nonce in clear; each later one is sealed by a `PacketSeal` under a lane derived from both nonces, and
holds a `Batch` (or a `HigherBoot`). The dialler's first batch is empty: the accepting side knows the peer at once.

Protection against replay: a packet recorded on another link, in either direction and at any boot of either side, has
another lane, as each side's nonce is new; one recorded on this link has a counter that the link's own window knows.
Links share no window, so traffic on one cannot push packets out of another's window. An attacker on the path can still
drop packets, as it can cut the link.
"""

from __future__ import annotations

import asyncio
import base64
import hashlib
import struct
from typing import Protocol

import msgspec

from wheelstep.fleet.packets import EXPECTED, STREAM_BYTES, Decoder, HigherBoot, PacketError, PacketSeal, Reason
from wheelstep.shards.ports import Pipe
from wheelstep.shards.types import Batch, Frame

NONCE_BYTES = 16
MAX_FIRST_BYTES = 1_024  # size limit of a packet from a peer without a valid packet so far
MAX_BEHIND_BYTES = 4 << 20  # limit of bytes that wait to be written
MAX_BATCH_BYTES = STREAM_BYTES - 1_024  # the rest is for the seal and names
_ELDER_GRACE_S = 0.2  # delay before the link ends, so that the peer can read the `HigherBoot`
_LENGTH = struct.Struct(">I")
_PAYLOAD: Decoder[Batch | HigherBoot] = msgspec.msgpack.Decoder(Batch | HigherBoot)
_encode = msgspec.msgpack.Encoder().encode


class _Sent(msgspec.Struct, frozen=True, array_like=True, tag=80):
    """A `Batch` whose frames are already encoded."""

    frames: tuple[msgspec.Raw, ...]


class Owner(Protocol):
    """The owner of the link, with the state shared by all links."""

    def seal(self, lane: str) -> PacketSeal:
        """The seal for one link."""

    def highest_boot(self, sender: str, boot: int) -> int:
        """The highest known boot number of a sender, including this one."""

    def elder(self, elder: HigherBoot) -> None:
        """A peer knows a higher boot number of this node."""

    def authenticated(self, link: StreamLink) -> None:
        """The link's peer is authenticated."""

    def heard(self, link: StreamLink, frame: Frame) -> None:
        """A frame has arrived."""

    def refuse(self, link: StreamLink, reason: str, expected: str, who: str = "") -> None:
        """The link ends, or a frame was not sent, for this reason."""

    def ended(self, link: StreamLink) -> None:
        """The link has ended; called once."""


class StreamLink:
    """Frames to and from one peer, in order; the frames of one event loop turn are sent under one seal. `peer` is ""
    until the peer of an accepted link is authenticated. The link ends when more than 4 MB wait to be written."""

    def __init__(self, owner: Owner, peer: str, nonce: bytes) -> None:
        self.peer, self.dialled = peer, peer != ""
        self.reported = False  # whether its user knows of it and must be told of its end
        self.greeted: asyncio.Future[bool] | None = None  # what `dial` waits for
        self._owner, self._nonce = owner, nonce
        self._pipe: Pipe | None = None
        self._seal: PacketSeal | None = None
        self._authenticated = False  # a valid packet has arrived
        self._ended = self._gone = False
        self._buffer = bytearray()
        self._out: list[msgspec.Raw] = []  # frames of this turn of the event loop
        self._out_size = 0

    # --- for its user ---

    @property
    def open(self) -> bool:
        """Tells whether frames can be sent."""
        return not self._ended and self._seal is not None and self.peer != ""

    @property
    def behind(self) -> int:
        """The number of bytes that wait to be written."""
        return self._out_size + (self._pipe.behind if self._pipe is not None else 0)

    def send(self, frame: Frame) -> bool:
        """Sends the frame together with the others of this event loop turn. False if that is impossible, and nothing
        was sent."""
        if not self.open:
            return False
        if self.behind > MAX_BEHIND_BYTES:
            self._refuse("behind", f"a peer that reads: at most {MAX_BEHIND_BYTES} bytes that wait")
            return False
        raw = msgspec.Raw(_encode(frame))
        size = len(raw) + 5
        if size > MAX_BATCH_BYTES:
            self._owner.refuse(self, "frame-size", f"{MAX_BATCH_BYTES} bytes of a frame at most")
            return False
        if self._out_size + size > MAX_BATCH_BYTES:
            self._write_batch()
        if not self._out:
            asyncio.get_running_loop().call_soon(self._flush)
        self._out.append(raw)
        self._out_size += size
        return True

    def close(self) -> None:
        """Ends the link at once and drops what waits. The end is reported like any other."""
        self._ended = True
        self._out, self._out_size = [], 0
        self._buffer.clear()
        if self._pipe is not None:
            self._pipe.close()
        self._greet(False)

    # --- for the pipe ---

    def attach(self, pipe: Pipe) -> None:
        """The pipe is open: sends this side's nonce."""
        self._pipe = pipe
        if self._ended:
            pipe.close()
        else:
            pipe.write(_LENGTH.pack(NONCE_BYTES) + self._nonce)

    def received(self, data: bytes) -> None:
        """Handles bytes from the pipe."""
        if self._ended:
            return
        self._buffer += data
        at = 0
        while not self._ended and len(self._buffer) - at >= _LENGTH.size:
            size, = _LENGTH.unpack_from(self._buffer, at)
            if self._seal is None and size != NONCE_BYTES:
                self._refuse("hello", f"{NONCE_BYTES} bytes first")
            elif size > (STREAM_BYTES if self._authenticated or self.dialled else MAX_FIRST_BYTES):
                self._refuse("length", f"{STREAM_BYTES} bytes at most, {MAX_FIRST_BYTES} of the first packet")
            elif len(self._buffer) - at - _LENGTH.size < size:
                break
            else:
                at += _LENGTH.size + size
                self._packet(bytes(memoryview(self._buffer)[at - size:at]))
        del self._buffer[:at]

    def lost(self) -> None:
        """The pipe has ended."""
        if not self._gone:
            self._gone = self._ended = True
            self._greet(False)
            self._owner.ended(self)

    def time_out_first_packet(self) -> None:
        """The time limit for the first valid packet has passed."""
        if not self._authenticated:
            self._refuse("silent", "a good packet in time")

    # --- internal ---

    def _greet(self, good: bool) -> None:
        if self.greeted is not None and not self.greeted.done():
            self.greeted.set_result(good)

    def _packet(self, packet: bytes) -> None:
        if self._seal is None:
            both = self._nonce + packet if self.dialled else packet + self._nonce
            name = base64.b64encode(hashlib.blake2b(both, digest_size=15).digest()).decode()
            self._seal = self._owner.seal(f"shards {name}")
            if self.dialled:
                self._write_batch()  # an empty batch
                self._greet(True)
            return
        try:
            opened = self._seal.open(packet, _PAYLOAD)
        except PacketError as error:
            self._refuse(error.reason, EXPECTED[error.reason], error.sender)
            return
        if opened.sender != (self.peer or opened.sender):
            self._refuse("sender", f"{self.peer}, whose link it is", opened.sender)
            return
        boot = self._owner.highest_boot(opened.sender, opened.boot)
        if boot > opened.boot:
            self._refuse_old_boot(opened.sender, boot)
            return
        if not self._authenticated:
            self._authenticated, self.peer = True, opened.sender
            self._owner.authenticated(self)
        if isinstance(opened.payload, HigherBoot):
            self._owner.elder(opened.payload)
            return
        for frame in opened.payload.frames:
            if self._ended:
                return
            self._owner.heard(self, frame)

    def _refuse_old_boot(self, sender: str, boot: int) -> None:
        """Tells an earlier boot of the sender, or one whose disk was emptied, the higher number, and ends the link soon
        after."""
        assert self._seal is not None and self._pipe is not None
        self._owner.refuse(self, Reason.OLD_BOOT, EXPECTED[Reason.OLD_BOOT], sender)
        self._write(self._seal.pack(sender, HigherBoot(boot)))
        self._ended = True
        self._greet(False)
        asyncio.get_running_loop().call_later(_ELDER_GRACE_S, self._pipe.close)

    def _refuse(self, reason: str, expected: str, who: str = "") -> None:
        self._owner.refuse(self, reason, expected, who)
        self.close()

    def _flush(self) -> None:
        if self._out and not self._ended:
            self._write_batch()

    def _write_batch(self) -> None:
        assert self._seal is not None
        out, self._out, self._out_size = self._out, [], 0
        self._write(self._seal.pack(self.peer, _Sent(tuple(out))))

    def _write(self, packet: bytes) -> None:
        assert self._pipe is not None
        self._pipe.write(_LENGTH.pack(len(packet)) + packet)
