"""Opens listening sockets."""

from __future__ import annotations

import socket

from wheelstep.courier.config import Address

BACKLOG = 512  # backlog in the kernel: many clients at once must not make others connect again


def open_listener(listen: Address) -> socket.socket:
    """Return a socket that listens at an address. Raises `OSError`."""
    family = socket.AF_INET6 if ":" in listen.host else socket.AF_INET
    listener = socket.create_server((listen.host, listen.port), family=family)
    listener.listen(BACKLOG)
    return listener
