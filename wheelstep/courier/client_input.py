"""What a client has sent on one connection and nobody has served yet. No I/O.

Input is parsed in small steps and only as far as it is served: pipelined requests take many times the memory of their
bytes once they are parsed, and parsing them all at once would hold up every other client.
"""

from __future__ import annotations

from collections import deque

from wheelstep.courier.request import Refusal, Request, RequestReader

_HEAD_STEP_BYTES = 512  # parsed at once while a head is read: it may hold some dozens of small requests
MAX_PARTIAL_BYTES = 16 * 1024
"""Bytes of an incomplete request that can be transferred to another process."""


class ClientInput:
    """The input of one connection: bytes that are not parsed yet, complete requests, and a part of another one."""

    def __init__(self, transferable: bool) -> None:
        """`transferable`: keep the bytes of an incomplete request, so that another process can read it from its
        beginning."""
        self._reader: RequestReader | None = None  # created with the first byte
        self._transferable, self._unparsed, self._arrived_s = transferable, b"", 0.0
        self._requests: deque[Request] = deque()
        self._partial: bytes | None = b"" if transferable else None

    def add(self, data: bytes, arrived_s: float) -> None:
        """Append bytes that may have arrived at `arrived_s` (monotonic) at the earliest."""
        if self._partial is not None:
            self._partial = self._partial + data if len(self._partial) + len(data) <= MAX_PARTIAL_BYTES else None
        self._unparsed = self._unparsed + data if self._unparsed else data
        self._arrived_s = arrived_s
        self._reader = self._reader or RequestReader()
        self._parse_ahead(self._reader)

    def _parse_ahead(self, reader: RequestReader) -> None:
        """Parse until a complete request is known to be the last one or not."""
        while len(self._requests) < 2 and self._unparsed and reader.refusal is None:
            step = max(_HEAD_STEP_BYTES, reader.body_bytes_left)
            data, self._unparsed = self._unparsed[:step], self._unparsed[step:]
            for request in reader.feed(data):
                request.arrived_s = self._arrived_s
                self._requests.append(request)
        if reader.refusal is not None:
            self._unparsed = b""  # nothing after invalid input is read

    def next_request(self) -> Request:
        """Return the next complete request, and remove it. There must be one."""
        request = self._requests.popleft()
        if self._reader is not None:
            self._parse_ahead(self._reader)
        return request

    @property
    def has_requests(self) -> bool:
        """Whether a complete request waits."""
        return bool(self._requests)

    @property
    def refusal(self) -> Refusal | None:
        """The answer to invalid input behind all complete requests; None while there is none."""
        return self._reader.refusal if self._reader is not None and not self._requests else None

    @property
    def in_request(self) -> bool:
        """Whether a part of a request has come behind all complete ones."""
        return self._reader is not None and self._reader.in_request and not self._requests

    def take_expects_continue(self) -> bool:
        """Return, once, whether the client waits for `100 Continue` before it sends a body."""
        if self._reader is None or self._requests or not self._reader.expects_continue:
            return False
        self._reader.expects_continue = False
        return True

    @property
    def partial(self) -> bytes | None:
        """The bytes of an incomplete request, to transfer; None: complete ones wait, or they are more than
        `MAX_PARTIAL_BYTES`, or not known apart from others."""
        return None if self._requests else self._partial

    def forget_partial(self) -> None:
        """Note that the bytes of the incomplete request are not known apart from those of requests before it."""
        self._partial = None

    def restart_partial(self) -> None:
        """Note that all input so far belongs to complete requests."""
        self._partial = b"" if self._transferable else None

    def close(self) -> None:
        """Release all input."""
        self._requests.clear()
        self._unparsed, self._partial = b"", None
        if self._reader is not None:
            self._reader.close()
            self._reader = None

    @property
    def size_bytes(self) -> int:
        """The bytes that are kept."""
        read_bytes = self._reader.size_bytes if self._reader is not None else 0
        return read_bytes + len(self._unparsed) + len(self._partial or b"")
