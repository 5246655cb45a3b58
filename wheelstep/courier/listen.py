"""A socket that listens."""

from __future__ import annotations

import socket

from wheelstep.courier.config import Address

QUEUE = 512  # connections that wait in the kernel: a crowd may not make good clients dial again


def bind(listen: Address) -> socket.socket:
    """A socket that listens there. Raises `OSError`."""
    family = socket.AF_INET6 if ":" in listen.host else socket.AF_INET
    listener = socket.create_server((listen.host, listen.port), family=family)
    listener.listen(QUEUE)
    return listener
