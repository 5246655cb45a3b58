"""One sealed stream between two couriers, over a pipe.

On the wire, each way: packets with a length before them (4 bytes, network order). The first is the sender's nonce, in
clear; each later one is sealed by `fleet.packets.Seal` under a lane that both nonces name, and holds a `Batch` (or an
`Elder`). The dialler's first batch is empty, so that who accepts knows at once who is there.

What protects against replay: a packet recorded on another link, in either direction and of any life of either side, has
another lane, as each side's nonce is new; one that was on this link already has a counter that the link's own window
knows. So links don't share a window, and none can fall out of it by what goes over others. Who sits on the path may
still leave packets out, as it may cut the link.
"""

from __future__ import annotations

import asyncio
import base64
import hashlib
import struct
from typing import Protocol

import msgspec

from wheelstep.fleet.packets import EXPECTED, STREAM_BYTES, Decoder, Elder, PacketError, Reason, Seal
from wheelstep.shards.ports import Pipe
from wheelstep.shards.types import Batch, Frame

NONCE_BYTES = 16
FIRST_BYTES = 1_024  # of a packet from whom nothing good has come yet
BEHIND_BYTES = 4 << 20  # that may wait to be written
BATCH_BYTES = STREAM_BYTES - 1_024  # the rest is for the seal and names
_ELDER_S = 0.2  # for an `Elder` to be read before the link ends
_LENGTH = struct.Struct(">I")
_PAYLOAD: Decoder[Batch | Elder] = msgspec.msgpack.Decoder(Batch | Elder)
_encode = msgspec.msgpack.Encoder().encode


class _Sent(msgspec.Struct, frozen=True, array_like=True, tag=80):
    """A `Batch` whose frames are encoded already."""

    frames: tuple[msgspec.Raw, ...]


class Owner(Protocol):
    """Who has the link, and what is the same for all links."""

    def seal(self, lane: str) -> Seal:
        """For one link."""

    def current(self, sender: str, boot: int) -> int:
        """The highest boot number known of a sender, this one included."""

    def elder(self, elder: Elder) -> None:
        """A peer knows a later life of ours."""

    def known(self, link: StreamLink) -> None:
        """Who dialled it is known now."""

    def heard(self, link: StreamLink, frame: Frame) -> None:
        """A frame."""

    def refuse(self, link: StreamLink, reason: str, expected: str, who: str = "") -> None:
        """The link ends, or a frame was not sent, for this."""

    def ended(self, link: StreamLink) -> None:
        """Told once."""


class StreamLink:
    """Frames to and from one peer, in order; frames of one turn of the loop go out under one seal. `peer` is "" until
    one that was accepted has said who it is. More than 4 MB that wait to be written end it."""

    def __init__(self, owner: Owner, peer: str, nonce: bytes) -> None:
        self.peer, self.dialled = peer, peer != ""
        self.shown = False  # does its user know of it, and is to hear of its end?
        self.greeted: asyncio.Future[bool] | None = None  # what `dial` waits for
        self._owner, self._nonce = owner, nonce
        self._pipe: Pipe | None = None
        self._seal: Seal | None = None
        self._trusted = False  # something good has come
        self._ended = self._gone = False
        self._buffer = bytearray()
        self._out: list[msgspec.Raw] = []  # of this turn of the loop
        self._out_size = 0

    # --- for its user ---

    @property
    def open(self) -> bool:
        """Can anything be sent?"""
        return not self._ended and self._seal is not None and self.peer != ""

    @property
    def behind(self) -> int:
        """Bytes that wait to be written."""
        return self._out_size + (self._pipe.behind if self._pipe is not None else 0)

    def send(self, frame: Frame) -> bool:
        """With what else is sent in this turn of the loop. False if it can't be: nothing of it was sent."""
        if not self.open:
            return False
        if self.behind > BEHIND_BYTES:
            self._refuse("behind", f"a peer that reads: at most {BEHIND_BYTES} bytes that wait")
            return False
        raw = msgspec.Raw(_encode(frame))
        size = len(raw) + 5
        if size > BATCH_BYTES:
            self._owner.refuse(self, "frame-size", f"{BATCH_BYTES} bytes of a frame at most")
            return False
        if self._out_size + size > BATCH_BYTES:
            self._write_batch()
        if not self._out:
            asyncio.get_running_loop().call_soon(self._flush)
        self._out.append(raw)
        self._out_size += size
        return True

    def close(self) -> None:
        """At once: what waits is dropped. Its end is told like any other."""
        self._ended = True
        self._out, self._out_size = [], 0
        self._buffer.clear()
        if self._pipe is not None:
            self._pipe.close()
        self._greet(False)

    # --- for the pipe ---

    def attach(self, pipe: Pipe) -> None:
        """The pipe is there: say our nonce."""
        self._pipe = pipe
        if self._ended:
            pipe.close()
        else:
            pipe.write(_LENGTH.pack(NONCE_BYTES) + self._nonce)

    def received(self, data: bytes) -> None:
        """Bytes from the pipe."""
        if self._ended:
            return
        self._buffer += data
        at = 0
        while not self._ended and len(self._buffer) - at >= _LENGTH.size:
            size, = _LENGTH.unpack_from(self._buffer, at)
            if self._seal is None and size != NONCE_BYTES:
                self._refuse("hello", f"{NONCE_BYTES} bytes first")
            elif size > (STREAM_BYTES if self._trusted or self.dialled else FIRST_BYTES):
                self._refuse("length", f"{STREAM_BYTES} bytes at most, {FIRST_BYTES} of the first packet")
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

    def silent(self) -> None:
        """Its time to say something good is up."""
        if not self._trusted:
            self._refuse("silent", "a good packet in time")

    # --- inside ---

    def _greet(self, good: bool) -> None:
        if self.greeted is not None and not self.greeted.done():
            self.greeted.set_result(good)

    def _packet(self, packet: bytes) -> None:
        if self._seal is None:
            both = self._nonce + packet if self.dialled else packet + self._nonce
            name = base64.b64encode(hashlib.blake2b(both, digest_size=15).digest()).decode()
            self._seal = self._owner.seal(f"shards {name}")
            if self.dialled:
                self._write_batch()  # empty
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
        boot = self._owner.current(opened.sender, opened.boot)
        if boot > opened.boot:
            self._too_old(opened.sender, boot)
            return
        if not self._trusted:
            self._trusted, self.peer = True, opened.sender
            self._owner.known(self)
        if isinstance(opened.payload, Elder):
            self._owner.elder(opened.payload)
            return
        for frame in opened.payload.frames:
            if self._ended:
                return
            self._owner.heard(self, frame)

    def _too_old(self, sender: str, boot: int) -> None:
        """Tell a former life of the sender, or one whose disk was emptied, and end the link a little later."""
        assert self._seal is not None and self._pipe is not None
        self._owner.refuse(self, Reason.OLD_BOOT, EXPECTED[Reason.OLD_BOOT], sender)
        self._write(self._seal.pack(sender, Elder(boot)))
        self._ended = True
        self._greet(False)
        asyncio.get_running_loop().call_later(_ELDER_S, self._pipe.close)

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
