"""Opens listening sockets."""

from __future__ import annotations

import socket

from wheelstep.courier.config import Address

BACKLOG = 512  # backlog in the kernel: many clients at once must not make others connect again


def open_listener(listen: Address) -> socket.socket:
    """Return a socket that listens at an address. Raises `OSError`."""
    family = socket.AF_INET6 if ":" in listen.host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    try:
        # `socket.create_server` passes over an error here; connections of an earlier process then keep the address.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if family == socket.AF_INET6:
            listener.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
        listener.bind((listen.host, listen.port))
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener
